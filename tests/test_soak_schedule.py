"""A seed always gives the same schedule, which can be saved and reduced."""

import pytest

from emulator.soak.schedule import (
    CRASH_KINDS,
    KINDS,
    LIMIT_KINDS,
    NOTICE_KINDS,
    REFUSAL_KINDS,
    RELEASE_KINDS,
    RENEW_KINDS,
    RESTART_KINDS,
    decode,
    encode,
    schedule_of,
    shortened,
)


def test_a_seed_gives_one_schedule():
    assert schedule_of(7, 60) == schedule_of(7, 60)
    assert schedule_of(7, 60) != schedule_of(8, 60)


def test_a_longer_run_begins_alike():
    short = schedule_of(7, 30)
    assert schedule_of(7, 60)[: len(short)] == short


def test_schedules_are_kept():
    assert decode(encode(schedule_of(7, 60))) == schedule_of(7, 60)


def test_all_kinds_come_and_last_as_long_as_they_may():
    faults = [fault for seed in range(20) for fault in schedule_of(seed, 60)]
    all_kinds = {
        **KINDS,
        **NOTICE_KINDS,
        **LIMIT_KINDS,
        **CRASH_KINDS,
        **RESTART_KINDS,
        **RENEW_KINDS,
        **REFUSAL_KINDS,
        **RELEASE_KINDS,
    }
    assert {fault.kind for fault in faults} == all_kinds.keys()
    for fault in faults:
        shortest_s, longest_s = all_kinds[fault.kind]
        assert shortest_s <= fault.for_s <= longest_s
    assert any(
        one.until_s > other.at_s for one, other in zip(faults, faults[1:])
    )


@pytest.mark.parametrize('guilty', [(0,), (5,), (3, 17), (0, 1, 2)])
def test_a_schedule_is_shortened_to_what_fails(guilty):
    faults = schedule_of(7, 40)
    wanted = {faults[number] for number in guilty}
    few = shortened(faults, lambda rest: wanted <= set(rest))
    assert set(few) == wanted
