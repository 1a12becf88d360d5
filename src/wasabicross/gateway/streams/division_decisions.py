"""Decides what to write of the division of a service's streams, and who does.

Of all gateways those that own groups write, one after the other. What only some
gateways know, for instance after the store has returned from an older copy, any
of them writes.
"""

from __future__ import annotations

from collections.abc import Iterable, Mapping
from typing import NamedTuple

from wasabicross.gateway.store_position import era_of
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

#: Reason of a write because the store has an older division or none.
LOST = 'lost'

#: How long the content of the store must be known before the first division.
SETTLED_S = 2.0

#: How long the slots of the versions must be unchanged before a change is
#: announced.
STABLE_S = 1.0

#: Longest time for which slots that go on changing delay an announcement.
_MAX_UNSTABLE_S = 4.0

#: Delay between the writes of gateways of successive ranks.
RANK_DELAY_S = 0.4


class VersionSlots(NamedTuple):
    """Request slots of a service's servers that take new requests.

    :param by_version: the slots by software version.
    :param since_s: time since which they are unchanged, monotonic seconds.
    :param unstable_since_s: time at which they changed after they had been
        stable, monotonic seconds.
    """

    by_version: Mapping[str, int]
    since_s: float
    unstable_since_s: float

    def is_stable(self, now_s: float) -> bool:
        """Return whether a change may be announced.

        :param now_s: the present time, monotonic seconds.
        """
        return (
            now_s - self.since_s >= STABLE_S
            or now_s - self.unstable_since_s >= _MAX_UNSTABLE_S
        )


class ServiceKnowledge(NamedTuple):
    """What a gateway knows of a service whose streams are resumable.

    :param division: the division as known, None if there is none.
    :param record: its record as last read.
    :param slots: request slots of the servers that take new requests.
    :param time_limit_s: longest time limit of the service's callers, seconds.
    :param content_since_s: time since which the content of the store is known,
        monotonic seconds.
    :param listed: versions of all its servers, also of those that leave.
    :param is_sure: whether no later division can have been lost with the store.
    """

    division: StreamDivision | None
    record: DivisionRecord
    slots: VersionSlots
    time_limit_s: float
    content_since_s: float
    listed: frozenset[str] = frozenset()
    is_sure: bool = False


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


def updated_slots(
    known: VersionSlots | None, slots: Mapping[str, int], now_s: float
) -> VersionSlots:
    """Return the slots after a look at the servers.

    :param known: the slots as known before, None at the first look.
    :param slots: the slots by software version.
    :param now_s: the present time, monotonic seconds.
    """
    if known is None:
        return VersionSlots(slots, now_s, now_s)
    if known.by_version == slots:
        return known
    was_stable = now_s - known.since_s >= STABLE_S
    return VersionSlots(
        slots, now_s, now_s if was_stable else known.unstable_since_s
    )


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
    slots = knowledge.slots
    changed = next_division(current, slots.by_version, now_s)
    if changed.number > known.number:
        if slots.is_stable(now_s) or not changed.announced:
            return DueWrite(changed, 'change')
    stored = knowledge.record.stored
    if stored is None or stored.number < known.number:
        restored = current._replace(number=known.number + 1)
        return DueWrite(restored, LOST, is_own_knowledge=True)
    if knowledge.is_sure and stored.era < era_of(knowledge.record.revision):
        return DueWrite(known, 'era')
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
    slots = knowledge.slots.by_version
    versions = sorted(
        (version for version, count in slots.items() if count > 0),
        key=lambda version: (-slots[version], version),
    )
    if not versions or now_s - knowledge.content_since_s < SETTLED_S:
        return None
    leaving = sorted(knowledge.listed.difference(versions))
    division = first_division((*versions, *leaving), now_s)
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
