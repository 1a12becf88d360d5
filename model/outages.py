"""Grants of an owner that can't renew its lease during an outage.

Owner A can no longer reach the platform.  Its instance is a resident, so a
later owner B can't settle without the report of A's instance, unless B does
not count it.  A visitor uses a load under A's grants; B evicts it without
asking the visitor, which it does not know.  Time is counted in ticks, as in
the specification of visitors; that one covers A's evictions, B's grants and
visitors that become residents, which are omitted here.
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
    Omitted,
    deliver_evict,
    drop_resident,
    has_paused,
)

#: Marks that the wait has not begun: more ticks than it lasts.
NOT_BEGUN = WAIT + 1
#: A's process owns the server; runs and owns nothing; does not run.
OWNS, DEPOSED, DEAD = range(3)


class State(NamedTuple):
    """State of the complete system.

    :param process: A's process: OWNS, DEPOSED or DEAD.
    :param check_age: ticks since A's pause detection last ran.
    :param lease: ticks until A's lease lapses at the platform.
    :param grant_basis: ticks for which A may grant use on the basis of its
        last renewal of the lease.
    :param a_listed: whether the list shows A.
    :param listing_proof: A's listing as known to A: UNSEEN, SEEN or BACKED.
    :param takeover: state of B's takeover: ABSENT, TAKEN or SETTLED.
    :param resident_status: A's status at B: UNREAD, UNCOUNTED, COUNTED or
        DONE.
    :param wait_ticks: ticks left of B's wait, NOT_BEGUN before it.
    :param asked: ticks for which an answer to the visitor's request for a
        renewal would be valid.
    :param answered: ticks for which the answer in transit is valid.
    :param grant: ticks for which the visitor may start requests.
    :param running: ticks left of the visitor's running request.
    :param unbacked_grant: whether the visitor has had a grant without a lease
        as its basis.
    """

    process: int = OWNS
    check_age: int = 0
    lease: int = OWNER_LEASE
    grant_basis: int = USE_LEASE
    a_listed: bool = False
    listing_proof: int = UNSEEN
    takeover: int = ABSENT
    resident_status: int = UNREAD
    wait_ticks: int = NOT_BEGUN
    asked: int = 0
    answered: int = 0
    grant: int = 0
    running: int = 0
    ordered: bool = False
    loaded: bool = True
    evicted_running: bool = False
    unbacked_grant: bool = False


def pass_time(state: State, omitted: Omitted) -> Iterator[Step]:
    """One tick passes; a running request ends at its deadline."""
    wait_ticks = state.wait_ticks
    if wait_ticks != NOT_BEGUN:
        wait_ticks = max(0, wait_ticks - 1)
    yield (
        'pass_time',
        state._replace(
            check_age=min(WAIT, state.check_age + 1),
            lease=max(0, state.lease - 1),
            grant_basis=max(0, state.grant_basis - 1),
            wait_ticks=wait_ticks,
            asked=max(0, state.asked - 1),
            answered=max(0, state.answered - 1),
            grant=max(0, state.grant - 1),
            running=max(0, state.running - 1),
        ),
    )


def renew_lease(state: State, omitted: Omitted) -> Iterator[Step]:
    """A renews its lease at the platform."""
    if state.process == OWNS and state.lease and state.takeover == ABSENT:
        listing_proof = (
            BACKED if state.listing_proof == SEEN else state.listing_proof
        )
        yield (
            'renew_lease',
            state._replace(
                lease=OWNER_LEASE,
                grant_basis=USE_LEASE,
                listing_proof=listing_proof,
            ),
        )


def tick(state: State, omitted: Omitted) -> Iterator[Step]:
    """A's pause detection runs; after a long pause A gives up ownership."""
    if state.process == DEAD:
        return
    paused = has_paused(state, omitted)
    process = DEPOSED if paused else state.process
    yield 'tick(A)', state._replace(check_age=0, process=process)


def crash(state: State, omitted: Omitted) -> Iterator[Step]:
    """A's process crashes."""
    if state.process != DEAD:
        yield 'crash(A)', state._replace(process=DEAD)


def start(state: State, omitted: Omitted) -> Iterator[Step]:
    """A's instance restarts and owns nothing."""
    if state.process == DEAD:
        yield 'start(A)', state._replace(process=DEPOSED, check_age=0)


def show_in_list(state: State, omitted: Omitted) -> Iterator[Step]:
    """The list begins to show A."""
    if not state.a_listed:
        yield 'show_in_list(A)', state._replace(a_listed=True)


def read_list(state: State, omitted: Omitted) -> Iterator[Step]:
    """A or B reads the list."""
    if (
        state.process == OWNS
        and state.a_listed
        and state.listing_proof == UNSEEN
    ):
        yield 'read_list(A)', state._replace(listing_proof=SEEN)
    if state.takeover != ABSENT and state.resident_status in {
        UNREAD,
        UNCOUNTED,
    }:
        resident_status = COUNTED if state.a_listed else UNCOUNTED
        if resident_status != state.resident_status:
            yield (
                'read_list(B)',
                state._replace(resident_status=resident_status),
            )


def take_over(state: State, omitted: Omitted) -> Iterator[Step]:
    """B takes the free key; the list that B knows may lack A."""
    if not state.lease and state.takeover == ABSENT:
        yield 'take_over(B)', state._replace(takeover=TAKEN)


def report_running(state: State, omitted: Omitted) -> Iterator[Step]:
    """A's instance reports to B; A learns the new term and gives up."""
    if state.takeover != ABSENT and state.process != DEAD:
        yield (
            'report_running(A to B)',
            state._replace(resident_status=DONE, process=DEPOSED),
        )


def settle(state: State, omitted: Omitted) -> Iterator[Step]:
    """B settles, with the reports of all residents that it counts."""
    if state.takeover == TAKEN and state.resident_status != COUNTED:
        yield 'settle(B)', state._replace(takeover=SETTLED)


def begin_wait(state: State, omitted: Omitted) -> Iterator[Step]:
    """B's wait begins once the residents of a later list have reported."""
    if state.takeover != SETTLED or state.wait_ticks != NOT_BEGUN:
        return
    if (
        state.resident_status in {UNCOUNTED, DONE}
        or 'list_after_takeover' in omitted
    ):
        yield 'begin_wait(B)', state._replace(wait_ticks=WAIT)


def ask_renewal(state: State, omitted: Omitted) -> Iterator[Step]:
    """The visitor asks A to renew its grant."""
    if not state.asked and not state.answered:
        yield 'ask_renewal', state._replace(asked=USE_LEASE)


def answer_renewal(state: State, omitted: Omitted) -> Iterator[Step]:
    """A answers a request for a renewal that has reached it."""
    if state.process != OWNS or not state.asked:
        return
    ticks = state.asked
    if not _needs_no_lease(state, omitted):
        ticks = min(ticks, state.grant_basis)
    yield 'answer_renewal', state._replace(asked=0, answered=ticks)


def _needs_no_lease(state: State, omitted: Omitted) -> bool:
    """Return whether A knows without a lease that no later owner evicts."""
    if 'grant_basis' in omitted:
        return True
    needed = SEEN if 'listed_while_leased' in omitted else BACKED
    return state.listing_proof >= needed and not has_paused(state, omitted)


def grant_use(state: State, omitted: Omitted) -> Iterator[Step]:
    """The visitor receives an answer."""
    if state.answered:
        is_unbacked = not state.grant_basis or state.unbacked_grant
        yield (
            'grant_use',
            state._replace(
                answered=0,
                grant=max(state.grant, state.answered),
                unbacked_grant=is_unbacked,
            ),
        )


def begin_request(state: State, omitted: Omitted) -> Iterator[Step]:
    """An entry of the visitor starts a request."""
    if state.grant and state.loaded and not state.running:
        yield 'begin_request', state._replace(running=MAX_REQUEST)


def order_evict(state: State, omitted: Omitted) -> Iterator[Step]:
    """B orders the eviction; if B counts A's instance, that must consent."""
    waits = state.wait_ticks and 'wait_after_takeover' not in omitted
    if state.takeover != SETTLED or waits or state.ordered:
        return
    if state.resident_status in {UNCOUNTED, DONE}:
        yield 'order_evict(B)', state._replace(ordered=True)


def deliver_order(state: State, omitted: Omitted) -> Iterator[Step]:
    """The evict order reaches the server, after any delay."""
    yield from deliver_evict(state, state.running)


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
        deliver_order,
    ),
    properties=PROPERTIES,
    mechanisms={
        'grant_basis': 'a grant needs a lease, or a proof that replaces it',
        'check_pause': 'after a long pause an owner grants and owns nothing',
        'listed_while_leased': 'proof: a lease renewed after being listed',
        'list_after_takeover': 'the wait begins after reading a later list',
        'wait_after_takeover': 'a new owner waits before its first eviction',
        'list_keeps_live': 'the list never drops a running instance',
    },
    optional={},
)
