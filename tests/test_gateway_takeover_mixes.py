"""Seeded mixes of servers that pause, refuse, fail and break off streams."""

import asyncio
import random
import re
import time

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

from wasabicross.gateway import request_record
from wasabicross.gateway.configuration import Configuration
from wasabicross.runtime.events import Event

SEEDS = range(1, 5)

#: Longest time after the last answer in which anything may be under way.
LONGEST_REST_S = 2

#: What is told of each attempt if something is under way later.
TOLD = ('request', 'server', 'ending', 'reason', 'took_s')
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
        #: The requests that it runs: id, event that it goes on after, start,
        #: and whether the connection has ended for it.
        self.at_work = {}

    async def _play(self, _script, received, reader, writer):
        after = int(received.fields.get('last-event-id') or 0)
        key = object()
        self.at_work[key] = (
            received.fields.get('request-id'),
            after,
            time.monotonic(),
            reader.at_eof,
        )
        try:
            return await super()._play(
                self._steps(after + 1), received, reader, writer
            )
        finally:
            del self.at_work[key]

    def left(self):
        """Return what is known of the requests that it runs."""
        return [
            f'{request_id} after event {after}, run for'
            f' {time.monotonic() - since_s:.2f} s, at end: {at_eof()}'
            for request_id, after, since_s, at_eof in self.at_work.values()
        ]

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


async def left_after(view, servers):
    """Wait until nothing is under way; return what is after 2 s."""
    turns = 0
    until_s = time.monotonic() + LONGEST_REST_S
    while True:
        counted = {key: no for key, no in view.own.requests.items() if no}
        at_servers = {no: each.left() for no, each in enumerate(servers)}
        if not counted and not any(at_servers.values()):
            return ()
        if time.monotonic() >= until_s:
            return counted, at_servers, f'{turns} turns'
        await asyncio.sleep(0.01)
        turns += 1


@pytest.fixture
def attempts(monkeypatch):
    """Collect the logged attempts, in order."""
    logged = []

    def collect(event, **fields):
        if event is Event.REQUEST_SENT:
            logged.append([fields[name] for name in TOLD])

    monkeypatch.setattr(request_record, 'log_event', collect)
    return logged


@pytest.mark.parametrize('seed', SEEDS)
def test_streams_keep_their_order_and_leave_nothing_behind(seed, attempts):
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
            left = await left_after(bench.gateway.view, servers)
        return received, left

    answers, left = asyncio.run(scenario())
    assert not left, (left, attempts)
    for each in answers:
        assert each.count(b'HTTP/1.1') == 1
        ids = [int(number) for number in re.findall(rb'id: (\d+)\n', each)]
        assert ids == list(range(1, len(ids) + 1))
        if each.startswith(b'HTTP/1.1 200') and each.endswith(STREAM_END):
            assert len(ids) == EVENTS
