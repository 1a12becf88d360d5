"""Writes the answers to callers' requests."""

from __future__ import annotations

import asyncio
from collections.abc import Callable

import h11

from wasabicross.gateway.clock import now_s
from wasabicross.gateway.connections.http_heads import Fields
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
        :param fields: header fields; without a length the body is chunked.
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
        await self._drain()

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
