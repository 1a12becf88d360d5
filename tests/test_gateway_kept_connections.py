"""Reuse of connections to servers for several requests."""

import asyncio
import time

import pytest
from gateway_parts import (
    OK,
    run_request,
    running_gateway,
)
from raw_caller import ask, body_of, request, status_of
from scripted_server import (
    STREAM_END,
    STREAM_HEAD,
    ScriptedServer,
    answer,
    chunk,
)

from wasabicross.gateway.connections import server_connections
from wasabicross.gateway.connections.connection_pool import (
    CONNECT_TIMEOUT_S,
    ConnectionPool,
)


@pytest.mark.parametrize(
    'late', [answer(b'the second copy'), b'no http at all', b'\r\n' * 9]
)
def test_bytes_after_an_answer_reach_nobody(late):
    """Later unsafe requests succeed, and none has an unknown outcome."""

    async def scenario():
        server = ScriptedServer([OK, 0.05, late])
        async with running_gateway([server]) as bench:
            received = []
            for number in range(4):
                sent = request('/unsafe/x', b'x', Request_Id=f'r{number}')
                received.append(await ask(bench.port, sent))
                await asyncio.sleep(0.15)
        return received, server

    received, server = asyncio.run(scenario())
    assert [status_of(each) for each in received] == [200] * 4
    assert {body_of(each) for each in received} == {b'the answer'}
    assert len(server.seen) == 4


@pytest.mark.parametrize(
    ('path', 'status', 'arrivals'), [('/safe/x', 200, 3), ('/unsafe/x', 502, 2)]
)
def test_bytes_that_meet_the_next_request(path, status, arrivals):
    """A safe request that meets stray bytes is retried on a new connection."""

    async def scenario():
        server = ScriptedServer([OK], [b'no http at all\r\n\r\n'], [OK])
        async with running_gateway([server]) as bench:
            await ask(bench.port, request(path, b'x', Request_Id='r1'))
            sent = request(path, b'x', Request_Id='r2')
            return await ask(bench.port, sent), server

    received, server = asyncio.run(scenario())
    assert status_of(received) == status
    assert len(server.seen) == arrivals


class _PowerLossServer(ScriptedServer):
    """Send no more bytes once the machine has lost power."""

    def __init__(self, *scripts):
        super().__init__(*scripts)
        self.has_power = True

    async def _serve(self, reader, writer):
        if self.has_power:
            await super()._serve(reader, writer)

    async def _play(self, script, seen, reader, writer):
        if not self.has_power:
            await self.gone.wait()
        return await super()._play(script, seen, reader, writer)


def test_connections_to_a_vanished_machine_are_not_used_one_by_one():
    """Each of these connections would stay silent until a time limit."""

    async def scenario():
        powerless, healthy = (
            _PowerLossServer([0.1, OK]),
            ScriptedServer([0.1, OK]),
        )
        async with running_gateway([powerless, healthy]) as bench:
            safe = [
                request('/safe/x', Request_Id=f'r{number}')
                for number in range(24)
            ]
            await asyncio.gather(*(ask(bench.port, each) for each in safe[:12]))
            powerless.has_power = False
            sent_count = len(powerless.seen)
            for each in safe[12:]:
                assert status_of(await ask(bench.port, each)) == 200
            powerless.gone.set()
        return sent_count, len(powerless.seen)

    sent_before, seen = asyncio.run(scenario())
    assert sent_before > 3
    assert seen == sent_before + 1


@pytest.mark.parametrize('stalled_connection', [1, 2])
def test_a_stall_of_the_gateway_makes_no_server_unreachable(
    monkeypatch, stalled_connection
):
    """The process stands still for longer than a connection may take."""
    open_connection = ConnectionPool._open
    opened = []

    async def open_late(pool, host, port):
        opened.append(port)
        if len(opened) == stalled_connection:
            time.sleep(CONNECT_TIMEOUT_S + 0.05)
        return await open_connection(pool, host, port)

    monkeypatch.setattr(ConnectionPool, '_open', open_late)

    async def scenario():
        server = ScriptedServer([0.1, OK])
        async with running_gateway([server]) as bench:
            safe = request('/safe/x')
            return await asyncio.gather(
                *(ask(bench.port, safe) for _ in range(stalled_connection))
            )

    received = asyncio.run(scenario())
    assert [status_of(each) for each in received] == [200] * stalled_connection


def test_requests_in_a_row_get_their_own_answers():
    async def scenario():
        server = ScriptedServer([answer(b'one')], [answer(b'two')])
        async with running_gateway([server]) as bench:
            return await ask(
                bench.port,
                request('/safe/1'),
                request('/safe/2', Request_Id='r2'),
            )

    received = asyncio.run(scenario())
    assert received.index(b'one') < received.index(b'two')
    assert received.count(b'HTTP/1.1 200') == 2


def test_an_answer_that_passes_all_bounds_is_cut(monkeypatch):
    monkeypatch.setattr(server_connections, '_MAX_BODY_BYTES', 1_000_000)
    endless = [STREAM_HEAD, *[chunk(b'x' * 50_000), 0.001] * 200, STREAM_END]
    received, _, _ = run_request([[endless]], request('/unsafe/x', b'x'))
    assert len(received) < 1_500_000
    assert not received.endswith(STREAM_END)
