"""Streams that are slow, cut off or resumed on another server."""

import asyncio
import time

import pytest
from gateway_parts import (
    A1,
    FakeEngines,
    SharedScriptsServer,
    run_request,
    running_gateway,
)
from raw_caller import ask, body_of, request
from scripted_server import (
    STREAM_END,
    STREAM_HEAD,
    chunk,
    events,
)


def test_a_stream_that_drips_bytes_goes_on_elsewhere():
    """Single bytes that complete no event count as silence."""
    drips = [b'1\r\n.\r\n', 0.3] * 9
    stalled = [STREAM_HEAD, chunk(events(1, 2) + b'id: 3\nda'), *drips]
    rest = [STREAM_HEAD, chunk(events(3, 5)), STREAM_END]
    received, servers, took_s = run_stream(stalled, rest)
    assert body_of(received) == events(1, 5)
    assert received.endswith(STREAM_END)
    assert took_s < 2


class SeparateEngines(FakeEngines):
    """Simulate engines that each hold only what was loaded on them."""

    def __init__(self):
        super().__init__()
        self._engines = {}

    async def report(self, server):
        """Return the adapters that one engine holds."""
        return await self._engine(server).report(server)

    async def order(self, server, order):
        """Execute an order on one engine."""
        return await self._engine(server).order(server, order)

    def _engine(self, server):
        return self._engines.setdefault(server.server_id, FakeEngines())


def test_a_stream_that_broke_late_waits_for_its_adapter_elsewhere():
    """The target of its first event has long passed when it breaks."""
    turns = [
        [STREAM_HEAD, chunk(events(1, 2)), 0.8, 'close'],
        [STREAM_HEAD, chunk(events(3, 5)), STREAM_END],
    ]

    async def scenario():
        servers = [SharedScriptsServer(turns), SharedScriptsServer(turns)]
        async with running_gateway(
            servers, service='llm', engines=SeparateEngines(), held={}
        ) as bench:
            while not bench.gateway.view.reported:
                await asyncio.sleep(0.02)
            sent = request(
                '/stream-resumable/x', b'x', Model=f'm0/{A1.adapter}'
            )
            return await ask(bench.port, sent)

    received = asyncio.run(scenario())
    assert body_of(received) == events(1, 5)
    assert received.endswith(STREAM_END)


def test_a_slow_stream_is_not_cut_where_no_other_server_is():
    """Pauses exceed the target gap, but there is only one server."""
    slow = [STREAM_HEAD]
    for number in range(1, 4):
        slow += [chunk(events(number, number)), 1.2]
    received, _, _ = run_request(
        [[[*slow[:-1], STREAM_END]]],
        request('/stream-resumable/x', b'x', Model=f'm0/{A1.adapter}'),
        service='llm',
    )
    assert body_of(received) == events(1, 3)
    assert received.endswith(STREAM_END)


def run_stream(first, then):
    """Run a resumable stream that one server begins and another continues."""

    async def scenario():
        turns = [first, then]
        servers = [SharedScriptsServer(turns), SharedScriptsServer(turns)]
        async with running_gateway(servers, service='llm') as bench:
            sent = request(
                '/stream-resumable/x', b'x', Model=f'm0/{A1.adapter}'
            )
            began_s = time.monotonic()
            received = await ask(bench.port, sent)
            return received, servers, time.monotonic() - began_s

    return asyncio.run(scenario())


STREAM = {'service': 'llm'}


def test_stream_comes_whole():
    script = [STREAM_HEAD, chunk(events(1, 3)), chunk(events(4, 5)), STREAM_END]
    sent = request('/streaming/x', b'x', Model='m0/a1')
    received, (server,), _ = run_request([[script]], sent, **STREAM)
    assert body_of(received) == events(1, 5)
    assert server.seen[0].fields['expect-version'] == '1'


@pytest.mark.parametrize('end', ['reset', 'close'])
def test_cut_stream_never_looks_complete(end):
    script = [STREAM_HEAD, chunk(events(1, 3)), end]
    sent = request('/streaming/x', b'x', Model='m0/a1')
    received, (server,), _ = run_request([[script]], sent, **STREAM)
    assert STREAM_END not in received
    assert len(server.seen) == 1


@pytest.mark.parametrize(
    'broken',
    [
        [chunk(events(1, 3)), 'reset'],
        [chunk(events(1, 3) + b'id: 4\nda'), 'close'],
        # Silence that exceeds the allowed gap between events.
        [chunk(events(1, 3)), 9.0],
    ],
)
def test_resumable_stream_goes_on_elsewhere_once(broken):
    rest = [STREAM_HEAD, chunk(events(4, 6)), STREAM_END]

    async def scenario():
        turns = [[STREAM_HEAD, *broken], rest]
        servers = [SharedScriptsServer(turns), SharedScriptsServer(turns)]
        async with running_gateway(servers, service='llm') as bench:
            sent = request('/stream-resumable/x', b'x', Model='m0/a1')
            return await ask(bench.port, sent), servers

    received, servers = asyncio.run(scenario())
    assert body_of(received) == events(1, 6)
    assert received.endswith(STREAM_END)
    resumed = [
        seen.fields.get('last-event-id')
        for server in servers
        for seen in server.seen
    ]
    assert sorted(resumed, key=str) == ['3', None]
