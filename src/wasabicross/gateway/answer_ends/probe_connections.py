"""Connections that are kept to tell whether a server's process lives."""

from __future__ import annotations

from wasabicross.gateway.backend import BackendServer, Incarnation
from wasabicross.gateway.connections.connection_pool import ConnectionPool
from wasabicross.gateway.connections.server_connections import ServerConnection

#: Most connections that are kept.
_MAX_CONNECTIONS = 4096


class ProbeConnections:
    """One connection to each server whose answers may end with their own.

    :param pool: makes them.
    """

    def __init__(self, pool: ConnectionPool) -> None:
        self._pool = pool
        self._idle: dict[Incarnation, ServerConnection] = {}
        #: Servers that are being asked on their connection.
        self._asked: set[Incarnation] = set()

    async def ensure(self, server: BackendServer) -> None:
        """Connect to a server, unless there is a connection to it.

        :param server: the server.
        :raises ServerUnreachable: no connection could be made.
        """
        key = Incarnation.from_server(server)
        if key in self._asked or self._usable(key) is not None:
            return
        self._keep(key, await self._pool.connect(server.host, server.port))

    def adopt(self, server: BackendServer, connected_by_s: float) -> None:
        """Keep an idle connection of the pool, unless there is one already.

        :param server: the server.
        :param connected_by_s: when it must have been made at the latest,
            monotonic seconds.
        """
        key = Incarnation.from_server(server)
        if key in self._asked or self._usable(key) is not None:
            return
        conn = self._pool.take_idle(server.host, server.port, connected_by_s)
        if conn is not None:
            self._keep(key, conn)

    def take(self, server: BackendServer) -> ServerConnection | None:
        """Return the connection to a server to ask on, None without one.

        :param server: the server.
        """
        key = Incarnation.from_server(server)
        conn = self._usable(key)
        if conn is not None:
            self._idle.pop(key)
            self._asked.add(key)
        return conn

    def put_back(
        self, server: BackendServer, conn: ServerConnection, now_s: float
    ) -> None:
        """Keep a connection after an answer, or close it.

        :param server: the server.
        :param conn: the connection that was taken.
        :param now_s: the present time, monotonic seconds.
        """
        key = Incarnation.from_server(server)
        self._asked.discard(key)
        if conn.prepare_reuse(now_s):
            self._keep(key, conn)
        else:
            conn.close()

    def close(self) -> None:
        """Close all connections."""
        for conn in self._idle.values():
            conn.close()
        self._idle.clear()

    def _usable(self, key: Incarnation) -> ServerConnection | None:
        conn = self._idle.get(key)
        if conn is None or conn.is_usable:
            return conn
        self._idle.pop(key).close()
        return None

    def _keep(self, key: Incarnation, conn: ServerConnection) -> None:
        """Keep a connection; the older one, if there are two."""
        if self._usable(key) is not None:
            conn.close()
            return
        self._idle[key] = conn
        if len(self._idle) > _MAX_CONNECTIONS:
            self._idle.pop(next(iter(self._idle))).close()
