"""Scripted engines of several software versions, on a thread of their own."""

import asyncio
import contextlib
import itertools
import threading
import time
from typing import NamedTuple

from emulator.stream_server import (
    ClosureReader,
    ConnectionDied,
    Responder,
    _parse_head,
)
from emulator.waiting import free_ports

HOST = '127.0.0.1'
MODEL = 'm0'

#: Number of the last event of each stream, and the time between two.
LAST = 40
EVENT_S = 0.02
SLOW_EVENT_S = 0.05

#: Services with the versions of their engines.
SERVICES = {
    'calm': ('v1', 'v1', 'v2', 'v2'),
    'other': ('v1', 'v2'),
    'gone': ('v1', 'v2'),
    'unlisted-gone': ('v1', 'v2'),
    'full': ('v1', 'v2'),
    'long': ('v1', 'v2'),
    'mute': ('v1', 'v1', 'v2'),
    'mute-left': ('v1', 'v1', 'v2'),
    'alone-second': ('v1', 'v2'),
    'alone-neither': ('v1', 'v2'),
    'sole-renewed': ('v1', 'v1'),
    'sole-outage': ('v1', 'v1'),
    'sole-long': ('v1', 'v1'),
    **dict.fromkeys(
        (
            f'{moment}-{knowing}'
            for moment in ('before', 'after')
            for knowing in ('first', 'second', 'neither')
        ),
        ('v1', 'v1', 'v2', 'v2'),
    ),
}


class Run(NamedTuple):
    """What an engine did for one attempt.

    :param stream: path of its request.
    :param ended_s: when the engine stopped, monotonic seconds, None before.
    """

    engine: str
    stream: str
    first: int
    began_s: float
    ended_s: float | None = None


class Engine:
    """A scripted engine, which streams events that name its software version."""

    def __init__(self, name, service, version, data_centre, port):
        self.name = name
        self.service = service
        self.version = version
        self.port = port
        self.born = 1_790_000_000_000 + port
        self.is_full = False
        #: How long it is silent before each report, seconds.
        self.mute_s = 0.0
        #: Streams that it breaks off before their first event.
        self.silent = set()
        self._data_centre = data_centre
        self._event_s = SLOW_EVENT_S if service == 'long' else EVENT_S
        self._runs = []
        self._responders = set()
        self._server = None

    def entry(self, adapters=('a1@1',)):
        """Return what it says of itself now."""
        return {
            'service': self.service,
            'address': f'{HOST}:{self.port}',
            'zone': self._data_centre,
            'slots': 24,
            'state': 'ready',
            'seq': 0,
            'born': self.born,
            'version': self.version,
            'models': self._models(adapters),
        }

    def runs_of(self, stream):
        """Return what it did for a stream."""
        return [each for each in self._runs if each.stream == stream]

    async def listen(self):
        """Accept connections."""
        loop = asyncio.get_running_loop()
        self._server = await loop.create_server(
            lambda: asyncio.StreamReaderProtocol(ClosureReader(), self._serve),
            HOST,
            self.port,
        )

    async def end(self):
        """End its process: reset all connections and accept none."""
        self._server.close()
        await self.drop_connections()

    async def drop_connections(self):
        """Reset all connections."""
        for each in tuple(self._responders):
            each.reset()

    async def start_again(self, version):
        """Replace its process by one of another version, at the same address."""
        await self.end()
        self.version = version
        self.born += 1000
        await self.listen()

    def _models(self, adapters=('a1@1',)):
        return [{'name': MODEL, 'version': 1, 'adapters': list(adapters)}]

    async def _serve(self, reader, writer):
        responder = Responder(reader, writer)
        self._responders.add(responder)
        with contextlib.suppress(
            asyncio.IncompleteReadError, ConnectionError, ConnectionDied
        ):
            while not responder.is_gone:
                req = _parse_head(await reader.readuntil(b'\r\n\r\n'))
                length = int(req.headers.get('content-length', '0'))
                await reader.readexactly(length)
                await self._answer(req, responder)
                await writer.drain()
        self._responders.discard(responder)
        writer.close()

    async def _answer(self, req, responder):
        request_id = req.headers.get('request-id', '')
        fields = (('Request-Id', request_id),) if request_id else ()
        if req.headers.get('expect-instance', self.name) != self.name:
            responder.send_json(421, {}, fields)
        elif req.path == '/-/report':
            await asyncio.sleep(self.mute_s)
            responder.send_json(200, self._report())
        elif req.path.startswith(('/-/', '/health')):
            responder.send_json(200, {'id': self.name})
        elif self.is_full:
            responder.send_json(503, {}, (*fields, ('Not-Run', '1')))
        else:
            await self._run(req, responder, fields)

    def _report(self):
        return {
            'models': self._models(),
            'busy': False,
            'seq': 0,
            'queued': 0,
            'running': 0,
            'born': self.born,
        }

    async def _run(self, req, responder, fields):
        first = int(req.headers.get('last-event-id') or 0) + 1
        number = len(self._runs)
        run = Run(self.name, req.path, first, time.monotonic())
        self._runs.append(run)
        try:
            if req.path in self.silent:
                raise ConnectionDied
            fields = (*fields, ('Server-Stamp', 's'))
            responder.start_stream('text/event-stream', fields)
            for event in range(first, LAST + 1):
                responder.send_chunk(self._event(event))
                await asyncio.sleep(self._event_s)
                if responder.is_gone:
                    raise ConnectionDied
            responder.end_stream()
        finally:
            self._runs[number] = run._replace(ended_s=time.monotonic())

    def _event(self, number):
        text = f'id: {number}\ndata: {self.service} {self.version}\n\n'
        return text.encode()


class Engines:
    """The engines, which run on a thread of their own."""

    def __init__(self):
        self._loop = asyncio.new_event_loop()
        self._thread = threading.Thread(target=self._loop.run_forever)
        names = [
            (f'{service}-{number}', service, version, place)
            for service, versions in SERVICES.items()
            for number, (version, place) in enumerate(
                zip(versions, itertools.cycle(('north', 'south')))
            )
        ]
        ports = free_ports(len(names))
        self.all = [
            Engine(*each, port) for each, port in zip(names, ports, strict=True)
        ]

    def __enter__(self):
        """Have all accept connections."""
        self._thread.start()
        for each in self.all:
            self.call(each.listen())
        return self

    def __exit__(self, *_exc):
        """End all."""
        for each in self.all:
            self.call(each.end())
        self._loop.call_soon_threadsafe(self._loop.stop)
        self._thread.join()

    def call(self, work):
        """Run a coroutine on the thread of the engines; return its result."""
        return asyncio.run_coroutine_threadsafe(work, self._loop).result(5)

    def of(self, service, version=None):
        """Return the engines of a service, those of one version."""
        return [
            each
            for each in self.all
            if each.service == service and version in {None, each.version}
        ]

    def runs_of(self, stream):
        """Return what all engines did for a stream, in the order of beginning."""
        found = [run for each in self.all for run in each.runs_of(stream)]
        return sorted(found, key=lambda run: run.began_s)
