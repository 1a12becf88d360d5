"""Use of a server by an instance that its owner can't ask or count.

A visitor (an instance of another data centre, or one that the list does not
show yet) uses a load only within `use_lease` of asking for a renewal that the
owner answered.  Time is counted in ticks; a paused process takes no step
while they pass.  Owner A has term 1, owner B takes over with term 2; consent
of the residents is reduced to one of B's instance.
"""

from collections.abc import Iterator

from model.renewals import (
    ABSENT,
    CLOSING,
    CONSENTED,
    MAX_REQUEST,
    OPEN,
    OWNER_LEASE,
    SETTLED,
    TAKEN,
    TICKS,
    USE_LEASE,
    WAIT,
    Left,
    Owner,
    Renewal,
    State,
    acting_owners,
    owner_of,
    pass_time,
    with_owner,
)
from model.spec import Spec, Step
from model.succession import PROPERTIES


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
    for number, owner in acting_owners(state):
        waits = state.waited and 'wait_after_takeover' not in left
        looked = number == 2 and not waits
        reader = owner._replace(sees=state.listed, looked=looked)
        if reader != owner:
            yield f'read_list({number})', with_owner(state, number, reader)
    if 'owner_confirms_listing' in left and state.listed and state.grant:
        if not state.is_resident:
            yield 'read_list(visitor)', state._replace(is_resident=True)


def ask_renewal(state: State, left: Left) -> Iterator[Step]:
    """The visitor asks an owner to renew its grant."""
    for number, _each in acting_owners(state):
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
    owner = owner_of(state, renewal.owner)
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
        with_owner(state._replace(renewal=answered), renewal.owner, subscribed),
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
    for number, owner in acting_owners(state):
        settled = number == 1 or state.taken == SETTLED
        if owner.load == OPEN and settled:
            yield (
                f'close_load({number})',
                with_owner(state, number, owner._replace(load=CLOSING)),
            )


def consent_to_close(state: State, left: Left) -> Iterator[Step]:
    """All residents consent: B's to A, or, once settled, those of B."""
    for number, owner in acting_owners(state):
        willing = number == 2 or state.taken == ABSENT
        if owner.load == CLOSING and willing:
            yield (
                f'consent_to_close({number})',
                with_owner(state, number, owner._replace(load=CONSENTED)),
            )


def answer_drained(state: State, left: Left) -> Iterator[Step]:
    """The visitor closes the load for an owner that it is linked to."""
    for number, owner in acting_owners(state):
        asks = owner.load != OPEN and not owner.drained
        if not asks or number < state.term or _is_awaited(state, number):
            continue
        shut = state._replace(known=False, closed=True, term=number)
        if not state.running:
            shut = with_owner(shut, number, owner._replace(drained=True))
        if shut != state:
            yield f'answer_drained({number})', shut


def _is_awaited(state: State, number: int) -> bool:
    # The link keeps the order of its messages.
    return state.renewal is not None and state.renewal.owner == number


def order_evict(state: State, left: Left) -> Iterator[Step]:
    """An owner orders the evict once nobody may use the load."""
    for number, owner in acting_owners(state):
        may_evict = number == 1 or _may_evict_inherited(state, left)
        if may_evict and not owner.ordered and _is_unused(owner):
            yield (
                f'order_evict({number})',
                with_owner(state, number, owner._replace(ordered=True)),
            )


def _is_unused(owner: Owner) -> bool:
    if owner.load != CONSENTED:
        return False
    return owner.drained or not (owner.subscribed or owner.sees)


def _may_evict_inherited(state: State, left: Left) -> bool:
    if state.taken != SETTLED:
        return False
    if state.waited and 'wait_after_takeover' not in left:
        return False
    return state.second.looked or 'list_after_wait' in left


def land_order(state: State, left: Left) -> Iterator[Step]:
    """An evict reaches a server that checks no terms, however late."""
    for number in (1, 2):
        owner = owner_of(state, number)
        if owner.ordered and state.loaded:
            yield (
                f'land_order({number})',
                state._replace(loaded=False, evicted_running=state.running > 0),
            )


SPEC = Spec(
    name='visitors',
    bounds=(f'1 visitor or instance not listed yet, 2 owners, 1 load, {TICKS}'),
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
    properties=PROPERTIES,
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
