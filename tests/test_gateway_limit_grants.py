"""Owners grant the requests that servers with a limit take."""

import asyncio
import bisect
import contextlib

import pytest
from gateway_parts import server_entry
from scripted_server import HOST

from emulator.waiting import free_ports
from wasabicross.gateway.backend import Incarnation
from wasabicross.gateway.clock import now_s
from wasabicross.gateway.owners.owner_link import OwnerLink
from wasabicross.gateway.owners.owner_server import OwnerServer
from wasabicross.gateway.server_limits.fallback_shares import FallbackShares
from wasabicross.gateway.server_limits.gateway_shares import GatewayShares
from wasabicross.gateway.server_limits.known_limits import KnownLimits
from wasabicross.gateway.server_limits.messages import LimitsStated
from wasabicross.gateway.server_limits.owner_grants import OwnerGrants
from wasabicross.gateway.server_limits.request_limiter import RequestLimiter
from wasabicross.gateway.server_limits.sharing import LimitSharing
from wasabicross.gateway.server_limits.stated import NO_LIMITS, StatedLimits
from wasabicross.gateway.store_following.store_copy import StoreCopy
from wasabicross.gateway.store_following.store_relay import StoreRelay
from wasabicross.gateway.view import FleetView

SERVER = server_entry('s1', 'desk', 1).server
WINDOW_S = 4


def allowed(limit):
    """Return how many requests a server bears in a window."""
    return 1.5 * WINDOW_S * limit + 5


def most_in_window(sent):
    """Return the most requests in some window; they are in order."""
    return max(
        bisect.bisect_right(sent, start + WINDOW_S) - position
        for position, start in enumerate(sent)
    )


def known_limits(limit, at_s=0.0):
    """Return what is known after an answer that states a limit."""
    limits = KnownLimits()
    limits.on_answer(SERVER, StatedLimits(limit), at_s, at_s)
    return limits


@pytest.mark.parametrize('limit', [0, 0.05, 0.2, 1.2, 10, 1000])
@pytest.mark.parametrize('step_s', [0.001, 0.09])
def test_owner_grants_what_the_server_bears_and_most_of_its_limit(
    limit, step_s
):
    grants = OwnerGrants(known_limits(limit), lambda *_: True)
    times = [number * step_s for number in range(int(30 / step_s))]
    sent = [at_s for at_s in times if grants.wait_s(SERVER, at_s) == 0]
    assert not sent or most_in_window(sent) <= allowed(limit)
    assert len(sent) >= 0.8 * min(limit, 1 / step_s) * 30 - 1


def test_burst_after_a_pause_is_within_the_limit():
    grants = OwnerGrants(known_limits(1.2), lambda *_: True)
    sent = [
        100 + number / 100
        for number in range(400)
        if grants.wait_s(SERVER, 100 + number / 100) == 0
    ]
    assert len(sent) <= 6


def test_gateway_without_the_right_to_a_server_grants_nothing():
    owned = [True]
    grants = OwnerGrants(known_limits(1), lambda *_: owned[0])
    assert grants.wait_s(SERVER, 0) == 1
    owned[0] = False
    assert grants.wait_s(SERVER, 5) is None
    owned[0] = True
    # What accrued before isn't kept, as another owner may have granted it.
    assert grants.wait_s(SERVER, 10) == 1


@pytest.mark.parametrize('gateways', [1, 2, 7, 360])
@pytest.mark.parametrize('limit', [0.05, 1.2, 10])
def test_shares_without_owner_beside_its_grants_are_within_the_limit(
    gateways, limit
):
    names = [f'front-{number}' for number in range(gateways)]
    shares = [FallbackShares(GatewayShares(name, names)) for name in names]
    grants = OwnerGrants(known_limits(limit), lambda *_: True)
    incarnation = Incarnation.from_server(SERVER)
    sent = []
    for number in range(80):
        at_s = number / 4
        waits = [each.wait_s(incarnation, limit, at_s) for each in shares]
        waits.append(grants.wait_s(SERVER, at_s))
        sent.extend(at_s for wait_s in waits if wait_s == 0)
    assert not sent or most_in_window(sent) <= allowed(limit)


def test_gateways_agree_on_who_uses_a_server_without_its_owner():
    names = [f'front-{number}' for number in range(40)]
    incarnation = Incarnation.from_server(SERVER)
    users = set()
    for name in names:
        share = FallbackShares(GatewayShares(name, names))
        share.wait_s(incarnation, 1, 0)
        if share.wait_s(incarnation, 1, 100) == 0:
            users.add(name)
    assert len(users) == 4


@pytest.mark.parametrize(
    ('sent_s', 'remains'),
    [(9, True), (9.9, True), (10.1, False)],
)
def test_answer_to_an_earlier_request_does_not_end_a_limit(sent_s, remains):
    limits = known_limits(2, at_s=10)
    limits.on_answer(SERVER, NO_LIMITS, sent_s, 11)
    assert (limits.of(SERVER) != NO_LIMITS) is remains


def test_limit_changes_with_the_latest_answer():
    limits = known_limits(2, at_s=10)
    assert limits.on_answer(SERVER, StatedLimits(5), 10.5, 11)
    assert limits.of(SERVER).requests_per_s == 5
    assert not limits.on_answer(SERVER, StatedLimits(5), 11, 12)
    assert limits.on_answer(SERVER, StatedLimits(0.5), 12, 13)
    assert limits.of(SERVER).requests_per_s == 0.5


def test_restarted_server_has_no_limit():
    limits = known_limits(2)
    assert limits.of(SERVER._replace(start_ms=7)) == NO_LIMITS


@pytest.mark.parametrize(
    ('age_ms', 'requests', 'known'),
    [
        # An older message than the answer changes nothing.
        (2000, 3_000_000, 2),
        (500, 3_000_000, 3),
        (500, -1, None),
        (2000, -1, 2),
    ],
)
def test_latest_of_an_answer_and_a_message_counts(age_ms, requests, known):
    limits = known_limits(2, at_s=9)
    limits.on_message(LimitsStated('s1', 0, age_ms, requests, -1), 10)
    assert limits.of(SERVER).requests_per_s == known


class Peer:
    """A gateway that shares limits, and may own the server."""

    def __init__(self, port, *, owns=False):
        self.port = port
        self.view = FleetView()
        self.view.servers['s1'] = SERVER
        self.limiter = self.view.notices.limiter
        self.sharing = LimitSharing(
            self.limiter, lambda *_: owns, self.view.servers.get
        )
        self.link = OwnerLink(
            'front-2', HOST, port, self.view, None, limits=self.sharing
        )
        self.limiter.links = self

    async def request_grant(self, server):
        """Ask the owner over the link."""
        message = self.limiter.known.message(server, now_s())
        return await self.link.request_grant(message)

    def report_limits(self, server):
        """Tell the owner over the link."""
        self.link.report_limits(self.limiter.known.message(server, now_s()))

    def on_answer(self, limit):
        """Meet an answer that states a limit."""
        self.limiter.on_answer(SERVER, StatedLimits(limit), now_s(), now_s())

    async def send(self, count, pause_s):
        """Return how many requests may be sent."""
        sent = 0
        for _ in range(count):
            if now_s() >= self.limiter.blocked_until_s(SERVER):
                sent += await self.limiter.acquire(SERVER, now_s)
            await asyncio.sleep(pause_s)
        return sent


class NoEngines:
    """Own no engines."""

    def states(self):
        """Return no states."""
        return ()

    def on_disconnected(self, gateway):
        """Ignore a link that has ended."""


@contextlib.asynccontextmanager
async def linked_peers():
    """Run an owner and two gateways that are linked to it."""
    (port,) = free_ports(1)
    owner = Peer(port, owns=True)
    peers = [Peer(port) for _ in range(2)]
    server = OwnerServer(
        'front-1',
        NoEngines(),
        StoreRelay(),
        StoreCopy(),
        limits=owner.sharing,
    )
    tasks = [asyncio.ensure_future(server.run(HOST, port))]
    tasks += [asyncio.ensure_future(each.link.run()) for each in peers]
    try:
        await until(lambda: all(each.link.is_open for each in peers))
        yield owner, peers
    finally:
        for task in tasks:
            task.cancel()
        await asyncio.wait(tasks)


async def until(condition):
    """Wait for a condition."""
    async with asyncio.timeout(5):
        while not condition():
            await asyncio.sleep(0.005)


def test_gateways_learn_of_a_limit_that_one_was_told_and_of_its_end():
    async def scenario():
        async with linked_peers() as (owner, (second, third)):
            second.on_answer(3)
            await until(lambda: third.limiter.is_limited(SERVER))
            assert owner.limiter.is_limited(SERVER)
            third.limiter.on_answer(SERVER, NO_LIMITS, now_s(), now_s())
            await until(lambda: not second.limiter.is_limited(SERVER))

    asyncio.run(scenario())


def test_gateways_together_send_what_the_server_bears():
    async def scenario():
        async with linked_peers() as (_, peers):
            peers[0].on_answer(4)
            await until(lambda: peers[1].limiter.is_limited(SERVER))
            return await asyncio.gather(
                *(each.send(100, 0.02) for each in peers)
            )

    sent = asyncio.run(scenario())
    assert 5 <= sum(sent) <= 1.5 * 4 * 2 + 5


def test_gateway_without_an_owner_sends_within_its_share():
    async def scenario():
        limiter = RequestLimiter()
        limiter.set_gateways('front-1', ('front-1', 'front-2'))
        limiter.on_answer(SERVER, StatedLimits(40), 0, 0)
        return [
            await limiter.acquire(SERVER, lambda at_s=at_s: at_s / 1000)
            for at_s in range(1000)
        ]

    assert sum(asyncio.run(scenario())) in range(5, 8)


def test_limit_known_before_a_link_opens_reaches_the_owner():
    async def scenario():
        (port,) = free_ports(1)
        owner, second = Peer(port, owns=True), Peer(port)
        second.on_answer(2)
        server = OwnerServer(
            'front-1',
            NoEngines(),
            StoreRelay(),
            StoreCopy(),
            limits=owner.sharing,
        )
        tasks = [
            asyncio.ensure_future(server.run(HOST, port)),
            asyncio.ensure_future(second.link.run()),
        ]
        try:
            await until(lambda: owner.limiter.is_limited(SERVER))
        finally:
            for task in tasks:
                task.cancel()
            await asyncio.wait(tasks)

    asyncio.run(scenario())
