"""Copies of a crashing request that come at once crash few servers.

Without a limit, each copy would crash a server before the first loss is known.
"""

import random
import time
from types import SimpleNamespace

import pytest
from trial_parts import (
    BROKEN,
    GO,
    KILLER,
    OTHER,
    SERVERS,
    TRIAL,
    ControllerPair,
    begin_request,
    is_convicted,
    share_suspects,
)

from wasabicross.callers.attempts import AttemptHistory, Attempts
from wasabicross.servers.retries import RetryBudget
from wasabicross.servers.suspects import Clearance, Suspects


@pytest.fixture
def controllers():
    return ControllerPair()


def crash(server, running):
    """Break the copies that run on a server, and return the other ones."""
    for watch, running_on in running:
        if running_on == server:
            watch.fail(KILLER, server, BROKEN)
    return [each for each in running if each[1] != server]


@pytest.mark.parametrize('seed', range(8))
@pytest.mark.parametrize('entry_count', [1, 2, 4])
def test_first_wave_costs_a_server_for_each_entry(
    controllers, entry_count, seed
):
    """The copies come at random times to random servers."""
    rng = random.Random(seed)
    watches = [controllers.entry(str(number)) for number in range(entry_count)]
    lost, running = 0, []
    for _ in range(80):
        watch, server = rng.choice(watches), rng.choice(SERVERS)
        if begin_request(watch, KILLER, server) in {GO, TRIAL}:
            running.append((watch, server))
        if running and rng.random() < 0.3:
            running = crash(rng.choice(running)[1], running)
            lost += 1
        if rng.random() < 0.2:
            share_suspects(rng.choice(watches), rng.choice(watches))
    assert 1 <= lost <= entry_count + 1
    assert any(is_convicted(watch, KILLER) for watch in watches)


def test_copies_are_drawn_together_until_one_has_completed():
    suspects = Suspects()
    suspects.start(KILLER, 'a', 0)
    suspects.start(KILLER, 'a', 0)
    assert suspects.running_on(KILLER) == 'a'
    assert suspects.start(KILLER, 'b', 0) is Clearance.elsewhere
    suspects.complete(KILLER, 'a', 1)
    assert suspects.running_on(KILLER) is None
    assert suspects.start(KILLER, 'b', 1) is GO


@pytest.mark.parametrize(
    ('tried', 'waits'), [((), False), (('a',), True)], ids=['joins', 'waits']
)
def test_copy_waits_unless_it_can_join_the_other(controllers, tried, waits):
    """A copy looks for another server at once, or waits for its deadline."""
    watch = controllers.entry('one')
    assert begin_request(watch, OTHER, 'a') is GO
    now_s = time.monotonic()
    req = SimpleNamespace(
        fingerprint=OTHER, request_id='r', deadline_s=now_s + 0.2
    )
    history = AttemptHistory()
    history.servers.extend((*tried, 'b'))
    attempts = Attempts(watch, RetryBudget())
    assert attempts.clear(req, 'b', history, now_s) is False
    assert (time.monotonic() >= req.deadline_s) is waits


def test_copy_that_found_no_way_to_the_other_waits(controllers):
    """The server of the first copy cannot run it, as with an old load."""
    watch = controllers.entry('one')
    assert begin_request(watch, OTHER, 'a') is GO
    attempts = Attempts(watch, RetryBudget())
    history = AttemptHistory()
    waited = []
    for server in 'bc':
        now_s = time.monotonic()
        req = SimpleNamespace(
            fingerprint=OTHER, request_id='r', deadline_s=now_s + 0.2
        )
        history.servers.append(server)
        assert attempts.clear(req, server, history, now_s) is False
        waited.append(time.monotonic() >= req.deadline_s)
    assert waited == [False, True]
