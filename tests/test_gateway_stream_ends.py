"""An answer that a gateway's own end or another gateway breaks off is cut."""

import asyncio
import contextlib
import os
import pathlib
import signal
import sys

import pytest
from gateway_parts import A1, CONFIGURATION, running_gateway
from raw_caller import request
from scripted_server import (
    HOST,
    STREAM_END,
    STREAM_HEAD,
    ScriptedServer,
    chunk,
    events,
)

from wasabicross.gateway.configuration import Configuration

MODEL = f'm0/{A1.adapter}'
PATHS = ('/streaming/x', '/stream-resumable/x')
VERSIONS = ('1.1', '1.0')
PROCESS = pathlib.Path(__file__).with_name('gateway_process.py')

#: A pause that outlasts any test, seconds.
SLOW = 30.0
LONG = Configuration.from_parts(
    CONFIGURATION.version,
    tuple(
        each._replace(timeout_s=30, target_s=20, gap_s=20)
        for each in CONFIGURATION.routes
    ),
    CONFIGURATION.services,
    CONFIGURATION.limits,
)

UNFRAMED_HEAD = STREAM_HEAD.replace(b'Transfer-Encoding: chunked\r\n', b'')
LENGTH_HEAD = STREAM_HEAD.replace(
    b'Transfer-Encoding: chunked',
    b'Content-Length: %d' % len(events(1, 9)),
)

#: The first events of a stream, by its framing.
BEGUN = {
    'chunked': [STREAM_HEAD, chunk(events(1, 3))],
    'length': [LENGTH_HEAD, events(1, 3)],
    'unframed': [UNFRAMED_HEAD, events(1, 3)],
}

#: A whole stream, by its framing.
WHOLE = {
    'chunked': [*BEGUN['chunked'], STREAM_END],
    'length': [*BEGUN['length'], events(4, 9)],
}


def sent_in(version, path):
    """Return a request in a version of HTTP."""
    sent = request(path, b'x', Model=MODEL, Time_Left_Ms='20000')
    return sent.replace(b'HTTP/1.1', b'HTTP/' + version.encode())


class Caller:
    """Reads an answer and tells what its reader takes it for."""

    def __init__(self, host, port, sent):
        self._address = host, port
        self._sent = sent
        self._begun = asyncio.Event()
        self.received = b''
        self.was_reset = False
        self._task = asyncio.ensure_future(self._read())

    async def until_begun(self):
        """Wait until the first events have come."""
        async with asyncio.timeout(8):
            await self._begun.wait()

    async def is_complete(self):
        """Wait for the end; return whether the answer looks whole."""
        async with asyncio.timeout(8):
            await self._task
        if b'chunked' in self.received.lower():
            return self.received.endswith(STREAM_END)
        return not self.was_reset

    async def _read(self):
        reader, writer = await asyncio.open_connection(*self._address)
        writer.write(self._sent)
        try:
            while not self.received.endswith(STREAM_END):
                got = await reader.read(65536)
                if not got:
                    break
                self.received += got
                if b'token 3' in self.received:
                    self._begun.set()
        except ConnectionError:
            self.was_reset = True
        writer.close()


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


@contextlib.asynccontextmanager
async def gateway_process(server):
    """Run a gateway as a process; yield the process and its port."""
    port = await server.start()
    process = await asyncio.create_subprocess_exec(
        sys.executable,
        PROCESS,
        str(port),
        stdout=asyncio.subprocess.PIPE,
        env={**os.environ, 'PYTHONPATH': str(PROCESS.parent.parent)},
    )
    try:
        async with asyncio.timeout(10):
            line = await process.stdout.readline()
        yield process, int(line)
    finally:
        if process.returncode is None:
            process.kill()
        await process.wait()


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
