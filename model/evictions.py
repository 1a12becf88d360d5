"""Evictions by consent of every resident instance, across owners.

Two instances of one data centre, both residents and both candidates for the
ownership of one server.  A pause is a process that takes no step, so every
step may come late: each order lands on the server whenever it likes, also
after a change of owner or the death of its sender.
"""

from collections.abc import Iterator
from typing import NamedTuple

from model.spec import Spec, Step

LAST_TERM = 2
NAMES = ('x', 'y')
#: The load with index n is made under term n + 1.
LOADS = (0, 1)
UNKNOWN, OPEN, CLOSED = range(3)
LOAD, EVICT = ('load', 'evict')

Left = frozenset[str]


class Instance(NamedTuple):
    """What one instance remembers until it restarts.

    :param own: the term under which it believes to own the server, or 0.
    :param seen: the highest term that it has heard of.
    :param known: for each load UNKNOWN, OPEN or CLOSED.
    :param running: for each load whether a request runs on it.
    :param heard: as an owner: the other resident has reported.
    :param consents: as an owner: loads that the other has drained.
    :param gone: as an owner: the list no longer shows the other one.
    """

    up: bool = True
    own: int = 0
    seen: int = 0
    known: tuple[int, ...] = (UNKNOWN, UNKNOWN)
    running: tuple[bool, ...] = (False, False)
    heard: bool = False
    consents: tuple[bool, ...] = (False, False)
    gone: bool = False


class Order(NamedTuple):
    """An order on its way to the server."""

    kind: str
    load: int
    term: int


class State(NamedTuple):
    """The whole system.

    :param lease: index of the instance whose lease the platform holds, or -1.
    :param term: the term in the key of the owner.
    :param loaded: for each name on the server whether it is loaded.
    :param server_term: the highest term that the server has seen.
    :param evicted_running: an evict has met a running request.
    """

    lease: int
    term: int
    both: tuple[Instance, Instance]
    loaded: tuple[bool, ...]
    server_term: int
    orders: frozenset[Order]
    evicted_running: bool
    restarts: int


def _put(values: tuple[int, ...], index: int, value: int) -> tuple[int, ...]:
    return (*values[:index], value, *values[index + 1 :])


def _with(state: State, index: int, **changes: object) -> State:
    changed = state.both[index]._replace(**changes)
    return state._replace(both=_put(state.both, index, changed))


def _learn_term(state: State, index: int, term: int, left: Left) -> State:
    instance = state.both[index]
    if instance.seen >= term:
        return state
    own = instance.own if 'refuse_older_term' in left else 0
    known = _after_change(instance.known, left)
    return _with(state, index, own=own, seen=term, known=known)


def _after_change(known: tuple[int, ...], left: Left) -> tuple[int, ...]:
    if 'closed_marks' in left:
        return tuple(OPEN if load == CLOSED else load for load in known)
    return known


def _slot(load: int, left: Left) -> int:
    return 0 if 'unique_load_names' in left else load


def lease_lapse(state: State, left: Left) -> Iterator[Step]:
    """The platform drops the lease, whatever its holder believes."""
    if state.lease >= 0:
        yield 'lease_lapse', state._replace(lease=-1)


def take_over(state: State, left: Left) -> Iterator[Step]:
    """A candidate takes the free key of the owner with the next term."""
    if state.lease >= 0 or state.term >= LAST_TERM:
        return
    term = state.term + 1
    for index, instance in enumerate(state.both):
        if instance.up:
            taken = _with(
                state,
                index,
                own=term,
                seen=term,
                heard=False,
                known=_after_change(instance.known, left),
                consents=(False, False),
                gone=False,
            )
            yield (
                f'take_over({NAMES[index]}, term {term})',
                taken._replace(lease=index, term=term),
            )


def _owners(state: State) -> Iterator[tuple[int, Instance, Instance]]:
    for index, instance in enumerate(state.both):
        if instance.up and instance.own:
            yield index, instance, state.both[1 - index]


def report_running(state: State, left: Left) -> Iterator[Step]:
    """The other resident tells a new owner its loads and learns the term."""
    for index, owner, peer in _owners(state):
        if owner.heard or not peer.up or _refuses(peer, owner, left):
            continue
        told = _learn_term(state, 1 - index, owner.own, left)
        known = tuple(
            _inherited(state, owner, peer, load, left) for load in LOADS
        )
        yield (
            f'report_running({NAMES[1 - index]} to {NAMES[index]})',
            _with(told, index, heard=True, known=known),
        )


def _inherited(
    state: State, owner: Instance, peer: Instance, load: int, left: Left
) -> int:
    known = _after_change(peer.known, left)
    both = {owner.known[load], known[load]}
    if CLOSED in both:
        return CLOSED
    if OPEN in both:
        return OPEN
    if state.loaded[_slot(load, left)] and load + 1 < owner.own:
        return OPEN if 'open_witness' in left else CLOSED
    return owner.known[load]


def drop_resident(state: State, left: Left) -> Iterator[Step]:
    """An owner stops counting an instance that the list has long lost."""
    for index, owner, peer in _owners(state):
        if owner.gone or (peer.up and 'list_keeps_live' not in left):
            continue
        known = owner.known
        if not owner.heard:
            known = tuple(
                _inherited(state, owner, Instance(), load, left)
                for load in LOADS
            )
        yield (
            f'drop_resident({NAMES[1 - index]} at {NAMES[index]})',
            _with(state, index, gone=True, heard=True, known=known),
        )


def order_load(state: State, left: Left) -> Iterator[Step]:
    """An owner orders the load that belongs to its term."""
    for index, owner, _peer in _owners(state):
        load = owner.own - 1
        order = Order(LOAD, load, owner.own)
        if owner.known[load] == UNKNOWN and order not in state.orders:
            yield (
                f'order_load({NAMES[index]}, load {load + 1})',
                state._replace(orders=state.orders | {order}),
            )


def open_load(state: State, left: Left) -> Iterator[Step]:
    """An owner hears that its load is done and opens it to itself."""
    for index, owner, _peer in _owners(state):
        load = owner.own - 1
        if owner.known[load] == UNKNOWN and state.loaded[_slot(load, left)]:
            yield (
                f'open_load({NAMES[index]}, load {load + 1})',
                _with(state, index, known=_put(owner.known, load, OPEN)),
            )


def announce_load(state: State, left: Left) -> Iterator[Step]:
    """An owner announces an open load to the other resident."""
    for index, owner, peer in _owners(state):
        if not peer.up or _refuses(peer, owner, left):
            continue
        for load in LOADS:
            fresh = peer.known[load] == UNKNOWN
            settled = owner.heard or load + 1 == owner.own
            settled = settled or 'wait_for_residents' in left
            if fresh and settled and owner.known[load] == OPEN:
                told = _learn_term(state, 1 - index, owner.own, left)
                told = _with(
                    told, 1 - index, known=_put(peer.known, load, OPEN)
                )
                yield (
                    f'announce_load({NAMES[index]}, load {load + 1})',
                    _with(told, index, gone=False),
                )


def _refuses(peer: Instance, owner: Instance, left: Left) -> bool:
    return peer.seen > owner.own and 'refuse_older_term' not in left


def adopt_load(state: State, left: Left) -> Iterator[Step]:
    """A new owner that does not wait opens what the server holds."""
    if 'wait_for_residents' not in left:
        return
    for index, owner, _peer in _owners(state):
        for load in range(owner.own - 1):
            if owner.known[load] == UNKNOWN and state.loaded[_slot(load, left)]:
                yield (
                    f'adopt_load({NAMES[index]}, load {load + 1})',
                    _with(state, index, known=_put(owner.known, load, OPEN)),
                )


def close_load(state: State, left: Left) -> Iterator[Step]:
    """An owner closes a load to its own entries to prepare its evict."""
    for index, owner, _peer in _owners(state):
        for load in LOADS:
            if owner.known[load] == OPEN and _settled(owner, load, left):
                yield (
                    f'close_load({NAMES[index]}, load {load + 1})',
                    _with(state, index, known=_put(owner.known, load, CLOSED)),
                )


def _settled(owner: Instance, load: int, left: Left) -> bool:
    return owner.heard or load + 1 == owner.own or 'wait_for_residents' in left


def consent_to_close(state: State, left: Left) -> Iterator[Step]:
    """The other resident closes a load for its owner for ever."""
    for index, owner, peer in _owners(state):
        if not peer.up or _refuses(peer, owner, left):
            continue
        for load in LOADS:
            if owner.known[load] == CLOSED != peer.known[load]:
                told = _learn_term(state, 1 - index, owner.own, left)
                yield (
                    f'consent_to_close({NAMES[1 - index]}, load {load + 1})',
                    _with(
                        told, 1 - index, known=_put(peer.known, load, CLOSED)
                    ),
                )


def answer_drained(state: State, left: Left) -> Iterator[Step]:
    """The other resident tells the owner that a closed load is drained."""
    for index, owner, peer in _owners(state):
        if not peer.up or _refuses(peer, owner, left):
            continue
        for load in LOADS:
            drained = peer.known[load] == CLOSED and not peer.running[load]
            if drained and owner.known[load] == CLOSED:
                if not owner.consents[load]:
                    consents = _put(owner.consents, load, True)
                    yield (
                        f'answer_drained({NAMES[1 - index]}, load {load + 1})',
                        _with(state, index, consents=consents),
                    )


def able_to_evict(state: State, index: int, load: int, left: Left) -> bool:
    """Whether an owner may order an evict right now."""
    owner = state.both[index]
    if not (owner.up and owner.own and _settled(owner, load, left)):
        return False
    if owner.known[load] != CLOSED or owner.running[load]:
        return False
    return owner.gone or owner.consents[load] or 'consent' in left


def order_evict(state: State, left: Left) -> Iterator[Step]:
    """An owner orders the evict of a load that all have drained."""
    for index, owner, _peer in _owners(state):
        for load in LOADS:
            order = Order(EVICT, load, owner.own)
            if order in state.orders:
                continue
            if able_to_evict(state, index, load, left):
                yield (
                    f'order_evict({NAMES[index]}, load {load + 1})',
                    state._replace(orders=state.orders | {order}),
                )


def land_order(state: State, left: Left) -> Iterator[Step]:
    """An order reaches the server, however late."""
    for order in state.orders:
        rest = state._replace(orders=state.orders - {order})
        label = f'land_order({order.kind} load {order.load + 1})'
        if 'fencing' not in left:
            if order.term < state.server_term:
                yield f'{label} refused', rest
                continue
            rest = rest._replace(server_term=order.term)
        yield label, _carry_out(rest, order, left)


def _carry_out(state: State, order: Order, left: Left) -> State:
    slot = _slot(order.load, left)
    if order.kind == LOAD:
        return state._replace(loaded=_put(state.loaded, slot, True))
    running = state.loaded[slot] and any(
        instance.running[load]
        for instance in state.both
        for load in LOADS
        if _slot(load, left) == slot
    )
    return state._replace(
        loaded=_put(state.loaded, slot, False),
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
        for load in LOADS:
            able = instance.up and instance.known[load] == OPEN
            if able and state.loaded[_slot(load, left)]:
                running = _put(instance.running, load, True)
                yield (
                    f'begin_request({NAMES[index]}, load {load + 1})',
                    _with(state, index, running=running),
                )


def finish_request(state: State, left: Left) -> Iterator[Step]:
    """A running request ends."""
    for index, instance in enumerate(state.both):
        for load in LOADS:
            if instance.running[load]:
                running = _put(instance.running, load, False)
                yield (
                    f'finish_request({NAMES[index]}, load {load + 1})',
                    _with(state, index, running=running),
                )


def crash(state: State, left: Left) -> Iterator[Step]:
    """An instance dies with all that it remembers."""
    if state.restarts:
        for index, instance in enumerate(state.both):
            if instance.up:
                dead = _put(state.both, index, Instance(up=False))
                yield (
                    f'crash({NAMES[index]})',
                    state._replace(both=dead, restarts=state.restarts - 1),
                )


def start(state: State, left: Left) -> Iterator[Step]:
    """An instance comes up empty."""
    for index, instance in enumerate(state.both):
        if not instance.up:
            yield f'start({NAMES[index]})', _with(state, index, up=True)


def one_effective_owner(state: State) -> bool:
    """At most one owner could have any load closed by all residents."""
    effective = [
        owner
        for _index, owner, peer in _owners(state)
        if owner.heard and (owner.gone or peer.seen <= owner.own)
    ]
    return len(effective) < 2


INITIAL = State(
    lease=0,
    term=1,
    both=(
        Instance(own=1, seen=1, heard=True, known=(OPEN, UNKNOWN)),
        Instance(seen=1),
    ),
    loaded=(True, False),
    server_term=1,
    orders=frozenset(),
    evicted_running=False,
    restarts=2,
)

SPEC = Spec(
    name='evictions',
    bounds='2 instances, 2 terms, 2 loads, 2 restarts',
    initial=INITIAL,
    actions=(
        lease_lapse,
        take_over,
        report_running,
        drop_resident,
        order_load,
        open_load,
        announce_load,
        adopt_load,
        close_load,
        consent_to_close,
        answer_drained,
        order_evict,
        land_order,
        begin_request,
        finish_request,
        crash,
        start,
    ),
    properties={
        'no_evict_while_running': lambda state: not state.evicted_running,
        'one_effective_owner': one_effective_owner,
    },
    mechanisms={},
    assumptions={},
)
