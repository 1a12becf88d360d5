"""Use of a server by an instance that is not a resident for its owner.

Such a visitor is an instance of another data centre, or one that the list
does not show yet; the owner can't wait for its consent.  It uses a load only
for `use_lease` after the request for a renewal that the owner answered.  Time
is counted in ticks; a paused process takes no steps while they pass.  Owner A
has term 1, owner B takes over with term 2; the consent of the residents is
reduced to that of B's instance.
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
    Omitted,
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


def renew_lease(state: State, omitted: Omitted) -> Iterator[Step]:
    """A renews its lease at the platform."""
    if state.owner_a.is_acting and state.lease and state.takeover == ABSENT:
        yield (
            'renew_lease',
            state._replace(lease=OWNER_LEASE, grant_basis=USE_LEASE),
        )


def take_over(state: State, omitted: Omitted) -> Iterator[Step]:
    """B takes the free key; its instance refuses messages of A from now on."""
    if state.lease or state.takeover != ABSENT:
        return
    load = CONSENTED if state.owner_a.load == CONSENTED else OPEN
    yield (
        'take_over(B)',
        state._replace(
            takeover=TAKEN,
            wait_ticks=WAIT,
            owner_b=Owner(is_acting=True, load=load),
        ),
    )


def report_running(state: State, omitted: Omitted) -> Iterator[Step]:
    """A's instance reports to B; A learns the new term and gives up."""
    if state.takeover == TAKEN and state.owner_a.is_acting:
        deposed = state.owner_a._replace(is_acting=False)
        yield (
            'report_running(A to B)',
            state._replace(takeover=SETTLED, owner_a=deposed),
        )


def drop_resident(state: State, omitted: Omitted) -> Iterator[Step]:
    """B drops A's instance, which was paused for longer than B's wait."""
    if state.takeover == TAKEN and not state.wait_ticks:
        yield 'drop_resident(A at B)', state._replace(takeover=SETTLED)


def show_in_list(state: State, omitted: Omitted) -> Iterator[Step]:
    """The list begins to show the visitor."""
    if not state.listed:
        yield 'show_in_list', state._replace(listed=True)


def read_list(state: State, omitted: Omitted) -> Iterator[Step]:
    """An owner reads the list; so does the visitor if it decides itself."""
    for number, owner in acting_owners(state):
        waits = state.wait_ticks and 'wait_after_takeover' not in omitted
        has_read_list = number == 2 and not waits
        reader = owner._replace(
            lists_visitor=state.listed, has_read_list=has_read_list
        )
        if reader != owner:
            yield f'read_list({number})', with_owner(state, number, reader)
    if 'owner_confirms_listing' in omitted and state.listed and state.grant:
        if not state.is_resident:
            yield 'read_list(visitor)', state._replace(is_resident=True)


def ask_renewal(state: State, omitted: Omitted) -> Iterator[Step]:
    """The visitor asks an owner to renew its grant."""
    for number, _each in acting_owners(state):
        if state.renewal is None and number >= state.term:
            yield (
                f'ask_renewal({number})',
                state._replace(renewal=Renewal(USE_LEASE, number)),
            )


def answer_renewal(state: State, omitted: Omitted) -> Iterator[Step]:
    """An owner answers whether the load is open."""
    renewal = state.renewal
    if renewal is None or renewal.is_answered:
        return
    owner = owner_of(state, renewal.owner)
    if not owner.is_acting or (
        renewal.owner == 2 and state.takeover != SETTLED
    ):
        return
    ticks = renewal.ticks_left
    if renewal.owner == 1 and 'grant_basis' not in omitted:
        ticks = min(ticks, state.grant_basis)
    if not ticks:
        return
    answered = renewal._replace(
        ticks_left=ticks,
        is_answered=True,
        is_open=owner.load == OPEN,
        is_listed=owner.lists_visitor,
    )
    renewed = owner._replace(subscription_ticks=WAIT)
    yield (
        f'answer_renewal({renewal.owner})',
        with_owner(state._replace(renewal=answered), renewal.owner, renewed),
    )


def grant_use(state: State, omitted: Omitted) -> Iterator[Step]:
    """The visitor receives an answer; it refuses one of an older term."""
    renewal = state.renewal
    if renewal is None or not renewal.is_answered:
        return
    rest = state._replace(renewal=None)
    if renewal.owner < state.term:
        yield 'grant_use refused', rest
        return
    has_open = renewal.is_open and not state.has_closed
    if 'answer_replaces' in omitted:
        has_open = has_open or state.has_open
    yield (
        f'grant_use({renewal.owner})',
        rest._replace(
            term=renewal.owner,
            grant=max(state.grant, renewal.ticks_left),
            has_open=has_open,
            is_resident=state.is_resident or renewal.is_listed,
        ),
    )


def begin_request(state: State, omitted: Omitted) -> Iterator[Step]:
    """An entry of the visitor starts a request."""
    may_use = state.grant or state.is_resident or 'time_rule' in omitted
    if may_use and state.has_open and state.loaded and not state.running:
        yield 'begin_request', state._replace(running=MAX_REQUEST)


def finish_request(state: State, omitted: Omitted) -> Iterator[Step]:
    """The request ends before its deadline."""
    if state.running:
        yield 'finish_request', state._replace(running=0)


def close_load(state: State, omitted: Omitted) -> Iterator[Step]:
    """An owner closes the load, to prepare its eviction."""
    for number, owner in acting_owners(state):
        settled = number == 1 or state.takeover == SETTLED
        if owner.load == OPEN and settled:
            yield (
                f'close_load({number})',
                with_owner(state, number, owner._replace(load=CLOSING)),
            )


def consent_to_close(state: State, omitted: Omitted) -> Iterator[Step]:
    """All residents consent: B's instance to A, or, once settled, all to B."""
    for number, owner in acting_owners(state):
        willing = number == 2 or state.takeover == ABSENT
        if owner.load == CLOSING and willing:
            yield (
                f'consent_to_close({number})',
                with_owner(state, number, owner._replace(load=CONSENTED)),
            )


def answer_drained(state: State, omitted: Omitted) -> Iterator[Step]:
    """The visitor closes the load for an owner that it is linked to."""
    for number, owner in acting_owners(state):
        is_asked = owner.load != OPEN and not owner.drained
        if not is_asked or number < state.term or _is_awaited(state, number):
            continue
        closed = state._replace(has_open=False, has_closed=True, term=number)
        if not state.running:
            closed = with_owner(closed, number, owner._replace(drained=True))
        if closed != state:
            yield f'answer_drained({number})', closed


def _is_awaited(state: State, number: int) -> bool:
    # A link delivers messages in order, so the renewal comes first.
    return state.renewal is not None and state.renewal.owner == number


def order_evict(state: State, omitted: Omitted) -> Iterator[Step]:
    """An owner orders the eviction once no instance may use the load."""
    for number, owner in acting_owners(state):
        may_evict = number == 1 or _may_evict_inherited(state, omitted)
        if may_evict and not owner.ordered and _is_unused(owner):
            yield (
                f'order_evict({number})',
                with_owner(state, number, owner._replace(ordered=True)),
            )


def _is_unused(owner: Owner) -> bool:
    if owner.load != CONSENTED:
        return False
    return owner.drained or not (
        owner.subscription_ticks or owner.lists_visitor
    )


def _may_evict_inherited(state: State, omitted: Omitted) -> bool:
    if state.takeover != SETTLED:
        return False
    if state.wait_ticks and 'wait_after_takeover' not in omitted:
        return False
    return state.owner_b.has_read_list or 'list_after_wait' in omitted


def deliver_order(state: State, omitted: Omitted) -> Iterator[Step]:
    """An evict order reaches a server that checks no terms, after any delay."""
    for number in (1, 2):
        owner = owner_of(state, number)
        if owner.ordered and state.loaded:
            yield (
                f'deliver_order({number})',
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
        deliver_order,
    ),
    properties=PROPERTIES,
    mechanisms={
        'time_rule': 'a visitor starts requests only under a valid grant',
        'grant_from_request': 'a grant counts from the request for it',
        'grant_basis': 'a grant lasts no longer than the owner lease allows',
        'answer_replaces': 'an answer replaces the load state at the visitor',
        'wait_after_takeover': 'a new owner waits before its first eviction',
        'list_after_wait': 'a new owner reads the list after that wait',
        'owner_confirms_listing': 'only the owner makes a visitor a resident',
    },
    optional={},
)
