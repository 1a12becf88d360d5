"""Instances share the ranges of keys, and each range has one owner.

A range without an owner refuses its claims, so another instance takes it over.
"""

import pytest
from memory_store import MemoryStore

from wasabicross.claims.claim_ranges import (
    ORPHAN_AFTER_S,
    ORPHAN_KEEP_S,
    ClaimRanges,
    RangeOwner,
)
from wasabicross.claims.claims import (
    ClaimRequest,
    NotOwned,
    key_digest,
    range_of,
)

HORIZON_S = 3600.0
MAX_RUN_S = 60.0


@pytest.fixture
def store():
    return MemoryStore()


def _ranges(store, name):
    owner = RangeOwner(name, '127.0.0.1', 1)
    return ClaimRanges(store, owner, 6, HORIZON_S, MAX_RUN_S, lambda: name)


def test_ranges_are_shared_and_taken_over(store):
    three = [_ranges(store, name) for name in ('a', 'b', 'c')]
    for _ in range(12):
        for each in three:
            each.step(3, 0)
    assert [len(each.owned()) for each in three] == [2, 2, 2]
    number = three[0].owned()[0]
    assert three[1].owner_of(number, 10).instance_id == 'a'
    three[0].stop()
    for _ in range(12):
        for each in three[1:]:
            each.step(2, 20)
    assert [len(each.owned()) for each in three[1:]] == [3, 3]
    assert three[1].owner_of(number, 30).instance_id in {'b', 'c'}
    req = ClaimRequest(key_digest('t', 'k'), b'd', 'h')
    assert three[0].claim(number, req, 0).result(0) == NotOwned()
    for each in three[1:]:
        each.stop()


def test_free_range_is_reported_only_while_the_store_answers(store):
    here, other = (_ranges(store, name) for name in ('a', 'b'))
    assert not here.is_unowned(0, 0)
    assert here.owner_of(0, 0) is None
    assert here.is_unowned(0, 0.5)
    store.is_down = True
    assert here.owner_of(0, 1) is None
    assert not here.is_unowned(0, 1)
    store.is_down = False
    for _ in range(6):
        other.step(1, 2)
    assert here.owner_of(0, 2).instance_id == 'b'
    assert not here.is_unowned(0, 2)
    other.stop()


@pytest.mark.parametrize(('instances', 'reads'), [(1, 5), (50, 4), (500, 1)])
def test_reads_for_a_free_range_do_not_grow_with_the_fleet(
    store, monkeypatch, instances, reads
):
    here = _ranges(store, 'a')
    here.instances = instances
    read_keys = []
    get = store.get
    monkeypatch.setattr(
        store, 'get', lambda key: read_keys.append(key) or get(key)
    )
    for eighth in range(24):
        here.invalidate_owner(0)
        here.owner_of(0, eighth / 8)
    assert len(read_keys) == reads


def test_range_that_stays_free_is_taken_beyond_the_share(store):
    """One of three instances takes no share at first, and takes it later."""
    three = [_ranges(store, name) for name in ('a', 'b', 'c')]

    def owned_count(ranges, now_s):
        for _ in range(12):
            for each in ranges:
                each.step(3, now_s)
        return sum(len(each.owned()) for each in ranges)

    assert owned_count(three[:2], 0) == 4
    assert owned_count(three[:2], ORPHAN_AFTER_S - 1) == 4
    assert owned_count(three[:2], ORPHAN_AFTER_S) == 6
    assert owned_count(three, ORPHAN_AFTER_S + ORPHAN_KEEP_S - 1) == 6
    assert not three[2].owned()
    owned_count(three, ORPHAN_AFTER_S + ORPHAN_KEEP_S)
    assert [len(each.owned()) for each in three] == [2, 2, 2]
    for each in three:
        each.stop()


def test_range_follows_from_tenant_and_key_alone():
    found = {range_of('t', f'k{number}', 16) for number in range(300)}
    assert found == set(range(16))
    assert key_digest('ab', 'c') != key_digest('a', 'bc')
