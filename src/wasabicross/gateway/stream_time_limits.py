"""The longest time limits that callers of each service have stated."""

from __future__ import annotations

import math

#: Limits are rounded up to multiples of this, so that few are written.
_STEP_S = 1

#: Longest limit that is noted. One caller who states more must not keep former
#: buckets for hours, as streams of those can't be resumed.
_MAX_LIMIT_S = 600


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
