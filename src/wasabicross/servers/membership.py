"""Decides which backend servers one process may send new requests to."""

from __future__ import annotations

import enum
import math
import threading
from collections.abc import Callable, Iterable, Sequence

from wasabicross.servers.server_health import Failure, ServerHealth, ServerState

#: Consecutive lists without a server after which it counts as gone.
_MISSING_LISTS = 2

#: Seconds for which another process's report on a server is used.
_PEER_REPORT_TTL_S = 5.0


class Loss(enum.Enum):
    """Cause of the failed connections to a server.

    `none`: no connection has failed. `server`: the server process has ended,
    and all requests on it with it. `link`: only the network link to it fails.
    `unknown`: not yet determined.
    """

    none = 'none'
    unknown = 'unknown'
    link = 'link'
    server = 'server'


class Membership:
    """Combines the server list with the results of this process's connections.

    The list lags behind the servers. A server gets no new request from the
    moment at which the list or the server itself states that it is leaving.
    Failed connections of this process exclude a server for a time, but never
    more than half of the live servers. Thread-safe.
    """

    def __init__(self) -> None:
        self._lock = threading.Lock()
        self._servers: dict[str, ServerHealth] = {}
        self._peer_reports: dict[str, dict[str, tuple[bool, float]]] = {}

    def on_list(
        self,
        live: Iterable[str],
        leaving: Iterable[str],
        now_s: float,
    ) -> None:
        """Update the servers from a list that was read.

        A server that only one list lacks keeps its state.

        :param live: ids of the servers listed as live.
        :param leaving: ids of the servers listed as leaving.
        :param now_s: present time, monotonic seconds.
        """
        with self._lock:
            departing = frozenset(leaving)
            listed = departing.union(live)
            for server_id in listed:
                health = self._servers.setdefault(server_id, ServerHealth())
                health.on_listed(server_id in departing, now_s)
            for server_id, health in tuple(self._servers.items()):
                if server_id not in listed:
                    self._count_missing(server_id, health)

    def on_leaving(self, server_id: str, now_s: float) -> None:
        """Record that a server itself has stated that it is leaving.

        :param server_id: id of the server.
        :param now_s: present time, monotonic seconds.
        """
        self._update(server_id, lambda health: health.on_own_leaving(now_s))

    def on_start(self, server_id: str, now_s: float) -> None:
        """Record that a request was sent to a server.

        :param server_id: id of the server.
        :param now_s: present time, monotonic seconds.
        """
        self._update(server_id, lambda health: health.on_start(now_s))

    def on_success(self, server_id: str, now_s: float) -> None:
        """Record that a server answered.

        :param server_id: id of the server.
        :param now_s: present time, monotonic seconds.
        """
        self._update(server_id, lambda health: health.on_success(now_s))

    def on_failure(
        self,
        server_id: str,
        failure: Failure,
        now_s: float,
    ) -> None:
        """Record that a connection to a server failed.

        :param server_id: id of the server.
        :param failure: how it failed.
        :param now_s: present time, monotonic seconds.
        """
        self._update(
            server_id, lambda health: health.on_failure(failure, now_s)
        )

    def on_peer_report(
        self,
        server_id: str,
        process: str,
        reachable: bool,
        now_s: float,
    ) -> None:
        """Record whether another process reaches a server.

        Such a report never excludes a server. It only helps to tell whether
        the server or the link of this process to it has failed.

        :param server_id: id of the server.
        :param process: id of the reporting process.
        :param reachable: whether that process has reached the server.
        :param now_s: present time, monotonic seconds.
        """
        with self._lock:
            if self._servers.get(server_id):
                reports = self._peer_reports.setdefault(server_id, {})
                reports[process] = (reachable, now_s)

    def state(self, server_id: str, now_s: float) -> ServerState:
        """Return the state of a server.

        :param server_id: id of the server.
        :param now_s: present time, monotonic seconds.
        """
        with self._lock:
            health = self._servers.get(server_id)
            return health.state(now_s) if health else ServerState.gone

    def usable(self, servers: Sequence[str], now_s: float) -> tuple[str, ...]:
        """Return the servers of a group that may get a new request, in order.

        If failures would exclude more than half of the live servers, those
        whose exclusion ends first stay in use.

        :param servers: ids of the servers of one group.
        :param now_s: present time, monotonic seconds.
        """
        with self._lock:
            states = {each: self._state(each, now_s) for each in servers}
            live = [each for each in servers if states[each].is_live]
            chosen = {
                each
                for each in live
                if states[each] is not ServerState.suspect
                and self._servers[each].may_send(now_s)
            }
            min_usable = math.ceil(len(live) / 2)
            remaining = sorted(
                (each for each in live if each not in chosen),
                key=lambda each: self._servers[each].excluded_until_s,
            )
            chosen.update(remaining[: max(0, min_usable - len(chosen))])
            return tuple(each for each in live if each in chosen)

    def loss(self, server_id: str, now_s: float) -> Loss:
        """Return the cause of the failed connections to a server.

        A server that has restarted counts as lost even if other processes
        reach it now. Any other server that another process has reached since
        the failure is not lost. Otherwise it is lost if it is no longer
        listed, if it refuses connections, or if other processes have reported
        on it since the failure and none of them reaches it.

        :param server_id: id of the server.
        :param now_s: present time, monotonic seconds.
        """
        with self._lock:
            health = self._servers.get(server_id)
            if health is None:
                return Loss.server
            if health.last_failure is None:
                return Loss.none
            if health.last_failure is Failure.restarted:
                return Loss.server
            since_s = max(health.last_failure_s, now_s - _PEER_REPORT_TTL_S)
            reports = [
                reachable
                for reachable, reported_s in self._peer_reports.get(
                    server_id, {}
                ).values()
                if reported_s >= since_s
            ]
            if any(reports):
                return Loss.link
            refused = health.last_failure is Failure.refused
            return Loss.server if refused or reports else Loss.unknown

    def _update(
        self, server_id: str, apply: Callable[[ServerHealth], None]
    ) -> None:
        """Apply an update to the health of a server, if the server is known."""
        with self._lock:
            health = self._servers.get(server_id)
            if health:
                apply(health)

    def _state(self, server_id: str, now_s: float) -> ServerState:
        health = self._servers.get(server_id)
        return health.state(now_s) if health else ServerState.gone

    def _count_missing(self, server_id: str, health: ServerHealth) -> None:
        health.missing_lists += 1
        if health.missing_lists >= _MISSING_LISTS:
            self._servers.pop(server_id)
            self._peer_reports.pop(server_id, None)
