"""How long an owner keeps the loads of an earlier one, or of its own."""

import pytest
from owner_parts import LATER, LETTER, NEW, OLD, WINDOW, Scene

from wasabicross.messaging.messages import ServerReport


@pytest.fixture
def scene():
    return Scene()


@pytest.fixture
def later():
    """A scene of the next term, and the owner that made the load before."""
    scene = Scene(loads=())
    scene.join('a', 0)
    scene.report('a', 0)
    scene.want(1)
    scene.step(1, 1.1)
    return scene, scene.next_term()


def evicted_for_another(scene, reported_s):
    """Let the residents report and another adapter be wanted.

    :param reported_s: when the resident reports the load.
    """
    scene.owner.receive_report('a', ServerReport(LATER, [NEW], []), reported_s)
    scene.step(reported_s)
    other = LETTER._replace(adapter='quote')
    scene.owner.request_load(other, scene.links['a'], 9)
    scene.step(9)
    scene.owner.load_drained('a', NEW)
    scene.step(9.1)
    return scene.engine.evicted


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
        scene.owner.load_drained(instance_id, OLD)
    scene.subscribers.update_listed({'a', 'b'}, listed_s)
    scene.step(now_s)
    assert scene.engine.evicted == evicted
    assert scene.announced('a') == [OLD]


@pytest.mark.parametrize(
    ('is_continued', 'evicted'), [(True, [NEW]), (False, [])]
)
def test_owner_that_goes_on_for_a_new_term_need_not_wait(
    later, is_continued, evicted
):
    scene, first = later
    if is_continued:
        scene.owner.continue_from(first)
    assert evicted_for_another(scene, 2) == evicted


@pytest.mark.parametrize(
    ('asked_s', 'evicted'),
    [(3, []), (5, [OLD])],
    ids=['list asked for before the takeover', 'after it'],
)
def test_wait_begins_once_a_list_was_read_after_the_takeover(
    scene, asked_s, evicted
):
    scene.owner.inherited_wait.taken_over_s = 4
    scene.join('a', 0)
    scene.report('a', 4)
    scene.subscribers.update_listed({'a'}, 6, asked_s)
    scene.step(6)
    scene.want(12)
    scene.step(12)
    scene.owner.load_drained('a', OLD)
    over_s = 6 + WINDOW.total_s
    scene.subscribers.update_listed({'a'}, over_s)
    scene.step(over_s)
    assert scene.engine.evicted == evicted


def test_wait_begins_with_the_report_of_a_resident_listed_late(scene):
    scene.owner.inherited_wait.taken_over_s = 4
    scene.join('a', 0)
    scene.report('a', 4)
    scene.step(5)
    scene.subscribers.update_listed({'a', 'b'}, 6)
    scene.step(6)
    scene.join('b', 6)
    scene.report('b', 20)
    scene.step(20)
    scene.want(21)
    scene.step(21)
    for instance_id in ('a', 'b'):
        scene.owner.load_drained(instance_id, OLD)
    for now_s, evicted in ((85, []), (86, [OLD])):
        scene.subscribers.update_listed({'a', 'b'}, now_s)
        scene.step(now_s)
        assert scene.engine.evicted == evicted


@pytest.mark.parametrize(
    ('asked_s', 'evicted'),
    [(1, []), (2, [NEW])],
    ids=['list asked for before the takeover', 'after it'],
)
def test_owner_that_goes_on_evicts_once_it_has_read_a_list(
    later, asked_s, evicted
):
    scene, first = later
    scene.owner.inherited_wait.taken_over_s = 2
    scene.owner.continue_from(first)
    scene.subscribers.update_listed({'a'}, 3, asked_s)
    assert evicted_for_another(scene, 3) == evicted


@pytest.mark.parametrize(('asked_s', 'may_grant'), [(3, False), (4, True)])
def test_owner_grants_use_once_it_has_read_a_list(scene, asked_s, may_grant):
    scene.owner.inherited_wait.taken_over_s = 4
    scene.join('a', 0)
    scene.report('a', 4)
    scene.subscribers.update_listed({'a'}, 5, asked_s)
    scene.step(5)
    assert scene.owner.is_settled
    assert scene.owner.may_grant is may_grant
