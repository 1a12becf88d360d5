"""The report that a soak run prints at its end."""

from __future__ import annotations

import statistics
from collections import Counter, defaultdict
from collections.abc import Iterator

from emulator.soak.callers import CallResult
from emulator.soak.evidence import Evidence
from emulator.soak.stream_checks import joined_streams

_QUANTILE_COUNT = 100
_MS_PER_S = 1000
_PERCENTILES = (50, 95, 99)
_OK = 200


def outcome_of(result: CallResult) -> str:
    """Return the outcome of a request as a word or an HTTP status.

    :param result: the request and its answer.
    """
    if not result.status:
        return 'nothing'
    if result.status != _OK:
        return str(result.status)
    return 'whole' if result.is_complete else 'cut'


def report_lines(evidence: Evidence) -> Iterator[str]:
    """Yield the lines of the report of a run.

    :param evidence: what callers and back ends recorded.
    """
    by_kind: dict[str, list[CallResult]] = defaultdict(list)
    for result in evidence.results:
        by_kind[result.route_name].append(result)
    for kind, of_kind in sorted(by_kind.items()):
        counts = Counter(map(outcome_of, of_kind))
        counted = ', '.join(f'{name} {count}' for name, count in counts.items())
        yield f'  {kind}: {counted}; {_latencies(of_kind)}'
    yield _streams(by_kind['resumable'], len(joined_streams(evidence)))
    faults = Counter(fault.kind for fault in evidence.injected)
    counted = ', '.join(
        f'{name} {count}' for name, count in sorted(faults.items())
    )
    yield f'  faults: {counted}'
    yield (
        f'  judged: {len(evidence.results)} answers, {len(evidence.runs)} runs '
        f'({sum(bool(run.last_event_id) for run in evidence.runs)} resumed), '
        f'{len(evidence.orders)} orders, '
        f'{len(evidence.published_versions)} versions, '
        f'{len(evidence.stops)} stops'
    )
    met = sum(each.has_met for each in evidence.copies)
    yield (
        f'  copies of refusals: {len(evidence.copies) - met}, '
        f'{met} met their own request'
    )


def _streams(resumable: list[CallResult], joined: int) -> str:
    take_ups = [each for each in resumable if each.began]
    counts = Counter(map(outcome_of, take_ups))
    counted = ', '.join(f'{name} {count}' for name, count in counts.items())
    return (
        f'  streams: {len(resumable) - len(take_ups)} resumable, '
        f'{joined} of two software versions; taken up: {counted or "none"}'
    )


def _latencies(of_kind: list[CallResult]) -> str:
    took_s = [
        result.ended_s - result.sent_s
        for result in of_kind
        if outcome_of(result) == 'whole'
    ]
    if len(took_s) < 2:
        return 'no latencies'
    quantiles = statistics.quantiles(took_s, n=_QUANTILE_COUNT)
    counted = '/'.join(
        f'{quantiles[percentile - 1] * _MS_PER_S:.0f}'
        for percentile in _PERCENTILES
    )
    return f'p50/p95/p99 {counted} ms'
