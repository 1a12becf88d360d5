"""Checks that gateways obey the pause and leaving notices of servers."""

from __future__ import annotations

from collections.abc import Iterator

from emulator.soak.evidence import Evidence, Notice

#: Time from the answer that asks for a pause until the pause is judged, and the
#: maximum number of requests that may still arrive from then on.
PAUSE_NOTICE_DELAY_S = 0.5
MAX_REQUESTS_IN_PAUSE = 2

#: Time from the answer in which a server says that it leaves. Requests that
#: callers send later may not reach this server.
LEAVE_NOTICE_DELAY_S = 2.0

#: Faults by which a gateway loses a notice or gets it late.
_GATEWAY_FAULTS = frozenset(
    ('gateway_kill', 'gateway_stop', 'gateway_pause', 'all_gateways_kill')
)

#: Faults that delay requests on their way to a server.
_DELAYING_FAULTS = frozenset(
    ('server_delay', 'server_silent_up', 'server_silent_down', 'server_pause')
)


def requests_during_pauses(evidence: Evidence) -> Iterator[str]:
    """Yield servers that got too many requests in a pause they asked for.

    :param evidence: what callers and back ends recorded.
    """
    gateways = gateway_by_request(evidence)
    for notice in evidence.notices:
        gateway = gateways.get(notice.request, '')
        until_s = notice.at_s + notice.for_s
        if not notice.for_s or _is_excused(evidence, notice, gateway, until_s):
            continue
        late = [
            arrival.request
            for arrival in evidence.arrivals
            if arrival.server == notice.server
            and notice.at_s + PAUSE_NOTICE_DELAY_S < arrival.at_s < until_s
            and gateways.get(arrival.request) == gateway
        ]
        if len(late) > MAX_REQUESTS_IN_PAUSE:
            yield f'{notice.server} got {len(late)} in a pause from {gateway}'


def requests_to_leaving_servers(evidence: Evidence) -> Iterator[str]:
    """Yield requests that reached servers after these said that they leave.

    :param evidence: what callers and back ends recorded.
    """
    gateways = gateway_by_request(evidence)
    sent_s = {result.request_id: result.sent_s for result in evidence.results}
    for notice in evidence.notices:
        if notice.for_s:
            continue
        gateway = gateways.get(notice.request, '')
        for arrival in evidence.arrivals:
            if arrival.server != notice.server:
                continue
            if gateways.get(arrival.request) != gateway:
                continue
            if sent_s[arrival.request] < notice.at_s + LEAVE_NOTICE_DELAY_S:
                continue
            if not _is_excused(evidence, notice, gateway, arrival.at_s):
                yield f'{arrival.request} reached {notice.server}, which leaves'


def gateway_by_request(evidence: Evidence) -> dict[str, str]:
    """Return the gateway that each request was sent to, by request id.

    :param evidence: what callers and back ends recorded.
    """
    return {result.request_id: result.gateway for result in evidence.results}


def has_fault(
    evidence: Evidence, gateway: str, since_s: float, until_s: float
) -> bool:
    """Tell whether a gateway was ended or stood still in some time.

    :param evidence: what callers and back ends recorded.
    :param gateway: its name.
    :param since_s: start of the time, monotonic seconds.
    :param until_s: end of the time, monotonic seconds.
    """
    return any(
        fault.kind in _GATEWAY_FAULTS
        and fault.target in {gateway, ''}
        and fault.overlaps(since_s, until_s)
        for fault in evidence.injected
    )


def _is_excused(
    evidence: Evidence, notice: Notice, gateway: str, until_s: float
) -> bool:
    """Tell whether a fault or a restart of the server makes a notice void."""
    if any(
        start.server == notice.server and notice.at_s < start.at_s < until_s
        for start in evidence.server_starts
    ):
        return True
    return any(
        fault.overlaps(notice.at_s, until_s)
        and (
            (fault.kind in _GATEWAY_FAULTS and fault.target in {gateway, ''})
            or (
                fault.kind in _DELAYING_FAULTS and fault.target == notice.server
            )
        )
        for fault in evidence.injected
    )
