"""Servers of several software versions that begin streams and go on."""

import asyncio
import contextlib

from gateway_parts import running_gateway
from raw_caller import ask, body_of, request
from scripted_server import (
    STREAM_END,
    STREAM_HEAD,
    ScriptedServer,
    answer,
    chunk,
)

from wasabicross.gateway.stream_divisions import (
    BUCKETS,
    StreamDivision,
    bucket_of,
)

#: Number of the last event of each stream.
LAST = 9

OLD = ('v1',) * BUCKETS
HALF = OLD[:16] + ('v2',) * 16
THIRDS = ('v1', 'v2', 'v3') * 10 + ('v1', 'v2')
TWO_OF_EACH = ('v1', 'v2', 'v2', 'v1')

#: Ids of callers' attempts that begin streams.
IDS = tuple(f'9c{number:04x}' for number in range(12))
ID_OF_V1 = next(each for each in IDS if HALF[bucket_of(each)] == 'v1')

#: Longest time of an answer that waits for nothing, the route's target latency.
AT_ONCE_S = 0.4

MISDIRECTED = answer(b'', b'421 Misdirected Request')


class VersionServer(ScriptedServer):
    """Send events that name the server's version, from the one asked for on.

    Requests to all servers take turns: each sends as many events as the next
    of the shared `breaks` says and then closes, all of them if there is none.

    :param silence_s: pause in place of each close, seconds, None to close.
    :param pause_s: time until it closes, seconds.
    """

    def __init__(self, version, breaks=(), silence_s=None, pause_s=0.0):
        super().__init__([])
        self.version = version
        self._breaks = breaks
        self._silence_s = silence_s
        self._pause_s = pause_s

    async def _play(self, script, request, reader, writer):
        first = int(request.fields.get('last-event-id', 0)) + 1
        last = self._breaks.pop(0) + first - 1 if self._breaks else LAST
        steps = [STREAM_HEAD, chunk(self.events(first, last))]
        if last < LAST and self._silence_s is None:
            steps += [self._pause_s, 'close'] if self._pause_s else ['close']
        elif last < LAST:
            steps += [self._silence_s, chunk(self.events(last + 1, LAST))]
        steps.append(STREAM_END)
        return await super()._play(steps, request, reader, writer)

    def events(self, first, last):
        """Return events with the ids from `first` to `last`."""
        return b''.join(
            b'id: %d\ndata: %s\n\n' % (number, self.version.encode())
            for number in range(first, last + 1)
        )


def servers_of(versions, breaks=(), **fields):
    """Return a server of each version, all with the same breaks."""
    return [VersionServer(each, breaks, **fields) for each in versions]


class RefusingServer(VersionServer):
    """Answer each request that it isn't the right server."""

    async def _play(self, script, request, reader, writer):
        return await ScriptedServer._play(
            self, [MISDIRECTED], request, reader, writer
        )


@contextlib.asynccontextmanager
async def versions_serving(servers, buckets=None, former=(), **fields):
    """Run a gateway before servers of several versions.

    :param buckets: version of each bucket of streams, None if not known.
    :param former: buckets that were in force before.
    """
    versions = [server.version for server in servers]
    async with running_gateway(
        servers, service='llm', versions=versions, **fields
    ) as bench:
        bench.store.refuses_divisions = True
        if buckets:
            division = StreamDivision(1, buckets, former=former)
            bench.gateway.view.divisions['llm'] = division
        yield bench


def run_versions(scenario, servers, buckets=None, **fields):
    """Run a scenario with a gateway before servers of several versions."""

    async def run():
        async with versions_serving(servers, buckets, **fields) as bench:
            return await scenario(bench)

    return asyncio.run(run())


def stream(request_id='r1', **fields):
    """Return a request for a stream that may be resumed."""
    all_fields = {'Model': 'm0/a1', 'Request-Id': request_id, **fields}
    return request('/stream-resumable/x', b'x', **all_fields)


def take_up(resumes, request_id='r2', last=3, **fields):
    """Return a request that takes an interrupted stream up again."""
    return stream(
        request_id, Resumes=resumes, Last_Event_Id=str(last), **fields
    )


async def send(bench, sent, wait_s=6):
    """Send a request; return the answer and the versions of its events."""
    received = await ask(bench.port, sent, wait_s=wait_s)
    return received, versions_in(received)


def versions_in(received):
    """Return the versions whose servers wrote the events of an answer."""
    lines = body_of(received).split(b'\n')
    return {
        line.removeprefix(b'data: ').decode()
        for line in lines
        if line.startswith(b'data: ')
    }
