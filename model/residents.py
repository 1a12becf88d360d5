"""States of the specification of evictions, and functions on them."""

from collections.abc import Iterator
from typing import Any, NamedTuple, TypeVar

LAST_TERM = 2
NAMES = ('x', 'y')
PEERS = ('y', 'x')
#: The load with index n is loaded under term n + 1.
LOADS = (0, 1)

Omitted = frozenset[str]
_Value = TypeVar('_Value')


class LoadState:
    """The state of a load according to an instance."""

    UNKNOWN, OPEN, CLOSED = range(3)


class Instance(NamedTuple):
    """The state of one instance, lost at a restart.

    :param up: whether its process exists.
    :param frozen: whether its process is suspended.
    :param long_frozen: whether it was suspended for so long that it was
        dropped.
    :param own_term: the term under which it believes to own the server, or 0.
    :param highest_term: the highest term that it knows.
    :param load_states: for each load a value of `LoadState`.
    :param running: for each load whether a request runs on it.
    :param peer_reported: as an owner: the other resident has reported.
    :param consents: as an owner: for each load whether the other resident has
        drained it.
    :param peer_dropped: as an owner: the list no longer shows the other
        instance.
    """

    up: bool = True
    frozen: bool = False
    long_frozen: bool = False
    own_term: int = 0
    highest_term: int = 0
    load_states: tuple[int, ...] = (LoadState.UNKNOWN, LoadState.UNKNOWN)
    running: tuple[bool, ...] = (False, False)
    peer_reported: bool = False
    consents: tuple[bool, ...] = (False, False)
    peer_dropped: bool = False

    @property
    def is_active(self) -> bool:
        """Whether it takes steps and answers messages."""
        return self.up and not self.frozen


class Evict(NamedTuple):
    """An evict order in transit to the server."""

    load: int
    term: int


class State(NamedTuple):
    """State of the complete system.

    :param lease: index of the instance whose lease the platform holds, or -1.
    :param term: the term in the owner's key at the platform.
    :param instances: the two instances.
    :param loaded: for each name of a load whether the server has it.
    :param server_term: the highest term that the server has received.
    :param orders: evict orders in transit.
    :param name_reused: whether a load got the name of an earlier one.
    :param evicted_running: whether a load was evicted under a running request.
    :param faults: crashes and freezes that may still happen.
    """

    lease: int
    term: int
    instances: tuple[Instance, ...]
    loaded: tuple[bool, ...]
    server_term: int
    orders: frozenset[Evict]
    name_reused: bool
    evicted_running: bool
    faults: int


def replace_at(
    values: tuple[_Value, ...], index: int, value: _Value
) -> tuple[_Value, ...]:
    """Return the values with one of them replaced."""
    return (*values[:index], value, *values[index + 1 :])


def update_instance(state: State, index: int, **changes: Any) -> State:
    """Return a state with one instance changed."""
    changed = state.instances[index]._replace(**changes)
    return state._replace(instances=replace_at(state.instances, index, changed))


def set_load_state(
    state: State, index: int, load: int, load_state: int
) -> State:
    """Return a state with the state of one load at one instance changed."""
    before = state.instances[index].load_states
    return update_instance(
        state, index, load_states=replace_at(before, load, load_state)
    )


def drop_open_loads(instance: Instance) -> Instance:
    """Return the instance owning nothing and with no load open."""
    load_states = tuple(
        LoadState.UNKNOWN if each == LoadState.OPEN else each
        for each in instance.load_states
    )
    return instance._replace(own_term=0, load_states=load_states)


def slot_of(load: int, omitted: Omitted) -> int:
    """Return the index in `State.loaded` of the name of a load."""
    return 0 if 'unique_load_names' in omitted else load


def is_loaded(state: State, load: int, omitted: Omitted) -> bool:
    """Return whether the server has a load of this load's name."""
    return state.loaded[slot_of(load, omitted)]


def acting_owners(state: State) -> Iterator[tuple[int, Instance, Instance]]:
    """Yield each believed owner: its index, its state, the other's state."""
    for index, instance in enumerate(state.instances):
        if instance.is_active and instance.own_term:
            yield index, instance, state.instances[1 - index]


def linked_owners(
    state: State, omitted: Omitted
) -> Iterator[tuple[int, Instance, Instance]]:
    """Yield the acting owners whose messages the other instance accepts."""
    for index, owner, peer in acting_owners(state):
        if (
            peer.is_active
            and not owner.peer_dropped
            and accepts(peer, owner, omitted)
        ):
            yield index, owner, peer


def accepts(peer: Instance, owner: Instance, omitted: Omitted) -> bool:
    """Return whether an instance accepts an owner's messages.

    It does unless it knows a higher term than the owner's.
    """
    return peer.highest_term <= owner.own_term or 'refuse_older_term' in omitted


def learn_term(state: State, owner: int, omitted: Omitted) -> State:
    """Return a state in which the other instance knows an owner's term.

    At a higher term than it knew, it gives up its own ownership.
    """
    index = 1 - owner
    term = state.instances[owner].own_term
    instance = state.instances[index]
    if instance.highest_term >= term:
        return state
    own_term = instance.own_term if 'refuse_older_term' in omitted else 0
    load_states = load_states_after_takeover(instance.load_states, omitted)
    return update_instance(
        state,
        index,
        own_term=own_term,
        highest_term=term,
        load_states=load_states,
    )


def load_states_after_takeover(
    load_states: tuple[int, ...], omitted: Omitted
) -> tuple[int, ...]:
    """Return the load states of an instance after a change of owner."""
    if 'closed_after_takeover' in omitted:
        return tuple(
            LoadState.OPEN if each == LoadState.CLOSED else each
            for each in load_states
        )
    return load_states


def is_settled(owner: Instance, load: int, omitted: Omitted) -> bool:
    """Return whether an owner may announce or close a load."""
    is_own = load + 1 == owner.own_term
    return owner.peer_reported or is_own or 'wait_for_residents' in omitted


def label(action: str, index: int, load: int) -> str:
    """Return the label of a step of one instance on one load."""
    return f'{action}({NAMES[index]}, load {load + 1})'
