"""The lease of an instance and its owner keys while the fleet changes.

A lease that is renewed too seldom expires, and a key that is watched too often
loads the store.
"""

import threading

import pytest
from expression import Error, Ok

from emulator.waiting import wait_until
from wasabicross.ownership.instance_lease import (
    RENEWALS_PER_LEASE,
    InstanceLease,
    lease_ttl_s,
)
from wasabicross.ownership.owner_election import (
    CANDIDATES,
    RETRY_S,
    OwnerElection,
)
from wasabicross.runtime.rendezvous import rank
from wasabicross.stores.errors import LeaseLapsed
from wasabicross.stores.versioned import Versioned


class RecordingStop(threading.Event):
    """Records the waits between renewals and changes the fleet size meanwhile."""

    def __init__(self, sizes):
        super().__init__()
        self.waits = []
        self.sizes = list(sizes)
        self.lease = None

    def wait(self, timeout=None):
        self.waits.append(timeout)
        if not self.sizes:
            self.set()
            return True
        self.lease.instance_count = self.sizes.pop(0)
        return False


class LeaseStore:
    """Grants one lease and records the requested lifetimes."""

    def __init__(self):
        self.granted = []

    def grant_lease(self, ttl_s):
        self.granted.append(ttl_s)
        return Ok('lease-1')

    def renew_lease(self, lease_id):
        return Ok(None)

    revoke_lease = renew_lease


@pytest.mark.parametrize('sizes', [(360, 360), (2, 200, 360)])
def test_a_lease_is_renewed_as_often_as_its_grant_asks(sizes):
    store, stop = LeaseStore(), RecordingStop(sizes)
    lease = InstanceLease(store, stop)
    stop.lease = lease
    lease.list_received.set()
    lease.run()
    assert store.granted == [lease_ttl_s(1)]
    assert set(stop.waits) == {lease_ttl_s(1) / RENEWALS_PER_LEASE}


class LapsingStore:
    """Accepts one write, then removes the key and refuses the lease."""

    def __init__(self):
        self.lapsed = threading.Event()
        self.swaps = 0
        self.watches = []

    def get(self, key):
        return Ok(Versioned(key, None, 0))

    def compare_and_swap(self, key, value, expected_version, lease_id=None):
        self.swaps += 1
        if self.lapsed.is_set():
            return Error(LeaseLapsed('lease-1'))
        return Ok(Versioned(key, value, 5))

    def watch(self, key, after_version, wait_s):
        self.lapsed.set()
        self.watches.append((after_version, wait_s))
        return Ok(Versioned(key, None, 0))


class Hooks:
    """Ignores the changes of ownership."""

    def owner_started(self, start):
        """Ignore the change."""

    owner_ended = owner_started

    def known_term(self, server_id):
        return 0


def test_a_key_that_cannot_be_taken_again_is_watched_as_it_is():
    store = LapsingStore()
    lease = InstanceLease(store, threading.Event())
    lease._lease_id = 'lease-1'
    election = OwnerElection('north-0', store, lease, Hooks())
    election.assign(['engine-0'], ['north-0'])
    wait_until(lambda: len(store.watches) > 3, 5)
    election._stopping.set()
    assert store.watches[0][0] == 5
    assert set(store.watches[1:]) == {(0, RETRY_S)}


class SilentStore:
    """Fails every read, so that no server is ever owned."""

    def __init__(self):
        self.read_keys = []

    def get(self, key):
        self.read_keys.append(key)
        return Error(LeaseLapsed('lease-1'))


FEW = [f'north-{number}' for number in range(2)]
MANY = [f'north-{number}' for number in range(9)]
ENGINES = [f'engine-{number}' for number in range(6)]


@pytest.mark.parametrize(
    'lists',
    [
        [(ENGINES, FEW)],
        [(ENGINES, FEW), (ENGINES, FEW[::-1]), (ENGINES, MANY)],
        [(ENGINES, MANY), (ENGINES, FEW)],
        [(ENGINES, MANY), (ENGINES, MANY[1:]), (ENGINES, MANY)],
        [(ENGINES[:2], FEW), (ENGINES, FEW), (ENGINES[3:], FEW)],
        [([], FEW), ([], []), (ENGINES, FEW)],
    ],
)
def test_the_servers_of_the_last_list_are_watched(lists):
    election = OwnerElection('north-0', SilentStore(), None, Hooks())
    for servers, instances in lists:
        election.assign(servers, instances)
        watched = {each for each in ENGINES if election._is_candidate(each)}
        assert watched == {
            each
            for each in servers
            if 'north-0' in rank(each, instances)[:CANDIDATES]
        }
    election._stopping.set()


def test_a_watch_that_ended_begins_anew_with_the_same_list():
    store = SilentStore()
    election = OwnerElection('north-0', store, None, Hooks())
    election._stopping.set()
    for _ in range(2):
        election.assign(['engine-0'], FEW)
        election._threads['engine-0'].join(30)
    assert store.read_keys == ['owner/engine-0'] * 2
