"""Idle connections of callers that are closed as a request arrives."""

import asyncio

import pytest
from gateway_parts import CONFIGURATION, LIMITS, OK, running_gateway
from raw_caller import request, status_of
from scripted_server import HOST, ScriptedServer

from wasabicross.gateway.changes import ConfigurationUpdate
from wasabicross.gateway.clock import now_s
from wasabicross.gateway.configuration import Configuration
from wasabicross.gateway.connections import caller_connections
from wasabicross.gateway.connections.watched_reader import WatchedReader


def with_idle_timeout(idle_timeout_s, version=1):
    """Return a configuration with this limit of idle time."""
    return Configuration.from_parts(
        version,
        CONFIGURATION.routes,
        CONFIGURATION.services,
        LIMITS._replace(idle_timeout_s=idle_timeout_s),
    )


async def _answer_on(reader, writer, sent):
    writer.write(sent)
    async with asyncio.timeout(3):
        return await reader.read(65536)


@pytest.mark.parametrize('path', ['/safe/x', '/unsafe/x'])
def test_bytes_that_arrive_as_the_idle_limit_expires_are_read(
    monkeypatch, path
):
    """The request is in the buffer when the wait for it is cancelled."""
    sent = request(path, b'x')
    read = WatchedReader.read

    async def read_too_late(reader, length=-1):
        try:
            return await read(reader, length)
        except asyncio.CancelledError:
            if not reader.at_eof() and not hasattr(reader, 'was_fed'):
                reader.was_fed = True
                reader.feed_data(sent)
            raise

    monkeypatch.setattr(caller_connections.WatchedReader, 'read', read_too_late)

    async def scenario():
        server = ScriptedServer([OK])
        async with running_gateway(
            [server], cfg=with_idle_timeout(0.1)
        ) as bench:
            reader, writer = await asyncio.open_connection(HOST, bench.port)
            return await _answer_on(reader, writer, b'')

    received = asyncio.run(scenario())
    assert received
    assert status_of(received) == 200


def test_a_longer_idle_limit_holds_for_connections_that_wait_already():
    async def scenario():
        server = ScriptedServer([OK])
        async with running_gateway(
            [server], cfg=with_idle_timeout(0.3)
        ) as bench:
            reader, writer = await asyncio.open_connection(HOST, bench.port)
            first = await _answer_on(reader, writer, request('/safe/x'))
            conns = bench.gateway._connections
            while not all(conn.is_idle for conn in conns):
                await asyncio.sleep(0)
            longer = ConfigurationUpdate(with_idle_timeout(5.0, version=2))
            bench.gateway.view.apply(longer, now_s())
            with pytest.raises(TimeoutError):
                await asyncio.wait_for(reader.read(1), 0.6)
            second = await _answer_on(reader, writer, request('/safe/x'))
            return first, second

    assert [status_of(each) for each in asyncio.run(scenario())] == [200, 200]
