"""Following the store through outages, lost answers and compacted history."""

import asyncio
import contextlib

import pytest
import virtual_time

from wasabicross.gateway.backend import AdapterKey
from wasabicross.gateway.changes import AdapterVersionUpdate
from wasabicross.gateway.errors import HistoryGone, StoreUnavailable
from wasabicross.gateway.messages import StoreStatus, StoreUpdate, decode
from wasabicross.gateway.store import StoredItem, StoreResult, UnreadableEntry
from wasabicross.gateway.store_following import store_relay
from wasabicross.gateway.store_following.store_follower import (
    StoreFollower,
    retry_interval_s,
    watch_interval_s,
)
from wasabicross.gateway.store_following.store_relay import (
    STATUS_LIFETIME_S,
    RelayStatuses,
    StoreRelay,
)
from wasabicross.gateway.view import FleetView
from wasabicross.platform.store import WATCH_TIMEOUT_MARGIN_S

A = AdapterKey('m0', 'a1')


class ScriptedStore:
    """Return the given results in turn, and nothing new after them."""

    def __init__(self, *results):
        self._results = list(results)
        self.calls = []

    async def read(self):
        """Return the next result for a full read."""
        return await self._next(('read',))

    async def watch(self, revision, wait_s):
        """Return the next result for a watch."""
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
        # When the store no longer has the history, all is read again.
        (
            [version(2, 5), HistoryGone(''), version(3, 20)],
            [('read',), ('watch', 5), ('read',)],
        ),
        # When the store does not answer, the watch resumes at its revision.
        (
            [version(2, 5), StoreUnavailable(''), version(3, 9)],
            [('read',), ('watch', 5), ('watch', 5)],
        ),
        # An unreadable entry does not stop following.
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
        # The relay has a newer revision, so an update was missed.
        ([StoreStatus(6, False)], 5, 0, False),
        ([StoreStatus(5, True)], 5, 0, False),
        ([StoreStatus(5, False)], 5, STATUS_LIFETIME_S, False),
        ([StoreStatus(5, True), StoreStatus(5, False)], 5, 0, True),
        ([StoreStatus(6, False), StoreStatus(5, False)], 5, 0, False),
    ],
)
def test_who_is_current(words, revision, age_s, is_current):
    relays = RelayStatuses()
    for number, status in enumerate(words):
        relays.on_status(f'10.0.0.{number}', status, 0)
    assert relays.is_current(revision, age_s) is is_current


async def follow_for(store, view, tell, wait_s=1.2, is_relay=False):
    """Follow the store for a time while a relay sends its updates.

    :param tell: sends the updates of the relay to the follower.
    """
    store_follower = follower(store, view, is_relay)
    task = asyncio.ensure_future(store_follower.run())
    await store_follower.is_initialised.wait()
    tell(store_follower)
    await asyncio.sleep(wait_s)
    task.cancel()
    with contextlib.suppress(asyncio.CancelledError):
        await task


def tell_news(store_follower):
    store_follower.on_status('10.0.0.1', StoreStatus(5, False))
    store_follower.on_update(StoreUpdate(5, 7, (item(3, 7),)))
    store_follower.on_status('10.0.0.1', StoreStatus(7, False))


def tell_news_twice(store_follower):
    tell_news(store_follower)
    store_follower.on_update(StoreUpdate(5, 7, (item(3, 7),)))


def tell_overlapping_news(store_follower):
    """Send an update that repeats an item which is already known."""
    store_follower.on_update(StoreUpdate(4, 7, (item(9, 5), item(3, 7))))
    store_follower.on_status('10.0.0.1', StoreStatus(7, False))


def tell_after_a_gap(store_follower):
    store_follower.on_update(StoreUpdate(6, 7, (item(9, 7),)))
    store_follower.on_status('10.0.0.1', StoreStatus(7, False))


def tell_loss(store_follower):
    store_follower.on_status('10.0.0.1', StoreStatus(5, True))


@pytest.mark.parametrize(
    ('tell', 'is_relay', 'calls', 'known'),
    [
        (tell_news, False, [('read',)], 3),
        (tell_news_twice, False, [('read',)], 3),
        (tell_overlapping_news, False, [('read',)], 3),
        (tell_after_a_gap, False, [('read',), ('watch', 5)], 4),
        (tell_loss, False, [('read',), ('watch', 5)], 4),
        # A relay serves others, so it asks the store in any case.
        (tell_news, True, [('read',), ('watch', 7)], 4),
    ],
)
def test_relays_spare_calls_to_the_store(tell, is_relay, calls, known):
    store = ScriptedStore(version(2, 5), version(4, 8))
    view = FleetView()
    is_asked = len(calls) > 1
    asyncio.run(follow_for(store, view, tell, is_relay=is_relay))
    assert store.calls[: len(calls)] == calls
    assert is_asked or len(store.calls) == 1
    assert view.version_of(A) == known


def test_a_gateway_that_follows_a_relay_is_none():
    store = ScriptedStore(version(2, 5))
    relay = StoreRelay()

    async def request_copy():
        return None

    async def scenario():
        store_follower = StoreFollower(
            store, FleetView(), relay, lambda: False, request_copy
        )
        task = asyncio.ensure_future(store_follower.run())
        await store_follower.is_initialised.wait()
        assert relay.status == StoreStatus(5, False)
        store_follower.on_status('10.0.0.1', StoreStatus(5, False))
        async with asyncio.timeout(5):
            while not relay.status.is_lost:
                await asyncio.sleep(0.01)
        task.cancel()
        with contextlib.suppress(asyncio.CancelledError):
            await task

    asyncio.run(scenario())
    assert store.calls == [('read',)]


def test_news_that_came_during_a_watch_are_not_undone():
    class SlowWatchStore(ScriptedStore):
        async def watch(self, revision, wait_s):
            """Answer with changes older than an update received meanwhile."""
            self.calls.append(('watch', revision))
            if revision == 9:
                is_watched_again.set()
                await asyncio.sleep(9)
            store_follower.on_update(StoreUpdate(5, 9, (item(5, 9),)))
            return self.decode((item(1, 6), item(2, 7)), 7)

    class LastAppliedView(FleetView):
        def apply(self, change, now_s):
            """Keep the version that was applied last."""
            self.versions[change.key] = change.version

    async def scenario():
        task = asyncio.ensure_future(store_follower.run())
        async with asyncio.timeout(20):
            await is_watched_again.wait()
        task.cancel()
        with contextlib.suppress(asyncio.CancelledError):
            await task

    is_watched_again = asyncio.Event()
    store = SlowWatchStore(version(1, 5))
    view = LastAppliedView()
    store_follower = follower(store, view)
    asyncio.run(scenario())
    assert store.calls == [('read',), ('watch', 5), ('watch', 9)]
    assert view.versions[A] == 5


#: Time limit until a change is known, also when the only relay of a data centre
#: gets no answers, and the part of it that a follower needs itself.
PROPAGATION_LIMIT_S = 2.0
FOLLOWER_SHARE_S = 0.3


def test_followers_hear_in_time_that_their_relay_is_not_answered(monkeypatch):
    class SilentStore(ScriptedStore):
        async def watch(self, revision, wait_s):
            """Give no answer until the call times out."""
            await asyncio.sleep(wait_s + WATCH_TIMEOUT_MARGIN_S)
            raise StoreUnavailable('silent')

    loss_sent = asyncio.Event()

    def broadcast(followers, frame):
        assert followers == {'a follower'}
        (status,) = decode(frame)
        if status.is_lost:
            loss_sent.set()

    async def scenario():
        relay = StoreRelay()
        relay.add('a follower')
        store_follower = follower(
            SilentStore(version(2, 5)), FleetView(), is_relay=True, relay=relay
        )
        task = asyncio.ensure_future(store_follower.run())
        await store_follower.is_initialised.wait()
        read_s = asyncio.get_running_loop().time()
        async with asyncio.timeout(10):
            await loss_sent.wait()
        task.cancel()
        with contextlib.suppress(asyncio.CancelledError):
            await task
        return asyncio.get_running_loop().time() - read_s

    monkeypatch.setattr(store_relay, 'broadcast', broadcast)
    assert virtual_time.run(scenario()) + FOLLOWER_SHARE_S < PROPAGATION_LIMIT_S


DOWN = StoreUnavailable('down')


@pytest.mark.parametrize(
    ('results', 'others', 'known', 'calls'),
    [
        # No gateway has a copy: the store is asked until it answers.
        ([DOWN, version(2, 5)], None, 2, [('read',), ('read',)]),
        # Another gateway has a copy, and the watch starts at its revision.
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
        # A copy does not replace newer data that was read.
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
        store_follower = follower(store, view, others=others)
        task = asyncio.ensure_future(store_follower.run())
        async with asyncio.timeout(5):
            while view.version_of(A) != known or len(store.calls) < len(calls):
                await asyncio.sleep(0.01)
        assert store_follower.is_initialised.is_set()
        task.cancel()
        with contextlib.suppress(asyncio.CancelledError):
            await task

    asyncio.run(scenario())
    assert store.calls[: len(calls)] == calls


def test_followers_hear_what_a_relay_has_read_anew():
    """After lost history, a full read yields the changes and removals."""

    def snapshot(revision, *items):
        return StoreResult((), (), revision, items)

    old = StoredItem('servers/s1', 3, b'1')
    kept = StoredItem('servers/s2', 4, b'1')
    new = StoredItem('servers/s3', 19, b'1')
    results = (snapshot(5, old, kept), HistoryGone(''), snapshot(20, kept, new))
    store = ScriptedStore(*results)
    forwarded = []

    class Relay(StoreRelay):
        def forward(self, since, seen):
            forwarded.append((since, seen.revision, seen.items))

    async def scenario():
        store_follower = follower(
            store, FleetView(), is_relay=True, relay=Relay()
        )
        task = asyncio.ensure_future(store_follower.run())
        while len(store.calls) < 4:
            await asyncio.sleep(0.01)
        task.cancel()

    asyncio.run(scenario())
    assert forwarded[0] == (5, 5, ())
    assert forwarded[1] == (5, 20, (new, StoredItem('servers/s1', 20, None)))
