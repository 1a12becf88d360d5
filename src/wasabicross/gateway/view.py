"""A gateway's view of the deployment, from the store and from owners."""

from __future__ import annotations

import math
from collections import defaultdict
from functools import singledispatchmethod
from typing import Any, NamedTuple, Protocol

from wasabicross.gateway.backend import AdapterKey, BackendServer
from wasabicross.gateway.changes import (
    AdapterVersionUpdate,
    ConfigurationUpdate,
    ConvictionUpdate,
    InstanceEntry,
    OwnerRecordUpdate,
    ServerEntryUpdate,
    ServerRemoval,
    StoreChange,
    StreamDivisionUpdate,
)
from wasabicross.gateway.configuration import Configuration
from wasabicross.gateway.expired_entries import ExpiredEntries
from wasabicross.gateway.known_convictions import KnownConvictions
from wasabicross.gateway.known_divisions import KnownDivisions
from wasabicross.gateway.messages import (
    HeldAdaptersUpdate,
    ServerOccupancy,
    ServerState,
)
from wasabicross.gateway.owner_records import unconfirmed, updated_record
from wasabicross.gateway.ownership import OwnerRecord
from wasabicross.gateway.prefill_rate import PrefillRate
from wasabicross.gateway.server_health import HealthByServer
from wasabicross.gateway.server_notices import ServerNotices
from wasabicross.gateway.warm_copies import WarmCopies

#: Version of an adapter for which the operator hasn't set any.
DEFAULT_VERSION = 1

#: How long the state that a server's owner reported is valid.
OWNER_STATE_LIFETIME_S = 1.5

#: How long a server's answer that it lacks an adapter overrides reports that it
#: holds the adapter, since reports lag behind.
_MISSING_ADAPTER_S = 0.4


class ReportedState(NamedTuple):
    """The last state that a server's owner reported.

    :param state: the state, with later updates applied.
    :param held: versions of the resident adapters, with later updates applied.
    :param received_s: time at which the last report was received.
    """

    state: ServerState
    held: dict[AdapterKey, int]
    received_s: float


class KnownRecord(Protocol):
    """What is known of a record that gateways write."""

    def apply(self, change: Any, confirmed_s: float, now_s: float, /) -> None:
        """Apply a change of the record.

        :param change: the change.
        :param confirmed_s: time as of which the content of the store was known
            completely before, monotonic seconds.
        :param now_s: the present time, monotonic seconds.
        """


class OwnRequests:
    """The requests of this gateway at each server."""

    def __init__(self) -> None:
        self.requests: dict[str, int] = defaultdict(int)
        #: Prompt tokens of those whose answer hasn't begun.
        self.unread_tokens: dict[str, int] = defaultdict(int)
        #: Prompt tokens of those that wait for an adapter.
        self.awaited_tokens: dict[str, int] = defaultdict(int)


class FleetView:
    """The deployment as this process knows it.

    :param notices: notices of servers on further requests, None to start
        without any.
    """

    def __init__(self, notices: ServerNotices | None = None) -> None:
        self.notices = notices or ServerNotices()
        self.configuration: Configuration | None = None
        self.versions: dict[AdapterKey, int] = {}
        self.servers: dict[str, BackendServer] = {}
        self.owners: dict[str, OwnerRecord] = {}
        self.instances: dict[str, InstanceEntry] = {}
        self.health = HealthByServer()
        self.reported: dict[str, ReportedState] = {}
        self.own = OwnRequests()
        self.prefill_rate = PrefillRate()
        #: Adapters that engines held recently.
        self.warm_copies = WarmCopies()
        self.content_known_since_s = math.inf
        self._missing_since_s: dict[tuple[str, AdapterKey], float] = {}
        self._expired = ExpiredEntries()
        #: Era of the store, None before its content is known.
        self.era: int | None = None
        #: When this process first knew the content in the present era.
        self.era_known_s = -math.inf
        #: When the store returned from an older copy, as this process saw it.
        self.restored_s = -math.inf
        #: Time as of which the store's content is known completely.
        self.confirmed_s = -math.inf
        #: The newest known division of each service's streams.
        self.divisions = KnownDivisions()
        #: The record of what is convicted of crashing servers.
        self.convictions = KnownConvictions()
        self._records: dict[type, KnownRecord] = {
            StreamDivisionUpdate: self.divisions,
            ConvictionUpdate: self.convictions,
        }

    def set_store_status(self, now_s: float, *, is_lost: bool) -> None:
        """Record whether the store answered.

        :param now_s: the present time, monotonic seconds.
        :param is_lost: whether the store gave no answer.
        """
        self._expired.on_store_status(now_s, is_lost=is_lost)
        if not is_lost:
            self.content_known_since_s = min(self.content_known_since_s, now_s)

    def on_era(self, era: int, now_s: float) -> None:
        """Record the era of the complete content that is applied next.

        :param era: era of the store.
        :param now_s: the present time, monotonic seconds.
        """
        if self.era is None or era > self.era:
            self.era_known_s = now_s
        if self.era is not None and era > self.era:
            self.restored_s = now_s
            self._expired.on_store_restored(now_s)
            self.instances.clear()
            for group, known in self.owners.items():
                self.owners[group] = unconfirmed(known, era, now_s)
        self.era = era
        self.divisions.on_new_content()
        self.convictions.on_new_content(era)

    def version_of(self, key: AdapterKey) -> int:
        """Return the version of an adapter that is in force."""
        return self.versions.get(key, DEFAULT_VERSION)

    def apply(self, change: StoreChange, now_s: float) -> None:
        """Apply a change of the store's content.

        :param change: the change.
        :param now_s: the present time, monotonic seconds.
        """
        self._apply(change, now_s)

    def remove_unlisted(self, listed: frozenset[str], now_s: float) -> None:
        """Remove the servers that are absent from a complete list.

        :param listed: ids of the servers in the list.
        :param now_s: the present time, monotonic seconds.
        """
        for server_id in self.servers.keys() - listed:
            self._apply(ServerRemoval(server_id), now_s)

    def remove_expired(self, now_s: float) -> tuple[str, ...]:
        """Remove servers whose expired entries weren't restored in time.

        :param now_s: the present time, monotonic seconds.
        :return: ids of the removed servers.
        """
        due = self._expired.due(now_s)
        for server_id in due:
            self._remove(server_id)
        return due

    def on_state(self, state: ServerState, now_s: float) -> None:
        """Replace the state of a server with a report of its owner.

        :param state: the reported state.
        :param now_s: the present time, monotonic seconds.
        """
        held = {
            AdapterKey(each.model, each.adapter): each.version
            for each in state.held
        }
        before = _reported_for(self.reported, state)
        if before is None:
            self.warm_copies.forget(state.server_id)
        else:
            for key in before.held.keys() - held.keys():
                self.warm_copies.on_unloaded(
                    state.server_id, key, before.held[key]
                )
        self.reported[state.server_id] = ReportedState(state, held, now_s)
        listed = self.servers.get(state.server_id)
        if listed is not None:
            self.notices.starts.on_found(listed, state.start_ms, now_s)
            self.servers[state.server_id] = self.notices.starts.running(listed)

    def on_held_change(self, change: HeldAdaptersUpdate, now_s: float) -> None:
        """Update a server's resident adapters; ignored without a prior state.

        :param change: the change that its owner reported.
        :param now_s: the present time, monotonic seconds.
        """
        report = _reported_for(self.reported, change)
        if report is None:
            return
        for lost in change.lost:
            key = AdapterKey(lost.model, lost.adapter)
            report.held.pop(key, None)
            self.warm_copies.on_unloaded(change.server_id, key, lost.version)
        for gained in change.gained:
            key = AdapterKey(gained.model, gained.adapter)
            report.held[key] = gained.version
        state = report.state._replace(takes_loads=change.takes_loads)
        self.reported[change.server_id] = ReportedState(
            state, report.held, now_s
        )

    def on_occupancy(self, occupancy: ServerOccupancy, now_s: float) -> None:
        """Update how busy a server is; ignored without a prior state.

        :param occupancy: the occupancy that its owner reported.
        :param now_s: the present time, monotonic seconds.
        """
        report = _reported_for(self.reported, occupancy)
        if report is None:
            return
        state = report.state._replace(
            queued=occupancy.queued,
            running=occupancy.running,
            spare_slots=occupancy.spare_slots,
            unread_tokens=occupancy.unread_tokens,
            awaited_tokens=occupancy.awaited_tokens,
        )
        self.reported[occupancy.server_id] = ReportedState(
            state, report.held, now_s
        )

    def on_adapter_missing(
        self, server_id: str, key: AdapterKey, now_s: float
    ) -> None:
        """Record that a server answered that it doesn't hold an adapter.

        :param server_id: id of the server.
        :param key: the adapter.
        :param now_s: the present time, monotonic seconds.
        """
        self._missing_since_s[server_id, key] = now_s

    def on_loaded(self, server_id: str, key: AdapterKey, version: int) -> None:
        """Record that a server's owner has loaded an adapter.

        :param server_id: id of the server.
        :param key: the adapter.
        :param version: the loaded version.
        """
        self._missing_since_s.pop((server_id, key), None)
        report = self.reported.get(server_id)
        if report is not None:
            report.held[key] = version

    def holds_model(
        self, server: BackendServer, model: str, now_s: float
    ) -> bool:
        """Return whether a server holds a base model.

        The owner's report shows a load before the server's entry in the store.

        :param server: the server.
        :param model: name of the model.
        :param now_s: the present time, monotonic seconds.
        """
        report = self.valid_report(server, now_s)
        if report is not None and report.state.start_ms > server.start_ms:
            return model in report.state.models
        is_reported = report is not None and model in report.state.models
        return is_reported or model in server.models

    def held_version(
        self, server: BackendServer, key: AdapterKey, now_s: float
    ) -> int:
        """Return the version of an adapter that a server holds, 0 for none.

        :param server: the server.
        :param key: the adapter.
        :param now_s: the present time, monotonic seconds.
        """
        missing_s = self._missing_since_s.get(
            (server.server_id, key), -math.inf
        )
        if now_s - missing_s < _MISSING_ADAPTER_S:
            return 0
        report = self.valid_report(server, now_s)
        held = server.held if report is None else report.held
        return held.get(key, 0)

    def takes_loads(self, server: BackendServer, now_s: float) -> bool:
        """Return whether the owner of a server can load adapters there.

        :param server: the server.
        :param now_s: the present time, monotonic seconds.
        """
        report = self.valid_report(server, now_s)
        return report is not None and report.state.takes_loads

    def refuses_requests(self, server: BackendServer, now_s: float) -> bool:
        """Return whether a server takes no new requests at present.

        :param server: the server.
        :param now_s: the present time, monotonic seconds.
        """
        return server.is_leaving or self.notices.refuses_requests(server, now_s)

    def spare_slots(self, server: BackendServer, now_s: float) -> int:
        """Return how many adapter slots a server has for further loads.

        :param server: the server.
        :param now_s: the present time, monotonic seconds.
        """
        report = self.valid_report(server, now_s)
        return report.state.spare_slots if report else 0

    def requests_at(self, server: BackendServer, now_s: float) -> int:
        """Estimate the number of running and queued requests of a server.

        :param server: the server.
        :param now_s: the present time, monotonic seconds.
        """
        own = self.own.requests[server.server_id]
        report = self.valid_report(server, now_s)
        if report is None:
            return own
        return max(own, report.state.running + report.state.queued)

    def unread_tokens(self, server: BackendServer, now_s: float) -> int:
        """Estimate the prompt tokens that a server still has to prefill.

        :param server: the server.
        :param now_s: the present time, monotonic seconds.
        """
        own = self.own.unread_tokens.get(server.server_id, 0)
        report = self.valid_report(server, now_s)
        return max(own, report.state.unread_tokens) if report else own

    def awaited_tokens(self, server: BackendServer, now_s: float) -> int:
        """Estimate the prompt tokens of requests that wait for an adapter.

        :param server: the server on which the adapters are being loaded.
        :param now_s: the present time, monotonic seconds.
        """
        own = self.own.awaited_tokens.get(server.server_id, 0)
        report = self.valid_report(server, now_s)
        return max(own, report.state.awaited_tokens) if report else own

    def valid_report(
        self, server: BackendServer, now_s: float
    ) -> ReportedState | None:
        """Return the last report on a server.

        None if the report is too old or belongs to a former incarnation. Owners
        see a restart before it is listed.

        :param server: the server.
        :param now_s: the present time, monotonic seconds.
        """
        report = self.reported.get(server.server_id)
        if report is None or now_s - report.received_s > OWNER_STATE_LIFETIME_S:
            return None
        start_ms = report.state.start_ms
        return report if not start_ms or start_ms >= server.start_ms else None

    def _remove(self, server_id: str) -> None:
        self._expired.discard(server_id)
        self.servers.pop(server_id, None)
        self.health.pop(server_id, None)
        self.reported.pop(server_id, None)
        self.warm_copies.forget(server_id)
        self.notices.starts.forget(server_id)

    @singledispatchmethod
    def _apply(self, change: StoreChange, now_s: float) -> None:
        raise NotImplementedError(change)

    @_apply.register
    def _(self, change: ConfigurationUpdate, now_s: float) -> None:
        current = self.configuration
        if current is None or change.configuration.version > current.version:
            self.configuration = change.configuration

    @_apply.register
    def _(self, change: AdapterVersionUpdate, now_s: float) -> None:
        known = self.version_of(change.key)
        self.versions[change.key] = max(known, change.version)

    @_apply.register
    def _(self, change: ServerEntryUpdate, now_s: float) -> None:
        known = self.servers.get(change.server.server_id)
        server = self._expired.newer_entry(known, change.server, now_s)
        if server is None:
            self._apply(ServerRemoval(change.server.server_id), now_s)
            return
        self._expired.discard(server.server_id)
        if known is not None and not server.is_same_run(known):
            self.notices.starts.on_listed(known, server, now_s)
            report = self.reported.get(server.server_id)
            self._remove(server.server_id)
            if report and 0 < server.start_ms == report.state.start_ms:
                self.reported[server.server_id] = report
        self.servers[server.server_id] = self.notices.starts.running(server)

    @_apply.register
    def _(self, change: ServerRemoval, now_s: float) -> None:
        if change.server_id not in self.servers:
            return
        if self._expired.on_removal(change.server_id, now_s):
            self._remove(change.server_id)

    @_apply.register
    def _(self, change: OwnerRecordUpdate, now_s: float) -> None:
        known = self.owners.get(change.group)
        self.owners[change.group] = updated_record(known, change, now_s)

    @_apply.register
    def _(self, change: InstanceEntry, now_s: float) -> None:
        self.instances[change.instance] = change

    @_apply.register(StreamDivisionUpdate)
    @_apply.register(ConvictionUpdate)
    def _(
        self, change: StreamDivisionUpdate | ConvictionUpdate, now_s: float
    ) -> None:
        known = self._records[type(change)]
        known.apply(change, self.confirmed_s, now_s)


def _reported_for(
    reported: dict[str, ReportedState],
    message: ServerState | HeldAdaptersUpdate | ServerOccupancy,
) -> ReportedState | None:
    """Return the last report on the incarnation of a server in a message."""
    report = reported.get(message.server_id)
    if report is None or report.state.start_ms != message.start_ms:
        return None
    return report
