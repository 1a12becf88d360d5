"""Stand-in for a plain service, which counts how often each call ran."""

import asyncio
import hashlib
import os
import time
from collections import Counter
from typing import Any

import click

from emulator.faults import FaultPoint, Faults
from emulator.stream_server import HttpRequest, Responder, StreamServer

#: Exit code of a service that was crashed by a request.
CRASH_EXIT_CODE = 13


class Service:
    """A service that runs each call and counts it.

    :param delay_s: seconds that a call runs.
    :param max_running: number of calls that run at a time; more are refused
        with status 503.
    """

    def __init__(self, delay_s: float, max_running: int) -> None:
        self.faults = Faults()
        self._delay_s = delay_s
        self._max_running = max_running
        self._running = 0
        self._crash_marker = b''
        self._by_key: Counter[str] = Counter()
        self._by_request: Counter[str] = Counter()
        self._log: list[dict[str, Any]] = []

    async def handle(self, req: HttpRequest, responder: Responder) -> None:
        """Answer one request."""
        match req.method, req.path:
            case 'GET', '/debug/log':
                responder.send_json(200, self._describe())
            case 'POST', '/fault':
                self._set_fault(req.document())
                responder.send_json(200, {})
            case _:
                await self._run(req, responder)

    async def _run(self, req: HttpRequest, responder: Responder) -> None:
        if self._running >= self._max_running:
            document = {'error': {'code': 'overloaded', 'message': 'full'}}
            responder.send_json(503, document, (('Retry-After', '1'),))
            return
        self._count(req)
        if self._crash_marker and self._crash_marker in req.body:
            os._exit(CRASH_EXIT_CODE)
        self._running += 1
        try:
            await asyncio.sleep(self._delay_s)
        finally:
            self._running -= 1
        if responder.die_at is FaultPoint.AFTER_RUN:
            responder.reset()
            return
        responder.send_json(200, reply_to(req.method, req.path, req.body))

    def _count(self, req: HttpRequest) -> None:
        key = req.headers.get('idempotency-key', '')
        request_id = req.headers.get('x-request-id', '')
        self._by_key[key] += 1
        self._by_request[request_id] += 1
        self._log.append(
            {
                'at': time.monotonic(),
                'method': req.method,
                'path': req.path,
                'key': key,
                'request_id': request_id,
                'body_digest': hashlib.sha256(req.body).hexdigest(),
            }
        )

    def _set_fault(self, document: dict[str, Any]) -> None:
        match document.get('kind'):
            case 'slow':
                self._delay_s = document['delay_ms'] / 1000
            case 'refuse':
                self._max_running = 0
            case 'crash_marker':
                self._crash_marker = document['marker'].encode()
            case 'recover':
                self._max_running = int(document.get('max_running', 64))
            case _:
                self.faults.set_from(document)

    def _describe(self) -> dict[str, Any]:
        return {
            'executions_by_key': self._by_key,
            'executions_by_request': self._by_request,
            'log': self._log,
        }


def reply_to(method: str, path: str, body: bytes) -> dict[str, str]:
    """Return the reply to a call, which depends only on the call."""
    digest = hashlib.sha256(body).hexdigest()
    return {
        'method': method,
        'path': path,
        'receipt': hashlib.sha256(f'{path}{digest}'.encode()).hexdigest(),
        'body_digest': digest,
    }


@click.command()
@click.option('--host', default='127.0.0.1')
@click.option('--port', default=0)
@click.option('--delay-ms', default=float(0))
@click.option('--max-running', default=64)
def main(host: str, port: int, delay_ms: float, max_running: int) -> None:
    """Run a stand-in plain service until it is stopped."""
    service = Service(delay_ms / 1000, max_running)
    server = StreamServer(service.handle, service.faults)
    asyncio.run(server.serve(host, port))


if __name__ == '__main__':
    main()
