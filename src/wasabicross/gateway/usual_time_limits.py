"""Tells callers that return after a refusal from those that ask first.

Where slots are short, a request that can still be on time should not lose its
slot to one that is late already. A caller that returns has a new request id,
but states less time than before; callers that ask first state the same time
limits again and again.
"""

from __future__ import annotations

from collections import OrderedDict

#: Requests with the same time limit from which on the limit is usual.
_MIN_REQUESTS = 3

#: Most time limits that are counted for one route; the oldest are forgotten.
_MAX_LIMITS = 16

#: Most routes for which limits are counted; the oldest are forgotten.
_MAX_ROUTES = 1024

#: Least difference from a usual limit that shows an earlier wait, seconds.
_MIN_WAIT_S = 0.2

_MS_PER_S = 1000


class UsualTimeLimits:
    """The time limits that callers of each route state most often."""

    def __init__(self) -> None:
        self._counts: OrderedDict[str, OrderedDict[int, int]] = OrderedDict()

    def waited_before_s(self, route: str, time_left_s: float) -> float:
        """Count a request; return how long its caller has waited before it.

        That is the time by which its limit is below the next usual one, 0 if
        the limit is usual itself or no longer one is known.

        :param route: identifies the route.
        :param time_left_s: the time limit that the caller states, seconds.
        """
        self.note(route, time_left_s)
        longer_s = [
            limit_s
            for limit_s in self.usual_s(route)
            if limit_s >= round(time_left_s * _MS_PER_S) / _MS_PER_S
        ]
        waited_s = min(longer_s, default=time_left_s) - time_left_s
        return waited_s if waited_s >= _MIN_WAIT_S else 0

    def note(self, route: str, time_left_s: float) -> None:
        """Count a request.

        :param route: identifies the route.
        :param time_left_s: the time limit that the caller states, seconds.
        """
        time_left_ms = round(time_left_s * _MS_PER_S)
        counts = self._counts.setdefault(route, OrderedDict())
        self._counts.move_to_end(route)
        if len(self._counts) > _MAX_ROUTES:
            self._counts.popitem(last=False)
        counts[time_left_ms] = counts.get(time_left_ms, 0) + 1
        counts.move_to_end(time_left_ms)
        if len(counts) > _MAX_LIMITS:
            counts.popitem(last=False)

    def usual_s(self, route: str) -> tuple[float, ...]:
        """Return the time limits that callers state again and again, seconds.

        :param route: identifies the route.
        """
        counts = self._counts.get(route) or OrderedDict[int, int]()
        return tuple(
            limit_ms / _MS_PER_S
            for limit_ms, count in counts.items()
            if count >= _MIN_REQUESTS
        )
