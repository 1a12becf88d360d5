"""Owners forward store updates, their status and a copy of the store."""

import asyncio

from test_gateway_links import (
    HOST,
    LOAD_REQUEST,
    FakeLoaderService,
    linked_gateway,
    until,
)

from emulator.waiting import free_ports
from wasabicross.gateway.messages import (
    StoreStatus,
    StoreUpdate,
)
from wasabicross.gateway.settings import Address
from wasabicross.gateway.store import StoredItem, StoreResult
from wasabicross.gateway.store_following.store_copy import (
    StoreCopy,
    request_copy,
)

ITEM = StoredItem('op/version/m0.a1', 8, b'{}')


def test_news_of_the_store_are_passed_on():
    async def scenario():
        parts = []
        async with linked_gateway(
            FakeLoaderService(), is_relay=True, relay_parts=parts
        ):
            relay, follower = parts
            await until(lambda: StoreStatus(0, True) in follower.statuses)
            relay.forward(7, StoreResult((), (), 9, (ITEM,)))
            await until(lambda: follower.updates)
            await until(lambda: StoreStatus(9, False) in follower.statuses)
            relay.on_store_lost()
            await until(lambda: StoreStatus(9, True) in follower.statuses)
        assert follower.updates == [StoreUpdate(7, 9, (ITEM,))]

    asyncio.run(scenario())


def test_words_count_only_where_news_are_asked_for():
    async def scenario():
        parts = []
        async with linked_gateway(FakeLoaderService(), relay_parts=parts) as (
            _,
            view,
            _,
            _,
        ):
            relay, follower = parts
            relay.forward(7, StoreResult((), (), 9, (ITEM,)))
            received_s = view.reported['s1'].received_s
            await until(lambda: view.reported['s1'].received_s > received_s)
        assert (follower.statuses, follower.updates) == ([], [])

    asyncio.run(scenario())


def test_a_gateway_that_starts_gets_a_copy_of_the_store():
    copy = StoreCopy()
    copy.replace((ITEM, StoredItem('servers/s1', 7, b'{}')), 9)
    copy.apply((StoredItem('servers/s1', 11, None),), 11)
    (unused_port,) = free_ports(1)

    async def scenario():
        async with linked_gateway(FakeLoaderService(), copy=copy) as (
            link,
            _,
            _,
            port,
        ):
            addresses = [Address(HOST, unused_port), Address(HOST, port)]
            store_update = await request_copy('front-3', addresses)
            assert await link.load(LOAD_REQUEST) == 3
        return store_update

    assert asyncio.run(scenario()) == StoreUpdate(0, 11, (ITEM,))


def test_a_copy_of_nothing_is_none():
    async def scenario():
        async with linked_gateway(FakeLoaderService()) as (_, _, _, port):
            return await request_copy('front-3', [Address(HOST, port)])

    assert asyncio.run(scenario()) is None
