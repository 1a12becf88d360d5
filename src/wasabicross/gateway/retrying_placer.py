"""Finds a server for a request: has its adapter loaded, waits and retries."""

from __future__ import annotations

import asyncio
import random
from typing import NamedTuple

from wasabicross.gateway import metrics
from wasabicross.gateway.adapter_wait import AdapterWait
from wasabicross.gateway.backend import AdapterKey, BackendServer
from wasabicross.gateway.candidate import Candidate
from wasabicross.gateway.candidates import Candidates, PlacementRequest
from wasabicross.gateway.clock import now_s
from wasabicross.gateway.orders import LoadRequest
from wasabicross.gateway.owners.links import OwnerLinks
from wasabicross.gateway.placement import (
    NO_SERVER,
    Choice,
    LoadOn,
    NoServer,
    RandomDraws,
    SendTo,
    choose_server,
)
from wasabicross.gateway.prompt_sources import SharedPrompt, prompt_source
from wasabicross.gateway.replica_prefetch import ReplicaPrefetch
from wasabicross.gateway.streams.stream_memory import StreamMemory
from wasabicross.gateway.streams.stream_versions import StreamVersions
from wasabicross.gateway.usage_tracker import UsageTracker
from wasabicross.gateway.usual_time_limits import UsualTimeLimits
from wasabicross.gateway.view import FleetView

#: Added to the longest wait for a load, so that the owner's answer can arrive.
_ANSWER_MARGIN_S = 0.1

#: Most servers on which one request tries to have its adapter loaded.
_MAX_LOADS = 4

#: Priority of a load that no request waits for, and the longest wait for it.
_PREFETCH_PRIORITY = 9
_PREFETCH_MAX_WAIT_S = 1.5

#: For this long after the store's first answer, the state of some servers may
#: not have arrived from their owners yet.
_OWNERS_KNOWN_S = 2.0
_RETRY_PAUSE_S = 0.05


class Placement(NamedTuple):
    """A server that can run the request now.

    :param version: version of the adapter there, 0 without an adapter.
    :param waited_s: time spent waiting for loads, seconds.
    :param candidates: number of servers that it was chosen from.
    :param requests: estimate of the requests that the server has.
    :param prompt_source: server that probably keeps the start of its prompt.
    """

    server: BackendServer
    version: int
    waited_s: float
    candidates: int
    requests: int
    prompt_source: BackendServer | None = None


class RetryingPlacer:
    """Finds servers for requests and retries until a request's wait is over.

    :param view: state of the deployment.
    :param usage: counts waiting prompts and knows the owners of engines.
    :param links: links to the owners, which load adapters.
    :param data_centre: the data centre of this gateway.
    :param memory: remembers which versions began streams.
    """

    def __init__(
        self,
        view: FleetView,
        usage: UsageTracker,
        links: OwnerLinks,
        data_centre: str,
        memory: StreamMemory | None = None,
    ) -> None:
        self._view = view
        self._usage = usage
        self._links = links
        self._candidates = Candidates(view, data_centre)
        self._prefetch = ReplicaPrefetch(self._load_replica)
        #: Limits how long requests wait for their adapters.
        self.adapter_wait = AdapterWait()
        #: Tells which callers return after a refusal.
        self.time_limits = UsualTimeLimits()
        #: Tells at which software version streams begin and go on.
        self.streams = StreamVersions(view, memory)

    async def place(self, request: PlacementRequest) -> Placement | NoServer:
        """Return a server for a request, or why there is none.

        :param request: what the request needs.
        """
        started_s = now_s()
        until_s = started_s + request.max_wait_s
        failed_loads: set[str] = set()
        while len(failed_loads) < _MAX_LOADS:
            version = self._version(request.adapter)
            candidates = self._candidates.find(request, failed_loads, now_s())
            choice = _choose(
                request, version, candidates, is_late=now_s() >= until_s
            )
            if isinstance(choice, NoServer):
                if not self._should_retry(choice, request, started_s):
                    return self._with_retry_time(choice, request, failed_loads)
                await asyncio.sleep(_RETRY_PAUSE_S)
                continue
            if await self._is_withheld(choice.server_id, request):
                continue
            if await self._is_prepared(choice, request, version, until_s):
                return self._placement(
                    choice.server_id, request, started_s, len(candidates)
                )
            failed_loads.add(choice.server_id)
        return NoServer('loads failed')

    async def _is_prepared(
        self,
        choice: SendTo | LoadOn,
        request: PlacementRequest,
        version: int,
        until_s: float,
    ) -> bool:
        """Return whether a server holds the adapter, have it loaded if not."""
        if isinstance(choice, LoadOn):
            return await self._load_for(choice, request, version, until_s)
        self._prefetch_replica(choice, request, version)
        return True

    async def _is_withheld(
        self, server_id: str, request: PlacementRequest
    ) -> bool:
        """Return whether the server's limit leaves no room for a request now.

        Such a server isn't a candidate for a while.
        """
        server = self._view.servers.get(server_id)
        if server is None:
            return False
        if await self._view.notices.limiter.acquire(server, now_s):
            return False
        metrics.WITHHELD.labels(request.service).inc()
        return True

    async def _load_for(
        self,
        choice: LoadOn,
        request: PlacementRequest,
        version: int,
        until_s: float,
    ) -> bool:
        """Have an adapter loaded; return whether its server is usable then."""
        key = request.adapter
        if key is None:
            return False
        asked_s = now_s()
        remaining_s = until_s - asked_s
        with self._usage.waiting(choice.server_id, request.prompt_tokens):
            loaded_version = await self._load(
                choice, request, version, remaining_s
            )
        took_s = now_s() - asked_s
        if choice.has_spare_slot and (loaded_version or took_s >= remaining_s):
            self.adapter_wait.on_load(took_s)
        if not loaded_version:
            return False
        return self._may_be_used(choice.server_id, request)

    def _may_be_used(self, server_id: str, request: PlacementRequest) -> bool:
        """Return whether a server is still one for a request."""
        server = self._view.servers.get(server_id)
        if server is None or self._view.refuses_requests(server, now_s()):
            return False
        own_requests = self._view.own.requests[server_id]
        if not self._view.notices.limiter.brittle.has_room(
            server, own_requests, now_s()
        ):
            return False
        return request.software_version in {None, server.software_version}

    def _should_retry(
        self, choice: NoServer, request: PlacementRequest, started_s: float
    ) -> bool:
        """Return whether owners may still report a server that takes loads."""
        at_s = now_s()
        if not choice.lacks_loader:
            return False
        if at_s - self._view.content_known_since_s > _OWNERS_KNOWN_S:
            return False
        return at_s - started_s < request.max_wait_s

    def _version(self, key: AdapterKey | None) -> int:
        return self._view.version_of(key) if key and key.adapter else 0

    def _placement(
        self,
        server_id: str,
        request: PlacementRequest,
        started_s: float,
        candidates: int,
    ) -> Placement | NoServer:
        server = self._view.servers.get(server_id)
        if server is None:
            return NoServer('server left')
        key = request.adapter
        version = 0
        if key is not None and key.adapter:
            held = self._view.held_version(server, key, now_s())
            version = max(held, self._view.version_of(key))
        prompt = SharedPrompt(key, version, request.shared_tokens)
        return Placement(
            server,
            version,
            now_s() - started_s,
            candidates,
            self._view.requests_at(server, now_s()),
            prompt_source(self._view, server, prompt, now_s()),
        )

    def _prefetch_replica(
        self, choice: SendTo, request: PlacementRequest, version: int
    ) -> None:
        """Have a replica loaded if the choice asks for one."""
        key = request.adapter
        if choice.replica_on and key is not None:
            self._prefetch.request_replica(
                choice.replica_on, key, version, now_s()
            )

    async def _load_replica(
        self, server_id: str, key: AdapterKey, version: int
    ) -> None:
        request = PlacementRequest(
            '', key, _PREFETCH_PRIORITY, _PREFETCH_MAX_WAIT_S, frozenset()
        )
        await self._load(
            LoadOn(server_id), request, version, _PREFETCH_MAX_WAIT_S
        )

    async def _load(
        self,
        choice: LoadOn,
        request: PlacementRequest,
        version: int,
        remaining_s: float,
    ) -> bool:
        key = request.adapter
        host = self._usage.owner_host(choice.server_id)
        if key is None or not host:
            return False
        load_request = LoadRequest(
            choice.server_id,
            key,
            version,
            request.priority,
            remaining_s,
            self._target_wait_s(choice.server_id, request, remaining_s),
            request.prompt_tokens,
            request.is_returning,
        )
        try:
            async with asyncio.timeout(remaining_s + _ANSWER_MARGIN_S):
                loaded_version = await self._links.load(host, load_request)
        except TimeoutError:
            return False
        if loaded_version:
            self._view.on_loaded(choice.server_id, key, loaded_version)
        return loaded_version > 0

    def _with_retry_time(
        self,
        choice: NoServer,
        request: PlacementRequest,
        failed_loads: set[str],
    ) -> NoServer:
        """Return why there is no server, and when there may be one.

        :param failed_loads: ids of servers on which a load has just failed.
        """
        if failed_loads and choice.lacks_loader:
            choice = NoServer('no adapter in time')
        at_s = now_s()
        pause_s = self._pause_s(request.service, at_s)
        limit_s = self._limit_wait_s(request.service, at_s)
        if limit_s > pause_s or self._are_brittle_full(choice, request):
            choice = NoServer('server limits')
        return choice._replace(retry_after_s=max(pause_s, limit_s))

    def _target_wait_s(
        self, server_id: str, request: PlacementRequest, remaining_s: float
    ) -> float:
        """Return the time in which a load must end to meet the target."""
        waited_s = request.max_wait_s - remaining_s
        server = self._view.servers.get(server_id)
        if server is None:
            return 0
        unread = self._view.unread_tokens(server, now_s())
        prefill_s = self._view.prefill_rate.expected_s(server.service, unread)
        return request.target_wait_s - waited_s - prefill_s

    def _pause_s(self, service: str, at_s: float) -> float:
        """Return how long all servers of a service still refuse requests."""
        notices = self._view.notices
        pauses_s = [
            notices.paused_until_s(server) - at_s
            for server in self._staying_servers(service)
        ]
        return max(0, min(pauses_s, default=0))

    def _limit_wait_s(self, service: str, at_s: float) -> float:
        """Return how long the limits of a service's servers leave no room."""
        waits_s = [
            self._view.notices.limiter.blocked_until_s(server) - at_s
            for server in self._staying_servers(service)
        ]
        return max(0, min(waits_s, default=0))

    def _are_brittle_full(
        self, choice: NoServer, request: PlacementRequest
    ) -> bool:
        """Return whether brittle servers leave no room for a request."""
        brittle = self._view.notices.limiter.brittle
        return choice.reason == NO_SERVER and any(
            brittle.is_brittle(server)
            for server in self._staying_servers(request.service)
        )

    def _staying_servers(self, service: str) -> list[BackendServer]:
        """Return the servers of a service that don't leave."""
        return [
            server
            for server in self._view.servers.values()
            if server.service == service
            and not server.is_leaving
            and not self._view.notices.is_leaving(server)
        ]


def _choose(
    request: PlacementRequest,
    version: int,
    candidates: list[Candidate],
    *,
    is_late: bool,
) -> Choice:
    """Choose a server at random among those that suit a request.

    :param is_late: whether the request no longer waits for a load.
    """
    choice = choose_server(
        request.adapter.adapter if request.adapter else '',
        version,
        candidates,
        RandomDraws(random.random(), random.random()),
    )
    if is_late and isinstance(choice, LoadOn):
        return NoServer('no adapter in time')
    return choice
