"""A simulation of the load decisions during a peak, without processes.

The load budget, the eviction policy and the popularity are those of the system
and receive simulated times. Links, owners and entries are left out: loads take
their full-speed time, and evictions take no time.
"""

import heapq
from collections.abc import Callable, Sequence
from typing import NamedTuple

from emulator.arrivals import Arrival
from emulator.clairvoyant import LOAD_S, LOADS_PER_S
from wasabicross.loads.eviction_policy import Load, choose_victim
from wasabicross.loads.load_budget import LoadBudget, LoadKey, LoadPermit
from wasabicross.loads.popularity import Popularity
from wasabicross.runtime.rendezvous import rank_servers
from wasabicross.servers.policy import Weights

TICK_S = 0.02
FIRST_TOKEN_S = 0.2
TOKEN_S = 0.038

#: More slots than any peak fills, so that only the store's rate limits loads.
UNBOUNDED_SLOTS = 1_000_000


class SimulationFigures(NamedTuple):
    """Figures of a simulation.

    :param stall_s: total time that calls waited for loads, in seconds.
    :param again_s: part of it for adapters that had been loaded before.
    :param loads: number of loads.
    :param again: number of loads of adapters that had been loaded before.
    """

    stall_s: float
    again_s: float
    loads: int
    again: int


class Slots:
    """The loads of one engine and the calls that run on them.

    :param count: number of slots.
    """

    def __init__(self, count: int) -> None:
        self.count = count
        self.loaded_s: dict[str, float] = {}
        self._ends_s: dict[str, float] = {}
        self._popularity = Popularity()

    def use(self, adapter: str, now_s: float, until_s: float) -> None:
        """Run a call on a load.

        :param until_s: time at which the call ends.
        """
        self._popularity.add(adapter, now_s)
        ends_s = self._ends_s.get(adapter, 0)
        self._ends_s[adapter] = max(ends_s, until_s)

    def eviction_candidate(self, now_s: float, weights: Weights) -> str | None:
        """Return the adapter that would be evicted, if any can be."""
        loads = [
            Load(adapter, adapter, self._ends_s.get(adapter, 0) > now_s, at_s)
            for adapter, at_s in self.loaded_s.items()
            if at_s <= now_s
        ]
        found = choose_victim(loads, now_s, self._popularity, weights)
        return found.adapter if found else None

    def has_room(self, now_s: float, weights: Weights) -> bool:
        """Return whether a slot is free or can be freed."""
        is_free = len(self.loaded_s) < self.count
        return is_free or self.eviction_candidate(now_s, weights) is not None

    def load(self, adapter: str, now_s: float, weights: Weights) -> float:
        """Load an adapter, evicting another one if no slot is free.

        :returns: time at which it is loaded.
        """
        if len(self.loaded_s) >= self.count:
            self.loaded_s.pop(self.eviction_candidate(now_s, weights) or '')
        self.loaded_s[adapter] = now_s + LOAD_S
        return now_s + LOAD_S


class LoadSimulation:
    """The simulated engines, load budget and waiting calls.

    :param engines: number of engines.
    :param slots: number of slots of each engine.
    :param fixed: whether each adapter has only one engine, as in the
        rendezvous baseline.
    """

    def __init__(self, engines: int, slots: int, fixed: bool = False) -> None:
        self._engines = {
            f'engine-{number}': Slots(slots) for number in range(engines)
        }
        self._fixed = fixed
        self._weights = Weights()
        self._budget = LoadBudget(LOADS_PER_S)
        self._waiting: dict[str, list[Arrival]] = {}
        self._loading: list[tuple[float, str, LoadPermit]] = []
        self._loaded_before: set[str] = set()
        self._figures = SimulationFigures(0, 0, 0, 0)

    def run(self, arrivals: Sequence[Arrival]) -> SimulationFigures:
        """Simulate all arrivals and return the figures."""
        now_s: float = 0
        for arrival in arrivals:
            while now_s + TICK_S <= arrival.at_s:
                now_s += TICK_S
                self._step(now_s)
            self._on_arrival(arrival)
        while self._waiting:
            now_s += TICK_S
            self._step(now_s)
        return self._figures

    def _on_arrival(self, arrival: Arrival) -> None:
        adapter = str(arrival.number)
        for engine in self._engines.values():
            if engine.loaded_s.get(adapter, float('inf')) <= arrival.at_s:
                engine.use(adapter, arrival.at_s, _end_s(arrival, 0))
                return
        self._waiting.setdefault(adapter, []).append(arrival)

    def _step(self, now_s: float) -> None:
        while self._loading and self._loading[0][0] <= now_s:
            done_s, engine_id, permit = heapq.heappop(self._loading)
            self._budget.finish(permit, engine_id, True, now_s)
            self._on_loaded(permit.key.adapter, engine_id, done_s)
        for adapter, waiting in self._waiting.items():
            engine_id = self._choose_engine(adapter, now_s)
            self._budget.set_demand(
                _key(adapter),
                'entry',
                len(waiting) if engine_id else 0,
                waiting[0].at_s,
            )
        granted = self._budget.grant(now_s)
        if granted is not None:
            self._load(granted, now_s)

    def _on_loaded(self, adapter: str, engine_id: str, done_s: float) -> None:
        is_again = adapter in self._loaded_before
        self._loaded_before.add(adapter)
        stalls_s = []
        for arrival in self._waiting.pop(adapter):
            stalls_s.append(max(0, done_s - arrival.at_s))
            until_s = _end_s(arrival, stalls_s[-1])
            self._engines[engine_id].use(adapter, done_s, until_s)
        figures = self._figures
        self._figures = SimulationFigures(
            figures.stall_s + sum(stalls_s),
            figures.again_s + is_again * sum(stalls_s),
            figures.loads + 1,
            figures.again + is_again,
        )

    def _load(self, permit: LoadPermit, now_s: float) -> None:
        adapter = permit.key.adapter
        engine_id = self._choose_engine(adapter, now_s)
        done_s = self._engines[engine_id].load(adapter, now_s, self._weights)
        heapq.heappush(self._loading, (done_s, engine_id, permit))

    def _choose_engine(self, adapter: str, now_s: float) -> str:
        ranked = rank_servers(adapter, '1', list(self._engines))
        candidates = ranked[:1] if self._fixed else ranked
        return next(
            (
                engine_id
                for engine_id in candidates
                if self._engines[engine_id].has_room(now_s, self._weights)
            ),
            '',
        )


def unbounded_slots_stall_s(arrivals: Sequence[Arrival]) -> float:
    """Return the total stall with slots for all adapters.

    Each adapter is loaded once, at its first call, as soon as the store's rate
    allows. Without knowledge of future calls, no choice of evictions can do
    better.
    """
    return LoadSimulation(1, UNBOUNDED_SLOTS).run(arrivals).stall_s


def compare(
    arrivals: Sequence[Arrival], engines: int, slots: int
) -> dict[str, SimulationFigures]:
    """Simulate the same arrivals with the policy, rendezvous and unbounded slots."""
    simulations: dict[str, Callable[[], LoadSimulation]] = {
        'policy': lambda: LoadSimulation(engines, slots),
        'rendezvous': lambda: LoadSimulation(engines, slots, fixed=True),
        'unbounded': lambda: LoadSimulation(1, UNBOUNDED_SLOTS),
    }
    return {name: make().run(arrivals) for name, make in simulations.items()}


def _end_s(arrival: Arrival, stall_s: float) -> float:
    run_s = FIRST_TOKEN_S + arrival.tokens * TOKEN_S
    return arrival.at_s + stall_s + run_s


def _key(adapter: str) -> LoadKey:
    return LoadKey(adapter, '1', '')
