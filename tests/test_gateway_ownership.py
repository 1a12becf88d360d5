"""Ownership of a group of servers: when it ends and who claims it next."""

import math

import pytest

from wasabicross.gateway.changes import InstanceEntry
from wasabicross.gateway.ownership import (
    RENEWAL_INTERVAL_S,
    TAKEOVER_S,
    Group,
    OwnerRecord,
    absent_claim_s,
    claim_due_s,
    claim_wait_s,
    group_of,
    ownership_weight,
    term_end_s,
)

GROUP = Group('bilbao', 0)
OWNER_GAP_S = 3.0


def record(instance='front-1', since_s=100.0, is_released=False):
    return OwnerRecord(
        'bilbao.0', instance, '10.0.0.1', 7, since_s, is_released
    )


@pytest.mark.parametrize(
    ('found', 'due_s'),
    [
        (None, 51.0),
        # An instance is the same owner after a restart.
        (record('front-2'), -math.inf),
        (record('front-1'), 100 + TAKEOVER_S + 1),
        # A released record is free after the gap between owners.
        (record('front-1', is_released=True), 100 + OWNER_GAP_S + 1 + 1),
    ],
)
def test_when_a_record_may_be_taken(found, due_s):
    assert claim_due_s(found, 'front-2', 1.0, 50.0, OWNER_GAP_S) == due_s


@pytest.mark.parametrize('read_delay_s', [0.0, 0.5, 6.0])
def test_two_owners_are_apart(read_delay_s):
    written_s = 100.0
    last_order_s = term_end_s(written_s, OWNER_GAP_S)
    seen = record(since_s=written_s + read_delay_s)
    first_order_s = claim_due_s(seen, 'front-2', 0.0, 0.0, OWNER_GAP_S)
    assert first_order_s - last_order_s > OWNER_GAP_S


@pytest.mark.parametrize('before_loss_s', [0.0, 0.5, 8.0])
def test_an_owner_whose_record_was_lost_is_apart_from_the_next(before_loss_s):
    lost_s = 100.0
    last_order_s = term_end_s(lost_s - before_loss_s, OWNER_GAP_S)
    first_order_s = absent_claim_s(lost_s + 0.1, lost_s)
    assert first_order_s - last_order_s > OWNER_GAP_S


def test_gateways_of_the_data_centre_claim_one_after_the_other():
    instances = [
        InstanceEntry('f1', '10.0.0.1', 'bilbao'),
        InstanceEntry('f2', '10.0.0.2', 'bilbao'),
        InstanceEntry('f3', '10.0.0.3', 'gijon'),
    ]
    waits = [claim_wait_s(GROUP, each, instances, 0) for each in instances]
    assert sorted(waits[:2]) == [0, pytest.approx(0.7)]
    assert waits[2] > max(waits[:2])


def test_a_data_centre_without_gateways_soon_has_an_owner_again():
    """Its engines take no loads until then."""
    lost = InstanceEntry('f1', '10.0.0.1', 'bilbao')
    remote = InstanceEntry('f3', '10.0.0.3', 'gijon')
    wait_s = claim_wait_s(GROUP, remote, [lost, remote], 0)
    assert wait_s <= RENEWAL_INTERVAL_S
    assert wait_s > claim_wait_s(GROUP, lost, [lost, remote], 1)


@pytest.mark.parametrize('fittest', ['f1', 'f2', 'f3', 'f4'])
def test_fit_machines_claim_first(fittest):
    instances = [
        InstanceEntry(name, '10.0.0.1', 'bilbao', 2 if name == fittest else 0.1)
        for name in ('f1', 'f2', 'f3', 'f4')
    ]
    waits = {
        each.instance: claim_wait_s(GROUP, each, instances, 0)
        for each in instances
    }
    assert min(waits, key=waits.get) == fittest


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
