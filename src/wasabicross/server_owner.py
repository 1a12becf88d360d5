"""The owner of one engine: orders its loads and, by consent, evictions."""

import threading
from typing import NamedTuple, Protocol

from expression import Result

from wasabicross.engines import EvictOrder, Inventory, LoadOrder
from wasabicross.events import Event
from wasabicross.exceptions import (
    AdapterInUse,
    LoadFailed,
    OrderError,
    OrderRefused,
)
from wasabicross.links import Link
from wasabicross.load_names import LoadName, parse_load_name
from wasabicross.logs import log_event
from wasabicross.messages import (
    CloseLoad,
    LoadDeclined,
    LoadsGone,
    LoadsOpened,
    LoadUse,
    ServerReport,
    ServerTerm,
    WantLoad,
)
from wasabicross.placement import Load, choose_victim
from wasabicross.policy import Weights
from wasabicross.popularity import Popularity
from wasabicross.subscribers import Subscribers

INVENTORY_INTERVAL_S = 1.0
PERMIT_REPEAT_S = 1.0
USE_MEMORY_S = 3.0
DECLINE_RETRY_S = 1.0
WANT_EXPIRY_S = 5.0
REPEAT_CLOSE_S = 1.0


class EngineOrders(Protocol):
    """The orders that an engine takes."""

    def load(self, order: LoadOrder) -> Result[None, OrderError]:
        """Load an adapter version and wait until it is loaded."""

    def evict(self, order: EvictOrder) -> Result[None, OrderError]:
        """Evict a load."""

    def inventory(self) -> Result[Inventory, OrderError]:
        """Return the loads that the engine holds, and its slots."""


class LoadPermits(Protocol):
    """Where permits to load from the weight store are had."""

    def request(self, server_id: str, want: WantLoad, since_s: float) -> None:
        """Ask for a permit; `ServerOwner.permitted` is called with it."""

    def give_back(self, server_id: str, want: WantLoad, loaded: bool) -> None:
        """Give the permit back once the load has ended."""


class _Want(NamedTuple):
    want: WantLoad
    asker: Link
    since_s: float
    asked_s: float


class _Use(NamedTuple):
    running: int
    told_s: float


class _Held:
    """A load that the engine holds, as its owner sees it."""

    def __init__(self, name: LoadName, opened_s: float) -> None:
        self.name = name
        self.opened_s = opened_s
        self.is_open = False
        self.is_inherited = False
        self.drained: set[str] | None = None
        self.asked: dict[str, float] = {}
        self.uses: dict[str, _Use] = {}

    def running(self, now_s: float) -> int:
        """Return the requests running, as far as entries told lately."""
        return sum(
            use.running
            for use in self.uses.values()
            if now_s - use.told_s < USE_MEMORY_S
        )


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
        self._engine = engine
        self._subscribers = subscribers
        self._permits = permits
        self._lock = threading.RLock()
        self._wake = threading.Event()
        self._held: dict[str, _Held] = {}
        self._wants: dict[tuple[str, str], _Want] = {}
        self._permitted: set[tuple[str, str]] = set()
        self._permits_asked: dict[tuple[str, str], float] = {}
        self._closed: set[str] = set()
        self._reported: set[str] = set()
        self._settled_s: float | None = None
        self._last_report_s = float('-inf')
        self._slots = 0
        self._sequence = 0
        self._inventory_s = float('-inf')
        self._popularity = Popularity()

    # What other threads tell it.

    def want(self, want: WantLoad, asker: Link, now_s: float) -> None:
        """Note that requests wait for an adapter version.

        :param want: the adapter version, and how many wait.
        :param asker: the link to answer on if the load is declined.
        :param now_s: monotonic seconds.
        """
        wanted = (want.adapter, want.version)
        with self._lock:
            earlier = self._wants.get(wanted)
            since_s = earlier.since_s if earlier else now_s
            self._wants[wanted] = _Want(want, asker, since_s, now_s)
        self._wake.set()

    def permitted(self, adapter: str, version: str) -> None:
        """Take a permit to load an adapter version."""
        with self._lock:
            self._permitted.add((adapter, version))
        self._wake.set()

    def used(self, source: str, use: LoadUse, now_s: float) -> None:
        """Note how an entry uses a load.

        :param source: the entry.
        :param use: requests started lately and running now.
        :param now_s: monotonic seconds.
        """
        with self._lock:
            held = self._held.get(use.load_name)
            if held is None:
                return
            held.uses[source] = _Use(use.running, now_s)
            if use.started:
                self._popularity.add(held.name.adapter, now_s, use.started)

    def missing(self, load_name: str) -> None:
        """Note that the engine denied holding a load; looks at once."""
        self._inventory_s = float('-inf')
        self._wake.set()

    def reported(
        self, instance_id: str, report: ServerReport, now_s: float
    ) -> None:
        """Take an instance's report of what it knows of the loads.

        :param instance_id: who reports.
        :param report: its open and closed loads on this server.
        :param now_s: monotonic seconds.
        """
        if report.server.term != self.server.term:
            return
        with self._lock:
            self._closed.update(report.closed)
            if instance_id not in self._reported:
                self._reported.add(instance_id)
                self._last_report_s = now_s
        self._wake.set()

    def drained(self, instance_id: str, load_name: str) -> None:
        """Take an instance's consent to evict a load."""
        with self._lock:
            held = self._held.get(load_name)
            if held is not None and held.drained is not None:
                held.drained.add(instance_id)
        self._wake.set()

    def refused(self, known: ServerTerm) -> None:
        """Learn from a refused consent that a later owner exists."""
        if known.term > self.server.term:
            self.deposed.set()
            self._wake.set()

    def announcement(self) -> LoadsOpened:
        """Return the open loads, for an instance that has just linked."""
        with self._lock:
            opened = [name for name, held in self._held.items() if held.is_open]
        return LoadsOpened(self.server, opened)

    def wait(self, timeout_s: float) -> None:
        """Wait until something was told, at most the time given."""
        self._wake.wait(timeout_s)
        self._wake.clear()

    # Its own thread.

    def step(self, now_s: float) -> None:
        """Do what is due: look, settle, evict, load.

        :param now_s: monotonic seconds.
        """
        if now_s - self._inventory_s >= INVENTORY_INTERVAL_S:
            self._inventory_s = now_s
            self._look(now_s)
        if self._settled_s is None:
            self._settle(now_s)
        for name in self._closing():
            self._close(name, now_s)
        self._serve_wants(now_s)

    def _look(self, now_s: float) -> None:
        inventory = self._engine.inventory().default_value(None)
        if inventory is None:
            return
        with self._lock:
            self._slots = inventory.slots
            present = set(inventory.loads)
            gone = [name for name in self._held if name not in present]
            for lost in gone:
                self._held.pop(lost)
                self._closed.discard(lost)
            for name in present - self._held.keys():
                self._inherit(name, now_s)
        if gone:
            self._subscribers.broadcast(LoadsGone(gone))

    def _inherit(self, name: str, now_s: float) -> None:
        parsed = parse_load_name(name)
        if parsed is None:
            return
        held = _Held(parsed, now_s)
        held.is_inherited = parsed.term != self.server.term
        self._held[name] = held
        if self._settled_s is not None:
            self._open_or_close(held)

    def _settle(self, now_s: float) -> None:
        """Open what was inherited once every instance has reported."""
        if self._subscribers.must_consent(now_s) - self._reported:
            return
        with self._lock:
            self._settled_s = max(now_s, self._last_report_s)
            inherited = list(self._held.values())
        for held in inherited:
            self._open_or_close(held)
        log_event(
            Event.OWNER_SETTLED,
            server=self.server.server_id,
            term=self.server.term,
            inherited=len(inherited),
        )

    def _open_or_close(self, held: _Held) -> None:
        name = str(held.name)
        if name in self._closed:
            held.drained = set()
            return
        held.is_open = True
        self._subscribers.broadcast(LoadsOpened(self.server, [name]))

    def _closing(self) -> list[str]:
        with self._lock:
            return [
                name
                for name, held in self._held.items()
                if held.drained is not None
            ]

    def _close(self, name: str, now_s: float) -> None:
        held = self._held[name]
        needed = self._subscribers.must_consent(now_s)
        missing = needed - (held.drained or set())
        for instance_id in missing:
            self._ask_to_close(held, instance_id, now_s)
        if missing or self._visitors_may_run(held, now_s):
            return
        self._order_evict(name)

    def _visitors_may_run(self, held: _Held, now_s: float) -> bool:
        """Tell whether grants of an earlier owner may still be in use."""
        if not held.is_inherited or self._settled_s is None:
            return held.is_inherited
        return now_s < self._settled_s + self._subscribers.window.total_s

    def _ask_to_close(
        self, held: _Held, instance_id: str, now_s: float
    ) -> None:
        asked_s = held.asked.get(instance_id, float('-inf'))
        link = self._subscribers.link_of(instance_id)
        if link is None or now_s - asked_s < REPEAT_CLOSE_S:
            return
        held.asked[instance_id] = now_s
        link.send(
            CloseLoad(self.server.server_id, str(held.name), self.server.term),
        )

    def _order_evict(self, name: str) -> None:
        order = EvictOrder(name, self.server.term)
        outcome = self._engine.evict(order)
        if outcome.is_ok():
            with self._lock:
                self._held.pop(name)
                self._closed.discard(name)
            self._subscribers.broadcast(LoadsGone([name]))
            log_event(Event.LOAD_EVICTED, load=name)
        elif isinstance(outcome.error, OrderRefused):
            self.deposed.set()
        elif isinstance(outcome.error, AdapterInUse):
            log_event(Event.EVICT_REFUSED_IN_USE, load=name)

    def _serve_wants(self, now_s: float) -> None:
        free = self._slots - len(self._held)
        for wanted in self._due_wants(now_s):
            if self.deposed.is_set():
                return
            key = (wanted.want.adapter, wanted.want.version)
            if self._holds(wanted.want):
                self._forget(wanted.want)
            elif free > 0:
                free -= 1
                self._load_if_permitted(key, wanted, now_s)
            else:
                self._make_room(wanted, now_s)

    def _load_if_permitted(
        self, key: tuple[str, str], wanted: _Want, now_s: float
    ) -> None:
        if key in self._permitted:
            self._permitted.discard(key)
            self._permits_asked.pop(key, None)
            self._order_load(wanted, now_s)
            return
        asked_s = self._permits_asked.get(key, float('-inf'))
        if now_s - asked_s >= PERMIT_REPEAT_S:
            self._permits_asked[key] = now_s
            self._permits.request(
                self.server.server_id, wanted.want, wanted.since_s
            )

    def _due_wants(self, now_s: float) -> list[_Want]:
        with self._lock:
            for known in list(self._wants.values()):
                if now_s - known.asked_s > WANT_EXPIRY_S:
                    self._forget(known.want)
            return sorted(
                self._wants.values(),
                key=lambda due: (-due.want.waiting, due.since_s),
            )

    def _holds(self, want: WantLoad) -> bool:
        with self._lock:
            found = [
                name
                for name, held in self._held.items()
                if held.is_open
                and held.name.adapter == want.adapter
                and held.name.version == want.version
            ]
        if found:
            self._subscribers.broadcast(LoadsOpened(self.server, found))
        return bool(found)

    def _forget(self, want: WantLoad) -> None:
        with self._lock:
            self._wants.pop((want.adapter, want.version), None)

    def _order_load(self, wanted: _Want, now_s: float) -> None:
        want = wanted.want
        self._sequence += 1
        name = LoadName(
            want.adapter,
            want.version,
            self.server.server_id,
            self.server.term,
            self._sequence,
        )
        order = LoadOrder(
            str(name), want.adapter, want.version, self.server.term
        )
        outcome = self._engine.load(order)
        self._permits.give_back(self.server.server_id, want, outcome.is_ok())
        self._take_load_outcome(outcome, name, wanted, now_s)

    def _take_load_outcome(
        self,
        outcome: Result[None, OrderError],
        name: LoadName,
        wanted: _Want,
        now_s: float,
    ) -> None:
        if outcome.is_ok():
            held = _Held(name, now_s)
            with self._lock:
                self._held[str(name)] = held
            self._open_or_close(held)
            self._forget(wanted.want)
            log_event(Event.LOAD_DONE, load=str(name))
            return
        log_event(Event.LOAD_FAILED, load=str(name), code=outcome.error.code)
        if isinstance(outcome.error, OrderRefused):
            self.deposed.set()
        if isinstance(outcome.error, LoadFailed):
            self._decline(wanted)
        self._inventory_s = float('-inf')

    def _make_room(self, wanted: _Want, now_s: float) -> None:
        with self._lock:
            closing = sum(
                held.drained is not None for held in self._held.values()
            )
            if closing >= len(self._wants):
                return
            victim = self._victim(now_s)
        if victim is None:
            self._decline(wanted)
            return
        victim.is_open = False
        victim.drained = set()
        self._close(str(victim.name), now_s)

    def _victim(self, now_s: float) -> _Held | None:
        loads = [
            Load(
                name,
                held.name.adapter,
                held.running(now_s),
                held.opened_s,
            )
            for name, held in self._held.items()
            if held.is_open
        ]
        victim = choose_victim(loads, now_s, self._popularity, self.weights)
        return self._held[victim.load_name] if victim else None

    def _decline(self, wanted: _Want) -> None:
        want = wanted.want
        self._forget(want)
        wanted.asker.send(
            LoadDeclined(
                self.server.server_id,
                want.adapter,
                want.version,
                DECLINE_RETRY_S,
            ),
        )
