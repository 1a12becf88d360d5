"""No stream lacks an event, has one twice or joins two runs."""

import asyncio
import contextlib
from typing import NamedTuple

import pytest
from gateway_parts import (
    A1,
    CONFIGURATION,
    gateway_at,
    running_gateway,
    server_entry,
    settings_at,
)
from raw_caller import ask, body_of, request, status_of
from scripted_server import (
    HOST,
    STREAM_END,
    STREAM_HEAD,
    ScriptedServer,
    answer,
    chunk,
)

from emulator.waiting import free_ports
from wasabicross.gateway.changes import ConfigurationUpdate
from wasabicross.gateway.connections.connection_pool import ConnectionPool
from wasabicross.platform.headers import REQUEST_ID

MODEL = f'm0/{A1.adapter}'
PATH = '/stream-resumable/x'

#: Number of the last event of each stream.
LAST = 13

#: Parts of a stream and the time between them, seconds.
PAUSE_S = 0.02

UNFRAMED_HEAD = STREAM_HEAD.replace(b'Transfer-Encoding: chunked\r\n', b'')


class RunServer(ScriptedServer):
    """Write each run's events with the id of the request that it answers.

    :param breaks: number of the event after which a run breaks off, one for
        each request; all others are written to their end.
    """

    def __init__(self, breaks=()):
        super().__init__([])
        self._breaks = breaks

    async def _play(self, script, seen, reader, writer):
        first = int(seen.fields.get('last-event-id', 0)) + 1
        last = self._breaks.pop(0) if self._breaks else LAST
        steps = [STREAM_HEAD]
        for number in range(first, last + 1):
            steps += [chunk(event_of(seen.fields['request-id'], number))]
            steps.append(PAUSE_S)
        steps.append(STREAM_END if last == LAST else 'close')
        return await super()._play(steps, seen, reader, writer)


def event_of(request_id, number):
    """Return an event of a run."""
    return f'id: {number}\ndata: {request_id}\n\n'.encode()


def run_of(request_id, first=1, last=LAST):
    """Return events of one run."""
    return b''.join(
        event_of(request_id, number) for number in range(first, last + 1)
    )


def sent_as(request_id, **fields):
    """Return a request for a resumable stream."""
    return request(PATH, b'x', Model=MODEL, Request_Id=request_id, **fields)


def take_up(request_id, last):
    """Return a request that takes the stream of `r1` up."""
    return sent_as(request_id, Last_Event_Id=str(last), Resumes='r1')


class Caller:
    """Reads an answer as it comes, so that a test can leave in its middle."""

    def __init__(self, port, sent):
        self._task = asyncio.ensure_future(self._read(port, sent))
        self.received = b''
        self._changed = asyncio.Event()

    async def until_event(self, number):
        """Wait until an event has come whole."""
        async with asyncio.timeout(5):
            while b'id: %d\n' % (number + 1) not in self.received:
                self._changed.clear()
                await self._changed.wait()

    async def to_end(self):
        """Return the answer once it or its connection has ended."""
        async with asyncio.timeout(5):
            await self._task
        return self.received

    async def _read(self, port, sent):
        reader, writer = await asyncio.open_connection(HOST, port)
        writer.write(sent)
        with contextlib.suppress(ConnectionError):
            while not self.received.endswith(STREAM_END):
                got = await reader.read(65536)
                if not got:
                    break
                self.received += got
                self._changed.set()
        writer.close()


class TwoGateways(NamedTuple):
    """Ports of two gateways that know the same servers."""

    first: int
    second: int


@contextlib.asynccontextmanager
async def two_gateways(servers):
    """Run two gateways before the same servers."""
    ports = [await each.start() for each in servers]
    changes = [
        ConfigurationUpdate(CONFIGURATION),
        *(
            server_entry(f'i-{number}', 'llm', port)
            for number, port in enumerate(ports)
        ),
    ]
    callers = []
    async with contextlib.AsyncExitStack() as stack:
        for number in range(2):
            asked, ready, peers = free_ports(3)
            settings = settings_at(asked, ready, peers)
            await stack.enter_async_context(
                gateway_at(
                    settings._replace(instance=f'front-{number}'),
                    changes,
                    ConnectionPool(REQUEST_ID),
                )
            )
            callers.append(asked)
        yield TwoGateways(*callers)


@pytest.mark.parametrize('last', [1, 3, LAST - 1])
def test_a_take_up_beside_its_first_gateway_joins_no_runs(last):
    """The first gateway still writes, to a caller that can't tell yet."""

    async def scenario():
        async with two_gateways([RunServer(), RunServer()]) as gateways:
            first = Caller(gateways.first, sent_as('r1'))
            await first.until_event(last)
            second = Caller(gateways.second, take_up('r2', last))
            return await first.to_end(), await second.to_end()

    first, second = asyncio.run(scenario())
    assert body_of(first) == run_of('r1')
    assert body_of(second) == run_of('r2', last + 1)
    assert first.endswith(STREAM_END)
    assert second.endswith(STREAM_END)


@pytest.mark.parametrize('is_same_gateway', [True, False])
@pytest.mark.parametrize('ids', [('r2', 'r3'), ('r2', 'r2')])
def test_a_take_up_that_is_sent_twice_gives_two_whole_rests(
    is_same_gateway, ids
):
    async def scenario():
        async with two_gateways([RunServer(), RunServer()]) as gateways:
            ports = gateways[:1] * 2 if is_same_gateway else gateways
            callers = [
                Caller(port, take_up(request_id, 4))
                for port, request_id in zip(ports, ids, strict=True)
            ]
            return [await each.to_end() for each in callers]

    received = asyncio.run(scenario())
    expected = [run_of(each, 5) for each in ids]
    assert [body_of(each) for each in received] == expected
    assert all(each.endswith(STREAM_END) for each in received)


@pytest.mark.parametrize('first_break', [1, 2, 7, LAST - 1])
@pytest.mark.parametrize('later_break', [8, 10, LAST])
def test_each_event_comes_once_over_a_break_in_an_answer_and_a_take_up(
    first_break, later_break
):
    """A break that the gateway mends, then one that the caller does."""

    async def scenario():
        breaks = [first_break, max(first_break + 1, later_break)]
        servers = [RunServer(breaks), RunServer(breaks)]
        async with two_gateways(servers) as gateways:
            first = await ask(gateways.first, sent_as('r1'))
            events_of_first = body_of(first).count(b'\n\n')
            if first.endswith(STREAM_END):
                return first, b''
            sent = take_up('r2', events_of_first)
            return first, await ask(gateways.second, sent)

    first, second = asyncio.run(scenario())
    joined = body_of(first) + body_of(second)
    ids = [line for line in joined.split(b'\n') if line.startswith(b'id: ')]
    assert ids == [b'id: %d' % number for number in range(1, LAST + 1)]
    assert (second or first).endswith(STREAM_END)


#: A second copy of an earlier answer, as it may come where the next one is due.
LATE_COPIES = {
    'a plain answer': [answer(b'earlier').replace(b'{id}', b'r0')],
    'a stream': [
        STREAM_HEAD.replace(b'{id}', b'r0')
        + chunk(run_of('r0', 1, 5))
        + STREAM_END
    ],
    'a stream in parts': [
        STREAM_HEAD.replace(b'{id}', b'r0') + chunk(run_of('r0', 1, 2)),
        PAUSE_S,
        chunk(run_of('r0', 3, 5)) + STREAM_END,
    ],
    'two': [answer(b'earlier').replace(b'{id}', b'r0')] * 2,
    'a stream without length': [
        UNFRAMED_HEAD.replace(b'{id}', b'r0') + run_of('r0', 1, 5),
        'close',
    ],
    'a part of a stream': [
        STREAM_HEAD.replace(b'{id}', b'r0') + chunk(run_of('r0', 1, 5)),
        'close',
    ],
    'a stream without id': [
        STREAM_HEAD.replace(b'Request-Id: {id}\r\n', b'')
        + chunk(run_of('r0', 1, 5))
        + STREAM_END
    ],
    'a part of a chunk': [chunk(run_of('r0', 1, 5)) + STREAM_END],
}


class LateCopyServer(RunServer):
    """Write a late copy before its second answer, or after its first one.

    :param is_early: whether it comes before the next request.
    """

    def __init__(self, late, *, is_early):
        super().__init__()
        self._late = late
        self._is_early = is_early

    async def _play(self, script, seen, reader, writer):
        if len(self.seen) == 2 and not self._is_early:
            if not await ScriptedServer._play(
                self, self._late, seen, reader, writer
            ):
                return False
        is_open = await super()._play(script, seen, reader, writer)
        if len(self.seen) == 1 and self._is_early:
            steps = [PAUSE_S, *self._late]
            return await ScriptedServer._play(self, steps, seen, reader, writer)
        return is_open


@pytest.mark.parametrize('is_early', [True, False])
@pytest.mark.parametrize('late', LATE_COPIES.values(), ids=LATE_COPIES)
@pytest.mark.parametrize('path', [PATH, '/streaming/x'])
def test_a_late_answer_before_a_stream_is_no_part_of_it(path, late, is_early):
    async def scenario():
        server = LateCopyServer(late, is_early=is_early)
        async with running_gateway([server], service='llm') as bench:
            return [
                await ask(
                    bench.port,
                    request(path, b'x', Model=MODEL, Request_Id=request_id),
                )
                for request_id in ('r1', 'r2', 'r3')
            ]

    first, second, third = asyncio.run(scenario())
    assert body_of(first) == run_of('r1')
    if path == PATH or status_of(second) == 200:
        assert body_of(second) == run_of('r2')
        assert second.endswith(STREAM_END)
    else:
        assert status_of(second) == 502
    assert body_of(third) == run_of('r3')
