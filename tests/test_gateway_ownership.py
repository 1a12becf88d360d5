"""Who may order on a group of servers, and when another may."""

import math

import pytest

from wasabicross.gateway.changes import InstanceEntry
from wasabicross.gateway.ownership import (
    TAKEOVER_S,
    Group,
    OwnerRecord,
    claim_due_s,
    claim_wait_s,
    group_of,
    ownership_weight,
    term_end_s,
)

GROUP = Group('bilbao', 0)
GAP_S = 3.0


def record(instance='front-1', since_s=100.0, is_released=False):
    return OwnerRecord(
        'bilbao.0', instance, '10.0.0.1', 7, since_s, is_released
    )


@pytest.mark.parametrize(
    ('found', 'due_s'),
    [
        (None, 51.0),
        # The same machine is the same holder, also after a restart.
        (record('front-2'), -math.inf),
        (record('front-1'), 100 + TAKEOVER_S + 1),
        # One that has been released is free after the gap between owners.
        (record('front-1', is_released=True), 100 + GAP_S + 1 + 1),
    ],
)
def test_when_a_record_may_be_taken(found, due_s):
    assert claim_due_s(found, 'front-2', 1.0, 50.0, GAP_S) == due_s


@pytest.mark.parametrize('seen_late_s', [0.0, 0.5, 6.0])
def test_two_owners_are_apart(seen_late_s):
    written_s = 100.0
    last_order_s = term_end_s(written_s, GAP_S)
    seen = record(since_s=written_s + seen_late_s)
    first_order_s = claim_due_s(seen, 'front-2', 0.0, 0.0, GAP_S)
    assert first_order_s - last_order_s > GAP_S


def test_gateways_of_the_data_centre_claim_one_after_the_other():
    instances = [
        InstanceEntry('f1', '10.0.0.1', 'bilbao'),
        InstanceEntry('f2', '10.0.0.2', 'bilbao'),
        InstanceEntry('f3', '10.0.0.3', 'gijon'),
    ]
    waits = [claim_wait_s(GROUP, each, instances, 0) for each in instances]
    assert sorted(waits[:2]) == [0, pytest.approx(0.7)]
    assert waits[2] > max(waits[:2])


@pytest.mark.parametrize('strong', ['f1', 'f2', 'f3', 'f4'])
def test_fit_machines_claim_first(strong):
    instances = [
        InstanceEntry(name, '10.0.0.1', 'bilbao', 2 if name == strong else 0.1)
        for name in ('f1', 'f2', 'f3', 'f4')
    ]
    waits = {
        each.instance: claim_wait_s(GROUP, each, instances, 0)
        for each in instances
    }
    assert min(waits, key=waits.get) == strong


def test_who_owns_a_group_leaves_the_next_to_the_second():
    first, second = (
        InstanceEntry(name, '10.0.0.1', 'bilbao', 2) for name in ('f1', 'f2')
    )
    waits = [
        claim_wait_s(GROUP, first, [first, second], 1),
        claim_wait_s(GROUP, second, [first, second], 0),
    ]
    assert waits[1] < waits[0]


@pytest.mark.parametrize(
    ('cores', 'link_mbps', 'fitness'),
    [(1.074, 1000, 1.1), (2.151, 200, 2.0), (0.516, 10, 0.1), (0.516, 5, 0.1)],
)
def test_fitness(cores, link_mbps, fitness):
    assert ownership_weight(cores, link_mbps) == pytest.approx(
        fitness, abs=0.06
    )


def test_groups_share_the_servers():
    groups = {group_of(f'i-{number}', 'bilbao') for number in range(30)}
    assert groups == {Group('bilbao', 0), Group('bilbao', 1)}
