"""Seeded mixes of servers that pause, refuse, fail and break off streams."""

import asyncio
import random
import re

import pytest
from gateway_parts import (
    A1,
    CONFIGURATION,
    LIMITS,
    route,
    running_gateway,
)
from raw_caller import ask, request
from scripted_server import (
    FAILED,
    NOT_RUN,
    STREAM_END,
    STREAM_HEAD,
    ScriptedServer,
    chunk,
    events,
)

from wasabicross.gateway.configuration import Configuration

SEEDS = range(1, 5)
STREAMS = 6
EVENTS = 9

REFUSED_SHARE = 0.2
CUT_EVENT_SHARE = 0.2
BROKEN_SHARE = 0.12

#: Pauses before a refusal, a head, an event and the rest of an event, seconds.
BEFORE_REFUSAL_S = (0, 0.1, 1.2)
BEFORE_HEAD_S = (0, 0, 0.2, 0.7, 1.5)
BEFORE_EVENT_S = (0, 0, 0.05, 0.2, 1.1, 1.3, 1.6)
BEFORE_REST_S = (0.05, 1.2)

CFG = Configuration.from_parts(
    version=2,
    routes=(
        route(
            'stream-resumable',
            route_kind='streaming',
            timeout_s=6,
            max_servers=3,
            is_resumable=True,
        ),
    ),
    services=CONFIGURATION.services,
    limits=LIMITS,
)


class MixedServer(ScriptedServer):
    """A server whose streams go on after the event that a request names.

    :param draws: the random numbers of the mix.
    """

    def __init__(self, draws):
        super().__init__([])
        self._draws = draws
        self.at_work = 0

    async def _play(self, _script, received, reader, writer):
        after = int(received.fields.get('last-event-id') or 0)
        self.at_work += 1
        try:
            return await super()._play(
                self._steps(after + 1), received, reader, writer
            )
        finally:
            self.at_work -= 1

    def _steps(self, first):
        """Return the steps of an answer that begins with an event."""
        draws = self._draws
        if draws.random() < REFUSED_SHARE:
            return [
                draws.choice(BEFORE_REFUSAL_S),
                draws.choice((NOT_RUN, FAILED)),
            ]
        steps = [draws.choice(BEFORE_HEAD_S), STREAM_HEAD]
        for number in range(first, EVENTS + 1):
            steps.append(draws.choice(BEFORE_EVENT_S))
            if draws.random() < BROKEN_SHARE:
                return [*steps, draws.choice(('close', 'reset'))]
            steps += self._event(number)
        return [*steps, STREAM_END]

    def _event(self, number):
        """Return the steps of one event, which may come in two parts."""
        event = events(number, number)
        if self._draws.random() < CUT_EVENT_SHARE:
            pause_s = self._draws.choice(BEFORE_REST_S)
            return [chunk(event[:7]), pause_s, chunk(event[7:])]
        return [chunk(event)]


@pytest.mark.parametrize('seed', SEEDS)
def test_streams_keep_their_order_and_leave_nothing_behind(seed):
    async def scenario():
        draws = random.Random(seed)
        servers = [MixedServer(draws) for _ in range(3)]
        async with running_gateway(servers, cfg=CFG, service='llm') as bench:
            asking = [
                ask(
                    bench.port,
                    request(
                        '/stream-resumable/x',
                        b'x',
                        Model=f'm0/{A1.adapter}',
                        Request_Id=f'r{number}',
                    ),
                    wait_s=9,
                )
                for number in range(STREAMS)
            ]
            received = await asyncio.gather(*asking)
            async with asyncio.timeout(2):
                while any(bench.gateway.view.own.requests.values()):
                    await asyncio.sleep(0.01)
                while any(server.at_work for server in servers):
                    await asyncio.sleep(0.01)
        return received

    for each in asyncio.run(scenario()):
        assert each.count(b'HTTP/1.1') == 1
        ids = [int(number) for number in re.findall(rb'id: (\d+)\n', each)]
        assert ids == list(range(1, len(ids) + 1))
        if each.startswith(b'HTTP/1.1 200') and each.endswith(STREAM_END):
            assert len(ids) == EVENTS
