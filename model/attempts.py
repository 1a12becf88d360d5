"""Actions of entries for one attempt, in the specification of claims."""

from collections.abc import Iterator

from model.claim_states import (
    COMPLETE,
    OWNERS,
    RELEASE,
    Omitted,
    Phase,
    Reported,
    State,
    with_attempt,
)
from model.spec import Step


def claim(state: State, omitted: Omitted) -> Iterator[Step]:
    """An entry sends a claim to an owner."""
    for index, attempt in enumerate(state.attempts):
        if attempt.phase != Phase.IDLE:
            continue
        if index and state.attempts[0].phase == Phase.IDLE:
            # By symmetry it is enough that the first attempt starts first.
            continue
        for owner in OWNERS:
            asked = attempt._replace(
                phase=Phase.ASKED, owner=owner, claim_sent=True
            )
            yield (
                f'claim({index} at {owner})',
                with_attempt(state, index, asked),
            )


def ask_again(state: State, omitted: Omitted) -> Iterator[Step]:
    """An entry repeats a claim that was answered as not owned."""
    for index, attempt in enumerate(state.attempts):
        if attempt.phase != Phase.ASKED or not attempt.unowned:
            continue
        for owner in OWNERS:
            asked = attempt._replace(
                owner=owner, claim_sent=True, unowned=False
            )
            yield (
                f'ask_again({index} at {owner})',
                with_attempt(state, index, asked),
            )


def refuse(state: State, omitted: Omitted) -> Iterator[Step]:
    """An entry that found no owner reports not run, and releases nothing."""
    for index, attempt in enumerate(state.attempts):
        if attempt.phase == Phase.ASKED and attempt.unowned:
            refused = attempt._replace(
                phase=Phase.ENDED, unowned=False, reported=Reported.NOT_RUN
            )
            yield f'refuse({index})', with_attempt(state, index, refused)


def dispatch(state: State, omitted: Omitted) -> Iterator[Step]:
    """An entry with a grant sends the request to a server, once."""
    for index, attempt in enumerate(state.attempts):
        may_run = attempt.phase == Phase.ASKED
        if (
            attempt.phase == Phase.GIVEN_UP
            and 'no_grant_after_give_up' in omitted
        ):
            may_run = True
        if attempt.granted and may_run:
            running = attempt._replace(
                phase=Phase.RUNNING, runs=attempt.runs + 1
            )
            yield f'dispatch({index})', with_attempt(state, index, running)


def finish_request(state: State, omitted: Omitted) -> Iterator[Step]:
    """The answer has arrived; the entry sends the outcome to the owner."""
    for index, attempt in enumerate(state.attempts):
        if attempt.phase == Phase.RUNNING:
            ran = attempt._replace(phase=Phase.ENDED, outcome=COMPLETE)
            yield f'finish_request({index})', with_attempt(state, index, ran)


def give_up(state: State, omitted: Omitted) -> Iterator[Step]:
    """An entry gives up dispatching and releases its claim, granted or not."""
    for index, attempt in enumerate(state.attempts):
        if attempt.phase == Phase.ASKED:
            given_up = attempt._replace(phase=Phase.GIVEN_UP, outcome=RELEASE)
            if 'release_durable' in omitted:
                given_up = given_up._replace(reported=Reported.NOT_RUN)
            yield f'give_up({index})', with_attempt(state, index, given_up)


def report_key_held(state: State, omitted: Omitted) -> Iterator[Step]:
    """An entry without a durable release reports: not run, key may be held."""
    for index, attempt in enumerate(state.attempts):
        if (
            attempt.phase == Phase.GIVEN_UP
            and attempt.reported == Reported.NOTHING
        ):
            reported = attempt._replace(reported=Reported.NOT_RUN_HELD)
            yield (
                f'report_key_held({index})',
                with_attempt(state, index, reported),
            )


def kill_entry(state: State, omitted: Omitted) -> Iterator[Step]:
    """An entry crashes, also between grant and dispatch.

    A later crash needs no action: it equals an outcome that never arrives.
    """
    for index, attempt in enumerate(state.attempts):
        if state.crashes and attempt.phase == Phase.ASKED:
            dead = attempt._replace(phase=Phase.ENDED, granted=False)
            yield (
                f'kill_entry({index})',
                with_attempt(state, index, dead)._replace(
                    crashes=state.crashes - 1
                ),
            )
