"""Use of a server by an instance that its owner can't ask or count.

A visitor (an instance of another data centre, or one that the list does not
show yet) uses a load only within `use_lease` of asking for a renewal that the
owner answered.  Time is counted in ticks; a paused process takes no step
while they pass.  Owner A has term 1, owner B takes over with term 2; consent
of the residents is reduced to one of B's instance.
"""

from collections.abc import Iterator
from typing import NamedTuple

from model.spec import Spec, Step

USE_LEASE = 2
MAX_REQUEST = 1
WAIT = USE_LEASE + MAX_REQUEST
OWNER_LEASE = 1

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


def _owner(state: State, number: int) -> Owner:
    return state.first if number == 1 else state.second


def _with(state: State, number: int, owner: Owner) -> State:
    if number == 1:
        return state._replace(first=owner)
    return state._replace(second=owner)


def _acting(state: State) -> Iterator[tuple[int, Owner]]:
    for number in (1, 2):
        owner = _owner(state, number)
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


def renew_lease(state: State, left: Left) -> Iterator[Step]:
    """A renews its lease at the platform."""
    if state.first.acts and state.lease and state.taken == ABSENT:
        yield (
            'renew_lease',
            state._replace(lease=OWNER_LEASE, basis=USE_LEASE),
        )


def take_over(state: State, left: Left) -> Iterator[Step]:
    """B takes the free key; its instance refuses A from now on."""
    if state.lease or state.taken != ABSENT:
        return
    load = CONSENTED if state.first.load == CONSENTED else OPEN
    yield (
        'take_over(B)',
        state._replace(
            taken=TAKEN,
            waited=WAIT,
            second=Owner(acts=True, load=load),
        ),
    )


def report_running(state: State, left: Left) -> Iterator[Step]:
    """A's instance reports to B, which deposes A."""
    if state.taken == TAKEN and state.first.acts:
        deposed = state.first._replace(acts=False)
        yield (
            'report_running(A to B)',
            state._replace(taken=SETTLED, first=deposed),
        )


def drop_resident(state: State, left: Left) -> Iterator[Step]:
    """B no longer counts A's instance, paused for longer than its wait."""
    if state.taken == TAKEN and not state.waited:
        yield 'drop_resident(A at B)', state._replace(taken=SETTLED)


def show_in_list(state: State, left: Left) -> Iterator[Step]:
    """The list shows the asker at last."""
    if not state.listed:
        yield 'show_in_list', state._replace(listed=True)


def read_list(state: State, left: Left) -> Iterator[Step]:
    """An owner reads the list."""
    for number, owner in _acting(state):
        looked = number == 2 and not state.waited
        reader = owner._replace(sees=state.listed, looked=looked)
        if reader != owner:
            yield f'read_list({number})', _with(state, number, reader)
    if 'owner_confirms_listing' in left and state.listed and state.grant:
        if not state.is_resident:
            yield 'read_list(visitor)', state._replace(is_resident=True)


def ask_renewal(state: State, left: Left) -> Iterator[Step]:
    """The visitor asks an owner to renew its grant."""
    for number, _each in _acting(state):
        if state.renewal is None and number >= state.term:
            yield (
                f'ask_renewal({number})',
                state._replace(renewal=Renewal(USE_LEASE, number)),
            )


def answer_renewal(state: State, left: Left) -> Iterator[Step]:
    """An owner answers with the loads that are open."""
    renewal = state.renewal
    if renewal is None or renewal.is_answered:
        return
    owner = _owner(state, renewal.owner)
    if not owner.acts or (renewal.owner == 2 and state.taken != SETTLED):
        return
    ticks = renewal.left
    if renewal.owner == 1 and 'grant_basis' not in left:
        ticks = min(ticks, state.basis)
    if not ticks:
        return
    answered = renewal._replace(
        left=ticks,
        is_answered=True,
        is_open=owner.load == OPEN,
        is_listed=owner.sees,
    )
    subscribed = owner._replace(subscribed=WAIT)
    yield (
        f'answer_renewal({renewal.owner})',
        _with(state._replace(renewal=answered), renewal.owner, subscribed),
    )


def grant_use(state: State, left: Left) -> Iterator[Step]:
    """The visitor takes an answer in."""
    renewal = state.renewal
    if renewal is None or not renewal.is_answered:
        return
    rest = state._replace(renewal=None)
    if renewal.owner < state.term:
        yield 'grant_use refused', rest
        return
    known = renewal.is_open and not state.closed
    if 'answer_replaces' in left:
        known = known or state.known
    yield (
        f'grant_use({renewal.owner})',
        rest._replace(
            term=renewal.owner,
            grant=max(state.grant, renewal.left),
            known=known,
            is_resident=state.is_resident or renewal.is_listed,
        ),
    )


def begin_request(state: State, left: Left) -> Iterator[Step]:
    """An entry of the visitor starts a request."""
    may_use = state.grant or state.is_resident or 'time_rule' in left
    if may_use and state.known and state.loaded and not state.running:
        yield 'begin_request', state._replace(running=MAX_REQUEST)


def finish_request(state: State, left: Left) -> Iterator[Step]:
    """The request ends ahead of its deadline."""
    if state.running:
        yield 'finish_request', state._replace(running=0)


def close_load(state: State, left: Left) -> Iterator[Step]:
    """An owner closes the load to prepare its evict."""
    for number, owner in _acting(state):
        settled = number == 1 or state.taken == SETTLED
        if owner.load == OPEN and settled:
            yield (
                f'close_load({number})',
                _with(state, number, owner._replace(load=CLOSING)),
            )


def consent_to_close(state: State, left: Left) -> Iterator[Step]:
    """All residents consent: B's to A, or, once settled, those of B."""
    for number, owner in _acting(state):
        willing = number == 2 or state.taken == ABSENT
        if owner.load == CLOSING and willing:
            yield (
                f'consent_to_close({number})',
                _with(state, number, owner._replace(load=CONSENTED)),
            )


def answer_drained(state: State, left: Left) -> Iterator[Step]:
    """The visitor closes the load for an owner that it is linked to."""
    for number, owner in _acting(state):
        if owner.load == OPEN or owner.drained or number < state.term:
            continue
        renewal = state.renewal
        if renewal is not None and renewal.owner == number:
            # The link keeps the order of its messages.
            continue
        shut = state._replace(known=False, closed=True, term=number)
        if not state.running:
            shut = _with(shut, number, owner._replace(drained=True))
        if shut != state:
            yield f'answer_drained({number})', shut


def order_evict(state: State, left: Left) -> Iterator[Step]:
    """An owner orders the evict once nobody may use the load."""
    for number, owner in _acting(state):
        if owner.load != CONSENTED or owner.ordered:
            continue
        if number == 2 and not _may_evict_inherited(state, left):
            continue
        free = not owner.subscribed and not owner.sees
        if owner.drained or free:
            yield (
                f'order_evict({number})',
                _with(state, number, owner._replace(ordered=True)),
            )


def _may_evict_inherited(state: State, left: Left) -> bool:
    if state.taken != SETTLED:
        return False
    if state.waited and 'wait_after_takeover' not in left:
        return False
    return state.second.looked or 'list_after_wait' in left


def land_order(state: State, left: Left) -> Iterator[Step]:
    """An evict reaches a server that checks no terms, however late."""
    for number in (1, 2):
        owner = _owner(state, number)
        if owner.ordered and state.loaded:
            yield (
                f'land_order({number})',
                state._replace(loaded=False, evicted_running=state.running > 0),
            )


SPEC = Spec(
    name='visitors',
    bounds=(
        '1 visitor or instance not listed yet, 2 owners, 1 load, '
        f'use lease {USE_LEASE}, request {MAX_REQUEST}, '
        f'owner lease {OWNER_LEASE} ticks'
    ),
    initial=State(),
    actions=(
        pass_time,
        renew_lease,
        take_over,
        report_running,
        drop_resident,
        show_in_list,
        read_list,
        ask_renewal,
        answer_renewal,
        grant_use,
        begin_request,
        finish_request,
        close_load,
        consent_to_close,
        answer_drained,
        order_evict,
        land_order,
    ),
    properties={
        'no_evict_while_running': lambda state: not state.evicted_running,
    },
    mechanisms={
        'time_rule': 'a visitor starts requests only under a live grant',
        'grant_from_asking': 'a grant counts from the asking',
        'grant_basis': 'a grant ends with what the owner lease backs',
        'answer_replaces': 'an answer replaces what the visitor knew',
        'wait_after_takeover': 'a new owner waits before its first evict',
        'list_after_wait': 'a new owner reads the list after that wait',
        'owner_confirms_listing': 'only the owner ends the time rule',
    },
    optional={},
)
