"""The owner of one engine: orders its loads and, by consent, evictions."""

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
    Wanted,
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
    """The orders and questions that an engine takes."""

    def load(self, order: LoadOrder) -> Result[None, OrderError]:
        """Load an adapter version and wait until it is loaded."""

    def inventory(self) -> Result[Inventory, OrderError]:
        """Return the loads that the engine holds, and its slots."""

    def load_report(self) -> Result[LoadReport, OrderError]:
        """Return how busy the engine was a while ago."""


class ServerOwner:
    """Owner of one engine for one term.

    :param server: the server and the term of the ownership.
    :param engine: takes the orders.
    :param subscribers: the instances that may use the loads.
    :param permits: the weight store's budget.
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
        self._sequence = 0
        self._batch_size = 0
        self._looked_s = float('-inf')
        self._report = NO_REPORT
        self._report_s = float('-inf')

    @property
    def is_settled(self) -> bool:
        """Whether every instance that may use the loads has reported."""
        return self._settled_s is not None

    @property
    def may_grant(self) -> bool:
        """Whether no earlier owner can go on without having heard of this."""
        return self.is_settled and self.inherited_wait.began_s is not None

    def continue_from(self, before: 'ServerOwner') -> None:
        """Take over what an owner of this process knew.

        No other owner can have granted use between the two, since it would
        have had to read a list that shows this instance, and to wait for its
        report. So what was known still holds.

        :param before: the owner of the same server for an earlier term.
        """
        self.held.continue_from(before.held)
        self.inherited_wait.began_s = before.inherited_wait.began_s

    # What other threads tell it.

    def request_load(self, want: WantLoad, asker: Link, now_s: float) -> None:
        """Note that requests wait for an adapter version.

        :param want: the adapter version, and how many wait.
        :param asker: the link to answer on if the load is declined.
        :param now_s: monotonic seconds.
        """
        if not want.waiting:
            self.held.copy_wanted(want.adapter, now_s)
        self.queue.add(want, asker, now_s)
        self._wake.set()

    def permit_granted(self, adapter: str, version: str) -> None:
        """Take a permit to load an adapter version.

        :param adapter: name of the adapter.
        :param version: its version.
        """
        self.queue.permitted(adapter, version)
        self._wake.set()

    def record_usage(self, source: str, use: LoadUse, now_s: float) -> None:
        """Note how an entry uses a load.

        :param source: the entry.
        :param use: requests started lately and running now.
        :param now_s: monotonic seconds.
        """
        self.held.used(source, use, now_s)

    def load_missing(self) -> None:
        """Note that the engine denied holding a load; looks at once."""
        self._looked_s = float('-inf')
        self._wake.set()

    def receive_report(
        self, instance_id: str, report: ServerReport, now_s: float
    ) -> None:
        """Take an instance's report of what it knows of the loads.

        :param instance_id: who reports.
        :param report: its open and closed loads on this server. Open loads
            count only where told by a resident: a visitor may not have been
            asked for its consent to evict them.
        :param now_s: monotonic seconds.
        """
        if report.server.term == self.server.term:
            is_resident = self._subscribers.is_resident(instance_id)
            opened = report.opened if is_resident else ()
            self.held.mark_reported(opened, report.closed)
            self._reported_s.setdefault(instance_id, now_s)
            self._wake.set()

    def load_drained(self, instance_id: str, load_name: str) -> None:
        """Take an instance's consent to evict a load.

        :param instance_id: who consents.
        :param load_name: name of the load.
        """
        self.held.drained(instance_id, load_name)
        self._wake.set()

    def close_refused(self, known: ServerTerm) -> None:
        """Learn from a refused consent that a later owner exists.

        :param known: the term that the refusal names.
        """
        if known.term > self.server.term:
            self.deposed.set()
            self._wake.set()

    def snapshot(self) -> LoadsSnapshot | None:
        """Return the open loads, for an instance that has just linked.

        Before all instances have reported, the owner does not know them.
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
            shown this instance, infinite while that does not count.
        :param now_s: monotonic seconds.
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
        """Wait until something was told, at most the time given."""
        self._wake.wait(timeout_s)
        self._wake.clear()

    # Its own thread.

    def step(self, now_s: float) -> None:
        """Do what is due: look, settle, evict, load.

        :param now_s: monotonic seconds.
        """
        if now_s - self._looked_s >= INVENTORY_INTERVAL_S:
            self._looked_s = now_s
            self._look(now_s)
        if self._settled_s is None:
            self._settle(now_s)
        if self._settled_s is not None:
            self.inherited_wait.begin(self._reported_s, now_s)
        self._evictions.go_on(now_s)
        self._serve_wants(now_s)

    def _look(self, now_s: float) -> None:
        inventory = self._engine.inventory().default_value(None)
        if inventory is None:
            return
        self.held.slots = inventory.slots
        self._batch_size = inventory.batch_size
        gone, found = self.held.compare(inventory.loads, now_s)
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
        """Open what was inherited once every instance has reported.

        Only a load that an instance still knows as open is kept open: that
        instance was not asked to close it, so no evict was ever ordered.
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

    def _serve_wants(self, now_s: float) -> None:
        """Load what is wanted, as far as there are slots.

        Each want has a free slot of its own before a permit is asked for. A
        permit that is not used takes its place in the weight store's rate
        from loads that have room.
        """
        free = self.held.slots - len(self.held)
        emptying = len(self.held.closing())
        for wanted in self.queue.due(now_s):
            if self.deposed.is_set():
                return
            opened = self.held.opened_of(*wanted.version)
            if opened:
                self.queue.remove(wanted)
                self._subscribers.broadcast(LoadsOpened(self.server, opened))
            elif free > 0:
                free -= 1
                self._load_if_permitted(wanted, now_s)
            elif emptying > 0:
                emptying -= 1
            else:
                self._make_room(wanted, now_s)

    def _load_if_permitted(self, wanted: Wanted, now_s: float) -> None:
        if self.queue.take_permit(wanted, now_s):
            self._order_load(wanted, now_s)

    def _order_load(self, wanted: Wanted, now_s: float) -> None:
        self._sequence += 1
        server = self.server
        name = LoadName(
            *wanted.version, server.server_id, server.term, self._sequence
        )
        order = LoadOrder(str(name), *wanted.version, server.term)
        outcome = self._engine.load(order)
        self.queue.give_back(wanted, outcome.is_ok())
        if outcome.is_ok():
            self.queue.remove(wanted)
            self._announce_load(self.held.add(name, now_s))
            log_event(Event.LOAD_DONE, load=str(name))
            return
        log_event(Event.LOAD_FAILED, load=str(name), code=outcome.error.code)
        if isinstance(outcome.error, OrderRefused):
            self.deposed.set()
        if isinstance(outcome.error, LoadFailed):
            self.queue.decline(wanted)
        self._looked_s = float('-inf')

    def _make_room(self, wanted: Wanted, now_s: float) -> None:
        want = wanted.want
        displacing = '' if want.waiting else want.adapter
        victim = self.held.victim(now_s, self.weights, displacing)
        if victim is None:
            self.queue.decline(wanted, NO_ROOM_RETRY_S)
            return
        victim.close()
        self._evictions.close(victim, now_s)
