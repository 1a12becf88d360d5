"""Work that a peer puts into few bytes holds no other request up.

Guards against a gateway that hangs: a server sent a body in chunks of one byte
without end, and the event loop took them all before anything else.
"""

import asyncio
import contextlib

import h11
import pytest
from gateway_parts import running_gateway
from raw_caller import ask, status_of
from scripted_server import ScriptedServer, answer

from wasabicross.gateway.connections import fair_turns
from wasabicross.gateway.connections.event_stream import EventSplitter
from wasabicross.gateway.connections.fair_turns import MAX_TURN_EVENTS, pause_s
from wasabicross.gateway.connections.server_connections import ServerConnection
from wasabicross.gateway.connections.server_messages import ServerRequest
from wasabicross.gateway.connections.watched_reader import WatchedReader
from wasabicross.gateway.errors import AnswerBroken, AnswerMissing, ServerError
from wasabicross.platform.headers import REQUEST_ID

CHUNKS = 5000
HEAD = (
    b'HTTP/1.1 200 OK\r\nRequest-Id: r1\r\nServer-Stamp: s\r\n'
    b'Transfer-Encoding: chunked\r\n\r\n'
)
OTHER = b'HTTP/1.1 200 OK\r\nRequest-Id: other\r\nContent-Length: 0\r\n\r\n'
EVENTS = b''.join(
    b'%x\r\n%s\r\n' % (len(event), event)
    for event in (b'id: %d\ndata: x\n\n' % number for number in range(CHUNKS))
)


class SilentTransport:
    """The writing side of a connection that takes everything."""

    def get_write_buffer_size(self):
        return 0

    def abort(self):
        """Do nothing."""


class SilentWriter:
    """A writer on that transport."""

    transport = SilentTransport()

    def write(self, content):
        """Take bytes."""

    def is_closing(self):
        return False


class CountedCodec:
    """Counts the events that the codec takes between two turns of the loop."""

    def __init__(self, monkeypatch):
        self._count = 0
        self.longest_turn = 0
        original = h11.Connection.next_event

        def next_event(codec):
            self._count += 1
            self.longest_turn = max(self.longest_turn, self._count)
            return original(codec)

        monkeypatch.setattr(h11.Connection, 'next_event', next_event)

    async def watch(self):
        """Count anew in each turn of the loop."""
        while True:
            self._count = 0
            await asyncio.sleep(0)


@pytest.fixture
def codec(monkeypatch):
    monkeypatch.setattr(fair_turns, '_FIRST_PAUSE_S', 0)
    monkeypatch.setattr(fair_turns, '_MAX_PAUSE_S', 0)
    return CountedCodec(monkeypatch)


async def read_answer(received, read):
    """Read an answer all of whose bytes have arrived already."""
    reader = WatchedReader(2**16)
    reader.feed_data(received)
    reader.feed_eof()
    conn = ServerConnection(reader, SilentWriter(), REQUEST_ID)
    req = ServerRequest(
        b'GET', b'/', [(b'host', b'a'), (b'request-id', b'r1')], b''
    )
    conn.send(req)
    await conn.read_head(req)
    return await read(conn)


async def read_chunks(conn):
    return b''.join([chunk async for chunk in conn.read_chunks()])


async def discard(conn):
    await conn.discard_body()


async def beside(codec, work):
    """Do work beside a task that has to run in each turn of the loop."""
    watch = asyncio.ensure_future(codec.watch())
    await asyncio.sleep(0)
    try:
        return await work
    finally:
        watch.cancel()


@pytest.mark.parametrize('read', [read_chunks, discard])
@pytest.mark.parametrize(
    'received',
    [
        HEAD + b'1\r\nx\r\n' * CHUNKS + b'0\r\n\r\n',
        HEAD + b'1;e=v\r\nx\r\n' * CHUNKS + b'0\r\n\r\n',
        HEAD + EVENTS + b'0\r\n\r\n',
        HEAD + b'1\r\nx\r\n' * CHUNKS + b'0\r\n' + b'a: b\r\n' * 80 + b'\r\n',
        OTHER * 9 + HEAD + b'1\r\nx\r\n' * CHUNKS + b'0\r\n\r\n',
        b'HTTP/1.1 103 Early Hints\r\n\r\n' * 9 + HEAD + EVENTS + b'0\r\n\r\n',
        HEAD + b'1\r\nx\r\n' * CHUNKS + b'no chunk\r\n',
    ],
)
def test_the_bytes_of_a_server_are_read_in_turns(codec, received, read):
    async def scenario():
        with contextlib.suppress(ServerError):
            await beside(codec, read_answer(received, read))

    asyncio.run(scenario())
    assert 1 < codec.longest_turn <= MAX_TURN_EVENTS + 1


def test_chunks_that_come_together_are_one():
    """Each chunk would cost a write to the caller."""

    async def read(conn):
        return [len(chunk) async for chunk in conn.read_chunks()]

    received = HEAD + b'1\r\nx\r\n' * 100 + b'0\r\n\r\n'
    assert asyncio.run(read_answer(received, read)) == [100]


@pytest.mark.parametrize(
    'received',
    [
        b'5\r\nfirst\r\n4\r\nlast\r\n0\r\n\r\n',
        b'5\r\nfirst\r\n4\r\nlast\r\n0\r\nx-trailer: 1\r\n\r\n',
        b'9\r\nfirstlast\r\n0\r\n\r\n',
    ],
)
def test_chunks_lose_nothing(received):
    assert asyncio.run(read_answer(HEAD + received, read_chunks)) == (
        b'firstlast'
    )


@pytest.mark.parametrize(
    ('received', 'error'),
    [
        # Content that came before the fault reaches the caller first.
        (HEAD + b'1\r\nx\r\n' * 100 + b'no chunk\r\n', AnswerBroken),
        (HEAD + b'1\r\nx\r\n' * 100, AnswerBroken),
        # Framing without end, and answers without end.
        (
            HEAD + (b'1;e=' + b'v' * 8000 + b'\r\nx\r\n') * 200,
            AnswerBroken,
        ),
        (OTHER * 20 + HEAD + b'0\r\n\r\n', AnswerMissing),
    ],
)
def test_bytes_that_are_no_answer_end_it(received, error):
    seen = []

    async def read(conn):
        async for chunk in conn.read_chunks():
            seen.append(chunk)

    with pytest.raises(error):
        asyncio.run(read_answer(received, read))
    assert set(b''.join(seen)) <= set(b'x')
    if b'e=' not in received and OTHER not in received:
        assert len(b''.join(seen)) == 100


def test_the_body_of_a_caller_is_read_in_turns(codec):
    server = ScriptedServer([answer()])
    sent = (
        b'POST /unsafe/x HTTP/1.1\r\nHost: a.example\r\nRequest-Id: r1\r\n'
        b'Time-Left-Ms: 5000\r\nTransfer-Encoding: chunked\r\n\r\n'
        + b'1\r\nx\r\n' * CHUNKS
        + b'0\r\n\r\n'
    )

    async def scenario():
        async with running_gateway([server]) as bench:
            return await beside(codec, ask(bench.port, sent))

    assert status_of(asyncio.run(scenario())) == 200
    assert server.seen[0].body == b'x' * CHUNKS
    # Some events belong to other connections.
    assert codec.longest_turn <= MAX_TURN_EVENTS + 10


@pytest.mark.parametrize(
    ('turns', 'least_s', 'most_s'),
    [(1, 0.001, 0.01), (5, 0.05, 0.1), (10**6, 0.05, 0.1)],
)
def test_pauses_grow_while_a_peer_sends_faster(turns, least_s, most_s):
    assert least_s <= pause_s(turns) <= most_s


@pytest.mark.parametrize('step', [1, 2, 3, 7, 1000])
def test_events_are_found_however_they_are_cut(step):
    stream = b'id: 1\ndata: a\n\nid: 2\ndata: b\n\nid: 3\nda'
    splitter = EventSplitter()
    found = b''.join(
        splitter.feed(stream[start : start + step])
        for start in range(0, len(stream), step)
    )
    assert found == stream[: stream.rindex(b'id: 3')]
    assert splitter.last_event_id == '2'
    assert splitter.discard_partial() == b'id: 3\nda'
