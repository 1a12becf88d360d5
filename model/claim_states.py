"""States of the specification of claims, and functions on them."""

from typing import NamedTuple

OWNERS = (0, 1)

CLAIM, RELEASE, COMPLETE = ('claim', 'release', 'complete')

Omitted = frozenset[str]


class Phase:
    """Phases of an attempt."""

    IDLE, ASKED, RUNNING, GIVEN_UP, ENDED = range(5)


class Reported:
    """The result that the caller of an attempt has received."""

    NOTHING, NOT_RUN, NOT_RUN_HELD, COMPLETED = range(4)


class KeyState:
    """States of the key."""

    ABSENT, CLAIMED, RELEASED, COMPLETED = range(4)


class Entry(NamedTuple):
    """One entry of the log: the claim or outcome of an attempt."""

    kind: str
    attempt: int


class Key(NamedTuple):
    """The state of the single key, and the attempt that holds it."""

    state: int = KeyState.ABSENT
    holder: int = -1


class Owner(NamedTuple):
    """The state of one owner of the key range; a paused owner takes no steps.

    :param active: whether it believes that it owns the range.
    :param current: whether its known end of the log is still the end, so that
        its next write will not conflict.
    :param key: state of the key in its memory.
    :param entry: the entry that it is writing.
    :param in_doubt: whether an answer to this write was lost.
    :param applied: whether this write is in the log; the nonce shows this as
        long as the owner is current.
    """

    active: bool = False
    current: bool = False
    key: Key = Key()
    entry: Entry | None = None
    in_doubt: bool = False
    applied: bool = False


class Attempt(NamedTuple):
    """One attempt of a caller to have its request run.

    :param owner: the owner that it sends its claim to.
    :param claim_sent: whether its claim is in transit.
    :param unowned: whether its claim was answered as not owned.
    :param outcome: the outcome in transit to the owner, or ``''``.
    :param granted: whether a grant is in transit to it or has arrived.
    :param runs: how often a backend server has run it.
    :param reported: the result that its caller has received.
    """

    phase: int = Phase.IDLE
    owner: int = 0
    claim_sent: bool = False
    unowned: bool = False
    outcome: str = ''
    granted: bool = False
    runs: int = 0
    reported: int = Reported.NOTHING


class State(NamedTuple):
    """State of the complete system.

    :param key: the state of the key according to the log.
    :param late_write: a write of a crashed owner that may still arrive.
    :param repeat_refused: whether an attempt was refused because of the claim
        of another whose caller had been told that it may repeat.
    :param take_overs: takeovers that may still happen.
    :param crashes: crashes that may still happen.
    """

    key: Key
    owners: tuple[Owner, ...]
    attempts: tuple[Attempt, ...]
    late_write: Entry | None
    repeat_refused: bool
    take_overs: int
    crashes: int


def with_owner(state: State, index: int, owner: Owner) -> State:
    """Return a state with one owner changed."""
    owners = (*state.owners[:index], owner, *state.owners[index + 1 :])
    return state._replace(owners=owners)


def with_attempt(state: State, index: int, attempt: Attempt) -> State:
    """Return a state with one attempt changed."""
    attempts = (
        *state.attempts[:index],
        attempt,
        *state.attempts[index + 1 :],
    )
    return state._replace(attempts=attempts)


def apply_entry(key: Key, entry: Entry, omitted: Omitted) -> Key:
    """Return the state of the key after an entry of the log."""
    is_own = key.holder == entry.attempt
    if entry.kind == CLAIM:
        is_released = key.state == KeyState.RELEASED and is_own
        if is_released and 'release_bars_claim' not in omitted:
            return key
        is_free = key.state in {KeyState.ABSENT, KeyState.RELEASED}
        return Key(KeyState.CLAIMED, entry.attempt) if is_free else key
    if entry.kind == RELEASE:
        is_held = key.state == KeyState.CLAIMED and is_own
        if is_held or key.state == KeyState.ABSENT:
            return Key(KeyState.RELEASED, entry.attempt)
    if entry.kind == COMPLETE and key.state == KeyState.CLAIMED and is_own:
        return Key(KeyState.COMPLETED, entry.attempt)
    return key


def append_write(state: State, index: int, key: Key) -> State:
    """Return a state after a write to the log, current for its writer only.

    :param index: index of the writer, -1 for a crashed owner.
    """
    owners = tuple(
        owner._replace(current=owner.current and number == index)
        for number, owner in enumerate(state.owners)
    )
    return state._replace(key=key, owners=owners, late_write=None)
