"""Requests that arrive or run while a gateway stops."""

import asyncio
import socket

import pytest
from gateway_parts import (
    CONFIGURATION,
    OK,
    running_gateway,
)
from raw_caller import ask, body_of, request, status_of
from scripted_server import (
    HOST,
    STREAM_END,
    STREAM_HEAD,
    ScriptedServer,
    answer,
    chunk,
    events,
)

from wasabicross.gateway.configuration import Configuration


@pytest.mark.parametrize('path', ['/safe/x', '/unsafe/x'])
def test_a_request_that_has_just_come_is_not_cut_by_a_stop(monkeypatch, path):
    """Idle connections are closed at the moment at which bytes arrive."""

    async def scenario():
        server = ScriptedServer([OK])
        async with running_gateway([server]) as bench:
            feed = asyncio.StreamReader.feed_data

            def feed_and_stop(reader, data):
                feed(reader, data)
                for conn in tuple(bench.gateway._connections):
                    conn.close_idle()

            monkeypatch.setattr(
                asyncio.StreamReader, 'feed_data', feed_and_stop
            )
            return await ask(bench.port, request(path, b'x')), server

    received, server = asyncio.run(scenario())
    assert received
    assert status_of(received) == 200
    assert len(server.seen) == 1


def test_stop_ends_what_is_under_way_and_takes_nothing_new():
    script = [STREAM_HEAD, chunk(events(1, 1)), 1.0, chunk(events(2, 2))]

    async def scenario():
        server = ScriptedServer([*script, 3.0, STREAM_END])
        async with running_gateway(
            [server], service='llm', cfg=_with_long_streams()
        ) as bench:
            sent = request('/streaming/x', b'x', Model='m0/a1')
            first = asyncio.ensure_future(ask(bench.port, sent))
            while not server.seen:
                await asyncio.sleep(0.01)
            bench.gateway.begin_stop()
            assert not bench.gateway.is_ready
            received = await first
            with pytest.raises(OSError):
                await asyncio.open_connection('127.0.0.1', bench.port)
            async with asyncio.timeout(3):
                await bench.task
            records = bench.store.records.values()
            assert records
            assert all(record.is_released for record in records)
        return received

    received = asyncio.run(scenario())
    assert received.endswith(STREAM_END)
    assert body_of(received) == events(1, 2)


def _with_long_streams():
    routes = tuple(
        route._replace(timeout_s=10) for route in CONFIGURATION.routes
    )
    return Configuration.from_parts(
        CONFIGURATION.version,
        routes,
        CONFIGURATION.services,
        CONFIGURATION.limits,
    )


def test_the_process_waits_for_callers_that_read_slowly():
    """The answer is written, but a part of it isn't sent yet."""
    body = b'a' * 60000

    async def scenario():
        server = ScriptedServer([0.2, answer(body)])
        async with running_gateway([server]) as bench:
            with socket.socket() as sock:
                sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 4096)
                sock.setblocking(False)
                loop = asyncio.get_running_loop()
                await loop.sock_connect(sock, (HOST, bench.port))
                await loop.sock_sendall(sock, request('/safe/x', b'x'))
                await _until(lambda: server.seen)
                _send_little_at_once(bench.gateway)
                bench.gateway.begin_stop()
                await asyncio.wait((bench.task,), timeout=4)
                assert not bench.task.done()
                received = b''
                while not received.endswith(body):
                    got = await loop.sock_recv(sock, 65536)
                    assert got
                    received += got
            async with asyncio.timeout(3):
                await bench.task

    asyncio.run(scenario())


async def _until(condition):
    async with asyncio.timeout(5):
        while not condition():
            await asyncio.sleep(0.01)


def _send_little_at_once(gateway):
    """Keep what callers haven't read in the process."""
    for conn in gateway._connections:
        sock = conn._writer.get_extra_info('socket')
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_SNDBUF, 4096)
