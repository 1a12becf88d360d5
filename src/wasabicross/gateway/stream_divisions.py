"""Which software version of a service each resumable stream keeps to.

What servers of two software versions write doesn't fit together, so a stream
goes on only at the version that began it. No gateway needs to remember streams
for that: the ids of the caller's attempts fall into buckets, and the division
of a service says which version begins the streams of each bucket. It changes
rarely and is kept in the store. Only streams of buckets that changed their
version while the caller was already waiting can't be told apart.
"""

from __future__ import annotations

import math
from collections import Counter
from collections.abc import Iterable, Mapping, Sequence
from typing import NamedTuple

from wasabicross.runtime.rendezvous import rendezvous_hash

#: Number of buckets, the least share of streams that a version can have.
BUCKETS = 32

#: How long a change is announced before it comes into force, longer than the
#: age of the knowledge with which a gateway resumes streams.
ANNOUNCED_S = 12.0

#: Most age of a gateway's knowledge with which it begins and resumes streams.
MAX_KNOWLEDGE_AGE_S = 5.0

#: Longest time between the moments at which gateways in touch with the store
#: learn of the same change.
SPREAD_S = 2.5

#: Time after the store has returned from an older copy in which gateways that
#: know a later division write it again.
REWRITE_S = 3.0

#: Least difference between a version's share of the slots and its share of the
#: buckets at which buckets move.
_MIN_IMBALANCE = 0.2

#: Attempts of one caller after which a stream may still be taken up, each of which
#: may have lasted for a whole time limit.
_MAX_ATTEMPTS = 2

#: Assumed longest time limit of callers while none is known.
DEFAULT_TIME_LIMIT_S = 60.0

Buckets = tuple[str, ...]


class FormerBuckets(NamedTuple):
    """Buckets that were in force before, and whose streams may still return.

    :param buckets: the software version of each bucket.
    :param ended_s: when they were in force last, monotonic seconds; at the
        latest if the exact time isn't known.
    """

    buckets: Buckets
    ended_s: float

    def versions_for(self, resumes: str) -> frozenset[str]:
        """Return the software versions that may have begun a stream.

        :param resumes: id of the caller's attempt that began it, empty if it
            isn't known.
        """
        return _versions_for(self.buckets, resumes)


class StreamDivision(NamedTuple):
    """The division of a service's streams among its software versions.

    :param number: rises with each change of the buckets or the announcement.
    :param buckets: the software version of each bucket.
    :param announced: the buckets that come into force next, empty if no change
        is announced.
    :param announced_s: when they were announced, monotonic seconds.
    :param former: the buckets that were in force before.
    :param time_limit_s: longest time limit of the service's callers, seconds.
    :param unannounced_s: time until which the change wasn't announced, where
        that is known to be earlier than `announced_s`, monotonic seconds.
    """

    number: int
    buckets: Buckets
    announced: Buckets = ()
    announced_s: float = 0
    former: tuple[FormerBuckets, ...] = ()
    time_limit_s: float = DEFAULT_TIME_LIMIT_S
    unannounced_s: float = math.inf

    def version_for(self, request_id: str) -> str:
        """Return the software version that begins a stream.

        :param request_id: id of the caller's attempt.
        """
        return self.buckets[bucket_of(request_id)]

    def may_begin(
        self, request_id: str, confirmed_s: float, now_s: float
    ) -> bool:
        """Return whether a stream may begin at the version of its bucket.

        Not so if another version may be in force elsewhere for longer than
        gateways in touch with the store differ.

        :param request_id: id of the caller's attempt.
        :param confirmed_s: time as of which this division is known to be in
            force, monotonic seconds.
        :param now_s: the present time, monotonic seconds.
        """
        if now_s - confirmed_s <= SPREAD_S or not self._is_announced_due(now_s):
            return True
        number = bucket_of(request_id)
        return self.announced[number] == self.buckets[number]

    def possible_versions(
        self,
        resumes: str,
        since_s: float,
        now_s: float,
        *,
        is_confirmed: bool = False,
    ) -> frozenset[str]:
        """Return the software versions that may have begun a stream.

        :param resumes: id of the caller's attempt that began it, empty if it
            isn't known.
        :param since_s: time before which it can't have begun, monotonic
            seconds.
        :param now_s: the present time, monotonic seconds.
        :param is_confirmed: whether this division was in force after the
            stream had broken off.
        """
        possible = self._possible_buckets(
            since_s, now_s, is_confirmed=is_confirmed
        )
        return frozenset().union(
            *(_versions_for(buckets, resumes) for buckets in possible)
        )

    def _possible_buckets(
        self, since_s: float, now_s: float, *, is_confirmed: bool
    ) -> list[Buckets]:
        """Return the buckets that were in force at some gateway."""
        possible = [self.buckets]
        possible.extend(
            each.buckets
            for each in self.former
            if each.ended_s + MAX_KNOWLEDGE_AGE_S >= since_s
        )
        if self._is_announced_due(now_s) and not is_confirmed:
            possible.append(self.announced)
        return possible

    def _is_announced_due(self, now_s: float) -> bool:
        """Return whether the announced buckets may be in force elsewhere."""
        earliest_s = min(self.announced_s - SPREAD_S, self.unannounced_s)
        return bool(self.announced) and now_s >= earliest_s + ANNOUNCED_S


def bucket_of(request_id: str) -> int:
    """Return the bucket of a caller's attempt.

    :param request_id: its id, of any length.
    """
    return rendezvous_hash('stream', request_id)[0] % BUCKETS


def _versions_for(buckets: Buckets, resumes: str) -> frozenset[str]:
    if not resumes:
        return frozenset(buckets)
    return frozenset((buckets[bucket_of(resumes)],))


def first_division(versions: Iterable[str], now_s: float) -> StreamDivision:
    """Return the division of a service that has none yet.

    Of several versions any may have begun a stream before.

    :param versions: software versions of its servers, the one that takes all
        streams first.
    :param now_s: the present time, monotonic seconds.
    """
    alone = [(version,) * BUCKETS for version in versions]
    former = () if len(alone) == 1 else alone
    return StreamDivision(
        1,
        alone[0],
        former=tuple(FormerBuckets(each, now_s) for each in former),
    )


def next_division(
    division: StreamDivision, slots: Mapping[str, int], now_s: float
) -> StreamDivision:
    """Return the division with which to replace one, itself if it may stay.

    Buckets of a version without any server that takes new requests move at
    once, as their streams could begin nowhere; other changes are announced
    first.

    :param division: the division in force.
    :param slots: request slots of the servers that take new requests, by
        software version.
    :param now_s: the present time, monotonic seconds.
    """
    shares = _shares(slots)
    if not shares:
        return division
    if any(version not in shares for version in division.buckets):
        return _put_in_force(
            division, _without_gone(division.buckets, shares), now_s
        )
    if division.announced:
        return _after_announcement(division, shares, now_s)
    if _imbalance(division.buckets, shares) < _MIN_IMBALANCE:
        return division
    return division._replace(
        number=division.number + 1,
        announced=_balanced(division.buckets, shares),
        announced_s=now_s,
        unannounced_s=math.inf,
    )


def without_lapsed(division: StreamDivision, now_s: float) -> StreamDivision:
    """Return a division without the former buckets that no caller resumes.

    :param division: the division.
    :param now_s: the present time, monotonic seconds.
    """
    lapse_s = former_lapse_s(division)
    former = tuple(
        each for each in division.former if now_s - each.ended_s < lapse_s
    )
    return division._replace(former=former)


def longest_age_s(time_limit_s: float) -> float:
    """Return how long ago at most a stream began that is taken up, seconds.

    :param time_limit_s: longest time limit of the service's callers, seconds.
    """
    return _MAX_ATTEMPTS * time_limit_s


def former_lapse_s(division: StreamDivision) -> float:
    """Return the age from which on no caller resumes former buckets, seconds.

    :param division: the division.
    """
    return longest_age_s(division.time_limit_s) + MAX_KNOWLEDGE_AGE_S


def _after_announcement(
    division: StreamDivision, shares: Mapping[str, float], now_s: float
) -> StreamDivision:
    """Return the announced division once its time has come."""
    if any(version not in shares for version in division.announced):
        return division._replace(number=division.number + 1, announced=())
    if now_s - division.announced_s < ANNOUNCED_S:
        return division
    return _put_in_force(division, division.announced, now_s)


def _put_in_force(
    division: StreamDivision, buckets: Buckets, now_s: float
) -> StreamDivision:
    ended = FormerBuckets(division.buckets, now_s)
    return division._replace(
        number=division.number + 1,
        buckets=buckets,
        announced=(),
        former=(ended, *without_lapsed(division, now_s).former),
    )


def _shares(slots: Mapping[str, int]) -> dict[str, float]:
    """Return each version's share of the slots, without those that have none."""
    total = sum(slots.values())
    return {
        version: count / total
        for version, count in sorted(slots.items())
        if count > 0
    }


def _imbalance(buckets: Buckets, shares: Mapping[str, float]) -> float:
    """Return the largest difference between a version's two shares."""
    counts = Counter(buckets)
    return max(
        abs(share - counts[version] / BUCKETS)
        for version, share in shares.items()
    )


def _balanced(buckets: Buckets, shares: Mapping[str, float]) -> Buckets:
    """Return buckets by the versions' shares, with as few moves as possible."""
    room = {
        version: round(share * BUCKETS) for version, share in shares.items()
    }
    kept: list[str | None] = []
    for version in buckets:
        has_room = room.get(version, 0) > 0
        kept.append(version if has_room else None)
        room[version] = room.get(version, 0) - 1
    return _filled(kept, shares)


def _without_gone(buckets: Buckets, shares: Mapping[str, float]) -> Buckets:
    """Return buckets of which only those of versions without a share move."""
    kept = [version if version in shares else None for version in buckets]
    return _filled(kept, shares)


def _filled(kept: Sequence[str | None], shares: Mapping[str, float]) -> Buckets:
    """Return buckets whose gaps go to the versions that lack most."""
    counts = Counter(version for version in kept if version is not None)
    filled: list[str] = []
    for version in kept:
        if version is None:
            version = _lacking_most(counts, shares)
            counts[version] += 1
        filled.append(version)
    return tuple(filled)


def _lacking_most(counts: Counter[str], shares: Mapping[str, float]) -> str:
    """Return the version whose share of the buckets is lowest for its slots."""
    return max(
        shares, key=lambda version: shares[version] * BUCKETS - counts[version]
    )
