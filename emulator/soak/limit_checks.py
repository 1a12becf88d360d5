"""Checks that gateways keep to the limits of load that servers state."""

from __future__ import annotations

import bisect
import itertools
from collections.abc import Iterator, Sequence

from emulator.soak.evidence import Evidence, StatedLimit
from emulator.soak.notice_checks import gateway_by_request, has_fault

#: Length of the windows in which requests are counted, and what is allowed in
#: one: a share of the limit and some requests more.
WINDOW_S = 4.0
ALLOWED_SHARE = 1.5
ALLOWED_MORE = 5

#: Time from the first answer with a limit until it is judged, and from an answer
#: until the gateway that got it is bound.
SETTLED_S = 3.0
TOLD_S = 0.5

#: Most times that a server falls over in one time in which it is brittle.
MAX_FALLS = 2

#: A pause between two answers with a limit from which on it is another one.
_MAX_GAP_S = 4.0


def requests_beyond_limits(evidence: Evidence) -> Iterator[str]:
    """Yield servers that got more requests than the limit that they stated.

    :param evidence: what callers and back ends recorded.
    """
    gateways = gateway_by_request(evidence)
    for stated in _periods(evidence.limits):
        since_s, until_s = stated[0].at_s + SETTLED_S, stated[-1].at_s
        told_s = _first_told(stated, gateways)
        counted = sorted(
            arrival.at_s
            for arrival in evidence.arrivals
            if arrival.server == stated[0].server
            and since_s <= arrival.at_s <= until_s
            and _is_bound(
                evidence,
                gateways.get(arrival.request, ''),
                told_s,
                arrival.at_s,
            )
        )
        highest = max(each.per_s for each in stated)
        allowed = ALLOWED_SHARE * WINDOW_S * highest + ALLOWED_MORE
        most = _most_in_window(counted)
        if most > allowed:
            yield f'{stated[0].server} got {most} in {WINDOW_S} s, {allowed} allowed'


def brittle_servers_that_fell(evidence: Evidence) -> Iterator[str]:
    """Yield servers that fell over too often while they were brittle.

    :param evidence: what callers and back ends recorded.
    """
    for period in evidence.brittle:
        if not period.for_s:
            continue
        since_s = period.at_s + SETTLED_S
        until_s = period.at_s + period.for_s
        falls = [
            each
            for each in evidence.brittle
            if each.server == period.server
            and not each.for_s
            and since_s <= each.at_s <= until_s
        ]
        if len(falls) > MAX_FALLS:
            yield f'{period.server} fell over {len(falls)} times'


def _periods(
    limits: Sequence[StatedLimit],
) -> Iterator[list[StatedLimit]]:
    """Yield the answers with a limit of each server, without long gaps."""
    by_server = sorted(limits, key=lambda each: (each.server, each.at_s))
    period: list[StatedLimit] = []
    for each in by_server:
        if period and (
            each.server != period[-1].server
            or each.at_s - period[-1].at_s > _MAX_GAP_S
        ):
            yield period
            period = []
        period.append(each)
    if period:
        yield period


def _first_told(
    stated: Sequence[StatedLimit], gateways: dict[str, str]
) -> dict[str, float]:
    """Return when each gateway first got an answer with the limit."""
    told_s: dict[str, float] = {}
    for each in stated:
        told_s.setdefault(gateways.get(each.request, ''), each.at_s)
    return told_s


def _is_bound(
    evidence: Evidence, gateway: str, told_s: dict[str, float], at_s: float
) -> bool:
    """Tell whether a gateway knew a limit, with no fault that excuses it."""
    since_s = told_s.get(gateway)
    if since_s is None or at_s < since_s + TOLD_S:
        return False
    return not has_fault(evidence, gateway, since_s - SETTLED_S, at_s)


def _most_in_window(times_s: Sequence[float]) -> int:
    return max(
        itertools.starmap(
            lambda position, start_s: (
                bisect.bisect_right(times_s, start_s + WINDOW_S) - position
            ),
            enumerate(times_s),
        ),
        default=0,
    )
