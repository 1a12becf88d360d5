"""When an owner continues its own previous term.

It may only if no other instance can have counted this one as gone in between,
as after a pause or after a late entry in the instance list.
"""

import time

import pytest

from wasabicross.loads.subscribers import Subscribers, UseWindow
from wasabicross.messaging.messages import ServerTerm
from wasabicross.ownership.fleet_view import FleetView
from wasabicross.ownership.instance_status import InstanceStatus
from wasabicross.ownership.owner_election import OwnerStart
from wasabicross.ownership.owners import Owners
from wasabicross.runtime.pauses import PauseWatch
from wasabicross.stores.instances import BackendServer, Fleet, Instance

WINDOW = UseWindow(use_lease_s=6, max_request_s=60)
HERE = Instance('me', 'north', '127.0.0.1', 1, 'live')
#: Nothing listens on its port, as the tests do not query engines.
ENGINE = BackendServer(
    's', 'engine', 'drafting', 'north', '127.0.0.1', 9, 'live', 'base'
)


class OwnersHarness:
    """The owners of an instance, with its clock and its instance list."""

    def __init__(self):
        self.fleet = FleetView('me', 'north')
        self.pauses = PauseWatch(6, lambda: None)
        self.owners = Owners(
            Subscribers('north', WINDOW),
            None,
            lambda server_id: 0,
            lambda server_id: None,
            InstanceStatus(self.pauses, self.fleet),
        )
        self.owners.set_servers([ENGINE])

    def mark_awake(self, now_s):
        self.pauses.tick(now_s)

    def apply_list(self, now_s):
        self.fleet.apply_list(Fleet((HERE,), ()), now_s)

    def start(self, term, sent_s, is_continued=False):
        start = OwnerStart(ServerTerm('s', term), 'lease', sent_s, is_continued)
        self.owners.owner_started(start)
        return self.owners.get('s')


@pytest.fixture
def harness():
    created = OwnersHarness()
    yield created
    created.owners.stop()


@pytest.mark.parametrize(
    ('awake_ago_s', 'listed_ago_s', 'is_continued', 'continues'),
    [
        (0, 20, True, True),
        (0, 20, False, False),
        (7, 20, True, False),
        (0, 9, True, False),
        (0, None, True, False),
    ],
    ids=['awake', 'heard of another', 'paused', 'listed late', 'not listed'],
)
def test_owner_continues_while_others_count_its_instance(
    harness, awake_ago_s, listed_ago_s, is_continued, continues
):
    now_s = time.monotonic()
    harness.mark_awake(now_s - awake_ago_s)
    if listed_ago_s is not None:
        harness.apply_list(now_s - listed_ago_s)
    first = harness.start(1, now_s - 10)
    first.inherited_wait.began_s = now_s - 10
    second = harness.start(2, now_s, is_continued)
    assert first.deposed.is_set()
    assert second.held.own_terms() == ({1, 2} if continues else {2})
    assert (second.inherited_wait.began_s is not None) is continues
