"""Evictions by consent of every resident instance, across owners.

Two instances of one data centre, both residents and both candidates for the
ownership of one server.  A pause is a process that takes no step, so every
step may come late; an evict lands on the server whenever it likes, also
after a change of owner or the death of its sender.
"""

from collections.abc import Iterator

from model.faults import (
    crash,
    freeze,
    lease_lapse,
    link_again,
    start,
    thaw,
)
from model.requests import begin_request, finish_request, land_evict
from model.residents import (
    LAST_TERM,
    LOADS,
    NAMES,
    PEERS,
    Evict,
    Instance,
    Known,
    Left,
    State,
    asked_peers,
    change,
    change_load,
    is_loaded,
    is_settled,
    known_after_change,
    label,
    owners,
    replace_at,
    slot_of,
    tell_term,
)
from model.spec import Spec, Step


def take_over(state: State, left: Left) -> Iterator[Step]:
    """A candidate takes the free key of the owner with the next term."""
    if state.lease >= 0 or state.term >= LAST_TERM:
        return
    term = state.term + 1
    for index, instance in enumerate(state.both):
        if instance.acts:
            taken = change(
                state,
                index,
                own=term,
                seen=term,
                known=known_after_change(instance.known, left),
                heard=False,
                consents=(False, False),
                gone=False,
            )
            yield (
                f'take_over({NAMES[index]}, term {term})',
                taken._replace(lease=index, term=term),
            )


def report_running(state: State, left: Left) -> Iterator[Step]:
    """The other resident tells a new owner its loads and learns the term."""
    for index, owner, _peer in asked_peers(state, left):
        if owner.heard:
            continue
        told = tell_term(state, index, left)
        peer = told.both[1 - index]
        known = _inherited(told, owner, peer, left)
        yield (
            f'report_running({PEERS[index]} to {NAMES[index]})',
            change(told, index, heard=True, known=known),
        )


def _inherited(
    state: State, owner: Instance, peer: Instance, left: Left
) -> tuple[int, ...]:
    return tuple(
        _inherited_load(state, owner, peer, load, left) for load in LOADS
    )


def _inherited_load(
    state: State, owner: Instance, peer: Instance, load: int, left: Left
) -> int:
    both = {owner.known[load], peer.known[load]}
    if Known.CLOSED in both:
        return Known.CLOSED
    if Known.OPEN in both:
        return Known.OPEN
    if load + 1 < owner.own and is_loaded(state, load, left):
        return Known.OPEN if 'open_witness' in left else Known.CLOSED
    return Known.UNKNOWN


def drop_resident(state: State, left: Left) -> Iterator[Step]:
    """An owner stops counting an instance that the list has long lost."""
    for index, owner, peer in owners(state):
        if owner.gone or (peer.acts and 'list_keeps_live' not in left):
            continue
        dropped = state
        if peer.frozen:
            # Its requests have met their deadlines by now.
            dropped = change(
                state, 1 - index, long_frozen=True, running=(False, False)
            )
        known = owner.known
        if not owner.heard:
            known = _inherited(state, owner, Instance(), left)
        yield (
            f'drop_resident({PEERS[index]} at {NAMES[index]})',
            change(dropped, index, gone=True, heard=True, known=known),
        )


def order_load(state: State, left: Left) -> Iterator[Step]:
    """An owner has the load that belongs to its term made and opens it."""
    for index, owner, _peer in owners(state):
        load = owner.own - 1
        if owner.known[load] != Known.UNKNOWN:
            continue
        if 'fencing' not in left and owner.own < state.server_term:
            continue
        slot = slot_of(load, left)
        made = state._replace(
            loaded=replace_at(state.loaded, slot, True),
            server_term=max(owner.own, state.server_term),
            name_reused=state.name_reused or slot != load,
        )
        yield (
            label('order_load', index, load),
            change_load(made, index, load, Known.OPEN),
        )


def announce_load(state: State, left: Left) -> Iterator[Step]:
    """An owner announces an open load to the other resident."""
    for index, owner, peer in asked_peers(state, left):
        for load in LOADS:
            is_new = (
                peer.known[load] == Known.UNKNOWN
                and owner.known[load] == Known.OPEN
            )
            if is_new and is_settled(owner, load, left):
                told = tell_term(state, index, left)
                told = change_load(told, 1 - index, load, Known.OPEN)
                yield label('announce_load', index, load), told


def adopt_load(state: State, left: Left) -> Iterator[Step]:
    """A new owner that does not wait opens what the server holds."""
    if 'wait_for_residents' not in left:
        return
    for index, owner, _peer in owners(state):
        for load in range(owner.own - 1):
            if owner.known[load] == Known.UNKNOWN and is_loaded(
                state, load, left
            ):
                yield (
                    label('adopt_load', index, load),
                    change_load(state, index, load, Known.OPEN),
                )


def close_load(state: State, left: Left) -> Iterator[Step]:
    """An owner closes a load to its own entries to prepare its evict."""
    for index, owner, _peer in owners(state):
        for load in LOADS:
            if owner.known[load] == Known.OPEN and is_settled(
                owner, load, left
            ):
                yield (
                    label('close_load', index, load),
                    change_load(state, index, load, Known.CLOSED),
                )


def consent_to_close(state: State, left: Left) -> Iterator[Step]:
    """The other resident closes a load for its owner for ever."""
    for index, owner, peer in asked_peers(state, left):
        for load in LOADS:
            if owner.known[load] == Known.CLOSED != peer.known[load]:
                told = tell_term(state, index, left)
                told = change_load(told, 1 - index, load, Known.CLOSED)
                yield label('consent_to_close', 1 - index, load), told


def answer_drained(state: State, left: Left) -> Iterator[Step]:
    """The other resident tells the owner that a closed load is drained."""
    for index, owner, peer in asked_peers(state, left):
        for load in LOADS:
            closed = owner.known[load] == peer.known[load] == Known.CLOSED
            if closed and not peer.running[load] and not owner.consents[load]:
                consents = replace_at(owner.consents, load, True)
                yield (
                    label('answer_drained', 1 - index, load),
                    change(state, index, consents=consents),
                )


def order_evict(state: State, left: Left) -> Iterator[Step]:
    """An owner orders the evict of a load that all have drained."""
    for index, owner, _peer in owners(state):
        for load in LOADS:
            orders = state.orders | {Evict(load, owner.own)}
            if orders != state.orders and _may_evict(owner, load, left):
                yield (
                    label('order_evict', index, load),
                    state._replace(orders=orders),
                )


def _may_evict(owner: Instance, load: int, left: Left) -> bool:
    drained = owner.known[load] == Known.CLOSED and not owner.running[load]
    if not drained or not is_settled(owner, load, left):
        return False
    return owner.gone or owner.consents[load] or 'consent' in left


def one_effective_owner(state: State) -> bool:
    """At most one owner could have any load closed by all residents."""
    effective = [
        owner
        for _index, owner, peer in owners(state)
        if owner.heard and (owner.gone or peer.seen <= owner.own)
    ]
    return len(effective) < 2


SPEC = Spec(
    name='evictions',
    bounds='2 instances, 2 terms, 2 loads, 2 crashes or freezes',
    initial=State(
        lease=0,
        term=1,
        both=(
            Instance(
                own=1, seen=1, heard=True, known=(Known.OPEN, Known.UNKNOWN)
            ),
            Instance(seen=1),
        ),
        loaded=(True, False),
        server_term=1,
        orders=frozenset(),
        name_reused=False,
        evicted_running=False,
        faults=2,
    ),
    actions=(
        lease_lapse,
        take_over,
        report_running,
        drop_resident,
        link_again,
        order_load,
        announce_load,
        adopt_load,
        close_load,
        consent_to_close,
        answer_drained,
        order_evict,
        land_evict,
        begin_request,
        finish_request,
        crash,
        start,
        freeze,
        thaw,
    ),
    properties={
        'no_evict_while_running': lambda state: not state.evicted_running,
        'one_effective_owner': one_effective_owner,
        'names_unique': lambda state: not state.name_reused,
    },
    mechanisms={
        'consent': 'an evict needs the consent of every resident',
        'closed_marks': 'a closed load stays closed when the owner changes',
        'open_witness': 'a load that nobody has open counts as closed',
        'unique_load_names': 'the term is part of the name of a load',
        'wait_for_residents': 'a new owner hears all residents first',
        'refuse_older_term': 'who knows a higher term refuses, and resigns',
        'check_pause': 'after a long pause an instance forgets open loads',
        'list_keeps_live': 'the list never loses an instance that runs',
    },
    optional={
        'fencing': 'the server refuses orders with an older term',
    },
)
