"""How long a new owner keeps the loads of an earlier term.

An instance that the owner does not know yet may still use such a load, so the
owner waits until every grant and request of the earlier term has ended.
"""

import pytest
from owner_parts import (
    INHERITED_LOAD,
    LETTER_REQUEST,
    NEW_LOAD,
    NEXT_TERM,
    WINDOW,
    OwnerHarness,
)

from wasabicross.messaging.messages import ServerReport


@pytest.fixture
def harness():
    return OwnerHarness()


@pytest.fixture
def next_term():
    """An owner of the next term, and the previous owner, which made the load."""
    harness = OwnerHarness(loads=())
    harness.connect('a', 0)
    harness.report('a', 0)
    harness.request_letter(1)
    harness.run_steps(1, 1.1)
    return harness, harness.start_next_term()


def evicted_for_another(harness, reported_s):
    """Report a load, request another adapter and return the evicted loads.

    :param reported_s: time of the report of the resident, in s.
    """
    harness.owner.receive_report(
        'a', ServerReport(NEXT_TERM, [NEW_LOAD], []), reported_s
    )
    harness.run_steps(reported_s)
    other_request = LETTER_REQUEST._replace(adapter='quote')
    harness.owner.request_load(other_request, harness.links['a'], 9)
    harness.run_steps(9)
    harness.owner.load_drained('a', NEW_LOAD)
    harness.run_steps(9.1)
    return harness.engine.evicted


@pytest.mark.parametrize(
    ('consents', 'listed_s', 'now_s', 'evicted'),
    [
        (['a', 'b'], 99, 100, [INHERITED_LOAD]),
        (['a', 'b'], 50, 100, []),
        (['a', 'b'], 49, 50, []),
        (['a'], 99, 100, []),
        ([], 999, 1000, []),
    ],
)
def test_inherited_load_is_evicted_with_all_consents_and_late(
    harness, consents, listed_s, now_s, evicted
):
    harness.connect('a', 0)
    harness.connect('b', 0)
    harness.report('a', 0)
    harness.report('b', 0)
    harness.run_steps(1)
    harness.request_letter(5)
    harness.run_steps(5)
    for instance_id in consents:
        harness.owner.load_drained(instance_id, INHERITED_LOAD)
    harness.subscribers.update_listed({'a', 'b'}, listed_s)
    harness.run_steps(now_s)
    assert harness.engine.evicted == evicted
    assert harness.announced_loads('a') == [INHERITED_LOAD]


@pytest.mark.parametrize(
    ('is_continued', 'evicted'), [(True, [NEW_LOAD]), (False, [])]
)
def test_owner_that_continues_for_a_new_term_need_not_wait(
    next_term, is_continued, evicted
):
    harness, previous = next_term
    if is_continued:
        harness.owner.continue_from(previous)
    assert evicted_for_another(harness, 2) == evicted


@pytest.mark.parametrize(
    ('asked_s', 'evicted'),
    [(3, []), (5, [INHERITED_LOAD])],
    ids=['list asked for before the takeover', 'after it'],
)
def test_wait_begins_once_a_list_was_read_after_the_takeover(
    harness, asked_s, evicted
):
    harness.owner.inherited_wait.taken_over_s = 4
    harness.connect('a', 0)
    harness.report('a', 4)
    harness.subscribers.update_listed({'a'}, 6, asked_s)
    harness.run_steps(6)
    harness.request_letter(12)
    harness.run_steps(12)
    harness.owner.load_drained('a', INHERITED_LOAD)
    wait_end_s = 6 + WINDOW.total_s
    harness.subscribers.update_listed({'a'}, wait_end_s)
    harness.run_steps(wait_end_s)
    assert harness.engine.evicted == evicted


def test_wait_begins_with_the_report_of_a_resident_listed_late(harness):
    harness.owner.inherited_wait.taken_over_s = 4
    harness.connect('a', 0)
    harness.report('a', 4)
    harness.run_steps(5)
    harness.subscribers.update_listed({'a', 'b'}, 6)
    harness.run_steps(6)
    harness.connect('b', 6)
    harness.report('b', 20)
    harness.run_steps(20)
    harness.request_letter(21)
    harness.run_steps(21)
    for instance_id in ('a', 'b'):
        harness.owner.load_drained(instance_id, INHERITED_LOAD)
    for now_s, evicted in ((85, []), (86, [INHERITED_LOAD])):
        harness.subscribers.update_listed({'a', 'b'}, now_s)
        harness.run_steps(now_s)
        assert harness.engine.evicted == evicted


@pytest.mark.parametrize(
    ('asked_s', 'evicted'),
    [(1, []), (2, [NEW_LOAD])],
    ids=['list asked for before the takeover', 'after it'],
)
def test_owner_that_continues_evicts_once_it_has_read_a_list(
    next_term, asked_s, evicted
):
    harness, previous = next_term
    harness.owner.inherited_wait.taken_over_s = 2
    harness.owner.continue_from(previous)
    harness.subscribers.update_listed({'a'}, 3, asked_s)
    assert evicted_for_another(harness, 3) == evicted


@pytest.mark.parametrize(('asked_s', 'may_grant'), [(3, False), (4, True)])
def test_owner_grants_use_once_it_has_read_a_list(harness, asked_s, may_grant):
    harness.owner.inherited_wait.taken_over_s = 4
    harness.connect('a', 0)
    harness.report('a', 4)
    harness.subscribers.update_listed({'a'}, 5, asked_s)
    harness.run_steps(5)
    assert harness.owner.is_settled
    assert harness.owner.may_grant is may_grant
