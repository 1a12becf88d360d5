"""The store is followed through outages, cuts and forgotten history."""

import asyncio
import contextlib

import pytest
import virtual_time

from wasabicross.gateway import store_relay
from wasabicross.gateway.backend import AdapterKey
from wasabicross.gateway.changes import AdapterVersionUpdate
from wasabicross.gateway.errors import HistoryGone, StoreUnavailable
from wasabicross.gateway.messages import StoreStatus, StoreUpdate, decode
from wasabicross.gateway.store import StoredItem, StoreResult, UnreadableEntry
from wasabicross.gateway.store_follower import (
    StoreFollower,
    retry_interval_s,
    watch_interval_s,
)
from wasabicross.gateway.store_relay import (
    STATUS_LIFETIME_S,
    RelayStatuses,
    StoreRelay,
)
from wasabicross.gateway.view import FleetView
from wasabicross.platform.store import WATCH_TIMEOUT_MARGIN_S

A = AdapterKey('m0', 'a1')


class ScriptedStore:
    """A store whose calls end as listed, and then find nothing new."""

    def __init__(self, *results):
        self._results = list(results)
        self.calls = []

    async def read(self):
        """Read everything."""
        return await self._next(('read',))

    async def watch(self, revision, wait_s):
        """Wait for changes."""
        return await self._next(('watch', revision))

    def decode(self, items, revision):
        """Decode items whose document is the version of an adapter."""
        changes = tuple(
            AdapterVersionUpdate(A, int(item.document)) for item in items
        )
        return StoreResult(changes, (), revision, items)

    async def _next(self, call):
        self.calls.append(call)
        if not self._results:
            await asyncio.sleep(9)
        result = self._results.pop(0)
        if isinstance(result, Exception):
            raise result
        return result


def follower(store, view, is_relay=False, others=None, relay=None):
    async def request_copy():
        return others

    return StoreFollower(
        store, view, relay or StoreRelay(), lambda: is_relay, request_copy
    )


def version(number, revision):
    return StoreResult((AdapterVersionUpdate(A, number),), (), revision)


@pytest.mark.parametrize(
    ('results', 'calls'),
    [
        ([version(2, 5), version(3, 9)], [('read',), ('watch', 5)]),
        # After lost history everything is read again.
        (
            [version(2, 5), HistoryGone(''), version(3, 20)],
            [('read',), ('watch', 5), ('read',)],
        ),
        # After silence the watch goes on where it was.
        (
            [version(2, 5), StoreUnavailable(''), version(3, 9)],
            [('read',), ('watch', 5), ('watch', 5)],
        ),
        # An entry that can't be read stops nothing.
        (
            [
                StoreResult((), (UnreadableEntry('op/version/x', 4, ''),), 5),
                version(3, 9),
            ],
            [('read',), ('watch', 5)],
        ),
    ],
)
def test_changes_arrive(results, calls):
    store = ScriptedStore(*results)

    async def scenario():
        view = FleetView()
        task = asyncio.ensure_future(follower(store, view).run())
        async with asyncio.timeout(5):
            while view.version_of(A) != 3:
                await asyncio.sleep(0.01)
        task.cancel()
        with contextlib.suppress(asyncio.CancelledError):
            await task

    asyncio.run(scenario())
    assert store.calls[: len(calls)] == calls


@pytest.mark.parametrize(
    ('instances', 'pause_s'), [(1, 0.61), (7, 0.67), (91, 1.4), (360, 1.4)]
)
def test_many_gateways_ask_less_often(instances, pause_s):
    assert watch_interval_s(instances) == pytest.approx(pause_s)


@pytest.mark.parametrize(('instances', 'pause_s'), [(7, 0.4), (91, 0.91)])
def test_many_gateways_retry_less_often(instances, pause_s):
    assert retry_interval_s(instances) == pytest.approx(pause_s)


def item(number, revision):
    return StoredItem('op/version/m0.a1', revision, str(number).encode())


@pytest.mark.parametrize(
    ('words', 'revision', 'age_s', 'is_current'),
    [
        ([], 5, 0, False),
        ([StoreStatus(5, False)], 5, 0, True),
        ([StoreStatus(4, False)], 5, 0, True),
        # Something was missed.
        ([StoreStatus(6, False)], 5, 0, False),
        ([StoreStatus(5, True)], 5, 0, False),
        ([StoreStatus(5, False)], 5, STATUS_LIFETIME_S, False),
        ([StoreStatus(5, True), StoreStatus(5, False)], 5, 0, True),
        ([StoreStatus(6, False), StoreStatus(5, False)], 5, 0, False),
    ],
)
def test_who_is_current(words, revision, age_s, is_current):
    relays = RelayStatuses()
    for number, word in enumerate(words):
        relays.on_status(f'10.0.0.{number}', word, 0)
    assert relays.is_current(revision, age_s) is is_current


async def led(store, view, tell, wait_s=1.2, is_relay=False):
    """Follow for a while and let a relay tell what it does meanwhile."""
    following = follower(store, view, is_relay)
    task = asyncio.ensure_future(following.run())
    await following.is_initialised.wait()
    tell(following)
    await asyncio.sleep(wait_s)
    task.cancel()
    with contextlib.suppress(asyncio.CancelledError):
        await task


def tell_news(following):
    following.on_status('10.0.0.1', StoreStatus(5, False))
    following.on_update(StoreUpdate(5, 7, (item(3, 7),)))
    following.on_status('10.0.0.1', StoreStatus(7, False))


def tell_news_twice(following):
    tell_news(following)
    following.on_update(StoreUpdate(5, 7, (item(3, 7),)))


def tell_overlapping_news(following):
    """An item that is known already is older than what is known."""
    following.on_update(StoreUpdate(4, 7, (item(9, 5), item(3, 7))))
    following.on_status('10.0.0.1', StoreStatus(7, False))


def tell_after_a_gap(following):
    following.on_update(StoreUpdate(6, 7, (item(9, 7),)))
    following.on_status('10.0.0.1', StoreStatus(7, False))


def tell_loss(following):
    following.on_status('10.0.0.1', StoreStatus(5, True))


@pytest.mark.parametrize(
    ('tell', 'is_relay', 'calls', 'known'),
    [
        (tell_news, False, [('read',)], 3),
        (tell_news_twice, False, [('read',)], 3),
        (tell_overlapping_news, False, [('read',)], 3),
        (tell_after_a_gap, False, [('read',), ('watch', 5)], 4),
        (tell_loss, False, [('read',), ('watch', 5)], 4),
        # Others rely on a relay, so it asks whatever it is told.
        (tell_news, True, [('read',), ('watch', 7)], 4),
    ],
)
def test_relays_spare_calls_to_the_store(tell, is_relay, calls, known):
    store = ScriptedStore(version(2, 5), version(4, 8))
    view = FleetView()
    is_asked = len(calls) > 1
    asyncio.run(led(store, view, tell, is_relay=is_relay))
    assert store.calls[: len(calls)] == calls
    assert is_asked or len(store.calls) == 1
    assert view.version_of(A) == known


def test_a_gateway_that_follows_a_relay_is_none():
    store = ScriptedStore(version(2, 5))
    relay = StoreRelay()

    async def nobody():
        return None

    async def scenario():
        following = StoreFollower(
            store, FleetView(), relay, lambda: False, nobody
        )
        task = asyncio.ensure_future(following.run())
        await following.is_initialised.wait()
        assert relay.status == StoreStatus(5, False)
        following.on_status('10.0.0.1', StoreStatus(5, False))
        async with asyncio.timeout(5):
            while not relay.status.is_lost:
                await asyncio.sleep(0.01)
        task.cancel()
        with contextlib.suppress(asyncio.CancelledError):
            await task

    asyncio.run(scenario())
    assert store.calls == [('read',)]


def test_news_that_came_during_a_watch_are_not_undone():
    class LateStore(ScriptedStore):
        async def watch(self, revision, wait_s):
            """Answer with what was true before news that come meanwhile."""
            self.calls.append(('watch', revision))
            if revision == 9:
                is_asked_again.set()
                await asyncio.sleep(9)
            following.on_update(StoreUpdate(5, 9, (item(5, 9),)))
            return self.decode((item(1, 6), item(2, 7)), 7)

    class LastWins(FleetView):
        def apply(self, change, now_s):
            """Keep the last version that was told."""
            self.versions[change.key] = change.version

    async def scenario():
        task = asyncio.ensure_future(following.run())
        async with asyncio.timeout(20):
            await is_asked_again.wait()
        task.cancel()
        with contextlib.suppress(asyncio.CancelledError):
            await task

    is_asked_again = asyncio.Event()
    store = LateStore(version(1, 5))
    view = LastWins()
    following = follower(store, view)
    asyncio.run(scenario())
    assert store.calls == [('read',), ('watch', 5), ('watch', 9)]
    assert view.versions[A] == 5


#: A change has to be known so soon, also where the only relay of a data centre
#: isn't answered any more, and how much of it a follower needs for itself.
KNOWN_S = 2.0
FOLLOWER_S = 0.3


def test_followers_hear_in_time_that_their_relay_is_not_answered(monkeypatch):
    class SilentStore(ScriptedStore):
        async def watch(self, revision, wait_s):
            """Be silent for as long as a call waits."""
            await asyncio.sleep(wait_s + WATCH_TIMEOUT_MARGIN_S)
            raise StoreUnavailable('silent')

    told = asyncio.Event()

    def broadcast(followers, frame):
        assert followers == {'a follower'}
        (status,) = decode(frame)
        if status.is_lost:
            told.set()

    async def scenario():
        relay = StoreRelay()
        relay.add('a follower')
        following = follower(
            SilentStore(version(2, 5)), FleetView(), is_relay=True, relay=relay
        )
        task = asyncio.ensure_future(following.run())
        await following.is_initialised.wait()
        read_s = asyncio.get_running_loop().time()
        async with asyncio.timeout(10):
            await told.wait()
        task.cancel()
        with contextlib.suppress(asyncio.CancelledError):
            await task
        return asyncio.get_running_loop().time() - read_s

    monkeypatch.setattr(store_relay, 'broadcast', broadcast)
    assert virtual_time.run(scenario()) + FOLLOWER_S < KNOWN_S


DOWN = StoreUnavailable('down')


@pytest.mark.parametrize(
    ('results', 'others', 'known', 'calls'),
    [
        # Nobody knows anything: the store is asked until it answers.
        ([DOWN, version(2, 5)], None, 2, [('read',), ('read',)]),
        # Another gateway knows, and the store is followed from there.
        (
            [DOWN, DOWN, version(4, 9)],
            StoreUpdate(0, 7, (item(3, 7),)),
            4,
            [('read',), ('watch', 7), ('watch', 7)],
        ),
        (
            [DOWN],
            StoreUpdate(0, 7, (item(3, 7),)),
            3,
            [('read',), ('watch', 7)],
        ),
        # What was read once isn't replaced by an older copy.
        (
            [version(5, 8), DOWN],
            StoreUpdate(0, 7, (item(3, 7),)),
            5,
            [('read',), ('watch', 8)],
        ),
    ],
)
def test_a_start_without_the_store(results, others, known, calls):
    store = ScriptedStore(*results)
    view = FleetView()

    async def scenario():
        following = follower(store, view, others=others)
        task = asyncio.ensure_future(following.run())
        async with asyncio.timeout(5):
            while view.version_of(A) != known or len(store.calls) < len(calls):
                await asyncio.sleep(0.01)
        assert following.is_initialised.is_set()
        task.cancel()
        with contextlib.suppress(asyncio.CancelledError):
            await task

    asyncio.run(scenario())
    assert store.calls[: len(calls)] == calls


def test_followers_hear_what_a_relay_has_read_anew():
    """After lost history a reading shows what changed, and what has gone."""

    def snapshot(revision, *items):
        return StoreResult((), (), revision, items)

    old = StoredItem('servers/s1', 3, b'1')
    kept = StoredItem('servers/s2', 4, b'1')
    new = StoredItem('servers/s3', 19, b'1')
    results = (snapshot(5, old, kept), HistoryGone(''), snapshot(20, kept, new))
    store = ScriptedStore(*results)
    told = []

    class Relay(StoreRelay):
        def forward(self, since, seen):
            told.append((since, seen.revision, seen.items))

    async def scenario():
        follows = follower(store, FleetView(), is_relay=True, relay=Relay())
        task = asyncio.ensure_future(follows.run())
        while len(store.calls) < 4:
            await asyncio.sleep(0.01)
        task.cancel()

    asyncio.run(scenario())
    assert told[0] == (5, 5, ())
    assert told[1] == (5, 20, (new, StoredItem('servers/s1', 20, None)))
