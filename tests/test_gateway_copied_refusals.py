"""Copies of a refusal that come while the refused request runs.

A copy bears the id of its request, so on the connection of the refusal no id
tells it from the answer to the same request that was sent there again.
"""

import asyncio
import contextlib

import pytest
from gateway_parts import (
    CONFIGURATION,
    OK,
    gateway_at,
    server_entry,
    settings_at,
)
from raw_caller import ask, body_of, request, status_of
from scripted_server import NOT_RUN, ScriptedServer, answer

from emulator.waiting import free_ports
from wasabicross.gateway.changes import ConfigurationUpdate
from wasabicross.gateway.clock import now_s
from wasabicross.gateway.connections.connection_pool import ConnectionPool
from wasabicross.platform.headers import REQUEST_ID

MISDIRECTED = answer(b'', b'421 Misdirected Request')
BUSY = answer(b'', b'429 Too Many Requests', b'Not-Run: 1\r\n')
REFUSALS = [NOT_RUN, MISDIRECTED, BUSY]
NAMES = ['503', '421', '429']
PATHS = ['/unsafe/x', '/streaming/x']


class RefusingOnce(ScriptedServer):
    """Refuse the first request, send the refusal again before the next answer.

    :param refusal: the refusal.
    """

    def __init__(self, refusal):
        super().__init__([refusal], [refusal, 0.1, OK])
        self.runs = 0
        self.on_run = None

    async def _play(self, script, seen, reader, writer):
        if len(self.seen) > 1:
            self.runs += 1
            if self.on_run is not None:
                self.on_run()
            if writer is not self._first_writer:
                script = [OK]
        self._first_writer = writer
        return await super()._play(script, seen, reader, writer)


@contextlib.asynccontextmanager
async def gateway_before(ports_by_id, service, cfg=CONFIGURATION, grace_s=8):
    """Run a gateway that lists servers with these ports."""
    changes = [
        ConfigurationUpdate(cfg),
        *(
            server_entry(server_id, service, port)
            for server_id, port in ports_by_id.items()
        ),
    ]
    settings = settings_at(*free_ports(3))._replace(grace_s=grace_s)
    async with gateway_at(
        settings, changes, ConnectionPool(REQUEST_ID)
    ) as bench:
        yield bench


def service_at(path):
    return 'llm' if 'stream' in path else 'desk'


@pytest.mark.parametrize('refusal', REFUSALS, ids=NAMES)
@pytest.mark.parametrize('path', PATHS)
def test_copy_refuses_no_run_at_the_next_server_of_an_address(path, refusal):
    """A process starts at the address of another, whose entry still stands."""

    async def scenario():
        server = RefusingOnce(refusal)
        port = await server.start()
        listed = {'i-0': port, 'i-1': port}
        async with gateway_before(listed, service_at(path)) as bench:
            return await ask(bench.port, request(path, b'x')), server

    received, server = asyncio.run(scenario())
    assert server.runs == 1
    assert status_of(received) == 200
    assert body_of(received) == b'the answer'


@pytest.mark.parametrize('refusal', REFUSALS, ids=NAMES)
def test_copy_lets_nothing_run_twice(refusal):
    """Another server is listed while the request runs."""

    async def scenario():
        server = RefusingOnce(refusal)
        other = ScriptedServer([OK])
        port, other_port = await server.start(), await other.start()
        listed = {'i-0': port, 'i-1': port}
        async with gateway_before(listed, 'desk') as bench:
            entry = server_entry('i-2', 'desk', other_port)
            view = bench.gateway.view
            server.on_run = lambda: view.apply(entry, now_s())
            await ask(bench.port, request('/unsafe/x', b'x'))
        return server.runs, len(other.seen)

    assert asyncio.run(scenario()) == (1, 0)


@pytest.mark.parametrize('refusal', REFUSALS, ids=NAMES)
@pytest.mark.parametrize('path', PATHS)
def test_copy_refuses_no_run_of_an_id_that_comes_again(path, refusal):
    """Two handlers of a gateway send one id, as after two forwardings."""

    async def scenario():
        server = RefusingOnce(refusal)
        listed = {'i-0': await server.start()}
        async with gateway_before(listed, service_at(path)) as bench:
            sent = request(path, b'x')
            await ask(bench.port, sent)
            return await ask(bench.port, sent), server

    received, server = asyncio.run(scenario())
    assert server.runs == 1
    assert status_of(received) == 200
