"""Stand-in for the rate-limited weight store.

Up to `FULL_SPEED_IN_FLIGHT` concurrent loads run at full speed; with more of
them, each takes proportionally longer. Loads that exceed the allowed rate are
counted as breaches and delayed until the rate allows them.
"""

import asyncio
import time
from typing import Any

import click

from emulator.faults import Faults
from emulator.stream_server import HttpRequest, Responder, StreamServer

#: Number of concurrent loads that do not slow each other.
FULL_SPEED_IN_FLIGHT = 8

_TRANSFER_STEP_S = 0.01


class WeightStore:
    """The weight store and its counters.

    :param loads_per_s: allowed loads a second, also the allowed burst.
    :param load_s: seconds that a load takes at full speed.
    """

    def __init__(
        self,
        loads_per_s: float,
        load_s: float,
    ) -> None:
        self.faults = Faults()
        self._loads_per_s = loads_per_s
        self._load_s = load_s
        self._tokens = max(1.0, loads_per_s)
        self._refilled_at = time.monotonic()
        self._in_flight = 0
        self._fail_next = 0
        self._fail_once: set[str] = set()
        self._extra_s: float = 0
        self._counts = {
            'loads': 0,
            'failed': 0,
            'breaches': 0,
            'max_in_flight': 0,
        }
        self._log: list[dict[str, Any]] = []

    async def handle(self, req: HttpRequest, responder: Responder) -> None:
        """Answer one request."""
        match req.method, req.path.split('/')[1:]:
            case 'GET', ['weights', *adapter, version]:
                name = '/'.join(adapter)
                await self._serve_load(name, version, responder)
            case 'GET', ['debug', 'log']:
                document = {'counts': self._counts, 'log': self._log}
                responder.send_json(200, document)
            case 'POST', ['fault']:
                self._set_fault(req.document())
                responder.send_json(200, {})
            case _:
                responder.send_json(404, {})

    async def _serve_load(
        self,
        adapter: str,
        version: str,
        responder: Responder,
    ) -> None:
        started_at = time.monotonic()
        self._in_flight += 1
        self._counts['max_in_flight'] = max(
            self._counts['max_in_flight'],
            self._in_flight,
        )
        failing = self._consume_failure(adapter)
        try:
            await asyncio.sleep(self._rate_limit_delay_s(started_at))
            await self._transfer(responder)
        finally:
            self._in_flight -= 1
        self._counts['failed' if failing else 'loads'] += 1
        self._log.append(
            {
                'at': started_at,
                'took_s': time.monotonic() - started_at,
                'adapter': adapter,
                'version': version,
                'failed': failing,
            }
        )
        status = 500 if failing else 200
        responder.send_json(status, {'adapter': adapter, 'version': version})

    def _consume_failure(self, adapter: str) -> bool:
        if adapter in self._fail_once:
            self._fail_once.remove(adapter)
            return True
        failing = self._fail_next > 0
        self._fail_next -= failing
        return failing

    def _rate_limit_delay_s(self, now_s: float) -> float:
        gained = (now_s - self._refilled_at) * self._loads_per_s
        burst = max(1.0, self._loads_per_s)
        self._tokens = min(burst, self._tokens + gained) - 1
        self._refilled_at = now_s
        if self._tokens >= 0:
            return 0
        self._counts['breaches'] += 1
        return -self._tokens / self._loads_per_s

    async def _transfer(self, responder: Responder) -> None:
        remaining_s = self._load_s + self._extra_s
        updated_s = time.monotonic()
        while remaining_s > 0 and not responder.is_gone:
            await asyncio.sleep(min(_TRANSFER_STEP_S, remaining_s))
            now_s = time.monotonic()
            speed = FULL_SPEED_IN_FLIGHT / max(1, self._in_flight)
            remaining_s -= (now_s - updated_s) * min(1.0, speed)
            updated_s = now_s

    def _set_fault(self, document: dict[str, Any]) -> None:
        match document.get('kind'):
            case 'fail_loads':
                named = document.get('adapters', [])
                self._fail_once.update(named)
                self._fail_next = int(document.get('count', not named))
            case 'slow_loads':
                self._extra_s = document['delay_ms'] / 1000
            case _:
                self.faults.set_from(document)


@click.command()
@click.option('--host', default='127.0.0.1')
@click.option('--port', default=0)
@click.option('--loads-per-s', default=3.0)
@click.option('--load-ms', default=250.0)
def main(
    host: str,
    port: int,
    loads_per_s: float,
    load_ms: float,
) -> None:
    """Run a stand-in weight store until it is stopped."""
    store = WeightStore(loads_per_s, load_ms / 1000)
    server = StreamServer(store.handle, store.faults)
    asyncio.run(server.serve(host, port))


if __name__ == '__main__':
    main()
