"""Requests and evict orders, in the specification of evictions."""

from collections.abc import Iterator

from model.residents import (
    LOADS,
    NAMES,
    Instance,
    LoadState,
    Omitted,
    State,
    is_loaded,
    label,
    replace_at,
    slot_of,
    update_instance,
)
from model.spec import Step


def deliver_evict(state: State, omitted: Omitted) -> Iterator[Step]:
    """An evict order reaches the server, after any delay."""
    for order in state.orders:
        rest = state._replace(orders=state.orders - {order})
        title = f'deliver_evict(load {order.load + 1}, term {order.term})'
        if 'fencing' not in omitted:
            if order.term < state.server_term:
                yield f'{title} refused', rest
                continue
            rest = rest._replace(server_term=order.term)
        yield title, _evict(rest, slot_of(order.load, omitted), omitted)


def _evict(state: State, slot: int, omitted: Omitted) -> State:
    running = any(
        instance.running[load] and slot_of(load, omitted) == slot
        for instance in state.instances
        for load in LOADS
    )
    return state._replace(
        loaded=replace_at(state.loaded, slot, False),
        evicted_running=state.evicted_running or running,
    )


def begin_request(state: State, omitted: Omitted) -> Iterator[Step]:
    """An entry starts a request on an open load that the server has.

    One request at a time in the system is enough: a violation needs just one,
    and more requests would only delay the answers that loads are drained.
    """
    if any(any(instance.running) for instance in state.instances):
        return
    for index, instance in enumerate(state.instances):
        usable = _usable(state, instance, omitted) if instance.is_active else ()
        for load in usable:
            running = replace_at(instance.running, load, True)
            yield (
                label('begin_request', index, load),
                update_instance(state, index, running=running),
            )


def _usable(state: State, instance: Instance, omitted: Omitted) -> list[int]:
    return [
        load
        for load in LOADS
        if instance.load_states[load] == LoadState.OPEN
        and is_loaded(state, load, omitted)
    ]


def finish_request(state: State, omitted: Omitted) -> Iterator[Step]:
    """A running request ends."""
    for index, instance in enumerate(state.instances):
        if any(instance.running):
            yield (
                f'finish_request({NAMES[index]})',
                update_instance(state, index, running=(False, False)),
            )
