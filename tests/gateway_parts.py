"""A gateway in the test process, with in-memory store and engines."""

import asyncio
import contextlib
import os
import time
from typing import NamedTuple

from raw_caller import ask
from scripted_server import HOST, ScriptedServer, answer

from emulator.waiting import free_ports
from wasabicross.gateway.backend import AdapterKey, BackendServer, EngineReport
from wasabicross.gateway.changes import (
    ConfigurationUpdate,
    ConvictionUpdate,
    OwnerRecordUpdate,
    ServerEntryUpdate,
    StreamDivisionUpdate,
)
from wasabicross.gateway.configuration import (
    CallerLimits,
    Configuration,
    EngineSpec,
    ModelSpec,
    Route,
    RouteKind,
    Service,
    ServiceShare,
)
from wasabicross.gateway.connections.connection_pool import ConnectionPool
from wasabicross.gateway.errors import AnswerMissing, StoreUnavailable
from wasabicross.gateway.log_output import LogOutput
from wasabicross.gateway.orders import OrderAnswer, OrderKind
from wasabicross.gateway.program import Gateway, PlatformInterfaces
from wasabicross.gateway.server_notices import ServerNotices
from wasabicross.gateway.settings import Address, GatewaySettings
from wasabicross.gateway.store import StoreResult
from wasabicross.gateway.stream_division_records import stored_division
from wasabicross.platform.headers import (
    READY_PATH,
    REQUEST_ID,
    PlatformDialect,
)

LIMITS = CallerLimits(4096, 65536, 0.5, 5.0)
A1 = AdapterKey('m0', 'a1')


class FakeStore:
    """Keep the platform's store in memory."""

    def __init__(self, changes):
        self.changes = list(changes)
        self.owners = {}
        self._revision = 1
        self._updates = []
        self.records = {}
        self.divisions = {}
        #: Whether divisions can't be written, so that a test can set them.
        self.refuses_divisions = False
        self.convictions = ConvictionUpdate(None, 0)

    async def read(self):
        """Return all changes at the current revision."""
        return StoreResult(tuple(self.changes), (), self._revision)

    def decode(self, items, revision):
        """Return the items without decoding any change."""
        return StoreResult((), (), revision, items)

    async def watch(self, revision, wait_s):
        """Wait for owner records, the only data that changes."""
        deadline_s = time.monotonic() + wait_s
        while not self._updates and time.monotonic() < deadline_s:
            await asyncio.sleep(0.01)
        updates, self._updates = tuple(self._updates), []
        return StoreResult(updates, (), self._revision)

    async def write_owner(
        self, group, instance, host, revision, *, is_released=False
    ):
        """Write the owner record of a group if its revision matches."""
        if self.owners.get(group, 0) != revision:
            return None
        self._revision += 1
        self.owners[group] = self._revision
        change = OwnerRecordUpdate(
            group, instance, host, self._revision, is_released
        )
        self._updates.append(change)
        self.records[group] = change
        return self._revision

    async def write_division(self, service, division, revision, now_s):
        """Write the division of a service's streams if its revision matches."""
        if self.refuses_divisions:
            raise StoreUnavailable('refused')
        if self.divisions.get(service, 0) != revision:
            return None
        self._revision += 1
        self.divisions[service] = self._revision
        self._updates.append(
            StreamDivisionUpdate(
                service, stored_division(division, now_s), self._revision
            )
        )
        return self._revision

    async def write_convictions(self, stored, revision):
        """Write the record of convictions if its revision matches."""
        if self.convictions.revision != revision:
            return None
        self._revision += 1
        self.convictions = ConvictionUpdate(stored, self._revision)
        self._updates.append(self.convictions)
        return self._revision

    async def register_instance(self, instance, host, data_centre, fitness):
        """Ignore the registration; the store has no eras."""
        return 0


class FakeEngines:
    """Simulate engines that load at once and always answer orders."""

    def __init__(self):
        self.held = {}
        self.order_count = 0
        self.orders = []

    async def report(self, server):
        """Return the adapters that the engine holds."""
        return EngineReport(
            self.order_count,
            False,
            0,
            0,
            dict(self.held),
            frozenset(),
            frozenset(('m0',)),
            0,
        )

    async def order(self, server, order):
        """Execute a load or unload order."""
        self.orders.append(order)
        if order.kind is OrderKind.unload:
            self.held.pop(order.key, None)
            self.order_count += 1
            return OrderAnswer.already
        if order.key in self.held:
            return OrderAnswer.already
        self.held[order.key] = 1
        self.order_count += 1
        return OrderAnswer.accepted

    async def learn_start(self, server, conn, max_wait_s):
        """Tell the start of its report, or the listed one if that names none."""
        try:
            async with asyncio.timeout(max_wait_s):
                report = await self.report(server)
        except TimeoutError as exc:
            raise AnswerMissing('no report') from exc
        conn.start_ms = report.start_ms or server.start_ms
        return True

    async def check_process(self, server, conn, path, max_wait_s):
        """Answer as long as the connection is open."""
        if not conn.is_usable:
            raise AnswerMissing('connection ended')

    async def is_healthy(self, server, path):
        """Report every server as healthy."""
        return True


def route(kind, timeout_s=0.8, **fields):
    """Return a route for a kind of request, with the kind as path prefix."""
    return Route(
        name=kind,
        host='a.example',
        prefix=f'/{kind}/',
        kind=RouteKind(fields.pop('route_kind', kind)),
        timeout_s=timeout_s,
        target_s=0.4,
        gap_s=0.25,
        priority=1,
        shares=(ServiceShare('llm' if 'stream' in kind else 'desk', 1),),
        max_servers=fields.pop('max_servers', 1),
        is_resumable=fields.pop('is_resumable', False),
    )


CONFIGURATION = Configuration.from_parts(
    version=1,
    routes=(
        route('safe', max_servers=2),
        route('unsafe'),
        route('streaming', timeout_s=2),
        route(
            'stream-resumable',
            route_kind='streaming',
            timeout_s=3,
            max_servers=2,
            is_resumable=True,
        ),
    ),
    services={
        'desk': Service('desk', '/health', 100, None),
        'llm': Service(
            'llm', '/health', 100, EngineSpec(5, 50, (ModelSpec('m0', 40, 1),))
        ),
    },
    limits=LIMITS,
)

#: The same routes with time to spare, for tests that don't guard time limits.
PATIENT = Configuration.from_parts(
    version=2,
    routes=tuple(each._replace(timeout_s=4) for each in CONFIGURATION.routes),
    services=CONFIGURATION.services,
    limits=LIMITS,
)


def server_entry(server_id, service, port, held=None, software_version=''):
    """Return the update with which the store lists a server."""
    return ServerEntryUpdate(
        BackendServer(
            server_id,
            service,
            HOST,
            port,
            'dc',
            8,
            False,
            {A1: 1} if held is None else held,
            frozenset(('m0',)),
            0,
            software_version,
        )
    )


class Bench(NamedTuple):
    """Hold a running gateway with its ports, task and store."""

    gateway: Gateway
    port: int
    ready_port: int
    task: asyncio.Task
    store: FakeStore


def settings_at(callers, ready, peers):
    """Return the settings of a gateway that listens on these ports."""
    return GatewaySettings(
        instance='front-1',
        host=HOST,
        data_centre='dc',
        data_centres=('dc',),
        callers=Address(HOST, callers),
        ready=Address(HOST, ready),
        peer_port=peers,
        store=Address(HOST, 1),
        retry_ratio=0.2,
        retry_slack=54,
        grace_s=8,
        holder_gap_s=3,
        seeds=(),
        cores=1.0,
        link_mbps=1000.0,
    )


@contextlib.asynccontextmanager
async def running_gateway(
    servers,
    cfg=CONFIGURATION,
    service='desk',
    engines=None,
    held=None,
    read_settings=None,
    versions=(),
    grace_s=8,
):
    """Run a gateway that forwards requests to scripted servers.

    :param versions: software versions of the servers, empty for none.
    """
    changes = [ConfigurationUpdate(cfg)] if cfg else []
    pool = ConnectionPool(REQUEST_ID)
    for number, server in enumerate(servers):
        port = await server.start()
        software_version = versions[number] if versions else ''
        changes.append(
            server_entry(f'i-{number}', service, port, held, software_version)
        )
    callers, ready, peers = free_ports(3)
    settings = settings_at(callers, ready, peers)._replace(grace_s=grace_s)
    async with gateway_at(
        settings, changes, pool, engines, read_settings
    ) as bench:
        yield bench


@contextlib.asynccontextmanager
async def gateway_at(settings, changes, pool, engines=None, read_settings=None):
    """Run a gateway with settings and the content of its store."""
    store = FakeStore(changes)
    interfaces = PlatformInterfaces(
        store,
        engines or FakeEngines(),
        PlatformDialect(),
        pool,
        ServerNotices(),
        READY_PATH,
        read_settings or (lambda: settings),
    )
    with open(os.devnull, 'wb') as null_device:
        gateway = Gateway(settings, interfaces, LogOutput(null_device.fileno()))
        task = asyncio.ensure_future(gateway.run())
        has_cfg = any(isinstance(each, ConfigurationUpdate) for each in changes)
        await _until_ready(gateway, settings.callers, has_cfg)
        try:
            yield Bench(
                gateway,
                settings.callers.port,
                settings.ready.port,
                task,
                store,
            )
        finally:
            task.cancel()
            await asyncio.wait((task,))
            for change in changes:
                if isinstance(change, ServerEntryUpdate):
                    pool.drop_idle(HOST, change.server.port)


async def _until_ready(gateway, address, has_cfg):
    async with asyncio.timeout(5):
        while True:
            with contextlib.suppress(OSError):
                _, writer = await asyncio.open_connection(*address)
                writer.close()
                if gateway.is_ready or not has_cfg:
                    return
            await asyncio.sleep(0.01)


OK = answer(b'the answer')


def run_request(scripts, sent, **fields):
    """Send a request to a gateway, with a server for each list of scripts."""

    async def scenario():
        servers = [ScriptedServer(*each) for each in scripts]
        async with running_gateway(servers, **fields) as bench:
            started_s = time.monotonic()
            received = await ask(bench.port, sent)
            took_s = time.monotonic() - started_s
        return received, servers, took_s

    return asyncio.run(scenario())


class SharedScriptsServer(ScriptedServer):
    """Answer from a list of scripts that several servers share."""

    def __init__(self, scripts):
        super().__init__([])
        self._scripts = scripts
