"""Evictions by consent of every resident instance, across changes of owner.

Two instances of one data centre are both residents and both candidates for
the ownership of one server.  A paused process takes no steps, so every step
may be delayed; an evict order may reach the server at any time, also after a
change of owner or a crash of its sender.
"""

from collections.abc import Iterator

from model.faults import (
    crash,
    freeze,
    lease_lapse,
    reconnect,
    resume,
    start,
)
from model.requests import begin_request, deliver_evict, finish_request
from model.residents import (
    LAST_TERM,
    LOADS,
    NAMES,
    PEERS,
    Evict,
    Instance,
    LoadState,
    Omitted,
    State,
    acting_owners,
    is_loaded,
    is_settled,
    label,
    learn_term,
    linked_owners,
    load_states_after_takeover,
    replace_at,
    set_load_state,
    slot_of,
    update_instance,
)
from model.spec import Spec, Step


def take_over(state: State, omitted: Omitted) -> Iterator[Step]:
    """A candidate takes the owner's free key, with the next term."""
    if state.lease >= 0 or state.term >= LAST_TERM:
        return
    term = state.term + 1
    for index, instance in enumerate(state.instances):
        if instance.is_active:
            taken = update_instance(
                state,
                index,
                own_term=term,
                highest_term=term,
                load_states=load_states_after_takeover(
                    instance.load_states, omitted
                ),
                peer_reported=False,
                consents=(False, False),
                peer_dropped=False,
            )
            yield (
                f'take_over({NAMES[index]}, term {term})',
                taken._replace(lease=index, term=term),
            )


def report_running(state: State, omitted: Omitted) -> Iterator[Step]:
    """The other resident reports its loads to a new owner."""
    for index, owner, _peer in linked_owners(state, omitted):
        if owner.peer_reported:
            continue
        updated = learn_term(state, index, omitted)
        peer = updated.instances[1 - index]
        load_states = _inherited(updated, owner, peer, omitted)
        yield (
            f'report_running({PEERS[index]} to {NAMES[index]})',
            update_instance(
                updated, index, peer_reported=True, load_states=load_states
            ),
        )


def _inherited(
    state: State, owner: Instance, peer: Instance, omitted: Omitted
) -> tuple[int, ...]:
    return tuple(
        _inherited_load(state, owner, peer, load, omitted) for load in LOADS
    )


def _inherited_load(
    state: State, owner: Instance, peer: Instance, load: int, omitted: Omitted
) -> int:
    known_states = {owner.load_states[load], peer.load_states[load]}
    if LoadState.CLOSED in known_states:
        return LoadState.CLOSED
    if LoadState.OPEN in known_states:
        return LoadState.OPEN
    if load + 1 < owner.own_term and is_loaded(state, load, omitted):
        return (
            LoadState.OPEN
            if 'unopened_is_closed' in omitted
            else LoadState.CLOSED
        )
    return LoadState.UNKNOWN


def drop_resident(state: State, omitted: Omitted) -> Iterator[Step]:
    """An owner drops an instance that has long been missing from the list."""
    for index, owner, peer in acting_owners(state):
        if owner.peer_dropped or (
            peer.is_active and 'list_keeps_live' not in omitted
        ):
            continue
        dropped = state
        if peer.frozen:
            # The deadlines of its requests have passed by now.
            dropped = update_instance(
                state, 1 - index, long_frozen=True, running=(False, False)
            )
        load_states = owner.load_states
        if not owner.peer_reported:
            load_states = _inherited(state, owner, Instance(), omitted)
        yield (
            f'drop_resident({PEERS[index]} at {NAMES[index]})',
            update_instance(
                dropped,
                index,
                peer_dropped=True,
                peer_reported=True,
                load_states=load_states,
            ),
        )


def order_load(state: State, omitted: Omitted) -> Iterator[Step]:
    """An owner orders the load of its term at the server and opens it."""
    for index, owner, _peer in acting_owners(state):
        load = owner.own_term - 1
        if owner.load_states[load] != LoadState.UNKNOWN:
            continue
        if 'fencing' not in omitted and owner.own_term < state.server_term:
            continue
        slot = slot_of(load, omitted)
        made = state._replace(
            loaded=replace_at(state.loaded, slot, True),
            server_term=max(owner.own_term, state.server_term),
            name_reused=state.name_reused or slot != load,
        )
        yield (
            label('order_load', index, load),
            set_load_state(made, index, load, LoadState.OPEN),
        )


def announce_load(state: State, omitted: Omitted) -> Iterator[Step]:
    """An owner announces an open load to the other resident."""
    for index, owner, peer in linked_owners(state, omitted):
        for load in LOADS:
            is_new = (
                peer.load_states[load] == LoadState.UNKNOWN
                and owner.load_states[load] == LoadState.OPEN
            )
            if is_new and is_settled(owner, load, omitted):
                updated = learn_term(state, index, omitted)
                updated = set_load_state(
                    updated, 1 - index, load, LoadState.OPEN
                )
                yield label('announce_load', index, load), updated


def adopt_load(state: State, omitted: Omitted) -> Iterator[Step]:
    """A new owner that doesn't wait for reports opens the server's loads."""
    if 'wait_for_residents' not in omitted:
        return
    for index, owner, _peer in acting_owners(state):
        for load in range(owner.own_term - 1):
            if owner.load_states[load] == LoadState.UNKNOWN and is_loaded(
                state, load, omitted
            ):
                yield (
                    label('adopt_load', index, load),
                    set_load_state(state, index, load, LoadState.OPEN),
                )


def close_load(state: State, omitted: Omitted) -> Iterator[Step]:
    """An owner closes a load for its own entries, to prepare its eviction."""
    for index, owner, _peer in acting_owners(state):
        for load in LOADS:
            if owner.load_states[load] == LoadState.OPEN and is_settled(
                owner, load, omitted
            ):
                yield (
                    label('close_load', index, load),
                    set_load_state(state, index, load, LoadState.CLOSED),
                )


def consent_to_close(state: State, omitted: Omitted) -> Iterator[Step]:
    """The other resident closes a load for good, at the owner's request."""
    for index, owner, peer in linked_owners(state, omitted):
        for load in LOADS:
            if (
                owner.load_states[load]
                == LoadState.CLOSED
                != peer.load_states[load]
            ):
                updated = learn_term(state, index, omitted)
                updated = set_load_state(
                    updated, 1 - index, load, LoadState.CLOSED
                )
                yield label('consent_to_close', 1 - index, load), updated


def answer_drained(state: State, omitted: Omitted) -> Iterator[Step]:
    """The other resident reports to the owner that a closed load is drained."""
    for index, owner, peer in linked_owners(state, omitted):
        for load in LOADS:
            closed = (
                owner.load_states[load]
                == peer.load_states[load]
                == LoadState.CLOSED
            )
            if closed and not peer.running[load] and not owner.consents[load]:
                consents = replace_at(owner.consents, load, True)
                yield (
                    label('answer_drained', 1 - index, load),
                    update_instance(state, index, consents=consents),
                )


def order_evict(state: State, omitted: Omitted) -> Iterator[Step]:
    """An owner orders the eviction of a load that all residents drained."""
    for index, owner, _peer in acting_owners(state):
        for load in LOADS:
            orders = state.orders | {Evict(load, owner.own_term)}
            if orders != state.orders and _may_evict(owner, load, omitted):
                yield (
                    label('order_evict', index, load),
                    state._replace(orders=orders),
                )


def _may_evict(owner: Instance, load: int, omitted: Omitted) -> bool:
    drained = (
        owner.load_states[load] == LoadState.CLOSED and not owner.running[load]
    )
    if not drained or not is_settled(owner, load, omitted):
        return False
    return owner.peer_dropped or owner.consents[load] or 'consent' in omitted


def one_effective_owner(state: State) -> bool:
    """At most one owner can have a load closed by all residents."""
    effective = [
        owner
        for _index, owner, peer in acting_owners(state)
        if owner.peer_reported
        and (owner.peer_dropped or peer.highest_term <= owner.own_term)
    ]
    return len(effective) < 2


SPEC = Spec(
    name='evictions',
    bounds='2 instances, 2 terms, 2 loads, 2 crashes or freezes',
    initial=State(
        lease=0,
        term=1,
        instances=(
            Instance(
                own_term=1,
                highest_term=1,
                peer_reported=True,
                load_states=(LoadState.OPEN, LoadState.UNKNOWN),
            ),
            Instance(highest_term=1),
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
        reconnect,
        order_load,
        announce_load,
        adopt_load,
        close_load,
        consent_to_close,
        answer_drained,
        order_evict,
        deliver_evict,
        begin_request,
        finish_request,
        crash,
        start,
        freeze,
        resume,
    ),
    properties={
        'no_evict_while_running': lambda state: not state.evicted_running,
        'one_effective_owner': one_effective_owner,
        'unique_names': lambda state: not state.name_reused,
    },
    mechanisms={
        'consent': 'an eviction needs the consent of every resident',
        'closed_after_takeover': 'closed loads stay closed under a new owner',
        'unopened_is_closed': 'a load that no instance has open is closed',
        'unique_load_names': 'the name of a load contains the term',
        'wait_for_residents': 'a new owner waits for reports of all residents',
        'refuse_older_term': 'at a higher term an instance refuses and resigns',
        'check_pause': 'after a long pause an instance drops its open loads',
        'list_keeps_live': 'the list never drops a running instance',
    },
    optional={
        'fencing': 'the server refuses orders of an older term',
    },
)
