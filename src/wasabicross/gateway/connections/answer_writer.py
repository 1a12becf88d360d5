"""Writes the answers to callers' requests."""

from __future__ import annotations

import asyncio
import contextlib
import socket
import struct
from collections.abc import Callable

import h11

from wasabicross.gateway.clock import now_s
from wasabicross.gateway.connections.http_heads import Fields, field
from wasabicross.gateway.errors import AnswerUnwritable, CallerGone
from wasabicross.gateway.unanswered import RequestTrace

_REASON_PHRASES = {
    200: b'OK',
    400: b'Bad Request',
    404: b'Not Found',
    408: b'Request Timeout',
    413: b'Content Too Large',
    431: b'Request Header Fields Too Large',
    502: b'Bad Gateway',
    503: b'Service Unavailable',
    504: b'Gateway Timeout',
}

#: Version of HTTP in which bodies can't be chunked.
_WITHOUT_CHUNKS = b'1.0'

#: Values of SO_LINGER: a connection that ends is reset, or ends in order.
_RESETS_AT_END = struct.pack('ii', 1, 0)
_ENDS_IN_ORDER = struct.pack('ii', 0, 0)


class AnswerWriter:
    """Writes the answer to one request.

    :param codec: the HTTP state of the connection.
    :param writer: the writing side of the connection.
    :param is_last: returns whether the connection ends with this answer.
    """

    def __init__(
        self,
        codec: h11.Connection,
        writer: asyncio.StreamWriter,
        is_last: Callable[[], bool],
    ) -> None:
        self._codec = codec
        self._writer = writer
        self._is_last = is_last
        self.started_s: float | None = None
        self.has_ended = False
        self._is_reset_unless_ended = False
        self.sent_bytes = 0
        #: What the log tells about the request if it gets no answer.
        self.trace = RequestTrace()

    @property
    def has_started(self) -> bool:
        """Return whether the head was sent."""
        return self.started_s is not None

    async def start(self, status: int, fields: Fields) -> None:
        """Send the head.

        :param status: the status code.
        :param fields: header fields; without a length the body is chunked, and
            for a caller that knows no chunks it ends with its connection.
        """
        connection_fields = (
            [(b'connection', b'close')] if self._is_last() else []
        )
        head = h11.Response(
            status_code=status,
            headers=fields + connection_fields,
            reason=_REASON_PHRASES.get(status, b''),
        )
        self.started_s = now_s()
        if self._ends_with_connection(fields):
            # Also if this process is killed, the body doesn't look complete.
            self._is_reset_unless_ended = True
            self._set_linger(_RESETS_AT_END)
        self._send(head)
        await self._drain()

    async def send_chunk(self, chunk: bytes) -> None:
        """Send a part of the body."""
        self.sent_bytes += len(chunk)
        self._send(h11.Data(data=chunk))
        await self._drain()

    async def end(self) -> None:
        """Mark the answer as complete."""
        self._send(h11.EndOfMessage())
        self.has_ended = True
        if self._is_reset_unless_ended:
            self._writer.transport.set_write_buffer_limits(high=0)
        await self._drain()
        if self._is_reset_unless_ended:
            self._set_linger(_ENDS_IN_ORDER)

    async def send_complete(
        self, status: int, fields: Fields, body: bytes = b''
    ) -> None:
        """Send a complete answer.

        :param status: the status code.
        :param fields: header fields without the length.
        :param body: the body.
        """
        length = (b'content-length', str(len(body)).encode())
        await self.start(status, [*fields, length])
        if body:
            await self.send_chunk(body)
        await self.end()

    def _ends_with_connection(self, fields: Fields) -> bool:
        """Return whether only the end of the connection ends the body."""
        if self._codec.their_http_version != _WITHOUT_CHUNKS:
            return False
        return not field(fields, b'content-length')

    def _set_linger(self, linger: bytes) -> None:
        sock = self._writer.get_extra_info('socket')
        with contextlib.suppress(OSError):
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, linger)

    def _send(self, event: h11.Event) -> None:
        try:
            self._writer.write(self._codec.send(event) or b'')
        except h11.LocalProtocolError as exc:
            raise AnswerUnwritable(str(exc)) from exc

    async def _drain(self) -> None:
        try:
            await self._writer.drain()
        except OSError as exc:
            raise CallerGone(str(exc)) from exc
