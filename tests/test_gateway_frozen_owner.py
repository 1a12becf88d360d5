"""An owner that stops answering delays no word to the other owners."""

import asyncio
import contextlib
from types import SimpleNamespace

from gateway_parts import server_entry
from websockets.asyncio.server import serve

from emulator.waiting import free_ports
from wasabicross.gateway.backend import AdapterKey
from wasabicross.gateway.changes import OwnerRecordUpdate
from wasabicross.gateway.clock import now_s
from wasabicross.gateway.links import OwnerLinks
from wasabicross.gateway.messages import Hello, UsageUpdate, decode, encode
from wasabicross.gateway.orders import LoadRequest
from wasabicross.gateway.ownership import group_of
from wasabicross.gateway.usage_tracker import UsageTracker
from wasabicross.gateway.view import FleetView

FROZEN, SOUND = '127.0.0.1', '127.0.0.2'
A = AdapterKey('m0', 'a1')
SERVERS = {group_of(f's{each}', 'dc').name: f's{each}' for each in range(9)}
OF_FROZEN, OF_SOUND = SERVERS['dc.0'], SERVERS['dc.1']

#: Longer than a silent link takes to be given up and closed.
PLAY_S = 3.5

#: How long a link may be silent.
SILENCE_S = 1.6

BOUND_S = 0.3


class Owners:
    """A frozen owner and one that notes when it hears of uses.

    :param port: where both listen, at different IP numbers.
    """

    def __init__(self, port):
        self.port = port
        self.heard_s = {}
        self.links = 0
        self.is_over = asyncio.Event()

    async def on_frozen_link(self, conn):
        """Read nothing more, not even the end of the link."""
        self.links += 1
        conn.transport.pause_reading()
        await self.is_over.wait()

    async def on_sound_link(self, conn):
        """Note uses as they come."""
        self.links += 1
        saying = asyncio.ensure_future(self._say(conn))
        async for frame in conn:
            for message in decode(frame):
                if isinstance(message, UsageUpdate):
                    self._note(message)
        saying.cancel()

    async def _say(self, conn):
        while True:
            await conn.send(encode(Hello('front-2')))
            await asyncio.sleep(0.2)

    def _note(self, message):
        for use in message.usage:
            self.heard_s.setdefault(use.adapter, now_s())


@contextlib.asynccontextmanager
async def playing():
    (port,) = free_ports(1)
    owners = Owners(port)
    view = FleetView()
    for group, host in (('dc.0', FROZEN), ('dc.1', SOUND)):
        view.apply(server_entry(SERVERS[group], 'llm', 1), 0)
        view.apply(OwnerRecordUpdate(group, host, host, 5), 0)
    uses = UsageTracker(view)
    desk = SimpleNamespace(states=tuple)
    cfg = SimpleNamespace(
        instance='front-3', host='127.0.0.3', data_centre='x', peer_port=port
    )
    links = OwnerLinks(cfg, view, desk, uses, None)
    async with (
        serve(owners.on_frozen_link, FROZEN, port, close_timeout=0.1),
        serve(owners.on_sound_link, SOUND, port, ping_interval=None),
    ):
        tasks = [
            asyncio.ensure_future(each)
            for each in (links.run(), links.report_usage())
        ]
        try:
            yield owners, uses, links
        finally:
            owners.is_over.set()
            for task in tasks:
                task.cancel()
            await asyncio.wait(tasks)


def test_uses_are_told_while_another_link_is_closed():
    async def scenario():
        async with playing() as (owners, uses, _):
            while owners.links < 2:
                await asyncio.sleep(0.01)
            began_s = {}
            until_s = now_s() + PLAY_S
            while now_s() < until_s:
                name = f'a{len(began_s)}'
                began_s[name] = now_s()
                uses.begin(OF_SOUND, A._replace(adapter=name))
                uses.begin(OF_FROZEN, A)
                await asyncio.sleep(0.05)
            await asyncio.sleep(BOUND_S)
        return [
            owners.heard_s.get(name, until_s + BOUND_S) - at_s
            for name, at_s in began_s.items()
        ]

    assert max(asyncio.run(scenario())) < BOUND_S


def test_loads_fail_as_soon_as_their_owner_is_given_up():
    async def scenario():
        async with playing() as (owners, _, links):
            while owners.links < 2:
                await asyncio.sleep(0.01)
            began_s = now_s()
            load = LoadRequest(OF_FROZEN, A, 1, 0, 9)
            assert await links.load(FROZEN, load) == 0
            return now_s() - began_s

    assert asyncio.run(scenario()) < SILENCE_S + BOUND_S
