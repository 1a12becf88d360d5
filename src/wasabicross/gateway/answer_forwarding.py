"""Forwards a server's answer to the caller, up to an end that is proved."""

from __future__ import annotations

import contextlib
from collections.abc import AsyncIterator, Callable
from typing import NamedTuple

from wasabicross.gateway.answer_ends.end_decisions import (
    AnswerEnd,
    AnswerOrigin,
    needs_proof,
    why_broken,
)
from wasabicross.gateway.answer_ends.end_proof import EndProof
from wasabicross.gateway.answer_ends.life_checks import LifeChecks
from wasabicross.gateway.attempt_context import AttemptContext
from wasabicross.gateway.clock import now_s
from wasabicross.gateway.configuration import RouteKind
from wasabicross.gateway.connections.answer_writer import AnswerWriter
from wasabicross.gateway.connections.event_stream import EVENT_STREAM_TYPE
from wasabicross.gateway.connections.http_heads import Fields, field
from wasabicross.gateway.connections.server_connections import ServerConnection
from wasabicross.gateway.connections.server_messages import AnswerHead
from wasabicross.gateway.crashes.crash_watch import WatchedAttempt
from wasabicross.gateway.errors import AnswerBroken, EndUnproved
from wasabicross.gateway.forwarded_stream import ForwardedStream
from wasabicross.gateway.progress import AttemptRecord, RequestProgress
from wasabicross.gateway.silence_watch import SilenceWatch
from wasabicross.gateway.takeover import Takeover
from wasabicross.gateway.version_proof import VersionProof

SUCCESS_STATUSES = range(200, 300)

#: Longest body that is buffered until it is complete, so that another server
#: can answer if this one stops before the end.
_MAX_BUFFERED_BYTES = 262144

#: Silence between the events of a resumable stream after which another server
#: resumes it, as a multiple of the route's target gap.
_MAX_SILENCE_GAPS = 4


class ForwardedAttempt(NamedTuple):
    """The attempt at a server whose answer is forwarded.

    :param origin: where its answer is from.
    :param progress: outcomes of the request at all servers so far.
    :param record: what is logged of the attempt.
    :param watched: is told how the answer goes.
    :param proof: shows the software version of the server, None for a request
        that isn't resumable.
    """

    context: AttemptContext
    origin: AnswerOrigin
    progress: RequestProgress
    record: AttemptRecord
    watched: WatchedAttempt
    proof: VersionProof | None


class Failover(NamedTuple):
    """The changes between servers while an answer is awaited.

    :param silence: asks other servers while this one is silent.
    :param takeover: tells that this server answers instead of a silent one.
    :param limit: returns a context that limits the silence, in seconds.
    """

    silence: SilenceWatch
    takeover: Takeover
    limit: Callable[[float], contextlib.AbstractContextManager[None]]

    def accept(self) -> None:
        """Answer instead of the servers before and those that were asked.

        :raises AnswerBroken: another server has taken over.
        """
        self.silence.keep()
        self.takeover.accept()


class AnswerForwarding:
    """Forwards one answer.

    :param attempt: the attempt at its server.
    :param answer: writes the caller's answer.
    :param life: tells whether servers outlive their answers.
    :param failover: the changes between servers.
    """

    def __init__(
        self,
        attempt: ForwardedAttempt,
        answer: AnswerWriter,
        life: LifeChecks,
        failover: Failover,
    ) -> None:
        self._attempt = attempt
        self._route = attempt.context.route
        self._answer = answer
        self._life = life
        self._failover = failover

    async def run(self, conn: ServerConnection, head: AnswerHead) -> None:
        """Forward the answer.

        :param conn: the connection, whose next bytes are the body.
        :param head: its head.
        :raises AnswerBroken: it isn't complete, or nothing shows that it is.
        """
        is_stream = head.status in SUCCESS_STATUSES and self._is_stream(head)
        self._failover.silence.keep()
        with self._failover.takeover.limit():
            if is_stream:
                await self._forward_stream(conn, head)
            else:
                await self._forward_body(conn, head)

    def _is_stream(self, head: AnswerHead) -> bool:
        """Return whether an answer is the expected stream of events."""
        if self._route.kind is not RouteKind.streaming:
            return False
        content_type = field(head.fields, b'content-type')
        if content_type.startswith(EVENT_STREAM_TYPE):
            return True
        if self._answer.has_started:
            raise AnswerBroken(f'{content_type!r} for a resumed stream')
        # The length of a stream isn't known when it begins.
        return not content_type and head.content_length is None

    async def _forward_body(
        self, conn: ServerConnection, head: AnswerHead
    ) -> None:
        """Forward an answer, a short one only when it is complete."""
        chunks = conn.read_chunks()
        body_start = await _read_start(chunks)
        if len(body_start) <= _MAX_BUFFERED_BYTES:
            await self._forward_short(head, body_start)
            return
        if self._route.is_resumable:
            raise AnswerBroken('long answer that another server cannot resume')
        self._failover.accept()
        await self._answer.start(head.status, head.fields)
        await self._answer.send_chunk(body_start)
        await self._forward_rest(chunks, head)

    async def _forward_short(self, head: AnswerHead, body: bytes) -> None:
        """Forward a short body once it is known to be complete."""
        is_empty = head.status in SUCCESS_STATUSES and not body
        await self._check_end(AnswerEnd(head.is_framed, is_empty))
        self._failover.accept()
        fields = _without_length(head.fields)
        await self._answer.send_complete(head.status, fields, body)

    async def _forward_rest(
        self, chunks: AsyncIterator[bytes], head: AnswerHead
    ) -> None:
        """Forward the rest of a long body."""
        async for chunk in chunks:
            await self._answer.send_chunk(chunk)
        await self._check_end(AnswerEnd(head.is_framed, is_empty=False))
        await self._answer.end()

    async def _check_end(self, end: AnswerEnd) -> None:
        """Check that an answer is complete where it ends.

        :raises AnswerBroken: it isn't, or nothing shows that it is.
        """
        proof = EndProof.stated if end.is_stated else EndProof.none
        if needs_proof(end):
            proof = await self._life.prove_end(self._attempt.origin, now_s())
            if proof is EndProof.none:
                raise EndUnproved(why_broken(end, proof))
        reason = why_broken(end, proof)
        if reason:
            raise AnswerBroken(reason)
        self._attempt.record.end_proof = proof

    async def _forward_stream(
        self, conn: ServerConnection, head: AnswerHead
    ) -> None:
        attempt = self._attempt
        if not self._failover.takeover.is_pending:
            await self._start_stream(head)
        stream = ForwardedStream(
            conn,
            attempt.progress.last_event_id,
            is_resumable=self._route.is_resumable,
        )
        while True:
            events = await self._next_events(stream)
            if events is None:
                break
            attempt.watched.on_progress()
            if attempt.proof is not None:
                attempt.progress.check_version(attempt.proof)
            self._failover.accept()
            if attempt.proof is not None:
                attempt.context.on_events(attempt.proof)
            attempt.progress.last_event_id = stream.last_event_id
            await self._start_stream(head)
            await self._answer.send_chunk(events)
        await self._end_stream(stream, head)

    async def _end_stream(
        self, stream: ForwardedStream, head: AnswerHead
    ) -> None:
        """End an answer if its stream is complete."""
        await self._check_end(stream.end(is_stated=head.is_framed))
        self._failover.accept()
        await self._start_stream(head)
        await self._answer.end()

    async def _next_events(self, stream: ForwardedStream) -> bytes | None:
        """Return the next events of a stream to forward, None at its end."""
        with self._failover.limit(self._route.gap_s * _MAX_SILENCE_GAPS):
            events = await stream.next_events()
        self._attempt.record.longest_pause_s = stream.longest_pause_s
        return events

    async def _start_stream(self, head: AnswerHead) -> None:
        if not self._answer.has_started:
            await self._answer.start(head.status, _without_length(head.fields))


async def _read_start(chunks: AsyncIterator[bytes]) -> bytes:
    """Return a complete body, or its start if it is longer than the buffer."""
    parts: list[bytes] = []
    length = 0
    async for chunk in chunks:
        parts.append(chunk)
        length += len(chunk)
        if length > _MAX_BUFFERED_BYTES:
            break
    return b''.join(parts)


def _without_length(fields: Fields) -> Fields:
    return [pair for pair in fields if pair[0] != b'content-length']
