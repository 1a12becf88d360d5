"""A pool of idle connections to backend servers."""

from __future__ import annotations

import asyncio
from collections import defaultdict
from collections.abc import Iterator

from wasabicross.gateway.clock import now_s
from wasabicross.gateway.connections.carried_requests import (
    ExchangeKind,
    kind_of,
)
from wasabicross.gateway.connections.http_heads import Fields, field
from wasabicross.gateway.connections.server_connections import ServerConnection
from wasabicross.gateway.connections.watched_reader import WatchedReader
from wasabicross.gateway.errors import ServerUnreachable

_READ_BYTES = 65536

#: Time-out of a new connection to a server. It is short, so that a request with
#: little time left can still try a second server if the first is cut off.
CONNECT_TIMEOUT_S = 0.15

#: Least delay of that time-out that shows that this process stood still.
_MIN_STALL_S = 0.03

#: Longest idle time of a connection that is reused.
_MAX_IDLE_S = 4.0

#: The same for requests that must not run twice: if the server closes the
#: connection meanwhile, their outcome is unknown.
_MAX_IDLE_ONCE_S = 0.5

_MAX_IDLE_CONNECTIONS = 32


class ConnectionPool:
    """A pool of idle connections to all servers.

    :param id_field: name of the header field with a request's id, which tells
        its answer from answers to other requests.
    :param connect_timeout_s: time-out of a new connection, seconds.
    """

    def __init__(
        self, id_field: bytes, connect_timeout_s: float = CONNECT_TIMEOUT_S
    ) -> None:
        self._id_field = id_field
        self._connect_timeout_s = connect_timeout_s
        self._idle: dict[tuple[str, int], list[ServerConnection]] = defaultdict(
            list
        )

    async def acquire(
        self,
        host: str,
        port: int,
        fields: Fields,
        *,
        once: bool,
        method: bytes = b'GET',
    ) -> ServerConnection:
        """Return a connection that may carry a request, an idle or a new one.

        :param host: IP address of the server.
        :param port: its port.
        :param fields: header fields of the request.
        :param once: whether the request must not run twice.
        :param method: its method.
        :raises ServerUnreachable: no connection could be made.
        """
        request_id = field(fields, self._id_field)
        max_idle_s = _MAX_IDLE_ONCE_S if once else _MAX_IDLE_S
        idle = self._take(host, port, max_idle_s, kind_of(method), request_id)
        return idle or await self.connect(host, port)

    async def acquire_for_call(self, host: str, port: int) -> ServerConnection:
        """Return a connection for a call of this gateway, an idle or a new one.

        :param host: IP address of the server.
        :param port: its port.
        :raises ServerUnreachable: no connection could be made.
        """
        idle = self._take(host, port, _MAX_IDLE_S, ExchangeKind.call)
        return idle or await self.connect(host, port)

    def take_idle(
        self, host: str, port: int, connected_by_s: float
    ) -> ServerConnection | None:
        """Return an idle connection that was there at a time, None without one.

        :param host: IP address of the server.
        :param port: its port.
        :param connected_by_s: the time, monotonic seconds.
        """
        idle = self._idle[host, port]
        for conn in idle:
            if conn.is_usable and conn.connected_s <= connected_by_s:
                idle.remove(conn)
                return conn
        return None

    async def connect(self, host: str, port: int) -> ServerConnection:
        """Return a new connection; try again if this process stood still.

        The server may have accepted the first one meanwhile.

        :param host: IP address of the server.
        :param port: its port.
        :raises ServerUnreachable: no connection could be made.
        """
        started_s = now_s()
        try:
            return await self._connect_once(host, port)
        except ServerUnreachable:
            overdue_s = now_s() - started_s - self._connect_timeout_s
            if overdue_s < _MIN_STALL_S:
                raise
        return await self._connect_once(host, port)

    async def _connect_once(self, host: str, port: int) -> ServerConnection:
        try:
            async with asyncio.timeout(self._connect_timeout_s):
                return await self._open(host, port)
        except (OSError, TimeoutError) as exc:
            raise ServerUnreachable(
                f'{host}:{port}: {exc!r}',
                is_refused=isinstance(exc, ConnectionRefusedError),
            ) from exc

    async def _open(self, host: str, port: int) -> ServerConnection:
        loop = asyncio.get_running_loop()
        reader = WatchedReader(_READ_BYTES)
        transport, protocol = await loop.create_connection(
            lambda: asyncio.StreamReaderProtocol(reader), host, port
        )
        writer = asyncio.StreamWriter(transport, protocol, reader, loop)
        return ServerConnection(reader, writer, self._id_field, now_s())

    def _take(
        self,
        host: str,
        port: int,
        max_idle_s: float,
        kind: ExchangeKind,
        request_id: str = '',
    ) -> ServerConnection | None:
        """Return an idle connection that may carry a request or call."""
        unfit = []
        found = None
        for conn in self._pop_usable(host, port, max_idle_s):
            if conn.may_carry(kind, request_id):
                found = conn
                break
            unfit.append(conn)
        self._idle[host, port].extend(reversed(unfit))
        return found

    def _pop_usable(
        self, host: str, port: int, max_idle_s: float
    ) -> Iterator[ServerConnection]:
        """Yield idle connections, the last used one first; close useless ones."""
        idle = self._idle[host, port]
        while idle:
            conn = idle.pop()
            if conn.is_usable and now_s() - conn.idle_since_s < max_idle_s:
                yield conn
            else:
                conn.close()

    def drop_idle(self, host: str, port: int) -> None:
        """Close the idle connections to a server.

        :param host: IP address of the server.
        :param port: its port.
        """
        for conn in self._idle.pop((host, port), ()):
            conn.close()

    def release(self, host: str, port: int, conn: ServerConnection) -> None:
        """Return a connection to the pool, or close it if it can't be reused.

        :param host: IP address of the server.
        :param port: its port.
        :param conn: the connection.
        """
        idle = self._idle[host, port]
        if len(idle) < _MAX_IDLE_CONNECTIONS and conn.prepare_reuse(now_s()):
            idle.append(conn)
        else:
            conn.close()
