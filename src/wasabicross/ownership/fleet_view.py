"""The instance list as an instance last read it."""

import threading
from collections.abc import Iterable

from wasabicross.messaging.messages import FleetUpdate, ServerInfo
from wasabicross.stores.instances import LIVE, BackendServer, Fleet

EMPTY_FLEET = Fleet((), ())


class FleetView:
    """Keeps the list that was read last, and derives views of it.

    :param instance_id: the instance.
    :param data_centre: the data centre of the instance.
    """

    def __init__(self, instance_id: str, data_centre: str) -> None:
        self._instance_id = instance_id
        self._data_centre = data_centre
        self._fleet = EMPTY_FLEET
        # The list as read, without the servers that are kept while missing.
        self._last_read = EMPTY_FLEET
        self._listed_ids: frozenset[str] = frozenset()
        self._lock = threading.Lock()
        self._confirmed: set[str] = set()
        #: Monotonic time since which every list read has shown this
        #: instance, infinite while it is not listed.
        self.resident_since_s = float('inf')
        # Servers kept in the last reading although they were missing from it.
        self._kept_missing: frozenset[str] = frozenset()

    @property
    def servers(self) -> tuple[BackendServer, ...]:
        """All backend servers."""
        return self._fleet.servers

    def apply_list(self, fleet: Fleet, now_s: float) -> bool:
        """Apply a list that was read; return whether anything has changed.

        A server that is missing is kept for one reading, and removed if it
        is missing from the next one too.

        :param fleet: the list as read.
        :param now_s: present time, monotonic seconds.
        """
        before = self._fleet
        if fleet is self._last_read and not self._kept_missing:
            return False
        self._last_read = fleet
        self._listed_ids = frozenset(
            each.instance_id for each in fleet.instances
        )
        self._fleet = fleet._replace(
            servers=(*fleet.servers, *self._newly_missing(fleet))
        )
        if self._instance_id in self.residents():
            self.resident_since_s = min(self.resident_since_s, now_s)
        else:
            self.resident_since_s = float('inf')
        return (self._fleet.instances, set(self._fleet.servers)) != (
            before.instances,
            set(before.servers),
        )

    def listed_instances(self) -> frozenset[str]:
        """Return the ids of all instances, live and leaving."""
        return self._listed_ids

    def residents(self) -> set[str]:
        """Return the ids of this data centre's instances, live and leaving."""
        return {
            each.instance_id
            for each in self._fleet.instances
            if each.data_centre == self._data_centre
        }

    def live_residents(self) -> list[str]:
        """Return the ids of the live instances of this data centre."""
        return [
            each.instance_id
            for each in self._fleet.instances
            if each.data_centre == self._data_centre and each.state == LIVE
        ]

    def is_engine(self, server_id: str) -> bool:
        """Return whether the list shows an engine of this id."""
        return any(
            server.server_id == server_id and server.kind == 'engine'
            for server in self._fleet.servers
        )

    def local_engines(self) -> list[BackendServer]:
        """Return the engines of this data centre."""
        return [
            server
            for server in self._fleet.servers
            if server.kind == 'engine'
            and server.data_centre == self._data_centre
        ]

    def confirm_listing(self, server_ids: Iterable[str]) -> bool:
        """Record servers whose owner has this instance in its own list.

        From then on the owner asks this instance for consent before it
        evicts, so a server of the same data centre needs no use grant.

        :param server_ids: servers that the owner has reported.
        :returns: whether any of them is recorded for the first time.
        """
        with self._lock:
            unconfirmed = set(server_ids) - self._confirmed
            self._confirmed |= unconfirmed
            return bool(unconfirmed)

    def update(self) -> FleetUpdate:
        """Return the update that is sent to the entries."""
        is_listed = self._instance_id in self.listed_instances()
        need_grant = [
            server.server_id
            for server in self._fleet.servers
            if server.data_centre != self._data_centre
            or server.server_id not in self._confirmed
            or not is_listed
        ]
        servers = [ServerInfo(*server) for server in self._fleet.servers]
        return FleetUpdate(servers, need_grant)

    def _newly_missing(self, fleet: Fleet) -> list[BackendServer]:
        """Return the servers missing from this reading, not from the last."""
        read = {server.server_id for server in fleet.servers}
        missing = [
            server
            for server in self._fleet.servers
            if server.server_id not in read | self._kept_missing
        ]
        self._kept_missing = frozenset(server.server_id for server in missing)
        return missing
