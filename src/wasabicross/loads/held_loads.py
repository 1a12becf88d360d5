"""The loads that one engine holds, as its owner sees them."""

import threading
from collections.abc import Iterable
from typing import NamedTuple

from wasabicross.loads.eviction_policy import Load, choose_victim
from wasabicross.loads.load_names import LoadName, parse_load_name
from wasabicross.loads.popularity import Popularity
from wasabicross.messaging.messages import LoadUse
from wasabicross.servers.policy import Weights

USE_MEMORY_S = 3.0


class _Use(NamedTuple):
    running: int
    told_s: float


class HeldLoad:
    """One load in a slot of an engine.

    :param name: its name, unique for ever.
    :param opened_s: monotonic time at which this owner first saw it.
    :param is_inherited: whether an earlier owner may have announced it.
    """

    def __init__(
        self, name: LoadName, opened_s: float, is_inherited: bool
    ) -> None:
        self.name = name
        self.opened_s = opened_s
        self.is_inherited = is_inherited
        self.is_open = False
        #: Instances that have consented to its eviction, once it is closing.
        self.consents: set[str] | None = None
        #: When each instance was last asked for its consent.
        self.asked_s: dict[str, float] = {}
        self._uses: dict[str, _Use] = {}

    def close(self) -> None:
        """Stop announcing the load; consents are collected from now on."""
        self.is_open = False
        self.consents = set()

    def record_usage(self, source: str, running: int, now_s: float) -> None:
        """Note how many requests an entry runs on it.

        :param source: the entry.
        :param running: how many.
        :param now_s: monotonic seconds.
        """
        self._uses[source] = _Use(running, now_s)

    def running(self, now_s: float) -> int:
        """Return the requests running, as far as entries told lately."""
        return sum(
            use.running
            for use in self._uses.values()
            if now_s - use.told_s < USE_MEMORY_S
        )


class HeldLoads:
    """All loads of one engine, shared by its owner's threads.

    :param term: the owner's term; loads of other terms are inherited.
    """

    def __init__(self, term: int) -> None:
        self.slots = 0
        self._own_terms = {term}
        self._lock = threading.RLock()
        self._loads: dict[str, HeldLoad] = {}
        self._closed: set[str] = set()
        self._witnessed: set[str] = set()
        self._popularity = Popularity()

    def __len__(self) -> int:
        return len(self._loads)

    def get(self, load_name: str) -> HeldLoad | None:
        """Return a load by its name, None if the engine lacks it."""
        return self._loads.get(load_name)

    def add(self, name: LoadName, now_s: float) -> HeldLoad:
        """Add a load that this owner ordered.

        :param name: its name.
        :param now_s: monotonic seconds.
        """
        held = HeldLoad(name, now_s, name.term not in self._own_terms)
        with self._lock:
            self._loads[str(name)] = held
        return held

    def continue_from(self, before: 'HeldLoads') -> None:
        """Count the loads of an earlier term of this process as its own.

        :param before: the loads as its owner for that term saw them.
        """
        with self._lock:
            self._own_terms |= before.own_terms()
            self._popularity = before.popularity()

    def own_terms(self) -> set[int]:
        """Return the terms of this process without another's between."""
        return set(self._own_terms)

    def popularity(self) -> Popularity:
        """Return how often adapters are asked for."""
        return self._popularity

    def remove(self, load_name: str) -> None:
        """Forget a load that was evicted."""
        with self._lock:
            self._loads.pop(load_name, None)
            self._closed.discard(load_name)
            self._witnessed.discard(load_name)

    def reconcile(
        self, present: Iterable[str], now_s: float
    ) -> tuple[list[str], list[HeldLoad]]:
        """Take in what the engine holds; return what is gone and what is new.

        :param present: names of the loads that the engine holds.
        :param now_s: monotonic seconds.
        """
        names = set(present)
        with self._lock:
            gone = [name for name in self._loads if name not in names]
            for lost in gone:
                self.remove(lost)
            parsed = [
                parse_load_name(name)
                for name in sorted(names - self._loads.keys())
            ]
            found = [self.add(name, now_s) for name in parsed if name]
        return gone, found

    def mark_reported(
        self, opened: Iterable[str], closed: Iterable[str]
    ) -> None:
        """Note what an instance knows of the loads.

        :param opened: loads that its requests may use.
        :param closed: loads that it has closed for ever.
        """
        with self._lock:
            self._witnessed.update(opened)
            self._closed.update(closed)

    def may_open(self, held: HeldLoad) -> bool:
        """Tell whether requests may use a load, as far as is reported.

        :param held: a load; one of an earlier owner needs an instance that
            knows it as open.
        """
        name = str(held.name)
        if name in self._closed:
            return False
        return not held.is_inherited or name in self._witnessed

    def all(self) -> list[HeldLoad]:
        """Return all loads."""
        with self._lock:
            return list(self._loads.values())

    def opened(self) -> list[str]:
        """Return the names of the loads that requests may use."""
        return [str(held.name) for held in self.all() if held.is_open]

    def closing(self) -> list[HeldLoad]:
        """Return the loads for whose eviction consents are collected."""
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
        """Note how an entry uses a load.

        :param source: the entry.
        :param use: requests started lately and running now.
        :param now_s: monotonic seconds.
        """
        with self._lock:
            held = self._loads.get(use.load_name)
            if held is None:
                return
            held.record_usage(source, use.running, now_s)
            if use.started:
                self._popularity.add(held.name.adapter, now_s, use.started)

    def record_consent(self, instance_id: str, load_name: str) -> None:
        """Note an instance's consent to evict a load.

        :param instance_id: who consents.
        :param load_name: name of the load.
        """
        with self._lock:
            held = self._loads.get(load_name)
            if held is not None and held.consents is not None:
                held.consents.add(instance_id)

    def count_copy_request(self, adapter: str, now_s: float) -> None:
        """Count a want of a further copy of an adapter.

        :param adapter: name of the adapter.
        :param now_s: monotonic seconds.
        """
        self._popularity.add(adapter, now_s)

    def victim(
        self, now_s: float, weights: Weights, displacing: str = ''
    ) -> HeldLoad | None:
        """Return the load to evict, None where each is better kept.

        :param now_s: monotonic seconds.
        :param weights: of the bundle in force.
        :param displacing: adapter that would take the slot without a request
            that waits for it.
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
