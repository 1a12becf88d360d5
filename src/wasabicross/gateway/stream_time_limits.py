"""The longest time limits that callers of services and routes have stated."""

from __future__ import annotations

import math
from collections import OrderedDict
from typing import NamedTuple

from wasabicross.gateway.configuration import Route
from wasabicross.gateway.usual_time_limits import UsualTimeLimits

#: Limits are rounded up to multiples of this, so that few are written.
_STEP_S = 1

#: Longest limit that is noted. One caller who states more must not keep former
#: buckets for hours, as streams of those can't be resumed.
_MAX_LIMIT_S = 600

#: Most routes whose limits are kept; the oldest are forgotten.
_MAX_ROUTES = 1024


class StreamTimeLimits:
    """How long callers may wait who resume streams of a service."""

    def __init__(self) -> None:
        self._longest_s: dict[str, float] = {}

    def note_time_limit(self, service: str, time_left_s: float) -> None:
        """Record the time limit of a request on a resumable route.

        :param service: name of the service, as configured.
        :param time_left_s: the limit that its caller stated, seconds.
        """
        if time_left_s <= self.longest_s(service):
            return
        rounded_s = math.ceil(min(time_left_s, _MAX_LIMIT_S) / _STEP_S)
        self._longest_s[service] = rounded_s * _STEP_S

    def longest_s(self, service: str) -> float:
        """Return the longest limit of a service so far, 0 if none is known.

        :param service: name of the service.
        """
        return self._longest_s.get(service, 0)


class _RouteLimit(NamedTuple):
    """The longest limit that callers of a route have stated.

    :param longest_s: the limit, seconds.
    :param since_s: when the first request stated one, monotonic seconds.
    """

    longest_s: float
    since_s: float


class RouteTimeLimits:
    """How long callers of each route may wait."""

    def __init__(self) -> None:
        self._limits: OrderedDict[str, _RouteLimit] = OrderedDict()
        self._usual = UsualTimeLimits()

    def note_time_limit(
        self, route: str, time_left_s: float, now_s: float
    ) -> None:
        """Record the time limit of a request that begins a stream.

        :param route: name of its route.
        :param time_left_s: the limit that its caller stated, seconds.
        :param now_s: the present time, monotonic seconds.
        """
        known = self._limits.get(route, _RouteLimit(0, now_s))
        longest_s = max(known.longest_s, min(time_left_s, _MAX_LIMIT_S))
        self._limits[route] = known._replace(longest_s=longest_s)
        self._limits.move_to_end(route)
        self._usual.note(route, time_left_s)
        if len(self._limits) > _MAX_ROUTES:
            self._limits.popitem(last=False)

    def longest_s(
        self, route: str, longest_wait_s: float, now_s: float
    ) -> float | None:
        """Return the longest limit of a route, None until it is known.

        Callers that return state only the rest of their limits, so it isn't
        known before those that came first have left.

        :param route: name of the route.
        :param longest_wait_s: how long callers may wait, seconds.
        :param now_s: the present time, monotonic seconds.
        """
        known = self._limits.get(route)
        if known is None or now_s - known.since_s < longest_wait_s:
            return None
        return known.longest_s

    def whole_limits_s(
        self, route: Route, longest_wait_s: float, now_s: float
    ) -> tuple[float, ...]:
        """Return the limits that callers of a route have, seconds, longest first.

        :param route: the route.
        :param longest_wait_s: how long callers may wait, seconds.
        :param now_s: the present time, monotonic seconds.
        """
        longest_s = self.longest_s(route.name, longest_wait_s, now_s)
        if longest_s is None:
            longest_s = longest_wait_s
        usual_s = self._usual.usual_s(route.name)
        found = {longest_s, route.timeout_s, *usual_s}
        return tuple(sorted(found, reverse=True))
