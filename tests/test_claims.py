"""Claims of idempotency keys: at most one grant, whatever the store does."""

import threading

import pytest
from memory_store import MemoryStore
from range_parts import (
    COMPLETED,
    HORIZON_S,
    RELEASED,
    RUNNING_S,
    UNKNOWN,
    WAIT_S,
    ranges_of,
)

from emulator.waiting import wait_until
from wasabicross.claims import claim_segments
from wasabicross.claims.claims import (
    AlreadyRun,
    AlreadyRunning,
    ClaimRequest,
    ClaimUnavailable,
    Completed,
    Granted,
    InDoubt,
    KeyReused,
    NotOwned,
    OutcomeNotKnown,
    SettleReply,
    key_digest,
)


@pytest.fixture
def store():
    return MemoryStore()


@pytest.fixture
def make(store):
    with ranges_of(store) as make_range:
        yield make_range


REPEATS = {
    'running': ([], {}, AlreadyRunning('a')),
    'silent': ([], {'now_s': RUNNING_S}, OutcomeNotKnown()),
    'completed': ([('a', COMPLETED, b'yes')], {}, Completed(b'yes')),
    'answer too long': ([('a', COMPLETED, b'y' * 20000)], {}, AlreadyRun()),
    'unknown': ([('a', UNKNOWN)], {}, OutcomeNotKnown()),
    'released': ([('a', RELEASED)], {}, Granted()),
    'other request': ([], {'digest': b'e'}, KeyReused()),
    'first outcome counts': (
        [('a', COMPLETED, b'yes'), ('a', RELEASED)],
        {},
        Completed(b'yes'),
    ),
    'outcome of another': ([('b', RELEASED)], {}, AlreadyRunning('a')),
    'horizon is over': ([], {'now_s': HORIZON_S}, Granted()),
}


@pytest.mark.parametrize('name', REPEATS)
def test_repeat(make, name):
    outcomes, asked, reply = REPEATS[name]
    here = make()
    assert here.claim('a') == Granted()
    for holder, state, *answer in outcomes:
        is_release = state is RELEASED
        told = SettleReply.durable if is_release else SettleReply.noted
        assert here.settle(holder, state, *answer) is told
    assert here.claim('c', **asked) == reply


AFTER_TAKE_OVER = {
    'running': ([], 1, AlreadyRunning('a')),
    'silent': ([], RUNNING_S, OutcomeNotKnown()),
    'completed': ([('a', COMPLETED, b'yes')], 1, AlreadyRun()),
    'unknown': ([('a', UNKNOWN)], 1, OutcomeNotKnown()),
    'released': ([('a', RELEASED)], 1, Granted()),
}


@pytest.mark.parametrize('name', AFTER_TAKE_OVER)
def test_later_owner_knows_what_was_durable(make, name):
    outcomes, now_s, reply = AFTER_TAKE_OVER[name]
    first = make()
    assert first.claim('a') == Granted()
    for outcome in outcomes:
        first.settle(*outcome)
    first.write_outcomes()
    assert make().claim('b', now_s=now_s) == reply
    # The first owner was shut out and grants nothing any more.
    assert first.claim('c', key='other') == NotOwned()
    assert first.log.deposed.is_set()


@pytest.mark.parametrize(
    ('faults', 'reply'),
    [
        (['lost'], Granted()),
        (['dropped'], Granted()),
        (['lost', 'refused'], Granted()),
        (['lost', 'refused', 'refused'], Granted()),
        (['dropped', 'refused', 'dropped', 'dropped'], Granted()),
        (['refused'], ClaimUnavailable(2.0)),
    ],
)
def test_lost_answer(make, store, faults, reply):
    here = make()
    store.faults['claims/0/0'].extend(faults)
    assert here.claim('a') == reply
    repeat = here.claim('b')
    assert (repeat == Granted()) == (reply != Granted())
    assert not here.log.deposed.is_set()


def test_write_in_doubt_for_long_releases_its_claims(make, store):
    here = make(wait_s=0)
    store.faults['claims/0/0'].extend(['lost', 'refused'])
    assert isinstance(here.claim('a'), ClaimUnavailable)
    assert wait_until(lambda: here.claim('b') == Granted(), WAIT_S)
    # The log alone says the same.
    assert make().claim('c') == AlreadyRunning('b')


@pytest.mark.parametrize(
    ('faults', 'reply', 'later_reply'),
    [
        ([], NotOwned(), Granted()),
        (['dropped'], InDoubt(), Granted()),
        (['lost'], InDoubt(), AlreadyRunning('a')),
    ],
    ids=['surely not written', 'in doubt', 'in doubt and written'],
)
def test_claim_at_an_owner_whose_range_is_taken(
    make, store, faults, reply, later_reply
):
    here = make()
    behind = []

    def take():
        behind.append(here.ask('b', key='behind'))
        make()

    store.faults['claims/0/0'].extend([*faults, take])
    assert here.claim('a') == reply
    assert behind[0].result(WAIT_S) == NotOwned()
    assert here.claim('a', key='other') == NotOwned()
    assert make().claim('c') == later_reply


def test_outcome_waits_for_the_store(make, store):
    here = make()
    assert here.claim('a') == Granted()
    store.is_down = True
    assert here.settle('a', RELEASED) is SettleReply.not_durable
    assert isinstance(here.claim('b'), ClaimUnavailable)
    store.is_down = False
    assert wait_until(lambda: here.claim('c') == Granted(), WAIT_S)
    assert make().claim('d') == AlreadyRunning('c')


@pytest.mark.parametrize(
    ('state', 'is_told', 'told', 'repeat_reply'),
    [
        (COMPLETED, True, SettleReply.noted, Completed(b'yes')),
        (UNKNOWN, True, SettleReply.noted, OutcomeNotKnown()),
        (RELEASED, False, SettleReply.not_owner, NotOwned()),
    ],
)
def test_only_a_release_is_told_after_its_write(
    make, store, state, is_told, told, repeat_reply
):
    here = make()
    assert here.claim('a') == Granted()
    under_way, go_on = threading.Event(), threading.Event()

    def hold():
        under_way.set()
        assert go_on.wait(WAIT_S)

    store.faults['claims/0/0'].append(hold)
    req = ClaimRequest(key_digest('t', 'k'), b'', 'a')
    settled = here.log.settle(req, state, b'yes', 1)
    assert under_way.wait(WAIT_S)
    assert settled.done() is is_told
    repeat = here.ask('b', now_s=1)
    assert repeat.done() is is_told
    # Another owner comes first; whatever it knows, nothing runs twice.
    later = make()
    go_on.set()
    assert settled.result(WAIT_S) is told
    assert repeat.result(WAIT_S) == repeat_reply
    assert later.claim('c', now_s=1) == AlreadyRunning('a')


def test_claim_that_comes_after_its_own_release_is_not_granted(make):
    here = make()
    assert here.settle('a', RELEASED) is SettleReply.durable
    assert isinstance(here.claim('a'), ClaimUnavailable)
    assert here.claim('b') == Granted()
    assert here.claim('b') == Granted()


def test_dead_holders_leave_the_outcome_unknown(make):
    here = make()
    assert here.claim('entry-1/r1') == Granted()
    assert here.claim('entry-10/r1', key='other') == Granted()
    here.log.settle_lost_holders('entry-1/', 1)
    assert here.claim('b') == OutcomeNotKnown()
    assert here.claim('b', key='other') == AlreadyRunning('entry-10/r1')


def test_holders_of_a_later_life_are_spared(make):
    here = make()
    assert here.claim('north-1/entry-1/old/r1') == Granted()
    assert here.claim('north-1/entry-1/new/r1', key='other') == Granted()
    here.log.settle_lost_holders('north-1/entry-1/', 1, 'north-1/entry-1/new/')
    assert here.claim('b') == OutcomeNotKnown()
    running = AlreadyRunning('north-1/entry-1/new/r1')
    assert here.claim('b', key='other') == running


@pytest.mark.parametrize('swaps_before', [0, 1, 2])
@pytest.mark.parametrize('segment_bytes', [50, 16 * 1024])
def test_owner_writes_while_another_takes_over(
    make, store, monkeypatch, segment_bytes, swaps_before
):
    monkeypatch.setattr(claim_segments, 'SEGMENT_BYTES', segment_bytes)
    first = make()
    for number in range(5):
        assert first.claim('a', key=f'k{number}') == Granted()
    late = []

    def write_late():
        late.append(first.claim('a', key='late'))

    # The first owner writes before, between or after the taker's two writes.
    store.faults['claims/0/0'].extend([None] * swaps_before + [write_late])
    second = make()
    if not late:
        store.faults.clear()
        write_late()
        assert late[0] == NotOwned()
    reply = second.claim('b', key='late')
    assert (reply == Granted()) == (late[0] != Granted())
    for number in range(5):
        assert second.claim('b', key=f'k{number}') == AlreadyRunning('a')
