"""Decides what to write of the division of a service's streams, and who does.

Of all gateways those that own groups write, one after the other. What only some
gateways know, for instance after the store has returned from an older copy, any
of them writes.
"""

from __future__ import annotations

from collections.abc import Iterable, Mapping
from typing import NamedTuple

from wasabicross.gateway.stream_division_records import (
    DivisionRecord,
    StoredDivision,
    lacks_former,
    states_lower_age,
)
from wasabicross.gateway.stream_divisions import (
    StreamDivision,
    first_division,
    next_division,
    without_lapsed,
)
from wasabicross.runtime.rendezvous import rank

#: How long the slots of the versions must be unchanged before a change is
#: announced.
STABLE_S = 1.0

#: Delay between the writes of gateways of successive ranks.
RANK_DELAY_S = 0.4


class ServiceKnowledge(NamedTuple):
    """What a gateway knows of a service whose streams are resumable.

    :param division: the division as known, None if there is none.
    :param record: its record as last read.
    :param slots: request slots of the servers that take new requests, by
        software version.
    :param slots_since_s: time since which the slots are unchanged, monotonic
        seconds.
    :param time_limit_s: longest time limit of the service's callers, seconds.
    """

    division: StreamDivision | None
    record: DivisionRecord
    slots: Mapping[str, int]
    slots_since_s: float
    time_limit_s: float


class DueWrite(NamedTuple):
    """A division that is to be written.

    :param division: the division.
    :param reason: why, for the log.
    :param is_own_knowledge: whether other gateways may lack the knowledge on
        which it is based.
    """

    division: StreamDivision
    reason: str
    is_own_knowledge: bool = False


def due_write(knowledge: ServiceKnowledge, now_s: float) -> DueWrite | None:
    """Return the division to write, if any.

    :param knowledge: what is known of the service.
    :param now_s: the present time, monotonic seconds.
    """
    known = knowledge.division
    if known is None:
        return _first(knowledge, now_s)
    known = known._replace(
        time_limit_s=max(known.time_limit_s, knowledge.time_limit_s)
    )
    current = without_lapsed(known, now_s)
    changed = next_division(current, knowledge.slots, now_s)
    is_stable = now_s - knowledge.slots_since_s >= STABLE_S
    if changed.number > known.number:
        if is_stable or not changed.announced:
            return DueWrite(changed, 'change')
    stored = knowledge.record.stored
    if stored is None or stored.number < known.number:
        restored = current._replace(number=known.number + 1)
        return DueWrite(restored, 'lost', is_own_knowledge=True)
    return _due_update(known, stored, now_s)


def write_delay_s(
    service: str,
    instance: str,
    owners: Iterable[str],
    instances: Iterable[str],
    *,
    is_own_knowledge: bool,
) -> float | None:
    """Return how long a gateway waits with a due write, None if it has none.

    :param service: name of the service.
    :param instance: name of this machine.
    :param owners: names of the machines that own groups.
    :param instances: names of all known machines.
    :param is_own_knowledge: whether other gateways may lack the knowledge on
        which the write is based.
    """
    first = rank(service, set(owners))
    if instance in first:
        return first.index(instance) * RANK_DELAY_S
    if first and not is_own_knowledge:
        return None
    others = rank(service, {instance, *instances}.difference(first))
    return (len(first) + others.index(instance)) * RANK_DELAY_S


def _first(knowledge: ServiceKnowledge, now_s: float) -> DueWrite | None:
    slots = knowledge.slots
    versions = sorted(
        (version for version, count in slots.items() if count > 0),
        key=lambda version: (-slots[version], version),
    )
    if not versions:
        return None
    division = first_division(versions, now_s)
    return DueWrite(
        division._replace(time_limit_s=knowledge.time_limit_s), 'first'
    )


def _due_update(
    known: StreamDivision, stored: StoredDivision, now_s: float
) -> DueWrite | None:
    """Return the division if its record lacks something."""
    if known.time_limit_s > stored.time_limit_s:
        return DueWrite(known, 'time limit', is_own_knowledge=True)
    if lacks_former(stored, known, now_s):
        return DueWrite(known, 'former', is_own_knowledge=True)
    if states_lower_age(stored, known, now_s):
        return DueWrite(known, 'age')
    return None
