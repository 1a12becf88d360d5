"""Keeps the view of the deployment in step with the platform's store."""

from __future__ import annotations

import asyncio

from wasabicross.events import Event
from wasabicross.gateway import metrics
from wasabicross.gateway.changes import ServerListed
from wasabicross.gateway.clock import now_s
from wasabicross.gateway.errors import HistoryGone, StoreUnavailable
from wasabicross.gateway.store import FleetStore, Snapshot, UnreadableEntry
from wasabicross.gateway.view import FleetView
from wasabicross.logs import log_event

#: Longest wait of a watch; a silent connection is noticed after it.
_WATCH_S = 2.0

#: Pause between watches, so that changes that come together cost one call;
#: longer where more gateways ask, up to what the age of a view allows.
_PAUSE_S = 0.6
_PAUSE_FOR_EACH_S = 0.01
_MAX_PAUSE_S = 1.4

_RETRY_S = 0.4


def pause_between_watches_s(instances: int) -> float:
    """Return how long a gateway rests between two watches.

    :param instances: gateways that watch.
    """
    return min(_MAX_PAUSE_S, _PAUSE_S + _PAUSE_FOR_EACH_S * instances)


class StoreFollower:
    """Reads the store once and then follows its changes.

    :param store: the platform's store.
    :param view: what is kept in step.
    """

    def __init__(self, store: FleetStore, view: FleetView) -> None:
        self._store = store
        self._view = view
        self._revision: int | None = None
        self._is_lost = False
        self._unreadable: dict[str, int] = {}
        self.has_read = asyncio.Event()

    async def run(self) -> None:
        """Follow until cancelled."""
        while True:
            operation = 'read' if self._revision is None else 'watch'
            outcome = 'done'
            pause_s = pause_between_watches_s(len(self._view.instances))
            try:
                await self._step()
            except HistoryGone:
                self._revision = None
                outcome = 'history gone'
                pause_s = 0
            except StoreUnavailable as exc:
                self._note_lost(str(exc))
                outcome = 'unavailable'
                pause_s = _RETRY_S
            metrics.STORE_CALLS.labels(operation, outcome).inc()
            await asyncio.sleep(pause_s)

    async def _step(self) -> None:
        if self._revision is None:
            await self._read()
            return
        seen = await self._store.watch(self._revision, _WATCH_S)
        self._take(seen)
        self._view.drop_lapsed(now_s())
        self._revision = max(self._revision, seen.revision)

    async def _read(self) -> None:
        seen = await self._store.read()
        self._take(seen)
        listed = frozenset(
            change.server.server_id
            for change in seen.changes
            if isinstance(change, ServerListed)
        )
        self._view.replace_servers(listed, now_s())
        self._revision = seen.revision
        self.has_read.set()

    def _take(self, seen: Snapshot) -> None:
        self._note_back()
        before = self._view.configuration
        for change in seen.changes:
            self._view.apply(change, now_s())
        current = self._view.configuration
        if current is not None and current is not before:
            metrics.CONFIGURATION_VERSION.set(current.version)
            log_event(Event.CONFIGURATION_TAKEN, version=current.version)
        for entry in seen.unreadable:
            self._note_unreadable(entry)

    def _note_unreadable(self, entry: UnreadableEntry) -> None:
        if self._unreadable.get(entry.key) != entry.revision:
            self._unreadable[entry.key] = entry.revision
            log_event(
                Event.ENTRY_UNREADABLE, key=entry.key, reason=entry.reason
            )

    def _note_lost(self, reason: str) -> None:
        if not self._is_lost:
            log_event(Event.STORE_LOST, reason=reason)
        self._is_lost = True
        self._view.on_store(now_s(), is_lost=True)

    def _note_back(self) -> None:
        if self._is_lost:
            log_event(Event.STORE_BACK)
        self._is_lost = False
        self._view.on_store(now_s(), is_lost=False)
