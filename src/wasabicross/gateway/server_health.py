"""Health of backend servers, judged by the outcomes of a gateway's requests."""

from __future__ import annotations

import math
from collections import deque

from wasabicross.runtime.events import Event
from wasabicross.runtime.logs import log_event

#: Number of the latest requests whose outcomes count.
_WINDOW_REQUESTS = 10

#: Failures among them, and their share, from which on a server is excluded.
_MIN_FAILURES = 3
_FAILURE_SHARE = 0.34

_FIRST_EXCLUSION_S = 1.0
_MAX_EXCLUSION_S = 8.0

#: Pause before each health probe of an unreachable server.
_PROBE_INTERVAL_S = 0.8

#: How long a server that has reported a later start than the listed one isn't
#: asked again.
_UNLISTED_START_S = 1.0

#: Time without an exclusion after which the next one is short again.
_RESET_AFTER_S = 15.0


class ServerHealth:
    """Health of one server by the outcomes of its latest requests.

    :param server_id: id of the server, for the log.
    """

    def __init__(self, server_id: str = '') -> None:
        self._server_id = server_id
        self._outcomes: deque[bool] = deque(maxlen=_WINDOW_REQUESTS)
        self._exclusion_s = _FIRST_EXCLUSION_S
        self.excluded_until_s = -math.inf
        self.needs_probe = False
        self._unlisted_start_until_s = -math.inf

    def is_healthy(self, now_s: float) -> bool:
        """Return whether requests should be sent to the server.

        :param now_s: the present time, monotonic seconds.
        """
        return not self.needs_probe and now_s >= self.excluded_until_s

    def on_answer(self) -> None:
        """Record a request that was answered."""
        self._outcomes.append(True)

    def on_failure(self, now_s: float) -> None:
        """Record a request that failed; exclude the server if too many did.

        :param now_s: the present time, monotonic seconds.
        """
        self._outcomes.append(False)
        failures = self._outcomes.count(False)
        share = failures / len(self._outcomes)
        if failures >= _MIN_FAILURES and share >= _FAILURE_SHARE:
            self._exclude(now_s)

    def on_unreachable(self, now_s: float) -> None:
        """Record a failed connection; exclude the server until a probe passes.

        :param now_s: the present time, monotonic seconds.
        """
        if not self.needs_probe:
            self._log_exclusion('unreachable', _PROBE_INTERVAL_S)
        self._require_probe(now_s)

    def on_probe(self, now_s: float, *, has_passed: bool) -> None:
        """Record the result of a health probe of an excluded server.

        :param now_s: the present time, monotonic seconds.
        :param has_passed: whether the server answered that it is healthy.
        """
        if has_passed:
            if self.needs_probe:
                log_event(Event.SERVER_BACK, server=self._server_id)
            self.needs_probe = False
        else:
            self._require_probe(now_s)

    def on_unlisted_start(self, now_s: float) -> None:
        """Record that the server runs a later start than the listed one.

        :param now_s: the present time, monotonic seconds.
        """
        self._unlisted_start_until_s = now_s + _UNLISTED_START_S

    def runs_unlisted_start(self, now_s: float) -> bool:
        """Return whether the server's entry is probably of a former start.

        :param now_s: the present time, monotonic seconds.
        """
        return now_s < self._unlisted_start_until_s

    def _require_probe(self, now_s: float) -> None:
        self.needs_probe = True
        self.excluded_until_s = max(
            self.excluded_until_s, now_s + _PROBE_INTERVAL_S
        )

    def _exclude(self, now_s: float) -> None:
        if now_s < self.excluded_until_s:
            return
        if now_s - self.excluded_until_s > _RESET_AFTER_S:
            self._exclusion_s = _FIRST_EXCLUSION_S
        self.excluded_until_s = now_s + self._exclusion_s
        self._log_exclusion('failures', self._exclusion_s)
        self._exclusion_s = min(_MAX_EXCLUSION_S, self._exclusion_s * 2)
        self._outcomes.clear()

    def _log_exclusion(self, reason: str, for_s: float) -> None:
        log_event(
            Event.SERVER_SHUT_OUT,
            server=self._server_id,
            reason=reason,
            for_s=for_s,
        )


class HealthByServer(dict[str, ServerHealth]):
    """Health of each server by its id; a new server is healthy."""

    def __missing__(self, server_id: str) -> ServerHealth:
        self[server_id] = ServerHealth(server_id)
        return self[server_id]
