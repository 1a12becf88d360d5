"""The figures of a closing peak, from each call and the engines' logs."""

import re
from collections import Counter, defaultdict
from collections.abc import Iterable, Mapping, Sequence
from typing import Any, NamedTuple

from emulator.load import LoadCall, percentile

MS_PER_S = 1000
WINDOW_S = 5
STATUS_OK = 200
STATUS_OVERLOADED = 429

_SAMPLE = re.compile(r'^(\w+)(?:\{(.*)\})? (\S+)$')
_BOUND = re.compile(r'le="([^"]+)"')


class Histogram:
    """A histogram's samples, summed over processes."""

    def __init__(self, name: str) -> None:
        self._name = name
        self.total: float = 0
        self._buckets = Counter[float]()

    def add(self, text: str) -> None:
        """Add the samples of a page of metrics."""
        for line in text.splitlines():
            sample = _SAMPLE.match(line)
            if sample is None:
                continue
            if sample[1] == f'{self._name}_sum':
                self.total += float(sample[3])
            elif sample[1] == f'{self._name}_bucket':
                bound = _BOUND.search(sample[2] or '')
                if bound:
                    self._buckets[float(bound[1])] += int(float(sample[3]))

    def percentile(self, share: float) -> float:
        """Return the bucket's bound below which a share of samples lies."""
        count = self._buckets[float('inf')]
        return next(
            (
                bound
                for bound in sorted(self._buckets)
                if self._buckets[bound] >= share * count
            ),
            float('nan'),
        )


class LoadDone(NamedTuple):
    """A load that an engine has made.

    :param adapter: what was loaded.
    :param ordered_s: monotonic time of the order.
    :param ended_s: monotonic time at which it was loaded.
    :param is_first: whether no engine had loaded the adapter before.
    """

    adapter: str
    ordered_s: float
    ended_s: float
    is_first: bool


class Stall(NamedTuple):
    """What one call waited for before it was sent to an engine.

    :param kind: `first` and `again` for a load, by whether the adapter had
        been loaded before; `path` where its load was there; `given_up` for
        one that was refused after waiting; `refused` at once; `unanswered`.
    :param to_order_s: seconds until the load was ordered.
    :param load_s: seconds from then until it was loaded.
    :param told_s: seconds from then until the engine had the call.
    :param queue_s: seconds that it then waited in the engine.
    """

    kind: str
    to_order_s: float = 0
    load_s: float = 0
    told_s: float = 0
    queue_s: float = 0

    @property
    def total_s(self) -> float:
        """Seconds until the engine had the call, or until the refusal."""
        return self.to_order_s + self.load_s + self.told_s


class EngineLogs:
    """The logs of all engines, read when the peak is over.

    :param logs: the document of each.
    """

    def __init__(self, logs: Sequence[Mapping[str, Any]]) -> None:
        self.requests: dict[str, list[dict[str, Any]]] = defaultdict(list)
        self.counts = Counter[str]()
        self.busy_s = sum(log['batch']['busy_s'] for log in logs)
        self.running_s = sum(log['batch']['running_s'] for log in logs)
        self._loads: dict[str, LoadDone] = {}
        events = [event for log in logs for event in log['log']]
        for event in sorted(events, key=_time_of):
            self._add(event)

    def load(self, load_name: str) -> LoadDone | None:
        """Return a load by the name that the engine knew it by."""
        return self._loads.get(load_name)

    def _add(self, event: dict[str, Any]) -> None:
        kind = event['event']
        if kind == 'request':
            self.counts['request'] += 1
            self.requests[event['request_id']].append(event)
            return
        if event.get('outcome') != 'ok':
            return
        self.counts[kind] += 1
        if kind == 'load':
            name = event['load_name']
            adapter = name.partition('@')[0]
            known = {load.adapter for load in self._loads.values()}
            self._loads[name] = LoadDone(
                adapter, event['at'], event['ended_at'], adapter not in known
            )


def stall_of(shot: LoadCall, logs: EngineLogs) -> Stall:
    """Tell what a call waited for, by its own clock and the engines' logs."""
    record = shot.record
    if record is None:
        return Stall('unanswered')
    sent = logs.requests.get(shot.call.request_id)
    if not sent and not record.is_complete:
        return Stall('unanswered', to_order_s=record.took_s)
    if not sent:
        kind = 'refused' if record.status == STATUS_OVERLOADED else 'given_up'
        return Stall(kind, to_order_s=record.took_s)
    started_s = record.started_s
    event = min(sent, key=_time_of)
    load = logs.load(event['load_name'])
    queue_s = (event['started_at'] or event['ended_at']) - event['accepted_at']
    if load is None or load.ended_s <= started_s:
        told_s = event['accepted_at'] - started_s
        return Stall('path', told_s=told_s, queue_s=queue_s)
    return Stall(
        'first' if load.is_first else 'again',
        max(0, load.ordered_s - started_s),
        load.ended_s - max(started_s, load.ordered_s),
        event['accepted_at'] - load.ended_s,
        queue_s,
    )


def figures_of(
    shots: Sequence[LoadCall], logs: EngineLogs, batch: int
) -> dict[str, Any]:
    """Return the figures of a peak; each call is in one count of `ends`.

    :param shots: all calls, made or not.
    :param logs: of all engines.
    :param batch: requests that an engine runs at a time.
    """
    stalls = [stall_of(shot, logs) for shot in shots]
    accepted = [
        shot.record
        for shot in shots
        if shot.record
        and shot.record.is_complete
        and shot.record.status == STATUS_OK
    ]
    first_ms = [record.first_token_s * MS_PER_S for record in accepted]
    stalls_s = [stall.total_s for stall in stalls if _counts(stall)]
    queues_s = [stall.queue_s for stall in stalls]
    return {
        'calls': len(shots),
        'ends': ends_of(shots),
        'stall_s_total': round(sum(stalls_s), 1),
        **_percentiles('stall_s', stalls_s, 3),
        'stall_split': _split(stalls),
        'queue_s_total': round(sum(queues_s), 1),
        'batch_fill': round(logs.running_s / max(logs.busy_s, 1e-9) / batch, 3),
        **_percentiles('first_token_ms', first_ms, 1),
        'first_token_ms_p95_by_5s': _by_window(shots),
        'goodput_tokens_per_s': _goodput(shots),
        **_refusals(shots),
        'dispatches_per_accepted': round(
            logs.counts['request'] / max(1, len(accepted)), 3
        ),
        'loads': logs.counts['load'],
        'evictions': logs.counts['evict'],
    }


def _by_window(shots: Sequence[LoadCall]) -> list[float | None]:
    """Return the p95 of the first tokens of the calls of each window."""
    windows: dict[int, list[float]] = defaultdict(list)
    for shot in shots:
        if shot.record and shot.record.status == STATUS_OK:
            first_ms = shot.record.first_token_s * MS_PER_S
            windows[int(shot.arrival.at_s // WINDOW_S)].append(first_ms)
    return [
        _rounded(percentile(windows[number], 0.95), 1)
        for number in range(max(windows, default=-1) + 1)
    ]


def _goodput(shots: Sequence[LoadCall]) -> float:
    """Return the tokens a second of whole answers, once the peak is under way.

    What ended in the first third doesn't count, nor what ended after the last
    call.
    """
    last_s = max((shot.arrival.at_s for shot in shots), default=0)
    from_s = last_s / 3
    tokens = sum(
        shot.arrival.tokens
        for shot in shots
        if shot.record
        and shot.record.is_complete
        and shot.record.status == STATUS_OK
        and from_s <= shot.arrival.at_s + shot.record.took_s <= last_s
    )
    return round(tokens / max(last_s - from_s, 1e-9), 1)


def _counts(stall: Stall) -> bool:
    """Tell whether a wait is a stall: not a refusal without one."""
    return stall.kind != 'refused'


def ends_of(shots: Iterable[LoadCall]) -> dict[str, int]:
    """Count calls by how they ended; each is in one count."""
    ends = Counter[str]()
    for shot in shots:
        record = shot.record
        if record is None:
            ends['not made'] += 1
        elif not record.is_complete:
            ends[f'{_cut(record.status)} by {shot.call.url}'] += 1
        else:
            ends[f'{record.status} {record.outcome}'] += 1
    return dict(sorted(ends.items()))


def _cut(status: int) -> str:
    return 'cut after its start' if status else 'unanswered'


def _split(stalls: Sequence[Stall]) -> dict[str, dict[str, float]]:
    """Return by kind how many calls waited, and for what."""
    by_kind: dict[str, list[Stall]] = defaultdict(list)
    for stall in stalls:
        by_kind[stall.kind].append(stall)
    return {
        kind: {
            'calls': len(found),
            'to_order_s': round(sum(each.to_order_s for each in found), 1),
            'load_s': round(sum(each.load_s for each in found), 1),
            'told_s': round(sum(each.told_s for each in found), 1),
        }
        for kind, found in sorted(by_kind.items())
    }


def _refusals(shots: Iterable[LoadCall]) -> dict[str, Any]:
    refused = [
        shot.record
        for shot in shots
        if shot.record and shot.record.status == STATUS_OVERLOADED
    ]
    took_ms = [record.took_s * MS_PER_S for record in refused]
    returns = Counter(record.retry_after_s or 0 for record in refused)
    return {
        'refused': len(refused),
        'refused_ms_p95': _rounded(percentile(took_ms, 0.95), 1),
        'retry_after_s': {str(key): returns[key] for key in sorted(returns)},
    }


def _percentiles(
    name: str, values: Sequence[float], digits: int
) -> dict[str, float | None]:
    return {
        f'{name}_p50': _rounded(percentile(values, 0.5), digits),
        f'{name}_p95': _rounded(percentile(values, 0.95), digits),
        f'{name}_p99': _rounded(percentile(values, 0.99), digits),
    }


def _rounded(value: float, digits: int) -> float | None:
    """Round a value, None if there is none, which JSON can't tell."""
    return round(value, digits) if value == value else None


def _time_of(event: Mapping[str, Any]) -> float:
    """Return the monotonic time of a log's entry."""
    return float(event.get('at') or event.get('accepted_at') or 0)
