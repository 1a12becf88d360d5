"""Placement compared with baselines, with skewed demand and late reports."""

import pytest
from placement_simulation import PlacementSimulation, choose_as_gateways

from wasabicross.gateway.placement import LoadOn, SendTo, choose_server

#: Rate at which 6 of 7 request slots are taken.
PEAK_PER_S = 180.0


def emptiest(adapter, candidates, rng):
    return choose_server(adapter, 1, candidates)


def least_outstanding(adapter, candidates, rng):
    """Baseline: the server with the fewest requests, holder or not."""
    best = min(candidates, key=lambda each: each.requests)
    return (
        SendTo(best.server_id) if best.held_version else LoadOn(best.server_id)
    )


def any_holder(adapter, candidates, rng):
    """Baseline: a random holder, else the server that placement loads on."""
    holders = [each for each in candidates if each.held_version]
    if holders:
        return SendTo(rng.choice(holders).server_id)
    return choose_server(adapter, 1, candidates)


def blind_to_slots(adapter, candidates, rng):
    """Baseline: assume that every engine has a slot for a load."""
    with_slots = [each._replace(spare_slots=1) for each in candidates]
    return choose_as_gateways(adapter, with_slots, rng)


@pytest.fixture(scope='module')
def simulation():
    return PlacementSimulation(choose_as_gateways).run()


def test_few_requests_find_an_engine_crowded(simulation):
    assert simulation.requests_without_slot < 0.01 * simulation.requests


@pytest.mark.parametrize('baseline', [emptiest, any_holder])
def test_fewer_than_by_the_baselines(simulation, baseline):
    baseline_run = PlacementSimulation(baseline).run()
    assert baseline_run.requests == pytest.approx(simulation.requests, rel=0.1)
    assert (
        simulation.requests_without_slot
        < 0.5 * baseline_run.requests_without_slot
    )


def test_adapters_are_not_loaded_everywhere(simulation):
    baseline_run = PlacementSimulation(least_outstanding).run()
    assert simulation.loads < 0.6 * baseline_run.loads


def test_few_loads_wait_for_a_slot_on_the_heaviest_days():
    simulation = PlacementSimulation(choose_as_gateways, PEAK_PER_S).run()
    baseline_run = PlacementSimulation(blind_to_slots, PEAK_PER_S).run()
    assert baseline_run.loads_without_slot > 0.1 * baseline_run.loads
    assert simulation.loads_without_slot < 0.5 * baseline_run.loads_without_slot
    assert simulation.loads_without_slot < 0.05 * simulation.loads
