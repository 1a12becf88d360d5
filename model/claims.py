"""At-most-once execution: claims of a key by two attempts, across owners.

The log accepts a write only at its end.  A paused owner takes no steps, so it
may act on outdated knowledge long after another owner has taken over.
"""

from collections.abc import Iterator

from model.attempts import (
    ask_again,
    claim,
    dispatch,
    finish_request,
    give_up,
    kill_entry,
    refuse,
    report_key_held,
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
    Omitted,
    Owner,
    Phase,
    Reported,
    State,
    append_write,
    apply_entry,
    with_attempt,
    with_owner,
)
from model.spec import Spec, Step


def take_over(state: State, omitted: Omitted) -> Iterator[Step]:
    """An owner takes over: it reads the log and writes at its end.

    It does so also after its own restart, which loses its memory.
    """
    if not state.take_overs:
        return
    for index in OWNERS:
        if state.owners[index].active:
            continue
        written = state._replace(take_overs=state.take_overs - 1)
        if 'takeover_segment' not in omitted:
            written = append_write(written, index, state.key)
        taken = Owner(active=True, current=True, key=state.key)
        yield f'take_over({index})', with_owner(written, index, taken)


def receive_claim(state: State, omitted: Omitted) -> Iterator[Step]:
    """An owner answers a claim at once, or starts to write it to the log."""
    for index, attempt in enumerate(state.attempts):
        owner = state.owners[attempt.owner]
        if not attempt.claim_sent or owner.entry:
            continue
        taken = with_attempt(state, index, attempt._replace(claim_sent=False))
        label = f'receive_claim({index} at {attempt.owner})'
        if not owner.active:
            yield f'{label} not owned', _not_owned(taken, index)
        elif _is_free(owner, index, omitted):
            yield label, _start(taken, attempt.owner, CLAIM, index, omitted)
        else:
            yield f'{label} refused', _refuse(taken, index, owner)


def _is_free(owner: Owner, index: int, omitted: Omitted) -> bool:
    if owner.key.state == KeyState.RELEASED:
        is_other = owner.key.holder != index
        return is_other or 'release_bars_claim' in omitted
    return owner.key.state == KeyState.ABSENT


def _start(
    state: State, index: int, kind: str, attempt: int, omitted: Omitted
) -> State:
    """Start a write; the owner's memory already has its effect."""
    owner = state.owners[index]
    entry = Entry(kind, attempt)
    started = owner._replace(
        entry=entry, key=apply_entry(owner.key, entry, omitted)
    )
    state = with_owner(state, index, started)
    if kind == CLAIM and 'claim_before_dispatch' in omitted:
        granted = state.attempts[attempt]._replace(granted=True)
        state = with_attempt(state, attempt, granted)
    return state


def _refuse(state: State, index: int, owner: Owner) -> State:
    attempt = state.attempts[index]
    if attempt.phase != Phase.ASKED:
        return state
    if owner.key.holder == index:
        # The answer with the grant was lost, and the holder claims again.
        granted = owner.key.state == KeyState.CLAIMED
        return with_attempt(state, index, attempt._replace(granted=granted))
    holder = state.attempts[owner.key.holder]
    is_refused = holder.reported == Reported.NOT_RUN and owner.current
    refused = attempt._replace(phase=Phase.ENDED)
    return with_attempt(state, index, refused)._replace(
        repeat_refused=state.repeat_refused or is_refused
    )


def write(state: State, omitted: Omitted) -> Iterator[Step]:
    """An owner's write reaches the service; it or its answer may be lost."""
    for index, owner in enumerate(state.owners):
        if not owner.active or owner.entry is None:
            continue
        if owner.applied or not owner.current:
            yield _conflict(state, index, owner.entry, omitted)
            continue
        written = append_write(
            state, index, apply_entry(state.key, owner.entry, omitted)
        )
        doubtful = owner._replace(in_doubt=True)
        yield f'write({index})', _finish(written, index)
        yield (
            f'write({index}) answer lost',
            with_owner(written, index, doubtful._replace(applied=True)),
        )
        if not owner.in_doubt:
            yield f'write({index}) lost', with_owner(state, index, doubtful)


def _conflict(state: State, index: int, entry: Entry, omitted: Omitted) -> Step:
    owner = state.owners[index]
    # The nonce of this write is lost with the next owner's write.
    is_own = owner.applied and owner.current
    # Without a nonce an owner can't distinguish its write from another's.
    is_assumed_own = 'nonce' in omitted and owner.in_doubt
    if is_own or is_assumed_own:
        return f'write({index}) own', _finish(state, index)
    deposed = with_owner(state, index, Owner())
    is_unwritten = not owner.in_doubt or 'doubt_is_not_refused' in omitted
    if entry.kind == CLAIM and is_unwritten:
        deposed = _not_owned(deposed, entry.attempt)
    return f'write({index}) deposed', deposed


def _not_owned(state: State, index: int) -> State:
    """Answer an attempt that its claim was certainly not written."""
    attempt = state.attempts[index]
    unowned = attempt.phase == Phase.ASKED
    return with_attempt(state, index, attempt._replace(unowned=unowned))


def _finish(state: State, index: int) -> State:
    """Finish a durable write: answer the attempt that it concerns."""
    owner = state.owners[index]
    entry = owner.entry
    free = owner._replace(entry=None, in_doubt=False, applied=False)
    state = with_owner(state, index, free)
    if entry is None:
        return state
    attempt = state.attempts[entry.attempt]
    if entry.kind == CLAIM:
        # In other phases the attempt no longer waits for the grant.
        is_waiting = attempt.phase in {Phase.ASKED, Phase.GIVEN_UP}
        attempt = attempt._replace(granted=is_waiting)
    elif entry.kind == RELEASE and attempt.reported == Reported.NOTHING:
        attempt = attempt._replace(reported=Reported.NOT_RUN)
    return with_attempt(state, entry.attempt, attempt)


def settle(state: State, omitted: Omitted) -> Iterator[Step]:
    """An owner starts to write an outcome."""
    for index, attempt in enumerate(state.attempts):
        for number, owner in enumerate(state.owners):
            if not attempt.outcome or not owner.active or owner.entry:
                continue
            taken = with_attempt(state, index, _settled(attempt))
            yield (
                f'settle({index} at {number}, {attempt.outcome})',
                _start(taken, number, attempt.outcome, index, omitted),
            )


def _settled(attempt: Attempt) -> Attempt:
    """Report an outcome before its write, unless it is a release."""
    is_complete = attempt.outcome == COMPLETE
    reported = Reported.COMPLETED if is_complete else attempt.reported
    return attempt._replace(outcome='', reported=reported)


def kill_owner(state: State, omitted: Omitted) -> Iterator[Step]:
    """An owner crashes; its pending write may still arrive."""
    for index, owner in enumerate(state.owners):
        if state.crashes and owner.active:
            may_arrive = owner.current and not owner.applied
            yield (
                f'kill_owner({index})',
                with_owner(state, index, Owner())._replace(
                    late_write=owner.entry if may_arrive else state.late_write,
                    crashes=state.crashes - 1,
                ),
            )


def deliver_late_write(state: State, omitted: Omitted) -> Iterator[Step]:
    """A crashed owner's write reaches the log's service."""
    if state.late_write is not None:
        key = apply_entry(state.key, state.late_write, omitted)
        yield 'deliver_late_write', append_write(state, -1, key)


def one_effective_owner(state: State) -> bool:
    """At most one owner can write without a conflict."""
    effective = [
        owner for owner in state.owners if owner.active and owner.current
    ]
    return len(effective) < 2


def at_most_once(state: State) -> bool:
    """The request ran at most once, over all attempts."""
    return sum(attempt.runs for attempt in state.attempts) < 2


def not_run_reports_are_true(state: State) -> bool:
    """An attempt reported as not run has not run."""
    return not any(
        attempt.runs
        and attempt.reported in {Reported.NOT_RUN, Reported.NOT_RUN_HELD}
        for attempt in state.attempts
    )


def completed_holds_key(state: State) -> bool:
    """The key of a request reported as completed is held by its attempt."""
    holding = {KeyState.CLAIMED, KeyState.COMPLETED}
    return all(
        state.key.state in holding and state.key.holder == index
        for index, attempt in enumerate(state.attempts)
        if attempt.reported == Reported.COMPLETED
    )


SPEC = Spec(
    name='claims',
    bounds='1 key, 2 attempts, 2 owners, 2 takeovers, 2 crashes',
    initial=State(
        key=Key(),
        owners=(Owner(active=True, current=True), Owner()),
        attempts=(Attempt(), Attempt()),
        late_write=None,
        repeat_refused=False,
        take_overs=2,
        crashes=2,
    ),
    actions=(
        take_over,
        claim,
        ask_again,
        refuse,
        receive_claim,
        write,
        dispatch,
        finish_request,
        give_up,
        report_key_held,
        settle,
        kill_entry,
        kill_owner,
        deliver_late_write,
    ),
    properties={
        'at_most_once': at_most_once,
        'not_run_reports_are_true': not_run_reports_are_true,
        'released_may_repeat': lambda state: not state.repeat_refused,
        'completed_holds_key': completed_holds_key,
        'one_effective_owner': one_effective_owner,
    },
    mechanisms={
        'nonce': 'an owner can recognise its own write',
        'takeover_segment': 'a new owner writes before it grants',
        'claim_before_dispatch': 'a claim is durable before it is granted',
        'release_durable': 'a release is durable before it is reported',
        'release_bars_claim': 'a claim that arrives after its release is void',
        'doubt_is_not_refused': 'a claim in doubt is not answered as not owned',
        'no_grant_after_give_up': 'an entry that gave up ignores a late grant',
    },
    optional={},
)
