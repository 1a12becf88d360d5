"""Forwards a request to one other gateway and its answer to the caller."""

from __future__ import annotations

import enum
from collections.abc import Callable

from wasabicross.gateway.answer_decisions import NOT_RUN
from wasabicross.gateway.changes import InstanceEntry
from wasabicross.gateway.clock import now_s
from wasabicross.gateway.connections.answer_writer import AnswerWriter
from wasabicross.gateway.connections.connection_pool import ConnectionPool
from wasabicross.gateway.connections.http_heads import field
from wasabicross.gateway.connections.server_connections import ServerConnection
from wasabicross.gateway.connections.server_messages import (
    AnswerHead,
    ServerRequest,
)
from wasabicross.gateway.errors import (
    AnswerBroken,
    AnswerCut,
    AnswerMissing,
    ServerUnreachable,
)

#: Field of an answer that tells why a gateway hasn't taken a request.
NOT_TAKEN = b'x-wasabicross-not-taken'


class PeerEnding(enum.Enum):
    """How an attempt at another gateway ended.

    `answered`: the caller has its answer. `not_taken`: no server has got the
    request there. `unknown`: it may have run.
    """

    answered = 'answered'
    not_taken = 'not taken'
    unknown = 'unknown'


class PeerAttempt:
    """One attempt of a request at another gateway.

    :param pool: connections to gateways.
    :param peer: the gateway.
    :param port: its port for forwarded requests.
    :param answer: writes the caller's answer.
    :param is_misleading: returns whether an answer might make the caller repeat
        a request that has run.
    """

    def __init__(
        self,
        pool: ConnectionPool,
        peer: InstanceEntry,
        port: int,
        answer: AnswerWriter,
        is_misleading: Callable[[AnswerHead], bool],
    ) -> None:
        self._pool = pool
        self._host = peer.host
        self._port = port
        self._answer = answer
        self._is_misleading = is_misleading
        #: Status of the other gateway's answer, 0 for none.
        self.status = 0
        #: Why there is no complete answer.
        self.reason = ''
        #: Seconds until its answer began.
        self.first_s: float = 0

    async def run(self, req: ServerRequest) -> PeerEnding:
        """Send the request and forward the answer.

        :param req: the request.
        :raises AnswerCut: the answer has begun and can't be completed.
        """
        try:
            # A reused connection may end just now, which would leave unknown
            # whether the request was taken.
            conn = await self._pool.acquire(
                self._host,
                self._port,
                req.fields,
                once=True,
                method=req.method,
            )
        except ServerUnreachable as exc:
            self.reason = str(exc)
            return PeerEnding.not_taken
        try:
            ending = await self._exchange(conn, req)
        except BaseException:
            # Closing tells the other gateway that the caller has left.
            conn.close()
            raise
        if ending is PeerEnding.unknown:
            conn.close()
        else:
            self._pool.release(self._host, self._port, conn)
        return ending

    async def _exchange(
        self, conn: ServerConnection, req: ServerRequest
    ) -> PeerEnding:
        started_s = now_s()
        conn.send(req)
        try:
            head = await conn.read_head(req)
        except AnswerMissing as exc:
            self.reason = str(exc)
            return PeerEnding.unknown
        self.first_s = now_s() - started_s
        self.status = head.status
        self.reason = field(head.fields, NOT_TAKEN)
        try:
            return await self._forward(conn, head)
        except AnswerBroken as exc:
            self.reason = str(exc)
            if self._answer.has_started:
                raise AnswerCut(f'at {self._host}: {exc}') from exc
            return PeerEnding.unknown

    async def _forward(
        self, conn: ServerConnection, head: AnswerHead
    ) -> PeerEnding:
        if self.reason:
            try:
                await conn.discard_body()
            except AnswerBroken as exc:
                self.reason = f'{self.reason}; body discarded: {exc}'
            return PeerEnding.not_taken
        if not head.is_framed:
            raise AnswerBroken('no length and no chunks')
        if self._is_misleading(head):
            raise AnswerBroken(f'status {head.status}, unconfirmed')
        fields = [pair for pair in head.fields if pair[0] != NOT_RUN]
        await self._answer.start(head.status, fields)
        async for chunk in conn.read_chunks():
            await self._answer.send_chunk(chunk)
        await self._answer.end()
        return PeerEnding.answered
