"""The owner of an engine evicts a load only with the consent of all users.

An eviction while an instance still uses the load would fail its requests.
"""

import pytest
from expression import Error
from loguru import logger
from owner_parts import (
    INHERITED_LOAD,
    LETTER_REQUEST,
    NEW_LOAD,
    WINDOW,
    OwnerHarness,
)

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
    """Map the name of each logged event to the fields of its last record."""
    fields_by_event = {}

    def record_event(message):
        record = message.record
        fields_by_event[record['message']] = record['extra'].get('fields')

    sink = logger.add(record_event)
    yield fields_by_event
    logger.remove(sink)


@pytest.fixture
def harness():
    return OwnerHarness()


@pytest.mark.parametrize(
    ('opened', 'closed', 'where', 'is_open'),
    [
        ([INHERITED_LOAD], [], 'north', True),
        ([], [], 'north', False),
        ([INHERITED_LOAD], [INHERITED_LOAD], 'north', False),
        ([INHERITED_LOAD], [], 'south', False),
    ],
)
def test_inherited_load_needs_a_resident_that_knows_it_as_open(
    harness, opened, closed, where, is_open
):
    harness.connect('a', 0)
    harness.connect('b', 0, where)
    harness.report('a', 0, [], [])
    harness.report('b', 0, opened, closed)
    harness.run_steps(1)
    assert (INHERITED_LOAD in harness.announced_loads('a')) is is_open


def test_nothing_is_announced_before_every_resident_reports(harness):
    harness.connect('a', 0)
    harness.subscribers.update_listed({'a', 'b'}, 0)
    harness.report('a', 0)
    harness.run_steps(1)
    assert harness.announced_loads('a') == []
    assert harness.owner.snapshot() is None
    harness.run_steps(WINDOW.total_s + 1)
    assert harness.announced_loads('a') == [INHERITED_LOAD]


@pytest.mark.parametrize(
    ('granted_s', 'now_s', 'evicted'),
    [(10, 75, []), (10, 77, [NEW_LOAD]), (20, 77, [])],
)
def test_visitor_counts_while_its_grant_and_requests_last(
    granted_s, now_s, evicted
):
    harness = OwnerHarness(loads=())
    harness.connect('a', 0)
    harness.connect('far', 0, 'south')
    harness.report('a', 0)
    harness.request_letter(1)
    harness.run_steps(1, 1.1)
    assert harness.engine.loads == [NEW_LOAD]
    harness.subscribers.record_grant('far', granted_s)
    harness.subscribers.link_closed(harness.links['far'], granted_s)
    other_request = LETTER_REQUEST._replace(adapter='quote')
    harness.owner.request_load(other_request, harness.links['a'], 30)
    harness.run_steps(30)
    harness.owner.load_drained('a', NEW_LOAD)
    harness.owner.request_load(other_request, harness.links['a'], now_s)
    harness.run_steps(now_s)
    assert harness.engine.evicted == evicted


@pytest.mark.parametrize(
    ('resident_since_s', 'age_s'),
    [(NEVER, 90), (10.5, 90), (10, 0), (5, 0)],
    ids=['not listed or paused', 'listed too late', 'in time', 'long before'],
)
def test_owner_listed_before_its_lease_needs_none_to_grant(
    harness, resident_since_s, age_s
):
    harness.owner.lease.lease_id = 'lease-1'
    harness.owner.lease.renewed_s = 8
    renewal = Renewal('lease-1', 10)
    load = harness.owner.server_load(renewal, resident_since_s, 100)
    assert load.confirmed_age_s == age_s


def test_renewal_of_another_lease_proves_nothing(harness):
    harness.owner.lease.lease_id = 'lease-1'
    harness.owner.lease.renewed_s = 8
    load = harness.owner.server_load(Renewal('lease-2', 90), 9, 100)
    assert load.confirmed_age_s == 92


def test_owner_settles_where_it_knows_of_nobody(harness):
    harness.run_steps(1)
    assert harness.owner.is_settled


def test_owner_is_unsettled_until_residents_report(harness):
    harness.connect('a', 0)
    assert not harness.owner.is_settled
    harness.report('a', 0)
    harness.run_steps(1)
    assert harness.owner.is_settled


def test_visitor_with_a_link_must_consent():
    harness = OwnerHarness(loads=())
    harness.connect('far', 0, 'south')
    assert harness.subscribers.must_consent(1000) == {'far'}
    harness.subscribers.link_closed(harness.links['far'], 1000)
    assert harness.subscribers.must_consent(1000) == set()


def test_consents_are_asked_of_each_instance(harness):
    harness.connect('a', 0)
    harness.report('a', 0)
    harness.run_steps(1)
    harness.request_letter(5)
    harness.run_steps(5)
    assert CloseLoad('s', INHERITED_LOAD, 2) in harness.links['a'].sent
    harness.connect('late', 6)
    harness.request_letter(7)
    harness.run_steps(7)
    assert CloseLoad('s', INHERITED_LOAD, 2) in harness.links['late'].sent


def test_load_in_use_is_kept(harness):
    harness.connect('a', 0)
    harness.report('a', 0)
    harness.run_steps(1)
    harness.owner.record_usage('a/entry', LoadUse(INHERITED_LOAD, 1, 1), 5)
    harness.request_letter(5)
    harness.run_steps(5)
    # A slot may be free soon, so the request may be repeated early.
    assert LoadDeclined('s', 'letter', '1', 0.25) in harness.links['a'].sent
    assert harness.owner.held.closing() == []


def test_a_permit_is_asked_for_where_there_is_a_slot_for_it():
    harness = OwnerHarness(loads=())
    permit_requests = []
    harness.owner.queue.permits.request = (
        lambda server_id, load_request, waiting_since_s: permit_requests.append(
            load_request.adapter
        )
    )
    harness.connect('a', 0)
    harness.report('a', 0)
    harness.run_steps(0)
    harness.request_letter(1)
    other_request = LETTER_REQUEST._replace(adapter='other', waiting=9)
    harness.run_steps(1)
    harness.owner.request_load(other_request, harness.links['a'], 1.1)
    harness.run_steps(1.1, 1.2)
    # The only slot is reserved for the request that came first.
    assert permit_requests == ['letter']
    declined = [each for each in harness.links['a'].sent if 'other' in each]
    assert declined == [LoadDeclined('s', 'other', '1', 0.25)]
    harness.owner.permit_granted('letter', '1')
    harness.run_steps(1.3)
    assert harness.engine.loads == [NEW_LOAD]


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
    harness = OwnerHarness(loads=())
    harness.engine.answer = Error(error)
    harness.connect('a', 0)
    harness.report('a', 0)
    harness.request_letter(1)
    harness.run_steps(1, 1.1)
    was_declined = (
        LoadDeclined('s', 'letter', '1', 1.0) in harness.links['a'].sent
    )
    assert was_declined is declined
    assert harness.owner.deposed.is_set() is deposed
    assert events['load_failed']['code'] == code


@pytest.mark.parametrize(('term', 'deposed'), [(1, False), (3, True)])
def test_refused_consent_deposes_an_earlier_owner(harness, term, deposed):
    harness.owner.close_refused(ServerTerm('s', term))
    assert harness.owner.deposed.is_set() is deposed


def test_loads_that_an_engine_lost_are_reported(harness):
    harness.connect('a', 0)
    harness.report('a', 0)
    harness.run_steps(1)
    harness.engine.loads.clear()
    harness.run_steps(2)
    assert LoadsGone([INHERITED_LOAD]) in harness.links['a'].sent
