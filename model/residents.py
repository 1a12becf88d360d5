"""The states of the specification of evictions."""

from collections.abc import Iterator
from typing import Any, NamedTuple, TypeVar

LAST_TERM = 2
NAMES = ('x', 'y')
PEERS = ('y', 'x')
#: The load with index n is made under term n + 1.
LOADS = (0, 1)

Left = frozenset[str]
_Value = TypeVar('_Value')


class Known:
    """What an instance knows of a load."""

    UNKNOWN, OPEN, CLOSED = range(3)


class Instance(NamedTuple):
    """What one instance remembers until it restarts.

    :param long_frozen: it has been frozen for so long that it was dropped.
    :param own: the term under which it believes to own the server, or 0.
    :param seen: the highest term that it has heard of.
    :param known: for each load Known.UNKNOWN, Known.OPEN or Known.CLOSED.
    :param running: for each load whether a request runs on it.
    :param heard: as an owner: the other resident has reported.
    :param consents: as an owner: loads that the other has drained.
    :param gone: as an owner: the list no longer shows the other one.
    """

    up: bool = True
    frozen: bool = False
    long_frozen: bool = False
    own: int = 0
    seen: int = 0
    known: tuple[int, ...] = (Known.UNKNOWN, Known.UNKNOWN)
    running: tuple[bool, ...] = (False, False)
    heard: bool = False
    consents: tuple[bool, ...] = (False, False)
    gone: bool = False

    @property
    def acts(self) -> bool:
        """Whether it takes steps and answers."""
        return self.up and not self.frozen


class Evict(NamedTuple):
    """An evict order on its way to the server."""

    load: int
    term: int


class State(NamedTuple):
    """The whole system.

    :param lease: index of the instance whose lease the platform holds, or -1.
    :param term: the term in the key of the owner.
    :param loaded: for each name on the server whether it is loaded.
    :param server_term: the highest term that the server has seen.
    :param name_reused: a load was made under the name of an earlier one.
    :param evicted_running: an evict has met a running request.
    :param faults: crashes and freezes that may still happen.
    """

    lease: int
    term: int
    both: tuple[Instance, ...]
    loaded: tuple[bool, ...]
    server_term: int
    orders: frozenset[Evict]
    name_reused: bool
    evicted_running: bool
    faults: int


def replace_at(
    values: tuple[_Value, ...], index: int, value: _Value
) -> tuple[_Value, ...]:
    """Return values with one of them replaced."""
    return (*values[:index], value, *values[index + 1 :])


def change(state: State, index: int, **changes: Any) -> State:
    """Return a state with one instance changed."""
    changed = state.both[index]._replace(**changes)
    return state._replace(both=replace_at(state.both, index, changed))


def change_load(state: State, index: int, load: int, known: int) -> State:
    """Return a state in which one instance knows a load otherwise."""
    before = state.both[index].known
    return change(state, index, known=replace_at(before, load, known))


def forget_open(instance: Instance) -> Instance:
    """Return an instance that owns nothing and has no load open."""
    known = tuple(
        Known.UNKNOWN if load == Known.OPEN else load for load in instance.known
    )
    return instance._replace(own=0, known=known)


def slot_of(load: int, left: Left) -> int:
    """Return the index of the name under which the server has a load."""
    return 0 if 'unique_load_names' in left else load


def is_loaded(state: State, load: int, left: Left) -> bool:
    """Return whether the server has a load, or another of its name."""
    return state.loaded[slot_of(load, left)]


def owners(state: State) -> Iterator[tuple[int, Instance, Instance]]:
    """Yield who believes to own the server: index, itself, the other."""
    for index, instance in enumerate(state.both):
        if instance.acts and instance.own:
            yield index, instance, state.both[1 - index]


def asked_peers(
    state: State, left: Left
) -> Iterator[tuple[int, Instance, Instance]]:
    """Yield the owners that are linked to the other instance.

    It accepts their messages unless it knows a higher term.
    """
    for index, owner, peer in owners(state):
        if peer.acts and not owner.gone and accepts(peer, owner, left):
            yield index, owner, peer


def accepts(peer: Instance, owner: Instance, left: Left) -> bool:
    """Return whether an instance accepts the messages of an owner."""
    return peer.seen <= owner.own or 'refuse_older_term' in left


def tell_term(state: State, owner: int, left: Left) -> State:
    """The other instance learns an owner's term and stops to own."""
    index = 1 - owner
    term = state.both[owner].own
    instance = state.both[index]
    if instance.seen >= term:
        return state
    own = instance.own if 'refuse_older_term' in left else 0
    known = known_after_change(instance.known, left)
    return change(state, index, own=own, seen=term, known=known)


def known_after_change(known: tuple[int, ...], left: Left) -> tuple[int, ...]:
    """Return what an instance knows of loads after a change of owner."""
    if 'closed_marks' in left:
        return tuple(
            Known.OPEN if load == Known.CLOSED else load for load in known
        )
    return known


def is_settled(owner: Instance, load: int, left: Left) -> bool:
    """Return whether an owner may announce or close a load."""
    is_own = load + 1 == owner.own
    return owner.heard or is_own or 'wait_for_residents' in left


def label(action: str, index: int, load: int) -> str:
    """Return the label of a step of one instance on one load."""
    return f'{action}({NAMES[index]}, load {load + 1})'
