"""Which server is asked to load a requested adapter version."""

import threading
from typing import NamedTuple

from wasabicross.messaging.messages import LoadDeclined, WantLoad
from wasabicross.runtime.rendezvous import rank_servers
from wasabicross.stores.instances import LIVE, BackendServer

REQUEST_RETENTION_S = 2.0


class _Pending(NamedTuple):
    load_request: WantLoad
    received_s: float


class PendingLoadRequests:
    """Load requests of this instance's entries, and the servers that declined.

    Every instance ranks the servers in the same order, so all requests for an
    adapter version reach the same owner, and one load serves them all.
    """

    def __init__(self) -> None:
        self._lock = threading.Lock()
        self._pending: dict[tuple[str, str], _Pending] = {}
        self._declined: dict[tuple[str, str, str], float] = {}

    def remember(self, load_request: WantLoad, now_s: float) -> None:
        """Remember a load request, to send it to another owner if one declines.

        :param load_request: the load request.
        :param now_s: present time, monotonic seconds.
        """
        with self._lock:
            self._pending[load_request.adapter, load_request.version] = (
                _Pending(load_request, now_s)
            )

    def record_decline(
        self, answer: LoadDeclined, now_s: float
    ) -> WantLoad | None:
        """Record a server that can't load now; return the request if pending.

        :param answer: the answer of the server's owner, with the seconds for
            which the server is not asked again.
        :param now_s: present time, monotonic seconds.
        """
        adapter_version = (answer.adapter, answer.version)
        with self._lock:
            until_s = now_s + answer.retry_after_s
            self._declined[(answer.server_id, *adapter_version)] = until_s
            self._drop_expired(now_s)
            pending = self._pending.get(adapter_version)
            return pending.load_request if pending else None

    def candidates(
        self,
        load_request: WantLoad,
        servers: tuple[BackendServer, ...],
        now_s: float,
    ) -> list[str]:
        """Return the ids of the servers to ask, the best first.

        Servers with a full batch come last.

        :param load_request: the load request.
        :param servers: all backend servers that the list shows.
        :param now_s: present time, monotonic seconds.
        """
        suitable = [
            server.server_id
            for server in servers
            if server.state == LIVE
            and server.group == load_request.group
            and server.base_model == load_request.base_model
            and server.server_id not in load_request.excluded
        ]
        ranked = [
            *_rank(
                load_request,
                [each for each in suitable if each not in load_request.full],
            ),
            *rank_servers(
                load_request.adapter,
                load_request.version,
                [each for each in suitable if each in load_request.full],
            ),
        ]
        with self._lock:
            return [
                server_id
                for server_id in ranked
                if self._may_ask(server_id, load_request, now_s)
            ]

    def _may_ask(
        self, server_id: str, load_request: WantLoad, now_s: float
    ) -> bool:
        key = (server_id, load_request.adapter, load_request.version)
        return now_s >= self._declined.get(key, float('-inf'))

    def _drop_expired(self, now_s: float) -> None:
        for adapter_version, pending in list(self._pending.items()):
            if now_s - pending.received_s > REQUEST_RETENTION_S:
                self._pending.pop(adapter_version)
        for key, until_s in list(self._declined.items()):
            if now_s > until_s:
                self._declined.pop(key)


def _rank(load_request: WantLoad, servers: list[str]) -> tuple[str, ...]:
    """Rank servers with room, in one order for all if batches fill in turn."""
    if load_request.fills_in_turn:
        return rank_servers('', '', servers)
    return rank_servers(load_request.adapter, load_request.version, servers)
