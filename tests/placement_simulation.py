"""A simulation of skewed demand on engines with few adapter slots."""

import bisect
import heapq
import itertools
import random
from collections import defaultdict

from wasabicross.gateway.candidate import Candidate
from wasabicross.gateway.placement import (
    LoadOn,
    RandomDraws,
    choose_server,
)

SEED = 20261204
ENGINES = 70
SLOTS = 12
ADAPTER_SLOTS = 10
ADAPTERS = 10_000
ZIPF_EXPONENT = 1.2
REQUESTS_PER_S = 70.0
MEAN_RUN_S = 4.0
#: Interval of engine reports, and so the maximum age of known request counts.
REPORT_INTERVAL_S = 0.8
DURATION_S = 60.0


class PlacementSimulation:
    """Simulate loaded engines, seen by gateways that share the same reports.

    :param choose: chooses an engine, by adapter, candidates and random numbers.
    :param requests_per_s: mean arrival rate.
    """

    def __init__(self, choose, requests_per_s=REQUESTS_PER_S):
        self.requests_per_s = requests_per_s
        self.rng = random.Random(SEED)
        self.choose = choose
        self.running = [0] * ENGINES
        self.held = [{} for _ in range(ENGINES)]
        self.in_use = [defaultdict(int) for _ in range(ENGINES)]
        self.reported = list(self.running)
        self.requests = 0
        #: Requests sent to an engine whose request slots were all taken.
        self.requests_without_slot = 0
        self.loads = 0
        #: Loads ordered on an engine whose adapters were all in use.
        self.loads_without_slot = 0
        self._ends = []
        self._next_report_s = 0.0
        weights = [1 / rank**ZIPF_EXPONENT for rank in range(1, ADAPTERS + 1)]
        self._demand = list(itertools.accumulate(weights))

    def run(self):
        """Simulate arrivals and completions for the whole duration."""
        at_s = 0.0
        while at_s < DURATION_S:
            at_s += self.rng.expovariate(self.requests_per_s)
            while self._ends and self._ends[0][0] <= at_s:
                ends_s, engine, adapter = heapq.heappop(self._ends)
                self.running[engine] -= 1
                self.in_use[engine][adapter] -= 1
                self.on_usage_change(engine, adapter, ends_s)
            self.update_reports(at_s)
            self._arrive(at_s)
        return self

    def update_reports(self, at_s):
        """Replace the known request counts when a report is due."""
        if at_s >= self._next_report_s:
            self.reported = list(self.running)
            self._next_report_s = at_s + REPORT_INTERVAL_S

    def on_usage_change(self, engine, adapter, at_s):
        """Ignore usage changes; reports alone update the request counts."""

    def _arrive(self, at_s):
        position = self.rng.random() * self._demand[-1]
        adapter = f'a{bisect.bisect(self._demand, position)}'
        choice = self.choose(adapter, self._candidates(adapter), self.rng)
        engine = int(choice.server_id)
        if isinstance(choice, LoadOn):
            self._load(engine, adapter)
        elif choice.replica_on:
            self._load(int(choice.replica_on), adapter)
            self.held[int(choice.replica_on)][adapter] = at_s
        self.held[engine][adapter] = at_s
        self.requests += 1
        # The request waits there, or the engine interrupts another for it.
        self.requests_without_slot += self.running[engine] >= SLOTS
        self.running[engine] += 1
        self.in_use[engine][adapter] += 1
        self.on_usage_change(engine, adapter, at_s)
        ends_s = at_s + self.rng.expovariate(1 / MEAN_RUN_S)
        heapq.heappush(self._ends, (ends_s, engine, adapter))

    def _candidates(self, adapter):
        return [
            Candidate(
                server_id=str(engine),
                held_version=int(adapter in self.held[engine]),
                takes_loads=True,
                spare_slots=self._spare_slots(engine),
                requests=self.reported[engine],
                slots=SLOTS,
                is_local=engine % 3 == 0,
                is_healthy=True,
                is_reachable=True,
            )
            for engine in range(ENGINES)
        ]

    def _unused_adapters(self, engine):
        return [
            name for name in self.held[engine] if not self.in_use[engine][name]
        ]

    def _spare_slots(self, engine):
        empty = max(0, ADAPTER_SLOTS - len(self.held[engine]))
        return empty + len(self._unused_adapters(engine))

    def _load(self, engine, adapter):
        self.loads += 1
        self.loads_without_slot += not self._spare_slots(engine)
        unused = self._unused_adapters(engine)
        if len(self.held[engine]) >= ADAPTER_SLOTS and unused:
            self.held[engine].pop(min(unused, key=self.held[engine].get))


def choose_as_gateways(adapter, candidates, rng):
    """Choose a server with the placement function of the gateway."""
    return choose_server(
        adapter, 1, candidates, RandomDraws(rng.random(), rng.random())
    )
