"""Which server a wanted adapter version is loaded on."""

import threading
from typing import NamedTuple

from wasabicross.messaging.messages import LoadDeclined, WantLoad
from wasabicross.runtime.rendezvous import rank_servers
from wasabicross.stores.instances import LIVE, BackendServer

WANT_MEMORY_S = 2.0


class _Pending(NamedTuple):
    want: WantLoad
    told_s: float


class Placing:
    """Wants of this instance's entries, and the servers that declined them.

    Each instance ranks the servers alike, so that all wants of an adapter
    version meet at the same owner and one load serves them all.
    """

    def __init__(self) -> None:
        self._lock = threading.Lock()
        self._pending: dict[tuple[str, str], _Pending] = {}
        self._declined: dict[tuple[str, str, str], float] = {}

    def note(self, want: WantLoad, now_s: float) -> None:
        """Remember a want, to place it again if it is declined.

        :param want: what is wanted.
        :param now_s: monotonic seconds.
        """
        with self._lock:
            self._pending[want.adapter, want.version] = _Pending(want, now_s)

    def declined(self, answer: LoadDeclined, now_s: float) -> WantLoad | None:
        """Note a server that can't load now; return the want if it is fresh.

        :param answer: what the server's owner answered.
        :param now_s: monotonic seconds.
        """
        wanted = (answer.adapter, answer.version)
        with self._lock:
            until_s = now_s + answer.retry_after_s
            self._declined[(answer.server_id, *wanted)] = until_s
            self._forget_old(now_s)
            pending = self._pending.get(wanted)
            return pending.want if pending else None

    def candidates(
        self,
        want: WantLoad,
        servers: tuple[BackendServer, ...],
        now_s: float,
    ) -> list[str]:
        """Return the servers to ask, the best first.

        Those with a full batch come last.

        :param want: the adapter version wanted.
        :param servers: all backend servers that the list shows.
        :param now_s: monotonic seconds.
        """
        fitting = [
            server.server_id
            for server in servers
            if server.state == LIVE
            and server.group == want.group
            and server.base_model == want.base_model
            and server.server_id not in want.excluded
        ]
        ranked = [
            *_ranked(want, [each for each in fitting if each not in want.full]),
            *rank_servers(
                want.adapter,
                want.version,
                [each for each in fitting if each in want.full],
            ),
        ]
        with self._lock:
            return [
                server_id
                for server_id in ranked
                if self._is_open(server_id, want, now_s)
            ]

    def _is_open(self, server_id: str, want: WantLoad, now_s: float) -> bool:
        key = (server_id, want.adapter, want.version)
        return now_s >= self._declined.get(key, float('-inf'))

    def _forget_old(self, now_s: float) -> None:
        for wanted, pending in list(self._pending.items()):
            if now_s - pending.told_s > WANT_MEMORY_S:
                self._pending.pop(wanted)
        for key, until_s in list(self._declined.items()):
            if now_s > until_s:
                self._declined.pop(key)


def _ranked(want: WantLoad, servers: list[str]) -> tuple[str, ...]:
    """Rank servers with room: for each adapter, or alike for all."""
    if want.fills_in_turn:
        return rank_servers('', '', servers)
    return rank_servers(want.adapter, want.version, servers)
