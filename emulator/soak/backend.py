"""A stand-in for a backend server, which runs as its own process.

``python -m emulator.soak.backend --server-id I --service S ...``

With ``--adapter-slots`` it is an engine that loads adapters when ordered and
streams its answers; otherwise it is a plain service. It prints a JSON line for
each order and each run, with the monotonic time, which is the same clock in all
processes of a machine. ``POST /fault`` takes the kinds of `emulator.faults`,
and these:

- ``{"kind": "late_orders", "count": N}``: the next N orders are executed 2 s
  after they arrive and answered only then, with 503;
- ``{"kind": "want_pause", "for_s": S}``: requests are refused for S seconds;
- ``{"kind": "leave"}``: all answers say that the server leaves;
- ``{"kind": "limit_requests", "per_s": N, "for_s": S}``: answers state for S
  seconds that the server takes N requests a second;
- ``{"kind": "be_brittle", "per_s": N, "for_s": S}``: answers state for S seconds
  that it fails if it turns more than N requests away in a second. It has half of
  its slots then, and takes nothing for 2 s when it fails;
- ``{"kind": "renew", "quiet_s": S}``: the server is as after a restart under its
  id and address as the other software version, with the adapters that it had; its
  first heartbeat comes S seconds later;
- ``{"kind": "break_off"}``: all connections are reset;
- ``{"kind": "refuse", "share": P, "for_s": S}``: a share of the requests is refused
  for S seconds, with 503, 421 or 429;
- ``{"kind": "refuse_twice", "share": P, "for_s": S}``: the same, and most refusals,
  also others, are sent again: right when the next request comes on that connection,
  or some ms later while it is idle;
- ``{"kind": "new_id", "for_s": S}``: the server is as after a restart at its address
  under a new id, with the adapters that it had; the entry of its former id is
  renewed for S seconds more;
- ``{"kind": "release", "software": V, "is_told": B, "drain_s": S}``: a server that
  runs this software version leaves: its entry says so, or is removed. It serves
  for S seconds more, and is then as after a restart at its address under a new id
  as the other version.

Its process ends as soon as it runs a request whose path has a part that begins
with `deadly`. Some requests, chosen by their ids, get an answer with neither a
length nor chunks, which the end of its connection ends.
"""

from __future__ import annotations

import asyncio
import json
import os
import time
from collections.abc import Callable, Coroutine
from typing import Any
from weakref import WeakSet

import click
import urllib3

from emulator.faults import Faults
from emulator.soak.answer_parts import (
    deadly_part,
    event,
    event_interval_s,
    gets_unframed_answer,
    other_software,
    request_id_field,
    send_in_halves,
)
from emulator.soak.engine_adapters import MODEL, EngineAdapters
from emulator.soak.refusals import Refusals
from emulator.soak.server_life import Identity, ServerLife
from emulator.soak.server_log import log
from emulator.soak.store import encode_value
from emulator.stream_server import (
    ConnectionDied,
    HttpRequest,
    Responder,
    StreamServer,
)

_HEARTBEAT_S = 0.5
_EVENT_INTERVAL_S = 0.01

_LATE_ORDER_DELAY_S = 2.0
_MS_PER_S = 1000
_HOST = '127.0.0.1'
_VERSION_PREFIX = 'op/version/'

#: Exit code of a server that has crashed.
_CRASHED = 70

_OK = 200
_MISDIRECTED = 421
_UNAVAILABLE = 503


class Backend:
    """A server that runs requests on the adapters that it holds.

    :param identity: what it reports about itself.
    :param faults: faults that end connections.
    """

    def __init__(self, identity: Identity, faults: Faults) -> None:
        self._identity = identity
        self._faults = faults
        self.server = StreamServer(self.answer, faults)
        adapters = EngineAdapters(
            identity.adapter_slots, self._version_in_force
        )
        start_ms = int(time.time() * _MS_PER_S)
        self._life = ServerLife(
            identity.server_id, identity.software, adapters, start_ms
        )
        self._refusals = Refusals(identity.server_id)
        #: Connections on which a request has come.
        self._connections: WeakSet[Responder] = WeakSet()
        #: Entries of former ids, with the time until which they are renewed,
        #: monotonic seconds.
        self._former: dict[str, tuple[float, bytes]] = {}
        self._tasks: set[asyncio.Task[None]] = set()
        self._http = urllib3.PoolManager(retries=False, timeout=2)

    async def answer(self, req: HttpRequest, responder: Responder) -> None:
        """Answer one request.

        :param req: the request.
        :param responder: sends the answer.
        :raises ConnectionDied: a fault ended the connection.
        """
        if req.path == '/fault':
            self._on_fault(req.document(), responder)
            responder.send_json(_OK, {})
            return
        if responder not in self._connections:
            self._connections.add(responder)
            log('connection', request=req.headers.get('request-id', ''))
        self._refusals.send_due(req, responder)
        await self._answer(req, responder)

    async def _answer(self, req: HttpRequest, responder: Responder) -> None:
        handlers: dict[str, Callable[[HttpRequest], dict[str, Any]]] = {
            '/health': self._health,
            '/-/report': self._report,
        }
        handler = handlers.get(req.path)
        if self._names_another_server(req):
            self._refuse(req, responder, _MISDIRECTED)
        elif handler is not None:
            responder.send_json(_OK, handler(req))
        elif req.path == '/-/order':
            await self._on_order(req, responder)
        else:
            await self._run(req, responder)

    async def send_heartbeats(self) -> None:
        """Send heartbeats to the store until cancelled."""
        while True:
            now_s = time.monotonic()
            if now_s >= self._life.quiet_until_s:
                await asyncio.to_thread(self._send_heartbeat)
            await asyncio.to_thread(self._renew_former, now_s)
            await asyncio.sleep(_HEARTBEAT_S)

    def _on_fault(self, document: dict[str, Any], responder: Responder) -> None:
        if document['kind'] == 'renew':
            self._life = self._life.after_restart(document['quiet_s'])
            self.server.reset_others(responder)
        elif document['kind'] == 'break_off':
            self.server.send_resets(responder)
        elif document['kind'] in {'new_id', 'release'}:
            self._on_replacement(document, responder)
        elif document['kind'] in {'refuse', 'refuse_twice'}:
            self._refusals.set_from(document, time.monotonic())
        else:
            self._life.set_from(document, self._faults)

    def _on_replacement(
        self, document: dict[str, Any], responder: Responder
    ) -> None:
        """Come back under a new id, at once or some time after leaving."""
        if document['kind'] == 'new_id':
            self._take_new_id(document['for_s'])
            self.server.reset_others(responder)
        elif document['software'] == self._life.software:
            self._start(self._release(document))

    def _take_new_id(self, for_s: float) -> None:
        until_s = time.monotonic() + for_s
        self._former[self._life.server_id] = (until_s, self._entry())
        self._life = self._life.under_new_id(self._life.software)
        self._start(asyncio.to_thread(self._send_heartbeat))

    async def _release(self, document: dict[str, Any]) -> None:
        """Leave, and come back some time later as the other version."""
        life = self._life
        life.state = 'draining'
        life.is_listed = document['is_told']
        await asyncio.to_thread(self._send_heartbeat)
        await asyncio.sleep(document['drain_s'])
        if self._life is not life:
            return
        life.is_listed = False
        await asyncio.to_thread(self._send_heartbeat)
        self._life = life.under_new_id(other_software(life.software))
        self.server.send_resets()
        await asyncio.to_thread(self._send_heartbeat)

    def _health(self, _req: HttpRequest) -> dict[str, Any]:
        return {'id': self._life.server_id}

    def _send_heartbeat(self) -> None:
        if self._life.is_listed:
            self._renew_entry(self._life.server_id, self._entry())
        else:
            self._post('put', self._life.server_id, None)

    def _renew_former(self, now_s: float) -> None:
        for server_id, (until_s, entry) in tuple(self._former.items()):
            if now_s < until_s:
                self._renew_entry(server_id, entry)
            else:
                self._former.pop(server_id)

    def _entry(self) -> bytes:
        """Return the entry of the server in the store."""
        identity = self._identity
        entry = {
            'service': identity.service,
            'address': identity.address,
            'zone': identity.data_centre,
            'slots': identity.slots,
            'state': self._life.state,
            'seq': self._life.adapters.order_count,
            'born': self._life.start_ms,
            'models': self._life.adapters.models(),
        }
        if self._life.software:
            entry['version'] = self._life.software
        return json.dumps(entry).encode()

    def _renew_entry(self, server_id: str, entry: bytes) -> None:
        self._post('heartbeat', server_id, encode_value(entry))

    def _post(self, action: str, server_id: str, text: str | None) -> None:
        """Write the entry of an id to the store, or remove it."""
        port = self._identity.store_port
        try:
            self._http.request(
                'POST',
                f'http://{_HOST}:{port}/debug/{action}',
                json={'key': f'servers/{server_id}', 'text': text},
            )
        except urllib3.exceptions.HTTPError as exc:
            log('heartbeat_failed', reason=str(exc))

    def _report(self, _req: HttpRequest) -> dict[str, Any]:
        return {
            'models': self._life.adapters.models(),
            'pending': [
                f'{MODEL}/{name}@1' for name in self._life.adapters.pending
            ],
            'busy': False,
            'seq': self._life.adapters.order_count,
            'queued': 0,
            'running': self._life.running,
            'born': self._life.start_ms,
        }

    def _names_another_server(self, req: HttpRequest) -> bool:
        expected = req.headers.get('expect-instance', self._life.server_id)
        return expected != self._life.server_id

    async def _on_order(self, req: HttpRequest, responder: Responder) -> None:
        if self._life.late_orders > 0:
            self._life.late_orders -= 1
            self._start(self._execute_late(req))
            await asyncio.sleep(_LATE_ORDER_DELAY_S)
            responder.send_json(_UNAVAILABLE, {})
            return
        responder.send_json(
            self._life.adapters.execute(req.document(), is_late=False), {}
        )

    async def _execute_late(self, req: HttpRequest) -> None:
        await asyncio.sleep(_LATE_ORDER_DELAY_S)
        if not self._names_another_server(req):
            self._life.adapters.execute(req.document(), is_late=True)

    def _version_in_force(self, name: str) -> int:
        """Return the version of an adapter in force, 1 without one."""
        key = f'{_VERSION_PREFIX}{MODEL}.{name}'
        answer = self._http.request(
            'POST',
            f'http://{_HOST}:{self._identity.store_port}/debug/version',
            json={'key': key},
        )
        return int(answer.json()['version'])

    async def _run(self, req: HttpRequest, responder: Responder) -> None:
        life = self._life
        request_id = req.headers.get('request-id', '')
        log('arrival', request=request_id)
        if self._life.limits.is_down(time.monotonic()):
            raise ConnectionDied
        pause_s = life.pause_until_s - time.monotonic()
        if pause_s > 0:
            log('pause_wanted', request=request_id, for_s=pause_s)
            after = ('Retry-After', f'{pause_s:.3f}')
            self._refuse(req, responder, _UNAVAILABLE, after)
            return
        status = self._refusals.status(time.monotonic())
        if status:
            self._refuse(req, responder, status)
            return
        if life.running >= self._life.limits.slots(
            self._identity.slots, time.monotonic()
        ):
            self._refuse_full(req, responder)
            return
        name = req.headers.get('model', '').partition('/')[2]
        version = life.adapters.held.get(name, 0)
        expected = int(req.headers.get('expect-version', version))
        if self._identity.adapter_slots and (
            not version or version != expected
        ):
            self._refuse(req, responder, _MISDIRECTED)
            return
        self._log_run(req, name, version)
        deadly = deadly_part(req.path)
        if deadly:
            log('crashed', request=request_id, deadly=deadly)
            os._exit(_CRASHED)
        life.running += 1
        life.adapters.begin_run(name)
        try:
            await self._reply(req, responder)
        finally:
            life.running -= 1
            life.adapters.end_run(name)

    def _refuse_full(self, req: HttpRequest, responder: Responder) -> None:
        """Refuse a request for want of room."""
        self._life.limits.on_refused(time.monotonic())
        limits = self._life.limits.fields(req, time.monotonic())
        self._refuse(req, responder, _UNAVAILABLE, *limits)

    def _refuse(
        self,
        req: HttpRequest,
        responder: Responder,
        status: int,
        *fields: tuple[str, str],
    ) -> None:
        now_s = time.monotonic()
        self._refusals.refuse(req, responder, status, fields, now_s)

    def _log_run(self, req: HttpRequest, name: str, version: int) -> None:
        log(
            'run',
            request=req.headers.get('request-id', ''),
            adapter=name,
            version=version,
            after=req.headers.get('last-event-id', ''),
        )

    async def _reply(self, req: HttpRequest, responder: Responder) -> None:
        request_id = req.headers['request-id']
        is_framed = not gets_unframed_answer(request_id)
        if not self._identity.adapter_slots:
            await asyncio.sleep(_EVENT_INTERVAL_S)
            document = {'request': request_id}
            fields = self._answer_fields(req)
            if is_framed:
                responder.send_json(_OK, document, fields)
            else:
                await send_in_halves(document, fields, responder)
            return
        responder.start_stream(
            'text/event-stream', self._answer_fields(req), is_framed=is_framed
        )
        events = int(req.headers['token-count'].partition(',')[2])
        first = int(req.headers.get('last-event-id') or 0) + 1
        software = self._life.software
        interval_s = event_interval_s(req.path)
        for number in range(first, events + 1):
            await asyncio.sleep(interval_s)  # noqa: WPS476
            if responder.is_gone:
                return
            responder.send_chunk(event(request_id, number, software))
        responder.end_stream()

    def _answer_fields(self, req: HttpRequest) -> tuple[tuple[str, str], ...]:
        """Return the header fields of an answer to a request that ran."""
        fields = (
            *request_id_field(req),
            ('Server-Stamp', 's'),
            *self._life.limits.fields(req, time.monotonic()),
        )
        if not self._life.is_leaving:
            return fields
        log('leaving_said', request=req.headers['request-id'])
        return (*fields, ('Server-Leaving', '1'))

    def _start(self, work: Coroutine[Any, Any, None]) -> None:
        task = asyncio.ensure_future(work)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)


async def _serve(identity: Identity, port: int) -> None:
    faults = Faults()
    backend = Backend(identity, faults)
    heartbeats = asyncio.ensure_future(backend.send_heartbeats())
    await backend.server.serve(_HOST, port)
    heartbeats.cancel()


@click.command()
@click.option('--port', type=int, required=True)
@click.option('--server-id', required=True)
@click.option('--service', required=True)
@click.option('--address', required=True)
@click.option('--data-centre', required=True)
@click.option('--store-port', type=int, required=True)
@click.option('--slots', default=16)
@click.option('--adapter-slots', default=0)
@click.option('--software', default='')
def main(port: int, **identity: Any) -> None:  # noqa: WPS216
    """Serve until SIGTERM."""
    asyncio.run(_serve(Identity(**identity), port))


if __name__ == '__main__':
    main()
