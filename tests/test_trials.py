"""All entries that may use a server share the trials of suspects.

A suspect is a request that may have crashed a server. If two entries tried
suspects on one server at once, a crash would convict a harmless request too.
"""

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
    ControllerPair,
    begin_request,
    is_convicted,
    share_suspects,
)

from emulator.waiting import wait_until
from wasabicross.callers.attempts import AttemptHistory, Attempts
from wasabicross.messaging.messages import EndTrial, SuspectRunning
from wasabicross.servers.retries import RetryBudget
from wasabicross.servers.server_watch import Ending
from wasabicross.servers.suspects import Suspects


@pytest.fixture
def controllers():
    return ControllerPair()


def lose(watch, server, *requests):
    """Begin requests on a server, then break them as the server is lost."""
    for request in requests:
        assert begin_request(watch, request, server) is GO
    for broken in requests:
        watch.fail(broken, server, BROKEN)


@pytest.fixture
def entries(controllers):
    """Two entries that know two suspects, of which one crashes servers."""
    one, two = controllers.entry('one'), controllers.entry('two')
    lose(one, 'a', KILLER, INNOCENT)
    share_suspects(one, two)
    return one, two


@pytest.mark.parametrize(
    'first',
    [(INNOCENT, KILLER), (KILLER, INNOCENT)],
    ids=['innocent', 'killer'],
)
def test_only_the_crasher_is_convicted(entries, first):
    """Both entries try a different suspect on the same server at once."""
    tries = list(zip(entries, first, strict=True))
    lost = ['a']
    for server in SERVERS[1:]:
        on_trial = [
            (watch, request)
            for watch, request in tries
            if begin_request(watch, request, server) in {GO, TRIAL}
        ]
        is_lost = KILLER in {request for _, request in on_trial}
        lost.extend(server * is_lost)
        for watch, request in on_trial:
            if is_lost:
                watch.fail(request, server, BROKEN)
            else:
                watch.end(request, server, Ending.completed)
        for one, other in (entries, entries[::-1]):
            share_suspects(one, other)
    assert len(lost) == 2
    for watch in entries:
        assert is_convicted(watch, KILLER)
        assert not is_convicted(watch, INNOCENT)


def test_copies_are_tried_on_one_server_at_a_time(entries):
    one, two = entries
    assert begin_request(one, KILLER, 'b') is TRIAL
    assert begin_request(two, KILLER, 'c') is BUSY
    one.fail(KILLER, 'b', BROKEN)
    # This holds before the other entry has received the conviction.
    assert begin_request(two, KILLER, 'd') is BUSY
    share_suspects(one, two)
    assert begin_request(two, KILLER, 'd') is CONVICTED


def test_a_trial_that_completes_makes_room(entries):
    one, two = entries
    assert begin_request(one, INNOCENT, 'b') is TRIAL
    assert begin_request(two, KILLER, 'b') is BUSY
    one.end(INNOCENT, 'b', Ending.completed)
    wait_until(lambda: begin_request(two, KILLER, 'b') is TRIAL, 2, 'its turn')


@pytest.mark.parametrize('ending', [Ending.cancelled, Ending.completed])
def test_permits_of_an_ended_trial_are_returned(controllers, entries, ending):
    one, _ = entries
    assert begin_request(one, INNOCENT, 'b') is TRIAL
    one.end(INNOCENT, 'b', ending)
    assert controllers.permits.acquire('b', OTHER, 'p', 0)
    assert controllers.permits.acquire(INNOCENT.hex(), INNOCENT, 'p', 0)


def test_nothing_is_tried_where_nobody_can_be_asked(controllers, entries):
    one, _ = entries
    controllers.is_disconnected = True
    assert begin_request(one, INNOCENT, 'b') is BUSY
    assert one.outstanding('b') == 0
    assert begin_request(one, OTHER, 'b') is GO
    req = SimpleNamespace(
        fingerprint=INNOCENT, request_id='r', deadline_s=time.monotonic() + 0.1
    )
    attempts = Attempts(one, RetryBudget())
    # The request waits for a permit until its deadline, then goes elsewhere.
    assert attempts.clear(req, 'b', AttemptHistory(), time.monotonic()) is False


def test_permit_convicts_where_its_keeper_is_gone(controllers, entries):
    """Otherwise each trial of the request could crash one more server."""
    one, _ = entries
    assert begin_request(one, KILLER, 'b') is TRIAL
    controllers.is_disconnected = True
    one.fail(KILLER, 'b', BROKEN)
    assert is_convicted(one, KILLER)


def test_no_copy_is_tried_while_the_first_server_may_have_been_lost(
    controllers,
):
    """The first server neither answers nor refuses, and the second is lost."""
    one, two = controllers.entry('one'), controllers.entry('two')
    now_s = time.monotonic()
    assert begin_request(one, KILLER, 'a') is GO
    one.suspects.connection_lost(KILLER, 'a', now_s)
    assert begin_request(one, KILLER, 'b') is TRIAL
    one.fail(KILLER, 'b', BROKEN)
    share_suspects(one, two)
    assert not is_convicted(two, KILLER)
    assert begin_request(two, KILLER, 'c') is BUSY
    one.suspects.server_lost('a', time.monotonic())
    share_suspects(one, two)
    assert begin_request(two, KILLER, 'c') is CONVICTED


@pytest.mark.parametrize('is_shared_first', [True, False])
def test_suspect_that_was_running_already(controllers, is_shared_first):
    """One entry runs a copy of a request that crashes a server of the other."""
    one, two = controllers.entry('one'), controllers.entry('two')
    assert begin_request(two, KILLER, 'b') is GO
    lose(one, 'a', KILLER, INNOCENT)
    if is_shared_first:
        share_suspects(one, two)
        assert begin_request(one, INNOCENT, 'b') is BUSY
        assert begin_request(two, INNOCENT, 'b') is BUSY
        assert begin_request(one, KILLER, 'c') is BUSY
        return
    assert begin_request(one, INNOCENT, 'b') is TRIAL
    share_suspects(one, two)
    two.fail(KILLER, 'b', BROKEN)
    one.fail(INNOCENT, 'b', BROKEN)
    assert not is_convicted(one, INNOCENT)
    assert begin_request(one, INNOCENT, 'c') is TRIAL


def test_suspect_that_was_running_is_reported_until_it_ends(
    controllers, entries
):
    one, two = controllers.entry('three'), entries[0]
    assert begin_request(one, INNOCENT, 'b') is GO
    share_suspects(two, one)
    one.end(INNOCENT, 'b', Ending.cancelled)
    notices = [
        message
        for message in controllers.notices
        if message.request == INNOCENT
    ]
    assert notices == [
        SuspectRunning('', INNOCENT, 'three'),
        SuspectRunning('b', INNOCENT, 'three'),
        EndTrial('', INNOCENT, 'three'),
        EndTrial('b', INNOCENT, 'three'),
    ]
    assert begin_request(two, KILLER, 'b') is TRIAL


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
