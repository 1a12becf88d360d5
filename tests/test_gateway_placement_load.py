"""What callers get of the placement while demand is skewed and reports lag."""

import pytest
from placement_simulation import PlacementSimulation, choose_as_gateways

from wasabicross.gateway.placement import LoadOn, SendTo, choose_server

#: Six in seven of the slots for requests are taken.
HEAVIEST_PER_S = 180.0


def emptiest(adapter, candidates, rng):
    return choose_server(adapter, 1, candidates)


def least_outstanding(adapter, candidates, rng):
    """Baseline: the emptiest server, whatever it holds."""
    best = min(candidates, key=lambda each: each.requests)
    return (
        SendTo(best.server_id) if best.held_version else LoadOn(best.server_id)
    )


def any_holder(adapter, candidates, rng):
    """Baseline: a random holder, the first home where there is none."""
    holders = [each for each in candidates if each.held_version]
    if holders:
        return SendTo(rng.choice(holders).server_id)
    return choose_server(adapter, 1, candidates)


def blind_to_slots(adapter, candidates, rng):
    """Baseline: takes it that a load gets a slot anywhere."""
    alike = [each._replace(spare_slots=1) for each in candidates]
    return choose_as_gateways(adapter, alike, rng)


@pytest.fixture(scope='module')
def played():
    return PlacementSimulation(choose_as_gateways).run()


def test_few_requests_find_an_engine_crowded(played):
    assert played.requests_without_slot < 0.01 * played.requests


@pytest.mark.parametrize('baseline', [emptiest, any_holder])
def test_fewer_than_by_the_baselines(played, baseline):
    other = PlacementSimulation(baseline).run()
    assert other.requests == pytest.approx(played.requests, rel=0.1)
    assert played.requests_without_slot < 0.5 * other.requests_without_slot


def test_adapters_are_not_loaded_everywhere(played):
    other = PlacementSimulation(least_outstanding).run()
    assert played.loads < 0.6 * other.loads


def test_few_loads_wait_for_a_slot_on_the_heaviest_days():
    played = PlacementSimulation(choose_as_gateways, HEAVIEST_PER_S).run()
    other = PlacementSimulation(blind_to_slots, HEAVIEST_PER_S).run()
    assert other.loads_without_slot > 0.1 * other.loads
    assert played.loads_without_slot < 0.5 * other.loads_without_slot
    assert played.loads_without_slot < 0.05 * played.loads
