"""Designs for streams of two software versions, in a short simulation."""

import pytest

from model.stream_balance import adapter_places, greatest_load, settled
from model.stream_costs import costs
from model.stream_designs import (
    Both,
    Brief,
    Design,
    Guarded,
    Refusing,
    Telling,
    Waiting,
    Writing,
)
from model.stream_versions import Setup, simulate
from model.stream_worlds import SCENARIOS

SMALL = Setup(gateways=7, servers=6, rate=14, runs=1)
SEED = 20261205
SCENARIOS_BY_NAME = {each.name: each for each in SCENARIOS}


@pytest.mark.parametrize(
    'design', [Guarded(), Both(), Brief()], ids=lambda each: each.name
)
@pytest.mark.parametrize('name', sorted(SCENARIOS_BY_NAME))
def test_stream_joined_of_two_versions(design, name):
    tally = simulate(design, SCENARIOS_BY_NAME[name], SMALL, SEED)
    assert tally.taken_up
    assert tally.joined == 0


def test_simulation_shows_joined_streams():
    tally = simulate(Design(), SCENARIOS[0], SMALL, SEED)
    assert tally.joined > 0
    assert tally.share == 1


def test_refused_streams_do_not_go_on():
    assert simulate(Refusing(), SCENARIOS[0], SMALL, SEED).share == 0


@pytest.mark.parametrize(
    ('design', 'writes'),
    [(Telling(), 0), (Writing(), 720), (Guarded(), 0)],
    ids=['a', 'b', 'c3'],
)
def test_store_writes_of_360_gateways(design, writes):
    assert costs(design, 360, 9000)[0] == writes


def test_first_event_waits_for_the_store():
    tally = simulate(Waiting(), SCENARIOS[0], SMALL, SEED)
    assert 0 < max(tally.waits_s) <= 0.51


def test_balance_of_a_service_with_two_versions():
    division = settled(3, 3)
    assert greatest_load(3, 3, division, SEED) < 1
    assert adapter_places(division, 14, SEED) > adapter_places(None, 14, SEED)
