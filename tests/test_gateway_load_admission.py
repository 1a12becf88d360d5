"""Which requests may wait for an adapter where slots are short.

Guards against callers that return after a refusal, and are late already,
taking slots from callers that could still be on time.
"""

import heapq
import random

import pytest

from wasabicross.gateway.backend import AdapterKey, EngineReport
from wasabicross.gateway.loading.awaited_loads import AwaitedLoads
from wasabicross.gateway.loading.engine_slots import EngineSlots
from wasabicross.gateway.loading.load_admission import LoadAdmission
from wasabicross.gateway.orders import LoadRequest

SLOTS = 9
LOAD_S = 0.26
MAX_WAIT_S = 0.48

SEEDS = (1, 2, 3)
#: Mean time for which a request uses its slot, and the arrival rate, a tenth
#: above what the slots can serve.
MEAN_USE_S = 3.0
REQUESTS_PER_S = 3.3
DURATION_S = 300.0
RETURN_AFTER_S = 1.5


EMPTY_ENGINE = EngineReport(
    0, False, 0, 0, {}, frozenset(), frozenset({'m0'}), 1
)


def load_request(name, is_returning):
    key = AdapterKey('m0', name)
    return LoadRequest(
        's1', key, 1, 1, MAX_WAIT_S, 0.8, is_returning=is_returning
    )


def admission_with(in_use):
    """Return the admission of an engine and its slots, some of them in use."""
    slots = EngineSlots(SLOTS, usage_wait_s=0)
    slots.on_report(EMPTY_ENGINE, 0)
    for number in range(in_use):
        use(slots, f'used{number}', 1, 0)
    return LoadAdmission(slots, AwaitedLoads()), slots


def use(slots, name, running, at_s):
    key = AdapterKey('m0', name)
    slots.held[key] = 1
    slots.usage.on_use(key, 'g1', running, at_s)


@pytest.mark.parametrize(
    ('in_use', 'is_returning', 'has_time'),
    [
        (SLOTS - 1, False, True),
        (SLOTS - 1, True, False),
        (SLOTS - 2, True, True),
        (SLOTS, False, False),
        (SLOTS, True, False),
    ],
)
def test_the_last_slot_is_for_requests_on_time(in_use, is_returning, has_time):
    admission, _ = admission_with(in_use)
    request = load_request('a', is_returning)
    assert admission.has_time(request, LOAD_S, 0.1) is has_time


class ReturningCallers:
    """Simulate callers of one engine; each refused one returns once.

    :param are_known: whether callers that return are told from others.
    """

    def __init__(self, are_known, seed):
        self.are_known = are_known
        self.rng = random.Random(seed)
        self.admission, self.slots = admission_with(0)
        self.ends = []

    def run(self):
        """Return the shares of callers served on time and served at all."""
        arrivals, at_s = [], 0.0
        while at_s < DURATION_S:
            at_s += self.rng.expovariate(REQUESTS_PER_S)
            arrivals.append((at_s, False))
        callers, on_time, late = len(arrivals), 0, 0
        while arrivals:
            at_s, is_returning = heapq.heappop(arrivals)
            if self.try_caller(at_s, is_returning):
                late += is_returning
                on_time += not is_returning
            elif not is_returning:
                heapq.heappush(arrivals, (at_s + RETURN_AFTER_S, True))
        return on_time / callers, (on_time + late) / callers

    def try_caller(self, at_s, is_returning):
        while self.ends and self.ends[0][0] <= at_s:
            ended_s, name = heapq.heappop(self.ends)
            use(self.slots, name, 0, ended_s)
        name = f'a{at_s}'
        request = load_request(name, is_returning and self.are_known)
        if not self.slots.available_slots(at_s):
            return False
        if not self.admission.has_time(request, LOAD_S, at_s):
            return False
        if self.slots.taken >= SLOTS:
            self.slots.held.pop(self.slots.eviction_candidate({}, at_s))
        use(self.slots, name, 1, at_s)
        used_s = LOAD_S + self.rng.uniform(0.5, 1.5) * MEAN_USE_S
        heapq.heappush(self.ends, (at_s + used_s, name))
        return True


@pytest.mark.parametrize('seed', SEEDS)
def test_more_callers_are_on_time(seed):
    """About as many callers are served at all."""
    on_time_before, served_before = ReturningCallers(False, seed).run()
    on_time, served = ReturningCallers(True, seed).run()
    assert on_time > on_time_before + 0.05
    assert served > served_before - 0.03
