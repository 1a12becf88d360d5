"""What callers get of the placement while demand is skewed and reports lag."""

import bisect
import heapq
import itertools
import random
from collections import defaultdict

import pytest

from wasabicross.gateway.placement import (
    Candidate,
    Draws,
    LoadOn,
    SendTo,
    choose_server,
)

SEED = 20261204
ENGINES = 70
SLOTS = 12
ADAPTER_SLOTS = 10
ADAPTERS = 10_000
ZIPF = 1.2
REQUESTS_PER_S = 70.0
RUN_S = 4.0
#: Of a day of high load, when some engines are lost.
BUSY_PER_S = 140.0
#: Age of what gateways know of the requests at an engine: by its reports, and
#: as its owner hears of them.
REPORT_S = 0.8
HEARD_S = 0.25
LENGTH_S = 60.0


class Play:
    """Engines under load, as many gateways with the same reports see them."""

    def __init__(self, choose, per_s=REQUESTS_PER_S, known_s=REPORT_S):
        self.per_s = per_s
        self.known_s = known_s
        self.rng = random.Random(SEED)
        self.choose = choose
        self.running = [0] * ENGINES
        self.held = [{} for _ in range(ENGINES)]
        self.in_use = [defaultdict(int) for _ in range(ENGINES)]
        self.reported = list(self.running)
        self.requests = 0
        self.crowded = 0
        self.loads = 0
        self._ends = []
        weights = [1 / rank**ZIPF for rank in range(1, ADAPTERS + 1)]
        self._demand = list(itertools.accumulate(weights))

    def run(self):
        at_s = next_report_s = 0.0
        while at_s < LENGTH_S:
            at_s += self.rng.expovariate(self.per_s)
            while self._ends and self._ends[0][0] <= at_s:
                _, engine, adapter = heapq.heappop(self._ends)
                self.running[engine] -= 1
                self.in_use[engine][adapter] -= 1
            if at_s >= next_report_s:
                self.reported = list(self.running)
                next_report_s = at_s + self.known_s
            self._arrive(at_s)
        return self

    def _arrive(self, at_s):
        drawn = self.rng.random() * self._demand[-1]
        adapter = f'a{bisect.bisect(self._demand, drawn)}'
        choice = self.choose(adapter, self._candidates(adapter), self.rng)
        engine = int(choice.server_id)
        if isinstance(choice, LoadOn):
            self._load(engine, adapter)
        elif choice.replica_on:
            self._load(int(choice.replica_on), adapter)
            self.held[int(choice.replica_on)][adapter] = at_s
        self.held[engine][adapter] = at_s
        self.requests += 1
        # It waits there, or another request is interrupted for it.
        self.crowded += self.running[engine] >= SLOTS
        self.running[engine] += 1
        self.in_use[engine][adapter] += 1
        ends_s = at_s + self.rng.expovariate(1 / RUN_S)
        heapq.heappush(self._ends, (ends_s, engine, adapter))

    def _candidates(self, adapter):
        return [
            Candidate(
                server_id=str(engine),
                held_version=int(adapter in self.held[engine]),
                takes_loads=self._has_room(engine),
                requests=self.reported[engine],
                slots=SLOTS,
                is_local=engine % 3 == 0,
                is_sound=True,
                is_reachable=True,
            )
            for engine in range(ENGINES)
        ]

    def _unused(self, engine):
        return [
            name for name in self.held[engine] if not self.in_use[engine][name]
        ]

    def _has_room(self, engine):
        if len(self.held[engine]) < ADAPTER_SLOTS:
            return True
        return bool(self._unused(engine))

    def _load(self, engine, adapter):
        self.loads += 1
        unused = self._unused(engine)
        if len(self.held[engine]) >= ADAPTER_SLOTS and unused:
            self.held[engine].pop(min(unused, key=self.held[engine].get))


def by_room(adapter, candidates, rng):
    return choose_server(
        adapter, 1, candidates, Draws(rng.random(), rng.random())
    )


def emptiest(adapter, candidates, rng):
    return choose_server(adapter, 1, candidates)


def least_outstanding(adapter, candidates, rng):
    """Baseline: the emptiest server, whatever it holds."""
    best = min(candidates, key=lambda each: each.requests)
    return (
        SendTo(best.server_id) if best.held_version else LoadOn(best.server_id)
    )


def any_holder(adapter, candidates, rng):
    """Baseline: a random holder, the first home where there is none."""
    holders = [each for each in candidates if each.held_version]
    if holders:
        return SendTo(rng.choice(holders).server_id)
    return choose_server(adapter, 1, candidates)


@pytest.fixture(scope='module')
def played():
    return Play(by_room).run()


def test_few_requests_find_an_engine_crowded(played):
    assert played.crowded < 0.01 * played.requests


@pytest.mark.parametrize('baseline', [emptiest, any_holder])
def test_fewer_than_by_the_baselines(played, baseline):
    other = Play(baseline).run()
    assert other.requests == pytest.approx(played.requests, rel=0.1)
    assert played.crowded < 0.5 * other.crowded


def test_adapters_are_not_loaded_everywhere(played):
    other = Play(least_outstanding).run()
    assert played.loads < 0.6 * other.loads


def test_fewer_find_it_crowded_where_owners_tell_what_they_hear():
    by_reports = Play(by_room, BUSY_PER_S)
    by_owners = Play(by_room, BUSY_PER_S, HEARD_S)
    assert by_owners.run().crowded < 0.7 * by_reports.run().crowded
