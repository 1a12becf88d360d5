"""The owner of one engine, which orders its loads and evictions."""

import threading
from typing import Protocol

from expression import Result

from wasabicross.dispatching.engines import Inventory, LoadOrder, LoadReport
from wasabicross.dispatching.errors import LoadFailed, OrderError, OrderRefused
from wasabicross.loads.evictions import EvictingEngine, Evictions
from wasabicross.loads.held_loads import HeldLoad, HeldLoads
from wasabicross.loads.inherited_wait import InheritedWait
from wasabicross.loads.load_names import LoadName
from wasabicross.loads.load_queue import (
    NO_ROOM_RETRY_S,
    LoadPermits,
    LoadQueue,
    QueuedRequest,
)
from wasabicross.loads.subscribers import Subscribers
from wasabicross.messaging.links import Link
from wasabicross.messaging.messages import (
    LoadsGone,
    LoadsOpened,
    LoadsSnapshot,
    LoadUse,
    ServerLoad,
    ServerReport,
    ServerTerm,
    WantLoad,
)
from wasabicross.ownership.instance_lease import Renewal
from wasabicross.ownership.owner_lease import OwnerLease
from wasabicross.runtime.events import Event
from wasabicross.runtime.logs import log_event
from wasabicross.servers.policy import Weights

INVENTORY_INTERVAL_S = 0.5
MAX_REPORT_AGE_S = 3600.0
NO_REPORT = LoadReport(0, 0, {}, 0)


class EngineOrders(EvictingEngine, Protocol):
    """The orders and queries that an engine accepts."""

    def load(self, order: LoadOrder) -> Result[None, OrderError]:
        """Load an adapter version and wait until it is loaded."""

    def inventory(self) -> Result[Inventory, OrderError]:
        """Return the loads that the engine holds, and its slots."""

    def load_report(self) -> Result[LoadReport, OrderError]:
        """Return how busy the engine was at its last report, with its age."""


class ServerOwner:
    """Owner of one engine for one term.

    It orders loads under permits, and evicts a load once all instances that
    may use it have consented. Its own thread calls `step`; other threads call
    the methods that record what it learns, and wake it.

    :param server: the server and the term of the ownership.
    :param engine: takes the orders.
    :param subscribers: the instances that may use the loads.
    :param permits: issues the permits to load from the weight store.
    """

    def __init__(
        self,
        server: ServerTerm,
        engine: EngineOrders,
        subscribers: Subscribers,
        permits: LoadPermits,
    ) -> None:
        self.server = server
        self.deposed = threading.Event()
        self.weights = Weights()
        self.lease = OwnerLease()
        self.inherited_wait = InheritedWait(subscribers)
        self.held = HeldLoads(server.term)
        self.queue = LoadQueue(server.server_id, permits)
        self._engine = engine
        self._subscribers = subscribers
        self._evictions = Evictions(
            server,
            engine,
            self.held,
            subscribers,
            self.inherited_wait,
            self.deposed,
        )
        self._wake = threading.Event()
        self._reported_s: dict[str, float] = {}
        self._settled_s: float | None = None
        self._load_number = 0
        self._batch_size = 0
        self._inventory_s = float('-inf')
        self._report = NO_REPORT
        self._report_s = float('-inf')

    @property
    def is_settled(self) -> bool:
        """Whether every instance that may use the loads has reported."""
        return self._settled_s is not None

    @property
    def may_grant(self) -> bool:
        """Whether no earlier owner can still grant use unaware of this one."""
        return self.is_settled and self.inherited_wait.began_s is not None

    def continue_from(self, previous: 'ServerOwner') -> None:
        """Take over the state of an earlier owner in this process.

        No other owner can have granted use between the two terms: it would
        have read a list with this instance, and waited for the report of this
        instance. So the state is still valid.

        :param previous: the owner of the same server for an earlier term.
        """
        self.held.continue_from(previous.held)
        self.inherited_wait.began_s = previous.inherited_wait.began_s

    # Called by other threads.

    def request_load(
        self, load_request: WantLoad, requester: Link, now_s: float
    ) -> None:
        """Queue a load request.

        :param load_request: the adapter version, and how many requests wait
            for it; with none, it asks for one more copy.
        :param requester: the link to answer on if the load is declined.
        :param now_s: present time, monotonic seconds.
        """
        if not load_request.waiting:
            self.held.count_copy_request(load_request.adapter, now_s)
        self.queue.add(load_request, requester, now_s)
        self._wake.set()

    def permit_granted(self, adapter: str, version: str) -> None:
        """Accept a permit to load an adapter version.

        :param adapter: name of the adapter.
        :param version: its version.
        """
        self.queue.add_permit(adapter, version)
        self._wake.set()

    def record_usage(self, source: str, use: LoadUse, now_s: float) -> None:
        """Record an entry's usage of a load.

        :param source: the instance and the entry.
        :param use: requests started since the last report, and running now.
        :param now_s: present time, monotonic seconds.
        """
        self.held.record_usage(source, use, now_s)

    def load_missing(self) -> None:
        """Have the inventory read at once, since the engine lacks a load."""
        self._inventory_s = float('-inf')
        self._wake.set()

    def receive_report(
        self, instance_id: str, report: ServerReport, now_s: float
    ) -> None:
        """Handle an instance's report of the loads that it knows.

        :param instance_id: the instance that reports.
        :param report: its open and closed loads on this server. Open loads
            count only if a resident reports them: an earlier owner may have
            evicted them without the consent of a visitor, an instance of
            another data centre.
        :param now_s: present time, monotonic seconds.
        """
        if report.server.term == self.server.term:
            is_resident = self._subscribers.is_resident(instance_id)
            opened = report.opened if is_resident else ()
            self.held.mark_reported(opened, report.closed)
            self._reported_s.setdefault(instance_id, now_s)
            self._wake.set()

    def load_drained(self, instance_id: str, load_name: str) -> None:
        """Handle an instance's consent to evict a load.

        :param instance_id: the instance that consents.
        :param load_name: name of the load.
        """
        self.held.record_consent(instance_id, load_name)
        self._wake.set()

    def close_refused(self, known: ServerTerm) -> None:
        """Stop if a refused consent names a later owner.

        :param known: the term that the refusal names.
        """
        if known.term > self.server.term:
            self.deposed.set()
            self._wake.set()

    def snapshot(self) -> LoadsSnapshot | None:
        """Return the open loads, for an instance that has just linked.

        :returns: None before all instances have reported, since the owner
            does not know the open loads until then.
        """
        if self._settled_s is None:
            return None
        return LoadsSnapshot(self.server, self.held.opened())

    def server_load(
        self, renewal: Renewal, resident_since_s: float, now_s: float
    ) -> ServerLoad:
        """Return how busy the engine was at its last report.

        :param renewal: the last renewal of the instance's lease.
        :param resident_since_s: monotonic time since which the list has
            shown this instance, infinite while that is not certain.
        :param now_s: present time, monotonic seconds.
        """
        confirmed_s = self.lease.confirmed_s(renewal, resident_since_s, now_s)
        return ServerLoad(
            self.server.server_id,
            self._report.running,
            self._report.waiting,
            self._batch_size,
            min(MAX_REPORT_AGE_S, now_s - self._report_s),
            min(MAX_REPORT_AGE_S, now_s - confirmed_s),
        )

    def wait(self, timeout_s: float) -> None:
        """Wait until another thread wakes the owner, at most the time given."""
        self._wake.wait(timeout_s)
        self._wake.clear()

    # Called by its own thread.

    def step(self, now_s: float) -> None:
        """Do what is due: read the inventory, settle, evict, load.

        :param now_s: present time, monotonic seconds.
        """
        if now_s - self._inventory_s >= INVENTORY_INTERVAL_S:
            self._inventory_s = now_s
            self._read_inventory(now_s)
        if self._settled_s is None:
            self._settle(now_s)
        if self._settled_s is not None:
            self.inherited_wait.begin(self._reported_s, now_s)
        self._evictions.continue_closing(now_s)
        self._serve_load_requests(now_s)

    def _read_inventory(self, now_s: float) -> None:
        inventory = self._engine.inventory().default_value(None)
        if inventory is None:
            return
        self.held.slots = inventory.slots
        self._batch_size = inventory.batch_size
        gone, found = self.held.reconcile(inventory.loads, now_s)
        if gone:
            self._subscribers.broadcast(LoadsGone(gone))
        if self._settled_s is not None:
            for held in found:
                self._announce_load(held)
        report = self._engine.load_report().default_value(None)
        if report is not None:
            self._report = report
            self._report_s = now_s - report.age_s

    def _settle(self, now_s: float) -> None:
        """Open the inherited loads once every instance has reported.

        Only a load that an instance reported as open is kept open: that
        instance was not asked to close it, so no eviction was ordered.
        """
        needed = self._subscribers.must_consent(now_s)
        if needed - self._reported_s.keys():
            return
        self._settled_s = max((now_s, *self._reported_s.values()))
        for held in self.held.all():
            self._announce_load(held)
        log_event(
            Event.OWNER_SETTLED,
            server=self.server.server_id,
            term=self.server.term,
            inherited=len(self.held),
        )

    def _announce_load(self, held: HeldLoad) -> None:
        name = str(held.name)
        if not self.held.may_open(held):
            held.close()
            return
        held.is_open = True
        self._subscribers.broadcast(LoadsOpened(self.server, [name]))

    def _serve_load_requests(self, now_s: float) -> None:
        """Load what was requested, as far as there are slots.

        A permit is requested only for a load that has a free slot. A permit
        that is not used would take its share of the weight store's rate from
        loads that have a slot.
        """
        free_slots = self.held.slots - len(self.held)
        closing_loads = len(self.held.closing())
        for queued in self.queue.due(now_s):
            if self.deposed.is_set():
                return
            opened = self.held.opened_of(*queued.version)
            if opened:
                self.queue.remove(queued)
                self._subscribers.broadcast(LoadsOpened(self.server, opened))
            elif free_slots > 0:
                free_slots -= 1
                self._load_if_permitted(queued, now_s)
            elif closing_loads > 0:
                closing_loads -= 1
            else:
                self._make_room(queued, now_s)

    def _load_if_permitted(self, queued: QueuedRequest, now_s: float) -> None:
        if self.queue.take_permit(queued, now_s):
            self._order_load(queued, now_s)

    def _order_load(self, queued: QueuedRequest, now_s: float) -> None:
        self._load_number += 1
        server = self.server
        name = LoadName(
            *queued.version, server.server_id, server.term, self._load_number
        )
        order = LoadOrder(str(name), *queued.version, server.term)
        outcome = self._engine.load(order)
        self.queue.return_permit(queued, outcome.is_ok())
        if outcome.is_ok():
            self.queue.remove(queued)
            self._announce_load(self.held.add(name, now_s))
            log_event(Event.LOAD_DONE, load=str(name))
            return
        log_event(Event.LOAD_FAILED, load=str(name), code=outcome.error.code)
        if isinstance(outcome.error, OrderRefused):
            self.deposed.set()
        if isinstance(outcome.error, LoadFailed):
            self.queue.decline(queued)
        self._inventory_s = float('-inf')

    def _make_room(self, queued: QueuedRequest, now_s: float) -> None:
        load_request = queued.load_request
        displacing = '' if load_request.waiting else load_request.adapter
        victim = self.held.victim(now_s, self.weights, displacing)
        if victim is None:
            self.queue.decline(queued, NO_ROOM_RETRY_S)
            return
        victim.close()
        self._evictions.close(victim, now_s)
