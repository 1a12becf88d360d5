"""Requests that arrive or run while a gateway stops."""

import asyncio

import pytest
from gateway_parts import (
    CONFIGURATION,
    OK,
    running_gateway,
)
from raw_caller import ask, body_of, request, status_of
from scripted_server import (
    STREAM_END,
    STREAM_HEAD,
    ScriptedServer,
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
