"""The loads that one engine holds, as far as its owner knows."""

import threading
from collections.abc import Iterable
from typing import NamedTuple

from wasabicross.loads.eviction_policy import Load, choose_victim
from wasabicross.loads.load_names import LoadName, parse_load_name
from wasabicross.loads.popularity import Popularity
from wasabicross.messaging.messages import LoadUse
from wasabicross.servers.policy import Weights

USAGE_TTL_S = 3.0


class _Usage(NamedTuple):
    running: int
    reported_s: float


class HeldLoad:
    """One load in a slot of an engine.

    :param name: its name, which is never used again.
    :param opened_s: monotonic time at which this owner ordered or found it.
    :param is_inherited: whether an earlier owner may have announced it.
    """

    def __init__(
        self, name: LoadName, opened_s: float, is_inherited: bool
    ) -> None:
        self.name = name
        self.opened_s = opened_s
        self.is_inherited = is_inherited
        self.is_open = False
        #: Instances that have consented to its eviction, None until it closes.
        self.consents: set[str] | None = None
        #: Monotonic time of the last request for each instance's consent.
        self.consent_requested_s: dict[str, float] = {}
        self._usage: dict[str, _Usage] = {}

    def close(self) -> None:
        """Stop announcing the load and begin to collect consents."""
        self.is_open = False
        self.consents = set()

    def record_usage(self, source: str, running: int, now_s: float) -> None:
        """Record how many requests an entry runs on the load.

        :param source: id of the entry.
        :param running: number of requests.
        :param now_s: present time, monotonic seconds.
        """
        self._usage[source] = _Usage(running, now_s)

    def running(self, now_s: float) -> int:
        """Return the number of running requests by recent reports of entries.

        :param now_s: present time, monotonic seconds.
        """
        return sum(
            use.running
            for use in self._usage.values()
            if now_s - use.reported_s < USAGE_TTL_S
        )


class HeldLoads:
    """All loads of one engine, shared by the threads of its owner.

    :param term: ownership term; loads of other terms are inherited.
    """

    def __init__(self, term: int) -> None:
        self.slots = 0
        self._own_terms = {term}
        self._lock = threading.RLock()
        self._loads: dict[str, HeldLoad] = {}
        self._reported_closed: set[str] = set()
        self._reported_open: set[str] = set()
        self._popularity = Popularity()

    def __len__(self) -> int:
        return len(self._loads)

    def get(self, load_name: str) -> HeldLoad | None:
        """Return a load by its name, None if the engine does not hold it."""
        return self._loads.get(load_name)

    def add(self, name: LoadName, now_s: float) -> HeldLoad:
        """Add a load that this owner ordered.

        :param name: its name.
        :param now_s: present time, monotonic seconds.
        """
        held = HeldLoad(name, now_s, name.term not in self._own_terms)
        with self._lock:
            self._loads[str(name)] = held
        return held

    def continue_from(self, previous: 'HeldLoads') -> None:
        """Treat loads that this process ordered in an earlier term as its own.

        :param previous: the loads as known in that term.
        """
        with self._lock:
            self._own_terms |= previous.own_terms()
            self._popularity = previous.popularity()

    def own_terms(self) -> set[int]:
        """Return the consecutive terms of this process, to the current one."""
        return set(self._own_terms)

    def popularity(self) -> Popularity:
        """Return the request rates of the adapters."""
        return self._popularity

    def remove(self, load_name: str) -> None:
        """Remove a load that was evicted."""
        with self._lock:
            self._loads.pop(load_name, None)
            self._reported_closed.discard(load_name)
            self._reported_open.discard(load_name)

    def reconcile(
        self, present: Iterable[str], now_s: float
    ) -> tuple[list[str], list[HeldLoad]]:
        """Update the loads from the engine's inventory.

        :param present: names of the loads that the engine holds.
        :param now_s: present time, monotonic seconds.
        :returns: names of the loads that are gone, and the new loads.
        """
        names = set(present)
        with self._lock:
            gone = [name for name in self._loads if name not in names]
            for gone_name in gone:
                self.remove(gone_name)
            parsed = [
                parse_load_name(name)
                for name in sorted(names - self._loads.keys())
            ]
            found = [self.add(name, now_s) for name in parsed if name]
        return gone, found

    def mark_reported(
        self, opened: Iterable[str], closed: Iterable[str]
    ) -> None:
        """Record which loads an instance reports as open and as closed.

        :param opened: names of the loads that its requests may use.
        :param closed: names of the loads that it has closed permanently.
        """
        with self._lock:
            self._reported_open.update(opened)
            self._reported_closed.update(closed)

    def may_open(self, held: HeldLoad) -> bool:
        """Return whether requests may use a load, according to the reports.

        :param held: a load; an inherited one may be used only if an instance
            has reported it as open.
        """
        name = str(held.name)
        if name in self._reported_closed:
            return False
        return not held.is_inherited or name in self._reported_open

    def all(self) -> list[HeldLoad]:
        """Return all loads."""
        with self._lock:
            return list(self._loads.values())

    def opened(self) -> list[str]:
        """Return the names of the loads that requests may use."""
        return [str(held.name) for held in self.all() if held.is_open]

    def closing(self) -> list[HeldLoad]:
        """Return the loads that are being closed for eviction."""
        return [held for held in self.all() if held.consents is not None]

    def opened_of(self, adapter: str, version: str) -> list[str]:
        """Return the names of the open loads of an adapter version.

        :param adapter: name of the adapter.
        :param version: its version.
        """
        return [
            str(held.name)
            for held in self.all()
            if held.is_open
            and (held.name.adapter, held.name.version) == (adapter, version)
        ]

    def record_usage(self, source: str, use: LoadUse, now_s: float) -> None:
        """Record how an entry uses a load.

        :param source: id of the entry.
        :param use: number of requests started since the last report, and of
            those running now.
        :param now_s: present time, monotonic seconds.
        """
        with self._lock:
            held = self._loads.get(use.load_name)
            if held is None:
                return
            held.record_usage(source, use.running, now_s)
            if use.started:
                self._popularity.add(held.name.adapter, now_s, use.started)

    def record_consent(self, instance_id: str, load_name: str) -> None:
        """Record an instance's consent to evict a load.

        :param instance_id: id of the instance.
        :param load_name: name of the load.
        """
        with self._lock:
            held = self._loads.get(load_name)
            if held is not None and held.consents is not None:
                held.consents.add(instance_id)

    def count_copy_request(self, adapter: str, now_s: float) -> None:
        """Count a request for a further copy of an adapter.

        :param adapter: name of the adapter.
        :param now_s: present time, monotonic seconds.
        """
        self._popularity.add(adapter, now_s)

    def victim(
        self, now_s: float, weights: Weights, displacing: str = ''
    ) -> HeldLoad | None:
        """Return the load to evict, None if all are worth keeping.

        :param now_s: present time, monotonic seconds.
        :param weights: weights of the bundle in force.
        :param displacing: name of the adapter that would take the slot although
            no request waits for it; empty if requests wait.
        """
        loads = [
            Load(
                str(held.name),
                held.name.adapter,
                held.running(now_s),
                held.opened_s,
            )
            for held in self.all()
            if held.is_open
        ]
        victim = choose_victim(
            loads, now_s, self._popularity, weights, displacing
        )
        return self._loads.get(victim.load_name) if victim else None
