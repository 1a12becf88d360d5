"""One request of a caller, from its arrival to its final answer."""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from typing import NamedTuple, NoReturn

from wasabicross.gateway import metrics
from wasabicross.gateway.caller_connections import (
    CALLER_LEFT,
    PROCESS_ENDS,
    AnswerWriter,
)
from wasabicross.gateway.clock import now_s
from wasabicross.gateway.configuration import Route
from wasabicross.gateway.dialect import RequestInfo
from wasabicross.gateway.errors import CallerGone
from wasabicross.gateway.http_heads import CallerRequest
from wasabicross.gateway.placement import NoServer
from wasabicross.gateway.progress import Ending, RequestProgress
from wasabicross.gateway.retry_delays import RetryDelays
from wasabicross.gateway.retrying_placer import (
    Placement,
    PlacementRequest,
    RetryingPlacer,
)
from wasabicross.gateway.server_attempts import (
    AttemptContext,
    ServerAccess,
    ServerAttempt,
)
from wasabicross.gateway.usage_tracker import UsageTracker
from wasabicross.runtime.events import Event
from wasabicross.runtime.logs import log_event
from wasabicross.servers.retries import RetryBudget

_CUT = 0
_NOT_FOUND = 404
_BAD_GATEWAY = 502
_UNAVAILABLE = 503
_GATEWAY_TIMEOUT = 504

#: When callers may come back where other gateways may serve them at once.
_STOPPING_RETRY_S = 0.1
_NO_CONFIGURATION_RETRY_S = 0.5

#: Most servers that a request is sent to, run or not.
_MAX_SENDS = 5

#: How long a request waits for its adapter, as a multiple of the target.
_PATIENCE_TARGETS = 2

#: Pause before a server that couldn't run a request now is asked again.
_NOT_RUN_PAUSE_S = 0.05


class HandlerDependencies(NamedTuple):
    """What calls share.

    :param budget_for: returns the budget of repeats of a service.
    :param returns_to: returns when refused callers of a service come back.
    """

    servers: ServerAccess
    placer: RetryingPlacer
    usage: UsageTracker
    budget_for: Callable[[str], RetryBudget]
    retry_delays_for: Callable[[str], RetryDelays]


class RequestHandler:
    """One request of a caller and what has become of it.

    :param shared: what calls share.
    :param req: the request.
    :param answer: writes its answer.
    """

    def __init__(
        self,
        shared: HandlerDependencies,
        req: CallerRequest,
        answer: AnswerWriter,
    ) -> None:
        self._shared = shared
        self._req = req
        self._answer = answer
        self._head: RequestInfo = shared.servers.dialect.parse_request(req)
        self._progress = RequestProgress(self._head.last_event_id)
        self._server_id = ''
        self._labels = ('', '')
        self._configuration = 0
        self._outcome = 'cancelled'
        self._caller_waits_s: float = self._head.time_left_s or 0

    async def serve(self) -> None:
        """Answer the request."""
        try:
            await self._serve()
        finally:
            self._count_end()

    async def refuse_at_stop(self) -> None:
        """Refuse the request without trying any server."""
        await self._refuse('stopping', _STOPPING_RETRY_S)

    async def _serve(self) -> None:
        cfg = self._shared.servers.view.configuration
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

    def _deadline_s(self, route: Route) -> float:
        if self._head.time_left_s is None:
            self._caller_waits_s = route.timeout_s
        return self._req.arrived_s + min(route.timeout_s, self._caller_waits_s)

    async def _run(self, route: Route, deadline_s: float) -> None:
        service = route.service_for(self._head.request_id)
        self._labels = (service, metrics.request_class(route))
        budget = self._shared.budget_for(service)
        budget.add_request()
        while True:
            placed = await self._place(route, service)
            if isinstance(placed, NoServer):
                await self._give_up(placed.reason, placed.retry_after_s)
                return
            ending = await self._attempt(route, placed, deadline_s)
            if ending is Ending.done:
                return
            if not self._may_repeat(route, ending, budget):
                await self._give_up(ending.value)
                return
            if ending is Ending.not_run:
                await asyncio.sleep(_NOT_RUN_PAUSE_S)

    async def _place(self, route: Route, service: str) -> Placement | NoServer:
        waited_s = now_s() - self._req.arrived_s
        wanted = PlacementRequest(
            service,
            self._head.adapter,
            route.priority,
            max(0, route.target_s * _PATIENCE_TARGETS - waited_s),
            frozenset(self._progress.excluded),
            route.target_s,
            self._head.prompt_tokens,
            route.target_s - waited_s,
        )
        return await self._shared.placer.place(wanted)

    def _may_repeat(
        self, route: Route, ending: Ending, budget: RetryBudget
    ) -> bool:
        """Tell whether the request may go to another server."""
        if ending is Ending.not_sent:
            return True
        if self._answer.has_started and not route.is_resumable:
            return False
        if ending in {Ending.unknown, Ending.failed}:
            if not route.is_idempotent:
                return False
            if self._progress.runs >= route.max_servers:
                return False
        return self._progress.sends < _MAX_SENDS and budget.spend()

    async def _attempt(
        self, route: Route, placed: Placement, deadline_s: float
    ) -> Ending:
        server_id = placed.server.server_id
        self._server_id = server_id
        budget = self._shared.budget_for(self._labels[0])
        can_fail_over = placed.candidates > 1 and budget.available > 0
        use = self._shared.usage.begin(
            server_id, self._head.adapter, self._head.prompt_tokens
        )
        terms = AttemptContext(
            self._req, self._head, route, deadline_s, can_fail_over, use
        )
        exchange = ServerAttempt(
            self._shared.servers, terms, self._progress, self._answer
        )
        began_s = now_s()
        self._shared.retry_delays_for(self._labels[0]).on_sent(began_s)
        ending = Ending.unknown
        self._progress.begin_attempt()
        try:
            ending = await exchange.run(placed)
        except CallerGone:
            self._progress.reason = CALLER_LEFT
            raise
        except asyncio.CancelledError as exc:
            self._progress.reason = _why_cancelled(exc, deadline_s)
            raise
        finally:
            use.end()
            self._note_attempt(placed, ending, began_s)
        if ending is Ending.done:
            is_ok = self._progress.is_answered_well
            self._outcome = 'answered' if is_ok else 'failed'
        return ending

    async def _on_timeout(self) -> None:
        if self._answer.has_started:
            self._cut('timeout')
        if self._progress.may_run:
            await self._end(_GATEWAY_TIMEOUT, 'timeout', None)
        else:
            await self._refuse_for_now('timeout before a server')

    async def _give_up(self, reason: str, pause_s: float = 0) -> None:
        if self._answer.has_started:
            self._cut(reason)
        if self._progress.may_run:
            await self._end(_BAD_GATEWAY, reason, None)
        else:
            await self._refuse_for_now(reason, pause_s)

    async def _refuse_for_now(self, reason: str, pause_s: float = 0) -> None:
        """Refuse a request that its service has no place for at present.

        :param pause_s: for how long the service takes nothing, seconds.
        """
        at_s = now_s()
        returns = self._shared.retry_delays_for(self._labels[0])
        left_s = self._req.arrived_s + self._caller_waits_s - at_s
        after_s = returns.on_refused(left_s, at_s, pause_s)
        await self._refuse(reason, after_s)

    def _cut(self, reason: str) -> NoReturn:
        """End a caller's connection so that its answer shows as cut."""
        self._log(_CUT, f'cut: {reason}')
        raise CallerGone(reason)

    async def _refuse(self, reason: str, retry_after_s: float) -> None:
        await self._end(_UNAVAILABLE, reason, retry_after_s)

    async def _end(
        self, status: int, reason: str, retry_after_s: float | None
    ) -> None:
        self._log(status, reason)
        fields = self._shared.servers.dialect.refusal_fields(
            self._head.request_id, retry_after_s
        )
        await self._answer.send_complete(status, fields)

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
            sends=self._progress.sends,
            runs=self._progress.runs,
            server=self._server_id,
            held_s=round(now_s() - self._req.arrived_s, 3),
        )

    def _note_attempt(
        self, placed: Placement, ending: Ending, began_s: float
    ) -> None:
        metrics.ATTEMPTS.labels(self._labels[0], ending.value).inc()
        metrics.LOAD_WAIT_SECONDS.labels(*self._labels).observe(placed.waited_s)
        log_event(
            Event.REQUEST_SENT,
            request=self._head.request_id,
            server=placed.server.server_id,
            adapter=self._head.adapter.adapter if self._head.adapter else '',
            version=placed.version,
            waited_s=round(placed.waited_s, 3),
            candidates=placed.candidates,
            requests=placed.requests,
            unread_tokens=self._progress.unread_tokens,
            configuration=self._configuration,
            first_s=round(self._progress.first_s, 3),
            took_s=round(now_s() - began_s, 3),
            ending=ending.value,
            status=self._progress.status,
            reason=self._progress.reason,
        )


def _why_cancelled(exc: asyncio.CancelledError, deadline_s: float) -> str:
    """Return why an attempt was left before its answer had ended."""
    if exc.args:
        return str(exc.args[0])
    return 'time limit' if now_s() >= deadline_s else PROCESS_ENDS
