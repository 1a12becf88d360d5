"""The owner of an engine: no eviction without every consent."""

from types import SimpleNamespace

import pytest
from expression import Error, Ok

from wasabicross.engines import Inventory, LoadReport
from wasabicross.exceptions import LoadFailed, OrderRefused
from wasabicross.messages import (
    CloseLoad,
    Hello,
    LoadDeclined,
    LoadsGone,
    LoadsOpened,
    LoadUse,
    ServerReport,
    ServerTerm,
    WantLoad,
)
from wasabicross.ownership import Renewal
from wasabicross.server_owner import ServerOwner
from wasabicross.subscribers import Subscribers, UseWindow

SERVER = ServerTerm('s', 2)
WINDOW = UseWindow(use_lease_s=6, max_request_s=60)
OLD = 'quote@1#s:1:1'
NEW = 'letter@1#s:2:1'
LETTER = WantLoad('letter', '1', 'base', 'drafting', 'c', 1, [])


class FakeEngine:
    """Holds loads in two slots and notes the orders."""

    def __init__(self, loads=()):
        self.loads = list(loads)
        self.evicted = []
        self.answer = Ok(None)

    def load(self, order):
        if self.answer.is_ok():
            self.loads.append(order.load_name)
        return self.answer

    def evict(self, order):
        self.evicted.append(order.load_name)
        self.loads.remove(order.load_name)
        return Ok(None)

    def inventory(self):
        return Ok(Inventory(tuple(self.loads), 1, 16))

    def load_report(self):
        return Ok(LoadReport(0, 0, {}, 0))


class FakeLink:
    """Keeps what is sent on it."""

    def __init__(self, instance_id, data_centre='north'):
        self.peer = Hello(
            'controller', instance_id, instance_id, data_centre, 't', [], [], []
        )
        self.sent = []

    def send(self, message):
        self.sent.append(message)
        return True


class Scene:
    """An owner whose engine holds a load of an earlier owner."""

    def __init__(self, loads=(OLD,)):
        self.engine = FakeEngine(loads)
        self.subscribers = Subscribers('north', WINDOW)
        self.links = {}
        permits = SimpleNamespace(
            request=lambda server_id, want, since_s: self.owner.permitted(
                want.adapter, want.version
            ),
            give_back=lambda server_id, want, loaded: None,
        )
        self.owner = ServerOwner(SERVER, self.engine, self.subscribers, permits)

    def join(self, instance_id, now_s, data_centre='north'):
        link = FakeLink(instance_id, data_centre)
        self.links[instance_id] = link
        self.subscribers.joined(link, now_s)

    def report(self, instance_id, now_s, opened=(OLD,), closed=()):
        report = ServerReport(SERVER, list(opened), list(closed))
        self.owner.report_running(instance_id, report, now_s)

    def want(self, now_s):
        self.owner.want(LETTER, self.links['a'], now_s)

    def step(self, *times):
        for now_s in times:
            self.owner.step(now_s)

    def announced(self, instance_id):
        return [
            name
            for message in self.links[instance_id].sent
            if isinstance(message, LoadsOpened)
            for name in message.load_names
        ]


@pytest.fixture
def scene():
    return Scene()


@pytest.mark.parametrize(
    ('opened', 'closed', 'where', 'is_open'),
    [
        ([OLD], [], 'north', True),
        ([], [], 'north', False),
        ([OLD], [OLD], 'north', False),
        ([OLD], [], 'south', False),
    ],
)
def test_inherited_load_needs_a_resident_that_knows_it_as_open(
    scene, opened, closed, where, is_open
):
    scene.join('a', 0)
    scene.join('b', 0, where)
    scene.report('a', 0, [], [])
    scene.report('b', 0, opened, closed)
    scene.step(1)
    assert (OLD in scene.announced('a')) is is_open


def test_nothing_is_announced_before_every_resident_reports(scene):
    scene.join('a', 0)
    scene.subscribers.listed({'a', 'b'}, 0)
    scene.report('a', 0)
    scene.step(1)
    assert scene.announced('a') == []
    assert scene.owner.snapshot() is None
    scene.step(WINDOW.total_s + 1)
    assert scene.announced('a') == [OLD]


@pytest.mark.parametrize(
    ('consents', 'listed_s', 'now_s', 'evicted'),
    [
        (['a', 'b'], 99, 100, [OLD]),
        (['a', 'b'], 50, 100, []),
        (['a', 'b'], 49, 50, []),
        (['a'], 99, 100, []),
        ([], 999, 1000, []),
    ],
)
def test_inherited_load_is_evicted_with_all_consents_and_late(
    scene, consents, listed_s, now_s, evicted
):
    scene.join('a', 0)
    scene.join('b', 0)
    scene.report('a', 0)
    scene.report('b', 0)
    scene.step(1)
    scene.want(5)
    scene.step(5)
    for instance_id in consents:
        scene.owner.drained(instance_id, OLD)
    scene.subscribers.listed({'a', 'b'}, listed_s)
    scene.step(now_s)
    assert scene.engine.evicted == evicted
    assert scene.announced('a') == [OLD]


@pytest.mark.parametrize(
    ('granted_s', 'now_s', 'evicted'),
    [(10, 75, []), (10, 77, [NEW]), (20, 77, [])],
)
def test_visitor_counts_while_its_grant_and_requests_last(
    granted_s, now_s, evicted
):
    scene = Scene(loads=())
    scene.join('a', 0)
    scene.join('far', 0, 'south')
    scene.report('a', 0)
    scene.want(1)
    scene.step(1, 1.1)
    assert scene.engine.loads == [NEW]
    scene.subscribers.granted('far', granted_s)
    scene.subscribers.left(scene.links['far'], granted_s)
    other = LETTER._replace(adapter='quote')
    scene.owner.want(other, scene.links['a'], 30)
    scene.step(30)
    scene.owner.drained('a', NEW)
    scene.owner.want(other, scene.links['a'], now_s)
    scene.step(now_s)
    assert scene.engine.evicted == evicted


@pytest.mark.parametrize(('is_continued', 'evicted'), [(True, 1), (False, 0)])
def test_owner_that_goes_on_for_a_new_term_need_not_wait(is_continued, evicted):
    scene = Scene(loads=())
    scene.join('a', 0)
    scene.report('a', 0)
    scene.want(1)
    scene.step(1, 1.1)
    first = scene.owner
    later = SERVER._replace(term=5)
    scene.owner = ServerOwner(
        later, scene.engine, scene.subscribers, first.queue.permits
    )
    if is_continued:
        scene.owner.continue_from(first)
    scene.owner.report_running('a', ServerReport(later, [NEW], []), 2)
    scene.step(2)
    other = LETTER._replace(adapter='quote')
    scene.owner.want(other, scene.links['a'], 9)
    scene.step(9)
    scene.owner.drained('a', NEW)
    scene.step(9.1)
    assert len(scene.engine.evicted) == evicted


NEVER = float('inf')


@pytest.mark.parametrize(
    ('resident_since_s', 'age_s'),
    [(NEVER, 90), (10.5, 90), (10, 0), (5, 0)],
    ids=['not listed or paused', 'listed too late', 'in time', 'long before'],
)
def test_owner_listed_before_its_lease_needs_none_to_grant(
    scene, resident_since_s, age_s
):
    scene.owner.lease_id = 'lease-1'
    scene.owner.leased_s = 8
    renewal = Renewal('lease-1', 10)
    load = scene.owner.load(renewal, resident_since_s, 100)
    assert load.confirmed_age_s == age_s


def test_renewal_of_another_lease_proves_nothing(scene):
    scene.owner.lease_id = 'lease-1'
    scene.owner.leased_s = 8
    load = scene.owner.load(Renewal('lease-2', 90), 9, 100)
    assert load.confirmed_age_s == 92


@pytest.mark.parametrize(
    ('asked_s', 'evicted'),
    [(3, []), (5, [OLD])],
    ids=['list asked for before the takeover', 'after it'],
)
def test_wait_begins_once_a_list_was_read_after_the_takeover(
    scene, asked_s, evicted
):
    scene.owner.inherited_wait.taken_s = 4
    scene.join('a', 0)
    scene.report('a', 4)
    scene.subscribers.listed({'a'}, 6, asked_s)
    scene.step(6)
    scene.want(12)
    scene.step(12)
    scene.owner.drained('a', OLD)
    over_s = 6 + WINDOW.total_s
    scene.subscribers.listed({'a'}, over_s)
    scene.step(over_s)
    assert scene.engine.evicted == evicted


def test_wait_begins_with_the_report_of_a_resident_listed_late(scene):
    scene.owner.inherited_wait.taken_s = 4
    scene.join('a', 0)
    scene.report('a', 4)
    scene.step(5)
    scene.subscribers.listed({'a', 'b'}, 6)
    scene.step(6)
    scene.join('b', 6)
    scene.report('b', 20)
    scene.step(20)
    scene.want(21)
    scene.step(21)
    for instance_id in ('a', 'b'):
        scene.owner.drained(instance_id, OLD)
    for now_s, evicted in ((85, []), (86, [OLD])):
        scene.subscribers.listed({'a', 'b'}, now_s)
        scene.step(now_s)
        assert scene.engine.evicted == evicted


@pytest.mark.parametrize(
    ('asked_s', 'evicted'),
    [(1, []), (2, [NEW])],
    ids=['list asked for before the takeover', 'after it'],
)
def test_owner_that_goes_on_evicts_once_it_has_read_a_list(asked_s, evicted):
    scene = Scene(loads=())
    scene.join('a', 0)
    scene.report('a', 0)
    scene.want(1)
    scene.step(1, 1.1)
    first = scene.owner
    later = SERVER._replace(term=5)
    scene.owner = ServerOwner(
        later, scene.engine, scene.subscribers, first.queue.permits
    )
    scene.owner.inherited_wait.taken_s = 2
    scene.owner.continue_from(first)
    scene.subscribers.listed({'a'}, 3, asked_s)
    scene.owner.report_running('a', ServerReport(later, [NEW], []), 3)
    scene.step(3)
    other = LETTER._replace(adapter='quote')
    scene.owner.want(other, scene.links['a'], 9)
    scene.step(9)
    scene.owner.drained('a', NEW)
    scene.step(9.1)
    assert scene.engine.evicted == evicted


@pytest.mark.parametrize(('asked_s', 'may_grant'), [(3, False), (4, True)])
def test_owner_grants_use_once_it_has_read_a_list(scene, asked_s, may_grant):
    scene.owner.inherited_wait.taken_s = 4
    scene.join('a', 0)
    scene.report('a', 4)
    scene.subscribers.listed({'a'}, 5, asked_s)
    scene.step(5)
    assert scene.owner.is_settled
    assert scene.owner.may_grant is may_grant


def test_owner_settles_where_it_knows_of_nobody(scene):
    scene.step(1)
    assert scene.owner.is_settled


def test_unsettled_owner_is_told(scene):
    scene.join('a', 0)
    assert not scene.owner.is_settled
    scene.report('a', 0)
    scene.step(1)
    assert scene.owner.is_settled


def test_visitor_with_a_link_must_consent():
    scene = Scene(loads=())
    scene.join('far', 0, 'south')
    assert scene.subscribers.must_consent(1000) == {'far'}
    scene.subscribers.left(scene.links['far'], 1000)
    assert scene.subscribers.must_consent(1000) == set()


def test_consents_are_asked_of_each_instance(scene):
    scene.join('a', 0)
    scene.report('a', 0)
    scene.step(1)
    scene.want(5)
    scene.step(5)
    assert CloseLoad('s', OLD, 2) in scene.links['a'].sent
    scene.join('late', 6)
    scene.want(7)
    scene.step(7)
    assert CloseLoad('s', OLD, 2) in scene.links['late'].sent


def test_load_in_use_is_kept(scene):
    scene.join('a', 0)
    scene.report('a', 0)
    scene.step(1)
    scene.owner.used('a/entry', LoadUse(OLD, 1, 1), 5)
    scene.want(5)
    scene.step(5)
    assert LoadDeclined('s', 'letter', '1', 1.0) in scene.links['a'].sent
    assert scene.owner.held.closing() == []


@pytest.mark.parametrize(
    ('error', 'declined', 'deposed'),
    [(LoadFailed('x'), True, False), (OrderRefused(3), False, True)],
)
def test_failed_load(error, declined, deposed):
    scene = Scene(loads=())
    scene.engine.answer = Error(error)
    scene.join('a', 0)
    scene.report('a', 0)
    scene.want(1)
    scene.step(1, 1.1)
    told = any(
        isinstance(message, LoadDeclined) for message in scene.links['a'].sent
    )
    assert told is declined
    assert scene.owner.deposed.is_set() is deposed


@pytest.mark.parametrize(('term', 'deposed'), [(1, False), (3, True)])
def test_refused_consent_deposes_an_earlier_owner(scene, term, deposed):
    scene.owner.refused(ServerTerm('s', term))
    assert scene.owner.deposed.is_set() is deposed


def test_loads_that_an_engine_lost_are_told(scene):
    scene.join('a', 0)
    scene.report('a', 0)
    scene.step(1)
    scene.engine.loads.clear()
    scene.step(2)
    assert LoadsGone([OLD]) in scene.links['a'].sent
