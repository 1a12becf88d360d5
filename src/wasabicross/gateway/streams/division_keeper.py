"""Keeps the division of each service's resumable streams in the store."""

from __future__ import annotations

import asyncio
import math
from collections import Counter, defaultdict

from wasabicross.gateway import metrics
from wasabicross.gateway.changes import StreamDivisionUpdate
from wasabicross.gateway.clock import now_s
from wasabicross.gateway.configuration import Configuration
from wasabicross.gateway.error_containment import ErrorContainment
from wasabicross.gateway.errors import StoreUnavailable
from wasabicross.gateway.store import FleetStore
from wasabicross.gateway.store_position import era_of
from wasabicross.gateway.stream_division_records import (
    DivisionRecord,
    stored_division,
)
from wasabicross.gateway.stream_divisions import (
    MAX_KNOWLEDGE_AGE_S,
    REWRITE_S,
    StreamDivision,
)
from wasabicross.gateway.streams.division_decisions import (
    LOST,
    DueWrite,
    ServiceKnowledge,
    VersionSlots,
    due_write,
    updated_slots,
    write_delay_s,
)
from wasabicross.gateway.streams.service_versions import listed_versions
from wasabicross.gateway.view import FleetView
from wasabicross.runtime.events import Event
from wasabicross.runtime.logs import log_event

_CHECK_INTERVAL_S = 0.25

#: Delay before a division is written again after a failed or conflicting write.
_RETRY_DELAY_S = 0.6

#: Least interval between two writes of one gateway because the record is lost
#: or unreadable, as another program may write it too.
_LOST_INTERVAL_S = 5.0

#: Longest time limit of a route that counts.
_MAX_ROUTE_LIMIT_S = 3600.0


class DivisionKeeper:
    """Writes divisions of streams where they are to change.

    :param instance: name of this machine.
    :param store: the store that holds the divisions.
    :param view: the divisions, servers and gateways as last read.
    """

    def __init__(
        self, instance: str, store: FleetStore, view: FleetView
    ) -> None:
        self._instance = instance
        self._store = store
        self._view = view
        self._slots: dict[str, VersionSlots] = {}
        self._due_since_s: dict[str, float] = {}
        self._retry_at_s: dict[str, float] = {}
        self._unavailable_until_s = -math.inf
        self._lost_until_s: dict[str, float] = {}
        self._taken: dict[str, int] = {}
        self._errors = ErrorContainment('divisions')

    async def run(self) -> None:
        """Keep the divisions until cancelled."""
        while True:
            with self._errors.contain('check'):
                await self.check()
            await asyncio.sleep(_CHECK_INTERVAL_S)

    async def check(self) -> None:
        """Write the divisions that are due."""
        cfg = self._view.configuration
        self._log_taken()
        self._note_listed()
        if cfg is None or self._is_outdated(now_s()):
            return
        limits_s = resumable_limits_s(cfg)
        slots = slots_by_version(self._view)
        for service, limit_s in limits_s.items():
            with self._errors.contain(service):
                await self._check_service(service, limit_s, slots[service])

    def _is_outdated(self, at_s: float) -> bool:
        """Return whether the view is too old to decide by it."""
        return at_s - self._view.confirmed_s > MAX_KNOWLEDGE_AGE_S

    async def _check_service(
        self, service: str, limit_s: float, slots: dict[str, int]
    ) -> None:
        at_s = now_s()
        self._slots[service] = updated_slots(
            self._slots.get(service), slots, at_s
        )
        due = self._due_write(service, limit_s, at_s)
        if due is None:
            self._due_since_s.pop(service, None)
            return
        since_s = self._due_since_s.setdefault(service, at_s)
        delay_s = self._delay_s(service, due)
        if delay_s is None or at_s < since_s + delay_s:
            return
        if at_s >= self._retry_due_s(service, due):
            await self._write(service, due, at_s)

    def _due_write(
        self, service: str, limit_s: float, at_s: float
    ) -> DueWrite | None:
        knowledge = ServiceKnowledge(
            self._view.divisions.get(service),
            self._record(service),
            self._slots[service],
            max(limit_s, self._view.divisions.time_limits.longest_s(service)),
            self._view.content_known_since_s,
            listed_versions(self._view, service),
            is_sure=self._is_sure(service, at_s),
        )
        return due_write(knowledge, at_s)

    def _is_sure(self, service: str, at_s: float) -> bool:
        """Return whether no later division can have been lost with the store."""
        divisions = self._view.divisions
        if service not in divisions or divisions.is_restored(service, at_s):
            return False
        return at_s - self._view.restored_s >= REWRITE_S

    def _record(self, service: str) -> DivisionRecord:
        era = self._view.era or 0
        return self._view.divisions.record_for(service, era)

    def _delay_s(self, service: str, due: DueWrite) -> float | None:
        owners = [
            record.instance
            for record in self._view.owners.values()
            if record.instance and not record.is_released
        ]
        return write_delay_s(
            service,
            self._instance,
            owners,
            self._view.instances,
            is_own_knowledge=due.is_own_knowledge,
        )

    def _retry_due_s(self, service: str, due: DueWrite) -> float:
        """Return the time before which a write may not follow the last one."""
        retry_at_s = max(
            self._retry_at_s.get(service, -math.inf), self._unavailable_until_s
        )
        if due.reason == LOST:
            return max(retry_at_s, self._lost_until_s.get(service, -math.inf))
        return retry_at_s

    async def _write(self, service: str, due: DueWrite, at_s: float) -> None:
        # Ages as of the decision: what it ends is in force until the write,
        # which is late if the process is frozen before it.
        expected = self._record(service).revision
        try:
            revision = await self._store.write_division(
                service, due.division, expected, at_s
            )
        except StoreUnavailable as exc:
            metrics.STORE_CALLS.labels('write', 'unavailable').inc()
            log_event(
                Event.DIVISION_WRITE_FAILED, service=service, reason=str(exc)
            )
            self._unavailable_until_s = now_s() + _RETRY_DELAY_S
            return
        outcome = 'conflict' if revision is None else 'done'
        metrics.STORE_CALLS.labels('write', outcome).inc()
        if revision is None:
            self._retry_at_s[service] = now_s() + _RETRY_DELAY_S
            return
        _log(Event.DIVISION_WRITTEN, service, due.division, due.reason)
        if due.reason == LOST:
            self._lost_until_s[service] = at_s + _LOST_INTERVAL_S
        stored = stored_division(due.division, at_s, era_of(revision))
        self._view.apply(
            StreamDivisionUpdate(service, stored, revision), now_s()
        )

    def _note_listed(self) -> None:
        """Record which versions without buckets have servers at present."""
        at_s = now_s()
        for server in self._view.servers.values():
            self._view.divisions.note_listed(
                server.service, server.software_version, at_s
            )

    def _log_taken(self) -> None:
        """Log the divisions that have changed since the last check."""
        for service, division in self._view.divisions.items():
            if self._taken.get(service) != division.number:
                self._taken[service] = division.number
                metrics.STREAM_DIVISION.labels(service).set(division.number)
                _log(Event.DIVISION_TAKEN, service, division)


def resumable_limits_s(cfg: Configuration) -> dict[str, float]:
    """Return the services with resumable streams and their longest time limit.

    :param cfg: the configuration.
    """
    limits_s: dict[str, float] = {}
    for route in cfg.routes:
        if route.is_resumable:
            for share in route.shares:
                limits_s[share.service] = max(
                    min(route.timeout_s, _MAX_ROUTE_LIMIT_S),
                    limits_s.get(share.service, 0),
                )
    return limits_s


def slots_by_version(view: FleetView) -> defaultdict[str, dict[str, int]]:
    """Return the slots of servers that take new requests.

    :param view: the servers.
    :return: slots by service and software version.
    """
    slots: defaultdict[str, dict[str, int]] = defaultdict(dict)
    for server in view.servers.values():
        if not server.is_leaving and not view.notices.is_leaving(server):
            of_service = slots[server.service]
            version = server.software_version
            of_service[version] = of_service.get(version, 0) + server.slots
    return slots


def _log(
    event: Event, service: str, division: StreamDivision, reason: str = ''
) -> None:
    fields = {'reason': reason} if reason else {}
    log_event(
        event,
        service=service,
        number=division.number,
        versions=dict(Counter(division.buckets)),
        announced=dict(Counter(division.announced)),
        **fields,
    )
