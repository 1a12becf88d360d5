"""One request of a caller, from its arrival to its final answer."""

from __future__ import annotations

import asyncio
import enum
from collections.abc import Callable
from typing import NamedTuple

from wasabicross.events import Event
from wasabicross.gateway import metrics
from wasabicross.gateway.callers import AnswerWriter
from wasabicross.gateway.clock import now_s
from wasabicross.gateway.configuration import Route, RouteKind
from wasabicross.gateway.dialect import CallHead, Dialect, Passage, Verdict
from wasabicross.gateway.errors import (
    AnswerBroken,
    AnswerMissing,
    CallerGone,
    ServerUnreachable,
)
from wasabicross.gateway.event_stream import EventSplitter
from wasabicross.gateway.http_heads import CallerRequest, Fields
from wasabicross.gateway.placement import NoServer
from wasabicross.gateway.placing import Placed, Placing, Wanted
from wasabicross.gateway.server_connections import (
    AnswerHead,
    ConnectionPool,
    ServerConnection,
)
from wasabicross.gateway.uses import AdapterUses
from wasabicross.gateway.view import FleetView
from wasabicross.logs import log_event
from wasabicross.retries import RetryBudget

_NOT_FOUND = 404
_BAD_GATEWAY = 502
_UNAVAILABLE = 503
_GATEWAY_TIMEOUT = 504
_OK_STATUSES = range(200, 300)

#: When callers may come back after a refusal.
_RETRY_AFTER_S = 0.7
_NO_CONFIGURATION_RETRY_S = 0.5

#: Most servers that a request is sent to, run or not.
_MAX_SENDS = 5

#: Silence, as a multiple of the target, after which an idempotent request
#: that has brought no answer yet goes on elsewhere.
_SILENCE_TARGETS = 1.5

#: Silence between the events of a resumable stream after which it goes on
#: elsewhere, as a multiple of the longest pause that is on time.
_SILENCE_GAPS = 4

#: How long a request waits for its adapter, as a multiple of the target.
_PATIENCE_TARGETS = 2

#: Pause before a server that couldn't run a request now is asked again.
_NOT_RUN_PAUSE_S = 0.05


class Ending(enum.Enum):
    """How an attempt at one server ended.

    `done`: the caller has its answer. `not_sent`: the server has seen nothing.
    `not_run`: it says that it hasn't run the request. `not_held`: it lacks the
    adapter. `unknown`: the request may have run. `failed`: it ran and failed.
    """

    done = 'done'
    not_sent = 'not sent'
    not_run = 'not run'
    not_held = 'not held'
    unknown = 'unknown'
    failed = 'failed'


class Services(NamedTuple):
    """What calls share.

    :param budget_for: returns the budget of repeats of a service.
    """

    view: FleetView
    placing: Placing
    pool: ConnectionPool
    uses: AdapterUses
    dialect: Dialect
    budget_for: Callable[[str], RetryBudget]


class Call:
    """One request of a caller and what has become of it.

    :param shared: what calls share.
    :param req: the request.
    :param answer: writes its answer.
    """

    def __init__(
        self, shared: Services, req: CallerRequest, answer: AnswerWriter
    ) -> None:
        self._shared = shared
        self._req = req
        self._answer = answer
        self._head: CallHead = shared.dialect.read(req)
        self._sends = 0
        self._runs = 0
        self._may_run = False
        self._excluded: set[str] = set()
        self._splitter = EventSplitter()
        self._splitter.last_event_id = self._head.last_event_id
        self._server_id = ''
        self._labels = ('', '')
        self._configuration = 0
        self._outcome = 'cancelled'

    async def serve(self) -> None:
        """Answer the request."""
        try:
            await self._serve()
        finally:
            self._count_end()

    async def _serve(self) -> None:
        cfg = self._shared.view.configuration
        if cfg is None:
            await self._refuse('no configuration', _NO_CONFIGURATION_RETRY_S)
            return
        self._configuration = cfg.version
        route = cfg.route_for(self._req.host, self._req.path)
        if route is None:
            await self._end(_NOT_FOUND, 'no route', None)
            return
        deadline_s = self._deadline_s(route)
        try:
            async with asyncio.timeout(max(0, deadline_s - now_s())):
                await self._run(route, deadline_s)
        except TimeoutError:
            await self._on_timeout()

    async def refuse(self, reason: str) -> None:
        """Refuse the request without trying any server.

        :param reason: why, for the log.
        """
        await self._refuse(reason, _RETRY_AFTER_S)

    def _deadline_s(self, route: Route) -> float:
        left_s = self._head.time_left_s
        if left_s is None:
            return self._req.arrived_s + route.timeout_s
        return self._req.arrived_s + min(route.timeout_s, left_s)

    async def _run(self, route: Route, deadline_s: float) -> None:
        service = route.service_for(self._head.request_id)
        self._labels = (service, metrics.request_class(route))
        budget = self._shared.budget_for(service)
        budget.add_request()
        while True:
            placed = await self._shared.placing.place(
                Wanted(
                    service,
                    self._head.adapter,
                    route.priority,
                    self._patience_s(route),
                    frozenset(self._excluded),
                )
            )
            if isinstance(placed, NoServer):
                await self._give_up(placed.reason)
                return
            ending = await self._attempt(route, placed, deadline_s)
            if ending is Ending.done:
                return
            if not self._may_repeat(route, ending, budget):
                await self._give_up(ending.value)
                return
            if ending is Ending.not_run:
                await asyncio.sleep(_NOT_RUN_PAUSE_S)

    def _patience_s(self, route: Route) -> float:
        """Return how long the request still waits for its adapter."""
        waited_s = now_s() - self._req.arrived_s
        return max(0, route.target_s * _PATIENCE_TARGETS - waited_s)

    def _may_repeat(
        self, route: Route, ending: Ending, budget: RetryBudget
    ) -> bool:
        """Tell whether the request may go to another server."""
        if ending is Ending.not_sent:
            return True
        if ending in {Ending.unknown, Ending.failed}:
            if not route.is_idempotent or self._runs >= route.max_servers:
                return False
        return self._sends < _MAX_SENDS and budget.spend()

    async def _attempt(
        self, route: Route, placed: Placed, deadline_s: float
    ) -> Ending:
        server = placed.server
        self._server_id = server.server_id
        self._shared.uses.begin(server.server_id, self._head.adapter)
        began_s = now_s()
        ending = Ending.unknown
        try:
            ending = await self._exchange(route, placed, deadline_s)
        finally:
            self._shared.uses.end(server.server_id, self._head.adapter)
            self._note_attempt(placed, ending, began_s)
        metrics.LOAD_WAIT_SECONDS.labels(*self._labels).observe(placed.waited_s)
        return ending

    async def _exchange(
        self, route: Route, placed: Placed, deadline_s: float
    ) -> Ending:
        server = placed.server
        once = not route.is_idempotent
        soundness = self._shared.view.soundness[server.server_id]
        try:
            conn = await self._shared.pool.take(
                server.host, server.port, once=once
            )
        except ServerUnreachable:
            soundness.on_unreachable(now_s())
            self._excluded.add(server.server_id)
            return Ending.not_sent
        try:
            ending = await self._talk(conn, route, placed, deadline_s)
        except (AnswerMissing, AnswerBroken):
            soundness.on_failure(now_s())
            self._excluded.add(server.server_id)
            ending = Ending.unknown
        except BaseException:
            conn.close()
            raise
        if ending is Ending.unknown:
            conn.close()
        else:
            self._shared.pool.give_back(server.host, server.port, conn)
        return ending

    async def _talk(
        self,
        conn: ServerConnection,
        route: Route,
        placed: Placed,
        deadline_s: float,
    ) -> Ending:
        passage = Passage(
            placed.server.server_id,
            placed.version,
            deadline_s - now_s(),
            route.priority,
            self._splitter.last_event_id,
        )
        req = self._shared.dialect.request(self._req, passage)
        self._splitter.rest()
        self._sends += 1
        self._may_run = True
        await conn.send(req)
        async with self._silence(route, route.target_s * _SILENCE_TARGETS):
            head = await conn.head(req)
        verdict = self._shared.dialect.verdict(head)
        if verdict in {Verdict.not_run, Verdict.not_held}:
            await self._drop_body(conn)
            return self._not_run(placed, verdict)
        self._runs += 1
        return await self._take_answer(conn, route, placed, head)

    def _not_run(self, placed: Placed, verdict: Verdict) -> Ending:
        if self._runs == 0:
            self._may_run = False
        key = self._head.adapter
        if verdict is Verdict.not_run:
            self._excluded.add(placed.server.server_id)
            return Ending.not_run
        if key is None or not key.adapter:
            self._excluded.add(placed.server.server_id)
        else:
            self._shared.view.on_denial(placed.server.server_id, key, now_s())
        return Ending.not_held

    async def _take_answer(
        self,
        conn: ServerConnection,
        route: Route,
        placed: Placed,
        head: AnswerHead,
    ) -> Ending:
        soundness = self._shared.view.soundness[placed.server.server_id]
        is_ok = head.status in _OK_STATUSES
        if head.status >= 500:
            soundness.on_failure(now_s())
            if route.is_idempotent and self._runs < route.max_servers:
                await self._drop_body(conn)
                self._excluded.add(placed.server.server_id)
                return Ending.failed
        if self._answer.has_started and not is_ok:
            raise AnswerBroken(f'status {head.status} in mid-stream')
        if route.kind is RouteKind.streaming and is_ok:
            await self._stream(conn, route, head)
        else:
            parts = [piece async for piece in conn.pieces()]
            await self._answer.whole(
                head.status, _without_length(head.fields), b''.join(parts)
            )
        if is_ok:
            soundness.on_answer()
        self._outcome = 'answered' if is_ok else 'failed'
        return Ending.done

    async def _stream(
        self, conn: ServerConnection, route: Route, head: AnswerHead
    ) -> None:
        if not self._answer.has_started:
            await self._answer.start(head.status, _without_length(head.fields))
        pieces = conn.pieces()
        while True:
            async with self._silence(route, route.gap_s * _SILENCE_GAPS):
                piece = await anext(pieces, None)
            if piece is None:
                break
            if route.is_resumable:
                piece = self._splitter.feed(piece)
            if piece:
                await self._answer.piece(piece)
        rest = self._splitter.rest()
        if rest:
            await self._answer.piece(rest)
        await self._answer.end()

    def _silence(self, route: Route, limit_s: float) -> _Silence:
        """Bound the wait for a server where another one may go on."""
        if route.is_idempotent and self._runs < route.max_servers:
            return _Silence(limit_s)
        return _Silence(None)

    async def _drop_body(self, conn: ServerConnection) -> None:
        async for _ in conn.pieces():
            pass

    async def _on_timeout(self) -> None:
        if self._answer.has_started:
            raise CallerGone('timeout in the middle of the answer')
        if self._may_run:
            await self._end(_GATEWAY_TIMEOUT, 'timeout', None)
        else:
            await self._refuse('timeout before a server', _RETRY_AFTER_S)

    async def _give_up(self, reason: str) -> None:
        if self._answer.has_started:
            self._log(0, f'cut: {reason}')
            raise CallerGone(reason)
        if self._may_run:
            await self._end(_BAD_GATEWAY, reason, None)
        else:
            await self._refuse(reason, _RETRY_AFTER_S)

    async def _refuse(self, reason: str, retry_after_s: float) -> None:
        await self._end(_UNAVAILABLE, reason, retry_after_s)

    async def _end(
        self, status: int, reason: str, retry_after_s: float | None
    ) -> None:
        self._log(status, reason)
        fields = self._shared.dialect.refusal(
            self._head.request_id, retry_after_s
        )
        await self._answer.whole(status, fields)

    def _count_end(self) -> None:
        metrics.REQUESTS.labels(*self._labels, self._outcome).inc()
        started_s = self._answer.started_s
        if started_s is not None and self._labels[0]:
            metrics.FIRST_BYTE_SECONDS.labels(*self._labels).observe(
                started_s - self._req.arrived_s
            )

    def _log(self, status: int, reason: str) -> None:
        self._outcome = 'refused' if status == _UNAVAILABLE else 'ended'
        metrics.REFUSALS.labels(reason).inc()
        log_event(
            Event.REQUEST_REFUSED,
            request=self._head.request_id,
            status=status,
            reason=reason,
            sends=self._sends,
            runs=self._runs,
            server=self._server_id,
            held_s=round(now_s() - self._req.arrived_s, 3),
        )

    def _note_attempt(
        self, placed: Placed, ending: Ending, began_s: float
    ) -> None:
        metrics.ATTEMPTS.labels(self._labels[0], ending.value).inc()
        log_event(
            Event.REQUEST_SENT,
            request=self._head.request_id,
            server=placed.server.server_id,
            adapter=self._head.adapter.adapter if self._head.adapter else '',
            version=placed.version,
            waited_s=round(placed.waited_s, 3),
            candidates=placed.candidates,
            requests=placed.requests,
            configuration=self._configuration,
            took_s=round(now_s() - began_s, 3),
            ending=ending.value,
        )


class _Silence:
    """Turns a server's silence of some length into a missing answer."""

    def __init__(self, limit_s: float | None) -> None:
        self._timeout = asyncio.timeout(limit_s)

    async def __aenter__(self) -> None:
        await self._timeout.__aenter__()

    async def __aexit__(self, kind: object, exc: object, tb: object) -> None:
        try:
            await self._timeout.__aexit__(kind, exc, tb)  # type: ignore
        except TimeoutError as late:
            raise AnswerMissing('silence') from late


def _without_length(fields: Fields) -> Fields:
    return [pair for pair in fields if pair[0] != b'content-length']
