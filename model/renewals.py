"""States and time in the specification of visitors."""

from collections.abc import Iterator
from typing import NamedTuple

from model.spec import Step

USE_LEASE = 2
MAX_REQUEST = 1
WAIT = USE_LEASE + MAX_REQUEST
OWNER_LEASE = 1

#: These durations as text, for the bounds of a specification.
TICKS = (
    f'use lease {USE_LEASE}, request {MAX_REQUEST}, '
    f'owner lease {OWNER_LEASE} ticks'
)

OPEN, CLOSING, CONSENTED = range(3)
ABSENT, TAKEN, SETTLED = range(3)

Omitted = frozenset[str]


class Renewal(NamedTuple):
    """A renewal in transit: a request of the visitor, or an owner's answer.

    :param ticks_left: ticks for which the answer is valid.
    :param owner: 1 for A, 2 for B.
    :param is_answered: whether it is an answer.
    :param is_open: whether the answer reports the load as open.
    :param is_listed: whether the answer reports that the owner's list shows
        the visitor.
    """

    ticks_left: int
    owner: int
    is_answered: bool = False
    is_open: bool = False
    is_listed: bool = False


class Owner(NamedTuple):
    """The state of one owner.

    :param is_acting: whether it believes that it owns the server.
    :param load: OPEN, CLOSING, or CONSENTED by all residents.
    :param subscription_ticks: ticks for which it counts the visitor as a user
        of the load after its last renewal.
    :param drained: whether the visitor has closed and drained the load.
    :param lists_visitor: whether its list shows the visitor as a resident.
    :param has_read_list: whether it has read the list after its wait.
    :param ordered: whether it has sent its evict order.
    """

    is_acting: bool
    load: int = OPEN
    subscription_ticks: int = 0
    drained: bool = False
    lists_visitor: bool = False
    has_read_list: bool = False
    ordered: bool = False


class State(NamedTuple):
    """State of the complete system.

    :param lease: ticks until A's lease lapses at the platform.
    :param grant_basis: ticks for which A may grant use on the basis of its
        last renewal of the lease.
    :param takeover: state of B's takeover: ABSENT, TAKEN or SETTLED.
    :param wait_ticks: ticks left of B's wait after its takeover.
    :param has_open: whether the visitor has the load open.
    :param has_closed: whether the visitor has closed the load for good.
    :param term: the highest term that the visitor knows.
    :param grant: ticks for which the visitor may start requests.
    :param listed: whether the list shows the visitor.
    :param is_resident: whether the visitor is a resident, needing no grant.
    :param running: ticks left of the visitor's running request.
    """

    lease: int = OWNER_LEASE
    grant_basis: int = USE_LEASE
    takeover: int = ABSENT
    wait_ticks: int = 0
    owner_a: Owner = Owner(is_acting=True)
    owner_b: Owner = Owner(is_acting=False)
    renewal: Renewal | None = None
    has_open: bool = False
    has_closed: bool = False
    term: int = 0
    grant: int = 0
    listed: bool = False
    is_resident: bool = False
    running: int = 0
    loaded: bool = True
    evicted_running: bool = False


def owner_of(state: State, number: int) -> Owner:
    """Return one owner."""
    return state.owner_a if number == 1 else state.owner_b


def with_owner(state: State, number: int, owner: Owner) -> State:
    """Return a state with one owner changed."""
    if number == 1:
        return state._replace(owner_a=owner)
    return state._replace(owner_b=owner)


def acting_owners(state: State) -> Iterator[tuple[int, Owner]]:
    """Yield number and state of each owner that believes to own the server."""
    for number in (1, 2):
        owner = owner_of(state, number)
        if owner.is_acting:
            yield number, owner


def pass_time(state: State, omitted: Omitted) -> Iterator[Step]:
    """One tick passes; a running request ends at its deadline."""
    renewal = state.renewal
    if renewal is not None and 'grant_from_request' not in omitted:
        renewal = renewal._replace(ticks_left=renewal.ticks_left - 1)
        renewal = renewal if renewal.ticks_left else None
    yield (
        'pass_time',
        state._replace(
            lease=max(0, state.lease - 1),
            grant_basis=max(0, state.grant_basis - 1),
            wait_ticks=max(0, state.wait_ticks - 1),
            grant=max(0, state.grant - 1),
            running=max(0, state.running - 1),
            renewal=renewal,
            owner_a=_after_tick(state.owner_a),
            owner_b=_after_tick(state.owner_b),
        ),
    )


def _after_tick(owner: Owner) -> Owner:
    return owner._replace(
        subscription_ticks=max(0, owner.subscription_ticks - 1)
    )
