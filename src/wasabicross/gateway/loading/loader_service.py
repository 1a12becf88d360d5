"""Loads on the engines that this gateway owns."""

from __future__ import annotations

import asyncio
from collections.abc import Callable

from wasabicross.gateway.backend import BackendServer
from wasabicross.gateway.clock import now_s
from wasabicross.gateway.configuration import EngineSpec
from wasabicross.gateway.error_containment import ErrorContainment
from wasabicross.gateway.loading.server_loader import ServerLoader
from wasabicross.gateway.messages import AdapterUsage, ServerState
from wasabicross.gateway.orders import EngineClient, LoadRequest
from wasabicross.gateway.owned_groups import OwnedGroups
from wasabicross.gateway.ownership import OwnershipTerm, group_of
from wasabicross.gateway.view import FleetView

_CHECK_INTERVAL_S = 0.2


class LoaderService:
    """Runs a loader for each engine that this gateway owns.

    :param view: the servers and the configuration.
    :param owned_groups: the groups that this gateway owns.
    :param engines: client for calls to engines.
    """

    def __init__(
        self, view: FleetView, owned_groups: OwnedGroups, engines: EngineClient
    ) -> None:
        self._view = view
        self._owned_groups = owned_groups
        self._engines = engines
        self._loaders: dict[tuple[str, int], ServerLoader] = {}
        self._tasks: dict[tuple[str, int], asyncio.Task[None]] = {}
        self._errors = ErrorContainment('loaders')

    async def run(self) -> None:
        """Start and stop loaders as engines and owned groups change."""
        while True:
            with self._errors.contain('update'):
                self._update_loaders()
            await asyncio.sleep(_CHECK_INTERVAL_S)

    async def stop(self) -> None:
        """Stop all loaders, so that no further order is sent."""
        tasks = tuple(self._tasks.values())
        self._loaders.clear()
        self._tasks.clear()
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)

    @property
    def loaders(self) -> tuple[ServerLoader, ...]:
        """Return the running loaders."""
        return tuple(self._loaders.values())

    def owns(self, server: BackendServer, at_s: float) -> bool:
        """Return whether this gateway has the right to order loads on a server.

        :param server: the server.
        :param at_s: the present time, monotonic seconds.
        """
        group = group_of(server.server_id, server.data_centre)
        return self._owned_groups.current_term(group.name, at_s) is not None

    def states(self) -> tuple[ServerState, ...]:
        """Return the states of all owned engines, for other gateways."""
        return tuple(loader.state() for loader in self.loaders)

    async def load(self, request: LoadRequest) -> int:
        """Load an adapter and return its version, 0 if the load failed.

        :param request: the adapter and the engine.
        """
        loader = self._loader(request.server_id)
        return await loader.load(request) if loader else 0

    def on_use(self, gateway: str, usage: AdapterUsage) -> None:
        """Record a gateway's usage of an adapter.

        :param gateway: name of the gateway's machine.
        :param usage: the adapter, the engine and the number of requests.
        """
        loader = self._loader(usage.server_id)
        if loader is not None:
            loader.on_use(gateway, usage)

    def on_disconnected(self, gateway: str) -> None:
        """Record that a gateway's link has ended.

        :param gateway: name of the gateway's machine.
        """
        for loader in self.loaders:
            loader.on_disconnected(gateway)

    def forget_usage(self, gateway: str) -> None:
        """Discard the usage of a gateway before it reports all of it again.

        :param gateway: name of the gateway's machine.
        """
        for loader in self.loaders:
            loader.slots.usage.forget_usage(gateway, now_s())

    def _loader(self, server_id: str) -> ServerLoader | None:
        server = self._view.servers.get(server_id)
        if server is None:
            return None
        listed = (server_id, server.start_ms)
        if listed not in self._loaders:
            for former in tuple(self._loaders):
                if former[0] == server_id:
                    self._relist(former)
        return self._loaders.get(listed)

    def _update_loaders(self) -> None:
        owned = {
            (server.server_id, server.start_ms): server
            for server in self._view.servers.values()
            if self._is_owned(server)
        }
        for former in self._loaders.keys() - owned.keys():
            self._relist(former)
        for incarnation in self._loaders.keys() - owned.keys():
            self._tasks.pop(incarnation).cancel()
            self._loaders.pop(incarnation)
        for incarnation in owned.keys() - self._loaders.keys():
            self._start(incarnation, owned[incarnation])

    def _relist(self, former: tuple[str, int]) -> None:
        """Keep the loader of a process whose own entry has come."""
        server = self._view.servers.get(former[0])
        if server is None or not self._is_owned(server):
            return
        listed = (server.server_id, server.start_ms)
        if listed not in self._loaders and self._loaders[former].adopts(server):
            self._loaders[listed] = self._loaders.pop(former)
            self._tasks[listed] = self._tasks.pop(former)

    def _is_owned(self, server: BackendServer) -> bool:
        return self.owns(server, now_s()) and self._engine(server) is not None

    def _engine(self, server: BackendServer) -> EngineSpec | None:
        cfg = self._view.configuration
        service = cfg.services.get(server.service) if cfg else None
        return service.engine if service else None

    def _start(
        self, incarnation: tuple[str, int], server: BackendServer
    ) -> None:
        engine = self._engine(server)
        if engine is None:
            return
        loader = ServerLoader(
            server,
            engine,
            self._engines,
            self._view,
            self._current_term(server),
        )
        self._loaders[incarnation] = loader
        self._tasks[incarnation] = asyncio.ensure_future(loader.run())

    def _current_term(
        self, server: BackendServer
    ) -> Callable[[], OwnershipTerm | None]:
        group = group_of(server.server_id, server.data_centre)
        return lambda: self._owned_groups.current_term(group.name, now_s())
