"""A small asyncio HTTP server for stand-ins that stream answers.

Unlike `emulator.http_server`, it serves a hundred streams in one process, and
a fault can end a connection at a given point of a request.
"""

import asyncio
import contextlib
import json
import signal
import socket
import struct
from collections.abc import Awaitable, Callable
from typing import Any, NamedTuple
from urllib.parse import parse_qs, unquote, urlsplit

import click

from emulator.faults import FaultPoint, Faults

_REASONS = {
    200: 'OK',
    400: 'Bad Request',
    404: 'Not Found',
    409: 'Conflict',
    429: 'Too Many Requests',
    500: 'Internal Server Error',
    503: 'Service Unavailable',
    504: 'Gateway Timeout',
}


class HttpRequest(NamedTuple):
    """A request that was read completely.

    :param path: decoded path without the query.
    :param query: first value of each parameter.
    :param headers: values by lower-case name.
    """

    method: str
    path: str
    query: dict[str, str]
    headers: dict[str, str]
    body: bytes

    def document(self) -> dict[str, Any]:
        """Return the JSON object in the body, or an empty one."""
        try:
            document = json.loads(self.body)
        except ValueError:
            return {}
        return document if isinstance(document, dict) else {}


class ConnectionDied(Exception):
    """The connection was reset by a fault, or the peer closed it."""


class ClosureReader(asyncio.StreamReader):
    """A stream reader that reports when the peer closes the connection."""

    is_gone = False
    on_closed: Callable[[], None] | None = None

    def feed_eof(self) -> None:
        """Record that the peer has closed its side of the connection."""
        super().feed_eof()
        self._on_closed()

    def set_exception(self, exc: Exception) -> None:
        """Record that the connection is lost."""
        super().set_exception(exc)
        self._on_closed()

    def _on_closed(self) -> None:
        self.is_gone = True
        if self.on_closed is not None:
            self.on_closed()


class Responder:
    """Sends answers to one peer.

    :param reader: reads from the peer.
    :param writer: writes to the peer.
    """

    def __init__(
        self,
        reader: ClosureReader,
        writer: asyncio.StreamWriter,
    ) -> None:
        self._reader = reader
        self._writer = writer
        self.die_at: FaultPoint | None = None
        self.is_last = False
        self._is_framed = True

    @property
    def is_gone(self) -> bool:
        """Whether the peer has closed the connection."""
        return self._reader.is_gone or self._writer.is_closing()

    def set_close_callback(self, callback: Callable[[], None] | None) -> None:
        """Set the function to call when the peer closes the connection."""
        self._reader.on_closed = callback

    def reset(self) -> None:
        """Close the connection at once, discarding unsent data."""
        self._writer.transport.abort()

    def send_reset(self) -> None:
        """Close the connection so that the peer doesn't see an orderly end."""
        sock = self._writer.get_extra_info('socket')
        linger = struct.pack('ii', 1, 0)
        with contextlib.suppress(OSError):
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, linger)
        self.reset()

    def send_json(
        self,
        status: int,
        document: Any,
        headers: tuple[tuple[str, str], ...] = (),
    ) -> None:
        """Send a complete JSON answer."""
        body = json.dumps(document).encode()
        fields = (
            ('Content-Type', 'application/json'),
            ('Content-Length', str(len(body))),
            *headers,
        )
        self._send_head(status, fields)
        if self.die_at is FaultPoint.MID_BODY:
            self._die(body[: len(body) // 2])
        self._writer.write(body)

    def start_stream(
        self,
        content_type: str,
        headers: tuple[tuple[str, str], ...] = (),
        *,
        is_framed: bool = True,
    ) -> None:
        """Start an answer that is sent in pieces.

        :param is_framed: whether it has chunks; the end of its connection ends it
            otherwise. One that a fault cuts off always has them, as nothing
            would tell that it was cut off by a server that lives on.
        """
        self._is_framed = is_framed or self.die_at is not None
        fields = [('Content-Type', content_type), *headers]
        if self._is_framed:
            fields.append(('Transfer-Encoding', 'chunked'))
        else:
            self.is_last = True
        self._send_head(200, tuple(fields))

    def send_chunk(self, data: bytes) -> None:
        """Send one piece of an answer."""
        if self.die_at is FaultPoint.MID_BODY:
            self._die(b'%x\r\n%b' % (len(data), data[: len(data) // 2]))
        if self._is_framed:
            data = b'%x\r\n%b\r\n' % (len(data), data)
        self._writer.write(data)

    def end_stream(self) -> None:
        """Complete a chunked answer; the server ends the other ones."""
        if self._is_framed:
            self._writer.write(b'0\r\n\r\n')

    def _send_head(
        self,
        status: int,
        fields: tuple[tuple[str, str], ...],
    ) -> None:
        lines = [f'HTTP/1.1 {status} {_REASONS.get(status, "Unknown")}']
        if self.is_last:
            fields = (*fields, ('Connection', 'close'))
        lines.extend(f'{name}: {text}' for name, text in fields)
        self._writer.write('\r\n'.join((*lines, '', '')).encode())
        if self.die_at is FaultPoint.AFTER_HEADERS:
            self._die(b'')

    def _die(self, last_bytes: bytes) -> None:
        # Unlike `abort`, `close` still sends what was written.
        self._writer.write(last_bytes)
        self._writer.close()
        raise ConnectionDied


Handler = Callable[[HttpRequest, Responder], Awaitable[None]]


class StreamServer:
    """Serves requests one after the other on each connection.

    :param handler: answers a request through the responder.
    :param faults: which connections are ended, and at which point.
    :param control_paths: prefixes of the paths that faults do not affect.
    """

    def __init__(
        self,
        handler: Handler,
        faults: Faults,
        control_paths: tuple[str, ...] = ('/fault', '/debug'),
    ) -> None:
        self._handler = handler
        self._faults = faults
        self._control_paths = control_paths
        self._open_responders: set[Responder] = set()

    async def serve(self, host: str, port: int) -> None:
        """Serve until SIGTERM; print the port once it listens."""
        loop = asyncio.get_running_loop()
        server = await loop.create_server(
            lambda: asyncio.StreamReaderProtocol(
                ClosureReader(), self._serve_connection
            ),
            host,
            port,
            backlog=512,
        )
        number = server.sockets[0].getsockname()[1]
        click.echo(f'listening {number}')
        stopped = asyncio.Event()
        loop.add_signal_handler(signal.SIGTERM, stopped.set)
        await stopped.wait()
        server.close()

    def reset_others(self, responder: Responder) -> None:
        """Close every open connection but that of one responder."""
        for other in self._open_responders - {responder}:
            other.reset()

    def send_resets(self, responder: Responder | None = None) -> None:
        """Reset every open connection but that of one responder."""
        for other in self._open_responders - {responder}:
            other.send_reset()

    async def _serve_connection(
        self,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
    ) -> None:
        assert isinstance(reader, ClosureReader)
        responder = Responder(reader, writer)
        if self._faults.consume(FaultPoint.ON_CONNECT):
            responder.reset()
            return
        self._open_responders.add(responder)
        with contextlib.suppress(
            asyncio.CancelledError,
            asyncio.IncompleteReadError,
            ConnectionError,
            ConnectionDied,
        ):
            while not responder.is_gone:
                await self._serve_request(reader, writer, responder)
        self._open_responders.discard(responder)
        writer.close()

    async def _serve_request(
        self,
        reader: ClosureReader,
        writer: asyncio.StreamWriter,
        responder: Responder,
    ) -> None:
        req = _parse_head(await reader.readuntil(b'\r\n\r\n'))
        is_control = req.path.startswith(self._control_paths)
        if not is_control and self._faults.consume(
            FaultPoint.HALF_REQUEST, req.path
        ):
            responder.reset()
            raise ConnectionDied
        length = int(req.headers.get('content-length', '0'))
        req = req._replace(body=await reader.readexactly(length))
        responder.is_last = req.headers.get('connection') == 'close'
        responder.die_at = (
            None if is_control else self._faults.consume_after_request(req.path)
        )
        if responder.die_at is FaultPoint.AFTER_REQUEST:
            responder.reset()
            raise ConnectionDied
        await self._handler(req, responder)
        await writer.drain()
        if responder.is_last:
            raise ConnectionDied


def _parse_head(head: bytes) -> HttpRequest:
    lines = head.decode('latin-1').split('\r\n')
    method, target, _ = lines[0].split(' ', 2)
    headers = {}
    for line in lines[1:]:
        name, colon, text = line.partition(':')
        if colon:
            headers[name.lower()] = text.strip()
    url = urlsplit(target)
    query = {name: texts[0] for name, texts in parse_qs(url.query).items()}
    return HttpRequest(method, unquote(url.path), query, headers, b'')
