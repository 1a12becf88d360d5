"""What processes know and tell each other of requests that crash servers."""

from __future__ import annotations

import enum
from collections.abc import Iterable
from typing import NamedTuple

#: Seconds for which suspects and convicts are remembered after they were last
#: seen.
_KEEP_S = 3600.0

#: Share of its time that a record has lost when a renewal is told to others.
_RENEW_SHARE = 0.5


class SuspectState(enum.IntEnum):
    """Standing of a request; of one generation, the higher holds."""

    suspect = 1
    cleared = 2
    convicted = 3


class SuspectRecord(NamedTuple):
    """Standing of one request, as told to other processes.

    :param fingerprint: digest of the request.
    :param generation: how many times it has become suspect.
    :param state: its `State` as a number.
    :param ttl_s: seconds for which the record goes on to hold.
    """

    fingerprint: bytes
    generation: int
    state: int
    ttl_s: float


class _Standing(NamedTuple):
    """Standing of one request in this process."""

    generation: int
    state: SuspectState
    confirmed: bool
    until_s: float
    number: int


class SuspectTable:
    """Remembers the standing of suspect requests, bounded and mergeable.

    Not thread-safe: its owner holds a lock.

    :param keep_s: seconds for which a record holds after it was last seen.
    :param max_records: most records kept; cleared ones are dropped first, then
        suspects, then convicts, of each the least recently changed.
    """

    def __init__(
        self,
        keep_s: float = _KEEP_S,
        max_records: int = 4096,
    ) -> None:
        self._keep_s = keep_s
        self._max_records = max_records
        self._standings: dict[bytes, _Standing] = {}
        self._number = 0

    def __len__(self) -> int:
        return len(self._standings)

    def state(self, request: bytes, now_s: float) -> SuspectState | None:
        """Tell a request's standing, none where nothing is known of it."""
        standing = self._present(request, now_s)
        return standing.state if standing else None

    def is_confirmed(self, request: bytes, now_s: float) -> bool:
        """Tell whether a server was surely lost with the request under way."""
        standing = self._present(request, now_s)
        return standing is not None and standing.confirmed

    def suspect(
        self,
        request: bytes,
        now_s: float,
        *,
        confirmed: bool = True,
        ttl_s: float | None = None,
    ) -> None:
        """Make a request suspect; one that is convicted stays so.

        :param confirmed: whether its server was surely lost; others are told
            only then.
        :param ttl_s: seconds for which it stays suspect.
        """
        known = self._present(request, now_s)
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
            _Standing(
                generation,
                SuspectState.suspect,
                confirmed,
                now_s + (ttl_s or self._keep_s),
                0,
            ),
        )

    def clear(self, request: bytes, now_s: float) -> None:
        """Clear a suspect that has completed."""
        known = self._present(request, now_s)
        if known is None or known.state is not SuspectState.suspect:
            return
        if known.confirmed:
            self._put(request, known._replace(state=SuspectState.cleared))
        else:
            self._standings.pop(request)

    def convict(self, request: bytes, now_s: float) -> None:
        """Convict a request."""
        known = self._present(request, now_s)
        generation = known.generation if known else 1
        until_s = now_s + self._keep_s
        self._put(
            request,
            _Standing(generation, SuspectState.convicted, True, until_s, 0),
        )

    def renew(self, request: bytes, now_s: float) -> None:
        """Keep a convict's record, since the request was sent again."""
        known = self._present(request, now_s)
        if known and known.until_s - now_s <= self._keep_s * _RENEW_SHARE:
            self._put(request, known._replace(until_s=now_s + self._keep_s))

    def drop_unconfirmed(self, request: bytes, now_s: float) -> None:
        """Forget a suspicion that turned out to be unfounded."""
        known = self._present(request, now_s)
        if known and not known.confirmed:
            self._standings.pop(request)

    def changed_since(
        self,
        number: int,
        now_s: float,
    ) -> tuple[int, tuple[SuspectRecord, ...]]:
        """Return the confirmed records changed since a number, and the last.

        :param number: the number returned by the call before, 0 at first.
        """
        changed = tuple(
            SuspectRecord(
                request,
                standing.generation,
                int(standing.state),
                standing.until_s - now_s,
            )
            for request, standing in self._standings.items()
            if standing.number > number
            and standing.confirmed
            and standing.until_s > now_s
        )
        return self._number, changed

    def merge(self, records: Iterable[SuspectRecord], now_s: float) -> None:
        """Take in records of another process, in any order and repeatedly."""
        for record in records:
            ttl_s = min(record.ttl_s, self._keep_s)
            known = self._present(record.fingerprint, now_s)
            if known is None or self._is_newer(record, known, ttl_s, now_s):
                self._put(
                    record.fingerprint,
                    _Standing(
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
        known: _Standing,
        ttl_s: float,
        now_s: float,
    ) -> bool:
        if not known.confirmed:
            return True
        told = (record.generation, record.state)
        if SuspectState.convicted in {record.state, known.state}:
            # A conviction outlasts any later generation.
            told = (0, record.state)
            held = (0, int(known.state))
        else:
            held = (known.generation, int(known.state))
        gained_s = ttl_s - (known.until_s - now_s)
        renewed = gained_s > self._keep_s * _RENEW_SHARE / 2
        return told > held or (told == held and renewed)

    def _present(self, request: bytes, now_s: float) -> _Standing | None:
        standing = self._standings.get(request)
        if standing and standing.until_s <= now_s:
            self._standings.pop(request)
            return None
        return standing

    def _put(self, request: bytes, standing: _Standing) -> None:
        self._number += 1
        self._standings.pop(request, None)
        if len(self._standings) >= self._max_records:
            self._drop_one()
        self._standings[request] = standing._replace(number=self._number)

    def _drop_one(self) -> None:
        order = (
            SuspectState.cleared,
            SuspectState.suspect,
            SuspectState.convicted,
        )
        dropped = min(
            self._standings,
            key=lambda each: order.index(self._standings[each].state),
        )
        self._standings.pop(dropped)
