"""Connections that are kept to tell whether a server's process lives."""

from __future__ import annotations

import asyncio
from collections import defaultdict

from wasabicross.gateway.backend import BackendServer, Incarnation
from wasabicross.gateway.clock import now_s
from wasabicross.gateway.connections.connection_pool import ConnectionPool
from wasabicross.gateway.connections.server_connections import ServerConnection
from wasabicross.gateway.errors import ServerUnreachable
from wasabicross.runtime.events import Event
from wasabicross.runtime.logs import log_event

#: Most servers to which connections are kept.
_MAX_SERVERS = 4096

#: Most connections that are kept to one server.
_MAX_PER_SERVER = 3

#: Time after which connections to a server are closed that no request or question
#: needs.
_MAX_UNUSED_S = 4.0

#: Idle time from which on a server may close a connection before it is needed.
_MAX_IDLE_S = 0.5


class ProbeConnection:
    """A connection to a server, kept for questions.

    :param conn: the connection.
    :param used_s: when it was made or last used, monotonic seconds.
    """

    def __init__(self, conn: ServerConnection, used_s: float) -> None:
        self.conn = conn
        self.used_s = used_s
        #: Time since which the process at its other end is known to have been
        #: at its address.
        self.since_s = conn.connected_s
        self.is_asked = False

    @property
    def is_usable(self) -> bool:
        """Return whether it is open."""
        return self.is_asked or self.conn.is_usable


class ProbeConnections:
    """A few connections to each server whose answers may end with their own.

    A server may close one at any time. So what is known of the process behind
    one is handed on to the others when it answers.

    :param pool: makes them.
    """

    def __init__(self, pool: ConnectionPool) -> None:
        self._pool = pool
        self._kept: dict[Incarnation, list[ProbeConnection]] = defaultdict(list)
        self._connecting: dict[Incarnation, asyncio.Task[None]] = {}
        #: When a connection to a server was needed last, monotonic seconds.
        self._needed_s: dict[Incarnation, float] = {}

    async def ensure(self, server: BackendServer, now_s: float) -> None:
        """Connect to a server, unless there is a connection that will last.

        :param server: the server.
        :param now_s: the present time, monotonic seconds.
        """
        self._needed_s[Incarnation.from_server(server)] = now_s
        kept = self.usable(server)
        if not kept or now_s > kept[-1].used_s + _MAX_IDLE_S:
            await self._connect_shared(server)

    async def ensure_spare(self, server: BackendServer) -> None:
        """Connect to a server, unless there are two connections.

        :param server: the server.
        """
        if len(self.usable(server)) == 1:
            await self._connect_shared(server)

    def adopt(self, server: BackendServer, connected_by_s: float) -> None:
        """Keep an idle connection of the pool, unless there is an older one.

        :param server: the server.
        :param connected_by_s: when it must have been made at the latest,
            monotonic seconds.
        """
        kept = self.usable(server)
        if kept and kept[0].since_s <= connected_by_s:
            return
        conn = self._pool.take_idle(server.host, server.port, connected_by_s)
        if conn is not None:
            adopted = ProbeConnection(conn, conn.idle_since_s)
            key = Incarnation.from_server(server)
            self._kept[key].insert(0, adopted)
            self._close_unused(key)

    def usable(self, server: BackendServer) -> list[ProbeConnection]:
        """Return the open connections to a server, the oldest one first.

        :param server: the server.
        """
        return self._usable(Incarnation.from_server(server))

    def on_answer(
        self,
        server: BackendServer,
        answered: ProbeConnection,
        asked_s: float,
        now_s: float,
    ) -> None:
        """Record that a process has answered, and hand on since when it lives.

        :param server: its server.
        :param answered: the connection on which it has answered.
        :param asked_s: when it was asked, monotonic seconds.
        :param now_s: the present time, monotonic seconds.
        """
        answered.used_s = now_s
        self._needed_s[Incarnation.from_server(server)] = now_s
        for each in self.usable(server):
            if each.conn.connected_s <= asked_s:
                each.since_s = min(each.since_s, answered.since_s)

    def close(self) -> None:
        """Close all connections."""
        for task in self._connecting.values():
            task.cancel()
        for kept in self._kept.values():
            for each in kept:
                each.conn.close()
        self._kept.clear()

    def _usable(self, key: Incarnation) -> list[ProbeConnection]:
        kept = self._kept.get(key, [])
        for each in tuple(kept):
            if not each.is_usable:
                each.conn.close()
                kept.remove(each)
        return kept

    async def _connect_shared(self, server: BackendServer) -> None:
        """Connect once for all that wait for a connection to a server."""
        key = Incarnation.from_server(server)
        task = self._connecting.get(key)
        if task is None or task.done():
            task = asyncio.ensure_future(self._connect(server, key))
            self._connecting[key] = task
        await asyncio.shield(task)
        self._connecting.pop(key, None)

    async def _connect(self, server: BackendServer, key: Incarnation) -> None:
        try:
            conn = await self._pool.connect(server.host, server.port)
        except ServerUnreachable as exc:
            log_event(
                Event.PROBE_FAILED, server=server.server_id, reason=str(exc)
            )
            if key not in self._kept:
                self._needed_s.pop(key, None)
            return
        self._drop_closed()
        kept = self._kept[key]
        kept.append(ProbeConnection(conn, now_s()))
        if len(kept) > _MAX_PER_SERVER and not kept[1].is_asked:
            # The oldest one proves most, the newest one lasts longest.
            kept.pop(1).conn.close()
        if len(kept) == 1:
            self._close_unused(key)

    def _close_unused(self, key: Incarnation) -> None:
        """Close the connections to a server once nothing needs them."""
        kept = self._usable(key)
        needed_s = self._needed_s.setdefault(key, now_s())
        left_s = needed_s + _MAX_UNUSED_S - now_s()
        if not kept or left_s <= 0:
            self._needed_s.pop(key, None)
            for each in self._kept.pop(key, ()):
                each.conn.close()
            return
        loop = asyncio.get_running_loop()
        loop.call_later(left_s, self._close_unused, key)

    def _drop_closed(self) -> None:
        """Forget servers without an open connection, and the oldest if many."""
        for key in tuple(self._kept):
            if not self._usable(key):
                self._kept.pop(key)
        if len(self._kept) >= _MAX_SERVERS:
            for each in self._kept.pop(next(iter(self._kept))):
                each.conn.close()
