"""An answer that the gateway's own end breaks off doesn't look complete."""

import asyncio
import contextlib
import os
import signal

import pytest
from gateway_parts import running_gateway
from scripted_server import HOST, ScriptedServer
from stream_end_parts import (
    BEGUN,
    LONG,
    PATHS,
    SLOW,
    VERSIONS,
    WHOLE,
    Caller,
    gateway_process,
    sent_in,
)


@contextlib.asynccontextmanager
async def begun_stream(script, version, path, grace_s=1.0):
    """Run a gateway whose caller has had the first events of a stream."""
    server = ScriptedServer(script)
    async with running_gateway(
        [server], service='llm', cfg=LONG, grace_s=grace_s
    ) as bench:
        caller = Caller(HOST, bench.port, sent_in(version, path))
        await caller.until_begun()
        yield bench, caller


@pytest.mark.parametrize('path', PATHS)
@pytest.mark.parametrize('version', VERSIONS)
@pytest.mark.parametrize('script', WHOLE.values(), ids=WHOLE)
def test_a_whole_stream_looks_whole_in_each_version(script, version, path):
    async def scenario():
        async with begun_stream(script, version, path) as (_, caller):
            assert await caller.is_complete()
            return caller.received

    last = 3 if script is WHOLE['chunked'] else 9
    assert b'token %d' % last in asyncio.run(scenario())


@pytest.mark.parametrize('path', PATHS)
@pytest.mark.parametrize('version', VERSIONS)
@pytest.mark.parametrize('script', BEGUN.values(), ids=BEGUN)
def test_a_stop_in_mid_stream_does_not_end_it_as_whole(script, version, path):
    async def scenario():
        steps = [*script, SLOW]
        async with begun_stream(steps, version, path) as (bench, caller):
            bench.gateway.begin_stop()
            return await caller.is_complete()

    assert not asyncio.run(scenario())


@pytest.mark.parametrize('path', PATHS)
@pytest.mark.parametrize('version', VERSIONS)
@pytest.mark.parametrize('script', BEGUN.values(), ids=BEGUN)
def test_a_server_that_breaks_off_ends_no_stream_as_whole(
    script, version, path
):
    async def scenario():
        steps = [*script, 0.1, 'reset']
        async with begun_stream(steps, version, path) as (_, caller):
            return await caller.is_complete()

    assert not asyncio.run(scenario())


@pytest.mark.parametrize('path', PATHS)
@pytest.mark.parametrize('version', VERSIONS)
@pytest.mark.parametrize('sign', [signal.SIGKILL, signal.SIGTERM])
@pytest.mark.parametrize('script', BEGUN.values(), ids=BEGUN)
def test_a_killed_gateway_ends_no_stream_as_whole(script, sign, version, path):
    async def scenario():
        server = ScriptedServer([*script, SLOW])
        async with gateway_process(server) as (process, port):
            caller = Caller(HOST, port, sent_in(version, path))
            await caller.until_begun()
            os.kill(process.pid, sign)
            return await caller.is_complete()

    assert not asyncio.run(scenario())
