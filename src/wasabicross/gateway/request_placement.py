"""Chooses the servers that one request is sent to, one after the other."""

from __future__ import annotations

from typing import NamedTuple

from wasabicross.gateway.candidates import PlacementRequest
from wasabicross.gateway.clock import now_s
from wasabicross.gateway.configuration import Route
from wasabicross.gateway.crashes.request_guard import RequestGuard
from wasabicross.gateway.dialect import RequestInfo
from wasabicross.gateway.placement import NoServer
from wasabicross.gateway.progress import RequestProgress
from wasabicross.gateway.retrying_placer import Placement, RetryingPlacer
from wasabicross.gateway.streams.stream_request import StreamRequest
from wasabicross.gateway.streams.take_ups import (
    LASTING_REFUSALS,
    NO_SERVER_OF_VERSION,
    VERSION_UNPROVED,
)
from wasabicross.servers.retries import RetryBudget

#: Most sends of one request, whether a server ran it or not.
MAX_SENDS = 5

#: Priority of the load that a request waits for after a server has failed it.
_HIGHEST_PRIORITY = 0

#: Why a request that would crash the server that runs it isn't sent.
CRASHES = NoServer('crashes servers')

#: Why a request isn't sent that has a part of other requests that crashed servers.
#: It has crashed none itself, and the part may turn out to be sound.
HAS_CRASHING_PART = NoServer('a part crashes servers', retry_after_s=60.0)

#: Why requests are refused for a time that doesn't depend on other requests.
FIXED_TIME_REASONS = frozenset(
    each.reason for each in (HAS_CRASHING_PART, *LASTING_REFUSALS)
)


class RoutedRequest(NamedTuple):
    """A request, its route and the service that was chosen for it.

    :param arrived_s: when its head was read, monotonic seconds.
    :param info: what its header fields state.
    :param budget: the retry budget of the service.
    """

    arrived_s: float
    info: RequestInfo
    route: Route
    service: str
    budget: RetryBudget


class RequestPlacement:
    """Chooses the servers of one request.

    :param routed: the request.
    :param progress: outcomes at all servers so far.
    :param placer: finds servers for requests.
    :param guard: keeps the request from servers that it would crash.
    """

    def __init__(
        self,
        routed: RoutedRequest,
        progress: RequestProgress,
        placer: RetryingPlacer,
        guard: RequestGuard,
    ) -> None:
        self._routed = routed
        self._progress = progress
        self._placer = placer
        self._guard = guard
        #: How long the caller has probably waited before, seconds.
        self.waited_before_s = self._time_waited_before_s()
        #: The software version at which its stream begins or goes on.
        self.stream = StreamRequest(
            placer.streams, routed.route, routed.info, progress, now_s()
        )

    async def next(self) -> Placement | NoServer:
        """Return the next server, or why there is none."""
        await self.stream.resolve()
        if self.stream.refusal is not None:
            return self.stream.refusal
        placement = await self._place_unless_refused(
            self._progress.excluded | self._progress.silent
        )
        if isinstance(placement, NoServer) and self._progress.silent:
            # A server that was silent may be sound.
            self._progress.silent.clear()
            placement = await self._place_unless_refused(
                self._progress.excluded
            )
        return placement

    async def find_replacement(self, server_id: str) -> Placement | None:
        """Return a server that takes over from a silent one now, if any.

        :param server_id: id of the silent server.
        """
        progress = self._progress
        progress.silent.add(server_id)
        if progress.sends >= MAX_SENDS or progress.crashes:
            return None
        if progress.runs >= self._routed.route.max_servers:
            return None
        placement = await self._place_unless_refused(
            progress.excluded | progress.silent
        )
        if isinstance(placement, NoServer):
            return None
        return placement if self._routed.budget.spend() else None

    def _time_waited_before_s(self) -> float:
        time_left_s = self._routed.info.time_left_s
        if time_left_s is None:
            return 0
        route = self._routed.route
        return self._placer.time_limits.waited_before_s(
            f'{route.host}{route.prefix}', time_left_s
        )

    async def _place_unless_refused(
        self, excluded: set[str]
    ) -> Placement | NoServer:
        if not self._guard.refuses():
            placement = await self._place(frozenset(excluded))
            if not self._guard.refuses():
                return placement
        if self._guard.has_crashed_servers:
            return CRASHES
        return HAS_CRASHING_PART

    async def _place(self, excluded: frozenset[str]) -> Placement | NoServer:
        refusal = self.stream.why_not_begin(now_s())
        if refusal is not None:
            return refusal
        placement = await self._placer.place(self._request(excluded))
        if isinstance(placement, NoServer):
            if self.stream.lacks_proof(now_s()):
                return VERSION_UNPROVED
            if not self.stream.may_go_on():
                return NO_SERVER_OF_VERSION
        return placement

    def _request(self, excluded: frozenset[str]) -> PlacementRequest:
        info, route = self._routed.info, self._routed.route
        waited_s = now_s() - self._routed.arrived_s
        has_run = self._has_part
        return PlacementRequest(
            self._routed.service,
            info.adapter,
            _HIGHEST_PRIORITY if has_run else route.priority,
            self._longest_wait_s(waited_s),
            excluded,
            route.target_s,
            info.prompt_tokens,
            route.target_s - waited_s - self.waited_before_s,
            info.shared_tokens,
            self._is_returning,
            self.stream.version(now_s()),
            needs_listed_start=route.is_resumable,
        )

    def _longest_wait_s(self, waited_s: float) -> float:
        """Return the longest wait for the adapter, seconds.

        A caller that takes a stream up may wait as a new one or as after a
        failed server, whichever is longer.

        :param waited_s: how long the request has waited, seconds.
        """
        wait = self._placer.adapter_wait
        target_s = self._routed.route.target_s
        if self._progress.runs == 0 and self._has_part:
            return max(
                wait.longest_s(target_s, waited_s, has_run=has_run)
                for has_run in (False, True)
            )
        return wait.longest_s(target_s, waited_s, has_run=self._has_part)

    @property
    def _is_returning(self) -> bool:
        """Return whether the caller was refused before.

        Not so if it has a part of the answer already or waits for its end.
        """
        return self.waited_before_s > 0 and not self._has_part

    @property
    def _has_part(self) -> bool:
        """Return whether the caller has a part of its answer, or may have."""
        return self._progress.runs > 0 or bool(self._routed.info.last_event_id)
