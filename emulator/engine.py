"""Stand-in for a model engine.

It batches requests, loads and evicts adapters, reports its occupancy and
injects faults.
"""

import asyncio
import json
import os
import sys
import time
from collections.abc import Awaitable, Callable
from typing import Any

import click

from emulator.batch import Batch
from emulator.completions import (
    CRASH_EXIT_CODE,
    Completion,
    CompletionRequest,
    error_document,
)
from emulator.engine_options import EngineOptions, engine_options
from emulator.faults import Faults
from emulator.prompt_cache import PromptCache
from emulator.slots import LoadRefused, Slots
from emulator.stream_server import HttpRequest, Responder, StreamServer

_RETRY_HEADERS = (('Retry-After', '1'),)
_LOAD_PATH = '/v1/load_lora_adapter'


class Engine:
    """The engine's state and request handlers.

    It must be created within a running event loop.

    :param options: options of the command line.
    """

    def __init__(self, options: EngineOptions) -> None:
        self.faults = Faults()
        self.server = StreamServer(self.handle, self.faults)
        self._options = options
        self._batch = Batch(options.batch, options.token_ms / 1000)
        self._slots = Slots(options.slots, options.weights)
        self._cache = PromptCache(
            options.cache_prefixes,
            options.cache_lag_ms / 1000,
            options.cache_loss,
            options.seed,
        )
        self._highest_term = 0
        self._is_leaving = False
        self._crash_marker = options.crash_marker.encode()
        self._report: dict[str, Any] = {}
        self._reported_at = -float('inf')
        self._evicted_in_progress = 0
        self._log: list[dict[str, Any]] = []
        self._in_flight: set[Completion] = set()

    async def handle(self, req: HttpRequest, responder: Responder) -> None:
        """Answer one request."""
        match req.method, req.path:
            case 'POST', '/v1/chat/completions':
                await self._complete(req, responder)
            case 'POST', '/v1/load_lora_adapter':
                await self._execute_order(req, responder, self._load)
            case 'POST', '/v1/unload_lora_adapter':
                await self._execute_order(req, responder, self._evict)
            case 'POST', '/fault':
                self._set_fault(req.document(), responder)
                responder.send_json(200, {})
            case 'GET', _:
                self._answer_get(req, responder)
            case _:
                _send_error(responder, 404, 'no_such_path')

    async def _complete(self, req: HttpRequest, responder: Responder) -> None:
        document = req.document()
        load_name = document.get('model', '')
        load = self._slots.get(load_name)
        if load is None:
            _send_error(responder, 404, 'model_not_found')
            return
        if self._is_leaving:
            _send_error(responder, 503, 'leaving')
            return
        if self._batch.is_full(self._options.queue):
            _send_error(responder, 429, 'queue_full')
            return
        request = self._completion_request(req, document, load.produced_by)
        request_id = req.headers.get('x-request-id', '')
        completion = Completion(request, request_id, responder, self._batch)
        self._in_flight.add(completion)
        try:
            await completion.run()
        finally:
            self._in_flight.discard(completion)
            self._log.append(completion.log_entry())

    def _completion_request(
        self,
        req: HttpRequest,
        document: dict[str, Any],
        produced_by: str,
    ) -> CompletionRequest:
        options = self._options
        deadline_ms = req.headers.get('x-request-deadline-ms')
        load_name = document['model']
        cached = self._cache.use(load_name, document)
        first_token_ms = (
            options.cached_first_token_ms if cached else options.first_token_ms
        )
        return CompletionRequest(
            load_name=load_name,
            produced_by=produced_by,
            document=document,
            token_count=int(
                document.get('max_tokens') or options.default_tokens,
            ),
            priority=int(req.headers.get('x-priority', '0')),
            deadline_s=int(deadline_ms) / 1000 if deadline_ms else None,
            first_token_s=first_token_ms / 1000,
            crash=self._crash if self._contains_crash_marker(req) else None,
        )

    def _contains_crash_marker(self, req: HttpRequest) -> bool:
        return bool(self._crash_marker) and self._crash_marker in req.body

    def _crash(self, request_id: str) -> None:
        """Write the log to standard output and end the process at once."""
        in_flight = [each.log_entry() for each in self._in_flight]
        self._log.extend(in_flight)
        crash = {
            'event': 'crash',
            'crashed_by': request_id,
            'under_way': [entry['request_id'] for entry in in_flight],
            **self._describe(),
        }
        sys.stdout.write(f'{json.dumps(crash)}\n')
        sys.stdout.flush()
        os._exit(CRASH_EXIT_CODE)

    async def _execute_order(
        self,
        req: HttpRequest,
        responder: Responder,
        order: Callable[[HttpRequest], Awaitable[None]],
    ) -> None:
        term = int(req.headers.get('x-fencing-term', '0'))
        load_name = req.document().get('lora_name', '')
        entry = {
            'event': 'load' if req.path == _LOAD_PATH else 'evict',
            'at': time.monotonic(),
            'term': term,
            'load_name': load_name,
            'in_progress': self._batch.by_load()[load_name],
            'outcome': 'ok',
        }
        self._log.append(entry)
        if self._options.fencing and term < self._highest_term:
            entry['outcome'] = 'stale_fencing_term'
            _send_error(
                responder,
                409,
                'stale_fencing_term',
                highest_term=self._highest_term,
            )
            return
        self._highest_term = max(self._highest_term, term)
        try:
            await order(req)
        except LoadRefused as exc:
            entry['outcome'] = exc.code
            _send_error(responder, exc.status, exc.code)
        else:
            responder.send_json(200, {})
        finally:
            entry['ended_at'] = time.monotonic()

    async def _load(self, req: HttpRequest) -> None:
        document = req.document()
        await self._slots.load(document['lora_name'], document['lora_path'])

    async def _evict(self, req: HttpRequest) -> None:
        name = req.document()['lora_name']
        in_progress = self._batch.by_load()[name]
        if in_progress and self._options.refuse_busy_evict:
            raise LoadRefused(409, 'adapter_in_use')
        self._slots.evict(name)
        self._evicted_in_progress += in_progress
        self._batch.end_all('evicted', name)

    def _answer_get(self, req: HttpRequest, responder: Responder) -> None:
        match req.path:
            case '/v1/models':
                responder.send_json(200, self._models())
            case '/load':
                responder.send_json(200, self._lagging_report())
            case '/cache_events':
                after = int(req.query.get('after', '0'))
                events = self._cache.events(after)
                responder.send_json(200, {'events': events})
            case '/debug/log':
                responder.send_json(200, self._describe())
            case _:
                _send_error(responder, 404, 'no_such_path')

    def _models(self) -> dict[str, Any]:
        base = self._options.base_model
        models = [{'id': base, 'object': 'model', 'parent': None}]
        models.extend(
            {'id': name, 'object': 'model', 'parent': base}
            for name in self._slots.ready
        )
        return {
            'object': 'list',
            'data': models,
            'slots': self._slots.capacity,
            'batch_size': self._batch.size,
        }

    def _lagging_report(self) -> dict[str, Any]:
        age_s = time.monotonic() - self._reported_at
        if age_s * 1000 >= self._options.report_lag_ms:
            self._report = {
                'running': self._batch.running,
                'waiting': self._batch.waiting,
                'by_load': self._batch.by_load(),
            }
            self._reported_at = time.monotonic()
            age_s = 0
        return {**self._report, 'age_ms': age_s * 1000}

    def _describe(self) -> dict[str, Any]:
        return {
            'log': self._log,
            'batch': self._batch.fill(),
            'evicted_in_progress': self._evicted_in_progress,
            'in_progress': self._batch.by_load(),
            'ready': self._slots.ready,
            'highest_term': self._highest_term,
        }

    def _set_fault(
        self,
        document: dict[str, Any],
        responder: Responder,
    ) -> None:
        count = int(document.get('count', 1))
        match document.get('kind'):
            case 'restart_empty':
                self._restart(responder)
            case 'fail_loads':
                self._slots.fail_next(count)
            case 'slow_loads':
                self._slots.slow_next(count, document['delay_ms'] / 1000)
            case 'leaving':
                self._is_leaving = True
            case 'recover':
                self._is_leaving = False
            case 'crash_marker':
                self._crash_marker = document['marker'].encode()
            case _:
                self.faults.set_from(document)

    def _restart(self, responder: Responder) -> None:
        self._slots.clear()
        self._cache.clear()
        self._highest_term = 0
        self._batch.end_all('restarted')
        self.server.reset_others(responder)
        self._log.append({'event': 'restart', 'at': time.monotonic()})


def _send_error(
    responder: Responder,
    status: int,
    code: str,
    **more: Any,
) -> None:
    document = error_document(code, code.replace('_', ' '), **more)
    headers = _RETRY_HEADERS if status in {429, 503} else ()
    responder.send_json(status, document, headers)


@click.command()
@click.option('--host', default='127.0.0.1')
@click.option('--port', default=0)
@engine_options
def main(host: str, port: int, **options: Any) -> None:
    """Run a stand-in model engine until it is stopped."""
    asyncio.run(_run(host, port, EngineOptions(**options)))


async def _run(host: str, port: int, options: EngineOptions) -> None:
    await Engine(options).server.serve(host, port)


if __name__ == '__main__':
    main()
