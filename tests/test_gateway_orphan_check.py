"""Adapter slots of gateways that are cut off become free again.

Guards against slots that stand idle for seconds while callers are refused:
when a data centre is cut off, its gateways can't report that their requests
have ended.
"""

import heapq

import pytest

from wasabicross.gateway.backend import AdapterKey, EngineReport
from wasabicross.gateway.loading.engine_slots import EngineSlots
from wasabicross.gateway.loading.engine_usage import EngineUsage
from wasabicross.gateway.loading.orphan_check import OrphanCheck

A = AdapterKey('m0', 'a1')
B = AdapterKey('m0', 'a2')

SLOTS = 9
LOST_ADAPTERS = 6
#: Time for which a cut lasts, and for which requests run.
CUT_S = 6.0
RUN_S = 2.0
ARRIVAL_INTERVAL_S = 0.3
REPORT_INTERVAL_S = 0.25


@pytest.mark.parametrize(
    ('known', 'reported', 'has_orphans'),
    [
        ([], 0, False),
        ([], 1, True),
        ([(9.9, 3)], 3, False),
        ([(9.9, 3)], 4, True),
        # A report may show the state before the latest requests ended.
        ([(9.7, 5), (9.9, 3)], 5, False),
        ([(9.7, 5), (9.9, 3)], 6, True),
        # It doesn't show what was known long before it.
        ([(9.0, 5), (9.9, 3)], 4, True),
        # Requests that began while the report was on its way count as well.
        ([(9.9, 3), (10.1, 4)], 4, False),
    ],
)
def test_reports_are_compared_with_known_requests(known, reported, has_orphans):
    check = OrphanCheck()
    for at_s, count in known:
        check.on_known(count, at_s)
    assert check.has_orphans(reported, 10.0) is has_orphans


@pytest.mark.parametrize(
    ('is_disconnected', 'at_s', 'running', 'is_free'),
    [
        # The engine still runs the lost gateway's request.
        (True, 10.5, 2, False),
        (False, 12.0, 2, False),
        # It runs the other gateway's request alone.
        (True, 10.5, 1, True),
        (False, 12.0, 1, True),
        # The gateway may merely be late.
        (False, 10.5, 1, False),
    ],
)
def test_adapters_of_lost_gateways(is_disconnected, at_s, running, is_free):
    usage = EngineUsage()
    usage.on_use(A, 'lost', 1, 10.0)
    usage.on_use(B, 'near', 1, 10.0)
    if is_disconnected:
        usage.on_disconnected('lost')
    usage.on_use(B, 'near', 1, at_s)
    usage.on_report(0, running, at_s, at_s)
    assert usage.is_free(A, at_s + 0.06) is is_free
    assert not usage.is_free(B, at_s + 0.06)


def test_a_gateway_that_reports_again_is_connected():
    usage = EngineUsage()
    usage.on_disconnected('g1')
    usage.on_use(A, 'g1', 1, 10.0)
    usage.on_report(0, 0, 10.0, 10.0)
    assert not usage.is_free(A, 10.1)


class CutDataCentre:
    """Simulate the callers of an engine while other gateways are cut off.

    :param orphans: requests of lost gateways that the engine keeps running.
    """

    def __init__(self, orphans):
        self.orphans = orphans
        self.slots = EngineSlots(SLOTS, usage_wait_s=0)
        self.running = []
        self.number = 0

    def run(self):
        """Return the share of the callers whose adapter finds a slot."""
        for number in range(LOST_ADAPTERS):
            self.use(AdapterKey('m0', f'lost{number}'), 'lost', 1, 0)
        self.slots.usage.on_disconnected('lost')
        served, callers, report_s = 0, 0, 0.0
        while callers * ARRIVAL_INTERVAL_S < CUT_S:
            at_s = callers * ARRIVAL_INTERVAL_S
            while report_s <= at_s:
                self.report(report_s)
                report_s += REPORT_INTERVAL_S
            served += self.try_caller(at_s)
            callers += 1
        return served / callers

    def use(self, key, gateway, running, at_s):
        self.slots.held[key] = 1
        self.slots.usage.on_use(key, gateway, running, at_s)

    def report(self, at_s):
        while self.running and self.running[0][0] <= at_s:
            _, key = heapq.heappop(self.running)
            self.slots.usage.on_use(key, 'near', 0, at_s)
        for _, key in self.running:
            self.slots.usage.on_use(key, 'near', 1, at_s)
        running = len(self.running) + self.orphans
        held, models = dict(self.slots.held), frozenset({'m0'})
        report = EngineReport(
            1, False, 0, running, held, frozenset(), models, 1
        )
        self.slots.on_report(report, at_s)
        self.slots.usage.on_report(0, running, at_s, at_s)

    def try_caller(self, at_s):
        if not self.slots.available_slots(at_s):
            return False
        if self.slots.taken >= SLOTS:
            self.slots.held.pop(self.slots.eviction_candidate({}, at_s))
        self.number += 1
        key = AdapterKey('m0', f'near{self.number}')
        self.use(key, 'near', 1, at_s)
        heapq.heappush(self.running, (at_s + RUN_S, key))
        return True


def test_callers_are_served_during_a_cut():
    """While the engine runs lost requests, their slots stay protected."""
    assert CutDataCentre(orphans=0).run() > 0.9
    assert CutDataCentre(orphans=LOST_ADAPTERS).run() < 0.7
