"""Probes unreachable servers until they are healthy again."""

from __future__ import annotations

import asyncio

from wasabicross.gateway.backend import BackendServer
from wasabicross.gateway.clock import now_s
from wasabicross.gateway.error_containment import ErrorContainment
from wasabicross.gateway.orders import EngineClient
from wasabicross.gateway.view import FleetView

_CHECK_INTERVAL_S = 0.25


class Prober:
    """Ends the exclusion of unreachable servers that pass a health probe.

    :param view: the servers and their health.
    :param engines: sends the probes.
    """

    def __init__(self, view: FleetView, engines: EngineClient) -> None:
        self._view = view
        self._engines = engines
        self._probes: dict[str, asyncio.Task[None]] = {}
        self._errors = ErrorContainment('probes')

    async def run(self) -> None:
        """Probe until cancelled."""
        while True:
            for server in tuple(self._view.servers.values()):
                with self._errors.contain(server.server_id):
                    self._start_if_due(server)
            await asyncio.sleep(_CHECK_INTERVAL_S)

    def _start_if_due(self, server: BackendServer) -> None:
        if self._is_due(server):
            self._probes[server.server_id] = asyncio.ensure_future(
                self._probe_contained(server)
            )

    def _is_due(self, server: BackendServer) -> bool:
        health = self._view.health[server.server_id]
        if server.server_id in self._probes or not health.needs_probe:
            return False
        at_s = now_s()
        if at_s < self._view.notices.paused_until_s(server):
            return False
        return at_s >= health.excluded_until_s

    async def _probe_contained(self, server: BackendServer) -> None:
        with self._errors.contain(server.server_id):
            await self._probe(server)

    async def _probe(self, server: BackendServer) -> None:
        if not await self._view.notices.limiter.acquire(server, now_s):
            self._probes.pop(server.server_id, None)
            return
        cfg = self._view.configuration
        service = cfg.services.get(server.service) if cfg else None
        path = service.health_path if service else '/'
        try:
            is_healthy = await self._engines.is_healthy(server, path)
        finally:
            self._probes.pop(server.server_id, None)
        health = self._view.health[server.server_id]
        health.on_probe(now_s(), has_passed=is_healthy)
