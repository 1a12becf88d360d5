"""Figures of the path benchmark, computed from its calls."""

from collections.abc import Iterator
from typing import Any, NamedTuple

from emulator.load import LoadCall, describe, percentile
from emulator.stream_client import CallRecord

MS_PER_S = 1000

#: Upper limit of the 95th percentile of the gaps between tokens.
GAP_MS_P95 = 45

_MAX_SHOWN_FAILURES = 3


class Window(NamedTuple):
    """The part of each turn that is evaluated.

    :param ramp_s: seconds until as many calls end as begin.
    :param duration_s: length of each turn, in seconds.
    :param turns: number of turns of each kind.
    """

    ramp_s: float
    duration_s: float
    turns: int

    @property
    def total_s(self) -> float:
        """The evaluated seconds of all turns together."""
        return (self.duration_s - self.ramp_s) * self.turns

    def steady(self, load_calls: list[LoadCall]) -> list[CallRecord]:
        """Return the answers to calls made after the ramp-up."""
        return _records(
            [
                load_call
                for load_call in load_calls
                if load_call.arrival.at_s >= self.ramp_s
            ]
        )

    def first_tokens(self, load_calls: list[LoadCall]) -> list[float]:
        """Return the seconds to the first token of calls made after the ramp-up."""
        return [record.first_token_s for record in self.steady(load_calls)]

    def gaps(self, load_calls: list[LoadCall]) -> list[float]:
        """Return the gaps before tokens that arrived after the ramp-up."""
        gaps = []
        for load_call in load_calls:
            if load_call.record is None:
                continue
            at_s = load_call.arrival.at_s + load_call.record.first_token_s
            for gap in load_call.record.gaps_s:
                at_s += gap
                if self.ramp_s <= at_s < self.duration_s:
                    gaps.append(gap)
        return gaps

    def gap_ms(self, load_calls: list[LoadCall], share: float) -> float:
        """Return a percentile of these gaps, in milliseconds."""
        return round(percentile(self.gaps(load_calls), share) * MS_PER_S, 1)


def compare(
    window: Window,
    entry: list[LoadCall],
    direct: list[LoadCall],
) -> Iterator[dict[str, Any]]:
    """Yield the figures of calls under load.

    :param window: evaluated part of each turn.
    :param entry: calls through the entries.
    :param direct: calls directly to the engines.
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
    for kind, load_calls in (('entry', entry), ('direct', direct)):
        failed = [
            describe(load_call)
            for load_call in load_calls
            if not was_answered(load_call)
        ]
        yield {
            'figure': 'not_whole',
            'kind': kind,
            'calls': len(load_calls),
            'failed': len(failed),
            'first_failed': failed[:_MAX_SHOWN_FAILURES],
        }


def was_answered(load_call: LoadCall) -> bool:
    """Return whether a call got a complete answer."""
    record = load_call.record
    return bool(record and record.status == 200 and record.is_complete)


def figure(
    name: str, measured: float, direct: float, **more: float
) -> dict[str, Any]:
    """Return a figure of calls through entries beside that of direct calls."""
    return {
        'figure': name,
        'entry': round(measured, 2),
        'direct': round(direct, 2),
        'added': round(measured - direct, 2),
        **more,
    }


def _records(load_calls: list[LoadCall]) -> list[CallRecord]:
    return [
        load_call.record
        for load_call in load_calls
        if load_call.record and load_call.record.status == 200
    ]
