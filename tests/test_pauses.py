"""A process detects that it was paused."""

import pytest

from wasabicross.runtime.pauses import PauseWatch


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


def test_a_pause_lasts_until_it_was_acted_on():
    seen = []
    watch = PauseWatch(2, lambda: seen.append(watch.has_paused(3)))
    assert watch.has_paused(0)
    watch.tick(0)
    assert not watch.has_paused(2)
    assert watch.has_paused(2.1)
    watch.tick(3)
    assert seen == [True]
    assert not watch.has_paused(3)
