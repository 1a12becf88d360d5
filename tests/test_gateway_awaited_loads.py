"""Order of adapter loads when more are requested than slots come free."""

import asyncio
import random

import pytest

from wasabicross.gateway.backend import AdapterKey
from wasabicross.gateway.loading.awaited_loads import AwaitedLoads
from wasabicross.gateway.orders import LoadRequest


def key(name):
    return AdapterKey('m0', name)


def load_request(name, priority=1, target_wait_s=0.0, max_wait_s=2.0):
    return LoadRequest('s1', key(name), 1, priority, max_wait_s, target_wait_s)


def waiting_loads(*loads):
    """Add load requests at intervals of 0.1 s."""

    async def scenario():
        awaited = AwaitedLoads()
        for number, load in enumerate(loads):
            awaited.join(load, number / 10)
        return awaited

    return asyncio.run(scenario())


@pytest.mark.parametrize(
    ('loads', 'order'),
    [
        # Order of arrival if none can meet its target, or all can.
        ([load_request('a'), load_request('b')], 'ab'),
        ([load_request('a', 1, 5), load_request('b', 1, 5)], 'ab'),
        # Loads that can still meet their target go first.
        ([load_request('a', 1, 0.3), load_request('b', 1, 5)], 'ba'),
        # A higher priority goes before them, whether on time or not.
        ([load_request('a', 1, 5), load_request('b', 0)], 'ba'),
        # The latest request for an adapter decides.
        ([load_request('a'), load_request('b'), load_request('b', 1, 5)], 'ba'),
    ],
)
def test_order(loads, order):
    names = [
        each.adapter
        for each in waiting_loads(*loads).by_urgency(frozenset(), 1)
    ]
    assert ''.join(names) == order


def test_what_goes_before_a_load():
    awaited = waiting_loads(
        load_request('a', 0), load_request('b', 1, 5), load_request('c', 1)
    )
    ahead = [
        awaited.count_ahead(load, frozenset(), 1, 0.5)
        for load in (
            load_request('x', 0),
            load_request('x', 1, 5),
            load_request('x', 1),
        )
    ]
    assert ahead == [1, 2, 3]
    ordered = frozenset((key('a'),))
    assert awaited.count_ahead(load_request('x', 1), ordered, 1, 0.5) == 2


#: Rate at which an engine frees slots, and duration of a load.
FREED_SLOTS_PER_S = 3.5
LOAD_S = 0.25
SLOTS = 9
#: Part of the target time to the first byte that remains for loading.
TARGET_WAIT_S = 0.5
MAX_WAIT_S = 1.5


def on_time_share(*, with_targets, load=1.3, duration_s=600):
    """Return the shares of callers served on time, and served at all.

    Demand exceeds the rate of freed slots, as when engines are lost and rare
    adapters are requested at the same time.

    :param with_targets: whether load requests state their target wait.
    :param load: requests per freed slot.
    """

    async def scenario():
        rng = random.Random(20261204)
        awaited = AwaitedLoads()
        arrivals_s, freed_s = [], []
        for times, per_s in (
            (arrivals_s, FREED_SLOTS_PER_S * load),
            (freed_s, FREED_SLOTS_PER_S),
        ):
            at_s = rng.expovariate(per_s)
            while at_s < duration_s:
                times.append(at_s)
                at_s += rng.expovariate(per_s)
        events = [(at_s, True) for at_s in arrivals_s]
        events += [(at_s, False) for at_s in freed_s]
        arrived = {}
        on_time = served = free_slots = 0
        for at_s, is_arrival in sorted(events):
            for expired_key in awaited.expired(at_s):
                awaited.take(expired_key)
            if is_arrival:
                name = f'a{len(arrived)}'
                target_wait_s = TARGET_WAIT_S if with_targets else 0
                awaited.join(
                    load_request(name, 1, target_wait_s, MAX_WAIT_S), at_s
                )
                arrived[key(name)] = at_s
            free_slots = min(SLOTS, free_slots + (not is_arrival))
            next_keys = awaited.by_urgency(frozenset(), at_s + LOAD_S)[
                :free_slots
            ]
            for each in next_keys:
                awaited.take(each)
                free_slots -= 1
                served += 1
                on_time += at_s + LOAD_S - arrived[each] <= TARGET_WAIT_S
        return on_time / len(arrived), served / len(arrived)

    return asyncio.run(scenario())


def test_more_callers_are_on_time_and_as_many_are_served():
    on_time_before, served_before = on_time_share(with_targets=False)
    on_time, served = on_time_share(with_targets=True)
    assert on_time > 2 * on_time_before
    assert served > served_before - 0.02
