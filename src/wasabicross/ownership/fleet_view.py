"""The instance list as one instance sees it, and what follows from it."""

import threading
from collections.abc import Iterable

from wasabicross.messaging.messages import FleetUpdate, ServerInfo
from wasabicross.stores.instances import LIVE, BackendServer, Fleet

NO_FLEET = Fleet((), ())


class FleetView:
    """The last list that was read, seen from one instance.

    :param instance_id: the instance.
    :param data_centre: where it runs.
    """

    def __init__(self, instance_id: str, data_centre: str) -> None:
        self._instance_id = instance_id
        self._data_centre = data_centre
        self._fleet = NO_FLEET
        # The list last read, without the servers that it missed.
        self._read = NO_FLEET
        self._listed: frozenset[str] = frozenset()
        self._lock = threading.Lock()
        self._confirmed: set[str] = set()
        #: Monotonic time since which each list has shown this instance.
        self.resident_since_s = float('inf')
        # Servers that the last reading missed.
        self._missed: frozenset[str] = frozenset()

    @property
    def servers(self) -> tuple[BackendServer, ...]:
        """All backend servers."""
        return self._fleet.servers

    def apply_list(self, fleet: Fleet, now_s: float) -> bool:
        """Take a list that was read; return whether anything has changed.

        A server that one reading alone misses stays as it was.

        :param fleet: what the list shows.
        :param now_s: monotonic seconds.
        """
        before = self._fleet
        if fleet is self._read and not self._missed:
            return False
        self._read = fleet
        self._listed = frozenset(each.instance_id for each in fleet.instances)
        self._fleet = fleet._replace(
            servers=(*fleet.servers, *self._newly_missed(fleet))
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
        """Return all instances, live and leaving."""
        return self._listed

    def residents(self) -> set[str]:
        """Return the instances of this data centre, live and leaving."""
        return {
            each.instance_id
            for each in self._fleet.instances
            if each.data_centre == self._data_centre
        }

    def live_residents(self) -> list[str]:
        """Return the live instances of this data centre."""
        return [
            each.instance_id
            for each in self._fleet.instances
            if each.data_centre == self._data_centre and each.state == LIVE
        ]

    def is_engine(self, server_id: str) -> bool:
        """Tell whether the list shows an engine of this id."""
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
        """Note servers whose owner sees this instance in its own list.

        From then on the owner asks this instance before it evicts, so that
        a server of the same data centre needs no grant of use.

        :param server_ids: servers that the owner has told of.
        :returns: whether any of them is new.
        """
        with self._lock:
            fresh = set(server_ids) - self._confirmed
            self._confirmed |= fresh
            return bool(fresh)

    def update(self) -> FleetUpdate:
        """Return what the entries are told."""
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

    def _newly_missed(self, fleet: Fleet) -> list[BackendServer]:
        """Return the servers that this reading is the first to miss."""
        read = {server.server_id for server in fleet.servers}
        missed = [
            server
            for server in self._fleet.servers
            if server.server_id not in read | self._missed
        ]
        self._missed = frozenset(server.server_id for server in missed)
        return missed
