"""Finds out which process of a server lives, also after the end of its answer."""

from __future__ import annotations

import asyncio
import math

from wasabicross.gateway import metrics
from wasabicross.gateway.answer_ends.end_decisions import (
    AnswerOrigin,
    LifeSign,
    proof_by,
)
from wasabicross.gateway.answer_ends.end_proof import EndProof
from wasabicross.gateway.answer_ends.probe_connections import (
    ProbeConnection,
    ProbeConnections,
)
from wasabicross.gateway.answer_ends.seen_starts import SeenStarts
from wasabicross.gateway.answer_ends.server_questions import ServerQuestions
from wasabicross.gateway.backend import BackendServer
from wasabicross.gateway.clock import now_s
from wasabicross.gateway.connections.connection_pool import ConnectionPool
from wasabicross.gateway.errors import (
    DocumentUnreadable,
    ServerError,
    ServerGone,
    ServerUnreachable,
)
from wasabicross.gateway.orders import EngineClient
from wasabicross.gateway.view import FleetView
from wasabicross.runtime.events import Event
from wasabicross.runtime.logs import log_event

#: Longest time from the end of an answer in which its server is asked. A sound
#: server may be silent for a second.
_MAX_WAIT_S = 2.0

#: Time for which a service is expected to send more answers that end with their
#: connection once it has sent one.
_UNSTATED_FOR_S = 60.0

#: Why a process that answers may not have sent the answer before.
_TOO_YOUNG = 'not known to have been there before the request'

#: Pause before a server is asked again.
_PAUSE_S = 0.1


class LifeChecks:
    """Asks servers whose answers ended with their connection.

    One question tells of all answers that ended before it. An engine names its
    start in its report: the listed one, or one that had reported before the
    request, since the list lags behind restarts. Another server is asked on a
    connection that was there before the request; one is made before each request
    to a service whose answers may end with their connection, or of which none has
    come yet.

    :param view: the servers.
    :param pool: connections to them.
    :param engines: sends the questions.
    """

    def __init__(
        self, view: FleetView, pool: ConnectionPool, engines: EngineClient
    ) -> None:
        self._view = view
        self._engines = engines
        self._connections = ProbeConnections(pool)
        #: Until when an answer of a service may end with its connection, by what
        #: its answers so far stated.
        self._unstated_until_s: dict[str, float] = {}
        #: Whether the servers of a service have reports.
        self._have_reports: dict[str, bool] = {}
        self._starts = SeenStarts()
        self._questions = ServerQuestions(self._ask, view.notices)

    async def prepare(self, server: BackendServer) -> None:
        """Prepare for a question about the answer to the next request.

        :param server: the server that will get it.
        """
        until_s = self._unstated_until_s.get(server.service, math.inf)
        if not self.reports_start(server) and now_s() < until_s:
            await self._connections.ensure(server, now_s())

    def on_head(self, origin: AnswerOrigin, *, is_stated: bool) -> None:
        """Record whether an answer states where it ends.

        :param origin: where the answer is from.
        :param is_stated: whether it states that.
        """
        server = origin.server
        if is_stated:
            self._unstated_until_s.setdefault(server.service, -math.inf)
            return
        self._unstated_until_s[server.service] = now_s() + _UNSTATED_FOR_S
        if not self.reports_start(server):
            self._connections.adopt(server, origin.sent_s)

    async def prove_end(self, origin: AnswerOrigin, ended_s: float) -> EndProof:
        """Return what shows that a server has outlived its answer.

        :param origin: where the answer is from.
        :param ended_s: when its connection ended, monotonic seconds.
        """
        while True:
            sign = await self._questions.answer_after(origin.server, ended_s)
            proof = proof_by(sign, origin)
            is_over = sign.is_final or now_s() > ended_s + _MAX_WAIT_S
            if proof is not EndProof.none or is_over:
                break
            await asyncio.sleep(_PAUSE_S)
        metrics.END_CHECK_SECONDS.observe(now_s() - ended_s)
        if proof is EndProof.none:
            log_event(
                Event.ANSWER_END_UNPROVED,
                server=origin.server.server_id,
                start_ms=origin.known_start_ms,
                found_start_ms=sign.start_ms,
                reason=sign.reason,
                took_s=round(now_s() - ended_s, 3),
            )
        return proof

    async def start_after(self, server: BackendServer, after_s: float) -> int:
        """Return the start that a server reports after a moment.

        :param server: the server, an engine.
        :param after_s: the moment, monotonic seconds.
        :return: Unix milliseconds, 0 if it gave no report.
        """
        sign = await self._questions.answer_after(server, after_s)
        return sign.start_ms

    def reports_start(self, server: BackendServer) -> bool:
        """Return whether a server's report names the start that is listed.

        :param server: the server, as it is listed.
        """
        cfg = self._view.configuration
        service = cfg.services.get(server.service) if cfg else None
        if service is not None:
            # A later configuration may lack the service.
            self._have_reports[service.name] = service.engine is not None
        has_report = self._have_reports.get(server.service, False)
        return has_report and server.start_ms > 0

    def close(self) -> None:
        """Ask nothing more and close the connections for it."""
        self._questions.close()
        self._connections.close()

    async def _ask(self, server: BackendServer) -> LifeSign:
        if self.reports_start(server):
            return await self._ask_for_report(server)
        limiter = self._view.notices.limiter
        if not await limiter.acquire(server, now_s, blocks=False):
            return LifeSign(reason='the limit of the server')
        return await self._ask_on_connection(server)

    async def _ask_for_report(self, server: BackendServer) -> LifeSign:
        try:
            report = await self._engines.report(server)
        except ServerUnreachable as exc:
            return LifeSign(reason=str(exc), is_final=exc.is_refused)
        except ServerGone as exc:
            return LifeSign(reason=str(exc), is_final=True)
        except (ServerError, DocumentUnreadable) as exc:
            return LifeSign(reason=str(exc))
        since_s = self._starts.seen_since_s(server, report.start_ms, now_s())
        return LifeSign(report.start_ms, since_s, _TOO_YOUNG, is_final=True)

    async def _ask_on_connection(self, server: BackendServer) -> LifeSign:
        """Ask on the oldest connection on which the server answers."""
        until_s = now_s() + _MAX_WAIT_S
        await self._connections.ensure_spare(server)
        reason = 'no connection from before the request'
        for probe in tuple(self._connections.usable(server)):
            asked_s = now_s()
            reason = await self._why_silent(server, probe, until_s - asked_s)
            if not reason:
                self._connections.on_answer(server, probe, asked_s, now_s())
                return LifeSign(0, probe.since_s, _TOO_YOUNG, is_final=True)
        return LifeSign(reason=reason, is_final=True)

    async def _why_silent(
        self, server: BackendServer, probe: ProbeConnection, max_wait_s: float
    ) -> str:
        """Ask on a connection; return why there was no answer, if there was none."""
        conn = probe.conn
        probe.is_asked = True
        try:
            await self._engines.check_process(
                server, conn, self._health_path(server), max(0, max_wait_s)
            )
        except ServerError as exc:
            conn.close()
            return str(exc)
        finally:
            probe.is_asked = False
        if not conn.prepare_reuse(now_s()):
            conn.close()
        return ''

    def _health_path(self, server: BackendServer) -> str:
        cfg = self._view.configuration
        service = cfg.services.get(server.service) if cfg else None
        return service.health_path if service else '/'
