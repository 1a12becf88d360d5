"""What entries do for one attempt, in the specification of claims."""

from collections.abc import Iterator

from model.claim_states import (
    COMPLETE,
    OWNERS,
    RELEASE,
    Left,
    Phase,
    State,
    Told,
    put_attempt,
)
from model.spec import Step


def claim(state: State, left: Left) -> Iterator[Step]:
    """An entry asks an owner for the claim."""
    for index, attempt in enumerate(state.attempts):
        if attempt.phase != Phase.IDLE:
            continue
        if index and state.attempts[0].phase == Phase.IDLE:
            # Attempts are alike, so let the first one ask first.
            continue
        for owner in OWNERS:
            asked = attempt._replace(
                phase=Phase.ASKED, owner=owner, claim_sent=True
            )
            yield f'claim({index} at {owner})', put_attempt(state, index, asked)


def ask(state: State, left: Left) -> Iterator[Step]:
    """An entry whose claim was not owned asks again, as the same holder."""
    for index, attempt in enumerate(state.attempts):
        if attempt.phase != Phase.ASKED or not attempt.unowned:
            continue
        for owner in OWNERS:
            asked = attempt._replace(
                owner=owner, claim_sent=True, unowned=False
            )
            yield f'ask({index} at {owner})', put_attempt(state, index, asked)


def refuse(state: State, left: Left) -> Iterator[Step]:
    """An entry that found no owner tells so, and releases nothing."""
    for index, attempt in enumerate(state.attempts):
        if attempt.phase == Phase.ASKED and attempt.unowned:
            refused = attempt._replace(
                phase=Phase.ENDED, unowned=False, told=Told.NOT_RUN
            )
            yield f'refuse({index})', put_attempt(state, index, refused)


def dispatch(state: State, left: Left) -> Iterator[Step]:
    """An entry that has its grant sends the request, once."""
    for index, attempt in enumerate(state.attempts):
        may_run = attempt.phase == Phase.ASKED
        if attempt.phase == Phase.GIVEN_UP and 'give_up_for_good' in left:
            may_run = True
        if attempt.granted and may_run:
            running = attempt._replace(
                phase=Phase.RUNNING, runs=attempt.runs + 1
            )
            yield f'dispatch({index})', put_attempt(state, index, running)


def finish_request(state: State, left: Left) -> Iterator[Step]:
    """The answer has come; the outcome goes to the owner."""
    for index, attempt in enumerate(state.attempts):
        if attempt.phase == Phase.RUNNING:
            ran = attempt._replace(phase=Phase.ENDED, outcome=COMPLETE)
            yield f'finish_request({index})', put_attempt(state, index, ran)


def give_up(state: State, left: Left) -> Iterator[Step]:
    """An entry dispatches no more and releases its claim, granted or not."""
    for index, attempt in enumerate(state.attempts):
        if attempt.phase == Phase.ASKED:
            given_up = attempt._replace(phase=Phase.GIVEN_UP, outcome=RELEASE)
            if 'release_durable' in left:
                given_up = given_up._replace(told=Told.NOT_RUN)
            yield f'give_up({index})', put_attempt(state, index, given_up)


def tell_key_held(state: State, left: Left) -> Iterator[Step]:
    """No durable release came in time: not run, but the key may be held."""
    for index, attempt in enumerate(state.attempts):
        if attempt.phase == Phase.GIVEN_UP and attempt.told == Told.NOTHING:
            told = attempt._replace(told=Told.NOT_RUN_HELD)
            yield f'tell_key_held({index})', put_attempt(state, index, told)


def kill_entry(state: State, left: Left) -> Iterator[Step]:
    """An entry dies, also between grant and dispatch.

    One that dies later is one whose outcome never arrives.
    """
    for index, attempt in enumerate(state.attempts):
        if state.crashes and attempt.phase == Phase.ASKED:
            dead = attempt._replace(phase=Phase.ENDED, granted=False)
            yield (
                f'kill_entry({index})',
                put_attempt(state, index, dead)._replace(
                    crashes=state.crashes - 1
                ),
            )
