"""Links between an owner of engines and gateways that request loads."""

import asyncio
import contextlib
import random
import socket

import cbor2
import pytest
from websockets.asyncio.client import connect
from websockets.asyncio.server import serve
from websockets.exceptions import ConnectionClosed

from emulator.waiting import free_ports
from wasabicross.gateway.backend import AdapterKey
from wasabicross.gateway.messages import (
    AdapterUsage,
    HeldAdapter,
    Hello,
    ServerState,
    StoreUpdatesRequest,
    encode,
)
from wasabicross.gateway.orders import LoadRequest
from wasabicross.gateway.owners import owner_link
from wasabicross.gateway.owners.owner_link import OwnerLink
from wasabicross.gateway.owners.owner_server import (
    OwnerServer,
    frame_interval_s,
)
from wasabicross.gateway.store import StoredItem, StoreResult
from wasabicross.gateway.store_following.store_copy import StoreCopy
from wasabicross.gateway.store_following.store_relay import StoreRelay
from wasabicross.gateway.view import FleetView

HOST = '127.0.0.1'
A = AdapterKey('m0', 'a1')
#: Sockets that fill a listener's backlog, kept open.
BACKLOG_FILLERS = []
LOAD_REQUEST = LoadRequest('s1', A, 2, 0, 1.0)


class FakeLoaderService:
    """Serve the loads of one engine that the owner controls."""

    def __init__(self):
        self.held = ()
        self.load_requests = []
        self.usage = []
        self.version = 3

    def states(self):
        """Return the state of the engine."""
        return (ServerState('s1', 5, 0, 1, True, self.held),)

    async def load(self, request):
        """Record the request and wait until there is a version."""
        self.load_requests.append(request)
        while not self.version:
            await asyncio.sleep(0.01)
        return self.version

    def forget_usage(self, user):
        """Ignore the restart of a gateway."""

    def on_use(self, user, use):
        """Record a usage report."""
        self.usage.append((user, use))


class FakeStoreFollower:
    """Record the messages of relays."""

    def __init__(self):
        self.statuses = []
        self.updates = []
        self.confirmations = []
        self.round_trips = []

    def on_status(self, relay, status):
        """Record the status of a relay."""
        self.statuses.append(status)

    def on_confirmation(self, relay, confirmation):
        """Record as of when a relay knows the store."""
        self.confirmations.append(confirmation)

    def on_round_trip(self, relay, asked_s):
        """Record when a question was sent that a relay has answered."""
        self.round_trips.append(asked_s)

    def on_update(self, store_update):
        """Record a store update."""
        self.updates.append(store_update)


@contextlib.asynccontextmanager
async def linked_gateway(
    loader_service, is_relay=False, relay_parts=None, copy=None
):
    (port,) = free_ports(1)
    view = FleetView()
    relay = StoreRelay()
    store_follower = FakeStoreFollower()
    link = OwnerLink('front-2', HOST, port, view, store_follower)
    link.is_relay = is_relay
    server = OwnerServer('front-1', loader_service, relay, copy or StoreCopy())
    serving = asyncio.ensure_future(server.run(HOST, port))
    following = asyncio.ensure_future(link.run())
    try:
        await until(lambda: view.reported)
        if relay_parts is not None:
            relay_parts.extend((relay, store_follower))
        yield link, view, serving, port
    finally:
        for task in (serving, following):
            task.cancel()
        await asyncio.wait((serving, following))


async def until(condition):
    async with asyncio.timeout(5):
        while not condition():
            await asyncio.sleep(0.01)


def test_states_come_at_once_and_when_they_change():
    async def scenario():
        loader_service = FakeLoaderService()
        async with linked_gateway(loader_service) as (_, view, _, _):
            assert not view.reported['s1'].held
            loader_service.held = (HeldAdapter('m0', 'a1', 2),)
            await until(lambda: view.reported['s1'].held == {A: 2})

    asyncio.run(scenario())


def test_load_is_asked_for_and_answered():
    async def scenario():
        loader_service = FakeLoaderService()
        async with linked_gateway(loader_service) as (link, _, _, _):
            assert await link.load(LOAD_REQUEST) == 3
        assert loader_service.load_requests == [LOAD_REQUEST]

    asyncio.run(scenario())


def test_uses_are_told():
    use = AdapterUsage('s1', 'm0', 'a1', 2)

    async def scenario():
        loader_service = FakeLoaderService()
        async with linked_gateway(loader_service) as (link, _, _, _):
            link.report_usage((use,))
            await until(lambda: loader_service.usage)
        assert loader_service.usage == [('front-2', use)]

    asyncio.run(scenario())


def test_a_link_that_opens_asks_for_all_uses():
    async def scenario():
        async with linked_gateway(FakeLoaderService()) as (
            link,
            _,
            serving,
            port,
        ):
            assert link.needs_usage
            link.needs_usage = False
            serving.cancel()
            await until(lambda: not link.is_open)
            server = OwnerServer(
                'front-1', FakeLoaderService(), StoreRelay(), StoreCopy()
            )
            restarted = asyncio.ensure_future(server.run(HOST, port))
            await until(lambda: link.needs_usage)
            restarted.cancel()

    asyncio.run(scenario())


def test_load_fails_at_once_when_the_owner_goes():
    async def scenario():
        loader_service = FakeLoaderService()
        loader_service.version = 0
        async with linked_gateway(loader_service) as (link, _, serving, _):
            loading = asyncio.ensure_future(link.load(LOAD_REQUEST))
            await until(lambda: loader_service.load_requests)
            serving.cancel()
            async with asyncio.timeout(2):
                assert await loading == 0
            assert await link.load(LOAD_REQUEST) == 0

    asyncio.run(scenario())


def test_a_machine_that_is_off_is_dialled_again_soon(monkeypatch):
    # A full backlog drops the first packets, as a machine without power does.
    monkeypatch.setattr(owner_link, '_OPEN_TIMEOUT_S', 60)
    monkeypatch.setattr(owner_link, '_CONNECT_TIMEOUT_S', 0.05, raising=False)
    monkeypatch.setattr(owner_link, '_RECONNECT_DELAY_S', 0.05)
    view = FleetView()

    async def scenario():
        (port,) = free_ports(1)
        link = OwnerLink('front-2', HOST, port, view, FakeStoreFollower())
        unresponsive = full_listener(port)
        following = asyncio.ensure_future(link.run())
        await asyncio.sleep(0.1)
        unresponsive.close()
        server = OwnerServer(
            'front-1', FakeLoaderService(), StoreRelay(), StoreCopy()
        )
        serving = asyncio.ensure_future(server.run(HOST, port))
        # The kernel retransmits a dropped packet after 1 s.
        async with asyncio.timeout(0.9):
            await until(lambda: view.reported)
        for task in (serving, following):
            task.cancel()
        await asyncio.wait((serving, following))

    asyncio.run(scenario())


def full_listener(port):
    """Listen on a port with a full backlog, so that connects get no answer."""
    listener = socket.socket()
    listener.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
    listener.bind((HOST, port))
    listener.listen(0)
    for _ in range(3):
        filler = socket.socket()
        filler.setblocking(False)
        filler.connect_ex((HOST, port))
        BACKLOG_FILLERS.append(filler)
    return listener


def test_silent_owner_is_given_up():
    async def send_nothing(conn):
        await asyncio.sleep(9)

    async def scenario():
        (port,) = free_ports(1)
        link = OwnerLink(
            'front-2', HOST, port, FleetView(), FakeStoreFollower()
        )
        async with serve(send_nothing, HOST, port):
            following = asyncio.ensure_future(link.run())
            await until(lambda: link.is_open)
            async with asyncio.timeout(3):
                assert await link.load(LOAD_REQUEST) == 0
            following.cancel()
            await asyncio.wait((following,))

    asyncio.run(scenario())


@pytest.mark.parametrize(
    'frame', ['text', b'\xff', cbor2.dumps([]), cbor2.dumps([[0, 7]])]
)
def test_stranger_is_closed_and_others_go_on(frame):
    async def scenario():
        loader_service = FakeLoaderService()
        async with linked_gateway(loader_service) as (link, _, _, port):
            async with connect(f'ws://{HOST}:{port}') as stranger:
                await stranger.send(frame)
                async with asyncio.timeout(2):
                    await stranger.wait_closed()
            assert await link.load(LOAD_REQUEST) == 3

    asyncio.run(scenario())


def test_gateway_that_reads_nothing_is_dropped():
    # Random bytes are incompressible, so that they fill the send buffer.
    content = random.Random(20261204).randbytes(500_000)
    big = StoredItem('op/config', 8, content)

    async def scenario():
        parts = []
        async with linked_gateway(FakeLoaderService(), relay_parts=parts) as (
            link,
            _,
            _,
            port,
        ):
            relay, _ = parts
            stalled = await connect(f'ws://{HOST}:{port}', max_queue=1)
            await stalled.send(encode(Hello('front-9')))
            await stalled.send(encode(StoreUpdatesRequest('front-9')))
            stalled.transport.pause_reading()
            await asyncio.sleep(0.2)
            for number in range(20):
                relay.forward(number, StoreResult((), (), number + 1, (big,)))
            await asyncio.sleep(0.3)
            stalled.transport.resume_reading()
            with pytest.raises(ConnectionClosed):
                async with asyncio.timeout(5):
                    while True:
                        await stalled.recv()
            assert await link.load(LOAD_REQUEST) == 3

    asyncio.run(scenario())


def test_owner_ends_though_a_gateway_stands_still():
    async def scenario():
        async with linked_gateway(FakeLoaderService()) as (_, _, serving, port):
            stalled = await connect(f'ws://{HOST}:{port}')
            await stalled.send(encode(Hello('front-9')))
            stalled.transport.pause_reading()
            await asyncio.sleep(0.2)
            serving.cancel()
            await asyncio.wait((serving,), timeout=2)
            return serving.done()

    assert asyncio.run(scenario())


@pytest.mark.parametrize(
    ('links', 'pause_s'), [(0, 0.06), (6, 0.072), (90, 0.24), (360, 0.3)]
)
def test_many_gateways_are_told_less_often(links, pause_s):
    assert frame_interval_s(links) == pytest.approx(pause_s)
