"""Figures of a closing peak, computed from the calls and the engines' logs."""

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
    """A metric's histogram, summed over processes.

    :param name: name of the metric.
    """

    def __init__(self, name: str) -> None:
        self._name = name
        self.total: float = 0
        self._buckets = Counter[float]()

    def add(self, text: str) -> None:
        """Add the samples of a process.

        :param text: its metrics in the text format.
        """
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
        """Return the upper bound of the bucket that contains a percentile."""
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
    """A load that an engine has completed.

    :param adapter: the loaded adapter.
    :param ordered_s: monotonic time of the order, in seconds.
    :param ended_s: monotonic time at which it was loaded, in seconds.
    :param is_first: whether no engine had loaded the adapter before.
    """

    adapter: str
    ordered_s: float
    ended_s: float
    is_first: bool


class Stall(NamedTuple):
    """The wait of one call before it reached an engine.

    :param kind: `first` or `again` if it waited for a load of an adapter that
        had not, or had, been loaded before; `path` if the adapter was loaded;
        `given_up` if it was refused after waiting; `refused` if it was refused
        at once; `unanswered`.
    :param to_order_s: seconds until the load was ordered.
    :param load_s: seconds from then until it was loaded.
    :param told_s: seconds from then until the engine received the call.
    :param queue_s: seconds that the call then waited in the engine.
    """

    kind: str
    to_order_s: float = 0
    load_s: float = 0
    told_s: float = 0
    queue_s: float = 0

    @property
    def total_s(self) -> float:
        """Seconds until the engine received the call, or until the refusal."""
        return self.to_order_s + self.load_s + self.told_s


class EngineLogs:
    """The logs of all engines after the peak.

    :param logs: log document of each engine.
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
        """Return a load by its name on the engine."""
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


def stall_of(load_call: LoadCall, logs: EngineLogs) -> Stall:
    """Return the wait of a call, from its times and the engines' logs."""
    record = load_call.record
    if record is None:
        return Stall('unanswered')
    engine_events = logs.requests.get(load_call.call.request_id)
    if not engine_events and not record.is_complete:
        return Stall('unanswered', to_order_s=record.took_s)
    if not engine_events:
        kind = 'refused' if record.status == STATUS_OVERLOADED else 'given_up'
        return Stall(kind, to_order_s=record.took_s)
    started_s = record.started_s
    event = min(engine_events, key=_time_of)
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
    load_calls: Sequence[LoadCall], logs: EngineLogs, batch: int
) -> dict[str, Any]:
    """Return the figures of a peak; `ends` counts each call once.

    :param load_calls: all calls, made or not.
    :param logs: logs of all engines.
    :param batch: number of requests that an engine runs at a time.
    """
    stalls = [stall_of(load_call, logs) for load_call in load_calls]
    accepted = [
        load_call.record
        for load_call in load_calls
        if load_call.record
        and load_call.record.is_complete
        and load_call.record.status == STATUS_OK
    ]
    first_ms = [record.first_token_s * MS_PER_S for record in accepted]
    stalls_s = [stall.total_s for stall in stalls if _is_stall(stall)]
    queues_s = [stall.queue_s for stall in stalls]
    return {
        'calls': len(load_calls),
        'ends': ends_of(load_calls),
        'stall_s_total': round(sum(stalls_s), 1),
        **_percentiles('stall_s', stalls_s, 3),
        'stall_split': _split(stalls),
        'queue_s_total': round(sum(queues_s), 1),
        'batch_fill': round(logs.running_s / max(logs.busy_s, 1e-9) / batch, 3),
        **_percentiles('first_token_ms', first_ms, 1),
        'first_token_ms_p95_by_5s': _by_window(load_calls),
        'goodput_tokens_per_s': _tokens_per_s(load_calls),
        **_refusals(load_calls),
        'dispatches_per_accepted': round(
            logs.counts['request'] / max(1, len(accepted)), 3
        ),
        'loads': logs.counts['load'],
        'evictions': logs.counts['evict'],
    }


def _by_window(load_calls: Sequence[LoadCall]) -> list[float | None]:
    """Return the 95th percentile of the first-token times of each window."""
    windows: dict[int, list[float]] = defaultdict(list)
    for load_call in load_calls:
        if load_call.record and load_call.record.status == STATUS_OK:
            first_ms = load_call.record.first_token_s * MS_PER_S
            windows[int(load_call.arrival.at_s // WINDOW_S)].append(first_ms)
    return [
        _rounded(percentile(windows[number], 0.95), 1)
        for number in range(max(windows, default=-1) + 1)
    ]


def _tokens_per_s(load_calls: Sequence[LoadCall]) -> float:
    """Return the tokens a second of complete answers after the ramp-up.

    Answers that ended in the first third of the peak or after the last call are
    not counted.
    """
    last_s = max(
        (load_call.arrival.at_s for load_call in load_calls), default=0
    )
    from_s = last_s / 3
    tokens = sum(
        load_call.arrival.tokens
        for load_call in load_calls
        if load_call.record
        and load_call.record.is_complete
        and load_call.record.status == STATUS_OK
        and from_s <= load_call.arrival.at_s + load_call.record.took_s <= last_s
    )
    return round(tokens / max(last_s - from_s, 1e-9), 1)


def _is_stall(stall: Stall) -> bool:
    """Return whether a wait counts as a stall; immediate refusals do not."""
    return stall.kind != 'refused'


def ends_of(load_calls: Iterable[LoadCall]) -> dict[str, int]:
    """Count calls by how they ended, each once."""
    ends = Counter[str]()
    for load_call in load_calls:
        record = load_call.record
        if record is None:
            ends['not made'] += 1
        elif not record.is_complete:
            ends[
                f'{_incomplete_end(record.status)} by {load_call.call.url}'
            ] += 1
        else:
            ends[f'{record.status} {record.outcome}'] += 1
    return dict(sorted(ends.items()))


def _incomplete_end(status: int) -> str:
    return 'cut after its start' if status else 'unanswered'


def _split(stalls: Sequence[Stall]) -> dict[str, dict[str, float]]:
    """Return the number of calls and the parts of their waits, by kind."""
    by_kind: dict[str, list[Stall]] = defaultdict(list)
    for stall in stalls:
        by_kind[stall.kind].append(stall)
    return {
        kind: {
            'calls': len(kind_stalls),
            'to_order_s': round(
                sum(each.to_order_s for each in kind_stalls), 1
            ),
            'load_s': round(sum(each.load_s for each in kind_stalls), 1),
            'told_s': round(sum(each.told_s for each in kind_stalls), 1),
        }
        for kind, kind_stalls in sorted(by_kind.items())
    }


def _refusals(load_calls: Iterable[LoadCall]) -> dict[str, Any]:
    refused = [
        load_call.record
        for load_call in load_calls
        if load_call.record and load_call.record.status == STATUS_OVERLOADED
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
    """Round a value; return `None` for NaN, which JSON cannot represent."""
    return round(value, digits) if value == value else None


def _time_of(event: Mapping[str, Any]) -> float:
    """Return the monotonic time of a log entry."""
    return float(event.get('at') or event.get('accepted_at') or 0)
