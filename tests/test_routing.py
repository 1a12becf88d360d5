"""The weights choose the server of a request, the popularity the eviction.

A holder is a server that has the adapter of the request loaded.
"""

import random

import pytest

from wasabicross.loads.eviction_policy import Load, choose_victim
from wasabicross.loads.popularity import Popularity
from wasabicross.runtime.rendezvous import rank_servers
from wasabicross.servers.baselines import (
    LeastOutstanding,
    RandomChoice,
    RendezvousChoice,
)
from wasabicross.servers.policy import Weights
from wasabicross.servers.routing import (
    Dispatch,
    Hints,
    Holder,
    LoadElsewhere,
    choose,
)

STALLS = Weights(stall_weight=4, batch_weight=0.25)
BATCHES = Weights(stall_weight=1, batch_weight=4)


def holder(server, own=0, running=0, waiting=0, age=0.0, where='hbt-a'):
    return Holder(server, where, 'a@1#1.1', own, running, waiting, 16, age)


@pytest.mark.parametrize(
    ('policy', 'holders', 'chosen', 'copy_needed'),
    [
        (STALLS, [holder('a', running=8), holder('b', running=2)], 'b', False),
        (BATCHES, [holder('a', running=8), holder('b', running=2)], 'a', False),
        (BATCHES, [holder('a', 16, waiting=9), holder('b', 9)], 'b', False),
        (STALLS, [holder('a', running=14)], 'a', True),
        (BATCHES, [holder('a', running=14)], 'a', False),
        (BATCHES, [holder('a', running=16)], 'a', True),
        (STALLS, [holder('a', 4), holder('b', where='ltn')], 'a', False),
        (STALLS, [holder('a', 24), holder('b', where='ltn')], 'b', True),
        (BATCHES, [holder('a'), holder('b', 12, where='ltn')], 'a', False),
        (STALLS, [holder('b', where='ltn')], 'b', False),
        (STALLS, [holder('b', 14, where='ltn')], 'b', True),
        (STALLS, [holder('a', 5), holder('b', running=16, age=9)], 'b', False),
        (STALLS, [holder('a', 9, running=1), holder('b', 8)], 'b', False),
    ],
)
def test_holder_and_copy_by_weights(policy, holders, chosen, copy_needed):
    choice = choose(holders, policy, 'hbt-a', 0)
    assert isinstance(choice, Dispatch)
    assert (choice.holder.server_id, choice.copy_needed) == (
        chosen,
        copy_needed,
    )


@pytest.mark.parametrize(
    ('holders', 'hints', 'reason'),
    [
        ([], Hints(), 'no-holder'),
        ([holder('a', 40)], Hints(room_elsewhere=True), 'holders-full'),
    ],
)
def test_load_elsewhere(holders, hints, reason):
    assert choose(holders, STALLS, 'hbt-a', 0, hints) == LoadElsewhere(reason)


def test_full_holder_is_used_where_nothing_else_has_room():
    assert isinstance(choose([holder('a', 40)], STALLS, 'hbt-a', 0), Dispatch)


@pytest.mark.parametrize(('load', 'chosen'), [(2, 'b'), (16, 'a')])
def test_prefix_hint_is_a_preference_only(load, chosen):
    hints = Hints(prefix_servers=frozenset({'b', 'gone'}))
    holders = [holder('a', 1), holder('b', load)]
    choice = choose(holders, STALLS, 'hbt-a', 0, hints)
    assert choice.holder.server_id == chosen


def test_processes_with_the_same_reports_spread():
    holders = [holder(name) for name in 'abcd']
    chosen = {
        choose(holders, STALLS, 'hbt-a', 0, Hints(salt=str(salt))).holder
        for salt in range(32)
    }
    assert len(chosen) == len(holders)


@pytest.mark.parametrize(
    ('policy', 'chosen'),
    [
        (RandomChoice(random.Random(1)), {'a', 'b', 'c'}),
        (LeastOutstanding(), {'b'}),
        (RendezvousChoice(), {'c'}),
    ],
)
def test_baselines(policy, chosen):
    holders = [holder('a', 3), holder('b', 1), holder('c', 2)]
    hints = Hints(adapter='x')
    assert {
        choose(holders, policy, 'hbt-a', 0, hints).holder.server_id
        for _ in range(40)
    } == chosen


def test_unknown_policy_is_refused():
    with pytest.raises(TypeError):
        choose([holder('a')], object(), 'hbt-a', 0)


@pytest.mark.parametrize('servers', [6, 24])
def test_rank_is_spread_and_stable(servers):
    names = [f's{number}' for number in range(servers)]
    firsts = []
    for adapter in map(str, range(servers * 100)):
        order = rank_servers(adapter, '1', names)
        firsts.append(order[0])
        kept = tuple(name for name in order if name != 's3')
        assert kept == rank_servers(adapter, '1', [*names[:3], *names[4:]])
    assert all(50 <= firsts.count(name) <= 150 for name in names)


def popularity_after(**rates):
    """Return the popularity after ten minutes of requests.

    :param rates: requests per second of each adapter.
    """
    popularity = Popularity()
    for second in range(600):
        for adapter, rate in rates.items():
            popularity.add(adapter, second, rate)
    return popularity


@pytest.mark.parametrize(
    ('loads', 'displacing', 'victim'),
    [
        ([Load('hot', 'hot', 0, 0), Load('warm', 'warm', 0, 0)], '', 'warm'),
        ([Load('hot', 'hot', 0, 0, 9), Load('warm', 'warm', 0, 0)], '', 'hot'),
        ([Load('hot', 'hot', 0, 0), Load('warm', 'warm', 1, 0)], '', 'hot'),
        ([Load('warm', 'warm', 0, 599)], '', None),
        ([Load('warm', 'warm', 3, 0)], '', None),
        ([], '', None),
        ([Load('warm', 'warm', 0, 0)], 'burst', None),
        ([Load('warm', 'warm', 0, 0)], 'hot', 'warm'),
        ([Load('hot', 'hot', 0, 0)], 'warm', None),
    ],
)
def test_victim(loads, displacing, victim):
    popularity = popularity_after(hot=10, warm=2)
    popularity.add('burst', 600, 60)
    chosen = choose_victim(loads, 600, popularity, Weights(), displacing)
    assert (chosen and chosen.load_name) == victim


def test_popularity_follows_a_shift_within_seconds():
    popularity = popularity_after(old=5)
    overtaken_s = 0
    while popularity.rate('new', 600 + overtaken_s) <= popularity.rate(
        'old',
        600 + overtaken_s,
    ):
        popularity.add('new', 600 + overtaken_s, 5)
        overtaken_s += 1
    assert 2 < overtaken_s < 15


def test_popularity_is_bounded_and_keeps_the_hot():
    popularity = popularity_after(hot=10)
    for number in range(43_000):
        popularity.add(str(number), 600)
    assert len(popularity) <= 8192
    assert popularity.hottest(1, 600) == ('hot',)


def test_weights_from_a_bundle():
    weights = Weights.from_config({'stall_weight': 4, 'later_name': 1})
    assert weights == Weights(stall_weight=4)
