"""Handles one request of a caller, from its arrival to its final answer."""

from __future__ import annotations

import asyncio
import functools
from collections.abc import Awaitable

from wasabicross.gateway import metrics
from wasabicross.gateway.attempt_context import AttemptContext
from wasabicross.gateway.clock import now_s
from wasabicross.gateway.configuration import Route
from wasabicross.gateway.connections.answer_writer import AnswerWriter
from wasabicross.gateway.connections.caller_connections import (
    CALLER_LEFT,
    PROCESS_ENDS,
)
from wasabicross.gateway.connections.http_heads import CallerRequest
from wasabicross.gateway.crashes.request_digest import request_digest
from wasabicross.gateway.dialect import RequestInfo
from wasabicross.gateway.errors import AnswerCut, CallerGone
from wasabicross.gateway.handler_dependencies import HandlerDependencies
from wasabicross.gateway.not_run_proof import NotRunProof
from wasabicross.gateway.own_answers import STOPS, OwnAnswers
from wasabicross.gateway.peer_forwarding.handover import Handover
from wasabicross.gateway.peer_forwarding.peer_attempt import PeerEnding
from wasabicross.gateway.peer_forwarding.peer_forwarder import (
    OLDER_CONFIGURATION,
    ForwardableRequest,
)
from wasabicross.gateway.peer_forwarding.reach import are_mostly_unreached
from wasabicross.gateway.placement import NO_SERVER_IN_REACH, NoServer
from wasabicross.gateway.progress import Ending, RequestProgress
from wasabicross.gateway.request_placement import (
    RequestPlacement,
    RoutedRequest,
)
from wasabicross.gateway.request_record import RequestRecord
from wasabicross.gateway.retry_decisions import (
    lacks_event_id,
    may_retry,
    pause_before_retry_s,
)
from wasabicross.gateway.retrying_placer import Placement
from wasabicross.gateway.server_attempts import ServerAttempt
from wasabicross.gateway.silence_watch import OnAccepted, Replacements
from wasabicross.gateway.streams.stream_request import StreamRequest
from wasabicross.gateway.streams.take_ups import service_of
from wasabicross.gateway.time_limits import EndableTimeLimit
from wasabicross.runtime.events import Event
from wasabicross.runtime.logs import log_event
from wasabicross.servers.retries import RetryBudget

_NO_CONFIGURATION_RETRY_AFTER_S = 0.5


class RequestHandler:
    """Handles one request of a caller.

    :param dependencies: what all request handlers share.
    :param req: the request.
    :param answer: writes its answer.
    :param least_configuration: version of the configuration in force at the
        gateway that has forwarded it, None if it comes from its caller.
    """

    def __init__(
        self,
        dependencies: HandlerDependencies,
        req: CallerRequest,
        answer: AnswerWriter,
        *,
        least_configuration: int | None = None,
    ) -> None:
        self._deps = dependencies
        self._req = req
        self._is_forwarded = least_configuration is not None
        self._least_configuration = least_configuration or 0
        self._answer = answer
        self._info: RequestInfo = dependencies.servers.dialect.parse_request(
            req
        )._replace(digest=request_digest(req), is_forwarded=self._is_forwarded)
        self._progress = RequestProgress(self._info.last_event_id)
        self._stream: StreamRequest | None = None
        self._record = RequestRecord(self._info, self._progress, req.arrived_s)
        self._own_answers = OwnAnswers(
            dependencies.servers.dialect,
            dependencies.retry_delays_for,
            answer,
            self._progress,
            self._record,
            self._info.request_id,
            is_forwarded=self._is_forwarded,
        )
        self._own_answers.awaited_until_s = req.arrived_s + (
            self._info.time_left_s or 0
        )
        self._handover = Handover(
            dependencies.forwarder, dependencies.servers.view, self._progress
        )
        self._time_limit = EndableTimeLimit()
        self._deadline_s: float = 0
        self._may_send_first = True

    async def serve(self) -> None:
        """Answer the request."""
        try:
            await self._serve()
        except (AnswerCut, CallerGone):
            raise
        except Exception as exc:
            await self._end_on_error(exc)
        finally:
            self._record_end()

    async def refuse_at_stop(self) -> None:
        """Refuse the request without trying any server."""
        await self._refuse_unsent(STOPS.reason, STOPS.retry_after_s)

    def end_unless_sent(self) -> None:
        """Refuse the request if no server may have run it, now or later."""
        self._may_send_first = False
        if not self._progress.may_run:
            self.end_at_stop()

    def end_at_stop(self) -> None:
        """End the request now, unless its answer is complete."""
        if not self._answer.has_ended:
            self._time_limit.end()

    async def _serve(self) -> None:
        cfg = self._deps.servers.view.configuration
        if cfg is None:
            await self._refuse_unsent(
                'no configuration', _NO_CONFIGURATION_RETRY_AFTER_S
            )
            return
        self._record.configuration_version = cfg.version
        if cfg.version < self._least_configuration:
            await self._refuse_unsent(
                OLDER_CONFIGURATION, _NO_CONFIGURATION_RETRY_AFTER_S
            )
            return
        route = cfg.route_for(self._req.host, self._req.path)
        if route is None:
            await self._own_answers.tell_no_route()
            return
        self._set_deadline(route)
        try:
            async with self._time_limit.after(
                max(0, self._deadline_s - now_s())
            ):
                await self._run(route)
        except TimeoutError:
            await self._own_answers.end_on_time_limit(
                is_stop=self._time_limit.was_ended
            )

    async def _refuse_unsent(self, reason: str, retry_after_s: float) -> None:
        proof = NotRunProof(self._progress)
        await self._own_answers.refuse(proof, reason, retry_after_s)

    def _set_deadline(self, route: Route) -> None:
        max_wait_s = self._info.time_left_s
        if max_wait_s is None:
            max_wait_s = route.timeout_s
        arrived_s = self._req.arrived_s
        self._own_answers.awaited_until_s = arrived_s + max_wait_s
        self._deadline_s = arrived_s + min(route.timeout_s, max_wait_s)

    async def _run(self, route: Route) -> None:
        service = service_of(route, self._info)
        budget = self._deps.budget_for(service)
        placements = RequestPlacement(
            RoutedRequest(
                self._req.arrived_s, self._info, route, service, budget
            ),
            self._progress,
            self._deps.placer,
            self._deps.servers.crashes.guard(self._info.causes),
        )
        self._stream = placements.stream
        self._record.waited_before_s = placements.waited_before_s
        self._record.labels = (service, metrics.request_class(route))
        if not self._is_forwarded:
            budget.add_request()
        while True:
            placement = await self._next_placement(placements)
            if isinstance(placement, NoServer):
                await self._end_without_server(route, placement)
                return
            context = self._context(route, placement, placements)
            ending = await self._attempt(placement, context)
            if await self._is_over(route, ending, budget):
                return
            await asyncio.sleep(pause_before_retry_s(ending))

    async def _is_over(
        self, route: Route, ending: Ending, budget: RetryBudget
    ) -> bool:
        """Return whether the caller has its answer after an attempt."""
        if ending is Ending.done:
            return True
        if ending is Ending.not_sent and are_mostly_unreached(
            self._deps.servers.view, self._record.labels[0]
        ):
            if await self._is_ended_elsewhere(route, NO_SERVER_IN_REACH):
                return True
        if may_retry(ending, route, self._progress, self._answer, budget):
            return False
        await self._own_answers.end(ending.value)
        return True

    async def _end_without_server(self, route: Route, cause: NoServer) -> None:
        """Have another gateway serve the request, or end it."""
        if not await self._is_ended_elsewhere(route, cause.reason):
            await self._own_answers.end(cause.reason, cause.retry_after_s)

    async def _is_ended_elsewhere(self, route: Route, reason: str) -> bool:
        """Return whether the caller has its answer by another gateway.

        :param route: its route.
        :param reason: why this gateway doesn't serve it.
        """
        if self._is_forwarded or self._answer.has_started:
            return False
        service = self._record.labels[0]
        if not self._handover.is_due(service, reason, now_s()):
            return False
        ending = await self._handover.run(
            ForwardableRequest(
                self._req,
                self._info.request_id,
                service,
                self._deadline_s,
                self._record.configuration_version,
                route.is_idempotent,
            ),
            self._answer,
        )
        if ending is PeerEnding.not_taken:
            return False
        if ending is PeerEnding.answered:
            self._record.outcome = 'forwarded'
        else:
            await self._own_answers.end('no answer of a gateway')
        return True

    async def _next_placement(
        self, placements: RequestPlacement
    ) -> Placement | NoServer:
        if self._may_send_first or self._progress.may_run:
            return await placements.next()
        return STOPS

    async def _find_replacement(
        self, placements: RequestPlacement, server_id: str
    ) -> Placement | None:
        """Return a server that can take over from a silent one, if any."""
        if lacks_event_id(self._answer, self._progress):
            return None
        return await placements.find_replacement(server_id)

    def _context(
        self,
        route: Route,
        placement: Placement,
        placements: RequestPlacement,
        on_accepted: OnAccepted | None = None,
    ) -> AttemptContext:
        """Return the request and the limits of its attempt at a server."""

        def send(  # noqa: WPS430
            other: Placement, on_other_accepted: OnAccepted
        ) -> Awaitable[Ending]:
            return self._attempt(
                other,
                self._context(route, other, placements, on_other_accepted),
            )

        server_id = placement.server.server_id
        budget = self._deps.budget_for(self._record.labels[0])
        return AttemptContext(
            self._req,
            self._info,
            route,
            self._deadline_s,
            placement.candidates > 1 and budget.available > 0,
            self._deps.usage.begin(
                server_id, self._info.adapter, self._info.prompt_tokens
            ),
            Replacements(
                functools.partial(
                    self._find_replacement, placements, server_id
                ),
                send,
            ),
            placements.stream.on_events,
            on_accepted,
        )

    async def _attempt(
        self, placement: Placement, context: AttemptContext
    ) -> Ending:
        self._record.server_id = placement.server.server_id
        attempt = ServerAttempt(
            self._deps.servers, context, self._progress, self._answer
        )
        started_s = now_s()
        self._deps.retry_delays_for(self._record.labels[0]).on_sent(started_s)
        ending = Ending.unknown
        try:
            ending = await attempt.run(placement)
        except CallerGone:
            attempt.record.reason = CALLER_LEFT
            raise
        except asyncio.CancelledError as exc:
            attempt.record.reason = _cancellation_reason(
                exc, context.deadline_s
            )
            raise
        finally:
            context.usage.end()
            self._record.on_attempt(
                placement, attempt.record, ending, started_s, now_s()
            )
        if attempt.successor is not None:
            return await attempt.successor
        if ending is Ending.done:
            is_ok = self._progress.has_succeeded
            self._record.outcome = 'answered' if is_ok else 'failed'
        return ending

    async def _end_on_error(self, exc: Exception) -> None:
        """End a request after an error that nothing below has handled."""
        log_event(
            Event.REQUEST_FAILED,
            request=self._info.request_id,
            reason=repr(exc),
        )
        if self._answer.has_started:
            raise exc
        await self._own_answers.end('error')

    def _record_end(self) -> None:
        self._answer.trace = self._record.trace()
        if self._stream is not None:
            self._stream.record_end()
        self._record.on_end(self._answer.started_s)


def _cancellation_reason(exc: asyncio.CancelledError, deadline_s: float) -> str:
    """Return why an attempt was cancelled before its answer had ended."""
    if exc.args:
        return str(exc.args[0])
    return 'time limit' if now_s() >= deadline_s else PROCESS_ENDS
