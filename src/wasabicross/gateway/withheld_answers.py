"""Answers of servers that aren't passed on to the caller."""

from __future__ import annotations

from wasabicross.gateway import metrics
from wasabicross.gateway.attempt_context import ServerAccess
from wasabicross.gateway.clock import now_s
from wasabicross.gateway.connections.server_connections import ServerConnection
from wasabicross.gateway.connections.server_messages import AnswerHead
from wasabicross.gateway.dialect import AnswerKind, RequestInfo
from wasabicross.gateway.errors import AnswerBroken
from wasabicross.gateway.progress import (
    AttemptRecord,
    Ending,
    RequestProgress,
)
from wasabicross.gateway.retrying_placer import Placement
from wasabicross.runtime.events import Event
from wasabicross.runtime.logs import log_event

_FIRST_FAILURE_STATUS = 500


class WithheldAnswers:
    """Records what the answers at one server tell, and discards what isn't passed on.

    :param servers: what all attempts share.
    :param info: what the request states.
    :param progress: its outcomes at all servers so far.
    :param record: what is logged of the attempt.
    """

    def __init__(
        self,
        servers: ServerAccess,
        info: RequestInfo,
        progress: RequestProgress,
        record: AttemptRecord,
    ) -> None:
        self._servers = servers
        self._info = info
        self._progress = progress
        self._record = record

    def record_notice(
        self, placement: Placement, head: AnswerHead, sent_s: float
    ) -> None:
        """Record whether the server refuses or limits further requests.

        :param placement: the server.
        :param head: the head of its answer.
        :param sent_s: when the request was sent, monotonic seconds.
        """
        notice = self._servers.dialect.notice(head)
        notices = self._servers.view.notices
        notices.on_notice(placement.server, notice, now_s(), sent_s)
        limits = self._record.limits = self._servers.dialect.limits(head)
        notices.limiter.on_answer(placement.server, limits, sent_s, now_s())

    async def on_not_run(
        self, conn: ServerConnection, placement: Placement, kind: AnswerKind
    ) -> Ending:
        """Record that the server hasn't run the request.

        :param conn: the connection, whose next bytes are the body.
        :param placement: the server.
        :param kind: why it hasn't.
        """
        await self.discard_body(conn)
        server_id = placement.server.server_id
        key = self._info.adapter
        self._servers.view.notices.limiter.brittle.on_refused(
            placement.server, now_s()
        )
        if kind is AnswerKind.not_run:
            self._progress.excluded.add(server_id)
            return Ending.not_run
        if key is None or not key.adapter:
            self._progress.excluded.add(server_id)
        else:
            self._servers.view.on_adapter_missing(server_id, key, now_s())
        return Ending.not_held

    async def withhold(
        self, conn: ServerConnection, placement: Placement, status: int
    ) -> Ending:
        """Keep an answer from the caller that would make it repeat a run.

        :param conn: the connection, whose next bytes are the body.
        :param placement: the server.
        :param status: status of the answer.
        """
        server = placement.server
        if status >= _FIRST_FAILURE_STATUS:
            self._servers.view.health[server.server_id].on_failure(now_s())
        await self.discard_body(conn)
        metrics.UNCONFIRMED_REFUSALS.labels(server.service, str(status)).inc()
        log_event(
            Event.REFUSAL_UNCONFIRMED,
            request=self._info.request_id,
            server=server.server_id,
            status=status,
        )
        return Ending.failed

    async def discard_body(self, conn: ServerConnection) -> None:
        """Read and discard the body of an answer.

        :param conn: the connection, whose next bytes are the body.
        """
        try:
            await conn.discard_body()
        except AnswerBroken as exc:
            self._record.reason = f'body discarded: {exc}'
