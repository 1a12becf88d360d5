"""Collects what is known of the servers that a request may be tried on."""

from __future__ import annotations

from collections.abc import Container
from typing import NamedTuple

from wasabicross.gateway.backend import AdapterKey, BackendServer
from wasabicross.gateway.candidate import Candidate
from wasabicross.gateway.view import FleetView


class PlacementRequest(NamedTuple):
    """What a request needs from a server.

    :param service: the service that runs it.
    :param adapter: its adapter, None for none.
    :param priority: rank of the request, 0 is the most urgent.
    :param max_wait_s: longest wait for its adapter, seconds.
    :param excluded: ids of servers that may not be tried.
    :param target_s: time in which its answer should begin, seconds, 0 if there
        is no target.
    :param prompt_tokens: length of its prompt, 0 if it isn't known.
    :param target_wait_s: seconds left until its answer should begin.
    :param shared_tokens: length of the start of its prompt that other requests
        may share.
    :param is_returning: whether its caller was refused before.
    :param software_version: software version that has to run it, None for any.
    :param needs_listed_start: whether a server must run the start that is listed.
    """

    service: str
    adapter: AdapterKey | None
    priority: int
    max_wait_s: float
    excluded: frozenset[str]
    target_s: float = 0
    prompt_tokens: int = 0
    target_wait_s: float = 0
    shared_tokens: int = 0
    is_returning: bool = False
    software_version: str | None = None
    needs_listed_start: bool = False


class Candidates:
    """Finds the servers that a request may be tried on.

    :param view: state of the deployment.
    :param data_centre: the data centre of this gateway.
    """

    def __init__(self, view: FleetView, data_centre: str) -> None:
        self._view = view
        self._data_centre = data_centre

    def find(
        self,
        request: PlacementRequest,
        failed_loads: Container[str],
        now_s: float,
    ) -> list[Candidate]:
        """Return the servers that a request may be tried on.

        :param request: what the request needs.
        :param failed_loads: ids of servers on which a load has just failed.
        :param now_s: the present time, monotonic seconds.
        """
        usable = [
            server
            for server in self._view.servers.values()
            if self._is_usable(server, request, now_s)
        ]
        return [
            self._candidate(server, request, failed_loads, now_s)
            for server in self._with_room(usable, now_s)
        ]

    def _with_room(
        self, servers: list[BackendServer], now_s: float
    ) -> list[BackendServer]:
        """Return the servers that have room for a request of this gateway.

        Only some gateways use a brittle server; one that is among the users of
        none may use each.
        """
        brittle = self._view.notices.limiter.brittle
        used = [server for server in servers if brittle.is_user(server)]
        return [
            server
            for server in used or servers
            if brittle.has_room(
                server, self._view.own.requests[server.server_id], now_s
            )
        ]

    def _is_usable(
        self, server: BackendServer, request: PlacementRequest, now_s: float
    ) -> bool:
        if server.service != request.service:
            return False
        if request.software_version not in {None, server.software_version}:
            return False
        if server.server_id in request.excluded:
            return False
        health = self._view.health[server.server_id]
        if request.needs_listed_start and health.runs_unlisted_start(now_s):
            return False
        if self._view.refuses_requests(server, now_s):
            return False
        if now_s < self._view.notices.limiter.blocked_until_s(server):
            return False
        key = request.adapter
        return key is None or self._view.holds_model(server, key.model, now_s)

    def _candidate(
        self,
        server: BackendServer,
        request: PlacementRequest,
        failed_loads: Container[str],
        now_s: float,
    ) -> Candidate:
        key = request.adapter
        health = self._view.health[server.server_id]
        names_adapter = key is not None and bool(key.adapter)
        takes_loads = self._view.takes_loads(server, now_s)
        unread_tokens = self._view.unread_tokens(server, now_s)
        awaited_tokens = self._view.awaited_tokens(server, now_s)
        pending_s = self._prefill_s(server, unread_tokens + awaited_tokens)
        target_s = request.target_s
        return Candidate(
            server_id=server.server_id,
            held_version=self._view.held_version(server, key, now_s)
            if key and names_adapter
            else 0,
            takes_loads=takes_loads and server.server_id not in failed_loads,
            spare_slots=self._view.spare_slots(server, now_s),
            requests=self._view.requests_at(server, now_s),
            slots=server.slots,
            is_local=server.data_centre == self._data_centre,
            is_healthy=health.is_healthy(now_s),
            is_reachable=not health.needs_probe,
            prefill_share=pending_s / target_s if target_s else 0,
            is_warm=self._is_warm(server, key),
            pending_prefill_s=pending_s,
            own_prefill_s=self._prefill_s(server, request.prompt_tokens),
            is_limited=self._view.notices.limiter.is_limited(server),
        )

    def _prefill_s(self, server: BackendServer, tokens: int) -> float:
        """Return the expected time in which a server prefills tokens."""
        return self._view.prefill_rate.expected_s(server.service, tokens)

    def _is_warm(self, server: BackendServer, key: AdapterKey | None) -> bool:
        """Return whether a server held the version in force recently."""
        if key is None:
            return False
        version = self._view.warm_copies.version(server.server_id, key)
        return version >= self._view.version_of(key)
