"""Slot counts of an engine while answers and reports are late or lost."""

import pytest

from wasabicross.gateway.backend import AdapterKey, EngineReport
from wasabicross.gateway.loading.engine_slots import (
    MAX_PENDING,
    RESUMED_USAGE_WAIT_S,
    USAGE_WAIT_S,
    EngineSlots,
)
from wasabicross.gateway.orders import OrderAnswer, OrderKind

A, B, C = (AdapterKey('m0', name) for name in ('a1', 'a2', 'a3'))
LOAD, UNLOAD = OrderKind.load, OrderKind.unload


def report(order_count=0, held=None, pending=(), start_ms=0, models=('m0',)):
    return EngineReport(
        order_count=order_count,
        is_busy=False,
        queued=0,
        running=0,
        held=held or {},
        pending=frozenset(pending),
        models=frozenset(models),
        start_ms=start_ms,
    )


@pytest.fixture
def slots():
    initialised = EngineSlots(2)
    initialised.on_report(report(), 0)
    return initialised


def order(slots, kind, key, answer, now_s, version=1):
    slots.on_order(kind, key, answer, version, now_s)


def test_nothing_is_loaded_before_the_first_report():
    assert not EngineSlots(2).may_load


def test_accepted_loads_take_slots_before_reports_show_them(slots):
    order(slots, LOAD, A, OrderAnswer.accepted, 1)
    order(slots, LOAD, B, OrderAnswer.accepted, 1)
    slots.on_report(report(order_count=0), 1.1)
    assert slots.taken == 2
    assert not slots.may_load


def test_unanswered_load_takes_a_slot_until_another_order_is_accepted(slots):
    order(slots, LOAD, A, None, 1)
    slots.on_report(report(order_count=0), 8)
    assert slots.pending == {A}
    order(slots, LOAD, B, OrderAnswer.accepted, 9)
    assert slots.pending == {B}


def test_unanswered_loads_do_not_hold_up_others():
    slots = EngineSlots(21)
    slots.on_report(report(), 0)
    for number in range(MAX_PENDING):
        order(slots, LOAD, AdapterKey('m0', f'b{number}'), None, 1)
    slots.on_report(report(), 9)
    assert slots.may_load


def test_unanswered_load_that_was_carried_out_is_seen_in_the_report(slots):
    order(slots, LOAD, A, None, 1)
    slots.on_report(report(order_count=1, pending=(A,)), 2)
    assert slots.order_count == 1
    assert slots.accepted == {A}


@pytest.mark.parametrize(
    ('answer', 'held'),
    [
        (OrderAnswer.accepted, {}),
        (OrderAnswer.already, {A: 3}),
    ],
)
def test_repeated_load_tells_whether_it_has_ended(slots, answer, held):
    order(slots, LOAD, A, OrderAnswer.accepted, 1)
    order(slots, LOAD, A, answer, 1.3, version=3)
    assert slots.held == held
    assert slots.order_count == 1


@pytest.mark.parametrize(('asked_s', 'held'), [(1.35, {A: 1}), (2, {})])
def test_report_that_lags_takes_back_no_load_that_has_ended(
    slots, asked_s, held
):
    order(slots, LOAD, A, OrderAnswer.accepted, 1)
    order(slots, LOAD, A, OrderAnswer.already, 1.3)
    slots.on_report(report(order_count=1, pending=(A,)), asked_s)
    assert slots.held == held
    assert (A in slots.pending) is not bool(held)


def test_replacement_stays_ordered_while_the_engine_confirms_it(slots):
    slots.on_report(report(held={A: 1}), 0.5)
    order(slots, LOAD, A, OrderAnswer.accepted, 1)
    order(slots, LOAD, A, OrderAnswer.accepted, 5)
    slots.on_report(report(order_count=1, held={A: 1}), 5.1)
    assert A in slots.accepted
    slots.on_report(report(order_count=1, held={A: 2}), 5.2)
    assert A not in slots.accepted


def test_unload_that_waits_for_runs_is_counted_once(slots):
    slots.on_report(report(held={A: 1, B: 1}), 0.5)
    order(slots, UNLOAD, A, OrderAnswer.accepted, 1)
    order(slots, UNLOAD, A, OrderAnswer.accepted, 1.2)
    assert slots.order_count == 1
    assert slots.taken == 2
    assert slots.eviction_candidate({}, 2) == B


@pytest.mark.parametrize(
    ('told', 'asked_s', 'expected'),
    [
        # A report with fewer orders may be older than the order.
        (report(order_count=0), 1.1, 1),
        # If later reports still show fewer orders, the count was wrong.
        (report(order_count=0), 1.6, 0),
    ],
)
def test_count_of_orders_follows_reports(slots, told, asked_s, expected):
    order(slots, LOAD, A, OrderAnswer.accepted, 1)
    slots.on_report(told, asked_s)
    assert slots.order_count == expected


def test_restart_under_the_same_id_forgets_what_was_held(slots):
    slots.on_report(report(order_count=7, held={A: 1}, start_ms=10), 1)
    slots.on_report(report(order_count=0, start_ms=20, models=()), 1.1)
    assert slots.held == {}
    assert slots.order_count == 0
    assert not slots.models


def test_conflict_changes_nothing(slots):
    order(slots, LOAD, A, OrderAnswer.conflict, 1)
    assert slots.order_count == 0
    assert slots.taken == 0


@pytest.mark.parametrize(
    ('uses', 'versions', 'evicted'),
    [
        ([], {}, A),
        # The least recently used adapter is evicted first.
        ([(A, 1, 0), (B, 2, 0)], {}, A),
        ([(A, 2, 0), (B, 1, 0)], {}, B),
        # Of two, the one that is requested less often is evicted.
        (
            [(A, 1, 3), (A, 1.2, 0), (A, 1.4, 3), (A, 2, 0), (B, 3, 0)],
            {},
            B,
        ),
        # Adapters that are in use, or were just now, stay.
        ([(A, 8, 1), (B, 1, 0)], {}, B),
        ([(A, 9.96, 0), (B, 8, 1)], {}, None),
        # Outdated versions are evicted first.
        ([(A, 1, 0), (B, 2, 0)], {B: 2}, B),
    ],
)
def test_adapter_to_evict(slots, uses, versions, evicted):
    slots.on_report(report(held={A: 1, B: 1}), 0.5)
    for key, at_s, running in uses:
        slots.usage.on_use(key, 'front-1', running, at_s)
    assert slots.eviction_candidate(versions, 10) == evicted


@pytest.mark.parametrize(
    ('usage_wait_s', 'now_s', 'evicted'),
    [
        # Other gateways may use it and may not have reported that yet.
        (USAGE_WAIT_S, 1.4, None),
        (USAGE_WAIT_S, 1.8, A),
        (RESUMED_USAGE_WAIT_S, 1.2, None),
        (RESUMED_USAGE_WAIT_S, 1.4, A),
    ],
)
def test_an_owner_hears_of_uses_before_it_unloads(usage_wait_s, now_s, evicted):
    slots = EngineSlots(2, usage_wait_s)
    assert slots.eviction_candidate({}, now_s) is None
    slots.on_report(report(held={A: 1}), 0.5)
    assert slots.eviction_candidate({}, now_s) == evicted


@pytest.mark.parametrize(('now_s', 'evicted'), [(5, None), (10, A)])
def test_gateway_that_is_cut_off_goes_on_using_for_a_while(
    slots, now_s, evicted
):
    slots.on_report(report(held={A: 1}), 0.5)
    slots.usage.on_use(A, 'front-1', 2, 1)
    assert slots.eviction_candidate({}, now_s) == evicted


def test_engine_whose_unload_waits_for_runs_is_blocked(slots):
    slots.on_report(report(held={A: 1}), 0.5)
    order(slots, UNLOAD, A, OrderAnswer.accepted, 1)
    assert slots.is_blocked
    slots.on_report(report(order_count=1), 2)
    assert not slots.is_blocked


def test_no_more_than_some_loads_are_on_their_way():
    slots = EngineSlots(30)
    slots.on_report(report(), 0)
    for number in range(MAX_PENDING):
        assert slots.may_load
        key = AdapterKey('m0', f'b{number}')
        order(slots, LOAD, key, OrderAnswer.accepted, 1)
    assert not slots.may_load


@pytest.mark.parametrize(
    ('users', 'spare'),
    [((), 2), ((A,), 1), ((A, B), 0)],
)
def test_a_load_could_get_slots_that_nobody_uses(slots, users, spare):
    slots.on_report(report(held={A: 1, B: 1}), 1)
    for key in users:
        slots.usage.on_use(key, 'front-1', 1, 4)
    assert slots.available_slots(5) == spare


def test_an_empty_slot_is_spare_until_a_load_is_ordered(slots):
    assert slots.available_slots(5) == 2
    order(slots, LOAD, A, OrderAnswer.accepted, 5)
    assert slots.available_slots(5) == 1
