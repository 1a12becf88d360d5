"""What the path's benchmark tells of the calls that it has made."""

from collections.abc import Iterator
from typing import Any, NamedTuple

from emulator.load import LoadCall, describe, percentile
from emulator.stream_client import CallRecord

MS_PER_S = 1000

#: Bar of the 95th percentile of the gaps between tokens.
GAP_MS_P95 = 45

_SHOWN_FAILED = 3


class Window(NamedTuple):
    """The part of each turn that counts.

    :param ramp_s: time until as many calls end as begin.
    :param duration_s: length of each turn.
    :param turns: turns of each kind.
    """

    ramp_s: float
    duration_s: float
    turns: int

    @property
    def total_s(self) -> float:
        """Seconds that count, in all turns together."""
        return (self.duration_s - self.ramp_s) * self.turns

    def steady(self, shots: list[LoadCall]) -> list[CallRecord]:
        """Return the answers to the calls that were made after the ramp."""
        return _records(
            [shot for shot in shots if shot.arrival.at_s >= self.ramp_s]
        )

    def first_tokens(self, shots: list[LoadCall]) -> list[float]:
        """Return the seconds to the first token of each such answer."""
        return [record.first_token_s for record in self.steady(shots)]

    def gaps(self, shots: list[LoadCall]) -> list[float]:
        """Return the gaps before each token that came while it was steady."""
        gaps = []
        for shot in shots:
            if shot.record is None:
                continue
            at_s = shot.arrival.at_s + shot.record.first_token_s
            for gap in shot.record.gaps_s:
                at_s += gap
                if self.ramp_s <= at_s < self.duration_s:
                    gaps.append(gap)
        return gaps

    def gap_ms(self, shots: list[LoadCall], share: float) -> float:
        """Return a percentile of those gaps, in milliseconds."""
        return round(percentile(self.gaps(shots), share) * MS_PER_S, 1)


def compare(
    window: Window,
    entry: list[LoadCall],
    direct: list[LoadCall],
) -> Iterator[dict[str, Any]]:
    """Yield the figures of calls under load.

    :param window: what counts.
    :param entry: calls through the entries.
    :param direct: calls to the engines themselves.
    """
    for share in (0.5, 0.95, 0.99):
        name = f'p{round(share * 100)}'
        yield figure(
            f'gap_ms_{name}',
            window.gap_ms(entry, share),
            window.gap_ms(direct, share),
            p95_bar=GAP_MS_P95,
        )
        yield figure(
            f'loaded_first_token_ms_{name}',
            percentile(window.first_tokens(entry), share) * MS_PER_S,
            percentile(window.first_tokens(direct), share) * MS_PER_S,
        )
    yield figure(
        'requests_per_s',
        len(window.steady(entry)) / window.total_s,
        len(window.steady(direct)) / window.total_s,
    )
    yield figure(
        'tokens_per_s',
        len(window.gaps(entry)) / window.total_s,
        len(window.gaps(direct)) / window.total_s,
    )
    for kind, shots in (('entry', entry), ('direct', direct)):
        failed = [describe(shot) for shot in shots if not is_whole(shot)]
        yield {
            'figure': 'not_whole',
            'kind': kind,
            'calls': len(shots),
            'failed': len(failed),
            'first_failed': failed[:_SHOWN_FAILED],
        }


def is_whole(shot: LoadCall) -> bool:
    """Tell whether a call was answered whole."""
    record = shot.record
    return bool(record and record.status == 200 and record.is_complete)


def figure(
    name: str, measured: float, direct: float, **more: float
) -> dict[str, Any]:
    """Return a figure with the direct one beside it."""
    return {
        'figure': name,
        'entry': round(measured, 2),
        'direct': round(direct, 2),
        'added': round(measured - direct, 2),
        **more,
    }


def _records(shots: list[LoadCall]) -> list[CallRecord]:
    return [
        shot.record
        for shot in shots
        if shot.record and shot.record.status == 200
    ]
