"""Owners pass on what they know of the store."""

import asyncio

from test_gateway_links import HOST, WANTED, FakeDesk, linked, until

from emulator.waiting import free_ports
from wasabicross.gateway.messages import (
    StoreStatus,
    StoreUpdate,
)
from wasabicross.gateway.settings import Address
from wasabicross.gateway.store import StoredItem, StoreResult
from wasabicross.gateway.store_copy import StoreCopy, request_copy

ITEM = StoredItem('op/version/m0.a1', 8, b'{}')


def test_news_of_the_store_are_passed_on():
    async def scenario():
        parts = []
        async with linked(FakeDesk(), is_relay=True, relayed=parts):
            relay, news = parts
            await until(lambda: StoreStatus(0, True) in news.words)
            relay.forward(7, StoreResult((), (), 9, (ITEM,)))
            await until(lambda: news.news)
            await until(lambda: StoreStatus(9, False) in news.words)
            relay.on_store_lost()
            await until(lambda: StoreStatus(9, True) in news.words)
        assert news.news == [StoreUpdate(7, 9, (ITEM,))]

    asyncio.run(scenario())


def test_words_count_only_where_news_are_asked_for():
    async def scenario():
        parts = []
        async with linked(FakeDesk(), relayed=parts) as (_, view, _, _):
            relay, news = parts
            relay.forward(7, StoreResult((), (), 9, (ITEM,)))
            received_s = view.reported['s1'].received_s
            await until(lambda: view.reported['s1'].received_s > received_s)
        assert (news.words, news.news) == ([], [])

    asyncio.run(scenario())


def test_a_gateway_that_starts_gets_a_copy_of_the_store():
    copy = StoreCopy()
    copy.replace((ITEM, StoredItem('servers/s1', 7, b'{}')), 9)
    copy.apply((StoredItem('servers/s1', 11, None),), 11)
    (gone,) = free_ports(1)

    async def scenario():
        async with linked(FakeDesk(), copy=copy) as (link, _, _, port):
            addresses = [Address(HOST, gone), Address(HOST, port)]
            news = await request_copy('front-3', addresses)
            assert await link.load(WANTED) == 3
        return news

    assert asyncio.run(scenario()) == StoreUpdate(0, 11, (ITEM,))


def test_a_copy_of_nothing_is_none():
    async def scenario():
        async with linked(FakeDesk()) as (_, _, _, port):
            return await request_copy('front-3', [Address(HOST, port)])

    assert asyncio.run(scenario()) is None
