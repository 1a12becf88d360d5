"""As of when a gateway knows the store's content, also after it was frozen."""

import asyncio
import contextlib
import math
from typing import NamedTuple

import pytest
import virtual_time
from test_gateway_following import ScriptedStore, follower, item, version
from test_gateway_links import FakeLoaderService, linked_gateway, until

from wasabicross.gateway.clock import now_s
from wasabicross.gateway.errors import HistoryGone, StoreUnavailable
from wasabicross.gateway.messages import (
    StoreConfirmation,
    StoreStatus,
    StoreUpdate,
    decode,
    encode,
)
from wasabicross.gateway.store_following import (
    prompted_calls,
    store_follower,
)
from wasabicross.gateway.store_following.relay_clocks import RelayClocks
from wasabicross.gateway.store_following.store_relay import StoreRelay
from wasabicross.gateway.store_position import position
from wasabicross.gateway.view import FleetView

#: Time of a call to the store in these tests.
CALL_S = 0.3


class SlowStore(ScriptedStore):
    """Return each result after a while."""

    async def _next(self, call):
        await asyncio.sleep(CALL_S)
        return await super()._next(call)


@pytest.fixture(autouse=True)
def _virtual_clock(monkeypatch):
    def loop_s():
        return asyncio.get_running_loop().time()

    monkeypatch.setattr(store_follower, 'now_s', loop_s)
    monkeypatch.setattr(prompted_calls, 'clock_s', loop_s)


@contextlib.asynccontextmanager
async def following(store, **fields):
    """Run a follower and yield it with its view."""
    view = FleetView()
    followed = follower(store, view, **fields)
    task = asyncio.ensure_future(followed.run())
    try:
        yield followed, view
    finally:
        task.cancel()
        with contextlib.suppress(asyncio.CancelledError):
            await task


async def confirmations(store, duration_s, **fields):
    """Return the times that a follower confirms, by when it does."""
    found = {}
    async with following(store, **fields) as (_, view):
        for _ in range(round(duration_s / 0.1)):
            await asyncio.sleep(0.1)
            now_s = asyncio.get_running_loop().time()
            found.setdefault(round(view.confirmed_s, 3), round(now_s, 3))
    return found


def test_content_is_confirmed_as_of_when_the_call_was_sent():
    store = SlowStore(version(2, 5), version(3, 9))
    found = virtual_time.run(confirmations(store, 1.5))
    assert list(found) == [-math.inf, 0, pytest.approx(CALL_S + 0.6, abs=0.02)]
    assert found[0] == pytest.approx(CALL_S, abs=0.11)


@pytest.mark.parametrize(
    'failure', [StoreUnavailable('down'), HistoryGone(''), ValueError('odd')]
)
def test_call_that_fails_confirms_nothing(failure):
    store = SlowStore(version(2, 5), failure)
    found = virtual_time.run(confirmations(store, 1.5))
    assert list(found) == [-math.inf, 0]


def test_copy_of_another_gateway_confirms_nothing():
    store = SlowStore(*[StoreUnavailable('down')] * 9)
    copied = StoreUpdate(0, 7, (item(3, 7),))
    found = virtual_time.run(confirmations(store, 3, others=copied))
    assert list(found) == [-math.inf]


def test_relay_states_as_of_when_it_knows_the_store():
    relay = StoreRelay()

    async def scenario():
        async with following(
            SlowStore(version(2, 5)), is_relay=True, relay=relay
        ):
            assert relay.confirmations(0.1) == ()
            await asyncio.sleep(5)
            return relay.confirmations(5)

    assert virtual_time.run(scenario()) == (StoreConfirmation(5, 0, 5000),)


class Message(NamedTuple):
    """A relay's confirmation, with when it is received.

    :param confirmed_s: what it states, by the relay's clock.
    :param sent_s: when it was sent, by the relay's clock.
    :param received_s: when it is received, by this machine's clock.
    :param asked_s: when the question was sent whose answer came before it, by
        this machine's clock.
    """

    confirmed_s: float
    sent_s: float
    received_s: float
    asked_s: float


def heard(*messages):
    """Return what each message confirms, by this machine's clock."""
    clocks = RelayClocks()
    found = []
    for each in messages:
        confirmation = StoreConfirmation(
            5, round(each.confirmed_s * 1000), round(each.sent_s * 1000)
        )
        clocks.on_round_trip('r', each.asked_s)
        found.append(clocks.confirmed_s('r', confirmation, each.received_s))
    return found


def regular(offset_s, count=20, delay_s=0.01):
    """Return messages of a relay whose clock is ahead of this machine's."""
    return [
        Message(
            step / 2 + offset_s - 1,
            step / 2 + offset_s,
            step / 2 + delay_s,
            step / 2 - delay_s,
        )
        for step in range(count)
    ]


@pytest.mark.parametrize('offset_s', [0, 5, 1e6, 0.5])
def test_clocks_of_machines_differ(offset_s):
    found = heard(*regular(offset_s))
    assert found[:2] == [-math.inf] * 2
    for step, confirmed_s in enumerate(found[2:], start=2):
        assert confirmed_s == pytest.approx(step / 2 - 1, abs=0.02)


def test_messages_that_were_buffered_while_this_process_was_frozen():
    sent = regular(0, count=80)
    thawed_s = 35.0
    received = [
        each._replace(received_s=thawed_s)
        if 10 < each.received_s < thawed_s
        else each
        for each in sent
    ]
    for message, confirmed_s in zip(received, heard(*received), strict=True):
        assert confirmed_s <= message.confirmed_s + 0.05


def test_messages_of_a_new_relay_that_were_buffered():
    sent = regular(0, count=80)
    received = [
        each._replace(received_s=max(each.received_s, 20)) for each in sent
    ]
    for message, confirmed_s in zip(received, heard(*received), strict=True):
        assert confirmed_s <= message.confirmed_s + 0.05


def test_relay_that_was_frozen_itself():
    messages = regular(0, count=20)
    messages.append(Message(messages[-1].confirmed_s, 60, 60.01, 59.99))
    assert heard(*messages)[-1] == pytest.approx(8.5, abs=0.05)


def test_relay_whose_machine_has_restarted():
    later = [
        each._replace(
            received_s=each.received_s + 500, asked_s=each.asked_s + 500
        )
        for each in regular(0)
    ]
    found = heard(*regular(1000), *later)[20:]
    assert found[:2] == [-math.inf] * 2
    assert found[-1] == pytest.approx(later[-1].received_s - 1, abs=0.05)


def test_confirmation_that_a_relay_states_for_later_than_now():
    messages = [*regular(0), Message(900, 10, 10.01, 9.99)]
    assert heard(*messages)[-1] == pytest.approx(10, abs=0.05)


async def follow_relay(duration_s, revision=5, confirms=True, store=None):
    """Follow a relay that sends heartbeats; return the view and the calls."""
    store = store or SlowStore(version(2, 5), *[version(2, 5)] * 99)
    ages_s = []
    async with following(store) as (followed, view):
        await followed.is_initialised.wait()
        for _ in range(round(duration_s / 0.5)):
            now_s = asyncio.get_running_loop().time()
            followed.on_status('r', StoreStatus(5, False))
            followed.on_round_trip('r', now_s - 0.01)
            if confirms:
                followed.on_confirmation(
                    'r',
                    StoreConfirmation(
                        revision, int(now_s * 1000 - 500), int(now_s * 1000)
                    ),
                )
            ages_s.append(now_s - view.confirmed_s)
            await asyncio.sleep(0.5)
    return ages_s, len(store.calls)


def test_follower_of_a_relay_is_confirmed_without_calls():
    ages_s, calls = virtual_time.run(follow_relay(60))
    assert calls == 1
    assert max(ages_s[4:]) < 0.6


@pytest.mark.parametrize(
    'fields',
    [
        {'confirms': False},
        # The relay knows changes that this gateway lacks, or another era.
        {'revision': 6},
        {'revision': position(1, 2)},
    ],
)
def test_follower_that_no_relay_confirms_calls_the_store(fields):
    ages_s, calls = virtual_time.run(follow_relay(60, **fields))
    assert max(ages_s) < 5
    assert 10 < calls < 20


def test_relay_in_an_earlier_era_confirms_nothing():
    store = SlowStore(version(2, position(1, 5)))
    ages_s, _ = virtual_time.run(follow_relay(4, store=store))
    assert ages_s[-1] > 3


def test_confirmation_comes_over_a_link():
    message = StoreConfirmation(5, 1000, 2000)
    assert decode(encode(message)) == (message,)

    async def scenario():
        parts = []
        async with linked_gateway(
            FakeLoaderService(), is_relay=True, relay_parts=parts
        ):
            relay, received = parts
            relay.confirmed_s = 7
            await until(lambda: received.confirmations)
            (found, *_) = received.confirmations
            assert found.confirmed_ms == 7000
            assert found.sent_ms > 7000

    asyncio.run(scenario())


def test_confirmation_counts_only_where_changes_are_asked_for():
    async def scenario():
        parts = []
        async with linked_gateway(FakeLoaderService(), relay_parts=parts) as (
            _,
            view,
            _,
            _,
        ):
            relay, received = parts
            relay.confirmed_s = 7
            received_s = view.reported['s1'].received_s
            await until(lambda: view.reported['s1'].received_s > received_s)
            await asyncio.sleep(0.1)
        assert received.confirmations == []

    asyncio.run(scenario())


def test_relay_that_answers_no_question_confirms_nothing():
    clocks = RelayClocks()
    for step in range(20):
        at_s = step / 2
        confirmation = StoreConfirmation(
            5, round(at_s * 1000), round(at_s * 1000)
        )
        assert clocks.confirmed_s('r', confirmation, at_s) == -math.inf


def test_round_trips_are_told_over_a_link_to_a_relay():
    async def scenario():
        parts = []
        async with linked_gateway(FakeLoaderService(), True, parts):
            _, received = parts
            before_s = now_s()
            await until(lambda: len(received.round_trips) > 2)
            assert before_s <= received.round_trips[-1] <= now_s()

    asyncio.run(scenario())


def prompted(store, asked_s, duration_s=4, **fields):
    """Return when a wanted confirmation came, and the times of all calls."""

    async def play():
        loop = asyncio.get_running_loop()
        async with following(store, **fields) as (followed, view):
            if fields:
                relay_says_it_is_current(followed)
            await asyncio.sleep(asked_s)
            if fields:
                relay_says_it_is_current(followed)
            view.divisions.is_confirmation_wanted.set()
            while view.confirmed_s < asked_s and loop.time() < duration_s:
                await asyncio.sleep(0.01)
            return loop.time() - asked_s

    return virtual_time.run(play())


def relay_says_it_is_current(followed):
    followed.on_status('127.0.0.1', StoreStatus(5, is_lost=False))


class PromptStore(ScriptedStore):
    """Answer a watch when its wait is over, and note when it was called."""

    def __init__(self, failure=None):
        super().__init__()
        self.sent_s = []
        self.failure = failure

    async def read(self):
        """Return the first content."""
        return version(2, 5)

    async def watch(self, _revision, wait_s):
        """Return nothing new."""
        self.sent_s.append(asyncio.get_running_loop().time())
        if self.failure is not None:
            raise self.failure
        await asyncio.sleep(wait_s)
        return version(2, 5)


@pytest.mark.parametrize('asked_s', [0.1, 0.7, 0.95, 1.2, 2.3])
def test_wanted_confirmation_does_not_wait_for_the_next_watch(asked_s):
    """The watch under way may take another 0.4 s; the next one is due after 1 s."""
    assert prompted(PromptStore(), asked_s) < 0.5


@pytest.mark.parametrize('asked_s', [0.3, 0.9, 1.4])
def test_gateway_with_relays_calls_the_store_for_a_wanted_confirmation(asked_s):
    store = PromptStore()
    assert prompted(store, asked_s, is_relay=False) < 0.1
    assert len(store.sent_s) == 1


def test_relayed_gateway_that_the_store_refuses_does_not_take_it_for_lost():
    async def play():
        store = PromptStore(StoreUnavailable('refused'))
        async with following(store, is_relay=False) as (followed, view):
            relay_says_it_is_current(followed)
            for _ in range(10):
                await asyncio.sleep(0.1)
                view.divisions.is_confirmation_wanted.set()
                assert not followed._is_lost
        return store.sent_s

    sent_s = virtual_time.run(play())
    assert 1 <= len(sent_s) <= 3


@pytest.mark.parametrize(
    ('instances', 'most'), [(1, 11), (75, 6), (360, 2), (1000, 1)]
)
def test_calls_that_take_ups_want_are_few(instances, most):
    """All gateways together call 400 times a second or less."""

    async def play():
        store = PromptStore()
        async with following(store, is_relay=False) as (followed, view):
            view.instances.update(dict.fromkeys(range(instances)))
            relay_says_it_is_current(followed)
            await asyncio.sleep(0.1)
            since = len(store.sent_s)
            for _ in range(100):
                view.divisions.is_confirmation_wanted.set()
                await asyncio.sleep(0.01)
        return len(store.sent_s) - since

    assert virtual_time.run(play()) <= most
