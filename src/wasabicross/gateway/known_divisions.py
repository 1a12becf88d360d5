"""The divisions of streams as this process knows them from the store."""

from __future__ import annotations

import asyncio
import math
from collections import UserDict

from wasabicross.gateway.changes import StreamDivisionUpdate
from wasabicross.gateway.shared_outage import SharedOutage
from wasabicross.gateway.store_position import era_of, position
from wasabicross.gateway.stream_division_records import (
    DivisionRecord,
    merged,
    received_division,
)
from wasabicross.gateway.stream_divisions import (
    StreamDivision,
    former_lapse_s,
)
from wasabicross.gateway.stream_time_limits import (
    RouteTimeLimits,
    StreamTimeLimits,
)


class KnownDivisions(UserDict[str, StreamDivision]):
    """The newest known divisions by service, with their records."""

    def __init__(self) -> None:
        super().__init__()
        #: Time limits that callers stated on resumable routes.
        self.time_limits = StreamTimeLimits()
        self.route_limits = RouteTimeLimits()
        #: When a record from an older copy of the store was all that was known.
        self.restored_s = -math.inf
        #: What owners tell of an outage of the store.
        self.outage = SharedOutage()
        #: Set while a take-up waits for an answer of the store.
        self.is_confirmation_wanted = asyncio.Event()
        self._last_listed_s: dict[tuple[str, str], float] = {}
        self._records: dict[str, DivisionRecord] = {}
        self._positions: dict[str, int] = {}

    def record_for(self, service: str, era: int) -> DivisionRecord:
        """Return the record of a service as last read.

        :param service: name of the service.
        :param era: era of the store.
        """
        missing = DivisionRecord(None, position(era, 0))
        return self._records.get(service, missing)

    def note_listed(self, service: str, version: str, now_s: float) -> None:
        """Record that a server is listed though its version has no bucket.

        Mostly it leaves, and takes what late gateways send it.

        :param service: its service.
        :param version: its software version.
        :param now_s: the present time, monotonic seconds.
        """
        division = self.get(service)
        if division is not None and version not in division.buckets:
            self._last_listed_s[service, version] = now_s

    def last_listed_s(self, service: str, version: str) -> float:
        """Return when a server without buckets was last listed, monotonic seconds.

        :param service: its service.
        :param version: its software version.
        """
        return self._last_listed_s.get((service, version), -math.inf)

    def is_restored(self, service: str, now_s: float) -> bool:
        """Return whether a later division may have been lost with the store.

        Streams that it began may still be taken up.

        :param service: name of the service, whose division is known.
        :param now_s: the present time, monotonic seconds.
        """
        return now_s - self.restored_s < former_lapse_s(self[service])

    def on_new_content(self) -> None:
        """Forget the records, as the complete content is applied next."""
        self._records.clear()
        self._positions.clear()

    def apply(
        self, change: StreamDivisionUpdate, confirmed_s: float, now_s: float
    ) -> None:
        """Apply a change of a record; what is known stays if it is removed.

        :param change: the change.
        :param confirmed_s: time as of which the content of the store was known
            completely before, monotonic seconds.
        :param now_s: the present time, monotonic seconds.
        """
        service = change.service
        if change.revision <= self._positions.get(service, -1):
            return
        self._positions[service] = change.revision
        expected = change.revision
        if change.is_removed:
            expected = position(era_of(change.revision), 0)
        self._records[service] = DivisionRecord(change.stored, expected)
        if change.stored is None:
            return
        if service not in self and change.stored.era < era_of(change.revision):
            self.restored_s = now_s
        received = received_division(change.stored, confirmed_s, now_s)
        self[service] = merged(self.get(service), received, now_s)
