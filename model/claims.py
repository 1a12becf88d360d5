"""At most once: claims of one key, by two attempts, across owners.

The log takes a write only at its end.  A paused owner takes no step, so it
may act on what it knew long after another has taken over.
"""

from collections.abc import Iterator

from model.attempts import (
    ask,
    claim,
    dispatch,
    finish_request,
    give_up,
    kill_entry,
    refuse,
    tell_key_held,
)
from model.claim_states import (
    CLAIM,
    COMPLETE,
    OWNERS,
    RELEASE,
    Attempt,
    Entry,
    Key,
    KeyState,
    Left,
    Owner,
    Phase,
    State,
    Told,
    append,
    apply,
    put_attempt,
    put_owner,
)
from model.spec import Spec, Step


def take_over(state: State, left: Left) -> Iterator[Step]:
    """An owner reads the log and writes at its end, whoever owned before.

    Also after a restart of its own, when it remembers nothing.
    """
    if not state.take_overs:
        return
    for index in OWNERS:
        if state.owners[index].active:
            continue
        written = state._replace(take_overs=state.take_overs - 1)
        if 'takeover_segment' not in left:
            written = append(written, index, state.key)
        taken = Owner(active=True, current=True, key=state.key)
        yield f'take_over({index})', put_owner(written, index, taken)


def receive_claim(state: State, left: Left) -> Iterator[Step]:
    """An owner answers a claim at once, or starts to write it."""
    for index, attempt in enumerate(state.attempts):
        owner = state.owners[attempt.owner]
        if not attempt.claim_sent or owner.entry:
            continue
        taken = put_attempt(state, index, attempt._replace(claim_sent=False))
        label = f'receive_claim({index} at {attempt.owner})'
        if not owner.active:
            yield f'{label} not owned', _not_owned(taken, index)
        elif _is_free(owner, index, left):
            yield label, _start(taken, attempt.owner, CLAIM, index, left)
        else:
            yield f'{label} refused', _refuse(taken, index, owner)


def _is_free(owner: Owner, index: int, left: Left) -> bool:
    if owner.key.state == KeyState.RELEASED:
        is_other = owner.key.holder != index
        return is_other or 'release_bars_claim' in left
    return owner.key.state == KeyState.ABSENT


def _start(
    state: State, index: int, kind: str, attempt: int, left: Left
) -> State:
    """Start a write; the owner's memory is ahead of it."""
    owner = state.owners[index]
    entry = Entry(kind, attempt)
    started = owner._replace(entry=entry, key=apply(owner.key, entry, left))
    state = put_owner(state, index, started)
    if kind == CLAIM and 'claim_before_dispatch' in left:
        granted = state.attempts[attempt]._replace(granted=True)
        state = put_attempt(state, attempt, granted)
    return state


def _refuse(state: State, index: int, owner: Owner) -> State:
    attempt = state.attempts[index]
    if attempt.phase != Phase.ASKED:
        return state
    if owner.key.holder == index:
        # The grant's answer was lost, and its holder asks again.
        granted = owner.key.state == KeyState.CLAIMED
        return put_attempt(state, index, attempt._replace(granted=granted))
    holder = state.attempts[owner.key.holder]
    is_barred = holder.told == Told.NOT_RUN and owner.current
    refused = attempt._replace(phase=Phase.ENDED)
    return put_attempt(state, index, refused)._replace(
        barred=state.barred or is_barred
    )


def write(state: State, left: Left) -> Iterator[Step]:
    """An owner's write reaches the service; its answer may be lost."""
    for index, owner in enumerate(state.owners):
        if not owner.active or owner.entry is None:
            continue
        if owner.applied or not owner.current:
            yield _conflict(state, index, owner.entry, left)
            continue
        written = append(state, index, apply(state.key, owner.entry, left))
        doubtful = owner._replace(in_doubt=True)
        yield f'write({index})', _finish(written, index)
        yield (
            f'write({index}) answer lost',
            put_owner(written, index, doubtful._replace(applied=True)),
        )
        if not owner.in_doubt:
            yield f'write({index}) lost', put_owner(state, index, doubtful)


def _conflict(state: State, index: int, entry: Entry, left: Left) -> Step:
    owner = state.owners[index]
    # The nonce goes with the next owner's write.
    is_own = owner.applied and owner.current
    # Without a nonce nothing tells the owner's write from another's.
    trusts = 'nonce' in left and owner.in_doubt
    if is_own or trusts:
        return f'write({index}) own', _finish(state, index)
    deposed = put_owner(state, index, Owner())
    surely_unwritten = not owner.in_doubt or 'doubt_is_owned' in left
    if entry.kind == CLAIM and surely_unwritten:
        deposed = _not_owned(deposed, entry.attempt)
    return f'write({index}) deposed', deposed


def _not_owned(state: State, index: int) -> State:
    """Tell an attempt that its claim surely was not written."""
    attempt = state.attempts[index]
    unowned = attempt.phase == Phase.ASKED
    return put_attempt(state, index, attempt._replace(unowned=unowned))


def _finish(state: State, index: int) -> State:
    """A write is durable: answer whom it concerns."""
    owner = state.owners[index]
    entry = owner.entry
    free = owner._replace(entry=None, in_doubt=False, applied=False)
    state = put_owner(state, index, free)
    if entry is None:
        return state
    attempt = state.attempts[entry.attempt]
    if entry.kind == CLAIM:
        # Nobody else waits for the grant.
        is_waiting = attempt.phase in {Phase.ASKED, Phase.GIVEN_UP}
        attempt = attempt._replace(granted=is_waiting)
    elif entry.kind == RELEASE and attempt.told == Told.NOTHING:
        attempt = attempt._replace(told=Told.NOT_RUN)
    return put_attempt(state, entry.attempt, attempt)


def settle(state: State, left: Left) -> Iterator[Step]:
    """An owner starts to write an outcome."""
    for index, attempt in enumerate(state.attempts):
        for number, owner in enumerate(state.owners):
            if not attempt.outcome or not owner.active or owner.entry:
                continue
            taken = put_attempt(state, index, _settled(attempt))
            yield (
                f'settle({index} at {number}, {attempt.outcome})',
                _start(taken, number, attempt.outcome, index, left),
            )


def _settled(attempt: Attempt) -> Attempt:
    """An outcome is answered before its write, unless it is a release."""
    is_complete = attempt.outcome == COMPLETE
    told = Told.COMPLETED if is_complete else attempt.told
    return attempt._replace(outcome='', told=told)


def kill_owner(state: State, left: Left) -> Iterator[Step]:
    """An owner dies; its write may still land."""
    for index, owner in enumerate(state.owners):
        if state.crashes and owner.active:
            may_land = owner.current and not owner.applied
            yield (
                f'kill_owner({index})',
                put_owner(state, index, Owner())._replace(
                    stray=owner.entry if may_land else state.stray,
                    crashes=state.crashes - 1,
                ),
            )


def land_stray(state: State, left: Left) -> Iterator[Step]:
    """A dead owner's write reaches the service."""
    if state.stray is not None:
        key = apply(state.key, state.stray, left)
        yield 'land_stray', append(state, -1, key)


def one_effective_owner(state: State) -> bool:
    """At most one owner could have a write go through."""
    effective = [
        owner for owner in state.owners if owner.active and owner.current
    ]
    return len(effective) < 2


def at_most_once(state: State) -> bool:
    """The request ran at most once, over all attempts."""
    return sum(attempt.runs for attempt in state.attempts) < 2


def not_run_was_not_run(state: State) -> bool:
    """Whoever was told that a request was not run was told the truth."""
    return not any(
        attempt.runs and attempt.told in {Told.NOT_RUN, Told.NOT_RUN_HELD}
        for attempt in state.attempts
    )


def completed_holds_key(state: State) -> bool:
    """The log keeps a key from others once its caller has the answer."""
    holding = {KeyState.CLAIMED, KeyState.COMPLETED}
    return all(
        state.key.state in holding and state.key.holder == index
        for index, attempt in enumerate(state.attempts)
        if attempt.told == Told.COMPLETED
    )


SPEC = Spec(
    name='claims',
    bounds='1 key, 2 attempts, 2 owners, 2 takeovers, 2 crashes',
    initial=State(
        key=Key(),
        owners=(Owner(active=True, current=True), Owner()),
        attempts=(Attempt(), Attempt()),
        stray=None,
        barred=False,
        take_overs=2,
        crashes=2,
    ),
    actions=(
        take_over,
        claim,
        ask,
        refuse,
        receive_claim,
        write,
        dispatch,
        finish_request,
        give_up,
        tell_key_held,
        settle,
        kill_entry,
        kill_owner,
        land_stray,
    ),
    properties={
        'at_most_once': at_most_once,
        'not_run_was_not_run': not_run_was_not_run,
        'released_may_repeat': lambda state: not state.barred,
        'completed_holds_key': completed_holds_key,
        'one_effective_owner': one_effective_owner,
    },
    mechanisms={
        'nonce': 'an owner tells its own write from that of another',
        'takeover_segment': 'a new owner writes before it grants',
        'claim_before_dispatch': 'a claim is durable before it is granted',
        'release_durable': 'a release is durable before it is told',
        'release_bars_claim': 'a claim that comes after its release is void',
        'doubt_is_owned': 'a claim in doubt is not answered as not owned',
        'give_up_for_good': 'who has given up takes no grant any more',
    },
    optional={},
)
