"""Tells whether an engine still runs requests of gateways that are cut off.

When a data centre is cut off or a gateway is lost, its last report of usage
says nothing of when its requests end. The engine reports how many requests it
has, so once that is no more than the connected gateways have there, none of a
lost gateway is left, and the adapter slots of its requests can be used again.
"""

from __future__ import annotations

from collections import deque

#: Time before a report was requested to which its counts may refer.
_REPORT_LAG_S = 0.45


class OrphanCheck:
    """Compares the requests that an engine reports with those that are known.

    Requests begin and end while a report is on its way, so the report is
    compared with the largest number that was known in that time.
    """

    def __init__(self) -> None:
        self._known: deque[tuple[float, int]] = deque()

    def on_known(self, requests: int, now_s: float) -> None:
        """Record how many requests the connected gateways have at the engine.

        :param requests: their number.
        :param now_s: the present time, monotonic seconds.
        """
        self._known.append((now_s, requests))
        while len(self._known) > 1 and self._known[1][0] < now_s - 1:
            self._known.popleft()

    def has_orphans(self, reported: int, asked_s: float) -> bool:
        """Return whether the engine may have requests of lost gateways.

        :param reported: requests that the engine reports as running or queued.
        :param asked_s: when the report was requested, monotonic seconds.
        """
        since_s = asked_s - _REPORT_LAG_S
        known = [count for at_s, count in self._known if at_s >= since_s]
        return reported > max(known, default=0)
