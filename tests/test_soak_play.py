"""Fixed seeds of the soak break no promise."""

import pytest

from emulator.soak.play import Size, play
from emulator.soak.schedule import schedule_of

SIZE = Size(gateways=3, engines=2, callers=8)
LENGTH_S = 12


@pytest.mark.parametrize('seed', [3])
def test_seed_breaks_nothing(seed, tmp_path):
    faults = schedule_of(seed, LENGTH_S)
    verdict = play(seed, faults, SIZE, tmp_path / 'soak')
    assert verdict.broken == []
    assert verdict.seen.orders
    assert len(verdict.seen.done) == len(faults)
