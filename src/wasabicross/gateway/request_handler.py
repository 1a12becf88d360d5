"""Handles one request of a caller, from its arrival to its final answer."""

from __future__ import annotations

import asyncio
import functools
from collections.abc import Awaitable, Callable
from types import MappingProxyType
from typing import NamedTuple, NoReturn

from wasabicross.gateway import metrics
from wasabicross.gateway.attempt_context import AttemptContext, ServerAccess
from wasabicross.gateway.clock import now_s
from wasabicross.gateway.configuration import Route
from wasabicross.gateway.connections.answer_writer import AnswerWriter
from wasabicross.gateway.connections.caller_connections import (
    CALLER_LEFT,
    PROCESS_ENDS,
)
from wasabicross.gateway.connections.http_heads import CallerRequest
from wasabicross.gateway.crashes.crash_evidence import SEPARATE_S
from wasabicross.gateway.crashes.request_digest import request_digest
from wasabicross.gateway.dialect import RequestInfo
from wasabicross.gateway.errors import (
    AnswerCut,
    AnswerCutAtStop,
    CallerGone,
)
from wasabicross.gateway.peer_forwarding.peer_attempt import (
    NOT_TAKEN,
    PeerEnding,
)
from wasabicross.gateway.peer_forwarding.peer_forwarder import (
    DECLINING_REASONS,
    OLDER_CONFIGURATION,
    ForwardableRequest,
    PeerForwarder,
)
from wasabicross.gateway.peer_forwarding.reach import are_mostly_unreached
from wasabicross.gateway.placement import NO_SERVER_IN_REACH, NoServer
from wasabicross.gateway.progress import Ending, RequestProgress
from wasabicross.gateway.request_placement import (
    CRASHES,
    FIXED_TIME_REASONS,
    MAX_SENDS,
    RequestPlacement,
    RoutedRequest,
)
from wasabicross.gateway.request_record import RequestRecord
from wasabicross.gateway.retry_delays import RetryDelays
from wasabicross.gateway.retrying_placer import (
    Placement,
    RetryingPlacer,
)
from wasabicross.gateway.server_attempts import ServerAttempt
from wasabicross.gateway.silence_watch import OnAccepted, Replacements
from wasabicross.gateway.streams.stream_request import StreamRequest
from wasabicross.gateway.streams.stream_versions import service_of
from wasabicross.gateway.time_limits import EndableTimeLimit
from wasabicross.gateway.usage_tracker import UsageTracker
from wasabicross.runtime.events import Event
from wasabicross.runtime.logs import log_event
from wasabicross.servers.retries import RetryBudget

#: Why a stream doesn't go on at a server.
_RESTARTED = 'started again, not listed yet'

_CUT_STATUS = 0
_NOT_FOUND = 404
#: Tells the caller not to repeat the request as it is.
_UNPROCESSABLE = 422
_BAD_GATEWAY = 502
_UNAVAILABLE = 503
_GATEWAY_TIMEOUT = 504

#: Why a request is ended where this gateway stops. Other gateways may serve its
#: caller at once.
_STOPS = NoServer('stopping', retry_after_s=0.1)
_NO_CONFIGURATION_RETRY_AFTER_S = 0.5

#: Pause before a retry, where there is one. A server couldn't run the request now,
#: or ended under it: a second one that ends after such a pause hasn't been lost
#: together with the first one.
_PAUSES_S = MappingProxyType(
    {Ending.not_run: 0.05, Ending.crashed: SEPARATE_S * 1.2}
)

#: Number of servers that may end under one request before it is ended.
_MAX_CRASHES = 2


class HandlerDependencies(NamedTuple):
    """What all request handlers share.

    :param budget_for: returns the retry budget of a service.
    :param retry_delays_for: returns the retry delays of a service.
    """

    servers: ServerAccess
    placer: RetryingPlacer
    usage: UsageTracker
    budget_for: Callable[[str], RetryBudget]
    retry_delays_for: Callable[[str], RetryDelays]
    forwarder: PeerForwarder


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
        )._replace(digest=request_digest(req))
        self._progress = RequestProgress(self._info.last_event_id)
        self._stream: StreamRequest | None = None
        self._record = RequestRecord(self._info, self._progress, req.arrived_s)
        self._caller_max_wait_s: float = self._info.time_left_s or 0
        self._time_limit = EndableTimeLimit()
        self._deadline_at_s: float = 0
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
        await self._refuse(_STOPS.reason, _STOPS.retry_after_s)

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
            await self._refuse(
                'no configuration', _NO_CONFIGURATION_RETRY_AFTER_S
            )
            return
        self._record.configuration_version = cfg.version
        if cfg.version < self._least_configuration:
            await self._refuse(
                OLDER_CONFIGURATION, _NO_CONFIGURATION_RETRY_AFTER_S
            )
            return
        route = cfg.route_for(self._req.host, self._req.path)
        if route is None:
            await self._send_own_answer(_NOT_FOUND, 'no route', None)
            return
        deadline_s = self._deadline_s(route)
        try:
            self._deadline_at_s = deadline_s
            async with self._time_limit.after(max(0, deadline_s - now_s())):
                await self._run(route, deadline_s)
        except TimeoutError:
            await self._end_on_timeout()

    def _deadline_s(self, route: Route) -> float:
        if self._info.time_left_s is None:
            self._caller_max_wait_s = route.timeout_s
        return self._req.arrived_s + min(
            route.timeout_s, self._caller_max_wait_s
        )

    async def _run(self, route: Route, deadline_s: float) -> None:
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
            context = self._context(route, placement, deadline_s, placements)
            ending = await self._attempt(placement, context)
            if await self._is_over(route, ending, budget):
                return
            await asyncio.sleep(_PAUSES_S.get(ending, 0))

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
        if self._may_retry(route, ending, budget):
            return False
        await self._end_without_answer(ending.value)
        return True

    async def _end_without_server(self, route: Route, cause: NoServer) -> None:
        """Have another gateway serve the request, or end it."""
        if not await self._is_ended_elsewhere(route, cause.reason):
            await self._end_without_answer(cause.reason, cause.retry_after_s)

    async def _is_ended_elsewhere(self, route: Route, reason: str) -> bool:
        """Return whether the caller has its answer by another gateway.

        It is asked if this one reaches no server and none has the request. If
        it gives no answer, the request may have run and is ended.

        :param route: its route.
        :param reason: why this gateway doesn't serve it.
        """
        progress = self._progress
        if self._is_forwarded or not self._is_unreached(reason):
            return False
        if progress.may_run or self._answer.has_started:
            return False
        progress.is_at_peer = True
        ending = await self._deps.forwarder.forward(
            ForwardableRequest(
                self._req,
                self._info.request_id,
                self._record.labels[0],
                self._deadline_at_s,
                self._record.configuration_version,
                route.is_idempotent,
            ),
            self._answer,
        )
        if ending is PeerEnding.not_taken:
            progress.is_at_peer = False
            return False
        if ending is PeerEnding.answered:
            self._record.outcome = 'forwarded'
        else:
            await self._end_without_answer('no answer of a gateway')
        return True

    def _is_unreached(self, reason: str) -> bool:
        """Return whether this gateway lacks servers that others may reach."""
        if reason == NO_SERVER_IN_REACH or self._progress.was_unreached:
            return True
        return are_mostly_unreached(
            self._deps.servers.view, self._record.labels[0]
        )

    async def _next_placement(
        self, placements: RequestPlacement
    ) -> Placement | NoServer:
        if self._may_send_first or self._progress.may_run:
            return await placements.next()
        return _STOPS

    def _may_retry(
        self, route: Route, ending: Ending, budget: RetryBudget
    ) -> bool:
        """Return whether the request may be sent once more."""
        if ending is Ending.not_sent:
            return True
        if self._answer.has_started and not route.is_resumable:
            return False
        if self._lacks_event_id:
            return False
        if ending in {Ending.unknown, Ending.failed, Ending.crashed}:
            if not route.is_idempotent:
                return False
            if not self._may_crash_another:
                return False
            if self._progress.runs >= route.max_servers:
                return False
        return self._progress.sends < MAX_SENDS and budget.spend()

    @property
    def _lacks_event_id(self) -> bool:
        """Return whether events were sent after which no stream can go on.

        Another server would send them again.
        """
        return bool(self._answer.sent_bytes) and (
            not self._progress.last_event_id
        )

    async def _find_replacement(
        self, placements: RequestPlacement, server_id: str
    ) -> Placement | None:
        """Return a server that can take over from a silent one, if any."""
        if self._lacks_event_id:
            return None
        return await placements.find_replacement(server_id)

    @property
    def _may_crash_another(self) -> bool:
        """Return whether a server may be risked if the request has crashed some.

        Other requests tell more of a part of its prompt than its copy would.
        """
        progress = self._progress
        return progress.crashes < _MAX_CRASHES and not progress.has_suspect_part

    def _context(
        self,
        route: Route,
        placement: Placement,
        deadline_s: float,
        placements: RequestPlacement,
        on_accepted: OnAccepted | None = None,
    ) -> AttemptContext:
        """Return the request and the limits of its attempt at a server."""

        def send(  # noqa: WPS430
            other: Placement, on_other_accepted: OnAccepted
        ) -> Awaitable[Ending]:
            return self._attempt(
                other,
                self._context(
                    route, other, deadline_s, placements, on_other_accepted
                ),
            )

        server_id = placement.server.server_id
        budget = self._deps.budget_for(self._record.labels[0])
        return AttemptContext(
            self._req,
            self._info,
            route,
            deadline_s,
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
            if await self._has_restarted(context.route, placement):
                attempt.record.reason = _RESTARTED
                ending = Ending.not_sent
            else:
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

    async def _has_restarted(self, route: Route, placement: Placement) -> bool:
        """Return whether a stream would go on at a start that isn't listed.

        Its software version isn't known then.
        """
        if not (route.is_resumable and self._progress.last_event_id):
            return False
        server = placement.server
        if not await self._deps.servers.life.has_restarted(server):
            return False
        self._progress.excluded.add(server.server_id)
        return True

    async def _end_on_timeout(self) -> None:
        if self._time_limit.was_ended:
            await self._end_without_answer(_STOPS.reason, _STOPS.retry_after_s)
            return
        if self._answer.has_started:
            self._abort_answer('timeout')
        if self._progress.may_run:
            await self._send_own_answer(_GATEWAY_TIMEOUT, 'timeout', None)
        else:
            await self._refuse_with_retry_time('timeout before a server')

    async def _end_on_error(self, exc: Exception) -> None:
        """End a request after an error that nothing below has handled."""
        log_event(
            Event.REQUEST_FAILED,
            request=self._info.request_id,
            reason=repr(exc),
        )
        if self._answer.has_started:
            raise exc
        await self._end_without_answer('error')

    async def _end_without_answer(
        self, reason: str, pause_s: float = 0
    ) -> None:
        if self._answer.has_started:
            self._abort_answer(reason)
        if self._progress.may_run:
            await self._send_own_answer(_BAD_GATEWAY, reason, None)
        elif reason == CRASHES.reason:
            await self._send_own_answer(_UNPROCESSABLE, reason, None)
        elif reason in FIXED_TIME_REASONS or reason == _STOPS.reason:
            await self._refuse(reason, pause_s)
        else:
            await self._refuse_with_retry_time(reason, pause_s)

    async def _refuse_with_retry_time(
        self, reason: str, pause_s: float = 0
    ) -> None:
        """Refuse a request that its service can't take at present.

        :param pause_s: how long the service will take no request, seconds.
        """
        at_s = now_s()
        retry_delays = self._deps.retry_delays_for(self._record.labels[0])
        remaining_s = self._req.arrived_s + self._caller_max_wait_s - at_s
        retry_after_s = retry_delays.on_refused(remaining_s, at_s, pause_s)
        await self._refuse(reason, retry_after_s)

    def _abort_answer(self, reason: str) -> NoReturn:
        """End the caller's connection, which marks its answer as incomplete."""
        self._record.on_own_answer(_CUT_STATUS, f'cut: {reason}', now_s())
        error = AnswerCutAtStop if reason == _STOPS.reason else AnswerCut
        raise error(f'{reason}: {self._progress.reason}')

    async def _refuse(self, reason: str, retry_after_s: float) -> None:
        await self._send_own_answer(_UNAVAILABLE, reason, retry_after_s)

    async def _send_own_answer(
        self, status: int, reason: str, retry_after_s: float | None
    ) -> None:
        self._record.on_own_answer(status, reason, now_s())
        fields = self._deps.servers.dialect.refusal_fields(
            self._info.request_id, retry_after_s
        )
        if self._is_forwarded and reason in DECLINING_REASONS:
            if not self._progress.may_run:
                fields.append((NOT_TAKEN, reason.encode()))
        await self._answer.send_complete(status, fields)

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
