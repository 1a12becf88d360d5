"""Placement where owners report how busy engines are.

Guards against crowded engines at high load with many gateways: all of them
choose by the states that one owner sends in frames, while engine reports lag.
"""

import pytest
from placement_simulation import (
    ENGINES,
    PlacementSimulation,
    choose_as_gateways,
)

from wasabicross.gateway.backend import AdapterKey, BackendServer
from wasabicross.gateway.loading.engine_usage import EngineUsage
from wasabicross.gateway.messages import ServerOccupancy, ServerState
from wasabicross.gateway.owners.owner_server import frame_interval_s
from wasabicross.gateway.state_updates import StateUpdates
from wasabicross.gateway.view import FleetView

GATEWAYS = 91
HIGH_LOAD_PER_S = 140.0
#: Interval of engine reports, and their age on arrival.
REPORT_INTERVAL_S = 0.5
REPORT_AGE_S = 0.3
#: Interval at which gateways repeat ongoing usage.
REPEAT_INTERVAL_S = 0.4


class OwnerUpdateSimulation(PlacementSimulation):
    """Simulate loaded engines, known to gateways by the states of an owner.

    :param hears_uses: whether gateways report their usage to the owner.
    """

    def __init__(self, receives_usage):
        super().__init__(choose_as_gateways, HIGH_LOAD_PER_S)
        self.receives_usage = receives_usage
        self.usage = [EngineUsage() for _ in range(ENGINES)]
        self.state_updates = StateUpdates('front-1')
        self.view = FleetView()
        self.servers = [
            BackendServer(
                str(engine), 'llm', '', 1, 'dc', 12, False, {}, frozenset(), 5
            )
            for engine in range(ENGINES)
        ]
        self._reports = []
        self._due_s = {'report': 0.0, 'frame': 0.0, 'repeat': 0.0}

    def update_reports(self, at_s):
        """Simulate the owner, and apply the states that it sends."""
        if self._is_due('report', at_s, REPORT_INTERVAL_S):
            self._reports.append((at_s + REPORT_AGE_S, list(self.running)))
        if self._is_due('repeat', at_s, REPEAT_INTERVAL_S):
            self._repeat(at_s)
        while self._reports and self._reports[0][0] <= at_s:
            _, running = self._reports.pop(0)
            for usage, count in zip(self.usage, running):
                usage.on_report(0, count, at_s, at_s)
        if self._is_due('frame', at_s, frame_interval_s(GATEWAYS)):
            self._send_frame(at_s)
        self.reported = [
            self.view.requests_at(server, at_s) for server in self.servers
        ]

    def on_usage_change(self, engine, adapter, at_s):
        """Report the usage to the owner at once."""
        if self.receives_usage:
            running = self.in_use[engine][adapter]
            key = AdapterKey('m0', adapter)
            self.usage[engine].on_use(key, 'gateways', running, at_s)

    def _repeat(self, at_s):
        for engine, in_use in enumerate(self.in_use):
            for adapter, running in in_use.items():
                if running:
                    self.on_usage_change(engine, adapter, at_s)

    def _send_frame(self, at_s):
        states = [
            ServerState(
                server.server_id, 5, usage.queued, usage.running(at_s), True, ()
            )
            for server, usage in zip(self.servers, self.usage)
        ]
        messages = self.state_updates.changes(states)
        messages += self.state_updates.heartbeats(states, at_s)
        for message in messages:
            if isinstance(message, ServerOccupancy):
                self.view.on_occupancy(message, at_s)
            elif isinstance(message, ServerState):
                self.view.on_state(message, at_s)

    def _is_due(self, event, at_s, interval_s):
        if at_s < self._due_s[event]:
            return False
        self._due_s[event] = at_s + interval_s
        return True


@pytest.fixture(scope='module')
def simulation():
    return OwnerUpdateSimulation(receives_usage=True).run()


def test_few_requests_find_an_engine_crowded(simulation):
    assert simulation.requests_without_slot < 0.01 * simulation.requests


def test_fewer_than_by_reports_alone(simulation):
    other = OwnerUpdateSimulation(receives_usage=False).run()
    assert other.requests == pytest.approx(simulation.requests, rel=0.1)
    assert simulation.requests_without_slot < 0.5 * other.requests_without_slot
