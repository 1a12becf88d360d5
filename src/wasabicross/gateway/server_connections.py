"""Connections to backend servers, one request at a time on each."""

from __future__ import annotations

import asyncio
import math
from collections.abc import AsyncIterator
from typing import NamedTuple, TypeAlias

import h11

from wasabicross.gateway.errors import (
    AnswerBroken,
    AnswerMissing,
    BodyTooLong,
)
from wasabicross.gateway.http_heads import Fields, field, forwarded_fields
from wasabicross.gateway.time_limits import TimeLimit
from wasabicross.gateway.watched_reader import WatchedReader

_READ_BYTES = 65536
_MAX_HEAD_BYTES = 65536

#: Informational heads that may come before the head of an answer.
_MAX_INFORMATIONAL = 16

#: Longest body of an answer that is passed on.
_MAX_BODY_BYTES = 67108864

#: Longest rest of an answer that is read only to use its connection again,
#: and how long that may take.
_MAX_DROPPED_BYTES = 65536
_DROP_S = 0.05

#: Longest body of an answer to another request that is skipped.
_MAX_SKIPPED_BYTES = 1048576

_NextEvent: TypeAlias = h11.Event | type[h11.NEED_DATA] | type[h11.PAUSED]


class ServerRequest(NamedTuple):
    """A request as it is sent to a server."""

    method: bytes
    target: bytes
    fields: Fields
    body: bytes


class AnswerHead(NamedTuple):
    """Status and fields of a server's answer.

    :param fields: those that go on to a caller, names in lower case.
    :param content_length: length of the body, None if it isn't told.
    """

    status: int
    fields: Fields
    content_length: int | None


class ServerConnection:
    """One connection to a server; runs one request at a time.

    :param reader: its reading side.
    :param writer: its writing side.
    :param id_field: header field that an answer repeats of its request.
    """

    def __init__(
        self,
        reader: WatchedReader,
        writer: asyncio.StreamWriter,
        id_field: bytes,
    ) -> None:
        self._reader = reader
        self._writer = writer
        self._id_field = id_field
        self._codec = _new_codec()
        self.idle_since_s = -math.inf
        #: Whether it has served a request before, of which bytes may still come.
        self.is_reused = False

    @property
    def is_usable(self) -> bool:
        """Tell whether it is open and no bytes came without a request."""
        return not (
            self._reader.at_eof()
            or self._reader.has_unread
            or self._reader.exception()
            or self._writer.is_closing()
        )

    async def send(self, req: ServerRequest) -> None:
        """Send a whole request.

        :param req: what is sent.
        :raises AnswerMissing: the connection broke; the request may have run.
        """
        self._reader.on_unsolicited = None
        self._writer.write(self._encode(self._codec, req))
        try:
            await self._writer.drain()
        except OSError as exc:
            raise AnswerMissing(f'sending: {exc}') from exc

    async def read_head(self, req: ServerRequest) -> AnswerHead:
        """Return the head of the answer, past answers to other requests.

        :param req: the request that was sent.
        :raises AnswerMissing: there is none.
        """
        wanted = field(req.fields, self._id_field)
        while True:
            response = await self._response()
            echoed = field(response.headers, self._id_field)
            if not wanted or not echoed or echoed == wanted:
                return _head_of(response)
            await self._skip(req)

    async def read_chunks(self) -> AsyncIterator[bytes]:
        """Yield the body as it comes.

        :raises AnswerBroken: it ended early, is no HTTP or doesn't end.
        """
        length = 0
        while length <= _MAX_BODY_BYTES:
            try:
                event = await self._event()
            except (OSError, h11.ProtocolError) as exc:
                raise AnswerBroken(self._why(exc)) from exc
            if isinstance(event, h11.Data):
                length += len(event.data)
                yield bytes(event.data)
            elif isinstance(event, h11.EndOfMessage):
                return
            else:
                raise AnswerBroken('connection ended')
        raise AnswerBroken(f'over {_MAX_BODY_BYTES} bytes')

    async def read_body(
        self, max_bytes: int, silence_s: float | None = None
    ) -> bytes:
        """Return the whole body.

        :param max_bytes: its greatest length.
        :param silence_s: longest time without a byte, None for no bound.
        :raises BodyTooLong: it is longer.
        :raises AnswerBroken: it ended early, is no HTTP or came to a halt.
        """
        parts: list[bytes] = []
        length = 0
        pieces = self.read_chunks()
        while True:
            async with TimeLimit(silence_s, AnswerBroken('silence in a body')):
                piece = await anext(pieces, None)
            if piece is None:
                return b''.join(parts)
            length += len(piece)
            if length > max_bytes:
                raise BodyTooLong(f'over {max_bytes} bytes')
            parts.append(piece)

    async def discard_body(self) -> None:
        """Read a short body to its end; a long or slow one is left.

        A connection with bytes left can't be renewed.

        :raises AnswerBroken: it didn't end in time or is no HTTP.
        """
        limit = TimeLimit(_DROP_S, AnswerBroken('slow body'))
        async with limit:
            await self.read_body(_MAX_DROPPED_BYTES)

    def prepare_reuse(self, now_s: float) -> bool:
        """Make ready for another request; tell whether that is possible.

        :param now_s: the present time.
        """
        trailing = self._codec.trailing_data[0]
        ended = self._codec.our_state is h11.DONE
        if not ended or self._codec.their_state is not h11.DONE or trailing:
            return False
        self._codec.start_next_cycle()
        self.idle_since_s = now_s
        self.is_reused = True
        # What comes before the next request is an answer to none.
        self._reader.on_unsolicited = self.close
        return self.is_usable

    def close(self) -> None:
        """Close at once, so that the server drops what it runs."""
        self._writer.transport.abort()

    async def _response(self) -> h11.Response:
        try:
            event = await self._final_event()
        except (OSError, h11.ProtocolError) as exc:
            raise AnswerMissing(self._why(exc)) from exc
        if not isinstance(event, h11.Response):
            raise AnswerMissing('connection ended')
        return event

    async def _final_event(self) -> _NextEvent:
        """Return what follows the informational heads."""
        for _ in range(_MAX_INFORMATIONAL):
            event = await self._event()
            if not isinstance(event, h11.InformationalResponse):
                return event
        raise AnswerMissing('too many informational heads')

    def _why(self, exc: Exception) -> str:
        """Return why no whole answer came, in words for the log."""
        if self._reader.at_eof():
            return 'connection ended'
        return str(exc)

    async def _skip(self, req: ServerRequest) -> None:
        """Drop an answer that belongs to another request."""
        try:
            await self.read_body(_MAX_SKIPPED_BYTES)
        except AnswerBroken as exc:
            raise AnswerMissing('after another answer') from exc
        trailing = self._codec.trailing_data[0]
        if self._codec.their_state is not h11.DONE:
            raise AnswerMissing('another answer ended the connection')
        self._codec = _new_codec()
        self._encode(self._codec, req)
        if trailing:
            self._codec.receive_data(trailing)

    async def _event(self) -> _NextEvent:
        event = self._codec.next_event()
        while event is h11.NEED_DATA:
            self._codec.receive_data(await self._reader.read(_READ_BYTES))
            event = self._codec.next_event()
        return event

    def _encode(self, codec: h11.Connection, req: ServerRequest) -> bytes:
        head = h11.Request(
            method=req.method, target=req.target, headers=req.fields
        )
        return b''.join(
            (
                codec.send(head) or b'',
                codec.send(h11.Data(data=req.body)) or b'',
                codec.send(h11.EndOfMessage()) or b'',
            )
        )


def _new_codec() -> h11.Connection:
    return h11.Connection(h11.CLIENT, max_incomplete_event_size=_MAX_HEAD_BYTES)


def _head_of(response: h11.Response) -> AnswerHead:
    length = field(response.headers, b'content-length')
    return AnswerHead(
        response.status_code,
        forwarded_fields(response.headers),
        int(length) if length.isdigit() else None,
    )
