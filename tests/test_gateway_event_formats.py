"""Event streams in each format that servers may write, cut at any byte."""

import asyncio
import re

import pytest
from gateway_parts import A1, SharedScriptsServer, running_gateway
from raw_caller import ask, body_of, request
from scripted_server import (
    STREAM_END,
    STREAM_HEAD,
    ScriptedServer,
    chunk,
    events,
)

from wasabicross.gateway.connections.event_stream import (
    EventSplitter,
    StreamTail,
)
from wasabicross.gateway.errors import AnswerBroken

MODEL = f'm0/{A1.adapter}'
UNFRAMED_HEAD = STREAM_HEAD.replace(b'Transfer-Encoding: chunked\r\n', b'')
LINE_ENDS = (b'\n', b'\r\n', b'\r')

#: A stream that ends with its event 3, by its format.
FORMATS = {
    'plain': events(1, 3),
    'a comment first': b': hello\n\n' + events(1, 3),
    'comments between': events(1, 2) + b': ping\n\n:\n\n' + events(3, 3),
    'a comment last': events(1, 3) + b': bye\n\n',
    'a retry time first': b'retry: 300\n\n' + events(1, 3),
    'several data lines': b'id: 1\ndata: a\ndata: b\n\n' + events(2, 3),
    'data first': b'data: a\nid: 1\n\n' + events(2, 3),
    'no space after the colon': b'id:2\ndata:a\n\nid:3\ndata:b\n\n',
    'an id in data': b'id: 3\ndata: x\ndata: id: 9\n\n',
    'an id in a comment': b'id: 3\n:id: 9\ndata: x\n\n',
    'two ids': b'id: 9\nid: 3\ndata: x\n\n',
    'a version first': b'weight-versions: 4\nid: 3\ndata: x\n\n',
    'blank lines between': b'\n\n\n' + events(1, 2) + b'\n' + events(3, 3),
    'a byte order mark': b'\xef\xbb\xbf' + events(3, 3),
    'ids that jump': b'id: 1\ndata: a\n\nid: 3\ndata: b\n\n',
}


#: A stream after whose end no event is known to be the last one.
WITHOUT_ID = {
    'no id at all': b'data: a\n\ndata: b\n\n',
    'an empty id': events(1, 2) + b'id:\ndata: b\n\n',
    'an id without a colon': events(1, 2) + b'id\ndata: b\n\n',
    'an id with NUL': events(1, 2) + b'id: 3\0\ndata: b\n\n',
}


def cut_at(stream, position):
    """Return both parts of a stream."""
    return stream[:position], stream[position:]


def fed(splitter, parts):
    """Return the events that a splitter makes of the parts of a stream."""
    return b''.join(splitter.feed(part) for part in parts if part)


@pytest.mark.parametrize('line_end', LINE_ENDS)
@pytest.mark.parametrize('stream', FORMATS.values(), ids=FORMATS)
def test_a_whole_stream_is_not_lost_by_its_format(stream, line_end):
    stream = stream.replace(b'\n', line_end)
    for position in range(len(stream)):
        splitter = EventSplitter()
        assert fed(splitter, cut_at(stream, position)) == stream
        assert not splitter.discard_partial()
        assert splitter.last_event_id == '3'


@pytest.mark.parametrize('line_end', LINE_ENDS)
@pytest.mark.parametrize('stream', FORMATS.values(), ids=FORMATS)
def test_a_whole_stream_that_comes_byte_by_byte_is_not_lost(stream, line_end):
    stream = stream.replace(b'\n', line_end)
    splitter = EventSplitter()
    single = [stream[at : at + 1] for at in range(len(stream))]
    assert fed(splitter, single) == stream
    assert splitter.last_event_id == '3'


@pytest.mark.parametrize('line_end', LINE_ENDS)
def test_a_part_of_an_event_is_not_forwarded(line_end):
    one, two, three = (
        events(each, each).replace(b'\n', line_end) for each in (1, 2, 3)
    )
    for position in range(1, len(three) - len(line_end)):
        splitter = EventSplitter()
        parts = (one + two, three[:position])
        assert fed(splitter, parts) == one + two
        assert splitter.last_event_id == '2'
        assert splitter.discard_partial()


@pytest.mark.parametrize('stream', WITHOUT_ID.values(), ids=WITHOUT_ID)
def test_a_stream_does_not_go_on_after_an_event_without_id(stream):
    splitter = EventSplitter()
    assert splitter.feed(stream) == stream
    assert not splitter.last_event_id


@pytest.mark.parametrize('line_end', LINE_ENDS)
def test_the_end_of_an_event_is_known_in_each_format(line_end):
    stream = events(1, 2).replace(b'\n', line_end)
    for position in range(1, len(stream)):
        tail = StreamTail()
        for part in cut_at(stream, position):
            tail.feed(part)
        assert not tail.is_inside_event
        tail.feed(b'id: 3' + line_end)
        assert tail.is_inside_event


@pytest.mark.parametrize('line_end', LINE_ENDS)
@pytest.mark.parametrize('position', range(1, 10))
@pytest.mark.parametrize('count', [0, 2])
def test_a_head_in_two_parts_does_not_pass_as_events(line_end, position, count):
    before = events(1, count).replace(b'\n', line_end)
    parts = cut_at(before + STREAM_HEAD + events(1, 3), len(before) + position)
    tail = StreamTail()
    with pytest.raises(AnswerBroken):
        for part in parts:
            tail.feed(part)


def test_data_that_looks_like_a_head_after_a_cut_breaks_no_stream():
    stream = b'id: 1\ndata: GET /x HTTP/1.1\n\n'
    for position in range(1, len(stream)):
        tail = StreamTail()
        for part in cut_at(stream, position):
            tail.feed(part)
        assert not tail.is_inside_event


def test_no_event_after_a_head_in_two_parts_reaches_the_caller():
    script = [
        UNFRAMED_HEAD + events(1, 3) + b'HT',
        0.05,
        b'TP/1.1 200 OK\r\nRequest-Id: r0\r\n\r\n' + events(1, 2),
        'close',
    ]
    received = run_script(script, '/streaming/x')
    assert body_of(received).count(b'id: 1\n') == 1
    assert not received.endswith(STREAM_END)


#: What a server may write before its first event that goes on after event 3.
BEFORE_EVENTS = (b': hello\n\n', b'retry: 300\n\n', b'\xef\xbb\xbf', b'\n')


@pytest.mark.parametrize('before', BEFORE_EVENTS)
def test_a_stream_that_goes_on_after_a_comment_is_not_lost(before):
    splitter = EventSplitter()
    splitter.last_event_id = '3'
    received = fed(splitter, (before, events(4, 6)))
    assert received.endswith(events(4, 6))
    assert splitter.last_event_id == '6'
    assert b'\xef' not in received


@pytest.mark.parametrize('before', BEFORE_EVENTS)
@pytest.mark.parametrize('first', [b'id: 9\nid: 3\ndata: x\n\n', events(1, 6)])
def test_an_event_before_the_asked_one_does_not_pass_after_a_comment(
    before, first
):
    splitter = EventSplitter()
    splitter.last_event_id = '3'
    with pytest.raises(AnswerBroken):
        fed(splitter, (before, first))


def run_stream(parts, path):
    """Return the answer to a request for a stream that comes in parts."""
    return run_script([STREAM_HEAD, *map(chunk, parts), STREAM_END], path)


def run_script(script, path):
    """Return the answer to a request whose server plays a script."""

    async def scenario():
        server = ScriptedServer(script)
        async with running_gateway([server], service='llm') as bench:
            return await ask(bench.port, request(path, b'x', Model=MODEL))

    return asyncio.run(scenario())


@pytest.mark.parametrize('line_end', LINE_ENDS)
@pytest.mark.parametrize('path', ['/streaming/x', '/stream-resumable/x'])
def test_callers_get_a_whole_stream_in_each_format(path, line_end):
    stream = events(1, 3).replace(b'\n', line_end)
    received = run_stream(cut_at(stream, 9), path)
    assert body_of(received) == stream
    assert received.endswith(STREAM_END)


@pytest.mark.parametrize('before', BEFORE_EVENTS)
def test_a_stream_that_breaks_goes_on_once_where_its_servers_write_more(before):
    """Its second server begins as the first one did."""

    async def scenario():
        servers = [MarkingServer(before) for _ in range(2)]
        async with running_gateway(servers, service='llm') as bench:
            sent = request('/stream-resumable/x', b'x', Model=MODEL)
            return await ask(bench.port, sent)

    received = asyncio.run(scenario())
    assert received.endswith(STREAM_END)
    assert re.findall(rb'id: (\d)', body_of(received)) == [b'1', b'2', b'3']
    assert body_of(received).startswith(before)


class MarkingServer(ScriptedServer):
    """Write the same before the first event of each stream.

    A stream from its start breaks off after event 1.
    """

    def __init__(self, before):
        super().__init__([])
        self._before = before

    async def _play(self, script, seen, reader, writer):
        first = int(seen.fields.get('last-event-id', 0)) + 1
        last = 1 if first == 1 else 3
        steps = [STREAM_HEAD, chunk(self._before + events(first, last))]
        steps.append('close' if first == 1 else STREAM_END)
        return await super()._play(steps, seen, reader, writer)


@pytest.mark.parametrize('stream', WITHOUT_ID.values(), ids=WITHOUT_ID)
@pytest.mark.parametrize('end', ['close', 1.6])
def test_a_stream_without_ids_does_not_begin_anew_in_its_answer(stream, end):
    """Its server breaks off or falls silent; another one begins it."""

    async def scenario():
        servers = [
            ScriptedServer([STREAM_HEAD, chunk(stream), end, STREAM_END])
            for _ in range(2)
        ]
        async with running_gateway(servers, service='llm') as bench:
            sent = request('/stream-resumable/x', b'x', Model=MODEL)
            received = await ask(bench.port, sent)
        return received, sum(len(each.seen) for each in servers)

    received, arrivals = asyncio.run(scenario())
    assert body_of(received) == stream
    assert received.endswith(STREAM_END) is (end != 'close')
    assert arrivals == 1


def test_a_stream_that_has_no_event_yet_begins_at_another_server():
    async def scenario():
        scripts = [
            [STREAM_HEAD, 'close'],
            [STREAM_HEAD, chunk(events(1, 3)), STREAM_END],
        ]
        servers = [SharedScriptsServer(scripts) for _ in range(2)]
        async with running_gateway(servers, service='llm') as bench:
            sent = request('/stream-resumable/x', b'x', Model=MODEL)
            return await ask(bench.port, sent)

    received = asyncio.run(scenario())
    assert body_of(received) == events(1, 3)
    assert received.endswith(STREAM_END)


#: Ids of the events of a stream, in order.
ID_SERIES = {
    'numbers from 0': '0 1 2 3',
    'numbers from 100': '100 101 102 103',
    'numbers that jump': '5 17 18 4000',
    'numbers with zeros': '007 008 009 010',
    'numbers with a prefix': 'run-8 run-9 run-10 run-11',
    'of two numbers': '1700-8 1700-9 1700-10 1701-0',
    'in base 16': '9 a f 10',
    'in base 16 after a letter': '1a8 1a9 1aa 1b0',
    'fractions': '1.25 1.3 1.31 1.4',
    'below zero': '-3 -2 -1 0',
    'of words': 'first second third fourth',
}


def numbered(ids):
    """Return events with these ids."""
    return b''.join(f'id: {each}\ndata: {each}\n\n'.encode() for each in ids)


class SeriesServer(SharedScriptsServer):
    """Write a stream whose events have the ids of a series.

    :param breaks: number of events after which its first run breaks off.
    :param begins: number of events that its second run leaves out.
    """

    def __init__(self, ids, breaks, begins):
        first = [STREAM_HEAD, chunk(numbered(ids[:breaks])), 'close']
        second = [STREAM_HEAD, chunk(numbered(ids[begins:])), STREAM_END]
        super().__init__([first, second, second])


def run_series(ids, breaks, begins):
    """Return the answer of two servers, one of which breaks off."""

    async def scenario():
        server = SeriesServer(ids, breaks, begins)
        other = SharedScriptsServer(server._scripts)
        async with running_gateway([server, other], service='llm') as bench:
            sent = request('/stream-resumable/x', b'x', Model=MODEL)
            return await ask(bench.port, sent)

    return asyncio.run(scenario())


@pytest.mark.parametrize('breaks', [1, 2, 3])
@pytest.mark.parametrize('series', ID_SERIES.values(), ids=ID_SERIES)
def test_a_stream_goes_on_whatever_its_ids_are(series, breaks):
    received = run_series(series.split(), breaks, breaks)
    assert body_of(received) == numbered(series.split())
    assert received.endswith(STREAM_END)


@pytest.mark.parametrize('breaks', [2, 3])
@pytest.mark.parametrize(
    'series',
    [each for name, each in ID_SERIES.items() if 'number' in name],
)
def test_events_that_came_before_do_not_come_again(series, breaks):
    """The second server begins at the event before the last one."""
    ids = series.split()
    received = run_series(ids, breaks, breaks - 2)
    assert body_of(received) == numbered(ids[:breaks])
    assert not received.endswith(STREAM_END)
