"""A request that crashes servers is convicted after it has crashed two.

The first loss makes all requests that ran there suspects, and a second loss
with a single suspect convicts it, whichever servers and entries took part.
"""

import random

import pytest

from wasabicross.messaging.suspect_records import (
    SuspectRecord,
    SuspectState,
    SuspectTable,
)
from wasabicross.ownership.trial_permits import TrialPermits
from wasabicross.servers.suspects import Clearance, Suspects, fingerprint

#: Crashes every server that runs it; the innocent ones are harmless.
KILLER = fingerprint('/v1/chat', b'killer')
INNOCENT = [fingerprint('/v1/chat', b'%d' % number) for number in range(20)]
GO, TRIAL = Clearance.go, Clearance.trial
BUSY, CONVICTED = Clearance.busy, Clearance.convicted


def lose(suspects, server, requests, now_s=0.0):
    """Start requests on a server, break their connections and lose the server."""
    for request in requests:
        assert suspects.start(request, server, now_s) in {GO, TRIAL}
    for request in requests:
        suspects.connection_lost(request, server, now_s)
    suspects.server_lost(server, now_s)


def test_first_loss_makes_all_suspect_and_a_trial_clears():
    suspects = Suspects()
    lose(suspects, 'a', [KILLER, *INNOCENT[:3]])
    assert suspects.start(INNOCENT[0], 'b', 1) is TRIAL
    assert suspects.start(INNOCENT[1], 'b', 1) is BUSY
    assert suspects.start(INNOCENT[9], 'b', 1) is GO
    assert suspects.start(INNOCENT[1], 'c', 1) is TRIAL
    assert suspects.start(INNOCENT[1], 'd', 1) is BUSY
    suspects.complete(INNOCENT[0], 'b', 2)
    assert suspects.clearance(INNOCENT[0], 'b', 2) is GO
    assert suspects.start(KILLER, 'b', 2) is TRIAL


def test_second_loss_convicts_the_only_suspect():
    suspects = Suspects()
    lose(suspects, 'a', [KILLER, *INNOCENT[:3]])
    lose(suspects, 'b', [KILLER, *INNOCENT[5:9]], 1)
    assert suspects.clearance(KILLER, 'c', 1) is CONVICTED
    assert suspects.clearance(INNOCENT[5], 'c', 1) is GO
    assert suspects.clearance(INNOCENT[0], 'c', 1) is TRIAL


@pytest.mark.parametrize('alive', [True, False])
def test_cut_link_is_no_loss(alive):
    suspects = Suspects()
    suspects.start(KILLER, 'a', 0)
    suspects.connection_lost(KILLER, 'a', 0)
    assert suspects.clearance(KILLER, 'b', 0) is TRIAL
    if alive:
        suspects.server_alive('a', 1)
    assert suspects.clearance(KILLER, 'b', 1 if alive else 16) is GO


@pytest.mark.parametrize(
    ('first_lost', 'verdict'),
    [(None, BUSY), (True, CONVICTED), (False, TRIAL)],
)
def test_trial_ends_before_the_first_loss_is_known(first_lost, verdict):
    suspects = Suspects()
    suspects.start(KILLER, 'a', 0)
    suspects.connection_lost(KILLER, 'a', 0)
    lose(suspects, 'b', [KILLER], 1)
    if first_lost is True:
        suspects.server_lost('a', 2)
    elif first_lost is False:
        suspects.server_alive('a', 2)
    assert suspects.clearance(KILLER, 'c', 2) is verdict


@pytest.mark.parametrize('seed', range(20))
def test_losses_are_bounded_among_random_traffic(seed):
    rng = random.Random(seed)
    suspects, lost, running = Suspects(), 0, {}
    for step in range(2000):
        server = rng.choice('abcdef')
        request = rng.choice([KILLER, *INNOCENT])
        if suspects.start(request, server, step / 100) in {GO, TRIAL}:
            running.setdefault(server, []).append(request)
        server = rng.choice('abcdef')
        if KILLER in running.get(server, ()):
            for request in running.pop(server):
                suspects.connection_lost(request, server, step / 100)
            suspects.server_lost(server, step / 100)
            lost += 1
        elif running.get(server):
            done = running[server].pop()
            suspects.complete(done, server, step / 100)
    assert suspects.clearance(KILLER, 'a', 20) is CONVICTED
    assert lost == 2
    assert all(
        suspects.clearance(request, 'f', 20) is not CONVICTED
        for request in INNOCENT
    )


def test_completion_outweighs_an_earlier_blame():
    suspects = Suspects()
    suspects.complete(KILLER, 'a', 0)
    assert suspects.start(KILLER, 'c', 0) is GO
    assert suspects.start(KILLER, 'a', 0) is GO
    suspects.connection_lost(KILLER, 'a', 0)
    suspects.abandon(KILLER, 'c')
    lose(suspects, 'b', [KILLER], 1)
    suspects.complete(KILLER, 'c', 2)
    lose(suspects, 'd', [KILLER, *INNOCENT], 3)
    assert suspects.clearance(KILLER, 'e', 3) is TRIAL


def test_copies_are_drawn_to_the_server_that_runs_one():
    suspects = Suspects()
    suspects.start(KILLER, 'a', 0)
    assert suspects.running_on(KILLER) == 'a'
    suspects.abandon(KILLER, 'a')
    assert suspects.running_on(KILLER) is None


@pytest.mark.parametrize(('repeats', 'refused'), [(0, False), (9, True)])
def test_conviction_lasts_while_the_caller_persists(repeats, refused):
    suspects = Suspects()
    lose(suspects, 'a', [KILLER])
    lose(suspects, 'b', [KILLER])
    for hour in range(repeats):
        assert suspects.clearance(KILLER, 'c', hour * 1800) is CONVICTED
    verdict = suspects.clearance(KILLER, 'c', 4 * 3600)
    assert (verdict is CONVICTED) is refused


def record(generation, state):
    return SuspectRecord(KILLER, generation, int(state), 3600)


@pytest.mark.parametrize(
    ('told', 'state'),
    [
        (
            [(1, SuspectState.suspect), (1, SuspectState.cleared)],
            SuspectState.cleared,
        ),
        (
            [(2, SuspectState.suspect), (1, SuspectState.cleared)],
            SuspectState.suspect,
        ),
        (
            [(1, SuspectState.convicted), (1, SuspectState.cleared)],
            SuspectState.convicted,
        ),
        (
            [(1, SuspectState.convicted), (2, SuspectState.suspect)],
            SuspectState.convicted,
        ),
    ],
)
def test_merge_in_any_order(told, state):
    for order in (told, told[::-1], told * 2):
        records = SuspectTable()
        records.merge([record(*each) for each in order], 0)
        assert records.state(KILLER, 0) is state


def test_processes_exchange_records_until_none_is_new():
    one, two = Suspects(), Suspects()
    lose(one, 'a', [KILLER, *INNOCENT])
    number, changed = one.records_since(0, 0)
    two.merge(changed, 0)
    lose(two, 'b', [KILLER], 1)
    two_number, changed = two.records_since(0, 1)
    one.merge(changed, 1)
    assert one.clearance(KILLER, 'c', 1) is CONVICTED
    two.merge(one.records_since(number, 1)[1], 1)
    assert two.records_since(two_number, 1) == (two_number, ())


def test_records_are_bounded_and_keep_convicts():
    records = SuspectTable(max_records=50)
    records.convict(KILLER, 0)
    for number in range(500):
        records.suspect(b'%d' % number, 0)
    assert len(records) == 50
    assert records.state(KILLER, 0) is SuspectState.convicted


@pytest.mark.parametrize(
    ('release', 'now_s', 'taken'),
    [(('p', KILLER), 1, True), (('q', KILLER), 1, False), (None, 61, True)],
)
def test_one_trial_on_each_server(release, now_s, taken):
    permits = TrialPermits(ttl_s=60)
    assert permits.acquire('a', KILLER, 'p', 0)
    assert permits.acquire('b', KILLER, 'p', 0)
    assert not permits.acquire('a', INNOCENT[0], 'q', 0)
    if release:
        permits.release('a', release[1], release[0])
    assert permits.acquire('a', INNOCENT[0], 'q', now_s) is taken
