"""Owners send changes, and repeat full states in turn for missed ones."""

import pytest

from wasabicross.gateway.backend import AdapterKey
from wasabicross.gateway.messages import (
    HeldAdapter,
    HeldAdaptersUpdate,
    Hello,
    ServerOccupancy,
    ServerState,
    decode,
    encode,
)
from wasabicross.gateway.state_updates import HEARTBEAT_INTERVAL_S, StateUpdates
from wasabicross.gateway.view import FleetView


def held(*names, version=1):
    return tuple(HeldAdapter('m0', name, version) for name in names)


def state(server_id, *names, start_ms=5, takes_loads=True, version=1):
    return ServerState(
        server_id, start_ms, 0, 1, takes_loads, held(*names, version=version)
    )


@pytest.mark.parametrize(
    ('before', 'after', 'news'),
    [
        ([], [state('s1', 'a')], [state('s1', 'a')]),
        ([state('s1', 'a')], [state('s1', 'a')], []),
        (
            [state('s1', 'a', 'b')],
            [state('s1', 'b', 'c')],
            [HeldAdaptersUpdate('s1', 5, True, held('c'), held('a'))],
        ),
        # The order of adapters has no meaning.
        ([state('s1', 'a', 'b')], [state('s1', 'b', 'a')], []),
        # A new version is reported as gained, and the old one not as lost.
        (
            [state('s1', 'a')],
            [state('s1', 'a', version=2)],
            [HeldAdaptersUpdate('s1', 5, True, held('a', version=2), ())],
        ),
        (
            [state('s1', 'a')],
            [state('s1', 'a', takes_loads=False)],
            [HeldAdaptersUpdate('s1', 5, False, (), ())],
        ),
        # After a restart the full state is sent.
        (
            [state('s1', 'a')],
            [state('s1', 'a', start_ms=6)],
            [state('s1', 'a', start_ms=6)],
        ),
        ([state('s1', 'a'), state('s2')], [state('s1', 'a')], []),
        (
            [state('s1')],
            [state('s1')._replace(models=('m0',))],
            [state('s1')._replace(models=('m0',))],
        ),
    ],
)
def test_changes(before, after, news):
    owner = StateUpdates('front-1')
    owner.changes(before)
    assert owner.changes(after) == news


def test_a_change_is_small_where_much_is_held():
    names = [f'a{number}' for number in range(20)]
    owner = StateUpdates('front-1')
    owner.changes([state('i-26a4a938d7', *names)])
    changes = owner.changes([state('i-26a4a938d7', *names[1:], 'b')])
    assert len(encode(*changes)) < 80


def test_an_engine_that_fills_up_is_told_before_the_next_sign_of_life():
    owner = StateUpdates('front-1')
    busy = state('s1', 'a')
    owner.changes([busy])
    owner.heartbeats([busy], 1)
    sent = []
    for running in (2, 3, 4, 5, 4, 3):
        busy = busy._replace(running=running)
        sent.append(owner.changes([busy]))
    full, fuller, emptier = (
        [ServerOccupancy('s1', 5, 0, running)] for running in (3, 5, 3)
    )
    assert sent == [[], full, [], fuller, [], emptier]


def test_an_engine_without_a_slot_for_loads_is_told_at_once():
    owner = StateUpdates('front-1')
    with_slots = state('s1', 'a')._replace(spare_slots=2)
    owner.changes([with_slots])
    owner.heartbeats([with_slots], 1)
    sent = [
        owner.changes([with_slots._replace(spare_slots=slots)])
        for slots in (1, 0, 1)
    ]
    assert sent == [
        [],
        [ServerOccupancy('s1', 5, 0, 1, 0)],
        [ServerOccupancy('s1', 5, 0, 1, 1)],
    ]


def test_signs_of_life_tell_one_engine_in_turn_with_all_it_holds():
    states = [state('s1', 'a'), state('s2', 'b')]
    owner = StateUpdates('front-1')
    sent = [owner.heartbeats(states, number) for number in range(1, 4)]
    loads = [ServerOccupancy('s1', 5, 0, 1), ServerOccupancy('s2', 5, 0, 1)]
    assert [each[:3] for each in sent] == [[Hello('front-1'), *loads]] * 3
    assert [each[3:] for each in sent] == [
        [states[1]],
        [states[0]],
        [states[1]],
    ]
    assert not owner.heartbeats(states, 3 + HEARTBEAT_INTERVAL_S / 2)
    assert StateUpdates('front-1').heartbeats([], 1) == [Hello('front-1')]


def test_a_view_follows_the_changes():
    view = FleetView()
    owner = StateUpdates('front-1')
    steps = (
        state('s1', 'a', 'b'),
        state('s1', 'b', 'c'),
        state('s1', 'b', 'c', version=2),
        state('s1', takes_loads=False),
    )
    for number, step in enumerate(steps):
        for message in decode(encode(*owner.changes([step]))):
            if isinstance(message, ServerState):
                view.on_state(message, number)
            else:
                view.on_held_change(message, number)
        report = view.reported['s1']
        assert report.state.takes_loads is step.takes_loads
        assert report.received_s == number
        assert report.held == {
            AdapterKey(each.model, each.adapter): each.version
            for each in step.held
        }


@pytest.mark.parametrize('start_ms', [4, 6])
def test_a_change_of_another_start_tells_nothing(start_ms):
    view = FleetView()
    view.on_held_change(HeldAdaptersUpdate('s1', 5, True, held('a'), ()), 1)
    assert not view.reported
    view.on_state(state('s1', 'a'), 1)
    view.on_held_change(
        HeldAdaptersUpdate('s1', start_ms, True, (), held('a')), 2
    )
    assert view.reported['s1'].held == {AdapterKey('m0', 'a'): 1}
