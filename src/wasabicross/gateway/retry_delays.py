"""Retry-after times for callers whose requests were refused.

When engines fail or demand jumps, a retry that comes while the service is still
full is refused again, and its caller may not try a third time. So the delay
grows with the share of a service's requests that are refused, and is randomized
so that retries don't come at the same moment.
"""

from __future__ import annotations

import random
from collections import deque
from collections.abc import Callable

#: Time window in which requests of a service are counted.
_WINDOW_S = 2.0

#: Mean delay if hardly any request is refused, and if all are.
_MIN_MEAN_DELAY_S = 0.4
_MAX_MEAN_DELAY_S = 4.0

#: Longest delay as a share of the time that the caller has left.
_MAX_SHARE_OF_TIME_LEFT = 1 / 3


class RetryDelays:
    """Computes the retry delays of one service.

    :param draw: returns random numbers from 0 to 1, 1 excluded.
    """

    def __init__(self, draw: Callable[[], float]) -> None:
        self._draw_random = draw
        self._sent_s: deque[float] = deque()
        self._refused_s: deque[float] = deque()

    def on_sent(self, now_s: float) -> None:
        """Record a request for which a server was found.

        :param now_s: the present time, monotonic seconds.
        """
        self._sent_s.append(now_s)
        _drop_old(self._sent_s, now_s)

    def on_refused(
        self, time_left_s: float, now_s: float, min_delay_s: float = 0
    ) -> float:
        """Record a refusal; return the delay until a retry, seconds.

        :param time_left_s: time that the caller has left, seconds.
        :param now_s: the present time, monotonic seconds.
        :param min_delay_s: how long the service will take no request, seconds.
        """
        self._refused_s.append(now_s)
        _drop_old(self._refused_s, now_s)
        _drop_old(self._sent_s, now_s)
        refusals = len(self._refused_s)
        share = refusals / (refusals + len(self._sent_s))
        base_s = _MIN_MEAN_DELAY_S + share * (
            _MAX_MEAN_DELAY_S - _MIN_MEAN_DELAY_S
        )
        jittered_s = base_s * (0.5 + self._draw_random())
        limited_s = min(
            jittered_s, max(0, time_left_s) * _MAX_SHARE_OF_TIME_LEFT
        )
        return max(min_delay_s, limited_s)


class RetryDelaysByService:
    """Retry delays of each service."""

    def __init__(self) -> None:
        self._delays: dict[str, RetryDelays] = {}

    def for_service(self, service: str) -> RetryDelays:
        """Return the retry delays of a service.

        :param service: name of the service.
        """
        return self._delays.setdefault(service, RetryDelays(random.random))


def _drop_old(times_s: deque[float], now_s: float) -> None:
    while times_s and now_s - times_s[0] > _WINDOW_S:
        times_s.popleft()
