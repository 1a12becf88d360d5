"""A claim of an idempotency key is granted at most once.

Two grants would run an order twice: after a write whose answer was lost, or
while another owner takes the range over.
"""

import threading

import pytest
from memory_store import MemoryStore
from range_parts import (
    COMPLETED,
    HORIZON_S,
    MAX_RUN_S,
    RELEASED,
    RESULT_TIMEOUT_S,
    UNKNOWN,
    range_logs_of,
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
    with range_logs_of(store) as make_range_log:
        yield make_range_log


REPEATS = {
    'running': ([], {}, AlreadyRunning('a')),
    'silent': ([], {'now_s': MAX_RUN_S}, OutcomeNotKnown()),
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
    outcomes, claim_fields, reply = REPEATS[name]
    range_log = make()
    assert range_log.claim('a') == Granted()
    for holder, state, *answer in outcomes:
        is_release = state is RELEASED
        expected = SettleReply.durable if is_release else SettleReply.noted
        assert range_log.settle(holder, state, *answer) is expected
    assert range_log.claim('c', **claim_fields) == reply


AFTER_TAKE_OVER = {
    'running': ([], 1, AlreadyRunning('a')),
    'silent': ([], MAX_RUN_S, OutcomeNotKnown()),
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
    # The first owner is deposed and grants nothing any more.
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
    range_log = make()
    store.faults['claims/0/0'].extend(faults)
    assert range_log.claim('a') == reply
    repeat = range_log.claim('b')
    assert (repeat == Granted()) == (reply != Granted())
    assert not range_log.log.deposed.is_set()


def test_write_in_doubt_for_long_releases_its_claims(make, store):
    range_log = make(wait_s=0)
    store.faults['claims/0/0'].extend(['lost', 'refused'])
    assert isinstance(range_log.claim('a'), ClaimUnavailable)
    assert wait_until(
        lambda: range_log.claim('b') == Granted(), RESULT_TIMEOUT_S
    )
    # An owner that reads only the log finds the same claim.
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
    range_log = make()
    queued = []

    def take():
        queued.append(range_log.submit_claim('b', key='behind'))
        make()

    store.faults['claims/0/0'].extend([*faults, take])
    assert range_log.claim('a') == reply
    assert queued[0].result(RESULT_TIMEOUT_S) == NotOwned()
    assert range_log.claim('a', key='other') == NotOwned()
    assert make().claim('c') == later_reply


def test_outcome_waits_for_the_store(make, store):
    range_log = make()
    assert range_log.claim('a') == Granted()
    store.is_down = True
    assert range_log.settle('a', RELEASED) is SettleReply.not_durable
    assert isinstance(range_log.claim('b'), ClaimUnavailable)
    store.is_down = False
    assert wait_until(
        lambda: range_log.claim('c') == Granted(), RESULT_TIMEOUT_S
    )
    assert make().claim('d') == AlreadyRunning('c')


@pytest.mark.parametrize(
    ('state', 'is_immediate', 'settle_reply', 'repeat_reply'),
    [
        (COMPLETED, True, SettleReply.noted, Completed(b'yes')),
        (UNKNOWN, True, SettleReply.noted, OutcomeNotKnown()),
        (RELEASED, False, SettleReply.not_owner, NotOwned()),
    ],
)
def test_only_a_release_is_answered_after_its_write(
    make, store, state, is_immediate, settle_reply, repeat_reply
):
    range_log = make()
    assert range_log.claim('a') == Granted()
    has_started, may_continue = threading.Event(), threading.Event()

    def hold():
        has_started.set()
        assert may_continue.wait(RESULT_TIMEOUT_S)

    store.faults['claims/0/0'].append(hold)
    req = ClaimRequest(key_digest('t', 'k'), b'', 'a')
    settled = range_log.log.settle(req, state, b'yes', 1)
    assert has_started.wait(RESULT_TIMEOUT_S)
    assert settled.done() is is_immediate
    repeat = range_log.submit_claim('b', now_s=1)
    assert repeat.done() is is_immediate
    # Another owner takes over before the write, and grants nothing twice.
    later = make()
    may_continue.set()
    assert settled.result(RESULT_TIMEOUT_S) is settle_reply
    assert repeat.result(RESULT_TIMEOUT_S) == repeat_reply
    assert later.claim('c', now_s=1) == AlreadyRunning('a')


def test_claim_that_comes_after_its_own_release_is_not_granted(make):
    range_log = make()
    assert range_log.settle('a', RELEASED) is SettleReply.durable
    assert isinstance(range_log.claim('a'), ClaimUnavailable)
    assert range_log.claim('b') == Granted()
    assert range_log.claim('b') == Granted()


def test_dead_holders_leave_the_outcome_unknown(make):
    range_log = make()
    assert range_log.claim('entry-1/r1') == Granted()
    assert range_log.claim('entry-10/r1', key='other') == Granted()
    range_log.log.settle_lost_holders('entry-1/', 1)
    assert range_log.claim('b') == OutcomeNotKnown()
    assert range_log.claim('b', key='other') == AlreadyRunning('entry-10/r1')


def test_holders_of_a_later_incarnation_are_excluded(make):
    range_log = make()
    assert range_log.claim('north-1/entry-1/old/r1') == Granted()
    assert range_log.claim('north-1/entry-1/new/r1', key='other') == Granted()
    range_log.log.settle_lost_holders(
        'north-1/entry-1/', 1, 'north-1/entry-1/new/'
    )
    assert range_log.claim('b') == OutcomeNotKnown()
    running = AlreadyRunning('north-1/entry-1/new/r1')
    assert range_log.claim('b', key='other') == running


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

    # The first owner writes before, between or after the two writes of the
    # second one.
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
