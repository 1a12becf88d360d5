"""An owner that stops answering does not delay reports to other owners."""

import asyncio
import contextlib
from types import SimpleNamespace

from gateway_parts import server_entry
from websockets.asyncio.server import serve

from emulator.waiting import free_ports
from wasabicross.gateway.backend import AdapterKey
from wasabicross.gateway.changes import OwnerRecordUpdate
from wasabicross.gateway.clock import now_s
from wasabicross.gateway.messages import Hello, UsageUpdate, decode, encode
from wasabicross.gateway.orders import LoadRequest
from wasabicross.gateway.owners.links import OwnerLinks
from wasabicross.gateway.ownership import group_of
from wasabicross.gateway.usage_tracker import UsageTracker
from wasabicross.gateway.view import FleetView

FROZEN, HEALTHY = '127.0.0.1', '127.0.0.2'
A = AdapterKey('m0', 'a1')
SERVERS = {group_of(f's{each}', 'dc').name: f's{each}' for each in range(9)}
SERVER_OF_FROZEN, SERVER_OF_HEALTHY = SERVERS['dc.0'], SERVERS['dc.1']

#: Longer than it takes to abandon and close a silent link.
TEST_DURATION_S = 3.5

#: How long a link may be silent before it is abandoned.
MAX_SILENCE_S = 1.6

MAX_DELAY_S = 0.3


class Owners:
    """Simulate a frozen owner, and one that records when usage arrives.

    :param port: port of both owners, on different IP addresses.
    """

    def __init__(self, port):
        self.port = port
        self.received_s = {}
        self.links = 0
        self.is_over = asyncio.Event()

    async def on_frozen_link(self, conn):
        """Stop reading, so that even the end of the link goes unnoticed."""
        self.links += 1
        conn.transport.pause_reading()
        await self.is_over.wait()

    async def on_healthy_link(self, conn):
        """Record the arrival of usage reports."""
        self.links += 1
        sending = asyncio.ensure_future(self._send_heartbeats(conn))
        async for frame in conn:
            for message in decode(frame):
                if isinstance(message, UsageUpdate):
                    self._record(message)
        sending.cancel()

    async def _send_heartbeats(self, conn):
        while True:
            await conn.send(encode(Hello('front-2')))
            await asyncio.sleep(0.2)

    def _record(self, message):
        for use in message.usage:
            self.received_s.setdefault(use.adapter, now_s())


@contextlib.asynccontextmanager
async def linked_owners():
    (port,) = free_ports(1)
    owners = Owners(port)
    view = FleetView()
    for group, host in (('dc.0', FROZEN), ('dc.1', HEALTHY)):
        view.apply(server_entry(SERVERS[group], 'llm', 1), 0)
        view.apply(OwnerRecordUpdate(group, host, host, 5), 0)
    usage = UsageTracker(view)
    loader_service = SimpleNamespace(states=tuple)
    cfg = SimpleNamespace(
        instance='front-3', host='127.0.0.3', data_centre='x', peer_port=port
    )
    links = OwnerLinks(cfg, view, loader_service, usage, None)
    async with (
        serve(owners.on_frozen_link, FROZEN, port, close_timeout=0.1),
        serve(owners.on_healthy_link, HEALTHY, port, ping_interval=None),
    ):
        tasks = [
            asyncio.ensure_future(each)
            for each in (links.run(), links.report_usage())
        ]
        try:
            yield owners, usage, links
        finally:
            owners.is_over.set()
            for task in tasks:
                task.cancel()
            await asyncio.wait(tasks)


def test_uses_are_told_while_another_link_is_closed():
    async def scenario():
        async with linked_owners() as (owners, usage, _):
            while owners.links < 2:
                await asyncio.sleep(0.01)
            began_s = {}
            until_s = now_s() + TEST_DURATION_S
            while now_s() < until_s:
                name = f'a{len(began_s)}'
                began_s[name] = now_s()
                usage.begin(SERVER_OF_HEALTHY, A._replace(adapter=name))
                usage.begin(SERVER_OF_FROZEN, A)
                await asyncio.sleep(0.05)
            await asyncio.sleep(MAX_DELAY_S)
        return [
            owners.received_s.get(name, until_s + MAX_DELAY_S) - at_s
            for name, at_s in began_s.items()
        ]

    assert max(asyncio.run(scenario())) < MAX_DELAY_S


def test_loads_fail_as_soon_as_their_owner_is_given_up():
    async def scenario():
        async with linked_owners() as (owners, _, links):
            while owners.links < 2:
                await asyncio.sleep(0.01)
            began_s = now_s()
            load = LoadRequest(SERVER_OF_FROZEN, A, 1, 0, 9)
            assert await links.load(FROZEN, load) == 0
            return now_s() - began_s

    assert asyncio.run(scenario()) < MAX_SILENCE_S + MAX_DELAY_S
