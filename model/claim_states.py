"""The states of the specification of claims."""

from typing import NamedTuple

OWNERS = (0, 1)

CLAIM, RELEASE, COMPLETE = ('claim', 'release', 'complete')

Left = frozenset[str]


class Phase:
    """Phases of an attempt."""

    IDLE, ASKED, RUNNING, GIVEN_UP, ENDED = range(5)


class Told:
    """What a caller was told."""

    NOTHING, NOT_RUN, NOT_RUN_HELD, COMPLETED = range(4)


class KeyState:
    """States of the key."""

    ABSENT, CLAIMED, RELEASED, COMPLETED = range(4)


class Entry(NamedTuple):
    """One write of the log: an attempt's claim or outcome."""

    kind: str
    attempt: int


class Key(NamedTuple):
    """The state of the one key, as an owner knows it."""

    state: int = KeyState.ABSENT
    holder: int = -1


class Owner(NamedTuple):
    """One owner of the range; a paused one takes no step.

    :param current: nobody else has written since it last knew the end of
        the log, so that its next write is not in conflict.
    :param entry: the write under way.
    :param in_doubt: an answer to this write was lost.
    :param applied: this write is in the log, as its nonce shows while current.
    """

    active: bool = False
    current: bool = False
    key: Key = Key()
    entry: Entry | None = None
    in_doubt: bool = False
    applied: bool = False


class Attempt(NamedTuple):
    """One attempt of a caller to have its request run.

    :param owner: whom it asks.
    :param claim_sent: its claim is on its way.
    :param unowned: its claim was answered as not owned.
    :param outcome: the outcome on its way to the owner, or ``''``.
    :param granted: a grant is on its way to it, or there.
    :param runs: how often the backend server ran it.
    :param told: what its caller was told.
    """

    phase: int = Phase.IDLE
    owner: int = 0
    claim_sent: bool = False
    unowned: bool = False
    outcome: str = ''
    granted: bool = False
    runs: int = 0
    told: int = Told.NOTHING


class State(NamedTuple):
    """The whole system.

    :param key: the state of the key by the log.
    :param stray: a write of a dead owner that may still land.
    :param barred: a repeat met the claim of an attempt that was told that it
        may be repeated.
    """

    key: Key
    owners: tuple[Owner, ...]
    attempts: tuple[Attempt, ...]
    stray: Entry | None
    barred: bool
    take_overs: int
    crashes: int


def put_owner(state: State, index: int, owner: Owner) -> State:
    """Return a state with one owner changed."""
    owners = (*state.owners[:index], owner, *state.owners[index + 1 :])
    return state._replace(owners=owners)


def put_attempt(state: State, index: int, attempt: Attempt) -> State:
    """Return a state with one attempt changed."""
    attempts = (
        *state.attempts[:index],
        attempt,
        *state.attempts[index + 1 :],
    )
    return state._replace(attempts=attempts)


def apply(key: Key, entry: Entry, left: Left) -> Key:
    """Return the state of the key after an entry of the log."""
    is_own = key.holder == entry.attempt
    if entry.kind == CLAIM:
        barred = key.state == KeyState.RELEASED and is_own
        if barred and 'release_bars_claim' not in left:
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


def append(state: State, index: int, key: Key) -> State:
    """Return a state whose log has grown; all but one writer are behind.

    :param index: who wrote, -1 for a write of a dead owner.
    """
    owners = tuple(
        owner._replace(current=owner.current and number == index)
        for number, owner in enumerate(state.owners)
    )
    return state._replace(key=key, owners=owners, stray=None)
