"""Claims and renews the ownership of server groups."""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from typing import NamedTuple

from wasabicross.gateway import metrics
from wasabicross.gateway.changes import InstanceEntry
from wasabicross.gateway.clock import now_s
from wasabicross.gateway.error_containment import ErrorContainment
from wasabicross.gateway.errors import StoreUnavailable
from wasabicross.gateway.ownership import (
    RENEWAL_INTERVAL_S,
    Group,
    OwnerRecord,
    OwnershipTerm,
    absent_claim_s,
    all_groups,
    claim_due_s,
    claim_wait_s,
    ownership_weight,
    term_end_s,
)
from wasabicross.gateway.record_loss import ProcessStart, last_loss_s
from wasabicross.gateway.settings import GatewaySettings
from wasabicross.gateway.store import FleetStore
from wasabicross.gateway.store_position import era_of, position
from wasabicross.gateway.view import FleetView
from wasabicross.runtime.events import Event
from wasabicross.runtime.logs import log_event

_CHECK_INTERVAL_S = 0.25

#: Delay before a record is written again after a failed or conflicting write.
_RETRY_DELAY_S = 0.6

#: Delay before the first claim. Gateways that start at the same time learn of
#: each other meanwhile.
_STARTUP_DELAY_S = 1.5


class _Owned(NamedTuple):
    """A group that this process owns.

    :param term: position of the write that claimed the group.
    :param revision: position of the last write.
    :param written_s: time at which the last successful write was sent.
    :param is_resumed: whether this machine was also the previous owner.
    """

    term: int
    revision: int
    written_s: float
    is_resumed: bool


class OwnedGroups:
    """The groups that this gateway owns.

    :param cfg: settings of this gateway.
    :param store: the store that holds the owner records.
    :param view: the owner records and instances as last read.
    """

    def __init__(
        self, cfg: GatewaySettings, store: FleetStore, view: FleetView
    ) -> None:
        self._cfg = cfg
        self._store = store
        self._view = view
        self._own_entry = InstanceEntry(
            cfg.instance,
            cfg.host,
            cfg.data_centre,
            ownership_weight(cfg.cores, cfg.link_mbps),
        )
        self._owned: dict[str, _Owned] = {}
        self._groups = all_groups(cfg.data_centres)
        self._retry_at_s: dict[str, float] = {}
        self._start = ProcessStart(now_s(), cfg.is_first_start)
        self._errors = ErrorContainment('groups')
        #: Tells whether this gateway is cut off from the servers, so that it
        #: can't order loads.
        self.is_cut_off: Callable[[float], bool] = _is_never_cut_off

    async def run(self) -> None:
        """Claim and renew groups until cancelled."""
        started_s = now_s() + _STARTUP_DELAY_S
        self._log_delay(started_s)
        while True:
            if self.is_cut_off(now_s()):
                with self._errors.contain('release'):
                    await self._leave_to_others()
                await asyncio.sleep(_CHECK_INTERVAL_S)
                continue
            for group in self._groups:
                with self._errors.contain(group.name):
                    await self._claim_or_renew(group, started_s)
            await asyncio.sleep(_CHECK_INTERVAL_S)

    def _log_delay(self, started_s: float) -> None:
        """Log that groups without a record can't be claimed soon."""
        known = self._view.owners
        missing = sum(group.name not in known for group in self._groups)
        due_s = self._absent_claim_s(started_s)
        if missing and due_s > started_s:
            log_event(
                Event.FIRST_CLAIMS_DELAYED,
                groups=missing,
                for_s=round(due_s - now_s(), 1),
            )

    def _absent_claim_s(self, started_s: float) -> float:
        """Return when a group without a record may be claimed."""
        return absent_claim_s(started_s, last_loss_s(self._view, self._start))

    def current_term(self, group: str, at_s: float) -> OwnershipTerm | None:
        """Return the right to order loads on a group's servers, if any.

        :param group: name of the group.
        :param at_s: the present time, monotonic seconds.
        """
        owned = self._owned.get(group)
        if owned is None:
            return None
        until_s = term_end_s(owned.written_s, self._cfg.holder_gap_s)
        if at_s >= until_s:
            return None
        return OwnershipTerm(
            self._cfg.instance, owned.term, until_s, owned.is_resumed
        )

    @property
    def owns_any(self) -> bool:
        """Return whether this gateway owns any group."""
        return bool(self._owned)

    async def release(self) -> None:
        """Release all groups, so that other gateways can claim them at once.

        This gateway has no right to order loads afterwards.
        """
        owned_groups = dict(self._owned)
        self._owned.clear()
        for group, owned in owned_groups.items():
            try:
                await self._store.write_owner(
                    group,
                    self._cfg.instance,
                    self._cfg.host,
                    owned.revision,
                    is_released=True,
                )
            except StoreUnavailable as exc:
                log_event(
                    Event.OWNER_WRITE_FAILED, group=group, reason=str(exc)
                )

    async def _leave_to_others(self) -> None:
        """Release all groups, as this gateway reaches no server."""
        for group in self._owned:
            log_event(Event.GROUP_LEFT, group=group)
        await self.release()

    async def _claim_or_renew(self, group: Group, started_s: float) -> None:
        owned = self._owned.get(group.name)
        at_s = now_s()
        if at_s < self._retry_at_s.get(group.name, at_s):
            return
        if owned is not None:
            await self._renew(group, owned, at_s)
            return
        await self._claim(group, started_s, at_s)

    async def _renew(self, group: Group, owned: _Owned, at_s: float) -> None:
        record = self._view.owners.get(group.name)
        if record is not None and record.revision > owned.revision:
            if self._names_another(record, owned):
                self._drop_lost(group)
                return
        if era_of(owned.revision) < self._era:
            await self._write_in_new_era(group, owned, at_s)
        elif at_s - owned.written_s >= RENEWAL_INTERVAL_S:
            await self._write(group, owned.revision, owned)

    async def _write_in_new_era(
        self, group: Group, owned: _Owned, at_s: float
    ) -> None:
        """Write the record again, as the store may have lost it.

        Nobody else may claim the group while the right to order lasts; after
        its end another gateway may have done so in an era that is lost.
        """
        if at_s >= term_end_s(owned.written_s, self._cfg.holder_gap_s):
            self._drop_lost(group)
            return
        await self._write(group, self._known_position(group), owned)

    async def _claim(self, group: Group, started_s: float, at_s: float) -> None:
        wait_s = claim_wait_s(
            group,
            self._own_entry,
            self._view.instances.values(),
            len(self._owned),
        )
        due_s = claim_due_s(
            self._view.owners.get(group.name),
            self._cfg.instance,
            wait_s,
            self._absent_claim_s(started_s),
            self._cfg.holder_gap_s,
        )
        if at_s >= due_s:
            await self._write(group, self._known_position(group), None)

    @property
    def _era(self) -> int:
        """Return the era of the store as last read."""
        return self._view.era or 0

    def _known_position(self, group: Group) -> int:
        """Return the position of a record, that of no record if it is absent."""
        record = self._view.owners.get(group.name)
        return record.revision if record else position(self._era, 0)

    def _names_another(self, record: OwnerRecord, owned: _Owned) -> bool:
        """Return whether another gateway has claimed a group since.

        A record from an older copy doesn't say so.
        """
        if record.is_restored and era_of(record.revision) > era_of(
            owned.revision
        ):
            return False
        return record.instance != self._cfg.instance

    async def _write(
        self, group: Group, expected_revision: int, owned: _Owned | None
    ) -> None:
        sent_s = now_s()
        cfg = self._cfg
        is_resumed = self._is_own_record(group)
        try:
            revision = await self._store.write_owner(
                group.name, cfg.instance, cfg.host, expected_revision
            )
        except StoreUnavailable as exc:
            self._retry_at_s[group.name] = now_s() + _RETRY_DELAY_S
            metrics.STORE_CALLS.labels('write', 'unavailable').inc()
            log_event(
                Event.OWNER_WRITE_FAILED, group=group.name, reason=str(exc)
            )
            return
        outcome = 'conflict' if revision is None else 'done'
        metrics.STORE_CALLS.labels('write', outcome).inc()
        if revision is None:
            self._retry_at_s[group.name] = now_s() + _RETRY_DELAY_S
            self._on_conflict(group)
            return
        if owned is None:
            owned = _Owned(revision, revision, sent_s, is_resumed)
            log_event(Event.GROUP_OWNED, group=group.name, term=revision)
        self._owned[group.name] = owned._replace(
            revision=revision, written_s=sent_s
        )

    def _is_own_record(self, group: Group) -> bool:
        record = self._view.owners.get(group.name)
        return (
            record is not None
            and record.instance == self._cfg.instance
            and not record.is_restored
        )

    def _on_conflict(self, group: Group) -> None:
        """Handle a record that has another revision than expected.

        It may have been written by this gateway itself, in a write whose answer
        was lost; the group is then kept.
        """
        record = self._view.owners.get(group.name)
        owned = self._owned.get(group.name)
        if owned is None or record is None:
            return
        if self._names_another(record, owned):
            self._drop_lost(group)
            return
        is_same_era = era_of(record.revision) == era_of(owned.revision)
        if is_same_era and record.revision > owned.revision:
            self._owned[group.name] = owned._replace(revision=record.revision)

    def _drop_lost(self, group: Group) -> None:
        self._owned.pop(group.name, None)
        log_event(Event.GROUP_LOST, group=group.name)


def _is_never_cut_off(_now_s: float) -> bool:
    return False
