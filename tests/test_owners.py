"""What the owners of an instance take over from themselves, and when."""

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
#: A port on which nothing answers; engines are not asked here.
ENGINE = BackendServer(
    's', 'engine', 'drafting', 'north', '127.0.0.1', 9, 'live', 'base'
)


class Scene:
    """Owners of an instance that the list shows, awake."""

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

    def awake(self, now_s):
        self.pauses.tick(now_s)

    def listed(self, now_s):
        self.fleet.apply_list(Fleet((HERE,), ()), now_s)

    def start(self, term, sent_s, is_continued=False):
        start = OwnerStart(ServerTerm('s', term), 'lease', sent_s, is_continued)
        self.owners.owner_started(start)
        return self.owners.get('s')


@pytest.fixture
def scene():
    made = Scene()
    yield made
    made.owners.stop()


@pytest.mark.parametrize(
    ('awake_ago_s', 'listed_ago_s', 'is_continued', 'goes_on'),
    [
        (0, 20, True, True),
        (0, 20, False, False),
        (7, 20, True, False),
        (0, 9, True, False),
        (0, None, True, False),
    ],
    ids=['awake', 'heard of another', 'paused', 'listed late', 'not listed'],
)
def test_owner_goes_on_while_others_count_its_instance(
    scene, awake_ago_s, listed_ago_s, is_continued, goes_on
):
    now_s = time.monotonic()
    scene.awake(now_s - awake_ago_s)
    if listed_ago_s is not None:
        scene.listed(now_s - listed_ago_s)
    first = scene.start(1, now_s - 10)
    first.inherited_wait.began_s = now_s - 10
    second = scene.start(2, now_s, is_continued)
    assert first.deposed.is_set()
    assert second.held.own_terms() == ({1, 2} if goes_on else {2})
    assert (second.inherited_wait.began_s is not None) is goes_on
