"""Backend servers that send scripted answers, and the parts of answers."""

import asyncio
import contextlib
import socket
import struct
from typing import NamedTuple

HOST = '127.0.0.1'


class ReceivedRequest(NamedTuple):
    """A request as received by a server."""

    head: bytes
    body: bytes

    @property
    def fields(self):
        """Header fields by name in lower case."""
        lines = self.head.decode('latin-1').split('\r\n')[1:]
        pairs = (line.split(': ', 1) for line in lines if ': ' in line)
        return {name.lower(): value for name, value in pairs}


class ScriptedServer:
    """A server that answers each request with the next of its scripts.

    A script is a list of steps: bytes to send, seconds to wait, `reset` or
    `close`. The last script is repeated. `gone` is set when a connection has
    ended.
    """

    def __init__(self, *scripts):
        self._scripts = list(scripts)
        self.seen = []
        self.gone = asyncio.Event()
        self._listener = None

    async def start(self):
        """Listen; return the port."""
        self._listener = await asyncio.start_server(self._serve, HOST, 0)
        return self._listener.sockets[0].getsockname()[1]

    def refuse_connections(self):
        """Refuse new connections; open ones go on."""
        self._listener.close()

    async def _serve(self, reader, writer):
        try:
            await self._answer_all(reader, writer)
        finally:
            self.gone.set()
            writer.close()

    async def _answer_all(self, reader, writer):
        with contextlib.suppress(OSError, asyncio.IncompleteReadError):
            while True:
                head = await reader.readuntil(b'\r\n\r\n')
                request = ReceivedRequest(head, b'')
                length = int(request.fields.get('content-length', 0))
                request = request._replace(
                    body=await reader.readexactly(length)
                )
                self.seen.append(request)
                script = self._scripts[0]
                if len(self._scripts) > 1:
                    self._scripts.pop(0)
                if not await self._play(script, request, reader, writer):
                    break

    async def _play(self, script, request, reader, writer):
        for step in script:
            if step == 'reset':
                _reset(writer)
                return False
            if step == 'close':
                return False
            if isinstance(step, bytes):
                request_id = request.fields.get('request-id', '').encode()
                writer.write(step.replace(b'{id}', request_id))
                await writer.drain()
            elif await self._is_closed_within(reader, step):
                return False
        return True

    async def _is_closed_within(self, reader, wait_s):
        """Wait; tell whether the client has closed the connection."""
        try:
            async with asyncio.timeout(wait_s):
                return not await reader.read(1)
        except TimeoutError:
            return False


def _reset(writer):
    """Close a connection so that the other side sees a reset."""
    sock = writer.get_extra_info('socket')
    linger = struct.pack('ii', 1, 0)
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, linger)
    writer.transport.abort()


def answer(body=b'ok', status=b'200 OK', extra=b''):
    """Return a complete answer with its Content-Length."""
    return (
        b'HTTP/1.1 '
        + status
        + b'\r\nRequest-Id: {id}\r\nServer-Stamp: s1\r\n'
        + extra
        + b'Content-Length: %d\r\n\r\n' % len(body)
        + body
    )


NOT_RUN = answer(b'', b'503 Service Unavailable', b'Not-Run: 1\r\n')
FAILED = answer(b'no', b'500 Internal Server Error')
STREAM_HEAD = (
    b'HTTP/1.1 200 OK\r\nRequest-Id: {id}\r\nServer-Stamp: s1\r\n'
    b'Content-Type: text/event-stream\r\n'
    b'Transfer-Encoding: chunked\r\n\r\n'
)
STREAM_END = b'0\r\n\r\n'


def chunk(content):
    """Return content as one chunk."""
    return b'%x\r\n%s\r\n' % (len(content), content)


def events(first, last):
    """Return server-sent events with the ids from `first` to `last`."""
    return b''.join(
        b'id: %d\ndata: token %d\n\n' % (number, number)
        for number in range(first, last + 1)
    )
