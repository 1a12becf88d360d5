"""An owner that takes its key back after a lapse and resumes at once.

The lease of owner A lapses, and A takes the key back.  It keeps its earlier
loads, and evicts them without the wait of a new owner.  Meanwhile B may have
owned the server: a visitor uses the load under B's grants, and B's entries
use it as residents.  Time is counted in ticks, as in the specification of
visitors; consents among A's own entries are omitted.
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
    Omitted,
    deliver_evict,
    drop_resident,
    has_paused,
)

#: Who holds the key: A, nobody, B, nobody again, A again.
FIRST, LAPSED, OTHER, FREED, AGAIN = range(5)


class State(NamedTuple):
    """State of the complete system.

    :param key: FIRST, LAPSED, OTHER, FREED or AGAIN.
    :param owns: whether A believes that it owns the server.
    :param check_age: ticks since A's pause detection last ran.
    :param a_listed: whether the list shows A.
    :param listing_proof: A's listing as known to A: UNSEEN, SEEN or BACKED.
    :param b_listed: whether the list shows B.
    :param b_sees_itself: whether B's list shows B, whose entries then need no
        grant of their own instance.
    :param a_lists_b: whether A's list shows B, so that A needs B's consent.
    :param has_read: whether A has read the list since it took the key back.
    :param has_resumed: whether A has resumed with its earlier state.
    :param b_has_owned: whether B has taken the key.
    :param resident_status: A's status at B: UNREAD, UNCOUNTED, COUNTED or
        DONE.
    :param settled: whether B has settled.
    :param closed: whether B has closed the load for good, at A's request.
    :param grant: ticks for which the visitor may start requests.
    :param running: ticks left of the visitor's request.
    :param b_running: ticks left of a request of B's entries.
    """

    key: int = FIRST
    owns: bool = True
    check_age: int = 0
    a_listed: bool = False
    listing_proof: int = UNSEEN
    b_listed: bool = False
    b_sees_itself: bool = False
    a_lists_b: bool = False
    has_read: bool = False
    has_resumed: bool = False
    b_has_owned: bool = False
    resident_status: int = UNREAD
    settled: bool = False
    closed: bool = False
    grant: int = 0
    running: int = 0
    b_running: int = 0
    ordered: bool = False
    loaded: bool = True
    evicted_running: bool = False


def pass_time(state: State, omitted: Omitted) -> Iterator[Step]:
    """One tick passes; running requests end at their deadlines."""
    yield (
        'pass_time',
        state._replace(
            check_age=min(WAIT, state.check_age + 1),
            grant=max(0, state.grant - 1),
            running=max(0, state.running - 1),
            b_running=max(0, state.b_running - 1),
        ),
    )


def tick(state: State, omitted: Omitted) -> Iterator[Step]:
    """A's pause detection runs; after a long pause A gives up ownership."""
    paused = has_paused(state, omitted)
    yield (
        'tick(A)',
        state._replace(
            check_age=0,
            owns=state.owns and not paused,
            has_resumed=state.has_resumed and not paused,
        ),
    )


def renew_lease(state: State, omitted: Omitted) -> Iterator[Step]:
    """A renews its lease at the platform."""
    if state.key == FIRST and state.owns and state.listing_proof == SEEN:
        yield 'renew_lease(A)', state._replace(listing_proof=BACKED)


def lease_lapse(state: State, omitted: Omitted) -> Iterator[Step]:
    """The platform drops a lease; its holder doesn't notice."""
    if state.key in {FIRST, OTHER}:
        yield 'lease_lapse', state._replace(key=state.key + 1)


def take_over(state: State, omitted: Omitted) -> Iterator[Step]:
    """B takes the free key, or A takes it back."""
    listed = state.b_sees_itself or 'listed_candidates' in omitted
    if state.key == LAPSED and listed:
        yield 'take_over(B)', state._replace(key=OTHER, b_has_owned=True)
    if state.key in {LAPSED, FREED}:
        has_resumed = _may_resume(state, omitted)
        yield (
            'take_over(A), resumes' if has_resumed else 'take_over(A)',
            state._replace(key=AGAIN, owns=True, has_resumed=has_resumed),
        )


def _may_resume(state: State, omitted: Omitted) -> bool:
    needed = SEEN if 'listed_while_leased' in omitted else BACKED
    if state.listing_proof < needed or has_paused(state, omitted):
        return False
    return state.owns or 'resume_as_last_owner' in omitted


def show_in_list(state: State, omitted: Omitted) -> Iterator[Step]:
    """The list begins to show an instance."""
    if not state.a_listed:
        yield 'show_in_list(A)', state._replace(a_listed=True)
    if not state.b_listed:
        yield 'show_in_list(B)', state._replace(b_listed=True)


def read_list(state: State, omitted: Omitted) -> Iterator[Step]:
    """A or B reads the list."""
    listing_proof = (
        SEEN
        if state.a_listed and state.listing_proof == UNSEEN
        else state.listing_proof
    )
    has_read = state.key == AGAIN
    yield (
        'read_list(A)',
        state._replace(
            listing_proof=listing_proof,
            a_lists_b=state.b_listed,
            has_read=has_read,
        ),
    )
    seen = state._replace(b_sees_itself=state.b_listed)
    if state.resident_status in {UNREAD, UNCOUNTED}:
        missing = UNCOUNTED if state.b_has_owned else UNREAD
        resident_status = COUNTED if state.a_listed else missing
        seen = seen._replace(resident_status=resident_status)
    yield 'read_list(B)', seen


def report_running(state: State, omitted: Omitted) -> Iterator[Step]:
    """A's instance reports to B; A learns the new term and gives up."""
    if state.key in {OTHER, FREED}:
        yield (
            'report_running(A to B)',
            state._replace(resident_status=DONE, owns=False),
        )


def settle(state: State, omitted: Omitted) -> Iterator[Step]:
    """B settles, with the reports of all residents that it counts."""
    if (
        state.b_has_owned
        and state.resident_status != COUNTED
        and not state.closed
    ):
        yield 'settle(B)', state._replace(settled=True)


def grant_use(state: State, omitted: Omitted) -> Iterator[Step]:
    """B grants the visitor the use of the load."""
    if not state.settled or state.closed:
        return
    if (
        state.resident_status in {UNCOUNTED, DONE}
        or 'grant_after_list' in omitted
    ):
        yield 'grant_use(B)', state._replace(grant=USE_LEASE)


def begin_request(state: State, omitted: Omitted) -> Iterator[Step]:
    """An entry of the visitor, or of B's instance, starts a request."""
    if not state.loaded:
        return
    if state.grant and not state.running:
        yield 'begin_request(visitor)', state._replace(running=MAX_REQUEST)
    may_use = state.settled and state.b_sees_itself and not state.closed
    if may_use and not state.b_running:
        yield 'begin_request(B)', state._replace(b_running=MAX_REQUEST)


def consent_to_close(state: State, omitted: Omitted) -> Iterator[Step]:
    """B's instance closes the load at the request of A, of a higher term."""
    if state.key == AGAIN and state.a_lists_b and not state.closed:
        yield 'consent_to_close(B)', state._replace(closed=True)


def order_evict(state: State, omitted: Omitted) -> Iterator[Step]:
    """A orders the eviction of a load from before the lapse."""
    if state.key != AGAIN or not state.has_resumed or state.ordered:
        return
    if has_paused(state, omitted):
        return
    if not state.has_read and 'list_after_takeover' not in omitted:
        return
    drained = state.closed and not state.b_running
    if drained or not state.a_lists_b:
        yield 'order_evict(A)', state._replace(ordered=True)


def deliver_order(state: State, omitted: Omitted) -> Iterator[Step]:
    """The evict order reaches the server, after any delay."""
    yield from deliver_evict(state, state.running, state.b_running)


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
        deliver_order,
    ),
    properties=PROPERTIES,
    mechanisms={
        'resume_as_last_owner': 'only an owner that knows no later one resumes',
        'listed_candidates': 'only an instance in the list takes a key over',
        'check_pause': 'after a long pause an owner does not resume',
        'listed_while_leased': 'an owner resumes if listed, then leased',
        'grant_after_list': 'a new owner grants after reading a later list',
        'list_after_takeover': 'a resuming owner reads the list, then evicts',
        'list_keeps_live': 'the list never drops a running instance',
    },
    optional={},
)
