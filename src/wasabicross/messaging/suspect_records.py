"""The states of suspects: requests that may have crashed a server.

Each process has a table of them and merges the records of other processes.
"""

from __future__ import annotations

import enum
from collections.abc import Iterable
from typing import NamedTuple

#: Seconds for which a record is kept after its request was last seen.
_RETENTION_S = 3600.0

#: Share of the retention time after which a record is renewed and the renewal
#: is sent to other processes.
_RENEWAL_SHARE = 0.5


class SuspectState(enum.IntEnum):
    """State of a suspect.

    Of two records of the same generation, the higher state takes precedence.
    """

    suspect = 1
    cleared = 2
    convicted = 3


class SuspectRecord(NamedTuple):
    """State of one suspect, as sent to other processes.

    :param fingerprint: digest of the request.
    :param generation: how many times it has become suspect.
    :param state: its `SuspectState` as a number.
    :param ttl_s: seconds for which the record remains valid.
    """

    fingerprint: bytes
    generation: int
    state: int
    ttl_s: float


class _Entry(NamedTuple):
    """State of one suspect in this process.

    :param confirmed: whether its server was certainly lost.
    :param until_s: monotonic seconds at which the entry expires.
    :param change: number of the change that wrote the entry.
    """

    generation: int
    state: SuspectState
    confirmed: bool
    until_s: float
    change: int


class SuspectTable:
    """A bounded table of the states of suspects, by fingerprint.

    It is not thread-safe: its owner holds a lock.

    :param retention_s: seconds for which an entry is kept after its request was
        last seen.
    :param max_records: maximum number of entries; cleared ones are evicted
        first, then suspects, then convicted ones, and of each state the least
        recently changed.
    """

    def __init__(
        self,
        retention_s: float = _RETENTION_S,
        max_records: int = 4096,
    ) -> None:
        self._retention_s = retention_s
        self._max_records = max_records
        self._entries: dict[bytes, _Entry] = {}
        self._last_change = 0

    def __len__(self) -> int:
        return len(self._entries)

    def state(self, request: bytes, now_s: float) -> SuspectState | None:
        """Return the state of a request, None if it is unknown."""
        entry = self._current(request, now_s)
        return entry.state if entry else None

    def is_confirmed(self, request: bytes, now_s: float) -> bool:
        """Return whether a server was certainly lost while it ran the request.

        :param request: fingerprint of the request.
        :param now_s: present time, monotonic seconds.
        """
        entry = self._current(request, now_s)
        return entry is not None and entry.confirmed

    def suspect(
        self,
        request: bytes,
        now_s: float,
        *,
        confirmed: bool = True,
        ttl_s: float | None = None,
    ) -> None:
        """Make a request suspect unless it is convicted.

        :param request: fingerprint of the request.
        :param now_s: present time, monotonic seconds.
        :param confirmed: whether its server was certainly lost; only then is
            the state sent to other processes.
        :param ttl_s: seconds for which it stays suspect.
        """
        known = self._current(request, now_s)
        generation = known.generation if known else 0
        if known and known.state is SuspectState.convicted:
            return
        if known and known.state is SuspectState.suspect:
            if not confirmed or known.confirmed:
                return
        else:
            generation += 1
        self._put(
            request,
            _Entry(
                generation,
                SuspectState.suspect,
                confirmed,
                now_s + (ttl_s or self._retention_s),
                0,
            ),
        )

    def clear(self, request: bytes, now_s: float) -> None:
        """Mark a suspect as cleared, as it has completed."""
        known = self._current(request, now_s)
        if known is None or known.state is not SuspectState.suspect:
            return
        if known.confirmed:
            self._put(request, known._replace(state=SuspectState.cleared))
        else:
            self._entries.pop(request)

    def convict(self, request: bytes, now_s: float) -> None:
        """Mark a request as convicted."""
        known = self._current(request, now_s)
        generation = known.generation if known else 1
        until_s = now_s + self._retention_s
        self._put(
            request,
            _Entry(generation, SuspectState.convicted, True, until_s, 0),
        )

    def renew(self, request: bytes, now_s: float) -> None:
        """Extend the entry of a convicted request that was sent again."""
        known = self._current(request, now_s)
        if (
            known
            and known.until_s - now_s <= self._retention_s * _RENEWAL_SHARE
        ):
            self._put(
                request, known._replace(until_s=now_s + self._retention_s)
            )

    def drop_unconfirmed(self, request: bytes, now_s: float) -> None:
        """Remove an unconfirmed suspect, as its server was not lost."""
        known = self._current(request, now_s)
        if known and not known.confirmed:
            self._entries.pop(request)

    def changed_since(
        self,
        number: int,
        now_s: float,
    ) -> tuple[int, tuple[SuspectRecord, ...]]:
        """Return the number of the last change, and the records changed.

        Only confirmed records are returned.

        :param number: the number that the previous call returned, 0 at first;
            only records with a later change are returned.
        :param now_s: present time, monotonic seconds.
        """
        changed = tuple(
            SuspectRecord(
                request,
                entry.generation,
                int(entry.state),
                entry.until_s - now_s,
            )
            for request, entry in self._entries.items()
            if entry.change > number
            and entry.confirmed
            and entry.until_s > now_s
        )
        return self._last_change, changed

    def merge(self, records: Iterable[SuspectRecord], now_s: float) -> None:
        """Merge records of another process.

        The result does not depend on the order of the records or on how often
        they are merged.
        """
        for record in records:
            ttl_s = min(record.ttl_s, self._retention_s)
            known = self._current(record.fingerprint, now_s)
            if known is None or self._is_newer(record, known, ttl_s, now_s):
                self._put(
                    record.fingerprint,
                    _Entry(
                        record.generation,
                        SuspectState(record.state),
                        True,
                        now_s + ttl_s,
                        0,
                    ),
                )

    def _is_newer(
        self,
        record: SuspectRecord,
        known: _Entry,
        ttl_s: float,
        now_s: float,
    ) -> bool:
        if not known.confirmed:
            return True
        received = (record.generation, record.state)
        if SuspectState.convicted in {record.state, known.state}:
            # A conviction takes precedence over every later generation.
            received = (0, record.state)
            held = (0, int(known.state))
        else:
            held = (known.generation, int(known.state))
        gained_s = ttl_s - (known.until_s - now_s)
        renewed = gained_s > self._retention_s * _RENEWAL_SHARE / 2
        return received > held or (received == held and renewed)

    def _current(self, request: bytes, now_s: float) -> _Entry | None:
        entry = self._entries.get(request)
        if entry and entry.until_s <= now_s:
            self._entries.pop(request)
            return None
        return entry

    def _put(self, request: bytes, entry: _Entry) -> None:
        self._last_change += 1
        self._entries.pop(request, None)
        if len(self._entries) >= self._max_records:
            self._evict_one()
        self._entries[request] = entry._replace(change=self._last_change)

    def _evict_one(self) -> None:
        eviction_order = (
            SuspectState.cleared,
            SuspectState.suspect,
            SuspectState.convicted,
        )
        evicted = min(
            self._entries,
            key=lambda each: eviction_order.index(self._entries[each].state),
        )
        self._entries.pop(evicted)
