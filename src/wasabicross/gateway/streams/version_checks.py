"""Finds out which software version runs at the other end of a connection."""

from __future__ import annotations

from wasabicross.gateway import metrics
from wasabicross.gateway.answer_ends.life_checks import LifeChecks
from wasabicross.gateway.backend import BackendServer
from wasabicross.gateway.clock import now_s
from wasabicross.gateway.connections.connection_pool import ConnectionPool
from wasabicross.gateway.connections.server_connections import ServerConnection
from wasabicross.gateway.errors import (
    AnswerMissing,
    DocumentUnreadable,
    GatewayStalled,
    ProcessSilent,
    ServerError,
    ServerUnreachable,
    VersionUnproved,
)
from wasabicross.gateway.orders import EngineClient
from wasabicross.gateway.version_proof import VersionProof
from wasabicross.gateway.view import FleetView
from wasabicross.runtime.events import Event
from wasabicross.runtime.logs import log_event

#: Longest wait for the start of the process behind a connection. A sound server
#: may be silent for a second.
_MAX_WAIT_S = 2.0

#: Least delay of that wait's end that shows that this process stood still.
_MIN_STALL_S = 0.1


class VersionChecks:
    """Proves the software versions of the processes that streams are sent to.

    The process is asked once for each connection, before its first resumable
    stream.

    :param view: the servers.
    :param pool: connections to them.
    :param engines: sends the questions.
    :param life: tells which servers report their starts.
    """

    def __init__(
        self,
        view: FleetView,
        pool: ConnectionPool,
        engines: EngineClient,
        life: LifeChecks,
    ) -> None:
        self._view = view
        self._pool = pool
        self._engines = engines
        self._life = life

    async def connect(
        self, server: BackendServer, conn: ServerConnection
    ) -> ServerConnection:
        """Return a connection whose process has told its start, if it tells any.

        It is the given one, or another if its server closes that after the
        question.

        :param server: the server, as it was listed when it was chosen.
        :param conn: a connection to it, without a request under way.
        :raises ProcessSilent: the process gave no report.
        :raises GatewayStalled: this process stood still while it asked.
        :raises ServerUnreachable: no other connection could be made.
        """
        if conn.start_ms or not self._life.reports_start(server):
            return conn
        asked_s = now_s()
        try:
            if not await self._engines.learn_start(server, conn, _MAX_WAIT_S):
                conn.close()
                conn = await self._connect_before_question(server)
        except ServerUnreachable:
            raise
        except (ServerError, DocumentUnreadable) as exc:
            conn.close()
            if now_s() - asked_s > _MAX_WAIT_S + _MIN_STALL_S:
                raise GatewayStalled(f'no start: {exc}') from exc
            raise ProcessSilent(f'no start: {exc}') from exc
        finally:
            metrics.START_QUESTION_SECONDS.observe(now_s() - asked_s)
        return conn

    def prove(
        self, server: BackendServer, conn: ServerConnection, now_s: float
    ) -> VersionProof:
        """Return the proof of the software version behind a connection.

        :param server: the server, as it was listed when it was chosen.
        :param conn: the connection.
        :param now_s: the present time, monotonic seconds.
        :raises VersionUnproved: its entry is of another start.
        """
        # The entry may have come while the process was asked.
        server = self._view.servers.get(server.server_id, server)
        self._view.notices.starts.on_found(server, conn.start_ms, now_s)
        try:
            return VersionProof(
                server, conn, names_start=self._life.reports_start(server)
            )
        except VersionUnproved as exc:
            if conn.start_ms > server.start_ms:
                health = self._view.health[server.server_id]
                health.on_unlisted_start(now_s)
            log_event(
                Event.VERSION_UNPROVED,
                server=server.server_id,
                start_ms=server.start_ms,
                found_start_ms=conn.start_ms,
                reason=str(exc),
            )
            raise

    async def _connect_before_question(
        self, server: BackendServer
    ) -> ServerConnection:
        """Return a new connection, made before its process reports its start.

        An address belongs to one process at a time.
        """
        conn = await self._pool.connect(server.host, server.port)
        try:
            conn.start_ms = await self._life.start_after(server, now_s())
            if not conn.start_ms:
                raise AnswerMissing('no report after a new connection')
        except BaseException:
            conn.close()
            raise
        return conn
