"""Finds a server for a request and has its adapter loaded where needed."""

from __future__ import annotations

import asyncio
import random
from typing import NamedTuple

from wasabicross.gateway.backend import AdapterKey, BackendServer
from wasabicross.gateway.clock import now_s
from wasabicross.gateway.links import OwnerLinks
from wasabicross.gateway.orders import LoadRequest
from wasabicross.gateway.placement import (
    Candidate,
    LoadOn,
    NoServer,
    RandomDraws,
    SendTo,
    choose_server,
)
from wasabicross.gateway.replica_prefetch import ReplicaPrefetch
from wasabicross.gateway.usage_tracker import UsageTracker
from wasabicross.gateway.view import FleetView

#: How much longer than a load may take its owner's answer is waited for.
_ANSWER_SLACK_S = 0.1

#: Servers on which a request tries to have its adapter loaded.
_MAX_LOADS = 4

#: Rank of a load that no request waits for, and how long it is waited for.
_PREFETCH_PRIORITY = 9
_PREFETCH_S = 1.5

#: For so long after its start a gateway may not have heard of all owners.
_SETTLE_S = 2.0
_SETTLE_PAUSE_S = 0.05


class PlacementRequest(NamedTuple):
    """What a request needs of a server.

    :param service: the service that runs it.
    :param adapter: its adapter, None for none.
    :param priority: rank of the request, 0 is the most urgent.
    :param max_wait_s: how long it waits for its adapter.
    :param excluded: servers that may not be tried.
    :param target_s: time in which its answer should begin, 0 if none is known.
    :param prompt_tokens: length of its prompt, 0 if it isn't known.
    :param target_wait_s: time left until its answer should begin.
    """

    service: str
    adapter: AdapterKey | None
    priority: int
    max_wait_s: float
    excluded: frozenset[str]
    target_s: float = 0
    prompt_tokens: int = 0
    target_wait_s: float = 0


class Placement(NamedTuple):
    """A server that can run the request now.

    :param version: version of the adapter there, 0 without an adapter.
    :param waited_s: time that loads took.
    :param candidates: servers that it was chosen from.
    :param requests: requests that it was thought to have.
    """

    server: BackendServer
    version: int
    waited_s: float
    candidates: int
    requests: int


class RetryingPlacer:
    """Finds servers.

    :param view: the deployment.
    :param uses: owners of the engines.
    :param links: links to the owners.
    :param data_centre: where this gateway is.
    """

    def __init__(
        self,
        view: FleetView,
        uses: UsageTracker,
        links: OwnerLinks,
        data_centre: str,
    ) -> None:
        self._view = view
        self._uses = uses
        self._links = links
        self._data_centre = data_centre
        self._prefetch = ReplicaPrefetch(self._load_replica)

    async def place(self, wanted: PlacementRequest) -> Placement | NoServer:
        """Return a server for a request, or why there is none.

        :param wanted: what the request needs.
        """
        started_s = now_s()
        unable: set[str] = set()
        while len(unable) < _MAX_LOADS:
            version = self._version(wanted.adapter)
            candidates = self.candidates(wanted, unable)
            adapter = wanted.adapter.adapter if wanted.adapter else ''
            choice = choose_server(
                adapter,
                version,
                candidates,
                RandomDraws(random.random(), random.random()),
            )
            if isinstance(choice, NoServer):
                if not self._may_change(choice, wanted, started_s):
                    return self._explained(choice, wanted, unable)
                await asyncio.sleep(_SETTLE_PAUSE_S)
                continue
            if isinstance(choice, SendTo):
                self._prefetch_replica(choice, wanted, version)
                return self._placed(
                    choice.server_id, wanted, started_s, len(candidates)
                )
            until_s = started_s + wanted.max_wait_s
            if now_s() >= until_s:
                return NoServer('no adapter in time')
            if await self._load_in_time(choice, wanted, version, until_s):
                return self._placed(
                    choice.server_id, wanted, started_s, len(candidates)
                )
            unable.add(choice.server_id)
        return NoServer('loads failed')

    async def _load_in_time(
        self,
        choice: LoadOn,
        wanted: PlacementRequest,
        version: int,
        until_s: float,
    ) -> bool:
        """Have an adapter loaded; tell whether the server can be used then."""
        key = wanted.adapter
        if key is None:
            return False
        patience_s = until_s - now_s()
        tokens = wanted.prompt_tokens
        with self._uses.count_waiting(choice.server_id, key, tokens):
            loaded = await self._load(choice, wanted, version, patience_s)
        if not loaded:
            return False
        server = self._view.servers.get(choice.server_id)
        return server is not None and not self._view.wants_none(server, now_s())

    def _may_change(
        self, choice: NoServer, wanted: PlacementRequest, started_s: float
    ) -> bool:
        """Tell whether a request without a server waits for word of owners."""
        at_s = now_s()
        if not choice.lacks_loader:
            return False
        if at_s - self._view.known_since_s > _SETTLE_S:
            return False
        return at_s - started_s < wanted.max_wait_s

    def candidates(
        self, wanted: PlacementRequest, unable: set[str]
    ) -> list[Candidate]:
        """Return the servers that a request may be tried on.

        :param wanted: what the request needs.
        :param unable: servers on which a load has just failed.
        """
        at_s = now_s()
        return [
            self._candidate(server, wanted, unable, at_s)
            for server in self._view.servers.values()
            if self._fits(server, wanted, at_s)
        ]

    def _fits(
        self, server: BackendServer, wanted: PlacementRequest, at_s: float
    ) -> bool:
        if server.service != wanted.service:
            return False
        if server.server_id in wanted.excluded:
            return False
        if self._view.wants_none(server, at_s):
            return False
        key = wanted.adapter
        return key is None or self._view.holds_model(server, key.model, at_s)

    def _candidate(
        self,
        server: BackendServer,
        wanted: PlacementRequest,
        unable: set[str],
        at_s: float,
    ) -> Candidate:
        key = wanted.adapter
        health = self._view.health[server.server_id]
        named = key is not None and bool(key.adapter)
        takes_loads = self._view.takes_loads(server, at_s)
        return Candidate(
            server_id=server.server_id,
            held_version=self._view.held_version(server, key, at_s)
            if key and named
            else 0,
            takes_loads=takes_loads and server.server_id not in unable,
            spare_slots=self._view.spare_slots(server, at_s),
            requests=self._view.requests_at(server, at_s),
            slots=server.slots,
            is_local=server.data_centre == self._data_centre,
            is_healthy=health.is_healthy(at_s),
            is_reachable=not health.needs_probe,
            prefill_share=self._reading_share(server, wanted, at_s),
        )

    def _reading_share(
        self, server: BackendServer, wanted: PlacementRequest, at_s: float
    ) -> float:
        """Return what reading takes first, as a share of the target."""
        if not wanted.target_s:
            return 0
        unread = self._view.unread_tokens(server, at_s)
        takes_s = self._view.prefill_rate.expected_s(server.service, unread)
        return takes_s / wanted.target_s

    def _version(self, key: AdapterKey | None) -> int:
        return self._view.version_of(key) if key and key.adapter else 0

    def _placed(
        self,
        server_id: str,
        wanted: PlacementRequest,
        started_s: float,
        tried: int,
    ) -> Placement | NoServer:
        server = self._view.servers.get(server_id)
        if server is None:
            return NoServer('server left')
        key = wanted.adapter
        version = 0
        if key is not None and key.adapter:
            held = self._view.held_version(server, key, now_s())
            version = max(held, self._view.version_of(key))
        return Placement(
            server,
            version,
            now_s() - started_s,
            tried,
            self._view.requests_at(server, now_s()),
        )

    def _prefetch_replica(
        self, choice: SendTo, wanted: PlacementRequest, version: int
    ) -> None:
        """Have a replica loaded where the holders fill up."""
        key = wanted.adapter
        if choice.replica_on and key is not None:
            self._prefetch.ask(choice.replica_on, key, version, now_s())

    async def _load_replica(
        self, server_id: str, key: AdapterKey, version: int
    ) -> None:
        wanted = PlacementRequest(
            '', key, _PREFETCH_PRIORITY, _PREFETCH_S, frozenset()
        )
        await self._load(LoadOn(server_id), wanted, version, _PREFETCH_S)

    async def _load(
        self,
        choice: LoadOn,
        wanted: PlacementRequest,
        version: int,
        patience_s: float,
    ) -> bool:
        key = wanted.adapter
        host = self._uses.owner_host(choice.server_id)
        if key is None or not host:
            return False
        load = LoadRequest(
            choice.server_id,
            key,
            version,
            wanted.priority,
            patience_s,
            self._in_time_s(choice.server_id, wanted, patience_s),
        )
        try:
            async with asyncio.timeout(patience_s + _ANSWER_SLACK_S):
                loaded = await self._links.load(host, load)
        except TimeoutError:
            return False
        if loaded:
            self._view.on_loaded(choice.server_id, key, loaded)
        return loaded > 0

    def _explained(
        self, choice: NoServer, wanted: PlacementRequest, unable: set[str]
    ) -> NoServer:
        """Return why there is no server, and when there may be one.

        :param unable: servers on which a load has just failed.
        """
        if unable and choice.lacks_loader:
            choice = NoServer('no adapter in time')
        pause_s = self._pause_s(wanted.service, now_s())
        return choice._replace(retry_after_s=pause_s)

    def _in_time_s(
        self, server_id: str, wanted: PlacementRequest, patience_s: float
    ) -> float:
        """Return for how long a load that ends lets a request be on time."""
        waited_s = wanted.max_wait_s - patience_s
        server = self._view.servers.get(server_id)
        if server is None:
            return 0
        unread = self._view.unread_tokens(server, now_s())
        reading_s = self._view.prefill_rate.expected_s(server.service, unread)
        return wanted.target_wait_s - waited_s - reading_s

    def _pause_s(self, service: str, at_s: float) -> float:
        """Return how long all servers of a service want no requests."""
        notices = self._view.notices
        pauses_s = [
            notices.paused_until_s(server) - at_s
            for server in self._view.servers.values()
            if server.service == service
            and not server.is_leaving
            and not notices.is_leaving(server)
        ]
        return max(0, min(pauses_s, default=0))
