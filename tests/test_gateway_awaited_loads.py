"""In which order adapters are loaded where more are asked for than fit."""

import asyncio
import random

import pytest

from wasabicross.gateway.awaited_loads import AwaitedLoads
from wasabicross.gateway.backend import AdapterKey
from wasabicross.gateway.orders import LoadRequest


def key(name):
    return AdapterKey('m0', name)


def wanted(name, priority=1, in_time_s=0.0, patience_s=2.0):
    return LoadRequest('s1', key(name), 1, priority, patience_s, in_time_s)


def joined(*loads):
    """Let requests wait that came a tenth of a second apart."""

    async def scenario():
        awaited = AwaitedLoads()
        for number, load in enumerate(loads):
            awaited.join(load, number / 10)
        return awaited

    return asyncio.run(scenario())


@pytest.mark.parametrize(
    ('loads', 'order'),
    [
        # As they came where none can be on time, or all can.
        ([wanted('a'), wanted('b')], 'ab'),
        ([wanted('a', 1, 5), wanted('b', 1, 5)], 'ab'),
        # Those that can still be on time go first.
        ([wanted('a', 1, 0.3), wanted('b', 1, 5)], 'ba'),
        # A more urgent request goes before them, on time or not.
        ([wanted('a', 1, 5), wanted('b', 0)], 'ba'),
        # The newest of an adapter's requests counts.
        ([wanted('a'), wanted('b'), wanted('b', 1, 5)], 'ba'),
    ],
)
def test_order(loads, order):
    names = [each.adapter for each in joined(*loads).by_urgency(frozenset(), 1)]
    assert ''.join(names) == order


def test_what_goes_before_a_load():
    awaited = joined(wanted('a', 0), wanted('b', 1, 5), wanted('c', 1))
    ahead = [
        awaited.count_ahead(load, frozenset(), 1, 0.5)
        for load in (wanted('x', 0), wanted('x', 1, 5), wanted('x', 1))
    ]
    assert ahead == [1, 2, 3]
    under_way = frozenset((key('a'),))
    assert awaited.count_ahead(wanted('x', 1), under_way, 1, 0.5) == 2


#: Slots of an engine come free so often, and a load takes so long.
FREED_PER_S = 3.5
LOAD_S = 0.25
SLOTS = 9
#: Left for loading of the time in which an answer should begin.
IN_TIME_S = 0.5
PATIENCE_S = 1.5


def on_time_share(*, tells_time, load=1.3, length_s=600):
    """Return the shares of callers served on time, and at all.

    More adapters are asked for than slots come free, as on days on which engines
    are lost and rare adapters are asked for at once.
    """

    async def scenario():
        rng = random.Random(20261204)
        awaited = AwaitedLoads()
        arrivals_s, freed_s = [], []
        for times, per_s in (
            (arrivals_s, FREED_PER_S * load),
            (freed_s, FREED_PER_S),
        ):
            at_s = rng.expovariate(per_s)
            while at_s < length_s:
                times.append(at_s)
                at_s += rng.expovariate(per_s)
        events = [(at_s, True) for at_s in arrivals_s]
        events += [(at_s, False) for at_s in freed_s]
        arrived = {}
        on_time = served = spare = 0
        for at_s, is_arrival in sorted(events):
            for late in awaited.expired(at_s):
                awaited.take(late)
            if is_arrival:
                name = f'a{len(arrived)}'
                in_time_s = IN_TIME_S if tells_time else 0
                awaited.join(wanted(name, 1, in_time_s, PATIENCE_S), at_s)
                arrived[key(name)] = at_s
            spare = min(SLOTS, spare + (not is_arrival))
            first = awaited.by_urgency(frozenset(), at_s + LOAD_S)[:spare]
            for each in first:
                awaited.take(each)
                spare -= 1
                served += 1
                on_time += at_s + LOAD_S - arrived[each] <= IN_TIME_S
        return on_time / len(arrived), served / len(arrived)

    return asyncio.run(scenario())


def test_more_callers_are_on_time_and_as_many_are_served():
    on_time_before, served_before = on_time_share(tells_time=False)
    on_time, served = on_time_share(tells_time=True)
    assert on_time > 2 * on_time_before
    assert served > served_before - 0.02
