"""Faults and recoveries in the specification of evictions."""

from collections.abc import Iterator

from model.residents import (
    NAMES,
    PEERS,
    Instance,
    Omitted,
    State,
    accepts,
    acting_owners,
    drop_open_loads,
    learn_term,
    replace_at,
    update_instance,
)
from model.spec import Step


def lease_lapse(state: State, omitted: Omitted) -> Iterator[Step]:
    """The platform drops the lease; its holder doesn't notice."""
    if state.lease >= 0:
        yield 'lease_lapse', state._replace(lease=-1)


def crash(state: State, omitted: Omitted) -> Iterator[Step]:
    """An instance crashes and loses its state."""
    if state.faults:
        for index, instance in enumerate(state.instances):
            if instance.up:
                dead = replace_at(state.instances, index, Instance(up=False))
                yield (
                    f'crash({NAMES[index]})',
                    state._replace(instances=dead, faults=state.faults - 1),
                )


def start(state: State, omitted: Omitted) -> Iterator[Step]:
    """An instance starts with an empty state."""
    for index, instance in enumerate(state.instances):
        if not instance.up:
            yield (
                f'start({NAMES[index]})',
                update_instance(state, index, up=True),
            )


def freeze(state: State, omitted: Omitted) -> Iterator[Step]:
    """An instance is suspended, possibly so long that it is dropped."""
    if state.faults:
        for index, instance in enumerate(state.instances):
            if instance.is_active:
                frozen = update_instance(state, index, frozen=True)
                yield (
                    f'freeze({NAMES[index]})',
                    frozen._replace(faults=state.faults - 1),
                )


def resume(state: State, omitted: Omitted) -> Iterator[Step]:
    """A frozen instance resumes; after a long pause it drops its open loads."""
    for index, instance in enumerate(state.instances):
        if instance.frozen:
            resumed = instance._replace(frozen=False, long_frozen=False)
            if instance.long_frozen and 'check_pause' not in omitted:
                resumed = drop_open_loads(resumed)
            instances = replace_at(state.instances, index, resumed)
            yield f'resume({NAMES[index]})', state._replace(instances=instances)


def reconnect(state: State, omitted: Omitted) -> Iterator[Step]:
    """A dropped instance reconnects and counts as a resident again."""
    for index, owner, peer in acting_owners(state):
        if (
            owner.peer_dropped
            and peer.is_active
            and accepts(peer, owner, omitted)
        ):
            updated = learn_term(state, index, omitted)
            yield (
                f'reconnect({PEERS[index]} to {NAMES[index]})',
                update_instance(updated, index, peer_dropped=False),
            )
