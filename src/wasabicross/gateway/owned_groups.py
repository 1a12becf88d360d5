"""Takes and renews the ownership of groups of servers."""

from __future__ import annotations

import asyncio
from typing import NamedTuple

from wasabicross.gateway import metrics
from wasabicross.gateway.changes import InstanceEntry
from wasabicross.gateway.clock import now_s
from wasabicross.gateway.errors import StoreUnavailable
from wasabicross.gateway.ownership import (
    RENEWAL_INTERVAL_S,
    Group,
    OwnershipTerm,
    all_groups,
    claim_due_s,
    claim_wait_s,
    ownership_weight,
    term_end_s,
)
from wasabicross.gateway.settings import GatewaySettings
from wasabicross.gateway.store import FleetStore
from wasabicross.gateway.view import FleetView
from wasabicross.runtime.events import Event
from wasabicross.runtime.logs import log_event

_FOLLOW_S = 0.25

#: Pause before another write after one without an answer.
_RETRY_S = 0.6

#: Time for all gateways of a first start to become known to each other.
_SETTLE_S = 1.5


class _Owned(NamedTuple):
    """A group that this process owns.

    :param term: revision of the write that took it.
    :param revision: revision of the last write.
    :param written_s: when the last write that took effect was sent.
    :param is_resumed: whether this machine was the last holder before.
    """

    term: int
    revision: int
    written_s: float
    is_resumed: bool


class OwnedGroups:
    """The groups that this gateway owns.

    :param cfg: names and bounds.
    :param store: where the records are.
    :param view: the records as last seen.
    """

    def __init__(
        self, cfg: GatewaySettings, store: FleetStore, view: FleetView
    ) -> None:
        self._cfg = cfg
        self._store = store
        self._view = view
        self._me = InstanceEntry(
            cfg.instance,
            cfg.host,
            cfg.data_centre,
            ownership_weight(cfg.cores, cfg.link_mbps),
        )
        self._owned: dict[str, _Owned] = {}
        self._groups = all_groups(cfg.data_centres)
        self._not_before_s: dict[str, float] = {}

    async def run(self) -> None:
        """Take and renew groups until cancelled."""
        started_s = now_s() + _SETTLE_S
        while True:
            for group in self._groups:
                await self._look_after(group, started_s)
            await asyncio.sleep(_FOLLOW_S)

    def current_term(self, group: str, at_s: float) -> OwnershipTerm | None:
        """Return the right to order on a group's servers, None for none.

        :param group: name of the group.
        :param at_s: the present time.
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
        """Tell whether this gateway owns a group."""
        return bool(self._owned)

    async def release(self) -> None:
        """Leave all groups to others; nothing may be ordered any more."""
        owned = dict(self._owned)
        self._owned.clear()
        for group, last in owned.items():
            try:
                await self._store.write_owner(
                    group,
                    self._cfg.instance,
                    self._cfg.host,
                    last.revision,
                    is_released=True,
                )
            except StoreUnavailable as exc:
                log_event(
                    Event.OWNER_WRITE_FAILED, group=group, reason=str(exc)
                )

    async def _look_after(self, group: Group, started_s: float) -> None:
        record = self._view.owners.get(group.name)
        owned = self._owned.get(group.name)
        at_s = now_s()
        if at_s < self._not_before_s.get(group.name, at_s):
            return
        if owned is not None:
            if record is not None and record.revision > owned.revision:
                if record.instance != self._cfg.instance:
                    self._lose(group)
                    return
            if at_s - owned.written_s >= RENEWAL_INTERVAL_S:
                await self._write(group, owned.revision, owned)
            return
        wait_s = claim_wait_s(
            group,
            self._me,
            self._view.instances.values(),
            len(self._owned),
        )
        due_s = claim_due_s(
            record,
            self._cfg.instance,
            wait_s,
            started_s,
            self._cfg.holder_gap_s,
        )
        if at_s >= due_s:
            await self._write(group, record.revision if record else 0, None)

    async def _write(
        self, group: Group, expected: int, owned: _Owned | None
    ) -> None:
        sent_s = now_s()
        cfg = self._cfg
        is_resumed = self._is_own_record(group)
        try:
            revision = await self._store.write_owner(
                group.name, cfg.instance, cfg.host, expected
            )
        except StoreUnavailable as exc:
            self._not_before_s[group.name] = now_s() + _RETRY_S
            metrics.STORE_CALLS.labels('write', 'unavailable').inc()
            log_event(
                Event.OWNER_WRITE_FAILED, group=group.name, reason=str(exc)
            )
            return
        outcome = 'conflict' if revision is None else 'done'
        metrics.STORE_CALLS.labels('write', outcome).inc()
        if revision is None:
            self._not_before_s[group.name] = now_s() + _RETRY_S
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
        return record is not None and record.instance == self._cfg.instance

    def _on_conflict(self, group: Group) -> None:
        """Look at who wrote: this gateway, by a write that seemed lost?"""
        record = self._view.owners.get(group.name)
        owned = self._owned.get(group.name)
        if owned is None or record is None:
            return
        if record.instance != self._cfg.instance:
            self._lose(group)
        elif record.revision > owned.revision:
            self._owned[group.name] = owned._replace(revision=record.revision)

    def _lose(self, group: Group) -> None:
        self._owned.pop(group.name, None)
        log_event(Event.GROUP_LOST, group=group.name)
