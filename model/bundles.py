"""Bundles in force: rolled by operators, spread by watches and by peers.

Two operators race for the next numbers.  An instance takes a pointer from the
platform, or from a peer, perhaps an old copy that was long on its way; it may
be cut off from the platform, and restart with nothing.  Each bundle names the
number that it was made to supersede, its parent.
"""

from collections.abc import Iterator
from typing import NamedTuple

from model.spec import Spec, Step

OPERATORS = ('ann', 'bob')
INSTANCES = (0, 1)
FIRST = 1

IDLE, PREPARED, SENT, WON, LOST, REFUSED = range(6)
ENDED = frozenset((IDLE, WON, LOST, REFUSED))

Left = frozenset[str]


class Pointer(NamedTuple):
    """What the key of the bundle in force holds.

    :param made_by: who rolled it, so that numbers alone don't tell a bundle.
    """

    number: int
    made_by: str


class Roll(NamedTuple):
    """An operator's roll of one bundle.

    :param phase: IDLE, PREPARED, SENT, or told WON, LOST or REFUSED.
    :param number: the number under which it was sent.
    :param parent: the pointer that the draft was made to supersede.
    :param expected: the version that its write expects.
    :param in_flight: its write may still reach the platform.
    """

    phase: int = IDLE
    parent: Pointer = Pointer(FIRST, '')
    number: int = 0
    expected: int = 0
    in_flight: bool = False


class State(NamedTuple):
    """The whole system.

    :param pointer: what the platform's key holds.
    :param version: the key's version there.
    :param history: all pointers that ever were in force, oldest first.
    :param in_force: for each instance its bundle, None after a restart.
    :param copies: pointers on their way from a peer to an instance.
    :param fell: a number fell within one life of an instance.
    :param unseen_superseded: a roll replaced a bundle that its draft was not
        made on.
    """

    pointer: Pointer
    version: int
    history: tuple[Pointer, ...]
    rolls: tuple[Roll, ...]
    in_force: tuple[Pointer | None, ...]
    copies: frozenset[tuple[int, Pointer]]
    fell: bool
    unseen_superseded: bool
    restarts: int
    rolls_left: int


def _put_roll(state: State, index: int, roll: Roll) -> State:
    rolls = (*state.rolls[:index], roll, *state.rolls[index + 1 :])
    return state._replace(rolls=rolls)


def prepare(state: State, left: Left) -> Iterator[Step]:
    """An operator makes a draft on what is in force now."""
    for index, ended in enumerate(state.rolls):
        if ended.phase in ENDED and state.rolls_left:
            draft = Roll(PREPARED, parent=state.pointer)
            yield (
                f'prepare({OPERATORS[index]})',
                _put_roll(state, index, draft)._replace(
                    rolls_left=state.rolls_left - 1,
                ),
            )


def roll(state: State, left: Left) -> Iterator[Step]:
    """The administration reads the pointer and checks the parent."""
    for index, draft in enumerate(state.rolls):
        if draft.phase != PREPARED:
            continue
        name = OPERATORS[index]
        if state.pointer == draft.parent or 'parent_check' in left:
            sent = draft._replace(
                phase=SENT,
                number=state.pointer.number + 1,
                expected=state.version,
                in_flight=True,
            )
            yield f'roll({name})', _put_roll(state, index, sent)
        else:
            refused = draft._replace(phase=REFUSED)
            yield f'roll({name}) refused', _put_roll(state, index, refused)


def _pointer_of(state: State, index: int) -> Pointer:
    return Pointer(state.rolls[index].number, OPERATORS[index])


def move(state: State, left: Left) -> Iterator[Step]:
    """A write of the pointer lands; its answer may be lost."""
    for index, sent in enumerate(state.rolls):
        if not sent.in_flight:
            continue
        name = OPERATORS[index]
        landed = sent._replace(in_flight=False)
        is_current = sent.expected == state.version
        if is_current or 'expected_version' in left:
            written = _write(state, index)
            won = landed._replace(phase=WON)
            yield f'move({name})', _put_roll(written, index, won)
            yield (
                f'move({name}) answer lost',
                _put_roll(written, index, landed),
            )
        else:
            yield f'move({name}) conflict', _put_roll(state, index, landed)


def _write(state: State, index: int) -> State:
    pointer = _pointer_of(state, index)
    unseen = state.rolls[index].parent != state.pointer
    return state._replace(
        pointer=pointer,
        version=state.version + 1,
        history=(*state.history, pointer),
        unseen_superseded=state.unseen_superseded or unseen,
    )


def settle(state: State, left: Left) -> Iterator[Step]:
    """The same swap conflicts, so the past pointers tell who won."""
    for index, sent in enumerate(state.rolls):
        if sent.phase != SENT:
            continue
        if sent.expected == state.version and 'settle_by_swap' not in left:
            continue
        past = state.history
        if 'past_pointers' in left:
            past = (state.pointer,)
        phase = WON if _pointer_of(state, index) in past else LOST
        yield (
            f'settle({OPERATORS[index]})',
            _put_roll(state, index, sent._replace(phase=phase)),
        )


def watch(state: State, left: Left) -> Iterator[Step]:
    """An instance that reaches the platform learns the pointer."""
    for index in INSTANCES:
        yield from _offer(state, index, state.pointer, 'watch', left)


def send_to_peer(state: State, left: Left) -> Iterator[Step]:
    """An instance sends what it has in force to its peer."""
    for index in INSTANCES:
        pointer = state.in_force[1 - index]
        if pointer is not None and (index, pointer) not in state.copies:
            yield (
                f'send_to_peer({index}, {pointer.number})',
                state._replace(copies=state.copies | {(index, pointer)}),
            )


def offer(state: State, left: Left) -> Iterator[Step]:
    """A copy from a peer arrives, however old, and may come again."""
    for index, pointer in state.copies:
        yield from _offer(state, index, pointer, 'offer', left)


def _offer(
    state: State, index: int, pointer: Pointer, action: str, left: Left
) -> Iterator[Step]:
    present = state.in_force[index]
    if present == pointer:
        return
    falls = present is not None and pointer.number <= present.number
    if falls and 'refuse_lower' not in left:
        return
    taken = (
        *state.in_force[:index],
        pointer,
        *state.in_force[index + 1 :],
    )
    yield (
        f'{action}({index}, {pointer.number})',
        state._replace(in_force=taken, fell=state.fell or falls),
    )


def restart(state: State, left: Left) -> Iterator[Step]:
    """An instance restarts with nothing in force."""
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
    """No process ever went back to a lower number, nor did the platform."""
    numbers = [pointer.number for pointer in state.history]
    return not state.fell and numbers == sorted(numbers)


def one_winner(state: State) -> bool:
    """Each number was in force for one bundle, made on the one before."""
    numbers = {pointer.number for pointer in state.history}
    is_single = len(numbers) == len(state.history)
    return is_single and not state.unseen_superseded


def told_truly(state: State) -> bool:
    """Who was told of a win has won, who was told of a loss has lost."""
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
        fell=False,
        unseen_superseded=False,
        restarts=1,
        rolls_left=3,
    ),
    actions=(
        prepare,
        roll,
        move,
        settle,
        watch,
        send_to_peer,
        offer,
        restart,
    ),
    properties={
        'number_only_rises': number_only_rises,
        'one_winner': one_winner,
        'told_truly': told_truly,
    },
    mechanisms={
        'expected_version': 'the pointer is moved from the version read',
        'refuse_lower': 'an instance refuses lower and equal numbers',
        'parent_check': 'a draft replaces only what it was made on',
        'settle_by_swap': 'a lost answer is settled by the same swap again',
        'past_pointers': 'past pointers tell whether a roll was in force',
    },
    optional={},
)
