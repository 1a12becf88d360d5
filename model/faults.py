"""What goes wrong, and ends, in the specification of evictions."""

from collections.abc import Iterator

from model.residents import (
    NAMES,
    PEERS,
    Instance,
    Left,
    State,
    accepts,
    change,
    forget_open,
    owners,
    replace_at,
    tell_term,
)
from model.spec import Step


def lease_lapse(state: State, left: Left) -> Iterator[Step]:
    """The platform drops the lease, whatever its holder believes."""
    if state.lease >= 0:
        yield 'lease_lapse', state._replace(lease=-1)


def crash(state: State, left: Left) -> Iterator[Step]:
    """An instance dies with all that it remembers."""
    if state.faults:
        for index, instance in enumerate(state.both):
            if instance.up:
                dead = replace_at(state.both, index, Instance(up=False))
                yield (
                    f'crash({NAMES[index]})',
                    state._replace(both=dead, faults=state.faults - 1),
                )


def start(state: State, left: Left) -> Iterator[Step]:
    """An instance comes up empty."""
    for index, instance in enumerate(state.both):
        if not instance.up:
            yield f'start({NAMES[index]})', change(state, index, up=True)


def freeze(state: State, left: Left) -> Iterator[Step]:
    """An instance stops to run, perhaps for so long that it is dropped."""
    if state.faults:
        for index, instance in enumerate(state.both):
            if instance.acts:
                frozen = change(state, index, frozen=True)
                yield (
                    f'freeze({NAMES[index]})',
                    frozen._replace(faults=state.faults - 1),
                )


def thaw(state: State, left: Left) -> Iterator[Step]:
    """A frozen instance goes on; after a long pause it forgets what is open."""
    for index, instance in enumerate(state.both):
        if instance.frozen:
            awake = instance._replace(frozen=False, long_frozen=False)
            if instance.long_frozen and 'check_pause' not in left:
                awake = forget_open(awake)
            both = replace_at(state.both, index, awake)
            yield f'thaw({NAMES[index]})', state._replace(both=both)


def link_again(state: State, left: Left) -> Iterator[Step]:
    """A dropped instance comes back and counts as a resident again."""
    for index, owner, peer in owners(state):
        if owner.gone and peer.acts and accepts(peer, owner, left):
            told = tell_term(state, index, left)
            yield (
                f'link_again({PEERS[index]} to {NAMES[index]})',
                change(told, index, gone=False),
            )
