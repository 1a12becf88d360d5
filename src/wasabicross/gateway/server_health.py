"""Whether a backend server answers, judged by a gateway's own requests."""

from __future__ import annotations

import math
from collections import deque

from wasabicross.runtime.events import Event
from wasabicross.runtime.logs import log_event

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


class ServerHealth:
    """What the last requests to one server say of it.

    :param server_id: the server, for the log.
    """

    def __init__(self, server_id: str = '') -> None:
        self._server_id = server_id
        self._outcomes: deque[bool] = deque(maxlen=_WINDOW)
        self._shut_out_s = _FIRST_SHUT_OUT_S
        self.excluded_until_s = -math.inf
        self.needs_probe = False

    def is_healthy(self, now_s: float) -> bool:
        """Tell whether the server should be sent requests.

        :param now_s: the present time.
        """
        return not self.needs_probe and now_s >= self.excluded_until_s

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
        if not self.needs_probe:
            self._log_shut_out('unreachable', _PROBE_PAUSE_S)
        self._await_probe(now_s)

    def on_probe(self, now_s: float, *, has_passed: bool) -> None:
        """Take in the answer to a health check of a server that is shut out.

        :param now_s: the present time.
        :param is_healthy: whether it answered that it is healthy.
        """
        if has_passed:
            if self.needs_probe:
                log_event(Event.SERVER_BACK, server=self._server_id)
            self.needs_probe = False
        else:
            self._await_probe(now_s)

    def _await_probe(self, now_s: float) -> None:
        self.needs_probe = True
        self.excluded_until_s = max(
            self.excluded_until_s, now_s + _PROBE_PAUSE_S
        )

    def _shut_out(self, now_s: float) -> None:
        if now_s < self.excluded_until_s:
            return
        if now_s - self.excluded_until_s > _CALM_S:
            self._shut_out_s = _FIRST_SHUT_OUT_S
        self.excluded_until_s = now_s + self._shut_out_s
        self._log_shut_out('failures', self._shut_out_s)
        self._shut_out_s = min(_MAX_SHUT_OUT_S, self._shut_out_s * 2)
        self._outcomes.clear()

    def _log_shut_out(self, reason: str, for_s: float) -> None:
        log_event(
            Event.SERVER_SHUT_OUT,
            server=self._server_id,
            reason=reason,
            for_s=for_s,
        )


class HealthByServer(dict[str, ServerHealth]):
    """What is thought of each server; a new one is sound."""

    def __missing__(self, server_id: str) -> ServerHealth:
        self[server_id] = ServerHealth(server_id)
        return self[server_id]
