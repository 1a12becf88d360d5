"""The states of the specification of use by visitors."""

from collections.abc import Iterator
from typing import NamedTuple

from model.spec import Step

USE_LEASE = 2
MAX_REQUEST = 1
WAIT = USE_LEASE + MAX_REQUEST
OWNER_LEASE = 1

#: How long these last, for the bounds of a specification.
TICKS = (
    f'use lease {USE_LEASE}, request {MAX_REQUEST}, '
    f'owner lease {OWNER_LEASE} ticks'
)

OPEN, CLOSING, CONSENTED = range(3)
ABSENT, TAKEN, SETTLED = range(3)

Left = frozenset[str]


class Renewal(NamedTuple):
    """A renewal on its way: asked for, or answered with the open loads.

    :param left: ticks for which its answer would still count.
    :param owner: 1 for A, 2 for B.
    :param is_open: whether the answer names the load as open.
    :param is_listed: whether the answer tells that the list shows the asker.
    """

    left: int
    owner: int
    is_answered: bool = False
    is_open: bool = False
    is_listed: bool = False


class Owner(NamedTuple):
    """One owner's view.

    :param acts: it believes to own the server.
    :param load: OPEN, CLOSING, or CONSENTED by all residents.
    :param subscribed: ticks for which the visitor's last renewal counts.
    :param drained: the visitor has closed and drained the load.
    :param sees: its list shows the visitor as a resident.
    :param looked: it has read the list since its wait was over.
    :param ordered: its evict is on its way.
    """

    acts: bool
    load: int = OPEN
    subscribed: int = 0
    drained: bool = False
    sees: bool = False
    looked: bool = False
    ordered: bool = False


class State(NamedTuple):
    """The whole system.

    :param lease: ticks until A's lease lapses at the platform.
    :param basis: ticks for which A's last renewed lease backs its grants.
    :param taken: ABSENT, TAKEN or SETTLED, of B's takeover.
    :param waited: ticks left of B's wait since its takeover.
    :param known: whether the visitor has the load open.
    :param closed: whether the visitor has closed it for ever.
    :param term: the highest term that the visitor knows.
    :param grant: ticks for which it may start requests.
    :param is_resident: it needs no grant any more.
    :param running: ticks left of its running request.
    """

    lease: int = OWNER_LEASE
    basis: int = USE_LEASE
    taken: int = ABSENT
    waited: int = 0
    first: Owner = Owner(acts=True)
    second: Owner = Owner(acts=False)
    renewal: Renewal | None = None
    known: bool = False
    closed: bool = False
    term: int = 0
    grant: int = 0
    listed: bool = False
    is_resident: bool = False
    running: int = 0
    loaded: bool = True
    evicted_running: bool = False


def owner_of(state: State, number: int) -> Owner:
    """Return one owner."""
    return state.first if number == 1 else state.second


def with_owner(state: State, number: int, owner: Owner) -> State:
    """Return a state with one owner changed."""
    if number == 1:
        return state._replace(first=owner)
    return state._replace(second=owner)


def acting_owners(state: State) -> Iterator[tuple[int, Owner]]:
    """Yield who believes to own the server."""
    for number in (1, 2):
        owner = owner_of(state, number)
        if owner.acts:
            yield number, owner


def pass_time(state: State, left: Left) -> Iterator[Step]:
    """A tick passes; a request ends at its deadline."""
    renewal = state.renewal
    if renewal is not None and 'grant_from_asking' not in left:
        renewal = renewal._replace(left=renewal.left - 1)
        renewal = renewal if renewal.left else None
    yield (
        'pass_time',
        state._replace(
            lease=max(0, state.lease - 1),
            basis=max(0, state.basis - 1),
            waited=max(0, state.waited - 1),
            grant=max(0, state.grant - 1),
            running=max(0, state.running - 1),
            renewal=renewal,
            first=_older(state.first),
            second=_older(state.second),
        ),
    )


def _older(owner: Owner) -> Owner:
    return owner._replace(subscribed=max(0, owner.subscribed - 1))
