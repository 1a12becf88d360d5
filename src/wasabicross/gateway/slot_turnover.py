"""How soon adapter slots of a busy engine come free.

Answers days on which most engines are lost: each slot of the others holds an
adapter in use, and loads wait for runs to end. A request that couldn't get a
slot in time is refused at once, and its caller told when to come back.
"""

from __future__ import annotations

from collections import deque

#: How far back slots that came free are counted.
_WINDOW_S = 2.0

#: Longest time that an adapter is in use where no use has ended lately.
_LONGEST_USE_S = 4.0


class SlotTurnover:
    """Adapters of one engine whose use ended lately."""

    def __init__(self) -> None:
        self._freed_s: deque[float] = deque()

    def on_freed(self, now_s: float) -> None:
        """Note that nobody uses an adapter any longer.

        :param now_s: the present time, monotonic seconds.
        """
        self._freed_s.append(now_s)
        self._drop_old(now_s)

    def expected_wait_s(self, lacking: int, slots: int, now_s: float) -> float:
        """Return how long it probably takes until slots come free.

        :param lacking: how many are needed beyond those that can be had now.
        :param slots: adapters that the engine holds at most.
        :param now_s: the present time, monotonic seconds.
        """
        self._drop_old(now_s)
        slowest_per_s = max(1, slots) / _LONGEST_USE_S
        per_s = max(len(self._freed_s) / _WINDOW_S, slowest_per_s)
        return max(0, lacking) / per_s

    def _drop_old(self, now_s: float) -> None:
        while self._freed_s and now_s - self._freed_s[0] > _WINDOW_S:
            self._freed_s.popleft()
