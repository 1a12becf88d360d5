"""Keeps the convictions of requests and parts of prompts in the store."""

from __future__ import annotations

import asyncio
import math

from wasabicross.gateway import metrics
from wasabicross.gateway.changes import ConvictionUpdate
from wasabicross.gateway.clock import now_s
from wasabicross.gateway.crashes.conviction_records import (
    is_write_due,
    stored_convictions,
)
from wasabicross.gateway.crashes.crash_sharing import CrashSharing
from wasabicross.gateway.error_containment import ErrorContainment
from wasabicross.gateway.errors import StoreUnavailable
from wasabicross.gateway.store import FleetStore
from wasabicross.gateway.view import FleetView
from wasabicross.runtime.events import Event
from wasabicross.runtime.logs import log_event
from wasabicross.runtime.rendezvous import rank

_CHECK_INTERVAL_S = 0.25

#: Pause between the times at which gateways write what the ones before them in
#: order haven't written, and the longest delay.
_TURN_S = 0.5
_MAX_DELAY_S = 5.0

#: Delay before the record is written again after a failed or conflicting write,
#: and after a written one.
_RETRY_DELAY_S = 1.0

#: What gateways are ordered by.
_RECORD = 'convictions'


class ConvictionKeeper:
    """Writes convictions where the record lacks them.

    :param instance: name of this machine.
    :param store: the store that holds the record.
    :param view: the record and the gateways as last read.
    :param sharing: what this gateway knows of crashes.
    """

    def __init__(
        self,
        instance: str,
        store: FleetStore,
        view: FleetView,
        sharing: CrashSharing,
    ) -> None:
        self._instance = instance
        self._store = store
        self._view = view
        self._sharing = sharing
        self._due_since_s = math.inf
        self._retry_at_s = -math.inf
        self._errors = ErrorContainment('convictions')

    async def run(self) -> None:
        """Keep the record until cancelled."""
        while True:
            with self._errors.contain('check'):
                await self.check(now_s())
            await asyncio.sleep(_CHECK_INTERVAL_S)

    async def check(self, at_s: float) -> None:
        """Write the record if that is due.

        :param at_s: the present time, monotonic seconds.
        """
        record = self._view.convictions.record
        if not is_write_due(record.stored, self._sharing.evidence):
            self._due_since_s = math.inf
            return
        self._due_since_s = min(self._due_since_s, at_s)
        if at_s >= max(self._due_since_s + self._delay_s(), self._retry_at_s):
            await self._write(record.revision, at_s)

    def _delay_s(self) -> float:
        """Return how long this gateway leaves the write to others."""
        order = rank(_RECORD, self._view.instances)
        turn = order.index(self._instance) if self._instance in order else 1
        return min(_MAX_DELAY_S, turn * _TURN_S)

    async def _write(self, revision: int, at_s: float) -> None:
        self._retry_at_s = at_s + _RETRY_DELAY_S
        stored = stored_convictions(self._sharing.evidence, at_s)
        try:
            written = await self._store.write_convictions(stored, revision)
        except StoreUnavailable as exc:
            metrics.STORE_CALLS.labels('write', 'unavailable').inc()
            log_event(Event.CONVICTIONS_NOT_WRITTEN, reason=str(exc))
            return
        outcome = 'conflict' if written is None else 'done'
        metrics.STORE_CALLS.labels('write', outcome).inc()
        if written is None:
            return
        log_event(
            Event.CONVICTIONS_WRITTEN,
            crashes=len(stored.crashes),
            acquitted=len(stored.acquitted),
        )
        self._view.apply(ConvictionUpdate(stored, written), now_s())
