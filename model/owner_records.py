"""Two owners of a group whose record a store that returns may have lost.

Owner A holds a group by its record in the store, and may order for RIGHT ticks
after its last write, whether it reaches the store or not. The store may return
once from an older copy, without a record that it had acknowledged. Gateway B
starts with the deployment or later, and claims the group when it may. Orders of
two owners have to be GAP ticks apart. Time is counted in ticks; clocks run at
the same speed, so the allowance for them is left out.
"""

from collections.abc import Iterator
from typing import NamedTuple

from model.spec import Spec, Step

#: How long an owner may order after its last write, in ticks.
RIGHT = 2
#: Shortest time between the orders of two owners, in ticks.
GAP = 1
#: How long a claimant waits: until every right of before has ended.
TAKEOVER = RIGHT + GAP

#: Owner that a record names.
NOBODY, OWNER_A, OWNER_B = range(3)

Omitted = frozenset[str]


class State(NamedTuple):
    """State of the store and of both gateways.

    :param record: the owner that the record in the store names.
    :param copied: the owner that it names in the copy.
    :param has_returned: whether the store has returned from the copy.
    :param has_claimed: whether A has ever claimed the group.
    :param reaches: whether A reaches the store.
    :param right: ticks for which A may order.
    :param apart: ticks for which nobody else may order.
    :param runs: whether B runs.
    :param wait: ticks until B may claim the group.
    :param is_unseen: whether A has written what B hasn't read.
    :param is_broken: whether B has claimed the group too early.
    """

    record: int = NOBODY
    copied: int = NOBODY
    has_returned: bool = False
    has_claimed: bool = False
    reaches: bool = True
    right: int = 0
    apart: int = 0
    runs: bool = False
    wait: int = 0
    is_unseen: bool = False
    is_broken: bool = False


def pass_time(state: State, omitted: Omitted) -> Iterator[Step]:
    """One tick passes; the right of A ends without a write."""
    spent = 0 if 'right_ends' in omitted and state.right else 1
    yield (
        'pass_time',
        state._replace(
            right=max(0, state.right - spent),
            apart=max(0, state.apart - spent),
            wait=max(0, state.wait - 1),
        ),
    )


def claim_first(state: State, omitted: Omitted) -> Iterator[Step]:
    """A claims the group that nobody has owned."""
    if state.reaches and not state.has_claimed and state.record == NOBODY:
        yield 'claim(A)', _written(state._replace(has_claimed=True))


def renew(state: State, omitted: Omitted) -> Iterator[Step]:
    """A writes its record again, also one that the store has lost."""
    if state.reaches and state.right and state.record != OWNER_B:
        yield 'renew(A)', _written(state)


def _written(state: State) -> State:
    return state._replace(
        record=OWNER_A, right=RIGHT, apart=TAKEOVER, is_unseen=state.runs
    )


def read(state: State, omitted: Omitted) -> Iterator[Step]:
    """B reads what A has written."""
    if state.is_unseen:
        wait = state.wait if 'wait_unchanged' in omitted else TAKEOVER
        yield 'read(B)', state._replace(is_unseen=False, wait=wait)


def cut(state: State, omitted: Omitted) -> Iterator[Step]:
    """A doesn't reach the store any more."""
    if state.reaches:
        yield 'cut(A)', state._replace(reaches=False)


def heal(state: State, omitted: Omitted) -> Iterator[Step]:
    """A reaches the store again, and orders no more if B owns the group."""
    if not state.reaches:
        right = 0 if state.record == OWNER_B else state.right
        yield 'heal(A)', state._replace(reaches=True, right=right)


def copy(state: State, omitted: Omitted) -> Iterator[Step]:
    """The store's content is copied."""
    if not state.has_returned:
        yield 'copy', state._replace(copied=state.record)


def come_back(state: State, omitted: Omitted) -> Iterator[Step]:
    """The store returns from the copy; B sees that if it runs."""
    if not state.has_returned:
        wait = state.wait if 'wait_after_return' in omitted else TAKEOVER
        yield (
            'return',
            state._replace(
                record=state.copied,
                has_returned=True,
                wait=wait,
                is_unseen=False,
            ),
        )


def start_first(state: State, omitted: Omitted) -> Iterator[Step]:
    """B starts with the deployment and reads before anybody has claimed."""
    if state.runs or state.record != NOBODY:
        return
    if not state.has_claimed or 'first_read_is_early' in omitted:
        yield 'start with all(B)', state._replace(runs=True, wait=0)


def start_later(state: State, omitted: Omitted) -> Iterator[Step]:
    """B starts later and can't tell whether the store has lost a record."""
    if state.runs:
        return
    is_hasty = 'wait_after_start' in omitted and state.record == NOBODY
    wait = 0 if is_hasty else TAKEOVER
    yield 'start(B)', state._replace(runs=True, wait=wait)


def take_over(state: State, omitted: Omitted) -> Iterator[Step]:
    """B claims the group; the store refuses if it hasn't read the record."""
    if not state.runs or state.wait or state.is_unseen:
        return
    if state.record != OWNER_B:
        is_broken = state.is_broken or state.apart > 0
        yield (
            'claim(B)',
            state._replace(record=OWNER_B, is_broken=is_broken),
        )


def _are_apart(state: State) -> bool:
    return not state.is_broken


SPEC = Spec(
    name='owner_records',
    bounds=f'2 owners, 1 group, 1 return, right {RIGHT}, gap {GAP} ticks',
    initial=State(),
    actions=(
        pass_time,
        claim_first,
        renew,
        read,
        cut,
        heal,
        copy,
        come_back,
        start_first,
        start_later,
        take_over,
    ),
    properties={'owners_are_apart': _are_apart},
    mechanisms={
        'right_ends': 'an owner without a write orders only for a time',
        'wait_unchanged': 'a claim waits until a record stood unchanged',
        'wait_after_return': 'a claim waits after the store has returned',
        'wait_after_start': 'a claim waits after the start of its gateway',
        'first_read_is_early': 'without that wait only before any claim',
    },
    optional={},
)
