"""When callers that were refused may come back.

Answers days on which engines are lost or demand jumps: what returns while a
service is still full is refused once more, and its caller may not try a third
time. So the more of a service's requests are refused, the later they are told to
come back, and not all at the same moment.
"""

from __future__ import annotations

import random
from collections import deque
from collections.abc import Callable

#: How far back requests of a service are counted.
_WINDOW_S = 2.0

#: When to come back if hardly any request is refused, and if all are.
_SOONEST_S = 0.4
_LATEST_S = 4.0

#: Callers come back in this share of their time left at the latest.
_SHARE_OF_TIME_LEFT = 1 / 3


class RetryDelays:
    """Tells refused callers of one service when to come back.

    :param draw: returns random numbers from 0 to 1, 1 excluded.
    """

    def __init__(self, draw: Callable[[], float]) -> None:
        self._draw = draw
        self._sent_s: deque[float] = deque()
        self._refused_s: deque[float] = deque()

    def on_sent(self, now_s: float) -> None:
        """Note a request that a server was found for.

        :param now_s: the present time, monotonic seconds.
        """
        self._sent_s.append(now_s)
        _drop_old(self._sent_s, now_s)

    def on_refused(
        self, left_s: float, now_s: float, at_least_s: float = 0
    ) -> float:
        """Note a refusal; return the seconds after which to come back.

        :param left_s: time that the caller has left, seconds.
        :param now_s: the present time, monotonic seconds.
        :param at_least_s: for how long the service takes nothing, seconds.
        """
        self._refused_s.append(now_s)
        _drop_old(self._refused_s, now_s)
        _drop_old(self._sent_s, now_s)
        refusals = len(self._refused_s)
        share = refusals / (refusals + len(self._sent_s))
        usual_s = _SOONEST_S + share * (_LATEST_S - _SOONEST_S)
        after_s = usual_s * (0.5 + self._draw())
        in_time_s = min(after_s, max(0, left_s) * _SHARE_OF_TIME_LEFT)
        return max(at_least_s, in_time_s)


class RetryDelaysByService:
    """Return times for each service."""

    def __init__(self) -> None:
        self._returns: dict[str, RetryDelays] = {}

    def for_service(self, service: str) -> RetryDelays:
        """Return when refused callers of a service come back.

        :param service: its name.
        """
        return self._returns.setdefault(service, RetryDelays(random.random))


def _drop_old(times_s: deque[float], now_s: float) -> None:
    while times_s and now_s - times_s[0] > _WINDOW_S:
        times_s.popleft()
