"""Gateways tell each other which servers crashed and which parts are sound."""

import asyncio
import contextlib

import pytest

from emulator.waiting import free_ports
from wasabicross.gateway.clock import now_s
from wasabicross.gateway.crash_messages import PartsCleared, ServerCrash
from wasabicross.gateway.crashes import crash_evidence
from wasabicross.gateway.crashes.crash_evidence import (
    Crash,
    CrashEvidence,
    CrashKey,
)
from wasabicross.gateway.crashes.crash_sharing import CrashSharing
from wasabicross.gateway.messages import decode, encode
from wasabicross.gateway.owners.owner_link import OwnerLink
from wasabicross.gateway.owners.owner_server import OwnerServer
from wasabicross.gateway.store_following.store_copy import StoreCopy
from wasabicross.gateway.store_following.store_relay import StoreRelay
from wasabicross.gateway.view import FleetView

HOST = '127.0.0.1'
DEADLY, ANNE = 'd4', 'a1'
LOOK_UP = f'request/{7:032x}'


class NoEngines:
    """Simulate an owner without engines."""

    def states(self):
        """Return no states."""
        return ()

    def on_disconnected(self, instance):
        """Ignore the end of a link."""


class Peer:
    """What one gateway knows, and its side of the links.

    :param port: port of the owner.
    """

    def __init__(self, port):
        self.port = port
        self.evidence = CrashEvidence()
        self.sharing = CrashSharing(self.evidence)
        self.link = OwnerLink(
            'front-2', HOST, port, FleetView(), None, self.sharing
        )

    @contextlib.asynccontextmanager
    async def linked(self):
        """Keep a link to the owner."""
        self.sharing.to_owners = self.link.report_crash
        async with running(self.link.run()):
            await until(lambda: self.link.is_open)
            yield self

    @contextlib.asynccontextmanager
    async def owning(self):
        """Serve the links of others as an owner."""
        server = OwnerServer(
            'front-1', NoEngines(), StoreRelay(), StoreCopy(), self.sharing
        )
        async with running(server.run(HOST, self.port)):
            yield self

    def convicts(self):
        """Tell whether the deadly part is convicted here."""
        return DEADLY in self.evidence.convicted()

    def report(self, number, *parts, age_s=0.0):
        """Report the crash of a server that this gateway saw."""
        key = CrashKey(f's{number}', 0)
        self.sharing.report_crash(Crash(key, now_s() - age_s, frozenset(parts)))


@contextlib.asynccontextmanager
async def running(coroutine):
    """Run a coroutine meanwhile."""
    task = asyncio.ensure_future(coroutine)
    try:
        yield
    finally:
        task.cancel()
        await asyncio.wait((task,))


async def until(is_true):
    """Wait for a condition."""
    async with asyncio.timeout(5):
        while not is_true():
            await asyncio.sleep(0.002)


def run(scenario):
    """Run a scenario with an owner and two more gateways."""
    (port,) = free_ports(1)
    asyncio.run(scenario(*(Peer(port) for _ in range(3))))


def test_crashes_seen_by_different_gateways_convict_at_all():
    """Each gateway saw one crash only, and none convicted the part."""

    async def scenario(owner, second, third):
        async with owner.owning(), second.linked(), third.linked():
            second.report(1, DEADLY, ANNE, age_s=1)
            third.report(2, DEADLY)
            for each in (owner, second, third):
                await until(each.convicts)

    run(scenario)


def test_a_gateway_that_starts_later_learns_of_all_crashes():

    async def scenario(owner, second, third):
        async with owner.owning(), second.linked():
            second.report(1, DEADLY, age_s=1)
            second.report(2, DEADLY)
            await until(owner.convicts)
            async with third.linked():
                await until(third.convicts)

    run(scenario)


def test_an_owner_that_restarts_learns_of_all_crashes():

    async def scenario(owner, second, third):
        async with second_linked_alone(second):
            second.report(1, DEADLY, age_s=1)
            second.report(2, DEADLY)
            async with owner.owning(), third.linked():
                await until(owner.convicts)
                await until(third.convicts)

    run(scenario)


@contextlib.asynccontextmanager
async def second_linked_alone(peer):
    """Keep dialling an owner that doesn't serve yet."""
    peer.sharing.to_owners = peer.link.report_crash
    async with running(peer.link.run()):
        yield


def test_a_sound_run_at_one_gateway_clears_at_all():

    async def scenario(owner, second, third):
        async with owner.owning(), second.linked(), third.linked():
            second.report(1, ANNE, age_s=1)
            await until(lambda: third.evidence.suspects())
            third.sharing.report_sound((ANNE,))
            for each in (owner, second, third):
                await until(lambda: not each.evidence.suspects())  # noqa: B023

    run(scenario)


def test_a_gateway_that_has_just_run_a_part_soundly_says_so():

    async def scenario(owner, second, third):
        async with owner.owning(), second.linked(), third.linked():
            third.sharing.report_sound((ANNE,))
            second.report(1, ANNE, DEADLY)
            for each in (owner, second, third):
                await until(
                    lambda: each.evidence.suspects() == {DEADLY}  # noqa: B023
                )

    run(scenario)


@pytest.mark.parametrize('found_by', [1, 2])
def test_a_look_up_that_ran_at_one_gateway_is_convicted_later_at_all(found_by):
    """Its copies were refused at those that hadn't run it."""

    async def scenario(*peers):
        owner, second, third = peers

        async def counted(crashes):
            for each in peers:
                await until(
                    lambda: each.evidence.crashes_of(LOOK_UP) == crashes  # noqa: B023
                )

        async with owner.owning(), second.linked(), third.linked():
            second.evidence.clear((LOOK_UP,), now_s() - 30)
            peers[found_by].report(1, LOOK_UP, age_s=2)
            peers[found_by].report(2, LOOK_UP, age_s=1)
            await counted(2)
            for each in peers:
                await until(lambda: not each.evidence.convicted())  # noqa: B023
            peers[found_by].report(3, LOOK_UP)
            for each in peers:
                await until(each.evidence.convicted)

    run(scenario)


def test_a_run_long_before_a_crash_is_told_once(recorded):
    """Gateways would tell it round and round."""
    sharing, sent = recorded
    crash = ServerCrash('s1', 5, 1000, (LOOK_UP,))
    told = PartsCleared(30_000, (LOOK_UP,))
    for _ in range(3):
        sharing.on_message(crash)
        sharing.on_message(told)
    assert sent == [crash, told]


@pytest.fixture
def recorded():
    """Return a gateway's sharing and the messages that it sends."""
    sharing = CrashSharing(CrashEvidence())
    sent = []
    sharing.to_linked = sent.append
    sharing.to_owners = sent.append
    return sharing, sent


def test_what_is_known_is_not_sent_again(recorded):
    """Owners would send the same crash round and round."""
    sharing, sent = recorded
    message = ServerCrash('s1', 5, 0, (DEADLY,))
    for _ in range(3):
        sharing.on_message(message)
    assert sent == [message]


def test_a_gateway_that_reaches_another_owner_only_learns_of_a_crash():
    """The owner that heard of it from an owner told nobody."""

    async def scenario(owner, second, third):
        (port,) = free_ports(1)
        third.port = port
        last = Peer(port)
        async with owner.owning(), second.linked():
            async with third.linked(), third.owning(), last.linked():
                second.report(1, DEADLY)
                await until(last.evidence.suspects)

    run(scenario)


def test_sound_runs_of_unsuspected_parts_are_not_sent(recorded):
    sharing, sent = recorded
    sharing.report_sound((ANNE, DEADLY))
    assert not sent


@pytest.mark.parametrize(
    'parts', [(7, None), ('x' * 500,), tuple(f'p{each}' for each in range(900))]
)
def test_what_another_gateway_sends_is_bounded(recorded, parts):
    sharing, _ = recorded
    sharing.on_message(ServerCrash('s1', 5, 0, parts))
    for crash in sharing.table():
        assert len(crash.parts) <= crash_evidence.MAX_CAUSES
        assert all(len(part) <= 64 for part in crash.parts)


@pytest.mark.parametrize(
    'message',
    [ServerCrash('s1', 5, 40, (DEADLY, ANNE)), PartsCleared(3, (ANNE,))],
)
def test_messages_arrive_as_sent(message):
    assert decode(encode(message)) == (message,)
