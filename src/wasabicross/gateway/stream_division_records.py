"""Divisions of streams as stored for all gateways, and as merged from there.

A record states ages instead of times, since clocks of machines differ and jump.
A reader reckons from its own clock, so it takes each event for later than it
was, never for earlier.
"""

from __future__ import annotations

import math
from collections.abc import Iterable
from typing import NamedTuple

from wasabicross.gateway.stream_divisions import (
    SPREAD_S,
    Buckets,
    FormerBuckets,
    StreamDivision,
    former_lapse_s,
    without_lapsed,
)

#: Most former buckets in a record; the oldest ones are left out.
MAX_FORMER = 64

#: Ages of former buckets at which the record is written again, seconds.
_DUE_AGES_S = tuple(2**power for power in range(12))


class StoredFormer(NamedTuple):
    """Former buckets in a record.

    :param buckets: the software version of each bucket.
    :param age_s: least time since they were in force, seconds.
    """

    buckets: Buckets
    age_s: float


class StoredDivision(NamedTuple):
    """A division in a record; its fields are those of `StreamDivision`.

    :param announced_age_s: least time since the announcement, seconds.
    :param era: era of the store as its writer knew it.
    """

    number: int
    buckets: Buckets
    announced: Buckets
    announced_age_s: float
    former: tuple[StoredFormer, ...]
    time_limit_s: float
    era: int = 0


class DivisionRecord(NamedTuple):
    """The record of a service's division as last read from the store.

    :param stored: its content, None if that is unreadable.
    :param revision: position that the record has; one with revision 0 if it
        doesn't exist.
    """

    stored: StoredDivision | None
    revision: int


def stored_division(
    division: StreamDivision, now_s: float, era: int = 0
) -> StoredDivision:
    """Return what to store of a division.

    :param division: the division.
    :param now_s: the present time, monotonic seconds.
    :param era: era of the store.
    """
    former = [
        StoredFormer(buckets, max(0, now_s - ended_s))
        for buckets, ended_s in _latest_ends(division.former).items()
    ]
    former.sort(key=lambda each: each.age_s)
    age_s = max(0, now_s - division.announced_s) if division.announced else 0
    return StoredDivision(
        division.number,
        division.buckets,
        division.announced,
        age_s,
        tuple(former[:MAX_FORMER]),
        division.time_limit_s,
        era,
    )


def received_division(
    stored: StoredDivision, confirmed_s: float, now_s: float
) -> StreamDivision:
    """Return a division that has been read.

    :param stored: the content of its record.
    :param confirmed_s: time until which its announcement wasn't made, as this
        gateway knew the complete content of the store then.
    :param now_s: the present time, monotonic seconds.
    """
    return StreamDivision(
        stored.number,
        stored.buckets,
        stored.announced,
        now_s - stored.announced_age_s,
        tuple(
            FormerBuckets(each.buckets, now_s - each.age_s)
            for each in stored.former
        ),
        stored.time_limit_s,
        confirmed_s,
    )


def merged(
    known: StreamDivision | None, received: StreamDivision, now_s: float
) -> StreamDivision:
    """Return what is known of a division after it was read from the store.

    A lower number comes from an older copy of the store. It is not in force
    here, but gateways that know no other begin streams by it until the known
    division is stored again.

    :param known: the division as known, None if there is none.
    :param received: the division that was read.
    :param now_s: the present time, monotonic seconds.
    """
    if known is None:
        return received
    if received.number < known.number:
        return _with_former(
            known, FormerBuckets(received.buckets, now_s + SPREAD_S)
        )
    taken = received._replace(
        time_limit_s=max(known.time_limit_s, received.time_limit_s)
    )
    if _is_same(known, received):
        taken = taken._replace(
            announced_s=min(known.announced_s, received.announced_s),
            unannounced_s=known.unannounced_s,
        )
        if known.number == received.number:
            return taken._replace(
                former=_with_earlier_ends(known.former, received.former)
            )
    return _with_unstated(known, taken, now_s)


def lacks_former(
    stored: StoredDivision, division: StreamDivision, now_s: float
) -> bool:
    """Return whether a record has room for former buckets that it lacks.

    :param stored: the content of the record.
    :param division: the division as known.
    :param now_s: the present time, monotonic seconds.
    """
    stated = {each.buckets for each in stored.former}
    needed = {each.buckets for each in without_lapsed(division, now_s).former}
    return len(stored.former) < MAX_FORMER and not needed <= stated


def states_lower_age(
    stored: StoredDivision, division: StreamDivision, now_s: float
) -> bool:
    """Return whether former buckets are older than a record states.

    It is so at a few ages, the last of which is that at which they lapse.

    :param stored: the content of the record.
    :param division: the division as known.
    :param now_s: the present time, monotonic seconds.
    """
    ends_s = _latest_ends(division.former)
    lapse_s = former_lapse_s(division)
    due_ages_s = [age_s for age_s in _DUE_AGES_S if age_s < lapse_s]
    due_ages_s.append(lapse_s)
    return any(
        each.age_s < due_s <= now_s - ends_s.get(each.buckets, now_s)
        for each in stored.former
        for due_s in due_ages_s
    )


def _is_same(one: StreamDivision, other: StreamDivision) -> bool:
    return one.buckets == other.buckets and one.announced == other.announced


def _with_unstated(
    known: StreamDivision, taken: StreamDivision, now_s: float
) -> StreamDivision:
    """Add former buckets whose writer didn't know of them."""
    stated = {each.buckets for each in taken.former}
    unstated = [
        each
        for each in without_lapsed(known, now_s).former
        if each.buckets not in stated
    ]
    if known.buckets != taken.buckets and known.buckets not in stated:
        unstated.append(FormerBuckets(known.buckets, now_s))
    return taken._replace(former=(*taken.former, *unstated))


def _with_former(
    division: StreamDivision, added: FormerBuckets
) -> StreamDivision:
    if added.buckets == division.buckets:
        return division
    others = [each for each in division.former if each.buckets != added.buckets]
    return division._replace(former=(added, *others))


def _with_earlier_ends(
    known: Iterable[FormerBuckets], received: Iterable[FormerBuckets]
) -> tuple[FormerBuckets, ...]:
    """Return both with the earlier end, as each states an end too late."""
    known_s = _latest_ends(known)
    received_s = _latest_ends(received)
    return tuple(
        FormerBuckets(
            each,
            min(known_s.get(each, math.inf), received_s.get(each, math.inf)),
        )
        for each in known_s | received_s
    )


def _latest_ends(former: Iterable[FormerBuckets]) -> dict[Buckets, float]:
    """Return when each was last in force; some were so more than once."""
    ends_s: dict[Buckets, float] = {}
    for each in former:
        ends_s[each.buckets] = max(
            each.ended_s, ends_s.get(each.buckets, each.ended_s)
        )
    return ends_s
