"""A gateway in this process, with a store in memory and scripted servers."""

import asyncio
import contextlib
import os
import socket
import struct
import time
from typing import NamedTuple

from emulator.waiting import free_ports
from wasabicross.gateway.backend import AdapterKey, BackendServer, EngineReport
from wasabicross.gateway.changes import (
    ConfigurationNamed,
    OwnerNamed,
    ServerListed,
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
from wasabicross.gateway.log_output import LogOutput
from wasabicross.gateway.orders import OrderAnswer, OrderKind
from wasabicross.gateway.program import Gateway, Seams
from wasabicross.gateway.server_connections import ConnectionPool
from wasabicross.gateway.settings import Address, GatewaySettings
from wasabicross.gateway.store import Snapshot
from wasabicross.platform.headers import (
    READY_PATH,
    REQUEST_ID,
    PlatformDialect,
)

HOST = '127.0.0.1'
LIMITS = CallerLimits(4096, 65536, 0.5, 5.0)
A1 = AdapterKey('m0', 'a1')


class FakeStore:
    """A store that holds changes in memory."""

    def __init__(self, changes):
        self.changes = list(changes)
        self.owners = {}
        self._revision = 1
        self._news = []
        self.records = {}

    async def read(self):
        """Return everything."""
        return Snapshot(tuple(self.changes), (), self._revision)

    def decode(self, items, revision):
        """Know no items."""
        return Snapshot((), (), revision, items)

    async def watch(self, revision, wait_s):
        """Wait for records of owners; nothing else changes."""
        deadline_s = time.monotonic() + wait_s
        while not self._news and time.monotonic() < deadline_s:
            await asyncio.sleep(0.01)
        news, self._news = tuple(self._news), []
        return Snapshot(news, (), self._revision)

    async def write_owner(
        self, group, instance, host, revision, *, is_released=False
    ):
        """Write the record of a group if it has the revision."""
        if self.owners.get(group, 0) != revision:
            return None
        self._revision += 1
        self.owners[group] = self._revision
        change = OwnerNamed(group, instance, host, self._revision, is_released)
        self._news.append(change)
        self.records[group] = change
        return self._revision

    async def announce(self, instance, host, data_centre, fitness):
        """Take no notice."""


class FakeEngines:
    """Engines that load at once and answer orders as told."""

    def __init__(self):
        self.held = {}
        self.order_count = 0
        self.orders = []

    async def report(self, server):
        """Return what the engine holds."""
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
        """Carry an order out."""
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

    async def is_healthy(self, server, path):
        """Tell that it is."""
        return True


class Seen(NamedTuple):
    """A request as a server got it."""

    head: bytes
    body: bytes

    @property
    def fields(self):
        """Header fields by name in lower case."""
        lines = self.head.decode('latin-1').split('\r\n')[1:]
        pairs = (line.split(': ', 1) for line in lines if ': ' in line)
        return {name.lower(): value for name, value in pairs}


class ScriptedServer:
    """A server that answers each request by the next of its scripts.

    A script is a list of steps: bytes to send, seconds to wait, `reset` or
    `close`. The last script is repeated.
    """

    def __init__(self, *scripts):
        self._scripts = list(scripts)
        self.seen = []
        self.gone = asyncio.Event()

    async def start(self):
        """Listen; return the port."""
        server = await asyncio.start_server(self._serve, HOST, 0)
        return server.sockets[0].getsockname()[1]

    async def _serve(self, reader, writer):
        with contextlib.suppress(OSError, asyncio.IncompleteReadError):
            while True:
                head = await reader.readuntil(b'\r\n\r\n')
                seen = Seen(head, b'')
                length = int(seen.fields.get('content-length', 0))
                seen = seen._replace(body=await reader.readexactly(length))
                self.seen.append(seen)
                script = self._scripts[0]
                if len(self._scripts) > 1:
                    self._scripts.pop(0)
                if not await self._play(script, seen, reader, writer):
                    break
        self.gone.set()
        writer.close()

    async def _play(self, script, seen, reader, writer):
        for step in script:
            if step == 'reset':
                _reset(writer)
                return False
            if step == 'close':
                return False
            if isinstance(step, bytes):
                request_id = seen.fields.get('request-id', '').encode()
                writer.write(step.replace(b'{id}', request_id))
                await writer.drain()
            elif await self._left(reader, step):
                return False
        return True

    async def _left(self, reader, wait_s):
        try:
            async with asyncio.timeout(wait_s):
                return not await reader.read(1)
        except TimeoutError:
            return False


def _reset(writer):
    """Close a connection so that the other side sees a reset."""
    sock = writer.get_extra_info('socket')
    linger = struct.pack('ii', 1, 0)
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, linger)
    writer.transport.abort()


def answer(body=b'ok', status=b'200 OK', extra=b''):
    """Return a whole answer with a length."""
    return (
        b'HTTP/1.1 '
        + status
        + b'\r\nRequest-Id: {id}\r\nServer-Stamp: s1\r\n'
        + extra
        + b'Content-Length: %d\r\n\r\n' % len(body)
        + body
    )


NOT_RUN = answer(b'', b'503 Service Unavailable', b'Not-Run: 1\r\n')
FAILED = answer(b'no', b'500 Internal Server Error')
STREAM_HEAD = (
    b'HTTP/1.1 200 OK\r\nRequest-Id: {id}\r\nServer-Stamp: s1\r\n'
    b'Content-Type: text/event-stream\r\n'
    b'Transfer-Encoding: chunked\r\n\r\n'
)
STREAM_END = b'0\r\n\r\n'


def chunk(content):
    """Return content as one chunk."""
    return b'%x\r\n%s\r\n' % (len(content), content)


def events(first, last):
    """Return the events with these ids."""
    return b''.join(
        b'id: %d\ndata: token %d\n\n' % (number, number)
        for number in range(first, last + 1)
    )


def route(kind, timeout_s=0.8, **fields):
    """Return the route of a kind of request, at a path of that name."""
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


CONFIGURATION = Configuration(
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


def listed(server_id, service, port, held=None):
    """Return a server as the store lists it."""
    return ServerListed(
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
        )
    )


class Bench(NamedTuple):
    """A running gateway."""

    gateway: Gateway
    port: int
    ready_port: int
    task: asyncio.Task
    store: FakeStore


@contextlib.asynccontextmanager
async def running_gateway(
    servers, cfg=CONFIGURATION, service='desk', engines=None, held=None
):
    """Run a gateway before scripted servers."""
    changes = [ConfigurationNamed(cfg)] if cfg else []
    for number, server in enumerate(servers):
        port = await server.start()
        changes.append(listed(f'i-{number}', service, port, held))
    callers, ready, peers = free_ports(3)
    settings = GatewaySettings(
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
    store = FakeStore(changes)
    seams = Seams(
        store,
        engines or FakeEngines(),
        PlatformDialect(),
        ConnectionPool(REQUEST_ID),
        READY_PATH,
    )
    with open(os.devnull, 'wb') as quiet:
        gateway = Gateway(settings, seams, LogOutput(quiet.fileno()))
        task = asyncio.ensure_future(gateway.run())
        await _until_ready(gateway, callers, bool(cfg))
        try:
            yield Bench(gateway, callers, ready, task, store)
        finally:
            task.cancel()
            await asyncio.wait((task,))


async def _until_ready(gateway, port, has_cfg):
    async with asyncio.timeout(5):
        while True:
            with contextlib.suppress(OSError):
                _, writer = await asyncio.open_connection(HOST, port)
                writer.close()
                if gateway.is_ready or not has_cfg:
                    return
            await asyncio.sleep(0.01)


def request(path, body=b'', **fields):
    """Return the bytes of a request."""
    method = b'POST' if body else b'GET'
    given = {
        'Host': 'a.example',
        'Request-Id': 'r1',
        'Time-Left-Ms': '5000',
        **{name.replace('_', '-'): text for name, text in fields.items()},
    }
    lines = [f'{name}: {text}'.encode() for name, text in given.items()]
    if body:
        lines.append(b'Content-Length: %d' % len(body))
    head = [method + b' ' + path.encode() + b' HTTP/1.1', *lines]
    return b'\r\n'.join(head) + b'\r\n\r\n' + body


async def ask(port, *requests, wait_s=6):
    """Send requests on one connection; return all that comes until its end.

    The connection is half a second without bytes at its end, or closed.
    """
    reader, writer = await asyncio.open_connection(HOST, port)
    writer.write(b''.join(requests))
    received = b''
    with contextlib.suppress(ConnectionError):
        async with asyncio.timeout(wait_s):
            while not _is_whole(received, len(requests)):
                got = await reader.read(65536)
                if not got:
                    break
                received += got
    writer.close()
    return received


def _is_whole(received, count):
    """Tell whether that many answers have ended."""
    ended = 0
    rest = received
    while rest:
        head, found, body = rest.partition(b'\r\n\r\n')
        if not found:
            return False
        lowered = head.lower()
        if b'chunked' in lowered:
            end = body.find(STREAM_END)
            if end < 0:
                return False
            rest = body[end + len(STREAM_END) :]
        else:
            mark = lowered.index(b'content-length: ') + 16
            length = int(lowered[mark:].split(b'\r\n')[0])
            if len(body) < length:
                return False
            rest = body[length:]
        ended += 1
    return ended >= count


def status_of(received):
    """Return the status of an answer."""
    return int(received.split(b' ', 2)[1])


def body_of(received):
    """Return the body of an answer, chunks joined."""
    head, _, body = received.partition(b'\r\n\r\n')
    if b'chunked' not in head.lower():
        return body
    joined = b''
    while body:
        size, _, rest = body.partition(b'\r\n')
        length = int(size or b'0', 16)
        joined += rest[:length]
        body = rest[length + 2 :]
    return joined
