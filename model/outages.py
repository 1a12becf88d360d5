"""Grants of an owner that can't renew its lease, by its own word.

Owner A can't reach the platform any more.  Its instance is a resident, so a
later owner B can't settle without the report of A's instance, unless B does
not count it.  A visitor uses a load under A's grants; B evicts it without
asking the visitor, which it does not know.  Time is counted in ticks, as in
the specification of visitors, which has what is left out here: A's evicts,
B's grants, and visitors that become residents.
"""

from collections.abc import Iterator
from typing import NamedTuple

from model.renewals import (
    ABSENT,
    MAX_REQUEST,
    OWNER_LEASE,
    SETTLED,
    TAKEN,
    TICKS,
    USE_LEASE,
    WAIT,
)
from model.spec import Spec, Step
from model.succession import (
    BACKED,
    COUNTED,
    DONE,
    PROPERTIES,
    SEEN,
    UNCOUNTED,
    UNREAD,
    UNSEEN,
    Left,
    drop_resident,
    has_paused,
    landed,
)

#: More ticks than a wait lasts: it has not begun.
NOT_BEGUN = WAIT + 1
#: A's process: it owns the server, or nothing any more, or is dead.
OWNS, DEPOSED, DEAD = range(3)


class State(NamedTuple):
    """The whole system.

    :param process: OWNS, DEPOSED or DEAD, of A.
    :param idle: ticks since A's watch for pauses last ran.
    :param lease: ticks until A's lease lapses at the platform.
    :param basis: ticks for which A's last renewed lease backs its grants.
    :param shown: whether the list shows A.
    :param saw: UNSEEN, SEEN or BACKED.
    :param taken: ABSENT, TAKEN or SETTLED, of B's takeover.
    :param counted: UNREAD, UNCOUNTED, COUNTED or DONE, of A at B.
    :param waited: ticks left of B's wait, NOT_BEGUN before it.
    :param asked: ticks for which an answer to the visitor's renewal counts.
    :param answered: ticks for which the answer on its way counts.
    :param grant: ticks for which the visitor may start requests.
    :param running: ticks left of its running request.
    :param lone_grant: the visitor has had a grant that no lease backs.
    """

    process: int = OWNS
    idle: int = 0
    lease: int = OWNER_LEASE
    basis: int = USE_LEASE
    shown: bool = False
    saw: int = UNSEEN
    taken: int = ABSENT
    counted: int = UNREAD
    waited: int = NOT_BEGUN
    asked: int = 0
    answered: int = 0
    grant: int = 0
    running: int = 0
    ordered: bool = False
    loaded: bool = True
    evicted_running: bool = False
    lone_grant: bool = False


def pass_time(state: State, left: Left) -> Iterator[Step]:
    """A tick passes; a request ends at its deadline."""
    waited = state.waited
    if waited != NOT_BEGUN:
        waited = max(0, waited - 1)
    yield (
        'pass_time',
        state._replace(
            idle=min(WAIT, state.idle + 1),
            lease=max(0, state.lease - 1),
            basis=max(0, state.basis - 1),
            waited=waited,
            asked=max(0, state.asked - 1),
            answered=max(0, state.answered - 1),
            grant=max(0, state.grant - 1),
            running=max(0, state.running - 1),
        ),
    )


def renew_lease(state: State, left: Left) -> Iterator[Step]:
    """A renews its lease at the platform."""
    if state.process == OWNS and state.lease and state.taken == ABSENT:
        saw = BACKED if state.saw == SEEN else state.saw
        yield (
            'renew_lease',
            state._replace(lease=OWNER_LEASE, basis=USE_LEASE, saw=saw),
        )


def tick(state: State, left: Left) -> Iterator[Step]:
    """A's watch for pauses runs; after a long pause A owns nothing."""
    if state.process == DEAD:
        return
    paused = has_paused(state, left)
    process = DEPOSED if paused else state.process
    yield 'tick(A)', state._replace(idle=0, process=process)


def crash(state: State, left: Left) -> Iterator[Step]:
    """A's process dies."""
    if state.process != DEAD:
        yield 'crash(A)', state._replace(process=DEAD)


def start(state: State, left: Left) -> Iterator[Step]:
    """A's instance comes up again and owns nothing."""
    if state.process == DEAD:
        yield 'start(A)', state._replace(process=DEPOSED, idle=0)


def show_in_list(state: State, left: Left) -> Iterator[Step]:
    """The list shows A at last."""
    if not state.shown:
        yield 'show_in_list(A)', state._replace(shown=True)


def read_list(state: State, left: Left) -> Iterator[Step]:
    """An owner reads the list."""
    if state.process == OWNS and state.shown and state.saw == UNSEEN:
        yield 'read_list(A)', state._replace(saw=SEEN)
    if state.taken != ABSENT and state.counted in {UNREAD, UNCOUNTED}:
        counted = COUNTED if state.shown else UNCOUNTED
        if counted != state.counted:
            yield 'read_list(B)', state._replace(counted=counted)


def take_over(state: State, left: Left) -> Iterator[Step]:
    """B takes the free key; the list that it knows need not show A."""
    if not state.lease and state.taken == ABSENT:
        yield 'take_over(B)', state._replace(taken=TAKEN)


def report_running(state: State, left: Left) -> Iterator[Step]:
    """A's instance reports to B, which deposes A."""
    if state.taken != ABSENT and state.process != DEAD:
        yield (
            'report_running(A to B)',
            state._replace(counted=DONE, process=DEPOSED),
        )


def settle(state: State, left: Left) -> Iterator[Step]:
    """B has the report of every resident that it counts."""
    if state.taken == TAKEN and state.counted != COUNTED:
        yield 'settle(B)', state._replace(taken=SETTLED)


def begin_wait(state: State, left: Left) -> Iterator[Step]:
    """B's wait begins once the residents of a late list have reported."""
    if state.taken != SETTLED or state.waited != NOT_BEGUN:
        return
    if state.counted in {UNCOUNTED, DONE} or 'list_after_takeover' in left:
        yield 'begin_wait(B)', state._replace(waited=WAIT)


def ask_renewal(state: State, left: Left) -> Iterator[Step]:
    """The visitor asks A to renew its grant."""
    if not state.asked and not state.answered:
        yield 'ask_renewal', state._replace(asked=USE_LEASE)


def answer_renewal(state: State, left: Left) -> Iterator[Step]:
    """A answers, if the renewal has found it."""
    if state.process != OWNS or not state.asked:
        return
    ticks = state.asked
    if not _confirms_itself(state, left):
        ticks = min(ticks, state.basis)
    yield 'answer_renewal', state._replace(asked=0, answered=ticks)


def _confirms_itself(state: State, left: Left) -> bool:
    """Tell whether A needs no lease to know that no later owner evicts."""
    if 'grant_basis' in left:
        return True
    needed = SEEN if 'listed_while_leased' in left else BACKED
    return state.saw >= needed and not has_paused(state, left)


def grant_use(state: State, left: Left) -> Iterator[Step]:
    """The visitor takes an answer in."""
    if state.answered:
        is_lone = not state.basis or state.lone_grant
        yield (
            'grant_use',
            state._replace(
                answered=0,
                grant=max(state.grant, state.answered),
                lone_grant=is_lone,
            ),
        )


def begin_request(state: State, left: Left) -> Iterator[Step]:
    """An entry of the visitor starts a request."""
    if state.grant and state.loaded and not state.running:
        yield 'begin_request', state._replace(running=MAX_REQUEST)


def order_evict(state: State, left: Left) -> Iterator[Step]:
    """B orders the evict; A's instance must consent if it counts."""
    waits = state.waited and 'wait_after_takeover' not in left
    if state.taken != SETTLED or waits or state.ordered:
        return
    if state.counted in {UNCOUNTED, DONE}:
        yield 'order_evict(B)', state._replace(ordered=True)


def land_order(state: State, left: Left) -> Iterator[Step]:
    """The evict reaches the server, however late."""
    yield from landed(state, state.running)


SPEC = Spec(
    name='outages',
    bounds=f'1 visitor, 2 owners, 1 load, {TICKS}',
    initial=State(),
    actions=(
        pass_time,
        renew_lease,
        tick,
        crash,
        start,
        show_in_list,
        read_list,
        take_over,
        report_running,
        drop_resident,
        settle,
        begin_wait,
        ask_renewal,
        answer_renewal,
        grant_use,
        begin_request,
        order_evict,
        land_order,
    ),
    properties=PROPERTIES,
    mechanisms={
        'grant_basis': 'a grant needs a lease, or the proof without one',
        'check_pause': 'after a long pause an owner grants and owns nothing',
        'listed_while_leased': 'that proof: listed first, then leased',
        'list_after_takeover': 'the wait begins once a later list was read',
        'wait_after_takeover': 'a new owner waits before its first evict',
        'list_keeps_live': 'the list never loses an instance that runs',
    },
    optional={},
)
