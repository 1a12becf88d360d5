"""The promises, judged by what callers and back ends saw alone."""

from __future__ import annotations

from collections import Counter, defaultdict
from collections.abc import Iterator
from itertools import pairwise

from emulator.soak.backend import event
from emulator.soak.callers import CallResult, time_limit_s
from emulator.soak.configuration_checks import (
    configurations_gone_back,
    old_configurations,
)
from emulator.soak.deployment import (
    GRACE_S,
    HOLDER_GAP_S,
    RETRY_RATIO,
    RETRY_SLACK,
    ROUTES,
)
from emulator.soak.evidence import Evidence, OrderReceived
from emulator.soak.notice_checks import asked_in_pauses, asked_though_leaving

#: From the acknowledgement of a version, or the last fault, until requests
#: run on that version.
VERSION_S = 5.0

#: From the last fault until requests are served again, and the least share of
#: them that is.
RECOVER_S = 12.0
RECOVERED_SHARE = 0.9
MIN_AFTER = 50

#: How long after its sender was resumed, or its link healed, an order that
#: arrives was sent before.
RESUMED_S = 0.3

#: How much longer than its time limit a request may be held.
HELD_S = 0.5

#: How long a request that was sent may wait until a gateway has read it.
READ_S = 0.2

#: Window over which repeats are counted.
RETRY_WINDOW_S = 10.0

_OK = 200
_UNAVAILABLE = 503
_NOT_RUN_STATUSES = frozenset((408, 421, 429, _UNAVAILABLE))

#: Faults that are no reason to cut an answer, or to hold it.
_HARMLESS = frozenset(
    (
        'gateway_stop',
        'gateway_hangup',
        'store_cut',
        'store_silent',
        'orders_late',
    )
)

_ONCE = frozenset(
    each.name
    for each in ROUTES
    if each.kind in {'streaming', 'unsafe'} and not each.is_resumable
)


def violations(seen: Evidence) -> list[str]:
    """Return the promises that a run broke, a line for each case.

    :param seen: what callers and back ends saw.
    """
    return [
        *wrong_answers(seen),
        *ran_without_caller(seen),
        *ran_twice(seen),
        *ran_though_refused(seen),
        *refused_without_return(seen),
        *old_versions(seen),
        *old_configurations(seen),
        *configurations_gone_back(seen),
        *two_owners(seen),
        *falling_terms(seen),
        *(f'slots passed at {server}' for server in seen.overfilled_engines),
        *(
            f'{gateway} has ended by itself'
            for gateway in seen.unexpected_exits
        ),
        *bad_stops(seen),
        *cut_by_stops(seen),
        *held_too_long(seen),
        *repeated_too_often(seen),
        *asked_in_pauses(seen),
        *asked_though_leaving(seen),
        *not_recovered(seen),
    ]


def wrong_answers(seen: Evidence) -> Iterator[str]:
    """Yield answers that aren't the request's own and whole."""
    for got in seen.results:
        if got.status != _OK:
            continue
        if got.echoed != got.request_id:
            yield f'{got.request_id} got the answer of {got.echoed}'
        elif got.is_complete and got.body != _expected(got):
            yield f'{got.request_id} got a whole answer with another body'
        elif not _expected(got).startswith(got.body):
            yield f'{got.request_id} got pieces of another answer'


def ran_without_caller(seen: Evidence) -> Iterator[str]:
    """Yield requests that nobody sent."""
    sent = {got.request_id for got in seen.results}
    for run in seen.runs:
        if run.request not in sent:
            yield f'{run.request} ran at {run.server}, but nobody sent it'


def ran_twice(seen: Evidence) -> Iterator[str]:
    """Yield requests that ran more than once, though they may not."""
    counts = Counter(run.request for run in seen.runs)
    for got in seen.results:
        if got.kind in _ONCE and counts[got.request_id] > 1:
            yield f'{got.request_id} ran {counts[got.request_id]} times'


def ran_though_refused(seen: Evidence) -> Iterator[str]:
    """Yield requests that ran, though their callers were told otherwise."""
    ran = {run.request for run in seen.runs}
    for got in seen.results:
        is_promised = got.status in _NOT_RUN_STATUSES and got.kind in _ONCE
        if is_promised and got.request_id in ran:
            yield f'{got.request_id} was refused with {got.status}, and ran'


def refused_without_return(seen: Evidence) -> Iterator[str]:
    """Yield refusals that don't say when to come back."""
    for got in seen.results:
        if got.status == _UNAVAILABLE and not got.retry_after:
            yield f'{got.request_id} was refused without a time to come back'


def old_versions(seen: Evidence) -> Iterator[str]:
    """Yield runs on an old version, once faults have ended for long."""
    for run in seen.runs:
        if run.at_s < seen.faults_end_s + VERSION_S:
            continue
        newest = max(
            (
                named.version
                for named in seen.published_versions
                if named.adapter == run.adapter
                and named.at_s < run.at_s - VERSION_S
            ),
            default=run.version,
        )
        if run.version < newest:
            yield f'{run.request} ran on version {run.version}, not {newest}'


def two_owners(seen: Evidence) -> Iterator[str]:
    """Yield orders that came too soon after those of another owner."""
    for server, orders in _orders_by_server(seen).items():
        for one, other in pairwise(orders):
            gap_s = other.at_s - one.at_s
            if one.owner != other.owner and gap_s < HOLDER_GAP_S:
                yield (
                    f'{server} got orders of {one.owner} and {other.owner} '
                    f'within {gap_s:.2f} s'
                )


def falling_terms(seen: Evidence) -> Iterator[str]:
    """Yield orders of a term that had ended, or of one term by two owners."""
    for server, orders in _orders_by_server(seen).items():
        for one, other in pairwise(orders):
            if other.term < one.term:
                yield f'{server} got term {other.term} after {one.term}'
            elif other.term == one.term and other.owner != one.owner:
                yield f'{server} got term {one.term} from two owners'


def bad_stops(seen: Evidence) -> Iterator[str]:
    """Yield gateways that didn't end in order, or in time."""
    for stop in seen.stops:
        if stop.was_up and stop.exit_code:
            yield f'{stop.gateway} stopped with exit code {stop.exit_code}'
        if stop.took_s > GRACE_S:
            yield f'{stop.gateway} took {stop.took_s:.1f} s to stop'


def cut_by_stops(seen: Evidence) -> Iterator[str]:
    """Yield answers that a graceful stop cut short."""
    stops = [fault for fault in seen.injected if fault.kind == 'gateway_stop']
    servers = _servers_of(seen)
    for got in seen.results:
        if got.is_complete or _ran_out_of_time(got):
            continue
        if not got.status and not _was_read(got, servers):
            continue
        is_stop = any(
            stop.target == got.gateway
            and stop.overlaps(got.sent_s, got.ended_s)
            for stop in stops
        )
        hit = {got.gateway, *servers[got.request_id]}
        if is_stop and not _was_hit(seen, got, hit):
            yield f'{got.request_id} was cut by the stop of {got.gateway}'


def held_too_long(seen: Evidence) -> Iterator[str]:
    """Yield requests that got their last word long after their time limit."""
    for got in seen.results:
        held_s = got.ended_s - got.sent_s
        if held_s < time_limit_s(got) + HELD_S:
            continue
        if not _was_hit(seen, got, {got.gateway}):
            told = got.status or 'no answer'
            yield f'{got.request_id} was held {held_s:.2f} s for {told}'


def repeated_too_often(seen: Evidence) -> Iterator[str]:
    """Yield moments before which more was repeated than the budget allows."""
    first_s: dict[str, float] = {}
    repeats: dict[str, list[float]] = defaultdict(list)
    for arrival in seen.arrivals:
        service = arrival.server.partition('-')[0]
        if arrival.request in first_s:
            repeats[service].append(arrival.at_s)
        first_s.setdefault(arrival.request, arrival.at_s)
    for service, times in repeats.items():
        asked = sorted(
            got.sent_s for got in seen.results if _service_of(got) == service
        )
        for at_s in times:
            count = _count(times, at_s)
            before_s = at_s - RETRY_WINDOW_S / 2
            wanted = max(_count(asked, at_s), _count(asked, before_s))
            allowed = RETRY_RATIO * wanted + RETRY_SLACK
            if count > allowed:
                yield f'{count} repeats at {service}, {allowed:.0f} allowed'


def not_recovered(seen: Evidence) -> Iterator[str]:
    """Yield that requests aren't served again after the last fault."""
    since_s = seen.faults_end_s + RECOVER_S
    after = [got for got in seen.results if got.sent_s > since_s]
    served = sum(got.status == _OK and got.is_complete for got in after)
    if len(after) < MIN_AFTER:
        yield f'{len(after)} requests were sent after all faults'
    elif served < RECOVERED_SHARE * len(after):
        yield f'{served} of {len(after)} were served after all faults'


def _expected(got: CallResult) -> bytes:
    if not got.events:
        return f'{{"request": "{got.request_id}"}}'.encode()
    return b''.join(
        event(got.request_id, number) for number in range(1, got.events + 1)
    )


def _orders_by_server(seen: Evidence) -> dict[str, list[OrderReceived]]:
    """Return the orders that count, by engine."""
    found: dict[str, list[OrderReceived]] = defaultdict(list)
    for order in seen.orders:
        if not order.is_late and not _was_under_way(seen, order):
            found[order.server].append(order)
    return found


def _was_under_way(seen: Evidence, order: OrderReceived) -> bool:
    """Tell whether a pause or a link may have held an order up."""
    return any(
        fault.target in {order.owner, order.server}
        and fault.overlaps(order.at_s - RESUMED_S, order.at_s)
        for fault in seen.injected
        if fault.kind in {'gateway_pause', 'server_pause', 'server_delay'}
        or fault.kind.startswith('server_silent')
    )


def _was_hit(seen: Evidence, got: CallResult, processes: set[str]) -> bool:
    """Tell whether a fault of some processes may have hit a request."""
    return any(
        fault.overlaps(got.sent_s, got.ended_s)
        # It waits for the next requests.
        or (fault.kind == 'server_die' and fault.from_s <= got.ended_s)
        for fault in seen.injected
        if fault.kind not in _HARMLESS
        and (fault.target in processes or fault.kind == 'all_gateways_kill')
    )


def _servers_of(seen: Evidence) -> dict[str, set[str]]:
    """Return the servers that each request has reached."""
    servers: dict[str, set[str]] = defaultdict(set)
    for arrival in seen.arrivals:
        servers[arrival.request].add(arrival.server)
    return servers


def _was_read(got: CallResult, servers: dict[str, set[str]]) -> bool:
    """Tell whether a gateway must have read a request without an answer."""
    waited_s = got.ended_s - got.sent_s
    return bool(servers[got.request_id]) or waited_s > READ_S


def _ran_out_of_time(got: CallResult) -> bool:
    return got.ended_s - got.sent_s >= time_limit_s(got)


def _service_of(got: CallResult) -> str:
    return next(each.service for each in ROUTES if each.name == got.kind)


def _count(times: list[float], at_s: float) -> int:
    """Count the moments in the window that ends at one."""
    return sum(at_s - RETRY_WINDOW_S < each <= at_s for each in times)
