"""An estimate of how soon adapter slots of a busy engine become free.

When many engines are lost, each slot of the remaining ones holds an adapter in
use, and loads wait until requests finish. With the estimate, a request that
would not get a slot in time is refused at once with a time after which to
retry.
"""

from __future__ import annotations

from collections import deque

#: Length of the window in which freed slots are counted.
_WINDOW_S = 2.0

#: Assumed usage time of an adapter if no slot was freed in the window.
_DEFAULT_USAGE_S = 4.0


class SlotTurnover:
    """The recently freed adapter slots of one engine."""

    def __init__(self) -> None:
        self._freed_s: deque[float] = deque()

    def on_freed(self, now_s: float) -> None:
        """Record that an adapter is no longer in use.

        :param now_s: the present time, monotonic seconds.
        """
        self._freed_s.append(now_s)
        self._drop_old(now_s)

    def expected_wait_s(self, missing: int, slots: int, now_s: float) -> float:
        """Return the expected time until a number of slots are free.

        :param missing: number of slots needed beyond the available ones.
        :param slots: number of adapter slots of the engine.
        :param now_s: the present time, monotonic seconds.
        """
        self._drop_old(now_s)
        min_rate_per_s = max(1, slots) / _DEFAULT_USAGE_S
        rate_per_s = max(len(self._freed_s) / _WINDOW_S, min_rate_per_s)
        return max(0, missing) / rate_per_s

    def _drop_old(self, now_s: float) -> None:
        while self._freed_s and now_s - self._freed_s[0] > _WINDOW_S:
            self._freed_s.popleft()
