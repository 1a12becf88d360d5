"""Sends a request to one server and forwards its answer to the caller."""

from __future__ import annotations

import asyncio
import contextlib

from wasabicross.gateway.answer_decisions import (
    REFUSALS,
    answer_kind,
    misleads_caller,
    without_gateway_fields,
)
from wasabicross.gateway.answer_ends.end_decisions import (
    AnswerOrigin,
)
from wasabicross.gateway.answer_forwarding import (
    SUCCESS_STATUSES,
    AnswerForwarding,
    Failover,
    ForwardedAttempt,
)
from wasabicross.gateway.attempt_context import AttemptContext, ServerAccess
from wasabicross.gateway.backend import BackendServer
from wasabicross.gateway.clock import now_s
from wasabicross.gateway.connections.answer_writer import AnswerWriter
from wasabicross.gateway.connections.server_connections import ServerConnection
from wasabicross.gateway.connections.server_messages import (
    AnswerHead,
    ServerRequest,
)
from wasabicross.gateway.dialect import AnswerKind, ForwardingOptions
from wasabicross.gateway.errors import (
    AnswerBroken,
    AnswerMissing,
    EndUnproved,
    ProcessSilent,
    ServerError,
    ServerUnreachable,
    VersionUnproved,
)
from wasabicross.gateway.prefill_rate import PendingPrefill
from wasabicross.gateway.progress import (
    AttemptRecord,
    Ending,
    RequestProgress,
)
from wasabicross.gateway.retrying_placer import Placement
from wasabicross.gateway.silence_watch import SilenceWatch
from wasabicross.gateway.streams.stream_versions import why_unsuitable
from wasabicross.gateway.takeover import Takeover
from wasabicross.gateway.version_proof import VersionProof
from wasabicross.gateway.withheld_answers import WithheldAnswers

#: Why an attempt ended early whose request would have crashed the server.
_CALLED_OFF = 'called off'

#: Why an attempt ended early whose server was silent.
_SILENCE = 'silence'

#: Silence of a process that is asked for its start after which another server is
#: asked to run the request.
_MAX_START_SILENCE_S = 0.25

_FIRST_FAILURE_STATUS = 500


class ServerAttempt:
    """One attempt of a request at one server.

    :param servers: what all attempts share.
    :param context: the request and the limits of this attempt.
    :param progress: outcomes of the request at all servers so far.
    :param answer: writes the caller's answer.
    """

    def __init__(
        self,
        servers: ServerAccess,
        context: AttemptContext,
        progress: RequestProgress,
        answer: AnswerWriter,
    ) -> None:
        self._servers = servers
        self._context = context
        self._route = context.route
        self._progress = progress
        self._answer = answer
        self._conn: ServerConnection | None = None
        #: Whether the connection was idle before, so that it may be broken.
        self._has_idled = False
        self._proof: VersionProof | None = None
        self._takeover = Takeover(context.on_accepted)
        self.record = AttemptRecord()
        self._withheld = WithheldAnswers(
            servers, context.info, progress, self.record
        )
        #: The attempt at the server that takes over, if the ending tells so.
        self.successor: asyncio.Task[Ending] | None = None

    async def run(self, placement: Placement) -> Ending:
        """Send the request to a server and forward its answer.

        :param placement: the server.
        """
        server = placement.server
        self._watched = self._servers.crashes.begin(server, self._context.info)
        runs_once = not self._route.is_idempotent
        with self._watched.under_way(self._close):
            try:
                await self._servers.life.prepare(server)
                conn = self._conn = await self._servers.pool.acquire(
                    server.host,
                    server.port,
                    self._context.req.fields,
                    once=runs_once,
                    method=self._context.req.method,
                )
            except ServerUnreachable as exc:
                self._on_unreachable(server, exc)
                return Ending.not_sent
            if self._watched.is_called_off:
                self._servers.pool.release(server.host, server.port, conn)
                self.record.reason = _CALLED_OFF
                return Ending.not_sent
            return await self._use(conn, placement)

    async def _use(
        self, conn: ServerConnection, placement: Placement
    ) -> Ending:
        """Run the request on a connection, and return or close that."""
        server = placement.server
        self._silence = SilenceWatch(self._context.replacements, self._leave)
        self._has_idled = conn.is_reused
        try:
            ending = await self._exchange_if_proved(conn, placement)
            if ending is not Ending.done:
                ending = await self._replace(ending)
        except (AnswerMissing, AnswerBroken) as exc:
            self._close()
            return await self._on_broken(server, exc)
        except BaseException:
            self._close()
            raise
        finally:
            self._silence.end()
        self._release(server)
        return ending

    async def _exchange_if_proved(
        self, conn: ServerConnection, placement: Placement
    ) -> Ending:
        """Send the request, a resumable stream only to a version that is proved."""
        if self._route.is_resumable:
            try:
                conn = await self._prove_version(conn, placement.server)
            except VersionUnproved as exc:
                self._on_unproved(placement.server, exc)
                return Ending.not_sent
            except ServerUnreachable as exc:
                self._on_unreachable(placement.server, exc)
                return Ending.not_sent
            self.record.reason = self._why_not_sent(placement.server)
            if self.record.reason:
                return Ending.not_sent
            self._silence.keep()
        return await self._exchange(conn, placement)

    def _why_not_sent(self, server: BackendServer) -> str:
        """Return what happened meanwhile so that a stream isn't sent, if it did."""
        if self._watched.is_called_off:
            return _CALLED_OFF
        if self._silence.is_taken_over or self._silence.is_asking:
            return _SILENCE
        return why_unsuitable(
            self._servers.view, server, self._progress.software_version
        )

    async def _prove_version(
        self, conn: ServerConnection, server: BackendServer
    ) -> ServerConnection:
        """Return a connection at whose other end the server's version runs.

        :raises VersionUnproved: nothing shows that.
        """
        versions = self._servers.versions
        with self._silence_limit(_MAX_START_SILENCE_S):
            conn = self._conn = await versions.connect(server, conn)
        self.record.found_start_ms = conn.start_ms
        self._proof = versions.prove(server, conn, now_s())
        self.record.version_ground = self._proof.ground
        return conn

    def _on_unreachable(
        self, server: BackendServer, exc: ServerUnreachable
    ) -> None:
        """Record that no connection to the server could be made."""
        self.record.reason = str(exc)
        self._servers.view.health[server.server_id].on_unreachable(now_s())
        self._progress.excluded.add(server.server_id)
        self._progress.was_unreached = True

    def _on_unproved(self, server: BackendServer, exc: VersionUnproved) -> None:
        """Record that nothing shows which version runs, unless it was left."""
        self._close()
        if self._watched.is_called_off:
            self.record.reason = _CALLED_OFF
            return
        if self._silence.is_taken_over:
            self.record.reason = _SILENCE
            return
        self.record.reason = str(exc)
        server_id = server.server_id
        is_silent = isinstance(exc, ProcessSilent)
        if is_silent or exc.may_be_connection:
            self._servers.pool.drop_idle(server.host, server.port)
        # The fault may be the connection's; the listed process may accept another.
        may_be_conn = exc.may_be_connection or (is_silent and self._has_idled)
        if may_be_conn and self._progress.may_ask_again(server_id):
            return
        self._progress.excluded.add(server_id)
        if is_silent:
            self._servers.view.health[server_id].on_failure(now_s())

    def _release(self, server: BackendServer) -> None:
        """Give the connection back."""
        if self._conn is not None:
            self._servers.pool.release(server.host, server.port, self._conn)

    def _close(self) -> None:
        """Close the connection to the server, if there is one yet."""
        if self._conn is not None:
            self._conn.close()

    def _leave(self) -> None:
        """Leave the server, as another one has taken the request over."""
        self._close()
        self._takeover.accept()

    async def _on_broken(
        self, server: BackendServer, exc: ServerError
    ) -> Ending:
        """Record that no whole answer came."""
        if self._watched.is_called_off:
            self.record.reason = _CALLED_OFF
            return Ending.unknown
        if not isinstance(exc, EndUnproved):
            # If the machine is down, its idle connections don't answer either.
            self._servers.pool.drop_idle(server.host, server.port)
            self._servers.view.health[server.server_id].on_failure(now_s())
        if self._silence.is_taken_over:
            self.record.reason = _SILENCE
        else:
            self.record.reason = str(exc)
            # The fault may be the reused connection's; a new one may work.
            if not self._has_idled:
                self._progress.excluded.add(server.server_id)
            if await self._watched.on_broken():
                self._progress.crashes += 1
                self._progress.has_suspect_part = self._watched.has_suspect_part
                return Ending.crashed
        return await self._replace(Ending.unknown)

    async def _replace(self, ending: Ending) -> Ending:
        """Wait for the server that was asked to take over, if there is one."""
        self.successor = await self._silence.successor()
        return ending if self.successor is None else Ending.replaced

    async def _exchange(
        self, conn: ServerConnection, placement: Placement
    ) -> Ending:
        req = self._request(placement)
        progress = self._progress
        progress.sends += 1
        progress.runs += 1
        prefill = self._pending_prefill(placement)
        self.record.unread_tokens = prefill.tokens
        self.record.knowledge_s = now_s() - self._servers.view.confirmed_s
        self._origin = AnswerOrigin(placement.server, now_s(), conn.start_ms)
        conn.send(req)
        self.record.connection = conn.serial
        self.record.connection_sends = conn.sends
        with self._silence_limit(prefill.max_silence_s(self._route.target_s)):
            head = await conn.read_head(req)
        self.record.first_s = now_s() - prefill.sent_s
        self.record.status = head.status
        self._servers.life.on_head(self._origin, is_stated=head.is_framed)
        self._withheld.record_notice(placement, head, prefill.sent_s)
        may_repeat = self._route.is_idempotent
        kind = answer_kind(
            self._servers.dialect, head, is_idempotent=may_repeat
        )
        if kind in REFUSALS:
            progress.runs -= 1
            return await self._withheld.on_not_run(conn, placement, kind)
        if kind is AnswerKind.unmarked:
            raise AnswerBroken('success without the mark of its server')
        self._context.usage.on_prefilled()
        prefill.on_answer(now_s())
        if misleads_caller(kind, is_idempotent=may_repeat):
            return await self._withheld.withhold(conn, placement, head.status)
        return await self._forward_answer(conn, placement, head)

    def _request(self, placement: Placement) -> ServerRequest:
        options = ForwardingOptions(
            placement.server.server_id,
            placement.version,
            self._context.deadline_s - now_s(),
            self._route.priority,
            self._progress.last_event_id,
            placement.prompt_source,
        )
        return self._servers.dialect.request(self._context.req, options)

    def _pending_prefill(self, placement: Placement) -> PendingPrefill:
        """Return the prefill that the server does before the first token."""
        view = self._servers.view
        at_s = now_s()
        unread = view.unread_tokens(placement.server, at_s)
        return PendingPrefill(
            view.prefill_rate, placement.server.service, unread, at_s
        )

    async def _forward_answer(
        self, conn: ServerConnection, placement: Placement, head: AnswerHead
    ) -> Ending:
        server_id = placement.server.server_id
        health = self._servers.view.health[server_id]
        succeeded = head.status in SUCCESS_STATUSES
        if head.status >= _FIRST_FAILURE_STATUS:
            health.on_failure(now_s())
            if self._may_retry or self._is_another_asked:
                await self._withheld.discard_body(conn)
                self._progress.excluded.add(server_id)
                return Ending.failed
        if self._answer.has_started and not succeeded:
            raise AnswerBroken(f'status {head.status} for a resumed stream')
        fields = without_gateway_fields(head.fields)
        await self._forwarding().run(conn, head._replace(fields=fields))
        if succeeded:
            health.on_answer()
        if head.status < _FIRST_FAILURE_STATUS:
            self._watched.on_sound()
        self._progress.has_succeeded = succeeded
        return Ending.done

    def _forwarding(self) -> AnswerForwarding:
        """Return an object that forwards an answer of a server."""
        return AnswerForwarding(
            ForwardedAttempt(
                self._context,
                self._origin,
                self._progress,
                self.record,
                self._watched,
                self._proof,
            ),
            self._answer,
            self._servers.life,
            Failover(self._silence, self._takeover, self._silence_limit),
        )

    @property
    def _may_retry(self) -> bool:
        runs = self._progress.runs
        return self._route.is_idempotent and runs < self._route.max_servers

    @property
    def _is_another_asked(self) -> bool:
        """Return whether another server may answer if this one doesn't."""
        return self._takeover.is_pending or self._silence.is_asking

    def _silence_limit(
        self, max_silence_s: float
    ) -> contextlib.AbstractContextManager[None]:
        """Limit the wait for a server where another one may take over."""
        can_fail_over = self._context.can_fail_over and self._may_retry
        return self._silence.limit(max_silence_s if can_fail_over else None)
