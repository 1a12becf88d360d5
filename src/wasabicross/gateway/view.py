"""What a gateway knows of the deployment, from the store and from owners."""

from __future__ import annotations

import math
from collections import defaultdict
from functools import singledispatchmethod
from typing import NamedTuple

from wasabicross.gateway.backend import AdapterKey, BackendServer
from wasabicross.gateway.changes import (
    Change,
    ConfigurationNamed,
    InstanceListed,
    OwnerNamed,
    ServerListed,
    ServerRemoved,
    VersionNamed,
)
from wasabicross.gateway.configuration import Configuration
from wasabicross.gateway.messages import HeldChanged, ServerLoad, ServerState
from wasabicross.gateway.ownership import OwnerRecord
from wasabicross.gateway.prefill_rate import PrefillRate
from wasabicross.gateway.server_health import HealthByServer
from wasabicross.gateway.server_notices import ServerNotices

#: Version of an adapter that the operator has named none of.
FIRST_VERSION = 1

#: How long the word of a server's owner stands.
OWNER_WORD_S = 1.5

#: How long a server's refusal for lack of an adapter outweighs the report
#: that it holds it; reports lag.
_DENIAL_S = 0.4

#: How long entries that lapsed while the store was away may take to be back.
_RETURN_S = 2.5


class ToldState(NamedTuple):
    """The last word of a server's owner, and when it came."""

    state: ServerState
    held: dict[AdapterKey, int]
    told_s: float


class FleetView:
    """The deployment as this process knows it.

    :param notices: what servers say of further requests, None for nothing yet.
    """

    def __init__(self, notices: ServerNotices | None = None) -> None:
        self.notices = notices or ServerNotices()
        self.configuration: Configuration | None = None
        self.versions: dict[AdapterKey, int] = {}
        self.servers: dict[str, BackendServer] = {}
        self.owners: dict[str, OwnerRecord] = {}
        self.instances: dict[str, InstanceListed] = {}
        self.health = HealthByServer()
        self.told: dict[str, ToldState] = {}
        self.under_way: dict[str, int] = defaultdict(int)
        #: Prompt tokens of this gateway's requests that wait for a first token.
        self.unread: dict[str, int] = defaultdict(int)
        self.prefill_rate = PrefillRate()
        self.known_since_s = math.inf
        self._denials: dict[tuple[str, AdapterKey], float] = {}
        self._store_lost = False
        self._store_back_s = -math.inf
        self._lapsed: dict[str, float] = {}

    def on_store(self, now_s: float, *, is_lost: bool) -> None:
        """Note that the store stopped or started to answer.

        :param now_s: the present time.
        :param is_lost: whether it gave no answer.
        """
        if self._store_lost and not is_lost:
            self._store_back_s = now_s
        if not is_lost:
            self.known_since_s = min(self.known_since_s, now_s)
        self._store_lost = is_lost

    def version_of(self, key: AdapterKey) -> int:
        """Return the version of an adapter that is in force."""
        return self.versions.get(key, FIRST_VERSION)

    def apply(self, change: Change, now_s: float) -> None:
        """Take in a change.

        :param change: what the store tells.
        :param now_s: the present time.
        """
        self._apply(change, now_s)

    def replace_servers(self, listed: frozenset[str], now_s: float) -> None:
        """Drop the servers that a reading of the whole list lacks.

        :param listed: ids of the servers that it has.
        :param now_s: the present time.
        """
        for server_id in self.servers.keys() - listed:
            self._apply(ServerRemoved(server_id), now_s)

    def drop_lapsed(self, now_s: float) -> tuple[str, ...]:
        """Drop servers whose entries haven't come back; return their ids.

        :param now_s: the present time.
        """
        due = [
            server_id
            for server_id, due_s in self._lapsed.items()
            if now_s >= due_s and not self._store_lost
        ]
        for server_id in due:
            self._drop(server_id)
        return tuple(due)

    def on_state(self, state: ServerState, now_s: float) -> None:
        """Take in the word of a server's owner.

        :param state: what it says.
        :param now_s: the present time.
        """
        held = {
            AdapterKey(each.model, each.adapter): each.version
            for each in state.held
        }
        self.told[state.server_id] = ToldState(state, held, now_s)

    def on_held_change(self, change: HeldChanged, now_s: float) -> None:
        """Take in what changed of a server; tells nothing without a state.

        :param change: what its owner says.
        :param now_s: the present time.
        """
        told = self._told_of_start(change.server_id, change.born_ms)
        if told is None:
            return
        for lost in change.lost:
            told.held.pop(AdapterKey(lost.model, lost.adapter), None)
        for gained in change.gained:
            key = AdapterKey(gained.model, gained.adapter)
            told.held[key] = gained.version
        state = told.state._replace(takes_loads=change.takes_loads)
        self.told[change.server_id] = ToldState(state, told.held, now_s)

    def on_load(self, load: ServerLoad, now_s: float) -> None:
        """Take in how busy a server is; tells nothing without a state.

        :param load: what its owner says.
        :param now_s: the present time.
        """
        told = self._told_of_start(load.server_id, load.born_ms)
        if told is None:
            return
        state = told.state._replace(
            queued=load.queued,
            running=load.running,
            spare_slots=load.spare_slots,
            unread_tokens=load.unread_tokens,
        )
        self.told[load.server_id] = ToldState(state, told.held, now_s)

    def on_denial(self, server_id: str, key: AdapterKey, now_s: float) -> None:
        """Note that a server said that it doesn't hold an adapter.

        :param server_id: the server.
        :param key: the adapter.
        :param now_s: the present time.
        """
        self._denials[server_id, key] = now_s

    def on_loaded(self, server_id: str, key: AdapterKey, version: int) -> None:
        """Note that a server's owner has had an adapter loaded.

        :param server_id: the server.
        :param key: the adapter.
        :param version: its version there.
        """
        self._denials.pop((server_id, key), None)
        told = self.told.get(server_id)
        if told is not None:
            told.held[key] = version

    def holds_model(
        self, server: BackendServer, model: str, now_s: float
    ) -> bool:
        """Tell whether a server holds a base model.

        Its owner knows of a load before the server's entry shows it.

        :param server: the server.
        :param model: name of the model.
        :param now_s: the present time.
        """
        told = self._told(server, now_s)
        is_told = told is not None and model in told.state.models
        return is_told or model in server.models

    def held_version(
        self, server: BackendServer, key: AdapterKey, now_s: float
    ) -> int:
        """Return the version of an adapter that a server holds, 0 for none.

        :param server: the server.
        :param key: the adapter.
        :param now_s: the present time.
        """
        denied_s = self._denials.get((server.server_id, key), -math.inf)
        if now_s - denied_s < _DENIAL_S:
            return 0
        told = self._told(server, now_s)
        held = server.held if told is None else told.held
        return held.get(key, 0)

    def takes_loads(self, server: BackendServer, now_s: float) -> bool:
        """Tell whether the owner of a server can have adapters loaded there.

        :param server: the server.
        :param now_s: the present time.
        """
        told = self._told(server, now_s)
        return told is not None and told.state.takes_loads

    def wants_none(self, server: BackendServer, now_s: float) -> bool:
        """Tell whether a server takes no new requests at present.

        :param server: the server.
        :param now_s: the present time.
        """
        return server.is_leaving or self.notices.refuses_requests(server, now_s)

    def spare_slots(self, server: BackendServer, now_s: float) -> int:
        """Return the adapter slots that a load on a server could get.

        :param server: the server.
        :param now_s: the present time.
        """
        told = self._told(server, now_s)
        return told.state.spare_slots if told else 0

    def requests_at(self, server: BackendServer, now_s: float) -> int:
        """Estimate the requests that a server runs or has waiting.

        :param server: the server.
        :param now_s: the present time.
        """
        own = self.under_way[server.server_id]
        told = self._told(server, now_s)
        if told is None:
            return own
        return max(own, told.state.running + told.state.queued)

    def unread_tokens(self, server: BackendServer, now_s: float) -> int:
        """Estimate the prompt tokens that a server has still to read.

        :param server: the server.
        :param now_s: the present time.
        """
        own = self.unread.get(server.server_id, 0)
        told = self._told(server, now_s)
        return max(own, told.state.unread_tokens) if told else own

    def _told(self, server: BackendServer, now_s: float) -> ToldState | None:
        told = self.told.get(server.server_id)
        if told is None or now_s - told.told_s > OWNER_WORD_S:
            return None
        return told if told.state.born_ms in {0, server.born_ms} else None

    def _told_of_start(self, server_id: str, born_ms: int) -> ToldState | None:
        """Return what was told of one start of a server."""
        told = self.told.get(server_id)
        return told if told and told.state.born_ms == born_ms else None

    def _drop(self, server_id: str) -> None:
        self._lapsed.pop(server_id, None)
        self.servers.pop(server_id, None)
        self.health.pop(server_id, None)
        self.told.pop(server_id, None)

    @singledispatchmethod
    def _apply(self, change: Change, now_s: float) -> None:
        raise NotImplementedError(change)

    @_apply.register
    def _(self, change: ConfigurationNamed, now_s: float) -> None:
        current = self.configuration
        if current is None or change.configuration.version > current.version:
            self.configuration = change.configuration

    @_apply.register
    def _(self, change: VersionNamed, now_s: float) -> None:
        known = self.version_of(change.key)
        self.versions[change.key] = max(known, change.version)

    @_apply.register
    def _(self, change: ServerListed, now_s: float) -> None:
        server = change.server
        self._lapsed.pop(server.server_id, None)
        known = self.servers.get(server.server_id)
        if known is not None and known.born_ms != server.born_ms:
            self._drop(server.server_id)
        self.servers[server.server_id] = server

    @_apply.register
    def _(self, change: ServerRemoved, now_s: float) -> None:
        back_s = now_s if self._store_lost else self._store_back_s
        due_s = back_s + _RETURN_S
        if now_s >= due_s:
            self._drop(change.server_id)
        elif change.server_id in self.servers:
            self._lapsed.setdefault(change.server_id, due_s)

    @_apply.register
    def _(self, change: OwnerNamed, now_s: float) -> None:
        known = self.owners.get(change.group)
        if known is None or change.revision > known.revision:
            self.owners[change.group] = OwnerRecord(
                change.group,
                change.instance,
                change.host,
                change.revision,
                now_s,
                change.is_released,
            )

    @_apply.register
    def _(self, change: InstanceListed, now_s: float) -> None:
        self.instances[change.instance] = change
