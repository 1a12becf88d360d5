"""Health of one backend server, derived from a process's connections to it."""

from __future__ import annotations

import enum
import math

#: Consecutive failures after which a server is excluded.
_EXCLUSION_FAILURES = 3

#: Consecutive successes that end the probation.
_PROBATION_SUCCESSES = 2

_FIRST_EXCLUSION_S = 1.0

_MAX_EXCLUSION_S = 30.0

_MAX_HALVINGS = 10

#: Seconds without a failure that halve the next exclusion time.
_HALVING_S = 60.0

#: Minimum seconds between requests to a server on probation.
_PROBE_INTERVAL_S = 0.5

#: Seconds for which a server's own statement that it is leaving overrides the
#: list.
_OWN_LEAVING_TTL_S = 600.0


class Failure(enum.Enum):
    """How a connection failed.

    `restarted`: the server runs again, but has lost the loads that it held.
    """

    refused = 'refused'
    timed_out = 'timed out'
    reset = 'reset'
    restarted = 'restarted'


class ServerState(enum.Enum):
    """State of a server, which decides whether it gets requests.

    `usable`: it gets any request. `probation`: it gets one request per probe
    interval until enough have succeeded. `suspect`: it is excluded after
    failures, unless too few other servers are left. `leaving`: it has announced
    its shutdown and gets none. `gone`: it is not listed and gets none.
    """

    usable = 'usable'
    probation = 'probation'
    suspect = 'suspect'
    leaving = 'leaving'
    gone = 'gone'

    @property
    def is_live(self) -> bool:
        """Whether the server stays in service."""
        return self not in {ServerState.leaving, ServerState.gone}


class ServerHealth:
    """Health of one server.

    Not thread-safe; the owner of this object holds a lock.
    """

    def __init__(self) -> None:
        self.missing_lists = 0
        self.excluded_until_s = -math.inf
        self.last_failure: Failure | None = None
        self.last_failure_s = -math.inf
        self._failures = 0
        self._successes_needed = 0
        self._exclusion_s = _FIRST_EXCLUSION_S
        self._last_probe_s = -math.inf
        self._listed_leaving = False
        self._own_leaving_s = -math.inf

    def on_listed(self, leaving: bool, now_s: float) -> None:
        """Update the health from the server list.

        :param leaving: whether the list shows the server as leaving.
        :param now_s: present time, monotonic seconds.
        """
        self.missing_lists = 0
        if self._listed_leaving and not leaving:
            # A server that has returned may have lost the loads that it held.
            self._successes_needed = _PROBATION_SUCCESSES
            self._own_leaving_s = -math.inf
        self._listed_leaving = leaving

    def on_own_leaving(self, now_s: float) -> None:
        """Record that the server itself has stated that it is leaving."""
        self._own_leaving_s = now_s
        self._successes_needed = _PROBATION_SUCCESSES

    def on_start(self, now_s: float) -> None:
        """Record that a request was sent."""
        self._last_probe_s = now_s

    def on_success(self, now_s: float) -> None:
        """Record that the server answered."""
        self._failures = 0
        self._successes_needed = max(0, self._successes_needed - 1)
        if now_s < self.excluded_until_s:
            self.excluded_until_s = now_s
        self.last_failure = None

    def on_failure(self, failure: Failure, now_s: float) -> None:
        """Record a failed connection.

        A refused connection excludes the server at once, since it shows that
        the process has ended. Other failures are counted.

        :param failure: how the connection failed.
        :param now_s: present time, monotonic seconds.
        """
        failure_free_s = max(0, now_s - self.last_failure_s)
        self.last_failure = failure
        self.last_failure_s = now_s
        self._failures += 1
        refused = failure is Failure.refused
        if failure in {Failure.refused, Failure.restarted}:
            self._own_leaving_s = -math.inf
        too_many = self._failures >= _EXCLUSION_FAILURES
        must_exclude = refused or too_many or self._successes_needed
        if must_exclude and now_s >= self.excluded_until_s:
            self._exclude(now_s, failure_free_s)

    def may_send(self, now_s: float) -> bool:
        """Return whether the probation allows a request now."""
        if not self._successes_needed:
            return True
        return now_s - self._last_probe_s >= _PROBE_INTERVAL_S

    def state(self, now_s: float) -> ServerState:
        """Return the state of the server."""
        if (
            self._listed_leaving
            or now_s - self._own_leaving_s < _OWN_LEAVING_TTL_S
        ):
            return ServerState.leaving
        if now_s < self.excluded_until_s:
            return ServerState.suspect
        if self._successes_needed:
            return ServerState.probation
        return ServerState.usable

    def _exclude(self, now_s: float, failure_free_s: float) -> None:
        halvings = math.floor(min(failure_free_s / _HALVING_S, _MAX_HALVINGS))
        self._exclusion_s = max(
            _FIRST_EXCLUSION_S,
            self._exclusion_s / 2**halvings,
        )
        self.excluded_until_s = now_s + self._exclusion_s
        self._exclusion_s = min(_MAX_EXCLUSION_S, self._exclusion_s * 2)
        self._successes_needed = _PROBATION_SUCCESSES
        self._failures = 0
