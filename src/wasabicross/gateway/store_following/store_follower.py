"""Keeps the view of the deployment up to date with the platform's store."""

from __future__ import annotations

import asyncio
from collections.abc import Awaitable, Callable

from wasabicross.gateway import metrics
from wasabicross.gateway.changes import ServerEntryUpdate
from wasabicross.gateway.clock import now_s
from wasabicross.gateway.error_containment import ErrorContainment
from wasabicross.gateway.errors import HistoryGone, StoreUnavailable
from wasabicross.gateway.messages import (
    StoreConfirmation,
    StoreStatus,
    StoreUpdate,
)
from wasabicross.gateway.store import FleetStore, StoreResult, UnreadableEntry
from wasabicross.gateway.store_following.prompted_calls import (
    PromptedCalls,
)
from wasabicross.gateway.store_following.relay_clocks import RelayClocks
from wasabicross.gateway.store_following.store_copy import StoreCopy
from wasabicross.gateway.store_following.store_relay import (
    RelayStatuses,
    StoreRelay,
)
from wasabicross.gateway.store_position import era_of, revision_of
from wasabicross.gateway.view import FleetView
from wasabicross.runtime.events import Event
from wasabicross.runtime.logs import log_event

#: Longest wait of a watch. A dead connection is only noticed after this time,
#: and the gateways that rely on this one miss changes until then.
_WATCH_TIMEOUT_S = 0.4

#: Interval between watches, so that several changes in short succession take
#: one call. It grows with the number of gateways that watch, up to a limit that
#: keeps views recent enough.
_WATCH_INTERVAL_S = 0.6
_INTERVAL_PER_GATEWAY_S = 0.01
_MAX_WATCH_INTERVAL_S = 1.4

#: Shortest delay after a call without an answer.
_MIN_RETRY_INTERVAL_S = 0.4

#: Age of the known content from which on a gateway calls the store itself though
#: relays send the changes. Their confirmations are more recent, unless they
#: send none or their clock has stood still.
_MAX_RELAYED_AGE_S = 3.5

#: Longest wait of a watch that a take-up waits for.
_PROMPT_WATCH_TIMEOUT_S = 0.005

#: Interval between checks while relays send the changes.
_RELAYED_CHECK_INTERVAL_S = 0.25


def watch_interval_s(instances: int) -> float:
    """Return the interval between two watches of a gateway.

    :param instances: number of gateways that watch the store.
    """
    return min(
        _MAX_WATCH_INTERVAL_S,
        _WATCH_INTERVAL_S + _INTERVAL_PER_GATEWAY_S * instances,
    )


def retry_interval_s(instances: int) -> float:
    """Return the delay after a call without an answer.

    :param instances: number of gateways that call the store.
    """
    return max(_MIN_RETRY_INTERVAL_S, _INTERVAL_PER_GATEWAY_S * instances)


class StoreFollower:
    """Reads the store once and then follows its changes.

    :param store: the platform's store.
    :param view: the view that is kept up to date.
    :param relay: relays the changes that this gateway watches.
    :param is_relay: returns whether other gateways may rely on this one, so
        that it has to watch the store itself.
    :param request_copy: requests the content from other gateways; called if the
        store doesn't answer the first read.
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
        self._request_copy = request_copy
        #: The store's content as last known.
        self.copy = StoreCopy()
        self._statuses = RelayStatuses()
        self._clocks = RelayClocks()
        self._revision: int | None = None
        self._is_lost = False
        self._prompted = PromptedCalls(view.divisions.is_confirmation_wanted)
        self._unreadable: dict[str, int] = {}
        self._errors = ErrorContainment('store')
        self.is_initialised = asyncio.Event()

    async def run(self) -> None:
        """Follow the store until cancelled."""
        while True:
            if self._follows_relay():
                self._on_answer()
                # Subscribers can't rely on a gateway that doesn't call the
                # store.
                self._relay.on_store_lost()
                self._view.remove_expired(now_s())
                if await self._prompted.wait(_RELAYED_CHECK_INTERVAL_S):
                    with self._errors.contain('prompted call'):
                        await self._confirm_relayed()
                continue
            delay_s = retry_interval_s(self._watchers())
            with self._errors.contain('call'):
                delay_s = await self._call_store()
            await self._pause(delay_s)

    def on_status(self, relay: str, status: StoreStatus) -> None:
        """Record the status of a relay.

        :param relay: IP address of the relay.
        :param status: the status that it sent.
        """
        self._statuses.on_status(relay, status, now_s())

    def on_confirmation(
        self, relay: str, confirmation: StoreConfirmation
    ) -> None:
        """Record as of when a relay knows the store's content.

        :param relay: IP address of the relay.
        :param confirmation: what it sent.
        """
        confirmed_s = self._clocks.confirmed_s(relay, confirmation, now_s())
        known = self._revision
        if known is None or confirmation.revision > known:
            return
        if era_of(confirmation.revision) == era_of(known):
            self._on_confirmed(confirmed_s)

    def on_round_trip(self, relay: str, asked_s: float) -> None:
        """Record that a relay sends what comes next after a question.

        :param relay: IP address of the relay.
        :param asked_s: when the question was sent, monotonic seconds.
        """
        self._clocks.on_round_trip(relay, asked_s)

    def on_update(self, store_update: StoreUpdate) -> None:
        """Apply changes that a relay has forwarded.

        An update that doesn't follow on the known position is ignored; the
        relay's status then shows that changes are missing.

        :param store_update: the changes.
        """
        known = self._revision
        if (
            known is None
            or store_update.since > known
            or store_update.revision <= known
        ):
            return
        if era_of(store_update.revision) > era_of(known):
            self._on_new_era(known, store_update)
            return
        items = tuple(
            item for item in store_update.items if item.revision > known
        )
        self._revision = store_update.revision
        self._apply_answer(self._store.decode(items, store_update.revision))

    def _on_new_era(self, known: int, store_update: StoreUpdate) -> None:
        """Apply changes that lead to a later era of the store.

        They apply only to the content that the relay had before.
        """
        if store_update.since != known:
            return
        revision = store_update.revision
        items = self.copy.restored(store_update.items, revision)
        self._revision = revision
        self._apply_content(self._store.decode(items, revision))

    def _follows_relay(self) -> bool:
        if self._revision is None or self._is_relay():
            return False
        at_s = now_s()
        if at_s - self._view.confirmed_s > _MAX_RELAYED_AGE_S:
            return False
        return self._statuses.is_current(self._revision, at_s)

    async def _pause(self, delay_s: float) -> None:
        """Wait, not for long if a take-up waits for an answer of the store."""
        if self._is_lost:
            await asyncio.sleep(delay_s)
        else:
            await self._prompted.wait(delay_s)

    async def _confirm_relayed(self) -> None:
        """Call the store once though relays send the changes.

        Without an answer nothing follows: relays may still have one.
        """
        outcome = 'done'
        try:
            await self._read_or_watch()
        except HistoryGone:
            self._revision = None
            outcome = 'history gone'
        except StoreUnavailable:
            outcome = 'unavailable'
            self._prompted.block(retry_interval_s(self._watchers()))
        metrics.STORE_CALLS.labels('watch', outcome).inc()

    async def _call_store(self) -> float:
        """Read or watch the store; return the delay until the next call."""
        operation = 'read' if self._revision is None else 'watch'
        outcome = 'done'
        delay_s = watch_interval_s(self._watchers())
        try:
            await self._read_or_watch()
        except HistoryGone:
            self._revision = None
            outcome = 'history gone'
            delay_s = 0
        except StoreUnavailable as exc:
            self._on_no_answer(str(exc))
            await self._take_copy()
            outcome = 'unavailable'
            delay_s = retry_interval_s(self._watchers())
        metrics.STORE_CALLS.labels(operation, outcome).inc()
        return delay_s

    async def _take_copy(self) -> None:
        """Start from the copy of another gateway if no content is known yet."""
        if self._revision is not None or self.is_initialised.is_set():
            return
        received = await self._request_copy()
        if received is None or self.is_initialised.is_set():
            return
        log_event(Event.COPY_TAKEN, revision=revision_of(received.revision))
        self._revision = received.revision
        self._view.on_era(era_of(received.revision), now_s())
        self.copy.replace(received.items, received.revision)
        self._apply(self._store.decode(received.items, received.revision))
        self.is_initialised.set()

    def _watchers(self) -> int:
        """Return the number of gateways that are known to watch the store."""
        if self._is_relay():
            return len({record.host for record in self._view.owners.values()})
        return len(self._view.instances)

    async def _read_or_watch(self) -> None:
        if self._revision is None:
            await self._read()
            return
        since = self._revision
        sent_s = now_s()
        is_prompted = self._prompted.take(len(self._view.instances))
        wait_s = _PROMPT_WATCH_TIMEOUT_S if is_prompted else _WATCH_TIMEOUT_S
        result = await self._store.watch(since, wait_s)
        self._relay.forward(since, result)
        self._apply_answer(self._without_known(result, since))
        self._view.remove_expired(now_s())
        self._revision = max(self._revision or since, result.revision)
        self._confirm(sent_s)

    def _without_known(self, result: StoreResult, since: int) -> StoreResult:
        """Leave out changes that relays sent while the store was watched."""
        known = self._revision or since
        if known == since:
            return result
        items = tuple(item for item in result.items if item.revision > known)
        return self._store.decode(items, result.revision)

    async def _read(self) -> None:
        sent_s = now_s()
        result = await self._store.read()
        self._relay_read(result)
        self._apply_content(result)
        self._revision = result.revision
        self._confirm(sent_s)
        self.is_initialised.set()

    def _confirm(self, sent_s: float) -> None:
        """Record that a call to the store has been answered."""
        self._relay.confirmed_s = sent_s
        self._on_confirmed(sent_s)

    def _on_confirmed(self, at_s: float) -> None:
        self._view.confirmed_s = max(self._view.confirmed_s, at_s)

    def _apply_content(self, result: StoreResult) -> None:
        """Apply the complete content of the store."""
        era = era_of(result.revision)
        if self._view.era is not None and era > self._view.era:
            self._record_restore(self._view.era, result)
        self._view.on_era(era, now_s())
        self.copy.replace(result.items, result.revision)
        self._apply_answer(result)
        listed = frozenset(
            change.server.server_id
            for change in result.changes
            if isinstance(change, ServerEntryUpdate)
        )
        self._view.remove_unlisted(listed, now_s())

    def _record_restore(self, era_before: int, result: StoreResult) -> None:
        metrics.STORE_RESTORES.inc()
        log_event(
            Event.STORE_RESTORED,
            era_before=era_before,
            era=era_of(result.revision),
            known=revision_of(self.copy.revision),
            returned=revision_of(result.revision),
            lost=self.copy.lost_items(result.items),
        )

    def _relay_read(self, result: StoreResult) -> None:
        """Relay the changes from the previous content to a complete read."""
        since = self.copy.revision
        items = (
            self.copy.changes_to(result.items, result.revision) if since else ()
        )
        changes = result._replace(items=items)
        self._relay.forward(since or result.revision, changes)

    def _apply_answer(self, result: StoreResult) -> None:
        self._on_answer()
        self.copy.apply(result.items, result.revision)
        self._apply(result)

    def _apply(self, result: StoreResult) -> None:
        before = self._view.configuration
        for change in result.changes:
            with self._errors.contain(type(change).__name__):
                self._view.apply(change, now_s())
        current = self._view.configuration
        if current is not None and current is not before:
            metrics.CONFIGURATION_VERSION.set(current.version)
            log_event(Event.CONFIGURATION_TAKEN, version=current.version)
        for entry in result.unreadable:
            self._log_unreadable(entry)

    def _log_unreadable(self, entry: UnreadableEntry) -> None:
        if self._unreadable.get(entry.key) != entry.revision:
            self._unreadable[entry.key] = entry.revision
            log_event(
                Event.ENTRY_UNREADABLE, key=entry.key, reason=entry.reason
            )

    def _on_no_answer(self, reason: str) -> None:
        if not self._is_lost:
            log_event(Event.STORE_LOST, reason=reason)
        self._is_lost = True
        self._relay.on_store_lost()
        self._view.set_store_status(now_s(), is_lost=True)

    def _on_answer(self) -> None:
        if self._is_lost:
            log_event(Event.STORE_BACK)
        self._is_lost = False
        self._view.set_store_status(now_s(), is_lost=False)
