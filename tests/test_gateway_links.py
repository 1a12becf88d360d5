"""Links between an owner of engines and the gateways that need loads."""

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
from wasabicross.gateway import owner_link
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
from wasabicross.gateway.owner_link import OwnerLink
from wasabicross.gateway.owner_server import (
    OwnerServer,
    frame_interval_s,
)
from wasabicross.gateway.store import StoredItem, StoreResult
from wasabicross.gateway.store_copy import StoreCopy
from wasabicross.gateway.store_relay import StoreRelay
from wasabicross.gateway.view import FleetView

HOST = '127.0.0.1'
A = AdapterKey('m0', 'a1')
#: Connections that fill a listener's backlog.
WAITING = []
WANTED = LoadRequest('s1', A, 2, 0, 1.0)


class FakeDesk:
    """An owner's desk that holds one engine."""

    def __init__(self):
        self.held = ()
        self.wanted = []
        self.uses = []
        self.version = 3

    def states(self):
        """Return the state of the engine."""
        return (ServerState('s1', 5, 0, 1, True, self.held),)

    async def load(self, wanted):
        """Load, or wait for ever where there is no version."""
        self.wanted.append(wanted)
        while not self.version:
            await asyncio.sleep(0.01)
        return self.version

    def forget_usage(self, user):
        """Take no notice."""

    def on_use(self, user, use):
        """Take a use in."""
        self.uses.append((user, use))


class FakeNews:
    """Keeps what relays tell."""

    def __init__(self):
        self.words = []
        self.news = []

    def on_status(self, relay, word):
        """Keep a word."""
        self.words.append(word)

    def on_update(self, news):
        """Keep news."""
        self.news.append(news)


@contextlib.asynccontextmanager
async def linked(desk, is_relay=False, relayed=None, copy=None):
    (port,) = free_ports(1)
    view = FleetView()
    relay = StoreRelay()
    news = FakeNews()
    link = OwnerLink('front-2', HOST, port, view, news)
    link.is_relay = is_relay
    server = OwnerServer('front-1', desk, relay, copy or StoreCopy())
    serving = asyncio.ensure_future(server.run(HOST, port))
    following = asyncio.ensure_future(link.run())
    try:
        await until(lambda: view.reported)
        if relayed is not None:
            relayed.extend((relay, news))
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
        desk = FakeDesk()
        async with linked(desk) as (_, view, _, _):
            assert not view.reported['s1'].held
            desk.held = (HeldAdapter('m0', 'a1', 2),)
            await until(lambda: view.reported['s1'].held == {A: 2})

    asyncio.run(scenario())


def test_load_is_asked_for_and_answered():
    async def scenario():
        desk = FakeDesk()
        async with linked(desk) as (link, _, _, _):
            assert await link.load(WANTED) == 3
        assert desk.wanted == [WANTED]

    asyncio.run(scenario())


def test_uses_are_told():
    use = AdapterUsage('s1', 'm0', 'a1', 2)

    async def scenario():
        desk = FakeDesk()
        async with linked(desk) as (link, _, _, _):
            link.report_usage((use,))
            await until(lambda: desk.uses)
        assert desk.uses == [('front-2', use)]

    asyncio.run(scenario())


def test_a_link_that_opens_asks_for_all_uses():
    async def scenario():
        async with linked(FakeDesk()) as (link, _, serving, port):
            assert link.needs_usage
            link.needs_usage = False
            serving.cancel()
            await until(lambda: not link.is_open)
            server = OwnerServer(
                'front-1', FakeDesk(), StoreRelay(), StoreCopy()
            )
            again = asyncio.ensure_future(server.run(HOST, port))
            await until(lambda: link.needs_usage)
            again.cancel()

    asyncio.run(scenario())


def test_load_fails_at_once_when_the_owner_goes():
    async def scenario():
        desk = FakeDesk()
        desk.version = 0
        async with linked(desk) as (link, _, serving, _):
            loading = asyncio.ensure_future(link.load(WANTED))
            await until(lambda: desk.wanted)
            serving.cancel()
            async with asyncio.timeout(2):
                assert await loading == 0
            assert await link.load(WANTED) == 0

    asyncio.run(scenario())


def test_a_machine_that_is_off_is_dialled_again_soon(monkeypatch):
    # Its full backlog drops the first packets, as a machine without power does.
    monkeypatch.setattr(owner_link, '_OPEN_TIMEOUT_S', 60)
    monkeypatch.setattr(owner_link, '_CONNECT_TIMEOUT_S', 0.05, raising=False)
    monkeypatch.setattr(owner_link, '_RECONNECT_DELAY_S', 0.05)
    view = FleetView()

    async def scenario():
        (port,) = free_ports(1)
        link = OwnerLink('front-2', HOST, port, view, FakeNews())
        off = full_listener(port)
        following = asyncio.ensure_future(link.run())
        await asyncio.sleep(0.1)
        off.close()
        server = OwnerServer('front-1', FakeDesk(), StoreRelay(), StoreCopy())
        serving = asyncio.ensure_future(server.run(HOST, port))
        # The kernel sends a dropped packet again after a second.
        async with asyncio.timeout(0.9):
            await until(lambda: view.reported)
        for task in (serving, following):
            task.cancel()
        await asyncio.wait((serving, following))

    asyncio.run(scenario())


def full_listener(port):
    """Listen on a port without a place for any further connection."""
    listener = socket.socket()
    listener.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
    listener.bind((HOST, port))
    listener.listen(0)
    for _ in range(3):
        waiting = socket.socket()
        waiting.setblocking(False)
        waiting.connect_ex((HOST, port))
        WAITING.append(waiting)
    return listener


def test_silent_owner_is_given_up():
    async def silent(conn):
        await asyncio.sleep(9)

    async def scenario():
        (port,) = free_ports(1)
        link = OwnerLink('front-2', HOST, port, FleetView(), FakeNews())
        async with serve(silent, HOST, port):
            following = asyncio.ensure_future(link.run())
            await until(lambda: link.is_open)
            async with asyncio.timeout(3):
                assert await link.load(WANTED) == 0
            following.cancel()
            await asyncio.wait((following,))

    asyncio.run(scenario())


@pytest.mark.parametrize(
    'frame', ['text', b'\xff', cbor2.dumps([]), cbor2.dumps([[0, 7]])]
)
def test_stranger_is_closed_and_others_go_on(frame):
    async def scenario():
        desk = FakeDesk()
        async with linked(desk) as (link, _, _, port):
            async with connect(f'ws://{HOST}:{port}') as stranger:
                await stranger.send(frame)
                async with asyncio.timeout(2):
                    await stranger.wait_closed()
            assert await link.load(WANTED) == 3

    asyncio.run(scenario())


def test_gateway_that_reads_nothing_is_dropped():
    # What can't be made shorter, so that the bytes wait.
    content = random.Random(20261204).randbytes(500_000)
    big = StoredItem('op/config', 8, content)

    async def scenario():
        parts = []
        async with linked(FakeDesk(), relayed=parts) as (link, _, _, port):
            relay, _ = parts
            stuck = await connect(f'ws://{HOST}:{port}', max_queue=1)
            await stuck.send(encode(Hello('front-9')))
            await stuck.send(encode(StoreUpdatesRequest('front-9')))
            stuck.transport.pause_reading()
            await asyncio.sleep(0.2)
            for number in range(20):
                relay.forward(number, StoreResult((), (), number + 1, (big,)))
            await asyncio.sleep(0.3)
            stuck.transport.resume_reading()
            with pytest.raises(ConnectionClosed):
                async with asyncio.timeout(5):
                    while True:
                        await stuck.recv()
            assert await link.load(WANTED) == 3

    asyncio.run(scenario())


def test_owner_ends_though_a_gateway_stands_still():
    async def scenario():
        async with linked(FakeDesk()) as (_, _, serving, port):
            stuck = await connect(f'ws://{HOST}:{port}')
            await stuck.send(encode(Hello('front-9')))
            stuck.transport.pause_reading()
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
