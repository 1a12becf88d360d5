"""Callers' connections: read complete requests and write their answers."""

from __future__ import annotations

import asyncio
import contextlib
from collections.abc import Awaitable, Callable
from typing import Protocol, TypeAlias

import h11

from wasabicross.gateway.clock import now_s
from wasabicross.gateway.configuration import CallerLimits
from wasabicross.gateway.connections.answer_writer import AnswerWriter
from wasabicross.gateway.connections.connection_end import end_after_answer
from wasabicross.gateway.connections.fair_turns import FairTurns
from wasabicross.gateway.connections.http_heads import CallerRequest
from wasabicross.gateway.connections.watched_reader import WatchedReader
from wasabicross.gateway.errors import (
    AnswerCut,
    AnswerCutAtStop,
    CallerGone,
    GatewayError,
)
from wasabicross.gateway.time_limits import TimeLimit
from wasabicross.gateway.unanswered import (
    Cause,
    UnansweredEnd,
    UnansweredRequests,
)

_READ_BYTES = 65536

#: Why a request is cancelled before its answer has ended.
CALLER_LEFT = 'the caller left'
PROCESS_ENDS = 'this gateway ends'

#: Most bytes of further requests that are read while one is being answered.
_MAX_READ_AHEAD_BYTES = 262144

#: More than any configuration allows; its own limit may change.
_MAX_CODEC_BYTES = 2**30

#: Limits until a configuration is in force.
DEFAULT_LIMITS = CallerLimits(16384, 4194304, 3.0, 15.0)

_NextEvent: TypeAlias = h11.Event | type[h11.NEED_DATA] | type[h11.PAUSED]

Handler: TypeAlias = Callable[[CallerRequest, AnswerWriter], Awaitable[None]]


class ConnectionHost(Protocol):
    """The interface of the process that a connection belongs to."""

    @property
    def limits(self) -> CallerLimits:
        """Return the limits in force."""

    @property
    def is_stopping(self) -> bool:
        """Return whether connections end with their next answer."""

    @property
    def unanswered(self) -> UnansweredRequests:
        """Return the record of requests that end without an answer."""


class CallerConnection:
    """One connection of a caller, from its start to its end.

    :param reader: its reading side.
    :param writer: its writing side.
    :param host: provides the limits and whether the process is stopping.
    :param handler: answers one request; it is cancelled when the caller closes
        the connection.
    """

    def __init__(
        self,
        reader: WatchedReader,
        writer: asyncio.StreamWriter,
        host: ConnectionHost,
        handler: Handler,
    ) -> None:
        self._reader = reader
        self._writer = writer
        self._host = host
        self._handler = handler
        self._codec = h11.Connection(
            h11.SERVER, max_incomplete_event_size=_MAX_CODEC_BYTES
        )
        self._turns = FairTurns()
        self.is_idle = True

    async def run(self) -> None:
        """Answer request after request until the connection ends."""
        try:
            if await self._serve():
                await end_after_answer(self._reader, self._writer)
        except (GatewayError, OSError, TimeoutError):
            self._writer.transport.abort()
        finally:
            self._writer.close()
        await self._wait_until_closed()

    def close(self) -> None:
        """Close the connection at once, also during an answer."""
        self._writer.transport.abort()

    def close_idle(self) -> None:
        """Close the connection unless it has an unanswered request."""
        if self.is_idle and not self._reader.has_unread:
            self._writer.close()

    async def _serve(self) -> bool:
        """Answer requests; return whether the connection ends with an answer."""
        while True:
            self.is_idle = True
            try:
                req = await self._read_request()
            except h11.RemoteProtocolError as exc:
                return await self._refuse(exc.error_status_hint)
            except _RequestRefused as refused:
                return await self._refuse(refused.status)
            if req is None:
                self._record_unread()
                return False
            if not await self._answer(req):
                return False
            if not self._prepare_next():
                return True

    async def _answer(self, req: CallerRequest) -> bool:
        """Answer a request; close the connection and return False if it fails."""
        answer = AnswerWriter(
            self._codec, self._writer, lambda: self._host.is_stopping
        )
        task = asyncio.ensure_future(self._handler(req, answer))
        close_watch = asyncio.ensure_future(self._wait_for_close())
        try:
            await asyncio.wait(
                (task, close_watch), return_when=asyncio.FIRST_COMPLETED
            )
        except asyncio.CancelledError:
            await _cancel_both(task, close_watch, PROCESS_ENDS)
            if not answer.has_ended:
                self._record(Cause.process_ends, '', answer)
            raise
        has_left = close_watch.done()
        await _cancel_both(task, close_watch, CALLER_LEFT)
        if answer.has_ended and _error_of(task) is None:
            return True
        if not has_left:
            self._record_failure(_error_of(task), answer)
        self.close()
        return False

    def _record_failure(
        self, exc: BaseException | None, answer: AnswerWriter
    ) -> None:
        """Record that a handler has ended before its answer had."""
        if isinstance(exc, AnswerCutAtStop):
            self._record(Cause.process_ends, str(exc), answer)
        elif isinstance(exc, AnswerCut):
            self._record(Cause.cut, str(exc), answer)
        elif not isinstance(exc, CallerGone):
            self._record(Cause.failed, repr(exc), answer)

    def _record_unread(self) -> None:
        """Record the close of an idle connection on which bytes arrived."""
        if self._reader.has_unread:
            end = UnansweredEnd(Cause.unread)
            self._host.unanswered.record(end, now_s())

    def _record(self, cause: Cause, detail: str, answer: AnswerWriter) -> None:
        end = UnansweredEnd(cause, detail, answer.trace, answer.sent_bytes)
        self._host.unanswered.record(end, now_s())

    async def _wait_until_closed(self) -> None:
        """Wait until the end of the last answer has been sent, or for long."""
        with contextlib.suppress(OSError, TimeoutError):
            async with asyncio.timeout(self._host.limits.idle_timeout_s):
                await self._writer.wait_closed()

    def _prepare_next(self) -> bool:
        if self._codec.our_state is not h11.DONE:
            return False
        if self._codec.their_state is not h11.DONE:
            return False
        self._codec.start_next_cycle()
        return True

    async def _wait_for_close(self) -> None:
        """Read ahead until the caller closes the connection."""
        read_bytes = 0
        while read_bytes < _MAX_READ_AHEAD_BYTES:
            try:
                received = await self._reader.read(_READ_BYTES)
            except OSError:
                return
            if not received:
                return
            read_bytes += len(received)
            self._codec.receive_data(received)
        await asyncio.Event().wait()

    async def _read_request(self) -> CallerRequest | None:
        """Read a request; return None where the connection ends instead."""
        event = self._codec.next_event()
        if event is h11.NEED_DATA:
            if not await self._read_first_bytes():
                return None
            event = self._codec.next_event()
        self.is_idle = False
        limits = self._host.limits
        async with TimeLimit(limits.header_timeout_s, _RequestRefused(408)):
            event = await self._read_until_event(event, limits)
        if not isinstance(event, h11.Request):
            return None
        if _head_length(event) > limits.header_bytes:
            raise _RequestRefused(431)
        arrived_s = now_s()
        if self._codec.they_are_waiting_for_100_continue:
            self._writer.write(
                self._codec.send(
                    h11.InformationalResponse(status_code=100, headers=[])
                )
                or b''
            )
        async with TimeLimit(limits.idle_timeout_s, _RequestRefused(408)):
            body = await self._read_body(limits)
        return CallerRequest(
            event.method, event.target, list(event.headers), body, arrived_s
        )

    async def _read_first_bytes(self) -> bool:
        """Wait for the first bytes of a request; return whether they came.

        The limit in force when the time is over decides, and bytes that have
        arrived by then are read.
        """
        idle_since_s = now_s()
        while True:
            limit_s = self._host.limits.idle_timeout_s
            left_s = max(0, idle_since_s + limit_s - now_s())
            if not left_s and not self._reader.has_unread:
                return False
            try:
                async with asyncio.timeout(left_s):
                    received = await self._reader.read(_READ_BYTES)
            except TimeoutError:
                continue
            if received:
                self._codec.receive_data(received)
            return bool(received)

    async def _read_body(self, limits: CallerLimits) -> bytes:
        body = bytearray()
        while True:
            if not self._turns.has_room:
                await self._turns.give_way()
            self._turns.count()
            event = await self._read_until_event(
                self._codec.next_event(), limits
            )
            if not isinstance(event, h11.Data):
                break
            body += event.data
            if len(body) > limits.body_bytes:
                raise _RequestRefused(413)
        if not isinstance(event, h11.EndOfMessage):
            raise CallerGone('connection closed before the end of a body')
        return bytes(body)

    async def _read_until_event(
        self, event: _NextEvent, limits: CallerLimits
    ) -> _NextEvent:
        while event is h11.NEED_DATA:
            if len(self._codec.trailing_data[0]) > limits.header_bytes:
                raise _RequestRefused(431)
            has_arrived = self._reader.has_unread
            received = await self._reader.read(_READ_BYTES)
            if not received:
                raise CallerGone(
                    'connection closed before the end of a request'
                )
            if not has_arrived:
                self._turns.on_waited()
            self._codec.receive_data(received)
            event = self._codec.next_event()
        return event

    async def _refuse(self, status: int) -> bool:
        """Refuse a request that can't be read; return whether that was sent."""
        if self._codec.our_state not in {h11.IDLE, h11.SEND_RESPONSE}:
            return False
        answer = AnswerWriter(self._codec, self._writer, lambda: True)
        await answer.send_complete(status, [])
        return True


def _head_length(head: h11.Request) -> int:
    fields = sum(len(name) + len(text) for name, text in head.headers)
    return len(head.method) + len(head.target) + fields


def _error_of(task: asyncio.Future[None]) -> BaseException | None:
    """Return the error that ended a task; a cancellation is one."""
    if task.cancelled():
        return asyncio.CancelledError()
    return task.exception()


async def _cancel_both(
    task: asyncio.Future[None], close_watch: asyncio.Future[None], reason: str
) -> None:
    close_watch.cancel()
    task.cancel(reason)
    await asyncio.wait((task, close_watch))


class _RequestRefused(Exception):
    """A request that is refused with a status before it is complete."""

    def __init__(self, status: int) -> None:
        super().__init__(status)
        self.status = status
