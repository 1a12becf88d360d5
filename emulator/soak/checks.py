"""Checks of the promises on what callers and back ends recorded.

They use no internal state of a gateway.
"""

from __future__ import annotations

from collections import Counter, defaultdict
from collections.abc import Iterator
from itertools import pairwise

from emulator.soak.callers import CallResult, time_limit_s
from emulator.soak.configuration_checks import (
    lost_configurations,
    missing_configurations,
)
from emulator.soak.crash_checks import (
    requests_that_went_on_crashing,
    sound_requests_refused_for_crashes,
)
from emulator.soak.deployment import (
    GRACE_PERIOD_S,
    MIN_OWNER_GAP_S,
    RETRY_ALLOWANCE,
    RETRY_RATIO,
)
from emulator.soak.evidence import Evidence, OrderReceived
from emulator.soak.limit_checks import (
    brittle_servers_that_fell,
    requests_beyond_limits,
)
from emulator.soak.notice_checks import (
    requests_during_pauses,
    requests_to_leaving_servers,
)
from emulator.soak.routes import ALL_ROUTES
from emulator.soak.stream_checks import streams_of_two_versions, wrong_answers

#: Maximum time from the acknowledgement of a version, or from the end of the
#: last fault, until all requests run on that version.
VERSION_TIMEOUT_S = 5.0

#: Maximum time from the end of the last fault until requests are served again;
#: the minimum share of them that is served after that; and the minimum number
#: of requests for this check, fewer of which are a violation as well.
RECOVER_S = 12.0
MIN_SERVED_SHARE = 0.9
MIN_REQUESTS_AFTER = 50

#: An order that arrives within this time after its sender was resumed, or after
#: its link was repaired, may have been sent before the pause or link fault.
MAX_DELIVERY_DELAY_S = 0.3

#: Maximum time for which a request may stay unanswered beyond its time limit.
MAX_OVERRUN_S = 0.5

#: Maximum time from sending a request until a gateway has read it.
MAX_READ_DELAY_S = 0.2

#: Length of the window in which retries are counted.
RETRY_WINDOW_S = 10.0

_OK = 200
_UNAVAILABLE = 503
_NOT_RUN_STATUSES = frozenset((408, 421, 429, _UNAVAILABLE))

#: Faults that excuse neither a truncated nor a late answer.
_NOT_EXCUSING = frozenset(
    (
        'gateway_stop',
        'gateway_hangup',
        'store_cut',
        'store_silent',
        'orders_late',
    )
)

_RUN_AT_MOST_ONCE = frozenset(
    each.name
    for each in ALL_ROUTES
    if each.kind in {'streaming', 'unsafe'} and not each.is_resumable
)


def violations(evidence: Evidence) -> list[str]:
    """Return a line for each violation of a promise in a run.

    :param evidence: what callers and back ends recorded.
    """
    return [
        *wrong_answers(evidence),
        *streams_of_two_versions(evidence),
        *ran_without_caller(evidence),
        *ran_twice(evidence),
        *ran_though_refused(evidence),
        *refusals_without_retry_after(evidence),
        *runs_on_old_versions(evidence),
        *missing_configurations(evidence),
        *lost_configurations(evidence),
        *overlapping_owners(evidence),
        *wrong_terms(evidence),
        *(
            f'slots passed at {server}'
            for server in evidence.overfilled_engines
        ),
        *(
            f'{gateway} has ended by itself'
            for gateway in evidence.unexpected_exits
        ),
        *failed_stops(evidence),
        *answers_cut_by_stops(evidence),
        *held_too_long(evidence),
        *retries_over_budget(evidence),
        *requests_during_pauses(evidence),
        *requests_to_leaving_servers(evidence),
        *requests_beyond_limits(evidence),
        *brittle_servers_that_fell(evidence),
        *requests_that_went_on_crashing(evidence),
        *sound_requests_refused_for_crashes(evidence),
        *not_recovered(evidence),
    ]


def ran_without_caller(evidence: Evidence) -> Iterator[str]:
    """Yield requests that ran though no caller sent them."""
    sent = {result.request_id for result in evidence.results}
    for run in evidence.runs:
        if run.request not in sent:
            yield f'{run.request} ran at {run.server}, but nobody sent it'


def ran_twice(evidence: Evidence) -> Iterator[str]:
    """Yield requests that ran more than once though they may run only once."""
    counts = Counter(run.request for run in evidence.runs)
    for result in evidence.results:
        if (
            result.route_name in _RUN_AT_MOST_ONCE
            and counts[result.request_id] > 1
        ):
            yield f'{result.request_id} ran {counts[result.request_id]} times'


def ran_though_refused(evidence: Evidence) -> Iterator[str]:
    """Yield requests that ran though their status says that they did not."""
    ran = {run.request for run in evidence.runs}
    for result in evidence.results:
        may_not_run = (
            result.status in _NOT_RUN_STATUSES
            and result.route_name in _RUN_AT_MOST_ONCE
        )
        if may_not_run and result.request_id in ran:
            yield (
                f'{result.request_id} was refused with {result.status}, '
                'but it ran'
            )


def refusals_without_retry_after(evidence: Evidence) -> Iterator[str]:
    """Yield 503 answers without a Retry-After field."""
    for result in evidence.results:
        if result.status == _UNAVAILABLE and not result.retry_after:
            yield f'{result.request_id} was refused without a time to come back'


def runs_on_old_versions(evidence: Evidence) -> Iterator[str]:
    """Yield runs on an old version after the time allowed for a new one."""
    for run in evidence.runs:
        if run.at_s < evidence.faults_end_s + VERSION_TIMEOUT_S:
            continue
        newest = max(
            (
                published.version
                for published in evidence.published_versions
                if published.adapter == run.adapter
                and published.at_s < run.at_s - VERSION_TIMEOUT_S
            ),
            default=run.version,
        )
        if run.version < newest:
            yield f'{run.request} ran on version {run.version}, not {newest}'


def overlapping_owners(evidence: Evidence) -> Iterator[str]:
    """Yield orders that arrived too soon after an order of another owner."""
    for server, orders in _orders_by_server(evidence).items():
        for earlier, later in pairwise(orders):
            gap_s = later.at_s - earlier.at_s
            if earlier.owner != later.owner and gap_s < MIN_OWNER_GAP_S:
                yield (
                    f'{server} got orders of {earlier.owner} and {later.owner} '
                    f'within {gap_s:.2f} s'
                )


def wrong_terms(evidence: Evidence) -> Iterator[str]:
    """Yield orders of a term that had ended, and terms with two owners."""
    for server, orders in _orders_by_server(evidence).items():
        for earlier, later in pairwise(orders):
            if later.term < earlier.term:
                yield f'{server} got term {later.term} after {earlier.term}'
            elif later.term == earlier.term and later.owner != earlier.owner:
                yield f'{server} got term {earlier.term} from two owners'


def failed_stops(evidence: Evidence) -> Iterator[str]:
    """Yield gateways that stopped late or with an exit code other than 0."""
    for stop in evidence.stops:
        if stop.accepted_callers and stop.exit_code:
            yield f'{stop.gateway} stopped with exit code {stop.exit_code}'
        if stop.took_s > GRACE_PERIOD_S:
            yield f'{stop.gateway} took {stop.took_s:.1f} s to stop'


def answers_cut_by_stops(evidence: Evidence) -> Iterator[str]:
    """Yield answers that a graceful stop truncated."""
    stops = [
        fault for fault in evidence.injected if fault.kind == 'gateway_stop'
    ]
    servers = _servers_of(evidence)
    for result in evidence.results:
        if result.is_complete or _ran_out_of_time(result):
            continue
        if not result.status and not _was_read(result, servers):
            continue
        was_stopped = any(
            stop.target == result.gateway
            and stop.overlaps(result.sent_s, result.ended_s)
            for stop in stops
        )
        processes = {result.gateway, *servers[result.request_id]}
        if was_stopped and not _may_be_affected(evidence, result, processes):
            yield f'{result.request_id} was cut by the stop of {result.gateway}'


def held_too_long(evidence: Evidence) -> Iterator[str]:
    """Yield requests that ended too long after their time limit."""
    for result in evidence.results:
        held_s = result.ended_s - result.sent_s
        if held_s < time_limit_s(result) + MAX_OVERRUN_S:
            continue
        if not _may_be_affected(evidence, result, {result.gateway}):
            outcome = result.status or 'no answer'
            yield f'{result.request_id} was held {held_s:.2f} s for {outcome}'


def retries_over_budget(evidence: Evidence) -> Iterator[str]:
    """Yield windows with more retries than the budget allows."""
    first_s: dict[str, float] = {}
    retries: dict[str, list[float]] = defaultdict(list)
    for arrival in evidence.arrivals:
        service = arrival.server.partition('-')[0]
        if arrival.request in first_s:
            retries[service].append(arrival.at_s)
        first_s.setdefault(arrival.request, arrival.at_s)
    for service, times in retries.items():
        sent_times = sorted(
            result.sent_s
            for result in evidence.results
            if _service_of(result) == service
        )
        for at_s in times:
            count = _count_in_window(times, at_s)
            before_s = at_s - RETRY_WINDOW_S / 2
            request_count = max(
                _count_in_window(sent_times, at_s),
                _count_in_window(sent_times, before_s),
            )
            allowed = RETRY_RATIO * request_count + RETRY_ALLOWANCE
            if count > allowed:
                yield f'{count} repeats at {service}, {allowed:.0f} allowed'


def not_recovered(evidence: Evidence) -> Iterator[str]:
    """Yield that too few requests are sent or served after the last fault."""
    since_s = evidence.faults_end_s + RECOVER_S
    after = [result for result in evidence.results if result.sent_s > since_s]
    served = sum(
        result.status == _OK and result.is_complete for result in after
    )
    if len(after) < MIN_REQUESTS_AFTER:
        yield f'{len(after)} requests were sent after all faults'
    elif served < MIN_SERVED_SHARE * len(after):
        yield f'{served} of {len(after)} were served after all faults'


def _orders_by_server(evidence: Evidence) -> dict[str, list[OrderReceived]]:
    """Return the orders to each id, but for those that may be delayed.

    An engine that has started under a new id is another one, which has had no
    orders and no owner.
    """
    found: dict[str, list[OrderReceived]] = defaultdict(list)
    for order in evidence.orders:
        if not order.is_late and not _may_be_delayed(evidence, order):
            found[order.server_id or order.server].append(order)
    return found


def _may_be_delayed(evidence: Evidence, order: OrderReceived) -> bool:
    """Tell whether a pause or a link fault may have delayed an order."""
    return any(
        fault.target in {order.owner, order.server}
        and fault.overlaps(order.at_s - MAX_DELIVERY_DELAY_S, order.at_s)
        for fault in evidence.injected
        if fault.kind in {'gateway_pause', 'server_pause', 'server_delay'}
        or fault.kind.startswith('server_silent')
    )


def _may_be_affected(
    evidence: Evidence, result: CallResult, processes: set[str]
) -> bool:
    """Tell whether a fault of one of some processes may affect a request."""
    return any(
        fault.overlaps(result.sent_s, result.ended_s)
        # It takes effect on the next requests, whenever they arrive.
        or (fault.kind == 'server_die' and fault.from_s <= result.ended_s)
        for fault in evidence.injected
        if fault.kind not in _NOT_EXCUSING
        and (fault.target in processes or fault.kind == 'all_gateways_kill')
    )


def _servers_of(evidence: Evidence) -> dict[str, set[str]]:
    """Return the servers that each request arrived at."""
    servers: dict[str, set[str]] = defaultdict(set)
    for arrival in evidence.arrivals:
        servers[arrival.request].add(arrival.server)
    return servers


def _was_read(result: CallResult, servers: dict[str, set[str]]) -> bool:
    """Tell whether a gateway must have read a request that got no answer."""
    waited_s = result.ended_s - result.sent_s
    return bool(servers[result.request_id]) or waited_s > MAX_READ_DELAY_S


def _ran_out_of_time(result: CallResult) -> bool:
    return result.ended_s - result.sent_s >= time_limit_s(result)


def _service_of(result: CallResult) -> str:
    return next(
        each.service for each in ALL_ROUTES if each.name == result.route_name
    )


def _count_in_window(times: list[float], at_s: float) -> int:
    """Return how many times lie in the window that ends at a time."""
    return sum(at_s - RETRY_WINDOW_S < each <= at_s for each in times)
