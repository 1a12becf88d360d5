"""The gateway process, from its start to its graceful stop."""

from __future__ import annotations

import asyncio
import signal
from collections.abc import Callable, Coroutine, Iterator
from typing import Any, NamedTuple

from wasabicross import __version__
from wasabicross.gateway.attempt_context import ServerAccess
from wasabicross.gateway.caller_service import CallerService
from wasabicross.gateway.configuration import CallerLimits
from wasabicross.gateway.connections.caller_connections import (
    DEFAULT_LIMITS,
    CallerConnection,
    Handler,
)
from wasabicross.gateway.connections.connection_pool import ConnectionPool
from wasabicross.gateway.connections.watched_reader import WatchedReader
from wasabicross.gateway.dialect import Dialect
from wasabicross.gateway.draining import Draining
from wasabicross.gateway.instance_service import InstanceService
from wasabicross.gateway.loading.loader_service import LoaderService
from wasabicross.gateway.log_output import LogOutput
from wasabicross.gateway.loop_watch import watch_loop
from wasabicross.gateway.orders import EngineClient
from wasabicross.gateway.owned_groups import OwnedGroups
from wasabicross.gateway.owners.links import OwnerLinks
from wasabicross.gateway.owners.owner_server import OwnerServer
from wasabicross.gateway.probing import Prober
from wasabicross.gateway.record_keepers import keep_records
from wasabicross.gateway.registration import Registration
from wasabicross.gateway.retry_budgets import RetryBudgets
from wasabicross.gateway.retrying_placer import RetryingPlacer
from wasabicross.gateway.server_notices import ServerNotices
from wasabicross.gateway.settings import Address, GatewaySettings
from wasabicross.gateway.settings_reload import ReloadableSettings
from wasabicross.gateway.store import FleetStore
from wasabicross.gateway.store_following.store_copy import request_from_seeds
from wasabicross.gateway.store_following.store_follower import StoreFollower
from wasabicross.gateway.store_following.store_relay import StoreRelay
from wasabicross.gateway.unanswered import UnansweredRequests
from wasabicross.gateway.usage_tracker import UsageTracker
from wasabicross.gateway.view import FleetView
from wasabicross.runtime.events import Event
from wasabicross.runtime.logs import log_event

_BACKLOG = 1024
_READ_LIMIT_BYTES = 131072

_DROPPED_LINES_INTERVAL_S = 5.0


class PlatformInterfaces(NamedTuple):
    """The platform's services and protocols as the gateway uses them.

    :param store: the store that holds the deployment's state.
    :param engines: client for calls to engines.
    :param dialect: the platform's conventions for requests and answers.
    :param pool: connections to servers.
    :param notices: notices of servers on further requests.
    :param ready_path: path at which the platform checks readiness.
    :param read_settings: reads the settings again; raises
        `DocumentUnreadable` if they are invalid.
    """

    store: FleetStore
    engines: EngineClient
    dialect: Dialect
    pool: ConnectionPool
    notices: ServerNotices
    ready_path: str
    read_settings: Callable[[], GatewaySettings]


class _Listeners(NamedTuple):
    """The servers of this process that accept connections.

    :param callers: accepts those of callers.
    :param ready: accepts those of the platform.
    :param gateways: accepts those with forwarded requests, None without a port
        for them.
    """

    callers: asyncio.Server
    ready: asyncio.Server
    gateways: asyncio.Server | None


class Gateway:
    """One gateway process.

    :param cfg: its settings.
    :param platform: interfaces of the platform.
    :param output: destination of its log lines.
    """

    def __init__(
        self,
        cfg: GatewaySettings,
        platform: PlatformInterfaces,
        output: LogOutput,
    ) -> None:
        self.settings = ReloadableSettings(
            cfg, platform.read_settings, self._on_settings
        )
        self._platform = platform
        self._output = output
        self.view = FleetView(platform.notices)
        self.view.notices.limiter.set_gateways(
            cfg.instance, self.view.instances
        )
        self.is_stopping = False
        self._connections: set[CallerConnection] = set()
        self._relay = StoreRelay()
        self._owned_groups = OwnedGroups(cfg, platform.store, self.view)
        self._loader_service = LoaderService(
            self.view, self._owned_groups, platform.engines
        )
        self.unanswered = UnansweredRequests(self._configuration_version)
        self._usage = UsageTracker(self.view)
        self._follower = StoreFollower(
            platform.store,
            self.view,
            self._relay,
            lambda: self._owned_groups.owns_any,
            lambda: request_from_seeds(self._cfg),
        )
        servers = ServerAccess.from_parts(
            cfg.instance,
            self.view,
            platform.pool,
            platform.dialect,
            platform.engines,
        )
        self._life = servers.life
        #: Shares what gateways know of crashed servers.
        self.crashes = servers.crashes.sharing
        self._links = OwnerLinks(
            cfg,
            self.view,
            self._loader_service,
            self._usage,
            self._follower,
            self.crashes,
        )
        placer = RetryingPlacer(
            self.view,
            self._usage,
            self._links,
            cfg.data_centre,
            self._links.streams,
        )
        self._budgets = RetryBudgets(
            cfg.retry_ratio, cfg.retry_slack, self.view
        )
        self._caller_service = CallerService.from_parts(
            cfg,
            servers,
            placer,
            self._usage,
            self._budgets.for_service,
        )
        self._instance_service = InstanceService(
            platform.ready_path,
            lambda: self.is_ready,
            self._caller_service,
            self.crashes,
        )
        self._owned_groups.is_cut_off = self._caller_service.reach.is_cut_off
        self._draining = Draining(
            self._caller_service, self._connections, lambda: self._cfg.grace_s
        )
        self._stop = asyncio.Event()

    @property
    def _cfg(self) -> GatewaySettings:
        """Return the settings in force."""
        return self.settings.cfg

    @property
    def limits(self) -> CallerLimits:
        """Return the limits of callers in force."""
        cfg = self.view.configuration
        return cfg.limits if cfg else DEFAULT_LIMITS

    def _configuration_version(self) -> int:
        cfg = self.view.configuration
        return cfg.version if cfg else 0

    @property
    def is_ready(self) -> bool:
        """Return whether the platform should send callers here."""
        return not self.is_stopping and self.view.configuration is not None

    async def run(self) -> None:
        """Serve until SIGTERM, then stop gracefully."""
        self._handle_signals()
        log_event(
            Event.PROGRAM_STARTED,
            version=__version__,
            instance=self._cfg.instance,
        )
        tasks = [self._start(part) for part in self._parts()]
        listeners = await self._listen_all()
        await self._stop.wait()
        log_event(Event.PROGRAM_STOPPING)
        if listeners.gateways is not None:
            listeners.gateways.close()
        await self._draining.run(listeners.callers)
        listeners.ready.close()
        await self._end(tasks)

    async def _end(self, tasks: list[asyncio.Task[None]]) -> None:
        """Stop all parts and release the owned groups."""
        for task in tasks:
            task.cancel()
        self._life.close()
        await self._loader_service.stop()
        await self._release()
        log_event(Event.PROGRAM_STOPPED)
        self._output.flush()

    def begin_stop(self) -> None:
        """Begin a graceful stop."""
        self.is_stopping = True
        self._stop.set()

    def _handle_signals(self) -> None:
        loop = asyncio.get_running_loop()
        loop.add_signal_handler(signal.SIGTERM, self.begin_stop)
        loop.add_signal_handler(signal.SIGHUP, self.settings.reload)

    def _parts(self) -> Iterator[Coroutine[Any, Any, None]]:
        owner_server = OwnerServer(
            self._cfg.instance,
            self._loader_service,
            self._relay,
            self._follower.copy,
            self.crashes,
            self._links.streams,
            self._links.limits,
        )
        prober = Prober(self.view, self._platform.engines)
        yield from (
            self._follower.run(),
            self._register(),
            self._own_groups(),
            self._keep_records(),
            self._loader_service.run(),
            self._links.run(),
            self._links.report_usage(),
            prober.run(),
            self._log_dropped_lines(),
            watch_loop(),
            self.settings.follow(),
            owner_server.run(self._cfg.host, self._cfg.peer_port),
        )

    def _start(self, part: Coroutine[Any, Any, None]) -> asyncio.Task[None]:
        task = asyncio.ensure_future(part)
        task.add_done_callback(self._on_part_ended)
        return task

    def _on_part_ended(self, task: asyncio.Task[None]) -> None:
        if task.cancelled():
            return
        log_event(Event.THREAD_FAILED, thread='part', trace=_failure(task))
        self._output.flush()
        self.begin_stop()

    async def _listen_all(self) -> _Listeners:
        """Listen for callers, the platform and other gateways."""
        return _Listeners(
            await self._listen(self._cfg.callers, self._caller_service.serve),
            await self._listen(self._cfg.ready, self._instance_service.serve),
            await self._listen_to_gateways(),
        )

    async def _listen_to_gateways(self) -> asyncio.Server | None:
        """Listen for requests that other gateways forward."""
        cfg = self._cfg
        if not cfg.forwarding_port:
            return None
        return await self._listen(
            Address(cfg.host, cfg.forwarding_port),
            self._caller_service.serve_forwarded,
        )

    async def _listen(
        self,
        address: Address,
        handler: Handler,
    ) -> asyncio.Server:
        def new_protocol() -> asyncio.StreamReaderProtocol:  # noqa: WPS430
            reader = WatchedReader(_READ_LIMIT_BYTES)

            async def on_connection(  # noqa: WPS430
                _reader: asyncio.StreamReader, writer: asyncio.StreamWriter
            ) -> None:
                await self._serve_connection(reader, writer, handler)

            return asyncio.StreamReaderProtocol(reader, on_connection)

        loop = asyncio.get_running_loop()
        return await loop.create_server(
            new_protocol, address.host, address.port, backlog=_BACKLOG
        )

    async def _serve_connection(
        self,
        reader: WatchedReader,
        writer: asyncio.StreamWriter,
        handler: Handler,
    ) -> None:
        conn = CallerConnection(reader, writer, self, handler)
        self._connections.add(conn)
        try:
            await conn.run()
        finally:
            self._connections.discard(conn)

    async def _register(self) -> None:
        await self._follower.is_initialised.wait()
        registration = Registration(self._cfg, self._platform.store, self.view)
        await registration.run()

    async def _own_groups(self) -> None:
        await self._follower.is_initialised.wait()
        await self._owned_groups.run()

    async def _keep_records(self) -> None:
        await self._follower.is_initialised.wait()
        await keep_records(
            self._cfg.instance, self._platform.store, self.view, self.crashes
        )

    async def _log_dropped_lines(self) -> None:
        while True:
            await asyncio.sleep(_DROPPED_LINES_INTERVAL_S)
            dropped = self._output.take_dropped()
            if dropped:
                log_event(Event.LINES_DROPPED, lines=dropped)
            self._output.flush()

    async def _release(self) -> None:
        try:
            async with asyncio.timeout(self._draining.phases.release_s):
                await self._owned_groups.release()
        except TimeoutError:
            log_event(Event.OWNER_WRITE_FAILED, group='', reason='timeout')

    def _on_settings(self, cfg: GatewaySettings) -> None:
        self._budgets.set_limits(cfg.retry_ratio, cfg.retry_slack)


def _failure(task: asyncio.Task[None]) -> str:
    return repr(task.exception()) if task.exception() else 'ended'
