"""The owner of an engine: no eviction without every consent."""

import pytest
from expression import Error
from loguru import logger
from owner_parts import LETTER, NEW, OLD, WINDOW, Scene

from wasabicross.dispatching.errors import (
    LoadFailed,
    OrderOutcomeUnknown,
    OrderRefused,
    SlotsFull,
)
from wasabicross.messaging.messages import (
    CloseLoad,
    LoadDeclined,
    LoadsGone,
    LoadUse,
    ServerTerm,
)
from wasabicross.ownership.instance_lease import Renewal

NEVER = float('inf')


@pytest.fixture
def events():
    """What each event told that was logged, the last one of a name."""
    told = {}

    def take(message):
        record = message.record
        told[record['message']] = record['extra'].get('fields')

    sink = logger.add(take)
    yield told
    logger.remove(sink)


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
    scene.subscribers.update_listed({'a', 'b'}, 0)
    scene.report('a', 0)
    scene.step(1)
    assert scene.announced('a') == []
    assert scene.owner.snapshot() is None
    scene.step(WINDOW.total_s + 1)
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
    scene.subscribers.record_grant('far', granted_s)
    scene.subscribers.link_closed(scene.links['far'], granted_s)
    other = LETTER._replace(adapter='quote')
    scene.owner.request_load(other, scene.links['a'], 30)
    scene.step(30)
    scene.owner.load_drained('a', NEW)
    scene.owner.request_load(other, scene.links['a'], now_s)
    scene.step(now_s)
    assert scene.engine.evicted == evicted


@pytest.mark.parametrize(
    ('resident_since_s', 'age_s'),
    [(NEVER, 90), (10.5, 90), (10, 0), (5, 0)],
    ids=['not listed or paused', 'listed too late', 'in time', 'long before'],
)
def test_owner_listed_before_its_lease_needs_none_to_grant(
    scene, resident_since_s, age_s
):
    scene.owner.lease.lease_id = 'lease-1'
    scene.owner.lease.renewed_s = 8
    renewal = Renewal('lease-1', 10)
    load = scene.owner.server_load(renewal, resident_since_s, 100)
    assert load.confirmed_age_s == age_s


def test_renewal_of_another_lease_proves_nothing(scene):
    scene.owner.lease.lease_id = 'lease-1'
    scene.owner.lease.renewed_s = 8
    load = scene.owner.server_load(Renewal('lease-2', 90), 9, 100)
    assert load.confirmed_age_s == 92


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
    scene.subscribers.link_closed(scene.links['far'], 1000)
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
    scene.owner.record_usage('a/entry', LoadUse(OLD, 1, 1), 5)
    scene.want(5)
    scene.step(5)
    # A slot may be free soon, so it is asked again before others would be.
    assert LoadDeclined('s', 'letter', '1', 0.25) in scene.links['a'].sent
    assert scene.owner.held.closing() == []


def test_a_permit_is_asked_for_where_there_is_a_slot_for_it():
    scene = Scene(loads=())
    asked = []
    scene.owner.queue.permits.request = (
        lambda server_id, load_request, waiting_since_s: asked.append(
            load_request.adapter
        )
    )
    scene.join('a', 0)
    scene.report('a', 0)
    scene.step(0)
    scene.want(1)
    other = LETTER._replace(adapter='other', waiting=9)
    scene.step(1)
    scene.owner.request_load(other, scene.links['a'], 1.1)
    scene.step(1.1, 1.2)
    # The only slot is kept for the one that has asked first.
    assert asked == ['letter']
    declined = [each for each in scene.links['a'].sent if 'other' in each]
    assert declined == [LoadDeclined('s', 'other', '1', 0.25)]
    scene.owner.permit_granted('letter', '1')
    scene.step(1.3)
    assert scene.engine.loads == [NEW]


@pytest.mark.parametrize(
    ('error', 'code', 'declined', 'deposed'),
    [
        (LoadFailed('x'), 'load_failed', True, False),
        (OrderRefused(3), 'order_refused', False, True),
        (SlotsFull('x'), 'slots_full', False, False),
        (OrderOutcomeUnknown('x'), 'order_outcome_unknown', False, False),
    ],
)
def test_failed_load(events, error, code, declined, deposed):
    scene = Scene(loads=())
    scene.engine.answer = Error(error)
    scene.join('a', 0)
    scene.report('a', 0)
    scene.want(1)
    scene.step(1, 1.1)
    told = LoadDeclined('s', 'letter', '1', 1.0) in scene.links['a'].sent
    assert told is declined
    assert scene.owner.deposed.is_set() is deposed
    assert events['load_failed']['code'] == code


@pytest.mark.parametrize(('term', 'deposed'), [(1, False), (3, True)])
def test_refused_consent_deposes_an_earlier_owner(scene, term, deposed):
    scene.owner.close_refused(ServerTerm('s', term))
    assert scene.owner.deposed.is_set() is deposed


def test_loads_that_an_engine_lost_are_told(scene):
    scene.join('a', 0)
    scene.report('a', 0)
    scene.step(1)
    scene.engine.loads.clear()
    scene.step(2)
    assert LoadsGone([OLD]) in scene.links['a'].sent
