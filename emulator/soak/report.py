"""What a soak run tells at its end."""

from __future__ import annotations

import statistics
from collections import Counter, defaultdict
from collections.abc import Iterator

from emulator.soak.callers import CallResult
from emulator.soak.evidence import Evidence

_PERCENT = 100
_MS_IN_S = 1000
_CUTS = (50, 95, 99)
_OK = 200


def outcome_of(got: CallResult) -> str:
    """Return what a caller was told, in a word or a status.

    :param got: what it got.
    """
    if not got.status:
        return 'nothing'
    if got.status != _OK:
        return str(got.status)
    return 'whole' if got.is_complete else 'cut'


def lines_of(seen: Evidence) -> Iterator[str]:
    """Yield the lines of a run's report.

    :param seen: what callers and back ends saw.
    """
    by_kind: dict[str, list[CallResult]] = defaultdict(list)
    for got in seen.results:
        by_kind[got.kind].append(got)
    for kind, of_kind in sorted(by_kind.items()):
        counts = Counter(map(outcome_of, of_kind))
        told = ', '.join(f'{name} {count}' for name, count in counts.items())
        yield f'  {kind}: {told}; {_latencies(of_kind)}'
    faults = Counter(fault.kind for fault in seen.injected)
    told = ', '.join(
        f'{name} {count}' for name, count in sorted(faults.items())
    )
    yield f'  faults: {told}'
    yield (
        f'  judged: {len(seen.results)} answers, {len(seen.runs)} runs '
        f'({sum(bool(run.after) for run in seen.runs)} resumed), '
        f'{len(seen.orders)} orders, {len(seen.published_versions)} versions, '
        f'{len(seen.stops)} stops'
    )


def _latencies(of_kind: list[CallResult]) -> str:
    took_s = [
        got.ended_s - got.sent_s
        for got in of_kind
        if outcome_of(got) == 'whole'
    ]
    if len(took_s) < 2:
        return 'no latencies'
    quantiles = statistics.quantiles(took_s, n=_PERCENT)
    told = '/'.join(f'{quantiles[cut - 1] * _MS_IN_S:.0f}' for cut in _CUTS)
    return f'p50/p95/p99 {told} ms'
