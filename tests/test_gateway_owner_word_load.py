"""What callers get where owners tell how busy engines are.

It answers a day of high load with many gateways: all of them choose by the word
of one owner, which goes out in frames, while the engines' own reports lag.
"""

import pytest
from placement_simulation import (
    ENGINES,
    PlacementSimulation,
    choose_as_gateways,
)

from wasabicross.gateway.backend import AdapterKey, BackendServer
from wasabicross.gateway.engine_usage import EngineUsage
from wasabicross.gateway.messages import ServerOccupancy, ServerState
from wasabicross.gateway.owner_server import frame_interval_s
from wasabicross.gateway.state_updates import StateUpdates
from wasabicross.gateway.view import FleetView

GATEWAYS = 91
BUSY_PER_S = 140.0
#: Pause between the reports of an engine, and their age when they come.
REPORT_S = 0.5
REPORT_AGE_S = 0.3
#: How often gateways repeat what goes on.
REPEAT_S = 0.4


class WordPlay(PlacementSimulation):
    """Engines under load, as gateways know them by the word of their owner.

    :param hears_uses: whether gateways tell the owner of their requests.
    """

    def __init__(self, hears_uses):
        super().__init__(choose_as_gateways, BUSY_PER_S)
        self.hears_uses = hears_uses
        self.uses = [EngineUsage() for _ in range(ENGINES)]
        self.news = StateUpdates('front-1')
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
        """Play the owner, and take in what it tells."""
        if self._is_due('report', at_s, REPORT_S):
            self._reports.append((at_s + REPORT_AGE_S, list(self.running)))
        if self._is_due('repeat', at_s, REPEAT_S):
            self._repeat(at_s)
        while self._reports and self._reports[0][0] <= at_s:
            _, running = self._reports.pop(0)
            for uses, count in zip(self.uses, running):
                uses.on_report(0, count)
        if self._is_due('frame', at_s, frame_interval_s(GATEWAYS)):
            self._send_frame(at_s)
        self.reported = [
            self.view.requests_at(server, at_s) for server in self.servers
        ]

    def on_usage_change(self, engine, adapter, at_s):
        """Tell the owner at once."""
        if self.hears_uses:
            running = self.in_use[engine][adapter]
            key = AdapterKey('m0', adapter)
            self.uses[engine].on_use(key, 'gateways', running, at_s)

    def _repeat(self, at_s):
        for engine, in_use in enumerate(self.in_use):
            for adapter, running in in_use.items():
                if running:
                    self.on_usage_change(engine, adapter, at_s)

    def _send_frame(self, at_s):
        states = [
            ServerState(
                server.server_id, 5, uses.queued, uses.running(at_s), True, ()
            )
            for server, uses in zip(self.servers, self.uses)
        ]
        told = self.news.changes(states)
        told += self.news.heartbeats(states, at_s)
        for message in told:
            if isinstance(message, ServerOccupancy):
                self.view.on_occupancy(message, at_s)
            elif isinstance(message, ServerState):
                self.view.on_state(message, at_s)

    def _is_due(self, what, at_s, pause_s):
        if at_s < self._due_s[what]:
            return False
        self._due_s[what] = at_s + pause_s
        return True


@pytest.fixture(scope='module')
def played():
    return WordPlay(hears_uses=True).run()


def test_few_requests_find_an_engine_crowded(played):
    assert played.requests_without_slot < 0.01 * played.requests


def test_fewer_than_by_reports_alone(played):
    other = WordPlay(hears_uses=False).run()
    assert other.requests == pytest.approx(played.requests, rel=0.1)
    assert played.requests_without_slot < 0.5 * other.requests_without_slot
