"""The engines that this instance owns, each with a thread of its own."""

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
from wasabicross.ownership.ownership import OwnerStart
from wasabicross.ownership.server_owner import ServerOwner
from wasabicross.ownership.standing import Standing
from wasabicross.ownership.trial_permits import TrialPermits
from wasabicross.servers.policy import Weights
from wasabicross.stores.instances import BackendServer

STEP_S = 0.05


class DeskLink:
    """Asks for load permits wherever the desk is at present.

    :param data_centre: where the servers owned here stand.
    :param send: sends a message to the instance that keeps the desk.
    """

    def __init__(
        self, data_centre: str, send: Callable[[object], None]
    ) -> None:
        self._data_centre = data_centre
        self._send = send

    def request(self, server_id: str, want: WantLoad, since_s: float) -> None:
        """Ask for a permit.

        :param server_id: the server that is to load.
        :param want: the adapter version, and how many requests wait.
        :param since_s: monotonic time since which they wait.
        """
        waited_s = max(0, time.monotonic() - since_s)
        self._send(
            PermitLoad(
                server_id,
                self._data_centre,
                want.adapter,
                want.version,
                want.waiting,
                waited_s,
            ),
        )

    def return_permit(
        self, server_id: str, want: WantLoad, loaded: bool
    ) -> None:
        """Give the permit back once the load has ended."""
        self._send(
            PermitReturned(
                server_id,
                self._data_centre,
                want.adapter,
                want.version,
                loaded,
            ),
        )

    def return_unused(self, server_id: str, adapter: str, version: str) -> None:
        """Give a permit back that nothing waits for any more."""
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
    """The owners of the servers that this instance owns.

    :param subscribers: the instances that may use the loads.
    :param permits: where permits to load are asked for.
    :param known_term: tells the highest term known of a server.
    :param on_deposed: told of a server that has a later owner.
    :param standing: tells whether this process was listed and not frozen.
    :param fencing: servers that refuse orders with an old fencing term.
    """

    def __init__(
        self,
        subscribers: Subscribers,
        permits: DeskLink,
        known_term: Callable[[str], int],
        on_deposed: Callable[[str], None],
        standing: Standing,
        fencing: Iterable[str] = (),
    ) -> None:
        #: The permits to try suspect requests on the servers.
        self.trials = TrialPermits(subscribers.window.max_request_s)
        self.known_term = known_term
        self._subscribers = subscribers
        self._permits = permits
        self._on_deposed = on_deposed
        self._standing = standing
        self._fencing = frozenset(fencing)
        self._lock = threading.Lock()
        self._servers: dict[str, BackendServer] = {}
        self._owners: dict[str, ServerOwner] = {}
        self._weights = Weights()

    def follow(self, servers: Iterable[BackendServer]) -> None:
        """Note the addresses of the engines of this data centre."""
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
        """Begin to own a server under a new term."""
        server = start.server
        if not start.is_continued and self.known_term(server.server_id):
            # An earlier owner's permits may still be of use.
            self.trials.hold_off(server.server_id, start.sent_s)
        with self._lock:
            address = self._servers[server.server_id]
            engine = Engine(
                Dispatcher(address.host, address.port),
                checks_terms=server.server_id in self._fencing,
            )
            owner = ServerOwner(
                server, engine, self._subscribers, self._permits
            )
            owner.weights = self._weights
            owner.lease.lease_id = start.lease_id
            owner.lease.leased_s = start.sent_s
            owner.inherited_wait.taken_over_s = time.monotonic()
            before = self._owners.get(server.server_id)
            if before is not None:
                before.deposed.set()
                if start.is_continued and self._may_continue(before):
                    owner.continue_from(before)
            self._owners[server.server_id] = owner
        threading.Thread(
            target=self._run,
            args=(owner,),
            name=f'own-{server.server_id}',
            daemon=True,
        ).start()
        self._subscribers.broadcast(self.announcement())

    def owner_ended(self, server_id: str) -> None:
        """Stop to own a server."""
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

    def of_load(self, load_name: str) -> ServerOwner | None:
        """Return the owner of a load's server if that is this instance."""
        return self.get(server_of(load_name))

    def announcement(self) -> OwnedServers:
        """Return the servers owned here with their terms."""
        with self._lock:
            return OwnedServers(
                [owner.server for owner in self._owners.values()],
            )

    def loads(self, renewal: Renewal, now_s: float) -> list[ServerLoad]:
        """Return how busy each server owned here was at its last report.

        A server is left out, and so its use is not granted, until all
        residents of a list read since the takeover have reported to its owner.

        :param renewal: the last renewal of the instance's lease.
        :param now_s: monotonic seconds.
        """
        with self._lock:
            owners = list(self._owners.values())
        since_s = self._standing.resident_since_s(now_s)
        return [
            owner.server_load(renewal, since_s, now_s)
            for owner in owners
            if owner.may_grant and not owner.deposed.is_set()
        ]

    def confirmed(self, servers: Iterable[ServerTerm], asked_s: float) -> None:
        """Note that another resident knew of no later owner of servers.

        :param servers: servers owned here, as the resident knows it.
        :param asked_s: monotonic time at which it was asked.
        """
        for server in servers:
            owner = self.get(server.server_id)
            if owner is not None and owner.server == server:
                owner.lease.confirm(asked_s)

    def snapshots(self) -> list[LoadsSnapshot]:
        """Return the open loads of each server whose owner is settled."""
        with self._lock:
            owners = list(self._owners.values())
        snapshots = [owner.snapshot() for owner in owners]
        return [snapshot for snapshot in snapshots if snapshot]

    def want(
        self, server_id: str, want: WantLoad, asker: Link, now_s: float
    ) -> None:
        """Pass a want on to the owner of its server, if that is here.

        :param server_id: id of the engine.
        :param want: what is wanted.
        :param asker: link to the instance whose entries wait.
        :param now_s: monotonic seconds.
        """
        owner = self.get(server_id)
        if owner is not None:
            owner.want(want, asker, now_s)

    def opened(self, load_names: Iterable[str]) -> None:
        """Drop what requests waited for that some server holds now."""
        found = [parse_load_name(load_name) for load_name in load_names]
        with self._lock:
            owners = list(self._owners.values())
        for owner in owners:
            for name in found:
                if name is not None:
                    owner.queue.drop_satisfied(name.adapter, name.version)

    def used(self, told: LoadUses, now_s: float) -> None:
        """Pass on how an entry uses loads.

        :param told: the uses of one entry.
        :param now_s: monotonic seconds.
        """
        for use in told.usage:
            owner = self.of_load(use.load_name)
            if owner is not None:
                owner.used(told.source, use, now_s)

    def permitted(self, granted: PermitGranted) -> None:
        """Pass a permit on to the owner that asked for it."""
        owner = self.get(granted.server_id)
        if owner is not None:
            owner.permitted(granted.adapter, granted.version)

    def _may_continue(self, before: ServerOwner) -> bool:
        """Tell whether any owner in between must have been heard of."""
        since_s = self._standing.resident_since_s(time.monotonic())
        return since_s <= before.lease.leased_s

    def _run(self, owner: ServerOwner) -> None:
        while not owner.deposed.is_set():
            now_s = time.monotonic()
            if not self._standing.has_paused(now_s):
                owner.step(now_s)
            owner.wait(STEP_S)
        if self.get(owner.server.server_id) is owner:
            self._on_deposed(owner.server.server_id)
