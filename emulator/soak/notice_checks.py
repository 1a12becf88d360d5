"""Whether gateways heed what servers say of further requests."""

from __future__ import annotations

from collections.abc import Iterator

from emulator.soak.evidence import Evidence, Notice

#: From the answer that asks for a pause until nothing more may arrive, and how
#: many requests may do so all the same.
GRACE_S = 0.5
MAX_IN_PAUSE = 2

#: From the answer that says that its server leaves until callers' requests that
#: are sent later may not reach it.
DRAIN_S = 2.0

#: Faults of a gateway after which it knows nothing, or knew it late.
_EXCUSES = frozenset(
    ('gateway_kill', 'gateway_stop', 'gateway_pause', 'all_gateways_kill')
)

#: Faults that hold up what was sent to a server.
_HOLD_UPS = frozenset(
    ('server_delay', 'server_silent_up', 'server_silent_down', 'server_pause')
)


def asked_in_pauses(seen: Evidence) -> Iterator[str]:
    """Yield servers that got requests while they wanted none.

    :param seen: what callers and back ends saw.
    """
    gateways = _gateways(seen)
    for notice in seen.notices:
        gateway = gateways.get(notice.request, '')
        until_s = notice.at_s + notice.for_s
        if not notice.for_s or _is_excused(seen, notice, gateway, until_s):
            continue
        came = [
            arrival.request
            for arrival in seen.arrivals
            if arrival.server == notice.server
            and notice.at_s + GRACE_S < arrival.at_s < until_s
            and gateways.get(arrival.request) == gateway
        ]
        if len(came) > MAX_IN_PAUSE:
            yield f'{notice.server} got {len(came)} in a pause from {gateway}'


def asked_though_leaving(seen: Evidence) -> Iterator[str]:
    """Yield requests that reached servers which had said that they leave.

    :param seen: what callers and back ends saw.
    """
    gateways = _gateways(seen)
    sent_s = {got.request_id: got.sent_s for got in seen.results}
    for notice in seen.notices:
        if notice.for_s:
            continue
        gateway = gateways.get(notice.request, '')
        for arrival in seen.arrivals:
            if arrival.server != notice.server:
                continue
            if gateways.get(arrival.request) != gateway:
                continue
            if sent_s[arrival.request] < notice.at_s + DRAIN_S:
                continue
            if not _is_excused(seen, notice, gateway, arrival.at_s):
                yield f'{arrival.request} reached {notice.server}, which leaves'


def _gateways(seen: Evidence) -> dict[str, str]:
    """Return the gateway that each request was sent to."""
    return {got.request_id: got.gateway for got in seen.results}


def _is_excused(
    seen: Evidence, notice: Notice, gateway: str, until_s: float
) -> bool:
    """Tell whether a gateway can't know of a notice, or the server forgot it."""
    if any(
        start.server == notice.server and notice.at_s < start.at_s < until_s
        for start in seen.server_starts
    ):
        return True
    return any(
        fault.overlaps(notice.at_s, until_s)
        and (
            (fault.kind in _EXCUSES and fault.target in {gateway, ''})
            or (fault.kind in _HOLD_UPS and fault.target == notice.server)
        )
        for fault in seen.injected
    )
