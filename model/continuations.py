"""An owner that takes its key back after a lapse and goes on at once.

Owner A lets its lease lapse and takes the key back.  It keeps the loads that
it made before as its own, and evicts them without the wait of a new owner.
Meanwhile B may have owned the server: a visitor uses the load under B's
grants, and B's entries use it as residents.  Time is counted in ticks, as in
the specification of visitors; consents among A's own entries are left out.
"""

from collections.abc import Iterator
from typing import NamedTuple

from model.renewals import MAX_REQUEST, USE_LEASE, WAIT
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

#: Who holds the key: A, nobody, B, nobody again, A again.
FIRST, LAPSED, OTHER, FREED, AGAIN = range(5)


class State(NamedTuple):
    """The whole system.

    :param key: FIRST, LAPSED, OTHER, FREED or AGAIN.
    :param owns: whether A believes to own the server.
    :param idle: ticks since A's watch for pauses last ran.
    :param shown: whether the list shows A.
    :param saw: UNSEEN, SEEN or BACKED, of A in the list that it reads.
    :param other_shown: whether the list shows B.
    :param other_sees: whether B's list shows B, whose entries then need no
        grant of their own instance.
    :param asks_other: whether A's list shows B, so that A asks for its consent.
    :param has_read: whether A has read the list since it took the key back.
    :param goes_on: whether A has gone on with what it knew.
    :param was_taken: whether B has taken the key.
    :param counted: UNREAD, UNCOUNTED, COUNTED or DONE, of A at B.
    :param settled: whether B has settled.
    :param closed: whether B has closed the load for A, for ever.
    :param grant: ticks for which the visitor may start requests.
    :param running: ticks left of the visitor's request.
    :param other_running: ticks left of a request of B's entries.
    """

    key: int = FIRST
    owns: bool = True
    idle: int = 0
    shown: bool = False
    saw: int = UNSEEN
    other_shown: bool = False
    other_sees: bool = False
    asks_other: bool = False
    has_read: bool = False
    goes_on: bool = False
    was_taken: bool = False
    counted: int = UNREAD
    settled: bool = False
    closed: bool = False
    grant: int = 0
    running: int = 0
    other_running: int = 0
    ordered: bool = False
    loaded: bool = True
    evicted_running: bool = False


def pass_time(state: State, left: Left) -> Iterator[Step]:
    """A tick passes; a request ends at its deadline."""
    yield (
        'pass_time',
        state._replace(
            idle=min(WAIT, state.idle + 1),
            grant=max(0, state.grant - 1),
            running=max(0, state.running - 1),
            other_running=max(0, state.other_running - 1),
        ),
    )


def tick(state: State, left: Left) -> Iterator[Step]:
    """A's watch for pauses runs; after a long pause A owns nothing."""
    paused = has_paused(state, left)
    yield (
        'tick(A)',
        state._replace(
            idle=0,
            owns=state.owns and not paused,
            goes_on=state.goes_on and not paused,
        ),
    )


def renew_lease(state: State, left: Left) -> Iterator[Step]:
    """A renews its lease at the platform."""
    if state.key == FIRST and state.owns and state.saw == SEEN:
        yield 'renew_lease(A)', state._replace(saw=BACKED)


def lease_lapse(state: State, left: Left) -> Iterator[Step]:
    """The platform drops a lease, whatever its holder believes."""
    if state.key in {FIRST, OTHER}:
        yield 'lease_lapse', state._replace(key=state.key + 1)


def take_over(state: State, left: Left) -> Iterator[Step]:
    """A takes its free key back, or B takes it in between."""
    listed = state.other_sees or 'listed_candidates' in left
    if state.key == LAPSED and listed:
        yield 'take_over(B)', state._replace(key=OTHER, was_taken=True)
    if state.key in {LAPSED, FREED}:
        goes_on = _continues(state, left)
        yield (
            'take_over(A), goes on' if goes_on else 'take_over(A)',
            state._replace(key=AGAIN, owns=True, goes_on=goes_on),
        )


def _continues(state: State, left: Left) -> bool:
    needed = SEEN if 'listed_while_leased' in left else BACKED
    if state.saw < needed or has_paused(state, left):
        return False
    return state.owns or 'continue_unheard' in left


def show_in_list(state: State, left: Left) -> Iterator[Step]:
    """The list shows an instance at last."""
    if not state.shown:
        yield 'show_in_list(A)', state._replace(shown=True)
    if not state.other_shown:
        yield 'show_in_list(B)', state._replace(other_shown=True)


def read_list(state: State, left: Left) -> Iterator[Step]:
    """A or B reads the list."""
    saw = SEEN if state.shown and state.saw == UNSEEN else state.saw
    has_read = state.key == AGAIN
    yield (
        'read_list(A)',
        state._replace(
            saw=saw, asks_other=state.other_shown, has_read=has_read
        ),
    )
    seen = state._replace(other_sees=state.other_shown)
    if state.counted in {UNREAD, UNCOUNTED}:
        missing = UNCOUNTED if state.was_taken else UNREAD
        counted = COUNTED if state.shown else missing
        seen = seen._replace(counted=counted)
    yield 'read_list(B)', seen


def report_running(state: State, left: Left) -> Iterator[Step]:
    """A's instance reports to B, and so A resigns."""
    if state.key in {OTHER, FREED}:
        yield (
            'report_running(A to B)',
            state._replace(counted=DONE, owns=False),
        )


def settle(state: State, left: Left) -> Iterator[Step]:
    """B has the report of every resident that it counts."""
    if state.was_taken and state.counted != COUNTED and not state.closed:
        yield 'settle(B)', state._replace(settled=True)


def grant_use(state: State, left: Left) -> Iterator[Step]:
    """B grants use to the visitor."""
    if not state.settled or state.closed:
        return
    if state.counted in {UNCOUNTED, DONE} or 'grant_after_list' in left:
        yield 'grant_use(B)', state._replace(grant=USE_LEASE)


def begin_request(state: State, left: Left) -> Iterator[Step]:
    """An entry of the visitor, or of B's instance, starts a request."""
    if not state.loaded:
        return
    if state.grant and not state.running:
        yield 'begin_request(visitor)', state._replace(running=MAX_REQUEST)
    may_use = state.settled and state.other_sees and not state.closed
    if may_use and not state.other_running:
        yield 'begin_request(B)', state._replace(other_running=MAX_REQUEST)


def consent_to_close(state: State, left: Left) -> Iterator[Step]:
    """B's instance closes the load for A, whose term is higher."""
    if state.key == AGAIN and state.asks_other and not state.closed:
        yield 'consent_to_close(B)', state._replace(closed=True)


def order_evict(state: State, left: Left) -> Iterator[Step]:
    """A orders the evict of a load that it made before the lapse."""
    if state.key != AGAIN or not state.goes_on or state.ordered:
        return
    if has_paused(state, left):
        return
    if not state.has_read and 'list_after_takeover' not in left:
        return
    drained = state.closed and not state.other_running
    if drained or not state.asks_other:
        yield 'order_evict(A)', state._replace(ordered=True)


def land_order(state: State, left: Left) -> Iterator[Step]:
    """The evict reaches the server, however late."""
    yield from landed(state, state.running, state.other_running)


SPEC = Spec(
    name='continuations',
    bounds=(
        '1 visitor, 2 owners, 3 terms, 1 load, '
        f'use lease {USE_LEASE}, request {MAX_REQUEST} ticks'
    ),
    initial=State(),
    actions=(
        pass_time,
        tick,
        renew_lease,
        lease_lapse,
        take_over,
        show_in_list,
        read_list,
        report_running,
        drop_resident,
        settle,
        grant_use,
        begin_request,
        consent_to_close,
        order_evict,
        land_order,
    ),
    properties=PROPERTIES,
    mechanisms={
        'continue_unheard': 'only who heard of no other owner goes on',
        'listed_candidates': 'only who is in the list takes a key over',
        'check_pause': 'after a long pause an owner does not go on',
        'listed_while_leased': 'who goes on was listed, then leased',
        'grant_after_list': 'a new owner grants once a later list was read',
        'list_after_takeover': 'who goes on reads the list before an evict',
        'list_keeps_live': 'the list never loses an instance that runs',
    },
    optional={},
)
