"""Links between an owner of engines and the gateways that need loads."""

import asyncio
import contextlib

import cbor2
import pytest
from websockets.asyncio.client import connect
from websockets.asyncio.server import serve

from emulator.waiting import free_ports
from wasabicross.gateway.backend import AdapterKey
from wasabicross.gateway.links import OwnerLink
from wasabicross.gateway.messages import AdapterUse, HeldAdapter, ServerState
from wasabicross.gateway.orders import LoadRequest
from wasabicross.gateway.owner_server import OwnerServer
from wasabicross.gateway.view import FleetView

HOST = '127.0.0.1'
A = AdapterKey('m0', 'a1')
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

    def on_use(self, user, use):
        """Take a use in."""
        self.uses.append((user, use))


@contextlib.asynccontextmanager
async def linked(desk):
    (port,) = free_ports(1)
    view = FleetView()
    link = OwnerLink('front-2', HOST, port, view)
    server = OwnerServer('front-1', desk)
    serving = asyncio.ensure_future(server.run(HOST, port))
    following = asyncio.ensure_future(link.run())
    try:
        await until(lambda: view.told)
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
            assert not view.told['s1'].held
            desk.held = (HeldAdapter('m0', 'a1', 2),)
            await until(lambda: view.told['s1'].held == {A: 2})

    asyncio.run(scenario())


def test_load_is_asked_for_and_answered():
    async def scenario():
        desk = FakeDesk()
        async with linked(desk) as (link, _, _, _):
            assert await link.load(WANTED) == 3
        assert desk.wanted == [WANTED]

    asyncio.run(scenario())


def test_uses_are_told():
    use = AdapterUse('s1', 'm0', 'a1', 2)

    async def scenario():
        desk = FakeDesk()
        async with linked(desk) as (link, _, _, _):
            await link.tell((use,))
            await until(lambda: desk.uses)
        assert desk.uses == [('front-2', use)]

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


def test_silent_owner_is_given_up():
    async def silent(conn):
        await asyncio.sleep(9)

    async def scenario():
        (port,) = free_ports(1)
        link = OwnerLink('front-2', HOST, port, FleetView())
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
