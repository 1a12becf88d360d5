"""Requests and evicts at the server, in the specification of evictions."""

from collections.abc import Iterator

from model.residents import (
    LOADS,
    NAMES,
    Instance,
    Known,
    Left,
    State,
    change,
    is_loaded,
    label,
    replace_at,
    slot_of,
)
from model.spec import Step


def land_evict(state: State, left: Left) -> Iterator[Step]:
    """An evict reaches the server, however late."""
    for order in state.orders:
        rest = state._replace(orders=state.orders - {order})
        title = f'land_evict(load {order.load + 1}, term {order.term})'
        if 'fencing' not in left:
            if order.term < state.server_term:
                yield f'{title} refused', rest
                continue
            rest = rest._replace(server_term=order.term)
        yield title, _evict(rest, slot_of(order.load, left), left)


def _evict(state: State, slot: int, left: Left) -> State:
    running = any(
        instance.running[load] and slot_of(load, left) == slot
        for instance in state.both
        for load in LOADS
    )
    return state._replace(
        loaded=replace_at(state.loaded, slot, False),
        evicted_running=state.evicted_running or running,
    )


def begin_request(state: State, left: Left) -> Iterator[Step]:
    """An entry starts a request on an open load that the server holds.

    One request at a time in the whole system is enough: others would only
    hold back drained answers, and an evict needs one to go wrong.
    """
    if any(any(instance.running) for instance in state.both):
        return
    for index, instance in enumerate(state.both):
        usable = _usable(state, instance, left) if instance.acts else ()
        for load in usable:
            running = replace_at(instance.running, load, True)
            yield (
                label('begin_request', index, load),
                change(state, index, running=running),
            )


def _usable(state: State, instance: Instance, left: Left) -> list[int]:
    return [
        load
        for load in LOADS
        if instance.known[load] == Known.OPEN and is_loaded(state, load, left)
    ]


def finish_request(state: State, left: Left) -> Iterator[Step]:
    """A running request ends."""
    for index, instance in enumerate(state.both):
        if any(instance.running):
            yield (
                f'finish_request({NAMES[index]})',
                change(state, index, running=(False, False)),
            )
