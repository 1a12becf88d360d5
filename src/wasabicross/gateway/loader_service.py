"""The owner's side: loads on the engines that this gateway owns."""

from __future__ import annotations

import asyncio
from collections.abc import Callable

from wasabicross.gateway.backend import AdapterKey, BackendServer
from wasabicross.gateway.clock import now_s
from wasabicross.gateway.configuration import EngineSpec
from wasabicross.gateway.messages import AdapterUsage, ServerState
from wasabicross.gateway.orders import EngineClient, LoadRequest
from wasabicross.gateway.owned_groups import OwnedGroups
from wasabicross.gateway.ownership import OwnershipTerm, group_of
from wasabicross.gateway.server_loader import ServerLoader
from wasabicross.gateway.view import FleetView

_FOLLOW_S = 0.2


class LoaderService:
    """The loaders of all engines that this gateway owns.

    :param view: the deployment.
    :param tenures: the groups that this gateway owns.
    :param engines: calls to engines.
    """

    def __init__(
        self, view: FleetView, tenures: OwnedGroups, engines: EngineClient
    ) -> None:
        self._view = view
        self._tenures = tenures
        self._engines = engines
        self._loaders: dict[tuple[str, int], ServerLoader] = {}
        self._tasks: dict[tuple[str, int], asyncio.Task[None]] = {}

    async def run(self) -> None:
        """Start and end loaders as engines and groups come and go."""
        while True:
            self._follow()
            await asyncio.sleep(_FOLLOW_S)

    async def stop(self) -> None:
        """End all loaders; no order is sent after it."""
        tasks = tuple(self._tasks.values())
        self._loaders.clear()
        self._tasks.clear()
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)

    @property
    def loaders(self) -> tuple[ServerLoader, ...]:
        """The loaders that run."""
        return tuple(self._loaders.values())

    def states(self) -> tuple[ServerState, ...]:
        """Return what other gateways are told of all engines."""
        return tuple(loader.state() for loader in self.loaders)

    async def load(self, wanted: LoadRequest) -> int:
        """Have an adapter loaded; return its version, 0 if it failed.

        :param wanted: which one, on which engine.
        """
        loader = self._loader(wanted.server_id)
        return await loader.load(wanted) if loader else 0

    def on_use(self, user: str, use: AdapterUsage) -> None:
        """Take in the use of an adapter on an engine.

        :param user: the gateway that uses it.
        :param use: which one, and how many requests run.
        """
        loader = self._loader(use.server_id)
        if loader is not None:
            key = AdapterKey(use.model, use.adapter)
            loader.slots.usage.on_use(
                key, user, use.running, now_s(), use.unread_tokens
            )

    def forget_usage(self, user: str) -> None:
        """Forget all uses of a gateway, since it tells them anew.

        :param user: the gateway.
        """
        for loader in self.loaders:
            loader.slots.usage.forget_user(user, now_s())

    def _loader(self, server_id: str) -> ServerLoader | None:
        server = self._view.servers.get(server_id)
        if server is None:
            return None
        return self._loaders.get((server_id, server.start_ms))

    def _follow(self) -> None:
        wanted = {
            (server.server_id, server.start_ms): server
            for server in self._view.servers.values()
            if self._is_ours(server)
        }
        for life in self._loaders.keys() - wanted.keys():
            self._tasks.pop(life).cancel()
            self._loaders.pop(life)
        for life in wanted.keys() - self._loaders.keys():
            self._start(life, wanted[life])

    def _is_ours(self, server: BackendServer) -> bool:
        group = group_of(server.server_id, server.data_centre)
        owned = self._tenures.current_term(group.name, now_s()) is not None
        return owned and self._engine(server) is not None

    def _engine(self, server: BackendServer) -> EngineSpec | None:
        cfg = self._view.configuration
        service = cfg.services.get(server.service) if cfg else None
        return service.engine if service else None

    def _start(self, life: tuple[str, int], server: BackendServer) -> None:
        engine = self._engine(server)
        if engine is None:
            return
        loader = ServerLoader(
            server,
            engine,
            self._engines,
            self._view,
            self._tenure_of(server),
        )
        self._loaders[life] = loader
        self._tasks[life] = asyncio.ensure_future(loader.run())

    def _tenure_of(
        self, server: BackendServer
    ) -> Callable[[], OwnershipTerm | None]:
        group = group_of(server.server_id, server.data_centre)
        return lambda: self._tenures.current_term(group.name, now_s())
