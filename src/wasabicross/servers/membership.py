"""Which backend servers may get new requests, as one process sees them."""

from __future__ import annotations

import enum
import math
import threading
from collections.abc import Callable, Iterable, Sequence

from wasabicross.servers.server_health import Failure, ServerHealth, ServerState

#: Lists in a row without a server that make it gone.
_MISSING_LISTS = 2

#: Seconds for which another process's word of a server counts.
_WORD_TTL_S = 5.0


class Loss(enum.Enum):
    """What is behind the failures of a server's connections.

    `server`: its process is gone, with all that it ran. `link`: only the link
    to it fails. `unknown`: neither is sure yet.
    """

    none = 'none'
    unknown = 'unknown'
    link = 'link'
    server = 'server'


class Membership:
    """Joins a lagging list with what this process's own connections show.

    A server that the list or the server itself says is leaving gets nothing new
    at once. Failures of our own connections shut a server out for a time, but
    never more than half of those that are live. Thread-safe.
    """

    def __init__(self) -> None:
        self._lock = threading.Lock()
        self._servers: dict[str, ServerHealth] = {}
        self._words: dict[str, dict[str, tuple[bool, float]]] = {}

    def on_list(
        self,
        live: Iterable[str],
        leaving: Iterable[str],
        now_s: float,
    ) -> None:
        """Take in a successful read of the list.

        A server that is missing from one list alone stays as it was.

        :param live: ids of the servers listed as live.
        :param leaving: ids of the servers listed as leaving.
        :param now_s: monotonic seconds.
        """
        with self._lock:
            departing = frozenset(leaving)
            listed = departing.union(live)
            for server_id in listed:
                health = self._servers.setdefault(server_id, ServerHealth())
                health.on_listed(server_id in departing, now_s)
            for server_id, health in tuple(self._servers.items()):
                if server_id not in listed:
                    self._miss(server_id, health)

    def on_leaving(self, server_id: str, now_s: float) -> None:
        """Take in a server's own word that it is leaving.

        :param server_id: id of the server.
        :param now_s: monotonic seconds.
        """
        self._note(server_id, lambda health: health.on_own_leaving(now_s))

    def on_start(self, server_id: str, now_s: float) -> None:
        """Note that a request was sent to a server.

        :param server_id: id of the server.
        :param now_s: monotonic seconds.
        """
        self._note(server_id, lambda health: health.on_start(now_s))

    def on_success(self, server_id: str, now_s: float) -> None:
        """Note that a server answered.

        :param server_id: id of the server.
        :param now_s: monotonic seconds.
        """
        self._note(server_id, lambda health: health.on_success(now_s))

    def on_failure(
        self,
        server_id: str,
        failure: Failure,
        now_s: float,
    ) -> None:
        """Note that a connection to a server failed.

        :param server_id: id of the server.
        :param failure: how it failed.
        :param now_s: monotonic seconds.
        """
        self._note(server_id, lambda health: health.on_failure(failure, now_s))

    def on_peer_report(
        self,
        server_id: str,
        process: str,
        reachable: bool,
        now_s: float,
    ) -> None:
        """Take in what another process sees of a server.

        It never shuts a server out here, it only tells a link from a server.

        :param server_id: id of the server.
        :param process: who tells it.
        :param reachable: whether that process has reached the server.
        :param now_s: monotonic seconds.
        """
        with self._lock:
            if self._servers.get(server_id):
                words = self._words.setdefault(server_id, {})
                words[process] = (reachable, now_s)

    def state(self, server_id: str, now_s: float) -> ServerState:
        """Tell what is concluded of a server.

        :param server_id: id of the server.
        :param now_s: monotonic seconds.
        """
        with self._lock:
            health = self._servers.get(server_id)
            return health.state(now_s) if health else ServerState.gone

    def usable(self, servers: Sequence[str], now_s: float) -> tuple[str, ...]:
        """Tell which servers of a group may get a new request, in their order.

        Where failures would shut out more than half of those that are live,
        the ones that failed least are used all the same.

        :param servers: ids of the servers of one group.
        :param now_s: monotonic seconds.
        """
        with self._lock:
            states = {each: self._state(each, now_s) for each in servers}
            live = [each for each in servers if states[each].is_live]
            chosen = {
                each
                for each in live
                if states[each] is not ServerState.suspect
                and self._servers[each].is_open(now_s)
            }
            wanted = math.ceil(len(live) / 2)
            rest = sorted(
                (each for each in live if each not in chosen),
                key=lambda each: self._servers[each].shut_out_until_s,
            )
            chosen.update(rest[: max(0, wanted - len(chosen))])
            return tuple(each for each in live if each in chosen)

    def loss(self, server_id: str, now_s: float) -> Loss:
        """Tell whether a server was lost or only the link to it.

        A server that has restarted is lost, whoever reaches it now. Of the
        others, one that another process has reached since is not. Otherwise
        it is if it left the list, refuses connections, or no other process
        that spoke since reaches it either.

        :param server_id: id of the server.
        :param now_s: monotonic seconds.
        """
        with self._lock:
            health = self._servers.get(server_id)
            if health is None:
                return Loss.server
            if health.last_failure is None:
                return Loss.none
            if health.last_failure is Failure.restarted:
                return Loss.server
            since_s = max(health.last_failure_s, now_s - _WORD_TTL_S)
            words = [
                reachable
                for reachable, told_s in self._words.get(server_id, {}).values()
                if told_s >= since_s
            ]
            if any(words):
                return Loss.link
            refused = health.last_failure is Failure.refused
            return Loss.server if refused or words else Loss.unknown

    def _note(
        self, server_id: str, note: Callable[[ServerHealth], None]
    ) -> None:
        """Let the health of a server take something in, if it is known."""
        with self._lock:
            health = self._servers.get(server_id)
            if health:
                note(health)

    def _state(self, server_id: str, now_s: float) -> ServerState:
        health = self._servers.get(server_id)
        return health.state(now_s) if health else ServerState.gone

    def _miss(self, server_id: str, health: ServerHealth) -> None:
        health.missing_lists += 1
        if health.missing_lists >= _MISSING_LISTS:
            self._servers.pop(server_id)
            self._words.pop(server_id, None)
