"""A stand-in for a server, as a process of its own that a script can kill.

``python3 review/server.py PORT ID BORN KIND`` serves on loopback until it is killed,
and prints a line for each run. The script registers it in the store. KIND is how
it answers:

- ``unframed``: a body of lines, one each 50 ms, with neither a length nor chunks,
  which ends with the connection;
- ``stream``: events in the same manner;
- ``slow``: a short body with a length, after a second;
- ``endless``: a body in chunks of one byte, until the caller closes, at
  1 Mbyte a second (8 Mbit/s) at most; a sound answer if the path ends in ``ok``.

From SIGUSR1 on it leaves, and says so in all its answers.
"""

from __future__ import annotations

import asyncio
import itertools
import json
import signal
import sys

import standins

LINE_S = 0.05
SLOW_S = 1.0
ENDLESS_BYTES_PER_S = 1_000_000
BLOCK = b'1\r\na\r\n' * 2000


class Server(standins.HttpServer):
    """A server that answers in one way."""

    def __init__(self, server_id: str, born: int, kind: str) -> None:
        super().__init__()
        self._id = server_id
        self._born = born
        self._run = {
            'unframed': self._unframed,
            'stream': self._stream,
            'slow': self._slow,
            'endless': self._endless,
        }[kind]
        self._running = 0
        self._is_leaving = False

    def leave(self) -> None:
        """Say in all further answers that the server leaves."""
        self._is_leaving = True

    async def handle(
        self, req: standins.Request, writer: asyncio.StreamWriter
    ) -> bool:
        """Answer a request."""
        if req.fields.get('expect-instance', self._id) != self._id:
            return self._send(req, writer, 421, {'Not-Run': '1'})
        if req.path == '/health':
            return self._send(req, writer, 200, {'Instance-Id': self._id})
        if req.path == '/-/report':
            return self._report(req, writer)
        if req.path == '/-/order':
            return self._send(req, writer, 200, {})
        print(f'{self._id} runs {req.request_id}', flush=True)
        self._running += 1
        try:
            return await self._run(req, writer)
        finally:
            self._running -= 1

    def _report(
        self, req: standins.Request, writer: asyncio.StreamWriter
    ) -> bool:
        report = {
            'phase': 'colocated',
            'models': [{'name': 'm0', 'version': 1, 'adapters': []}],
            'busy': False,
            'seq': 0,
            'queued': 0,
            'running': self._running,
            'kvUsed': 0,
            'kvTotal': 100000,
            'servedModels': 0,
            'born': self._born,
        }
        body = json.dumps(report).encode()
        return self._send(req, writer, 200, {}, body)

    def _send(
        self,
        req: standins.Request,
        writer: asyncio.StreamWriter,
        status: int,
        fields: dict[str, str],
        body: bytes = b'',
    ) -> bool:
        if req.request_id:
            fields = {'Request-Id': req.request_id, **fields}
        if self._is_leaving:
            fields = {**fields, 'Server-Leaving': '1'}
        writer.write(standins.answer_bytes(status, fields, body))
        return True

    def _write_head(
        self, req: standins.Request, writer: asyncio.StreamWriter, *fields: str
    ) -> None:
        lines = [
            'HTTP/1.1 200 OK',
            f'Request-Id: {req.request_id}',
            'Server-Stamp: s.1',
            *fields,
            *(('Server-Leaving: 1',) if self._is_leaving else ()),
            '',
            '',
        ]
        writer.write('\r\n'.join(lines).encode())

    async def _unframed(
        self, req: standins.Request, writer: asyncio.StreamWriter
    ) -> bool:
        self._write_head(req, writer, 'Content-Type: text/plain')
        for number in range(1, standins.LINES + 1):
            if writer.is_closing():
                return False
            writer.write(standins.line(req.request_id, number))
            await asyncio.sleep(LINE_S)
        return False

    async def _stream(
        self, req: standins.Request, writer: asyncio.StreamWriter
    ) -> bool:
        self._write_head(
            req, writer, 'Content-Type: text/event-stream', 'Weight-Versions: 1'
        )
        for number in range(1, standins.EVENTS + 1):
            if writer.is_closing():
                return False
            writer.write(standins.event(req.request_id, number))
            await asyncio.sleep(LINE_S)
        return False

    async def _slow(
        self, req: standins.Request, writer: asyncio.StreamWriter
    ) -> bool:
        await asyncio.sleep(SLOW_S)
        body = f'done {req.request_id}'.encode()
        return self._send(req, writer, 200, {'Server-Stamp': 's.1'}, body)

    async def _endless(
        self, req: standins.Request, writer: asyncio.StreamWriter
    ) -> bool:
        if req.path.endswith('ok'):
            body = f'done {req.request_id}'.encode()
            return self._send(req, writer, 200, {'Server-Stamp': 's.1'}, body)
        self._write_head(req, writer, 'Transfer-Encoding: chunked')
        loop = asyncio.get_running_loop()
        started_s = loop.time()
        for blocks in itertools.count(1):
            writer.write(BLOCK)
            await writer.drain()
            due_s = started_s + blocks * len(BLOCK) / ENDLESS_BYTES_PER_S
            await asyncio.sleep(max(0, due_s - loop.time()))
        return False


async def main() -> None:
    """Serve until killed."""
    port, server_id, born, kind = sys.argv[1:]
    server = Server(server_id, int(born), kind)
    loop = asyncio.get_running_loop()
    loop.add_signal_handler(signal.SIGUSR1, server.leave)
    await server.listen(int(port))
    print(f'{server_id} listens', flush=True)
    await asyncio.Event().wait()


if __name__ == '__main__':
    asyncio.run(main())
