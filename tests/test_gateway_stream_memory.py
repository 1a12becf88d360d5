"""Gateways remember what began streams beside a change of the division."""

import asyncio
import contextlib
import time

import gateway_parts
import pytest
from gateway_parts import running_gateway
from raw_caller import status_of
from version_parts import (
    HALF,
    IDS,
    OLD,
    send,
    servers_of,
    stream,
    take_up,
)
from websockets.asyncio.server import serve

from emulator.waiting import free_ports
from wasabicross.gateway.connections.round_trips import NO_STREAM
from wasabicross.gateway.messages import (
    Hello,
    StoreUpdatesRequest,
    decode,
    encode,
)
from wasabicross.gateway.owners.owner_server import OwnerServer
from wasabicross.gateway.ownership import OwnerRecord
from wasabicross.gateway.store_following.store_copy import StoreCopy
from wasabicross.gateway.store_following.store_relay import StoreRelay
from wasabicross.gateway.stream_divisions import (
    FormerBuckets,
    StreamDivision,
    bucket_of,
)
from wasabicross.gateway.stream_messages import StreamAnswer, StreamsBegun
from wasabicross.gateway.streams.begun_streams import stream_digest
from wasabicross.gateway.streams.stream_memory import StreamMemory
from wasabicross.gateway.view import FleetView

OWNER = '127.0.0.3'
NEW = ('v2',) * len(OLD)
#: An id whose bucket moved from v1 to v2.
MOVED_ID = next(each for each in IDS if HALF[bucket_of(each)] == 'v2')
AT_MOST_S = 0.3


class NoEngines:
    """Simulate an owner without engines."""

    def states(self):
        """Return no states."""
        return ()

    def on_disconnected(self, instance):
        """Ignore the end of a link."""

    def forget_usage(self, user):
        """Ignore the restart of a gateway."""

    def on_use(self, user, use):
        """Ignore a usage report."""


class Owner:
    """An owner of the data centre, and what it was told and asked.

    :param port: port of its links.
    """

    def __init__(self, port):
        self.port = port
        self.memory = StreamMemory(FleetView())
        self.told = []
        self.asked = []
        self._on_begun = self.memory.on_begun
        self._answer = self.memory.answer
        self.memory.on_begun = self.on_begun
        self.memory.answer = self.answer

    def on_begun(self, message):
        """Record what the owner is told."""
        self.told.append(message)
        self._on_begun(message)

    def answer(self, query):
        """Record for which streams the owner is asked."""
        if query.digest != NO_STREAM:
            self.asked.append(query)
        return self._answer(query)

    @contextlib.asynccontextmanager
    async def serving(self):
        """Serve the links of gateways."""
        server = OwnerServer(
            'front-9',
            NoEngines(),
            StoreRelay(),
            StoreCopy(),
            streams=self.memory,
        )
        task = asyncio.ensure_future(server.run(OWNER, self.port))
        try:
            yield self
        finally:
            task.cancel()
            await asyncio.wait((task,))


@contextlib.asynccontextmanager
async def gateway_at(number, peer_port, servers, monkeypatch, division=None):
    """Run a gateway that knows an owner and a division of streams."""

    def settings_at(callers, ready, _peers):
        return gateway_parts_settings(callers, ready, peer_port)._replace(
            instance=f'front-{number}', host=f'127.0.0.{number}'
        )

    monkeypatch.setattr(gateway_parts, 'settings_at', settings_at)
    versions = [server.version for server in servers]
    async with running_gateway(
        servers, service='llm', versions=versions
    ) as bench:
        view = bench.gateway.view
        bench.store.refuses_divisions = True
        if division is not None:
            view.divisions['llm'] = division
        if peer_port:
            view.owners['dc.77'] = OwnerRecord(
                'dc.77', 'front-9', OWNER, 1, time.monotonic()
            )
            links = bench.gateway._links
            await until(lambda: links._stream_links())
        yield bench


gateway_parts_settings = gateway_parts.settings_at


async def until(is_true, wait_s=5):
    """Wait for a condition."""
    async with asyncio.timeout(wait_s):
        while not is_true():
            await asyncio.sleep(0.005)


def just_changed():
    """Return a division that has just come into force."""
    former = (FormerBuckets(OLD, time.monotonic()),)
    return StreamDivision(3, HALF, former=former)


async def refused(bench, sent):
    """Return the answer to a request and how long it took."""
    began_s = time.monotonic()
    received, _ = await send(bench, sent)
    return received, time.monotonic() - began_s


def test_stream_begun_at_another_gateway_just_after_a_change_goes_on(
    monkeypatch,
):
    breaks = [2]

    async def scenario():
        (port,) = free_ports(1)
        owner = Owner(port)
        first = servers_of(('v1', 'v2'), breaks)
        second = servers_of(('v1', 'v2'))
        async with (
            owner.serving(),
            gateway_at(1, port, first, monkeypatch, just_changed()) as one,
            gateway_at(2, port, second, monkeypatch, just_changed()) as two,
        ):
            await send(one, stream(MOVED_ID))
            await until(lambda: owner.told)
            _, found = await send(two, take_up(MOVED_ID))
            assert len(owner.asked) == 1
            _, again = await send(two, take_up(MOVED_ID, 'r3', 5))
            assert len(owner.asked) == 1
            return found, again

    assert asyncio.run(scenario()) == ({'v2'}, {'v2'})


def test_stream_that_the_old_buckets_began_goes_on_there(monkeypatch):
    """Another gateway hadn't learnt of the change yet."""

    async def scenario():
        (port,) = free_ports(1)
        owner = Owner(port)
        announced = StreamDivision(
            2, OLD, announced=HALF, announced_s=time.monotonic()
        )
        first = servers_of(('v1', 'v2'), [2])
        second = servers_of(('v1', 'v2'))
        async with (
            owner.serving(),
            gateway_at(1, port, first, monkeypatch, announced) as one,
            gateway_at(2, port, second, monkeypatch, just_changed()) as two,
        ):
            await send(one, stream(MOVED_ID))
            await until(lambda: owner.told)
            return (await send(two, take_up(MOVED_ID)))[1]

    assert asyncio.run(scenario()) == {'v1'}


def test_stream_begun_while_the_store_was_away_goes_on(monkeypatch):
    async def scenario():
        division = StreamDivision(1, OLD)
        servers = servers_of(('v1', 'v2'), [2])
        async with gateway_at(1, 0, servers, monkeypatch, division) as bench:
            view = bench.gateway.view
            bench.gateway._follower._on_confirmed = lambda _at_s: None
            view.confirmed_s = time.monotonic() - 6
            outage = view.divisions.outage
            await until(lambda: outage.covers('llm', time.monotonic()))
            await send(bench, stream(MOVED_ID))
            return (await send(bench, take_up(MOVED_ID)))[1]

    assert asyncio.run(scenario()) == {'v1'}


def test_stream_begun_here_goes_on_without_any_owner(monkeypatch):
    async def scenario():
        servers = servers_of(('v1', 'v2'), [2])
        async with gateway_at(
            1, 0, servers, monkeypatch, just_changed()
        ) as bench:
            await send(bench, stream(MOVED_ID))
            return (await send(bench, take_up(MOVED_ID)))[1]

    assert asyncio.run(scenario()) == {'v2'}


def test_take_up_that_no_gateway_remembers_is_refused_soon(monkeypatch):
    async def scenario():
        (port,) = free_ports(1)
        owner = Owner(port)
        servers = servers_of(('v1', 'v2'))
        async with (
            owner.serving(),
            gateway_at(2, port, servers, monkeypatch, just_changed()) as two,
        ):
            received, took_s = await refused(two, take_up(MOVED_ID))
            assert len(owner.asked) == 1
        assert not any(server.seen for server in servers)
        return received, took_s

    received, took_s = asyncio.run(scenario())
    assert status_of(received) == 503
    assert b'retry-after: 60.00' in received.lower()
    assert took_s < AT_MOST_S


def test_take_up_is_refused_soon_while_an_owner_hangs(monkeypatch):
    async def hang(conn):
        await conn.send(encode(Hello('front-9')))
        await conn.wait_closed()

    async def scenario():
        (port,) = free_ports(1)
        servers = servers_of(('v1', 'v2'))
        async with (
            serve(hang, OWNER, port, close_timeout=0.1),
            gateway_at(2, port, servers, monkeypatch, just_changed()) as two,
        ):
            return await refused(two, take_up(MOVED_ID))

    received, took_s = asyncio.run(scenario())
    assert status_of(received) == 503
    assert took_s < AT_MOST_S


def test_first_owner_that_knows_the_stream_answers(monkeypatch):
    """Another owner hangs, and the take-up would wait for its answer."""

    async def hang(conn):
        await conn.send(encode(Hello('front-8')))
        await conn.wait_closed()

    async def scenario():
        (port,) = free_ports(1)
        owner = Owner(port)
        digest = stream_digest('llm', MOVED_ID)
        owner.memory.on_begun(StreamsBegun('llm', 'v1', digest))
        servers = servers_of(('v1', 'v2'))
        async with (
            owner.serving(),
            serve(hang, '127.0.0.4', port, close_timeout=0.1),
            gateway_at(2, port, servers, monkeypatch, just_changed()) as two,
        ):
            two.gateway.view.owners['dc.78'] = OwnerRecord(
                'dc.78', 'front-8', '127.0.0.4', 1, time.monotonic()
            )
            links = two.gateway._links
            await until(lambda: len(links._stream_links()) == 2)
            return (await send(two, take_up(MOVED_ID)))[1]

    assert asyncio.run(scenario()) == {'v1'}


def test_remembered_version_that_the_division_rules_out_is_not_used(
    monkeypatch,
):
    async def scenario():
        (port,) = free_ports(1)
        owner = Owner(port)
        digest = stream_digest('llm', MOVED_ID)
        owner.memory.on_begun(StreamsBegun('llm', 'v3', digest))
        servers = servers_of(('v1', 'v2', 'v3'))
        async with (
            owner.serving(),
            gateway_at(2, port, servers, monkeypatch, just_changed()) as two,
        ):
            return await refused(two, take_up(MOVED_ID))

    received, _ = asyncio.run(scenario())
    assert status_of(received) == 503


@pytest.mark.parametrize('buckets', [OLD, HALF])
def test_nothing_is_told_while_the_division_is_settled(monkeypatch, buckets):
    async def scenario():
        (port,) = free_ports(1)
        owner = Owner(port)
        servers = servers_of(('v1', 'v2'))
        division = StreamDivision(1, buckets)
        async with (
            owner.serving(),
            gateway_at(1, port, servers, monkeypatch, division) as one,
        ):
            for each in IDS:
                await send(one, stream(each))
            await asyncio.sleep(0.2)
            memory = one.gateway._links.streams
            return len(memory._begun), len(owner.told)

    assert asyncio.run(scenario()) == (0, 0)


def test_streams_are_told_in_one_message_by_version(monkeypatch):
    async def scenario():
        (port,) = free_ports(1)
        owner = Owner(port)
        servers = servers_of(('v1', 'v2'))
        announced = StreamDivision(
            2, HALF, announced=NEW, announced_s=time.monotonic()
        )
        async with (
            owner.serving(),
            gateway_at(1, port, servers, monkeypatch, announced) as one,
        ):
            await asyncio.gather(*(send(one, stream(each)) for each in IDS))
            await until(lambda: len(told_ids(owner.told)) == len(IDS))
        return owner.told

    told = asyncio.run(scenario())
    assert len(told) < len(IDS)
    assert told_ids(told) == {
        (HALF[bucket_of(each)], stream_digest('llm', each)) for each in IDS
    }


def told_ids(told):
    """Return the versions and digests in messages."""
    return {
        (each.software_version, each.digests[start : start + 8])
        for each in told
        for start in range(0, len(each.digests), 8)
    }


def test_take_ups_are_not_told_as_beginnings(monkeypatch):
    async def scenario():
        (port,) = free_ports(1)
        owner = Owner(port)
        servers = servers_of(('v1', 'v2'), [2])
        async with (
            owner.serving(),
            gateway_at(1, port, servers, monkeypatch, just_changed()) as one,
        ):
            await send(one, stream(MOVED_ID))
            await send(one, take_up(MOVED_ID))
            await asyncio.sleep(0.25)
        return owner.told

    digest = stream_digest('llm', MOVED_ID)
    assert asyncio.run(scenario()) == [StreamsBegun('llm', 'v2', digest)]


def test_odd_answers_are_ignored(monkeypatch):
    """Answers to calls that nobody waits for, beside the right one."""

    async def answer_oddly(conn):
        await conn.send(encode(Hello('front-9')))
        async for frame in conn:
            for message in decode(frame):
                if isinstance(message, Hello | StoreUpdatesRequest):
                    continue
                call_id = message[0]
                answers = (
                    StreamAnswer(call_id + 7, True, 'v2'),
                    StreamAnswer(call_id, True, 'v1'),
                    StreamAnswer(call_id, True, 'v2'),
                )
                await conn.send(encode(*answers))

    async def scenario():
        (port,) = free_ports(1)
        servers = servers_of(('v1', 'v2'))
        async with (
            serve(answer_oddly, OWNER, port, close_timeout=0.1),
            gateway_at(2, port, servers, monkeypatch, just_changed()) as two,
        ):
            return (await send(two, take_up(MOVED_ID)))[1]

    assert asyncio.run(scenario()) == {'v1'}
