"""Round trips over a link, which bound the age of what comes next.

The question is one that gateways of all versions which relay the store answer at
once, in the order of their messages: for a stream that nobody has begun.
"""

from __future__ import annotations

import math

#: Stands for a stream that nobody has begun.
NO_STREAM = b'\0' * 8

#: Interval between questions, and a shorter one for a new link, whose first
#: round trips tell how the clocks differ.
_INTERVAL_S = 1.0
_FIRST_INTERVAL_S = 0.1
_FIRST_TRIPS = 20


class RoundTrips:
    """The questions over one link that tell round trips."""

    def __init__(self) -> None:
        self._asked_s: dict[int, float] = {}
        self._last_s = -math.inf
        self._begun = 0

    def is_due(self, now_s: float) -> bool:
        """Return whether to ask again; one question is under way at a time.

        :param now_s: the present time, monotonic seconds.
        """
        is_new = self._begun < _FIRST_TRIPS
        interval_s = _FIRST_INTERVAL_S if is_new else _INTERVAL_S
        return not self._asked_s and now_s - self._last_s >= interval_s

    def begin(self, call_id: int, now_s: float) -> None:
        """Record that a question is sent.

        :param call_id: number that its answer repeats.
        :param now_s: the present time, monotonic seconds.
        """
        self._asked_s[call_id] = now_s
        self._last_s = now_s
        self._begun += 1

    def end(self, call_id: int) -> float | None:
        """Return when an answered question was sent, None for another answer.

        :param call_id: number that the answer repeats.
        """
        return self._asked_s.pop(call_id, None)
