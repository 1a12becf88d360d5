"""The engines that this instance owns, each with a thread."""

import threading
import time
from collections.abc import Callable, Iterable

from wasabicross.dispatching.dispatch import Dispatcher
from wasabicross.dispatching.engines import Engine
from wasabicross.loads.load_names import parse_load_name, server_of
from wasabicross.loads.subscribers import Subscribers
from wasabicross.messaging.links import Link
from wasabicross.messaging.messages import (
    LoadsSnapshot,
    LoadUses,
    OwnedServers,
    PermitGranted,
    PermitLoad,
    PermitReturned,
    ServerLoad,
    ServerTerm,
    WantLoad,
)
from wasabicross.ownership.instance_lease import Renewal
from wasabicross.ownership.instance_status import InstanceStatus
from wasabicross.ownership.owner_election import OwnerStart
from wasabicross.ownership.server_owner import ServerOwner
from wasabicross.ownership.trial_permits import TrialPermits
from wasabicross.servers.policy import Weights
from wasabicross.stores.instances import BackendServer

STEP_S = 0.05


class PermitClient:
    """Requests and returns load permits at the instance that issues them.

    :param data_centre: the data centre of the servers owned here.
    :param send: sends a message to the instance that issues permits.
    """

    def __init__(
        self, data_centre: str, send: Callable[[object], None]
    ) -> None:
        self._data_centre = data_centre
        self._send = send

    def request(
        self, server_id: str, load_request: WantLoad, waiting_since_s: float
    ) -> None:
        """Request a permit.

        :param server_id: the server that is to load.
        :param load_request: the load request, with the number of requests
            that wait.
        :param waiting_since_s: monotonic time since which they wait.
        """
        waited_s = max(0, time.monotonic() - waiting_since_s)
        self._send(
            PermitLoad(
                server_id,
                self._data_centre,
                load_request.adapter,
                load_request.version,
                load_request.waiting,
                waited_s,
            ),
        )

    def return_permit(
        self, server_id: str, load_request: WantLoad, loaded: bool
    ) -> None:
        """Return the permit of a load that has ended."""
        self._send(
            PermitReturned(
                server_id,
                self._data_centre,
                load_request.adapter,
                load_request.version,
                loaded,
            ),
        )

    def return_unused(self, server_id: str, adapter: str, version: str) -> None:
        """Return a permit of a load that no request waits for any more."""
        self._send(
            PermitReturned(
                server_id,
                self._data_centre,
                adapter,
                version,
                loaded=False,
                used=False,
            ),
        )


class Owners:
    """The owners of the engines that this instance owns.

    :param subscribers: the instances that may use the loads.
    :param permits: the client that requests permits to load.
    :param known_term: returns the highest known term of a server.
    :param on_deposed: called with the id of a server that has a later owner.
    :param status: whether this instance was paused, and since when it is
        listed.
    :param fencing: ids of the servers that refuse orders with an old fencing
        term.
    """

    def __init__(
        self,
        subscribers: Subscribers,
        permits: PermitClient,
        known_term: Callable[[str], int],
        on_deposed: Callable[[str], None],
        status: InstanceStatus,
        fencing: Iterable[str] = (),
    ) -> None:
        #: The permits for trials of suspect requests on the servers.
        self.trial_permits = TrialPermits(subscribers.window.max_request_s)
        self.known_term = known_term
        self._subscribers = subscribers
        self._permit_client = permits
        self._on_deposed = on_deposed
        self._status = status
        self._fencing = frozenset(fencing)
        self._lock = threading.Lock()
        self._servers: dict[str, BackendServer] = {}
        self._owners: dict[str, ServerOwner] = {}
        self._weights = Weights()

    def set_servers(self, servers: Iterable[BackendServer]) -> None:
        """Record the addresses of the engines of this data centre."""
        with self._lock:
            for server in servers:
                self._servers[server.server_id] = server

    def set_weights(self, weights: Weights) -> None:
        """Use the weights of the bundle in force."""
        with self._lock:
            self._weights = weights
            for owner in self._owners.values():
                owner.weights = weights

    def owner_started(self, start: OwnerStart) -> None:
        """Start to own a server for a new term."""
        server = start.server
        if not start.is_continued and self.known_term(server.server_id):
            # Permits of an earlier owner may still be in use.
            self.trial_permits.block_until_expiry(
                server.server_id, start.sent_s
            )
        with self._lock:
            address = self._servers[server.server_id]
            engine = Engine(
                Dispatcher(address.host, address.port),
                checks_terms=server.server_id in self._fencing,
            )
            owner = ServerOwner(
                server, engine, self._subscribers, self._permit_client
            )
            owner.weights = self._weights
            owner.lease.lease_id = start.lease_id
            owner.lease.renewed_s = start.sent_s
            owner.inherited_wait.taken_over_s = time.monotonic()
            previous = self._owners.get(server.server_id)
            if previous is not None:
                previous.deposed.set()
                if start.is_continued and self._may_continue(previous):
                    owner.continue_from(previous)
            self._owners[server.server_id] = owner
        threading.Thread(
            target=self._run,
            args=(owner,),
            name=f'own-{server.server_id}',
            daemon=True,
        ).start()
        self._subscribers.broadcast(self.announcement())

    def owner_ended(self, server_id: str) -> None:
        """Stop owning a server."""
        with self._lock:
            owner = self._owners.pop(server_id, None)
        if owner is not None:
            owner.deposed.set()

    def stop(self) -> None:
        """Stop all owners."""
        for server_id in list(self._owners):
            self.owner_ended(server_id)

    def get(self, server_id: str | None) -> ServerOwner | None:
        """Return the owner of a server if that is this instance."""
        return self._owners.get(server_id or '')

    def owner_of_load(self, load_name: str) -> ServerOwner | None:
        """Return the owner of a load's server if that is this instance."""
        return self.get(server_of(load_name))

    def announcement(self) -> OwnedServers:
        """Return the servers owned here, with their terms."""
        with self._lock:
            return OwnedServers(
                [owner.server for owner in self._owners.values()],
            )

    def server_loads(self, renewal: Renewal, now_s: float) -> list[ServerLoad]:
        """Return how busy each server owned here was at its last report.

        The use of the servers returned is granted. A server is left out until
        all residents of a list read since the takeover have reported to its
        owner.

        :param renewal: the last renewal of the instance's lease.
        :param now_s: present time, monotonic seconds.
        """
        with self._lock:
            owners = list(self._owners.values())
        since_s = self._status.resident_since_s(now_s)
        return [
            owner.server_load(renewal, since_s, now_s)
            for owner in owners
            if owner.may_grant and not owner.deposed.is_set()
        ]

    def confirm_ownership(
        self, servers: Iterable[ServerTerm], asked_s: float
    ) -> None:
        """Record that another resident knew of no later owner of servers.

        :param servers: servers owned here, with the terms the resident knows.
        :param asked_s: monotonic time at which it was asked.
        """
        for server in servers:
            owner = self.get(server.server_id)
            if owner is not None and owner.server == server:
                owner.lease.record_confirmation(asked_s)

    def snapshots(self) -> list[LoadsSnapshot]:
        """Return the open loads of each server whose owner is settled."""
        with self._lock:
            owners = list(self._owners.values())
        snapshots = [owner.snapshot() for owner in owners]
        return [snapshot for snapshot in snapshots if snapshot]

    def request_load(
        self,
        server_id: str,
        load_request: WantLoad,
        requester: Link,
        now_s: float,
    ) -> None:
        """Pass a load request to the owner of its server, if that is here.

        :param server_id: id of the engine.
        :param load_request: the load request.
        :param requester: link to the instance whose entries wait.
        :param now_s: present time, monotonic seconds.
        """
        owner = self.get(server_id)
        if owner is not None:
            owner.request_load(load_request, requester, now_s)

    def loads_opened(self, load_names: Iterable[str]) -> None:
        """Drop load requests for adapter versions that a server now holds."""
        found = [parse_load_name(load_name) for load_name in load_names]
        with self._lock:
            owners = list(self._owners.values())
        for owner in owners:
            for name in found:
                if name is not None:
                    owner.queue.drop_satisfied(name.adapter, name.version)

    def record_usage(self, usage: LoadUses, now_s: float) -> None:
        """Pass an entry's usage of loads to the owners of the loads.

        :param usage: the usage of the loads by one entry.
        :param now_s: present time, monotonic seconds.
        """
        for use in usage.usage:
            owner = self.owner_of_load(use.load_name)
            if owner is not None:
                owner.record_usage(usage.source, use, now_s)

    def permit_granted(self, granted: PermitGranted) -> None:
        """Pass a permit to the owner that requested it."""
        owner = self.get(granted.server_id)
        if owner is not None:
            owner.permit_granted(granted.adapter, granted.version)

    def _may_continue(self, previous: ServerOwner) -> bool:
        """Return whether an owner between the two terms would be known here."""
        since_s = self._status.resident_since_s(time.monotonic())
        return since_s <= previous.lease.renewed_s

    def _run(self, owner: ServerOwner) -> None:
        while not owner.deposed.is_set():
            now_s = time.monotonic()
            if not self._status.has_paused(now_s):
                owner.step(now_s)
            owner.wait(STEP_S)
        if self.get(owner.server.server_id) is owner:
            self._on_deposed(owner.server.server_id)
