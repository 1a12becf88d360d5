"""One attempt of a request at one server, and what the caller gets of it."""

from __future__ import annotations

from collections.abc import AsyncIterator
from typing import NamedTuple

from wasabicross.gateway.caller_connections import AnswerWriter
from wasabicross.gateway.clock import now_s
from wasabicross.gateway.configuration import Route, RouteKind
from wasabicross.gateway.connection_pool import ConnectionPool
from wasabicross.gateway.dialect import (
    AnswerKind,
    Dialect,
    ForwardingOptions,
    RequestInfo,
)
from wasabicross.gateway.errors import (
    AnswerBroken,
    AnswerMissing,
    AnswerOverdue,
    ServerUnreachable,
)
from wasabicross.gateway.http_heads import CallerRequest, Fields
from wasabicross.gateway.prefill_rate import PendingPrefill
from wasabicross.gateway.progress import Ending, RequestProgress
from wasabicross.gateway.retrying_placer import Placement
from wasabicross.gateway.server_connections import (
    AnswerHead,
    ServerConnection,
    ServerRequest,
)
from wasabicross.gateway.time_limits import TimeLimit
from wasabicross.gateway.usage_tracker import RequestUsage
from wasabicross.gateway.view import FleetView

_OK_STATUSES = range(200, 300)
_FIRST_FAILURE = 500

#: Longest body that goes on to the caller only when it is whole, so that
#: another server can answer where it breaks off.
_HELD_BYTES = 262144

#: Silence between the events of a resumable stream after which it goes on
#: elsewhere, as a multiple of the longest pause that is on time.
_SILENCE_GAPS = 4


class AttemptContext(NamedTuple):
    """What holds for an attempt.

    :param req: the request as the caller sent it.
    :param head: what the caller says of it.
    :param route: its route.
    :param deadline_s: when the final answer is due.
    :param may_leave: whether another server could go on if this one is silent.
    :param use: counts the request at the server.
    """

    req: CallerRequest
    head: RequestInfo
    route: Route
    deadline_s: float
    can_fail_over: bool
    use: RequestUsage


class ServerAccess(NamedTuple):
    """What attempts share."""

    view: FleetView
    pool: ConnectionPool
    dialect: Dialect


class ServerAttempt:
    """One attempt of a request at one server.

    :param servers: what attempts share.
    :param terms: what holds for this one.
    :param progress: what became of the request at other servers.
    :param answer: writes the caller's answer.
    """

    def __init__(
        self,
        servers: ServerAccess,
        terms: AttemptContext,
        progress: RequestProgress,
        answer: AnswerWriter,
    ) -> None:
        self._servers = servers
        self._terms = terms
        self._route = terms.route
        self._progress = progress
        self._answer = answer

    async def run(self, placed: Placement) -> Ending:
        """Send the request to a server and pass its answer on.

        :param placed: the server.
        """
        server = placed.server
        health = self._servers.view.health[server.server_id]
        once = not self._route.is_idempotent
        try:
            conn = await self._servers.pool.acquire(
                server.host, server.port, once=once
            )
        except ServerUnreachable as exc:
            self._progress.reason = str(exc)
            health.on_unreachable(now_s())
            self._progress.excluded.add(server.server_id)
            return Ending.not_sent
        try:
            ending = await self._talk(conn, placed)
        except (AnswerMissing, AnswerBroken) as exc:
            conn.close()
            # Others to a machine that has vanished would be as silent.
            self._servers.pool.drop_idle(server.host, server.port)
            self._progress.reason = str(exc)
            health.on_failure(now_s())
            # What went wrong on a kept connection may go well on a new one.
            if isinstance(exc, AnswerOverdue) or not conn.is_reused:
                self._progress.excluded.add(server.server_id)
            return Ending.unknown
        except BaseException:
            conn.close()
            raise
        self._servers.pool.release(server.host, server.port, conn)
        return ending

    async def _talk(self, conn: ServerConnection, placed: Placement) -> Ending:
        req = self._request(placed)
        progress = self._progress
        progress.splitter.discard_partial()
        progress.sends += 1
        might_run_before = progress.may_run
        progress.may_run = True
        progress.runs += 1
        reading = self._reading(placed)
        progress.unread_tokens = reading.tokens
        await conn.send(req)
        async with self._silence(reading.max_silence_s(self._route.target_s)):
            head = await conn.read_head(req)
        progress.first_s = now_s() - reading.sent_s
        progress.status = head.status
        self._take_notice(placed, head)
        verdict = self._servers.dialect.classify(head)
        if verdict in {AnswerKind.not_run, AnswerKind.not_held}:
            progress.may_run = might_run_before
            progress.runs -= 1
            await self._drop_body(conn)
            return self._on_not_run(placed, verdict)
        self._terms.use.on_prefilled()
        reading.on_answer(now_s())
        return await self._take_answer(conn, placed, head)

    def _request(self, placed: Placement) -> ServerRequest:
        passage = ForwardingOptions(
            placed.server.server_id,
            placed.version,
            self._terms.deadline_s - now_s(),
            self._route.priority,
            self._progress.splitter.last_event_id,
        )
        return self._servers.dialect.request(self._terms.req, passage)

    def _reading(self, placed: Placement) -> PendingPrefill:
        """Return what the server reads before this request's first token."""
        view = self._servers.view
        at_s = now_s()
        unread = view.unread_tokens(placed.server, at_s)
        return PendingPrefill(
            view.prefill_rate, placed.server.service, unread, at_s
        )

    def _take_notice(self, placed: Placement, head: AnswerHead) -> None:
        """Note whether the server wants further requests."""
        notice = self._servers.dialect.notice(head)
        notices = self._servers.view.notices
        notices.on_notice(placed.server, notice, now_s())

    async def _drop_body(self, conn: ServerConnection) -> None:
        """Read the rest of an answer whose head has said enough."""
        try:
            await conn.discard_body()
        except AnswerBroken as exc:
            self._progress.reason = f'after the head: {exc}'

    def _on_not_run(self, placed: Placement, verdict: AnswerKind) -> Ending:
        server_id = placed.server.server_id
        key = self._terms.head.adapter
        if verdict is AnswerKind.not_run:
            self._progress.excluded.add(server_id)
            return Ending.not_run
        if key is None or not key.adapter:
            self._progress.excluded.add(server_id)
        else:
            self._servers.view.on_denial(server_id, key, now_s())
        return Ending.not_held

    async def _take_answer(
        self, conn: ServerConnection, placed: Placement, head: AnswerHead
    ) -> Ending:
        server_id = placed.server.server_id
        health = self._servers.view.health[server_id]
        is_ok = head.status in _OK_STATUSES
        if head.status >= _FIRST_FAILURE:
            health.on_failure(now_s())
            if self._may_go_elsewhere:
                await self._drop_body(conn)
                self._progress.excluded.add(server_id)
                return Ending.failed
        if self._answer.has_started and not is_ok:
            raise AnswerBroken(f'status {head.status} in mid-stream')
        if self._route.kind is RouteKind.streaming and is_ok:
            await self._stream(conn, head)
        else:
            await self._pass_on(conn, head)
        if is_ok:
            health.on_answer()
        self._progress.is_answered_well = is_ok
        return Ending.done

    async def _pass_on(self, conn: ServerConnection, head: AnswerHead) -> None:
        """Pass an answer on, a short one only when it is whole."""
        pieces = conn.read_chunks()
        held = await _first_of(pieces)
        if len(held) <= _HELD_BYTES:
            fields = _without_length(head.fields)
            await self._answer.send_complete(head.status, fields, held)
            return
        await self._answer.start(head.status, head.fields)
        await self._answer.send_piece(held)
        await self._pass_rest_on(pieces)

    async def _pass_rest_on(self, pieces: AsyncIterator[bytes]) -> None:
        async for piece in pieces:
            await self._answer.send_piece(piece)
        await self._answer.end()

    async def _stream(self, conn: ServerConnection, head: AnswerHead) -> None:
        splitter = self._progress.splitter
        if not self._answer.has_started:
            await self._answer.start(head.status, _without_length(head.fields))
        pieces = conn.read_chunks()
        while True:
            events = await self._next_events(pieces)
            if events is None:
                break
            await self._answer.send_piece(events)
        rest = splitter.discard_partial()
        if rest:
            await self._answer.send_piece(rest)
        await self._answer.end()

    async def _next_events(self, pieces: AsyncIterator[bytes]) -> bytes | None:
        """Return what goes on of a stream next, None at its end.

        A resumable stream goes on by whole events, so a server that sends a
        byte now and then is silent.
        """
        async with self._silence(self._route.gap_s * _SILENCE_GAPS):
            async for piece in pieces:
                if self._route.is_resumable:
                    piece = self._progress.splitter.feed(piece)
                if piece:
                    return piece
        return None

    @property
    def _may_go_elsewhere(self) -> bool:
        runs = self._progress.runs
        return self._route.is_idempotent and runs < self._route.max_servers

    def _silence(self, limit_s: float) -> TimeLimit:
        """Bound the wait for a server where another one may go on."""
        can_fail_over = self._terms.can_fail_over and self._may_go_elsewhere
        bound_s = limit_s if can_fail_over else None
        return TimeLimit(bound_s, AnswerOverdue('silence'))


async def _first_of(pieces: AsyncIterator[bytes]) -> bytes:
    """Return a whole body, or its start if it is long."""
    parts: list[bytes] = []
    length = 0
    async for piece in pieces:
        parts.append(piece)
        length += len(piece)
        if length > _HELD_BYTES:
            break
    return b''.join(parts)


def _without_length(fields: Fields) -> Fields:
    return [pair for pair in fields if pair[0] != b'content-length']
