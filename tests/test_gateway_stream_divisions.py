"""Which software version begins a stream, and which may have begun it."""

from collections import Counter

import pytest

from wasabicross.gateway.stream_divisions import (
    ANNOUNCED_S,
    BUCKETS,
    MAX_KNOWLEDGE_AGE_S,
    SPREAD_S,
    FormerBuckets,
    StreamDivision,
    bucket_of,
    first_division,
    next_division,
    without_lapsed,
)

OLD = ('v1',) * BUCKETS
HALF = OLD[:16] + ('v2',) * 16
NEW = ('v2',) * BUCKETS


def shares_of(buckets):
    return dict(Counter(buckets))


@pytest.mark.parametrize(
    ('slots', 'announced'),
    [
        ({'v1': 384}, ()),
        ({'v1': 320, 'v2': 64}, ()),
        ({'v1': 192, 'v2': 192}, HALF),
        ({}, ()),
        ({'v1': 0, 'v2': 0}, ()),
    ],
)
def test_change_is_announced_before_buckets_move(slots, announced):
    division = next_division(StreamDivision(1, OLD), slots, 10)
    assert division.buckets == OLD
    assert shares_of(division.announced) == shares_of(announced)


def test_announced_buckets_come_into_force_later():
    division = StreamDivision(2, OLD, HALF, announced_s=10)
    slots = {'v1': 192, 'v2': 192}
    assert next_division(division, slots, 9.9 + ANNOUNCED_S) is division
    changed = next_division(division, slots, 10 + ANNOUNCED_S)
    assert changed.buckets == HALF
    assert changed.announced == ()
    assert changed.former == (FormerBuckets(OLD, 10 + ANNOUNCED_S),)


@pytest.mark.parametrize(
    ('buckets', 'slots', 'expected'),
    [
        (OLD, {'v2': 64}, NEW),
        (HALF, {'v2': 64}, NEW),
        (OLD, {'v1': 0, 'v2': 64, 'v3': 64}, ('v2', 'v3') * 16),
    ],
)
def test_buckets_of_a_version_that_has_left_move_at_once(
    buckets, slots, expected
):
    division = next_division(StreamDivision(1, buckets), slots, 10)
    assert shares_of(division.buckets) == shares_of(expected)
    assert division.former == (FormerBuckets(buckets, 10),)


def test_only_buckets_of_the_version_that_has_left_move_unannounced():
    buckets = ('v1',) * 2 + ('v2',) * 30
    division = next_division(
        StreamDivision(1, buckets), {'v2': 64, 'v3': 640}, 10
    )
    assert division.buckets[2:] == buckets[2:]


def test_few_buckets_move():
    third = next_division(
        StreamDivision(1, HALF), {'v1': 64, 'v2': 64, 'v3': 64}, 0
    ).announced
    moved = sum(
        before != after for before, after in zip(HALF, third, strict=True)
    )
    assert moved == shares_of(third)['v3']
    assert 10 <= moved <= 11


@pytest.mark.parametrize(
    ('since_s', 'versions'),
    [
        (0, {'v1', 'v2'}),
        (20 + MAX_KNOWLEDGE_AGE_S, {'v1', 'v2'}),
        (20.1 + MAX_KNOWLEDGE_AGE_S, {'v2'}),
    ],
)
def test_stream_of_a_moved_bucket(since_s, versions):
    division = StreamDivision(3, NEW, former=(FormerBuckets(OLD, 20),))
    assert division.possible_versions('9c41', since_s, 25) == versions


@pytest.mark.parametrize('resumes', ['9c41', 'x' * 5000, '\xff'])
def test_stream_of_a_bucket_that_has_not_moved(resumes):
    division = StreamDivision(3, HALF, former=(FormerBuckets(HALF, 20),))
    version = HALF[bucket_of(resumes)]
    assert division.version_for(resumes) == version
    assert division.possible_versions(resumes, 0, 25) == {version}


@pytest.mark.parametrize(
    ('now_s', 'versions'),
    [
        (10, {'v1'}),
        (10 + ANNOUNCED_S - SPREAD_S, {'v1', 'v2'}),
    ],
)
def test_announced_version_may_be_in_force_elsewhere(now_s, versions):
    division = StreamDivision(2, OLD, NEW, announced_s=10)
    assert division.possible_versions('9c41', now_s, now_s) == versions


def test_stream_that_broke_before_the_announced_versions_came_into_force():
    division = StreamDivision(2, OLD, NEW, announced_s=10)
    possible = division.possible_versions('9c41', 0, 90, is_confirmed=True)
    assert possible == {'v1'}


def test_stream_without_the_attempt_that_began_it():
    assert StreamDivision(1, OLD).possible_versions('', 0, 9) == {'v1'}
    assert StreamDivision(1, HALF).possible_versions('', 0, 9) == {'v1', 'v2'}


def test_any_version_may_have_begun_streams_before_the_first_division():
    division = first_division(['v1', 'v2'], 5)
    assert division.buckets == OLD
    assert division.possible_versions('9c41', 0, 5) == {'v1', 'v2'}
    since_s = 5.1 + MAX_KNOWLEDGE_AGE_S
    assert division.possible_versions('9c41', since_s, 11) == {'v1'}
    assert first_division(['v1'], 5).former == ()


@pytest.mark.parametrize(
    ('now_s', 'kept'), [(45 + 2 * SPREAD_S, 1), (50.1 + 2 * SPREAD_S, 0)]
)
def test_former_buckets_lapse_with_the_callers_time_limit(now_s, kept):
    division = StreamDivision(
        3, NEW, former=(FormerBuckets(OLD, 20),), time_limit_s=15
    )
    assert len(without_lapsed(division, now_s).former) == kept


def test_rollback_to_the_first_version():
    slots = {'v1': 192, 'v2': 192}
    division = next_division(StreamDivision(1, OLD), slots, 0)
    division = next_division(division, slots, ANNOUNCED_S)
    division = next_division(division, {'v1': 384}, 30)
    assert division.buckets == OLD
    assert division.possible_versions('9c41', 40, 41) == {'v1'}
