"""Callers that tell a whole stream from a broken one, and streams for them."""

import asyncio
import contextlib
import os
import pathlib
import re
import sys

from gateway_parts import A1, CONFIGURATION
from raw_caller import request
from scripted_server import HOST, STREAM_END, STREAM_HEAD, chunk, events

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
        head, _, body = self.received.lower().partition(b'\r\n\r\n')
        if b'chunked' in head:
            return body.endswith(STREAM_END)
        stated = re.search(rb'content-length: (\d+)', head)
        if stated is not None:
            return len(body) == int(stated.group(1))
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
async def gateway_process(server, host=HOST, forwarding_port=0):
    """Run a gateway as a process; yield the process and its port."""
    port = await server.start()
    process = await asyncio.create_subprocess_exec(
        sys.executable,
        PROCESS,
        str(port),
        host,
        str(forwarding_port),
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
