"""Which software versions began streams that the division doesn't tell."""

from __future__ import annotations

from collections import OrderedDict
from typing import NamedTuple

from wasabicross.gateway.stream_divisions import (
    DEFAULT_TIME_LIMIT_S,
    MAX_KNOWLEDGE_AGE_S,
    StreamDivision,
    bucket_of,
    former_lapse_s,
    longest_age_s,
)
from wasabicross.runtime.rendezvous import rendezvous_hash

#: Age of a gateway's knowledge of the store from which on the division may have
#: changed elsewhere. While the store answers, the age stays below.
MAX_SETTLED_AGE_S = 3.0

#: Most streams that are remembered.
MAX_STREAMS = 65536


class _Entry(NamedTuple):
    """A remembered stream.

    :param software_version: what began it, None if several were named.
    :param until_s: time until which it is kept, monotonic seconds.
    """

    software_version: str | None
    until_s: float


class BegunStreams:
    """Remembers for a limited time which software versions began streams.

    :param limit: most streams; the oldest are forgotten first.
    """

    def __init__(self, limit: int = MAX_STREAMS) -> None:
        self._limit = limit
        self._entries: OrderedDict[bytes, _Entry] = OrderedDict()

    def __len__(self) -> int:
        """Return the number of streams."""
        return len(self._entries)

    def note(
        self, digest: bytes, software_version: str, keep_s: float, now_s: float
    ) -> None:
        """Remember a stream; it is unknown if it began at two versions.

        :param digest: stands for the stream.
        :param software_version: what began it.
        :param keep_s: how long to remember it, seconds.
        :param now_s: the present time, monotonic seconds.
        """
        self._forget_lapsed(now_s)
        entry = _Entry(software_version, now_s + keep_s)
        known = self._entries.pop(digest, None)
        if known is not None and known.until_s > now_s:
            if known.software_version != software_version:
                entry = entry._replace(software_version=None)
            until_s = max(entry.until_s, known.until_s)
            entry = entry._replace(until_s=until_s)
        self._entries[digest] = entry
        if len(self._entries) > self._limit:
            self._entries.popitem(last=False)

    def version(self, digest: bytes, now_s: float) -> str | None:
        """Return the software version that began a stream, None if unknown.

        :param digest: stands for the stream.
        :param now_s: the present time, monotonic seconds.
        """
        entry = self._entries.get(digest)
        if entry is None or entry.until_s <= now_s:
            return None
        return entry.software_version

    def _forget_lapsed(self, now_s: float) -> None:
        """Forget the oldest streams whose time is over."""
        while self._entries:
            oldest = next(iter(self._entries))
            if self._entries[oldest].until_s > now_s:
                return
            self._entries.pop(oldest)


def stream_digest(service: str, request_id: str) -> bytes:
    """Return the 8 bytes that stand for a stream.

    :param service: its service.
    :param request_id: id of the caller's attempt that began it.
    """
    return rendezvous_hash('begun stream', service, request_id)


def is_settled(
    division: StreamDivision | None,
    request_id: str,
    software_version: str,
    age_s: float,
    now_s: float,
) -> bool:
    """Return whether the division alone tells which version began a stream.

    :param division: the division of its service, None if there is none.
    :param request_id: id of the caller's attempt that began it.
    :param software_version: what began it.
    :param age_s: age of the gateway's knowledge of the store, seconds.
    :param now_s: the present time, monotonic seconds.
    """
    if division is None or division.announced or age_s > MAX_SETTLED_AGE_S:
        return False
    bucket = bucket_of(request_id)
    lapse_s = former_lapse_s(division)
    possible = {division.buckets[bucket]}
    possible.update(
        each.buckets[bucket]
        for each in division.former
        if now_s - each.ended_s < lapse_s
    )
    return possible == {software_version}


def keep_time_s(division: StreamDivision | None) -> float:
    """Return how long the streams of a service are remembered, seconds.

    :param division: the division of its service, None if there is none.
    """
    if division is None:
        return longest_age_s(DEFAULT_TIME_LIMIT_S) + MAX_KNOWLEDGE_AGE_S
    return former_lapse_s(division)
