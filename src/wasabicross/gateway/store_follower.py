"""Keeps the view of the deployment in step with the platform's store."""

from __future__ import annotations

import asyncio
from collections.abc import Awaitable, Callable

from wasabicross.gateway import metrics
from wasabicross.gateway.changes import ServerEntryUpdate
from wasabicross.gateway.clock import now_s
from wasabicross.gateway.errors import HistoryGone, StoreUnavailable
from wasabicross.gateway.messages import StoreStatus, StoreUpdate
from wasabicross.gateway.store import FleetStore, StoreResult, UnreadableEntry
from wasabicross.gateway.store_copy import StoreCopy
from wasabicross.gateway.store_relay import RelayStatuses, StoreRelay
from wasabicross.gateway.view import FleetView
from wasabicross.runtime.events import Event
from wasabicross.runtime.logs import log_event

#: Longest wait of a watch. A silent connection is noticed after it, and until
#: then the gateways that rely on this one miss what changes.
_WATCH_S = 0.4

#: Pause between watches, so that changes that come together cost one call;
#: longer where more gateways ask, up to what the age of a view allows.
_PAUSE_S = 0.6
_PAUSE_FOR_EACH_S = 0.01
_MAX_PAUSE_S = 1.4

#: Least pause after a call without an answer.
_RETRY_S = 0.4

#: Pause between looks while relays tell what changes.
_RELAYED_PAUSE_S = 0.25


def watch_interval_s(instances: int) -> float:
    """Return how long a gateway rests between two watches.

    :param instances: gateways that watch.
    """
    return min(_MAX_PAUSE_S, _PAUSE_S + _PAUSE_FOR_EACH_S * instances)


def retry_interval_s(instances: int) -> float:
    """Return how long a gateway rests after a call without an answer.

    :param instances: gateways that ask.
    """
    return max(_RETRY_S, _PAUSE_FOR_EACH_S * instances)


class StoreFollower:
    """Reads the store once and then follows its changes.

    :param store: the platform's store.
    :param view: what is kept in step.
    :param relay: passes on what this gateway watches.
    :param is_relay: tells whether other gateways may rely on this one, so
        that it has to ask the store itself.
    :param request_copy: asks other gateways for what they know, where the store
        didn't answer the first read.
    """

    def __init__(
        self,
        store: FleetStore,
        view: FleetView,
        relay: StoreRelay,
        is_relay: Callable[[], bool],
        request_copy: Callable[[], Awaitable[StoreUpdate | None]],
    ) -> None:
        self._store = store
        self._view = view
        self._relay = relay
        self._is_relay = is_relay
        self._ask_others = request_copy
        #: What is known of the store's content.
        self.copy = StoreCopy()
        self._statuses = RelayStatuses()
        self._revision: int | None = None
        self._is_lost = False
        self._unreadable: dict[str, int] = {}
        self.is_initialised = asyncio.Event()

    async def run(self) -> None:
        """Follow until cancelled."""
        while True:
            if self._follows_relay():
                self._note_back()
                # It passes nothing on while it asks nothing.
                self._relay.on_store_lost()
                self._view.drop_lapsed(now_s())
                await asyncio.sleep(_RELAYED_PAUSE_S)
                continue
            await asyncio.sleep(await self._ask())

    def on_status(self, relay: str, status: StoreStatus) -> None:
        """Take in how a relay stands with the store.

        :param relay: IP number of the relay.
        :param status: what it says.
        """
        self._statuses.on_status(relay, status, now_s())

    def on_update(self, news: StoreUpdate) -> None:
        """Take in changes that a relay has watched.

        What doesn't follow on what is known is left out; the relay's
        status then shows that something is missing.

        :param news: the changes.
        """
        known = self._revision
        if known is None or news.since > known or news.revision <= known:
            return
        items = tuple(item for item in news.items if item.revision > known)
        self._revision = news.revision
        self._take(self._store.decode(items, news.revision))

    def _follows_relay(self) -> bool:
        if self._revision is None or self._is_relay():
            return False
        return self._statuses.is_current(self._revision, now_s())

    async def _ask(self) -> float:
        """Ask the store; return the pause until the next call."""
        operation = 'read' if self._revision is None else 'watch'
        outcome = 'done'
        pause_s = watch_interval_s(self._watchers())
        try:
            await self._step()
        except HistoryGone:
            self._revision = None
            outcome = 'history gone'
            pause_s = 0
        except StoreUnavailable as exc:
            self._note_lost(str(exc))
            await self._learn_from_others()
            outcome = 'unavailable'
            pause_s = retry_interval_s(self._watchers())
        metrics.STORE_CALLS.labels(operation, outcome).inc()
        return pause_s

    async def _learn_from_others(self) -> None:
        """Start from the copy of another gateway if nothing is known yet."""
        if self._revision is not None or self.is_initialised.is_set():
            return
        news = await self._ask_others()
        if news is None or self.is_initialised.is_set():
            return
        log_event(Event.COPY_TAKEN, revision=news.revision)
        self._revision = news.revision
        self.copy.replace(news.items, news.revision)
        self._apply(self._store.decode(news.items, news.revision))
        self.is_initialised.set()

    def _watchers(self) -> int:
        """Return how many gateways ask the store, as far as is known."""
        if self._is_relay():
            return len({record.host for record in self._view.owners.values()})
        return len(self._view.instances)

    async def _step(self) -> None:
        if self._revision is None:
            await self._read()
            return
        since = self._revision
        seen = await self._store.watch(since, _WATCH_S)
        self._relay.forward(since, seen)
        self._take(self._without_known(seen, since))
        self._view.drop_lapsed(now_s())
        self._revision = max(self._revision or since, seen.revision)

    def _without_known(self, seen: StoreResult, since: int) -> StoreResult:
        """Leave out what relays told while the store was asked."""
        known = self._revision or since
        if known == since:
            return seen
        items = tuple(item for item in seen.items if item.revision > known)
        return self._store.decode(items, seen.revision)

    async def _read(self) -> None:
        seen = await self._store.read()
        self._pass_on_reading(seen)
        self.copy.replace(seen.items, seen.revision)
        self._take(seen)
        listed = frozenset(
            change.server.server_id
            for change in seen.changes
            if isinstance(change, ServerEntryUpdate)
        )
        self._view.replace_servers(listed, now_s())
        self._revision = seen.revision
        self.is_initialised.set()

    def _pass_on_reading(self, seen: StoreResult) -> None:
        """Tell followers what a reading shows that was not known before."""
        since = self.copy.revision
        items = self.copy.changes_to(seen.items, seen.revision) if since else ()
        news = seen._replace(items=items)
        self._relay.forward(since or seen.revision, news)

    def _take(self, seen: StoreResult) -> None:
        self._note_back()
        self.copy.apply(seen.items, seen.revision)
        self._apply(seen)

    def _apply(self, seen: StoreResult) -> None:
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
        self._relay.on_store_lost()
        self._view.on_store(now_s(), is_lost=True)

    def _note_back(self) -> None:
        if self._is_lost:
            log_event(Event.STORE_BACK)
        self._is_lost = False
        self._view.on_store(now_s(), is_lost=False)
