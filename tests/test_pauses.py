"""A process notices that it was frozen."""

import pytest

from wasabicross.pauses import PauseWatch


@pytest.mark.parametrize(
    ('ticks_s', 'pauses'),
    [
        ([100], 0),
        ([0, 0.5, 1, 3], 0),
        ([0, 2.1], 1),
        ([0, 2.1, 2.6, 9], 2),
    ],
)
def test_long_gaps_are_noticed(ticks_s, pauses):
    noticed = []
    watch = PauseWatch(2, lambda: noticed.append(True))
    for now_s in ticks_s:
        watch.tick(now_s)
    assert len(noticed) == pauses
