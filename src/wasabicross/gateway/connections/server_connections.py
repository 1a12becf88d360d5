"""Connections to backend servers, one request at a time on each."""

from __future__ import annotations

import asyncio
import itertools
import math
from collections.abc import AsyncIterator
from typing import TypeAlias

import h11

from wasabicross.gateway import metrics
from wasabicross.gateway.connections.carried_requests import (
    CarriedRequests,
    ExchangeKind,
    may_be_followed,
)
from wasabicross.gateway.connections.fair_turns import FairTurns
from wasabicross.gateway.connections.http_heads import field
from wasabicross.gateway.connections.server_messages import (
    AnswerHead,
    ServerRequest,
    head_of,
)
from wasabicross.gateway.connections.watched_reader import WatchedReader
from wasabicross.gateway.errors import (
    AnswerBroken,
    AnswerMissing,
    BodyTooLong,
    RequestIdCarried,
)
from wasabicross.gateway.time_limits import TimeLimit
from wasabicross.runtime.events import Event
from wasabicross.runtime.logs import log_event

_READ_BYTES = 65536
_MAX_HEAD_BYTES = 65536

#: Informational heads that may come before the head of an answer.
_MAX_INFORMATIONAL = 16

#: Longest body of an answer that is read.
_MAX_BODY_BYTES = 67108864

#: Longest body that is read and discarded only to reuse its connection, and how
#: long that may take.
_MAX_DISCARDED_BYTES = 65536
_DISCARD_TIMEOUT_S = 0.05

#: Longest body of an answer to another request that is skipped, and how many of
#: these are.
_MAX_SKIPPED_BYTES = 1048576
_MAX_SKIPPED_ANSWERS = 16

#: Bytes of heads, chunk heads and their extensions that may come with a body: a
#: number of them, and more for each byte of content.
_MAX_FRAMING_BYTES = 1048576
_MAX_FRAMING_PER_BYTE = 8

#: Longest id of another request that is logged, in characters.
_MAX_LOGGED_ID = 64

#: Numbers the connections of this process, for its log.
_serials = itertools.count(1)

_NextEvent: TypeAlias = h11.Event | type[h11.NEED_DATA] | type[h11.PAUSED]


class ServerConnection:
    """One connection to a server; runs one request at a time.

    A server may send an answer twice, also late. So it carries only requests whose
    answers can be told from all earlier ones.

    :param reader: its reading side.
    :param writer: its writing side.
    :param id_field: name of the header field with the request's id, which its
        answer repeats.
    :param connected_s: when it was made, monotonic seconds.
    """

    def __init__(
        self,
        reader: WatchedReader,
        writer: asyncio.StreamWriter,
        id_field: bytes,
        connected_s: float = math.inf,
    ) -> None:
        self._reader = reader
        self._writer = writer
        self._id_field = id_field
        self.connected_s = connected_s
        #: Number of the connection in this process.
        self.serial = next(_serials)
        self._carried = CarriedRequests()
        #: Start that the process at its other end has reported, Unix
        #: milliseconds, 0 if it hasn't.
        self.start_ms = 0
        self._codec = _new_codec()
        self._turns = FairTurns()
        #: What followed the last chunk, an event or an error, if it was read with
        #: that.
        self._ahead: _NextEvent | h11.ProtocolError | None = None
        #: Bytes received of the present answer.
        self._received_bytes = 0
        self.idle_since_s = -math.inf
        #: Whether it has served a request before, so late bytes may still come.
        self.is_reused = False
        self._is_closed = False
        #: Whether nothing tells a copy of its present answer from later answers.
        self._is_last = False

    @property
    def sends(self) -> int:
        """Return the number of requests and calls that were sent on it."""
        return self._carried.count

    @property
    def is_usable(self) -> bool:
        """Return whether it is open and has no unread or unsent bytes."""
        unsent = self._writer.transport.get_write_buffer_size()
        return self._is_open and not unsent

    @property
    def _is_open(self) -> bool:
        """Return whether it is open and has no unread bytes."""
        return not (
            self._reader.at_eof()
            or self._reader.has_unread
            or self._reader.exception()
            or self._writer.is_closing()
        )

    def send(self, req: ServerRequest) -> None:
        """Begin to send a complete request.

        The answer may come before the whole body is sent, and its server may
        close the connection then. If sending fails, so does reading.

        :param req: the request.
        :raises RequestIdCarried: the connection may not carry it.
        """
        self._carry(req)
        self._reader.on_unsolicited = None
        self._received_bytes = 0
        self._writer.write(self._encode(self._codec, req))

    def may_carry(self, kind: ExchangeKind, request_id: str = '') -> bool:
        """Return whether answers to earlier requests can be told from another one.

        :param kind: what a request or call asks for.
        :param request_id: its id, empty for one without an id.
        """
        return self._carried.may_add(kind, request_id)

    async def read_head(self, req: ServerRequest) -> AnswerHead:
        """Return the head of the answer; skip answers to other requests.

        An answer without an id may be a late one to any earlier request, so it
        counts on a new connection only. It may have been sent there before the
        request came. Servers needn't repeat the ids of calls.

        :param req: the request that was sent.
        :raises AnswerMissing: no answer came, one without an id, or many answers
            to other requests.
        """
        request_id = field(req.fields, self._id_field)
        for _ in range(_MAX_SKIPPED_ANSWERS):
            response = await self._read_response()
            answer_id = field(response.headers, self._id_field)
            if answer_id == request_id:
                return head_of(response, req.method)
            if not answer_id:
                self._check_unnamed(req, response.status_code)
                head = head_of(response, req.method)
                return head._replace(bears_id=False)
            self._record_skipped(request_id, answer_id, response)
            await self._skip_answer(req)
        raise AnswerMissing(
            f'over {_MAX_SKIPPED_ANSWERS} answers to other requests'
        )

    async def read_chunks(self) -> AsyncIterator[bytes]:
        """Yield the body as it arrives; chunks that come together are one.

        :raises AnswerBroken: the body ended early, isn't HTTP, is too long or
            has far more framing than content.
        """
        length = 0
        while length <= _MAX_BODY_BYTES:
            try:
                event = await self._next_event()
            except (OSError, h11.ProtocolError) as exc:
                raise AnswerBroken(self._failure_reason(exc)) from exc
            if isinstance(event, h11.Data):
                chunk = self._with_following(bytes(event.data))
                length += len(chunk)
                self._check_framing(length)
                yield chunk
            elif isinstance(event, h11.EndOfMessage):
                return
            else:
                raise AnswerBroken('connection ended')
        raise AnswerBroken(f'body is longer than {_MAX_BODY_BYTES} bytes')

    async def read_body(
        self, max_bytes: int, max_silence_s: float | None = None
    ) -> bytes:
        """Return the complete body.

        :param max_bytes: its maximum length.
        :param max_silence_s: longest time without a byte, seconds, None for no
            limit.
        :raises BodyTooLong: the body is longer.
        :raises AnswerBroken: the body ended early, isn't HTTP or stalled.
        """
        parts: list[bytes] = []
        length = 0
        chunks = self.read_chunks()
        while True:
            async with TimeLimit(
                max_silence_s,
                AnswerBroken(f'no byte of a body within {max_silence_s} s'),
            ):
                chunk = await anext(chunks, None)
            if chunk is None:
                return b''.join(parts)
            length += len(chunk)
            if length > max_bytes:
                raise BodyTooLong(f'body is longer than {max_bytes} bytes')
            parts.append(chunk)

    async def discard_body(self) -> None:
        """Read and discard a short body, so that the connection is reusable.

        A connection with unread bytes of a body can't be reused.

        :raises AnswerBroken: the body is long, slow, incomplete or isn't HTTP.
        """
        limit = TimeLimit(
            _DISCARD_TIMEOUT_S,
            AnswerBroken(f'body did not end within {_DISCARD_TIMEOUT_S} s'),
        )
        async with limit:
            await self.read_body(_MAX_DISCARDED_BYTES)

    def prepare_reuse(self, now_s: float) -> bool:
        """Prepare for another request; return whether that is possible.

        :param now_s: the present time, monotonic seconds.
        """
        if self._is_last or self._carried.is_full:
            return False
        trailing = self._codec.trailing_data[0]
        ended = self._codec.our_state is h11.DONE
        if not ended or self._codec.their_state is not h11.DONE or trailing:
            return False
        self._codec.start_next_cycle()
        self._ahead = None
        self.idle_since_s = now_s
        self.is_reused = True
        # Bytes that come before the next request belong to no request.
        self._reader.on_unsolicited = self.close
        return self._is_open

    def close(self) -> None:
        """Close at once, so that the server cancels the running request."""
        self._is_closed = True
        self._writer.transport.abort()

    def _carry(self, req: ServerRequest) -> None:
        """Remember a request."""
        request_id = field(req.fields, self._id_field)
        if not self.may_carry(req.exchange_kind, request_id):
            raise RequestIdCarried(
                f'connection {self.serial} may not carry {request_id!r}'
            )
        self._carried.add(req.exchange_kind, request_id)

    def _check_unnamed(self, req: ServerRequest, status: int) -> None:
        """Check that an answer without an id can only be the present one."""
        if req.call is None and self.is_reused:
            raise AnswerMissing('answer without an id on a reused connection')
        if not may_be_followed(req.exchange_kind, status):
            self._is_last = True

    async def _read_response(self) -> h11.Response:
        try:
            event = await self._read_final_event()
        except (OSError, h11.ProtocolError) as exc:
            raise AnswerMissing(self._failure_reason(exc)) from exc
        if not isinstance(event, h11.Response):
            raise AnswerMissing('connection ended')
        return event

    async def _read_final_event(self) -> _NextEvent:
        """Return the first event that isn't an informational head."""
        for _ in range(_MAX_INFORMATIONAL):
            event = await self._next_event()
            if not isinstance(event, h11.InformationalResponse):
                return event
        raise AnswerMissing(f'over {_MAX_INFORMATIONAL} informational heads')

    def _failure_reason(self, exc: Exception) -> str:
        """Return why no complete answer came, as a text for the log."""
        if self._reader.at_eof():
            return 'connection ended'
        return str(exc)

    def _record_skipped(
        self, request_id: str, answer_id: str, response: h11.Response
    ) -> None:
        metrics.SKIPPED_ANSWERS.inc()
        log_event(
            Event.ANSWER_SKIPPED,
            request=request_id,
            answers=answer_id[:_MAX_LOGGED_ID],
            status=response.status_code,
            connection=self.serial,
            connection_sends=self.sends,
        )

    async def _skip_answer(self, req: ServerRequest) -> None:
        """Skip an answer that belongs to another request."""
        try:
            await self.read_body(_MAX_SKIPPED_BYTES)
        except AnswerBroken as exc:
            raise AnswerMissing(
                'could not skip an answer to another request'
            ) from exc
        trailing = self._codec.trailing_data[0]
        if self._codec.their_state is not h11.DONE:
            raise AnswerMissing(
                'connection ended by an answer to another request'
            )
        self._codec = _new_codec()
        self._received_bytes = len(trailing)
        self._encode(self._codec, req)
        if trailing:
            self._codec.receive_data(trailing)

    def _with_following(self, chunk: bytes) -> bytes:
        """Return a chunk with those that have arrived after it."""
        self._ahead = self._parse_next()
        if not isinstance(self._ahead, h11.Data):
            return chunk
        parts = [chunk]
        length = len(chunk)
        while isinstance(self._ahead, h11.Data) and length < _READ_BYTES:
            length += len(self._ahead.data)
            parts.append(bytes(self._ahead.data))
            if not self._turns.has_room:
                self._ahead = None
                break
            self._ahead = self._parse_next()
        return b''.join(parts)

    def _parse_next(self) -> _NextEvent | h11.ProtocolError:
        """Return the next event, or the error that there is instead."""
        self._turns.count()
        try:
            return self._codec.next_event()
        except h11.ProtocolError as exc:
            return exc

    def _check_framing(self, length: int) -> None:
        framing = self._received_bytes - length
        if framing > _MAX_FRAMING_BYTES + _MAX_FRAMING_PER_BYTE * length:
            raise AnswerBroken(f'{framing} bytes around {length} of a body')

    async def _next_event(self) -> _NextEvent:
        event = self._ahead
        self._ahead = None
        if isinstance(event, h11.ProtocolError):
            raise event
        while event is None or event is h11.NEED_DATA:
            if event is not None:
                self._codec.receive_data(await self._receive())
            if not self._turns.has_room:
                await self._turns.give_way()
            self._turns.count()
            event = self._codec.next_event()
        return event

    async def _receive(self) -> bytes:
        has_arrived = self._reader.has_unread
        received = await self._reader.read(_READ_BYTES)
        if self._is_closed:
            # Else an answer without a length would count as complete.
            raise ConnectionAbortedError('closed by this gateway')
        if not has_arrived:
            self._turns.on_waited()
        self._received_bytes += len(received)
        return received

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
