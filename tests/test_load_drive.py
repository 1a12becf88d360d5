"""The load decisions under simulated arrivals, without any process."""

import pytest

from emulator.arrivals import Arrival
from emulator.load_simulation import (
    TICK_S,
    LoadSimulation,
    compare,
    unbounded_slots_stall_s,
)


def arrivals(*numbers, apart_s=0):
    return [
        Arrival(1 + index * apart_s, number, 1)
        for index, number in enumerate(numbers)
    ]


@pytest.mark.parametrize(
    ('numbers', 'stall_s'),
    [
        ([1], 0.25),
        # One load serves all waiting calls.
        ([1, 1, 1], 0.75),
        # Three loads start together, the fourth a second later.
        ([1, 2, 3], 0.75),
        ([1, 2, 3, 4], 0.75 + 1 + 0.25),
    ],
)
def test_bound_without_hints(numbers, stall_s):
    found_s = unbounded_slots_stall_s(arrivals(*numbers))
    assert found_s == pytest.approx(stall_s, abs=3 * TICK_S * len(numbers))


def test_loads_that_gave_way_are_told_apart():
    figures = LoadSimulation(1, 1).run(arrivals(1, 2, 1, apart_s=10))
    assert figures.loads == 3
    assert figures.again == 1
    assert figures.again_s == pytest.approx(0.25, abs=TICK_S)


def test_fixed_places_never_do_better_than_slots_for_all():
    peak = [Arrival(index / 5, index * 7 % 11, 20) for index in range(150)]
    found = compare(peak, engines=2, slots=2)
    assert found['unbounded'].loads == 11
    assert found['unbounded'].stall_s < found['rendezvous'].stall_s
    assert found['rendezvous'].again > 0
