"""Trials of suspects are shared among all entries that may use a server."""

import time
from types import SimpleNamespace

import pytest
from trial_parts import (
    BROKEN,
    BUSY,
    CONVICTED,
    GO,
    INNOCENT,
    KILLER,
    OTHER,
    SERVERS,
    TRIAL,
    Fleet,
    begin,
    is_convicted,
    tell,
)

from emulator.waiting import wait_until
from wasabicross.callers.attempts import AttemptHistory, Attempts
from wasabicross.messaging.messages import EndTrial, SuspectRunning
from wasabicross.servers.retries import RetryBudget
from wasabicross.servers.server_watch import Ending
from wasabicross.servers.suspects import Suspects


@pytest.fixture
def fleet():
    return Fleet()


def lose(watch, server, *requests):
    """Let requests begin on a server, and break as it is lost."""
    for request in requests:
        assert begin(watch, request, server) is GO
    for broken in requests:
        watch.fail(broken, server, BROKEN)


@pytest.fixture
def entries(fleet):
    """Two entries which know of two suspects, one of them a crasher."""
    one, two = fleet.entry('one'), fleet.entry('two')
    lose(one, 'a', KILLER, INNOCENT)
    tell(one, two)
    return one, two


@pytest.mark.parametrize(
    'first',
    [(INNOCENT, KILLER), (KILLER, INNOCENT)],
    ids=['innocent', 'killer'],
)
def test_only_the_crasher_is_convicted(entries, first):
    """Each entry tries another suspect, on the same server at once."""
    tries = list(zip(entries, first, strict=True))
    lost = ['a']
    for server in SERVERS[1:]:
        on_trial = [
            (watch, request)
            for watch, request in tries
            if begin(watch, request, server) in {GO, TRIAL}
        ]
        is_lost = KILLER in {request for _, request in on_trial}
        lost.extend(server * is_lost)
        for watch, request in on_trial:
            if is_lost:
                watch.fail(request, server, BROKEN)
            else:
                watch.end(request, server, Ending.completed)
        for one, other in (entries, entries[::-1]):
            tell(one, other)
    assert len(lost) == 2
    for watch in entries:
        assert is_convicted(watch, KILLER)
        assert not is_convicted(watch, INNOCENT)


def test_copies_are_tried_on_one_server_at_a_time(entries):
    one, two = entries
    assert begin(one, KILLER, 'b') is TRIAL
    assert begin(two, KILLER, 'c') is BUSY
    one.fail(KILLER, 'b', BROKEN)
    # Also before the other entry has heard of the conviction.
    assert begin(two, KILLER, 'd') is BUSY
    tell(one, two)
    assert begin(two, KILLER, 'd') is CONVICTED


def test_a_trial_that_completes_makes_room(entries):
    one, two = entries
    assert begin(one, INNOCENT, 'b') is TRIAL
    assert begin(two, KILLER, 'b') is BUSY
    one.end(INNOCENT, 'b', Ending.completed)
    wait_until(lambda: begin(two, KILLER, 'b') is TRIAL, 2, 'its turn')


@pytest.mark.parametrize('ending', [Ending.cancelled, Ending.completed])
def test_permits_of_an_ended_trial_are_returned(fleet, entries, ending):
    one, _ = entries
    assert begin(one, INNOCENT, 'b') is TRIAL
    one.end(INNOCENT, 'b', ending)
    assert fleet.permits.acquire('b', OTHER, 'p', 0)
    assert fleet.permits.acquire(INNOCENT.hex(), INNOCENT, 'p', 0)


def test_nothing_is_tried_where_nobody_can_be_asked(fleet, entries):
    one, _ = entries
    fleet.is_cut = True
    assert begin(one, INNOCENT, 'b') is BUSY
    assert one.outstanding('b') == 0
    assert begin(one, OTHER, 'b') is GO
    req = SimpleNamespace(
        fingerprint=INNOCENT, request_id='r', deadline_s=time.monotonic() + 0.1
    )
    attempts = Attempts(one, RetryBudget())
    # It waits for its turn until its deadline, and is then sent elsewhere.
    assert attempts.clear(req, 'b', AttemptHistory(), time.monotonic()) is False


def test_permit_convicts_where_its_keeper_is_gone(fleet, entries):
    """Otherwise a request could cost a server at each of its trials."""
    one, _ = entries
    assert begin(one, KILLER, 'b') is TRIAL
    fleet.is_cut = True
    one.fail(KILLER, 'b', BROKEN)
    assert is_convicted(one, KILLER)


def test_no_copy_is_tried_while_the_first_server_may_have_been_lost(fleet):
    """The first server neither answers nor refuses; the second is lost."""
    one, two = fleet.entry('one'), fleet.entry('two')
    now_s = time.monotonic()
    assert begin(one, KILLER, 'a') is GO
    one.suspects.connection_lost(KILLER, 'a', now_s)
    assert begin(one, KILLER, 'b') is TRIAL
    one.fail(KILLER, 'b', BROKEN)
    tell(one, two)
    assert not is_convicted(two, KILLER)
    assert begin(two, KILLER, 'c') is BUSY
    one.suspects.server_lost('a', time.monotonic())
    tell(one, two)
    assert begin(two, KILLER, 'c') is CONVICTED


@pytest.mark.parametrize('is_told_first', [True, False])
def test_suspect_that_was_under_way_already(fleet, is_told_first):
    """A crasher's copy runs at one entry as the other loses a server."""
    one, two = fleet.entry('one'), fleet.entry('two')
    assert begin(two, KILLER, 'b') is GO
    lose(one, 'a', KILLER, INNOCENT)
    if is_told_first:
        tell(one, two)
        assert begin(one, INNOCENT, 'b') is BUSY
        assert begin(two, INNOCENT, 'b') is BUSY
        assert begin(one, KILLER, 'c') is BUSY
        return
    assert begin(one, INNOCENT, 'b') is TRIAL
    tell(one, two)
    two.fail(KILLER, 'b', BROKEN)
    one.fail(INNOCENT, 'b', BROKEN)
    assert not is_convicted(one, INNOCENT)
    assert begin(one, INNOCENT, 'c') is TRIAL


def test_suspect_that_was_under_way_is_told_until_it_ends(fleet, entries):
    one, two = fleet.entry('three'), entries[0]
    assert begin(one, INNOCENT, 'b') is GO
    tell(two, one)
    one.end(INNOCENT, 'b', Ending.cancelled)
    told = [message for message in fleet.told if message.request == INNOCENT]
    assert told == [
        SuspectRunning('', INNOCENT, 'three'),
        SuspectRunning('b', INNOCENT, 'three'),
        EndTrial('', INNOCENT, 'three'),
        EndTrial('b', INNOCENT, 'three'),
    ]
    assert begin(two, KILLER, 'b') is TRIAL


def test_no_trial_beside_a_request_that_became_suspect():
    suspects = Suspects()
    suspects.complete(KILLER, 'a', 0)
    suspects.start(KILLER, 'b', 0)
    suspects.start(KILLER, 'a', 0)
    suspects.start(INNOCENT, 'a', 0)
    suspects.connection_lost(INNOCENT, 'a', 1)
    suspects.connection_lost(KILLER, 'a', 1)
    suspects.server_lost('a', 1)
    assert suspects.running_suspects(1) == (('b', KILLER),)
    assert suspects.clearance(INNOCENT, 'b', 1) is BUSY
    assert suspects.clearance(INNOCENT, 'c', 1) is TRIAL


def test_innocent_that_started_later_is_not_blamed():
    suspects = Suspects()
    suspects.start(KILLER, 'a', 0)
    suspects.connection_lost(KILLER, 'a', 1)
    suspects.start(INNOCENT, 'a', 2)
    suspects.server_lost('a', 3, broke_s=1)
    assert suspects.clearance(KILLER, 'b', 3) is TRIAL
    assert suspects.clearance(INNOCENT, 'a', 3) is GO
    assert suspects.running_on(INNOCENT) == 'a'
