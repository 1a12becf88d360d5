"""Bundles in force: rolled by operators, propagated by watches and peers.

Two operators compete for the next numbers.  An instance receives a pointer
from the platform, or from a peer, possibly an old copy after a long delay; it
may be cut off from the platform, and may restart without a bundle.  Each
bundle names its parent, the pointer that it was made to supersede.
"""

from collections.abc import Iterator
from typing import NamedTuple

from model.spec import Spec, Step

OPERATORS = ('ann', 'bob')
INSTANCES = (0, 1)
FIRST = 1

IDLE, PREPARED, SENT, WON, LOST, REFUSED = range(6)
ENDED = frozenset((IDLE, WON, LOST, REFUSED))

Omitted = frozenset[str]


class Pointer(NamedTuple):
    """The content of the key of the bundle in force.

    :param number: number of the bundle.
    :param made_by: operator who rolled it; distinguishes bundles of the same
        number.
    """

    number: int
    made_by: str


class Roll(NamedTuple):
    """An operator's roll of one bundle.

    :param phase: IDLE, PREPARED, SENT, or reported as WON, LOST or REFUSED.
    :param parent: the pointer that the draft was made to supersede.
    :param number: the number under which it was sent.
    :param expected: the version of the key that its write expects.
    :param in_flight: whether its write may still reach the platform.
    """

    phase: int = IDLE
    parent: Pointer = Pointer(FIRST, '')
    number: int = 0
    expected: int = 0
    in_flight: bool = False


class State(NamedTuple):
    """State of the complete system.

    :param pointer: content of the key at the platform.
    :param version: version of the key at the platform.
    :param history: all pointers that were ever in force, oldest first.
    :param rolls: the current roll of each operator.
    :param in_force: for each instance its bundle, None after a restart.
    :param copies: pointers in transit from a peer to an instance.
    :param number_fell: whether the number at an instance has decreased without
        a restart.
    :param unseen_superseded: whether a roll replaced a bundle other than the
        parent of its draft.
    :param restarts: restarts that may still happen.
    :param rolls_left: rolls that may still be prepared.
    """

    pointer: Pointer
    version: int
    history: tuple[Pointer, ...]
    rolls: tuple[Roll, ...]
    in_force: tuple[Pointer | None, ...]
    copies: frozenset[tuple[int, Pointer]]
    number_fell: bool
    unseen_superseded: bool
    restarts: int
    rolls_left: int


def _with_roll(state: State, index: int, roll: Roll) -> State:
    rolls = (*state.rolls[:index], roll, *state.rolls[index + 1 :])
    return state._replace(rolls=rolls)


def prepare(state: State, omitted: Omitted) -> Iterator[Step]:
    """An operator makes a draft based on the bundle in force."""
    for index, ended in enumerate(state.rolls):
        if ended.phase in ENDED and state.rolls_left:
            draft = Roll(PREPARED, parent=state.pointer)
            yield (
                f'prepare({OPERATORS[index]})',
                _with_roll(state, index, draft)._replace(
                    rolls_left=state.rolls_left - 1,
                ),
            )


def roll(state: State, omitted: Omitted) -> Iterator[Step]:
    """The administration service reads the pointer and checks the parent."""
    for index, draft in enumerate(state.rolls):
        if draft.phase != PREPARED:
            continue
        name = OPERATORS[index]
        if state.pointer == draft.parent or 'parent_check' in omitted:
            sent = draft._replace(
                phase=SENT,
                number=state.pointer.number + 1,
                expected=state.version,
                in_flight=True,
            )
            yield f'roll({name})', _with_roll(state, index, sent)
        else:
            refused = draft._replace(phase=REFUSED)
            yield f'roll({name}) refused', _with_roll(state, index, refused)


def _pointer_of(state: State, index: int) -> Pointer:
    return Pointer(state.rolls[index].number, OPERATORS[index])


def swap_pointer(state: State, omitted: Omitted) -> Iterator[Step]:
    """A write of the pointer reaches the platform; the answer may be lost."""
    for index, sent in enumerate(state.rolls):
        if not sent.in_flight:
            continue
        name = OPERATORS[index]
        arrived = sent._replace(in_flight=False)
        is_current = sent.expected == state.version
        if is_current or 'expected_version' in omitted:
            written = _write(state, index)
            won = arrived._replace(phase=WON)
            yield f'swap_pointer({name})', _with_roll(written, index, won)
            yield (
                f'swap_pointer({name}) answer lost',
                _with_roll(written, index, arrived),
            )
        else:
            yield (
                f'swap_pointer({name}) conflict',
                _with_roll(state, index, arrived),
            )


def _write(state: State, index: int) -> State:
    pointer = _pointer_of(state, index)
    unseen = state.rolls[index].parent != state.pointer
    return state._replace(
        pointer=pointer,
        version=state.version + 1,
        history=(*state.history, pointer),
        unseen_superseded=state.unseen_superseded or unseen,
    )


def settle(state: State, omitted: Omitted) -> Iterator[Step]:
    """A repeated swap conflicts; the past pointers show whether it had won."""
    for index, sent in enumerate(state.rolls):
        if sent.phase != SENT:
            continue
        if sent.expected == state.version and 'settle_by_swap' not in omitted:
            continue
        past = state.history
        if 'past_pointers' in omitted:
            past = (state.pointer,)
        phase = WON if _pointer_of(state, index) in past else LOST
        yield (
            f'settle({OPERATORS[index]})',
            _with_roll(state, index, sent._replace(phase=phase)),
        )


def watch(state: State, omitted: Omitted) -> Iterator[Step]:
    """An instance that can reach the platform reads the pointer."""
    for index in INSTANCES:
        yield from _offer(state, index, state.pointer, 'watch', omitted)


def send_to_peer(state: State, omitted: Omitted) -> Iterator[Step]:
    """An instance sends its pointer in force to its peer."""
    for index in INSTANCES:
        pointer = state.in_force[1 - index]
        if pointer is not None and (index, pointer) not in state.copies:
            yield (
                f'send_to_peer({index}, {pointer.number})',
                state._replace(copies=state.copies | {(index, pointer)}),
            )


def offer(state: State, omitted: Omitted) -> Iterator[Step]:
    """A copy from a peer arrives, after any delay and possibly repeatedly."""
    for index, pointer in state.copies:
        yield from _offer(state, index, pointer, 'offer', omitted)


def _offer(
    state: State, index: int, pointer: Pointer, action: str, omitted: Omitted
) -> Iterator[Step]:
    present = state.in_force[index]
    if present == pointer:
        return
    is_lower = present is not None and pointer.number <= present.number
    if is_lower and 'refuse_lower' not in omitted:
        return
    taken = (
        *state.in_force[:index],
        pointer,
        *state.in_force[index + 1 :],
    )
    yield (
        f'{action}({index}, {pointer.number})',
        state._replace(
            in_force=taken, number_fell=state.number_fell or is_lower
        ),
    )


def restart(state: State, omitted: Omitted) -> Iterator[Step]:
    """An instance restarts without a bundle in force."""
    for index in INSTANCES:
        if state.restarts and state.in_force[index] is not None:
            empty = (
                *state.in_force[:index],
                None,
                *state.in_force[index + 1 :],
            )
            copies = frozenset(
                copy for copy in state.copies if copy[0] != index
            )
            yield (
                f'restart({index})',
                state._replace(
                    in_force=empty,
                    copies=copies,
                    restarts=state.restarts - 1,
                ),
            )


def number_only_rises(state: State) -> bool:
    """The number never decreases, neither at a process nor the platform."""
    numbers = [pointer.number for pointer in state.history]
    return not state.number_fell and numbers == sorted(numbers)


def one_winner(state: State) -> bool:
    """Each number belongs to one bundle, made on its predecessor."""
    numbers = {pointer.number for pointer in state.history}
    is_single = len(numbers) == len(state.history)
    return is_single and not state.unseen_superseded


def reported_outcome_is_true(state: State) -> bool:
    """A roll reported as won has won, one reported as lost has lost."""
    return all(
        (_pointer_of(state, index) in state.history) == (each.phase == WON)
        for index, each in enumerate(state.rolls)
        if each.phase in {WON, LOST}
    )


START = Pointer(FIRST, '')

SPEC = Spec(
    name='bundles',
    bounds='2 operators, 3 rolls, 2 instances, 1 restart',
    initial=State(
        pointer=START,
        version=1,
        history=(START,),
        rolls=(Roll(), Roll()),
        in_force=(START, START),
        copies=frozenset(),
        number_fell=False,
        unseen_superseded=False,
        restarts=1,
        rolls_left=3,
    ),
    actions=(
        prepare,
        roll,
        swap_pointer,
        settle,
        watch,
        send_to_peer,
        offer,
        restart,
    ),
    properties={
        'number_only_rises': number_only_rises,
        'one_winner': one_winner,
        'reported_outcome_is_true': reported_outcome_is_true,
    },
    mechanisms={
        'expected_version': 'the pointer is replaced only at the version read',
        'refuse_lower': 'an instance refuses lower and equal numbers',
        'parent_check': 'a draft replaces only its parent',
        'settle_by_swap': 'after a lost answer the same swap is repeated',
        'past_pointers': 'past pointers show whether a roll was in force',
    },
    optional={},
)
