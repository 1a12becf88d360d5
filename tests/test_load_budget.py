"""Loads are permitted by urgency, within the limits of the weight store.

The limits are the loads per second and the loads in flight, over all data
centres together.
"""

import pytest

from wasabicross.loads.load_backoff import LoadBackoff
from wasabicross.loads.load_budget import LoadBudget, LoadKey


def key(adapter):
    return LoadKey(adapter, '1', 'hbt-a')


def run(budget, until_s, load_s=0.25, step_s=0.01):
    """Take all grants and finish each load after its duration.

    :param until_s: end of the run in s.
    :param load_s: duration of a load in s.
    :param step_s: time between two grants in s.
    """
    permits, open_permits, now_s = [], [], 0.0
    while now_s < until_s:
        for permit in tuple(open_permits):
            if now_s - permit.granted_s >= load_s:
                budget.finish(permit, 's', True, now_s)
                open_permits.remove(permit)
        permit = budget.grant(now_s)
        if permit:
            permits.append(permit)
            open_permits.append(permit)
        now_s += step_s
    return permits


@pytest.mark.parametrize(
    ('demands', 'prefetches', 'order'),
    [
        ({'one': (1, -2), 'many': (9, -1)}, {}, ['many', 'one']),
        ({'old': (1, -9), 'many': (3, -1)}, {}, ['old', 'many']),
        ({'one': (1, 0)}, {'pre': 50}, ['one', 'pre']),
        ({}, {'tail': 1, 'hot': 9}, ['hot', 'tail']),
        (
            {'tail': (1, -3), **{f'hot{n}': (99, -1) for n in range(4)}},
            {},
            ['hot0', 'hot1', 'hot2', 'tail', 'hot3'],
        ),
    ],
)
def test_order(demands, prefetches, order):
    budget = LoadBudget()
    for adapter, (waiting, since_s) in demands.items():
        budget.set_demand(key(adapter), 'entry', waiting, since_s)
    for adapter, rate in prefetches.items():
        budget.set_prefetch(key(adapter), rate)
    assert [permit.key.adapter for permit in run(budget, 3)] == order


@pytest.mark.parametrize(
    ('visible', 'everyone', 'least', 'most', 'in_flight'),
    [(4, 4, 29, 31, 8), (1, 4, 7, 8, 2), (3, 4, 22, 23, 6), (0, 3, 9, 11, 2)],
)
def test_rate_scales_with_the_visible_data_centres(
    visible,
    everyone,
    least,
    most,
    in_flight,
):
    budget = LoadBudget()
    budget.set_visible(visible, everyone)
    for number in range(60):
        budget.set_demand(key(str(number)), 'entry', 1, 0)
    assert least <= len(run(budget, 10)) <= most
    assert budget.in_flight_limit == in_flight


@pytest.mark.parametrize(
    ('visible', 'idle_s', 'granted_s'),
    [
        # The loads that one second allows start together, then none within it.
        (3, 0, [0, 0, 0, 1, 1, 1, 2]),
        (3, 9.5, [9.5, 9.5, 9.5, 10.5, 10.5, 10.5, 11.5]),
        # Data centres that are not visible may start loads at the same time.
        (1, 9, [9, 10, 11, 12, 13, 14, 15]),
    ],
)
def test_loads_start_together_after_an_idle_second(visible, idle_s, granted_s):
    budget = LoadBudget()
    budget.set_visible(visible, 3)
    found_s = []
    now_s = idle_s
    for number in range(7):
        budget.set_demand(key(str(number)), 'entry', 1, 0)
    while len(found_s) < 7:
        permit = budget.grant(now_s)
        if permit:
            found_s.append(now_s)
            budget.finish(permit, 's', True, now_s)
        else:
            now_s += 0.01
    assert found_s == pytest.approx(granted_s, abs=0.03)


@pytest.mark.parametrize(
    ('cancelled', 'granted_s'),
    [
        ([], [0, 0, 0, 1, 1, 1, 2]),
        # A cancelled load makes room for another within the second.
        ([1], [0, 0, 0, 0, 1, 1, 1]),
        ([0, 1, 2], [0, 0, 0, 0, 0, 0, 1]),
        ([5], [0, 0, 0, 1, 1, 1, 1]),
    ],
)
def test_cancelled_permits_make_room_for_others(cancelled, granted_s):
    budget = LoadBudget()
    for number in range(9):
        budget.set_demand(key(str(number)), 'entry', 1, 0)
    found_s = []
    now_s: float = 0
    while len(found_s) < 7:
        permit = budget.grant(now_s)
        if permit is None:
            now_s += 0.01
        elif len(found_s) in cancelled:
            budget.cancel(permit)
            budget.set_demand(permit.key, 'entry', 0, 0)
            found_s.append(now_s)
        else:
            budget.finish(permit, 's', True, now_s)
            found_s.append(now_s)
    assert found_s == pytest.approx(granted_s, abs=0.03)


def test_a_late_cancel_lets_no_more_load_within_a_second():
    budget = LoadBudget()
    for number in range(9):
        budget.set_demand(key(str(number)), 'entry', 1, 0)
    early = [budget.grant(0) for _ in range(3)]
    assert all(budget.grant(1.05) for _ in range(3))
    budget.cancel(early[0])
    assert budget.grant(1.1) is None


@pytest.mark.parametrize(('demands', 'held'), [(12, 8), (0, 4)])
def test_in_flight_is_bounded(demands, held):
    budget = LoadBudget()
    for number in range(12):
        budget.set_demand(key(str(number)), 'entry', int(number < demands), 0)
        budget.set_prefetch(key(f'pre{number}'), 1)
    assert len(run(budget, 20, load_s=50)) == held
    assert budget.grant(100), 'permits of vanished processes must lapse'


def test_one_load_for_many_waiters():
    budget = LoadBudget()
    for entry in range(5):
        budget.set_demand(key('a'), f'entry{entry}', 3, entry / 10)
    assert len(run(budget, 4)) == 1


@pytest.mark.parametrize(
    ('is_loaded', 'adapters'), [(True, ['a', 'b']), (False, ['a', 'b', 'a'])]
)
def test_one_load_for_all_data_centres(is_loaded, adapters):
    budget = LoadBudget()
    for data_centre in ('ltn', 'bur'):
        load_key = LoadKey('a', '1', data_centre)
        budget.set_demand(load_key, data_centre, 9, -1)
    budget.set_demand(key('b'), 'hbt-a', 1, 0)
    first = budget.grant(0)
    permits = [first, budget.grant(0)]
    assert budget.grant(0) is None
    budget.set_demand(first.key, first.key.data_centre, 0, 0)
    budget.finish(first, 's', is_loaded, 0.25)
    permits.append(budget.grant(0.25))
    assert [each.key.adapter for each in permits if each] == adapters


@pytest.mark.parametrize(('now_s', 'is_granted'), [(1.5, False), (2.5, True)])
def test_a_load_that_never_ends_keeps_others_for_a_moment(now_s, is_granted):
    budget = LoadBudget()
    budget.set_demand(LoadKey('a', '1', 'ltn'), 'lost', 1, 0)
    assert budget.grant(0)
    budget.set_demand(LoadKey('a', '1', 'bur'), 's', 1, 0)
    assert bool(budget.grant(now_s)) is is_granted


@pytest.mark.parametrize('gone', ['withdrawn', 'source'])
def test_demand_that_is_gone_is_not_loaded(gone):
    budget = LoadBudget()
    budget.set_demand(key('a'), 'entry', 2, 0)
    if gone == 'source':
        budget.forget_source('entry')
    else:
        budget.set_demand(key('a'), 'entry', 0, 0)
    assert budget.grant(1) is None


def test_tail_is_not_starved_by_a_stream_of_hot_demands():
    budget = LoadBudget()
    budget.set_demand(key('tail'), 'entry', 1, 0)
    granted = []
    for number in range(12):
        now_s = number / 3
        budget.set_demand(key(f'hot{number}'), 'entry', 500, now_s - 1)
        permit = budget.grant(now_s)
        granted.append(permit.key.adapter)
        budget.finish(permit, 's', True, now_s)
    assert 'tail' in granted[:4]


def test_failed_load_is_granted_again_later_and_later():
    budget = LoadBudget(loads_per_s=100)
    budget.set_demand(key('a'), 'entry', 1, 0)
    granted_s = []
    for tick in range(400):
        permit = budget.grant(tick / 100)
        if permit:
            granted_s.append(tick / 100)
            budget.finish(permit, 's', False, tick / 100)
    assert granted_s == pytest.approx([0, 0.5, 1.5, 3.5], abs=0.03)


@pytest.mark.parametrize(
    ('failures', 'ready_s', 'order'),
    [('a', 0.5, 'bca'), ('ab', 1, 'cab'), ('aba', 2, 'cba')],
)
def test_backoff_grows_and_goes_elsewhere(failures, ready_s, order):
    backoff = LoadBackoff()
    for server in failures:
        backoff.add_failure('load', server, 0)
    assert not backoff.is_ready('load', ready_s - 0.01)
    assert backoff.is_ready('load', ready_s)
    assert backoff.order('load', 'abc') == tuple(order)
    backoff.forget('load')
    assert backoff.is_ready('load', 0)
