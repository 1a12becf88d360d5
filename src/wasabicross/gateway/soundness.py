"""Whether a backend server answers, judged by a gateway's own requests."""

from __future__ import annotations

import math
from collections import deque

#: Outcomes of the last requests that are looked at.
_WINDOW = 10

#: Failures among them, and their share, that shut a server out.
_MIN_FAILURES = 3
_FAILURE_SHARE = 0.34

_FIRST_SHUT_OUT_S = 1.0
_MAX_SHUT_OUT_S = 8.0

#: Pause before a server that can't be reached is asked for its health.
_PROBE_PAUSE_S = 0.8

#: Seconds without being shut out after which the first time applies again.
_CALM_S = 15.0


class Soundness:
    """What the last requests to one server say of it."""

    def __init__(self) -> None:
        self._outcomes: deque[bool] = deque(maxlen=_WINDOW)
        self._shut_out_s = _FIRST_SHUT_OUT_S
        self.shut_out_until_s = -math.inf
        self.needs_probe = False

    def is_sound(self, now_s: float) -> bool:
        """Tell whether the server should be sent requests.

        :param now_s: the present time.
        """
        return not self.needs_probe and now_s >= self.shut_out_until_s

    def on_answer(self) -> None:
        """Note an answer."""
        self._outcomes.append(True)

    def on_failure(self, now_s: float) -> None:
        """Note a request that was not answered as it should be.

        :param now_s: the present time.
        """
        self._outcomes.append(False)
        failures = self._outcomes.count(False)
        share = failures / len(self._outcomes)
        if failures >= _MIN_FAILURES and share >= _FAILURE_SHARE:
            self._shut_out(now_s)

    def on_unreachable(self, now_s: float) -> None:
        """Note that no connection could be made; shuts the server out.

        :param now_s: the present time.
        """
        self._await_probe(now_s)

    def on_probe(self, now_s: float, *, is_healthy: bool) -> None:
        """Take in the answer to a health check of a server that is shut out.

        :param now_s: the present time.
        :param is_healthy: whether it answered that it is healthy.
        """
        if is_healthy:
            self.needs_probe = False
        else:
            self._await_probe(now_s)

    def _await_probe(self, now_s: float) -> None:
        self.needs_probe = True
        self.shut_out_until_s = max(
            self.shut_out_until_s, now_s + _PROBE_PAUSE_S
        )

    def _shut_out(self, now_s: float) -> None:
        if now_s < self.shut_out_until_s:
            return
        if now_s - self.shut_out_until_s > _CALM_S:
            self._shut_out_s = _FIRST_SHUT_OUT_S
        self.shut_out_until_s = now_s + self._shut_out_s
        self._shut_out_s = min(_MAX_SHUT_OUT_S, self._shut_out_s * 2)
        self._outcomes.clear()
