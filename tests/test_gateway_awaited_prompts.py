"""Prompts that wait for their adapters count where adapters are loaded.

Guards against long prompts that meet each other: an engine that is idle now is
not idle any more when the adapters that are being loaded there have come.
"""

import asyncio
import random

import pytest

from wasabicross.gateway.backend import AdapterKey, BackendServer
from wasabicross.gateway.candidates import Candidates, PlacementRequest
from wasabicross.gateway.loading.awaited_loads import AwaitedLoads
from wasabicross.gateway.messages import ServerOccupancy, ServerState
from wasabicross.gateway.orders import LoadRequest
from wasabicross.gateway.placement import choose_server
from wasabicross.gateway.state_updates import StateUpdates
from wasabicross.gateway.usage_tracker import UsageTracker
from wasabicross.gateway.view import FleetView

ENGINES = 6
SEEDS = (1, 2, 3)
REQUESTS_PER_S = 9.0
DURATION_S = 60.0
LOAD_S = 0.26
TARGET_S = 0.8
S_PER_TOKEN = 0.000036
MEAN_PROMPT_TOKENS = 9000
#: Interval of the frames in which owners report how busy engines are.
FRAME_INTERVAL_S = 0.07


def state(server_id, **fields):
    return ServerState(server_id, 5, 0, 0, True, (), ('m0',), 4, **fields)


def view_of_engines():
    view = FleetView()
    for number in range(ENGINES):
        server = BackendServer(
            f's{number}', 'llm', '', 1, 'dc', 64, False, {}, frozenset(), 5
        )
        view.servers[server.server_id] = server
        view.on_state(state(server.server_id), 0)
    view.prefill_rate.on_answer('llm', 100_000, 100_000 * S_PER_TOKEN)
    return view


class ColdAdapters:
    """Simulate long prompts, each for an adapter that no engine holds.

    :param reports_waiting: whether owners report the prompts that wait.
    """

    def __init__(self, reports_waiting, seed):
        self.reports_waiting = reports_waiting
        self.rng = random.Random(seed)
        self.view = view_of_engines()
        self.candidates = Candidates(self.view, 'dc')
        self.prompts = []
        self.busy_until_s = {server_id: 0.0 for server_id in self.view.servers}
        self.frame_s = 0.0

    def run(self):
        """Return the share of the requests whose first token is on time."""
        at_s, requests, on_time = 0.0, 0, 0
        while at_s < DURATION_S:
            at_s += self.rng.expovariate(REQUESTS_PER_S)
            while self.frame_s <= at_s:
                self.report(self.frame_s)
                self.frame_s += FRAME_INTERVAL_S
            on_time += self.arrive(at_s, requests) - at_s <= TARGET_S
            requests += 1
        return on_time / requests

    def arrive(self, at_s, number):
        """Place a request; return when its first token comes."""
        tokens = int(self.rng.uniform(0.5, 1.5) * MEAN_PROMPT_TOKENS)
        adapter = f'a{number}'
        request = PlacementRequest(
            'llm',
            AdapterKey('m0', adapter),
            1,
            0.5,
            frozenset(),
            TARGET_S,
            tokens,
            TARGET_S,
        )
        found = self.candidates.find(request, (), at_s)
        server_id = choose_server(adapter, 1, found).server_id
        sent_s = at_s + LOAD_S
        first_s = max(sent_s, self.busy_until_s[server_id])
        first_s += tokens * S_PER_TOKEN
        self.busy_until_s[server_id] = first_s
        self.prompts.append((server_id, sent_s, first_s, tokens))
        return first_s

    def report(self, at_s):
        self.prompts = [each for each in self.prompts if each[2] > at_s]
        for server_id in self.view.servers:
            here = [each for each in self.prompts if each[0] == server_id]
            unread = sum(each[3] for each in here if each[1] <= at_s)
            waiting = sum(each[3] for each in here if each[1] > at_s)
            if not self.reports_waiting:
                waiting = 0
            self.view.on_occupancy(
                ServerOccupancy(server_id, 5, 0, 0, 4, unread, waiting), at_s
            )


@pytest.mark.parametrize('seed', SEEDS)
def test_fewer_first_tokens_are_late(seed):
    late_unreported = 1 - ColdAdapters(reports_waiting=False, seed=seed).run()
    late = 1 - ColdAdapters(reports_waiting=True, seed=seed).run()
    assert late_unreported > 0.1
    assert late < 0.6 * late_unreported


def test_an_owner_counts_the_prompts_of_awaited_loads():
    awaited = AwaitedLoads()
    loads = [('a1', 500), ('a1', 700), ('a2', 0), ('a3', 9000)]

    async def join_all():
        for name, tokens in loads:
            key = AdapterKey('m0', name)
            load = LoadRequest('s1', key, 1, 0, 1, 1, prompt_tokens=tokens)
            awaited.join(load, 0)

    asyncio.run(join_all())
    assert awaited.prompt_tokens == 10_200
    awaited.take(AdapterKey('m0', 'a1'))
    assert awaited.prompt_tokens == 9000


@pytest.mark.parametrize(
    ('awaited_tokens', 'is_sent'), [(1000, False), (9000, True)]
)
def test_waiting_prompts_are_reported_before_the_heartbeat(
    awaited_tokens, is_sent
):
    updates = StateUpdates('front-1')
    updates.changes([state('s1')])
    updates.heartbeats([state('s1')], 0)
    changed = updates.changes([state('s1', awaited_tokens=awaited_tokens)])
    assert bool(changed) is is_sent


def test_own_waiting_prompts_count_until_they_are_sent():
    view = view_of_engines()
    usage = UsageTracker(view)
    server = view.servers['s1']
    with usage.waiting('s1', 700):
        with usage.waiting('s1', 0):
            assert view.awaited_tokens(server, 0.1) == 700
        view.on_occupancy(ServerOccupancy('s1', 5, 0, 0, 4, 0, 900), 0.1)
        assert view.awaited_tokens(server, 0.1) == 900
        # An old report no longer counts.
        assert view.awaited_tokens(server, 9) == 700
    assert not view.own.awaited_tokens
