"""A stream that breaks off at a second gateway isn't ended as a whole one."""

import asyncio
import contextlib
import os
import signal

import pytest
from gateway_parts import FakeEngines, gateway_at, server_entry, settings_at
from scripted_server import (
    HOST,
    STREAM_END,
    STREAM_HEAD,
    ScriptedServer,
    chunk,
    events,
)
from stream_end_parts import (
    BEGUN,
    LONG,
    PATHS,
    SLOW,
    UNFRAMED_HEAD,
    VERSIONS,
    WHOLE,
    Caller,
    gateway_process,
    sent_in,
)

from emulator.waiting import free_ports
from wasabicross.gateway.changes import ConfigurationUpdate, InstanceEntry
from wasabicross.gateway.connections.connection_pool import ConnectionPool
from wasabicross.platform.headers import REQUEST_ID

#: Address of the second gateway.
PEER = '127.0.0.2'

#: Port at which no server listens.
CLOSED_PORT = 1


class UnhealthyEngines(FakeEngines):
    """Fail every health probe."""

    async def is_healthy(self, server, path):
        """Report every server as failing."""
        return False


class ScriptedPeer(ScriptedServer):
    """A second gateway that sends scripted answers."""

    async def listen(self, port):
        """Listen for forwarded requests."""
        self._listener = await asyncio.start_server(self._serve, PEER, port)


@contextlib.asynccontextmanager
async def cut_off_gateway(forwarding_port):
    """Run a gateway that reaches no server; yield the port of its callers."""
    callers, ready, peers = free_ports(3)
    settings = settings_at(callers, ready, peers)._replace(
        instance='front-0', forwarding_port=forwarding_port
    )
    changes = [
        ConfigurationUpdate(LONG),
        server_entry('i-0', 'llm', CLOSED_PORT),
        InstanceEntry('front-0', HOST, 'dc'),
        InstanceEntry('front-1', PEER, 'dc'),
    ]
    pool = ConnectionPool(REQUEST_ID)
    async with gateway_at(settings, changes, pool, UnhealthyEngines()):
        yield callers
        pool.drop_idle(PEER, forwarding_port)


def run_peer(script, version, path):
    """Return what the caller of a scripted second gateway got."""

    async def scenario():
        (forwarding_port,) = free_ports(1)
        peer = ScriptedPeer(script)
        await peer.listen(forwarding_port)
        async with cut_off_gateway(forwarding_port) as port:
            caller = Caller(HOST, port, sent_in(version, path))
            is_complete = await caller.is_complete()
        assert len(peer.seen) == 1
        return is_complete, caller.received

    return asyncio.run(scenario())


def is_success(received):
    """Tell whether an answer is a stream."""
    return received.split(b' ', 2)[1] == b'200'


@pytest.mark.parametrize('path', PATHS)
@pytest.mark.parametrize('version', VERSIONS)
@pytest.mark.parametrize('script', WHOLE.values(), ids=WHOLE)
def test_a_whole_stream_of_a_second_gateway_looks_whole(script, version, path):
    is_complete, received = run_peer(script, version, path)
    assert is_complete
    assert b'token 3' in received


#: Other ways in which the answer of a second gateway may end early.
CUT_INSIDE = {
    'in a chunk': [STREAM_HEAD, chunk(events(1, 3)), b'40\r\nid: 4'],
    'in the last chunk': [STREAM_HEAD, chunk(events(1, 3)), b'0\r\n'],
    'after the head': [STREAM_HEAD],
    'in the head': [STREAM_HEAD[:-2]],
}


@pytest.mark.parametrize('path', PATHS)
@pytest.mark.parametrize('version', VERSIONS)
@pytest.mark.parametrize('end', ['close', 'reset'])
@pytest.mark.parametrize('script', {**BEGUN, **CUT_INSIDE}.values())
def test_a_second_gateway_that_breaks_off_ends_no_stream_as_whole(
    script, end, version, path
):
    is_complete, received = run_peer([*script, 0.05, end], version, path)
    assert not (is_complete and is_success(received))


def test_a_stream_of_a_second_gateway_without_chunks_is_never_whole():
    script = [UNFRAMED_HEAD + events(1, 9), 'close']
    is_complete, received = run_peer(script, '1.1', PATHS[0])
    assert not (is_complete and is_success(received))


@contextlib.asynccontextmanager
async def stream_by_two(script, version, path):
    """Run two gateways, the second one as a process, and a caller."""
    server = ScriptedServer(script)
    (forwarding_port,) = free_ports(1)
    async with (
        gateway_process(server, PEER, forwarding_port) as (process, _),
        cut_off_gateway(forwarding_port) as port,
    ):
        yield process, Caller(HOST, port, sent_in(version, path))


@pytest.mark.parametrize('path', PATHS)
@pytest.mark.parametrize('sign', [signal.SIGKILL, signal.SIGTERM])
@pytest.mark.parametrize('version', VERSIONS)
@pytest.mark.parametrize('script', BEGUN.values(), ids=BEGUN)
def test_a_second_gateway_that_is_killed_ends_no_stream_as_whole(
    script, version, sign, path
):
    async def scenario():
        steps = [*script, SLOW]
        async with stream_by_two(steps, version, path) as (process, caller):
            await caller.until_begun()
            os.kill(process.pid, sign)
            return await caller.is_complete()

    assert not asyncio.run(scenario())


@pytest.mark.parametrize('path', PATHS)
@pytest.mark.parametrize('script', BEGUN.values(), ids=BEGUN)
def test_a_server_that_breaks_off_at_a_second_gateway_ends_no_stream_as_whole(
    script, path
):
    async def scenario():
        steps = [*script, 0.1, 'reset']
        async with stream_by_two(steps, '1.1', path) as (_, caller):
            await caller.until_begun()
            return await caller.is_complete(), caller.received

    is_complete, received = asyncio.run(scenario())
    assert not is_complete
    assert is_success(received)
    assert not received.endswith(STREAM_END)
