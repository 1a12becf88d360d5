"""Servers that stop in the middle of an answer's head and close."""

import asyncio
import itertools

import pytest
from gateway_parts import A1, PATIENT, SharedScriptsServer, running_gateway
from raw_caller import ask, body_of, request, status_of
from scripted_server import (
    STREAM_END,
    STREAM_HEAD,
    ScriptedServer,
    answer,
    chunk,
    events,
)

PATHS = ('/safe/x', '/unsafe/x', '/streaming/x', '/stream-resumable/x')
ENDINGS = ('close', 'reset')
STAMP = b'Server-Stamp: s1\r\n'
CONTINUE = b'HTTP/1.1 100 Continue\r\n\r\n'
HINTS = b'HTTP/1.1 103 Early Hints\r\nLink: </x>\r\n\r\n'

#: Fields that frame the body; the last one shortens its length of 100.
FRAMINGS = {
    'length': b'Content-Length: 100\r\n',
    'chunks': b'Transfer-Encoding: chunked\r\n',
    'none': b'',
    'short length': b'Content-Length: 1\r\n',
}

#: Bytes of a head up to the place at which its server stops.
PLACES = {
    'protocol': b'HTTP/1.',
    'status': b'HTTP/1.1 20',
    'whole status': b'HTTP/1.1 200',
    'reason': b'HTTP/1.1 200 O',
    'CR of the status line': b'HTTP/1.1 200 OK\r',
    'status line': b'HTTP/1.1 200 OK\r\n',
    'name': b'HTTP/1.1 200 OK\r\nRequest-Id: {id}\r\nServer-St',
    'colon': b'HTTP/1.1 200 OK\r\nRequest-Id: {id}\r\nServer-Stamp:',
    'value': b'HTTP/1.1 200 OK\r\nRequest-Id: {id}\r\nServer-Stamp: s',
    'CR of a field': b'HTTP/1.1 200 OK\r\nRequest-Id: {id}\r\n' + STAMP[:-1],
    'field': b'HTTP/1.1 200 OK\r\nRequest-Id: {id}\r\n' + STAMP,
    'field without a stamp': b'HTTP/1.1 200 OK\r\nRequest-Id: {id}\r\n',
    'bare LF': b'HTTP/1.1 200 OK\nRequest-Id: {id}\nServer-Stamp: s1\n',
    'CR of the blank line': STREAM_HEAD[:-1],
}


def sent_to(path, name='r1'):
    """Return a request on a route, on streaming ones for an adapter."""
    fields = {'Model': f'm0/{A1.adapter}'} if 'stream' in path else {}
    return request(path, b'x', Request_Id=name, **fields)


def whole_answer(path):
    """Return a whole answer as the servers of a route give it."""
    if 'stream' in path:
        return STREAM_HEAD + chunk(events(1, 3)) + STREAM_END
    return answer(b'the answer')


def run_cut(path, script, *, kept=False, servers=1, second=None):
    """Send a request whose first server plays a script and then ends.

    :param kept: whether its connection has served a request before.
    :param second: what each later connection gets, the same if left out.
    """

    async def scenario():
        turns = [script, second or script]
        if kept:
            turns.insert(0, [whole_answer(path)])
        scripted = [SharedScriptsServer(turns) for _ in range(servers)]
        service = 'llm' if 'stream' in path else 'desk'
        async with running_gateway(
            scripted, cfg=PATIENT, service=service
        ) as bench:
            if kept:
                before = await ask(bench.port, sent_to(path, 'r0'))
                assert status_of(before) == 200
            received = await ask(bench.port, sent_to(path))
        return received, sum(len(each.seen) for each in scripted) - kept

    return asyncio.run(scenario())


def is_framed_as_whole(received):
    """Tell whether an answer ends as a complete one does."""
    head, _, body = received.partition(b'\r\n\r\n')
    if b'chunked' in head.lower():
        return body.endswith(STREAM_END)
    length = head.lower().partition(b'content-length: ')[2]
    return len(body) == int(length.split(b'\r\n')[0])


def assert_no_success(received):
    """Check that an answer is a failure or visibly cut."""
    if received and status_of(received) == 200:
        assert b'server-stamp: ' in received.lower()
        assert not is_framed_as_whole(received)


@pytest.mark.parametrize('path', PATHS)
@pytest.mark.parametrize('place', PLACES)
@pytest.mark.parametrize('ending', ENDINGS)
@pytest.mark.parametrize('kept', [False, True])
def test_a_cut_head_is_no_success(path, place, ending, kept):
    received, arrivals = run_cut(path, [PLACES[place], ending], kept=kept)
    assert arrivals
    assert status_of(received) == 502
    assert not body_of(received)
    if path in {'/unsafe/x', '/streaming/x'}:
        assert arrivals == 1


@pytest.mark.parametrize('path', PATHS)
@pytest.mark.parametrize('before', [CONTINUE, HINTS, CONTINUE + HINTS])
@pytest.mark.parametrize('place', [None, 'status line', 'value', 'field'])
@pytest.mark.parametrize('ending', ENDINGS)
def test_a_head_cut_after_an_informational_one(path, before, place, ending):
    script = [before + PLACES.get(place, b''), ending]
    received, _ = run_cut(path, script)
    assert status_of(received) == 502
    assert not body_of(received)


@pytest.mark.parametrize('path', ['/safe/x', '/stream-resumable/x'])
@pytest.mark.parametrize('place', PLACES)
@pytest.mark.parametrize('ending', ENDINGS)
def test_another_server_answers_after_a_cut_head(path, place, ending):
    whole = whole_answer(path)
    received, arrivals = run_cut(
        path, [PLACES[place], ending], servers=2, second=[whole]
    )
    assert arrivals == 2
    assert status_of(received) == 200
    assert body_of(received) == body_of(whole)
    assert is_framed_as_whole(received)
    assert b'server-stamp: s1' in received.lower()


@pytest.mark.parametrize('place', PLACES)
@pytest.mark.parametrize('ending', ENDINGS)
def test_a_stream_resumed_by_a_cut_head_is_visibly_cut(place, ending):
    first = [STREAM_HEAD, chunk(events(1, 3)), 'close']
    received, arrivals = run_cut(
        '/stream-resumable/x',
        first,
        servers=2,
        second=[PLACES[place], ending],
    )
    assert arrivals == 2
    assert body_of(received) == events(1, 3)
    assert not is_framed_as_whole(received)


def head(framing, stamp=STAMP, extra=b''):
    """Return a head that is whole by the grammar."""
    start = b'HTTP/1.1 200 OK\r\nRequest-Id: {id}\r\n' + stamp + extra
    return start + FRAMINGS[framing] + b'\r\n'


STREAM_TYPE = b'Content-Type: text/event-stream\r\n'


@pytest.mark.parametrize('path', PATHS)
@pytest.mark.parametrize('framing', FRAMINGS)
@pytest.mark.parametrize('ending', ENDINGS)
@pytest.mark.parametrize('kept', [False, True])
@pytest.mark.parametrize('extra', [b'', STREAM_TYPE])
def test_a_head_without_its_body_is_no_whole_answer(
    path, framing, ending, kept, extra
):
    script = [head(framing, extra=extra), ending]
    received, _ = run_cut(path, script, kept=kept)
    assert_no_success(received)


#: Answers whose head has lost its stamp, whole by the grammar.
WITHOUT_STAMP = {
    **{name: head(name, stamp=b'') for name in FRAMINGS},
    'status line': b'HTTP/1.1 200 OK\r\n\r\n',
    'bare LF': b'HTTP/1.1 200 OK\n\n',
    'no body': answer(b'').replace(STAMP, b''),
    'body': answer(b'the answer').replace(STAMP, b''),
    'unframed body': head('none', stamp=b'') + b'the answer',
    'stream': (STREAM_HEAD + chunk(events(1, 3)) + STREAM_END).replace(
        STAMP, b''
    ),
    'unframed stream': head('none', b'', STREAM_TYPE) + events(1, 3),
}


@pytest.mark.parametrize('path', PATHS)
@pytest.mark.parametrize('name', WITHOUT_STAMP)
@pytest.mark.parametrize('kept', [False, True])
def test_a_success_without_its_stamp_is_not_passed_on(path, name, kept):
    script = [WITHOUT_STAMP[name], 'close']
    received, _ = run_cut(path, script, kept=kept)
    assert status_of(received) == 502
    assert not body_of(received)


@pytest.mark.parametrize('name', WITHOUT_STAMP)
def test_a_stream_is_not_resumed_by_an_answer_without_its_stamp(name):
    first = [STREAM_HEAD, chunk(events(1, 3)), 'close']
    odd = WITHOUT_STAMP[name].replace(events(1, 3), events(4, 6))
    received, arrivals = run_cut(
        '/stream-resumable/x', first, servers=2, second=[odd, 'close']
    )
    assert arrivals == 2
    assert body_of(received) == events(1, 3)
    assert not is_framed_as_whole(received)


#: Whole answers that may look like cut ones.
WHOLE = [
    (b'POST', head('none') + b'the answer', b'the answer'),
    (b'POST', answer(b''), b''),
    (b'POST', head('chunks') + STREAM_END, b''),
    (b'HEAD', head('none'), b''),
    (b'POST', head('none').replace(b'200 OK', b'204 No Content'), b''),
]


@pytest.mark.parametrize('path', ['/safe/x', '/unsafe/x'])
@pytest.mark.parametrize(('method', 'whole', 'body'), WHOLE)
@pytest.mark.parametrize('before', [b'', CONTINUE, HINTS])
def test_a_whole_answer_that_may_look_cut_is_passed_on(
    path, method, whole, body, before
):
    async def scenario():
        server = ScriptedServer([before + whole, 'close'])
        async with running_gateway([server]) as bench:
            sent = sent_to(path).replace(b'POST', method)
            return await ask(bench.port, sent)

    received = asyncio.run(scenario())
    assert status_of(received) in {200, 204}
    assert body_of(received) == body
    assert b'server-stamp: s1' in received.lower()


@pytest.mark.parametrize(
    ('first', 'second'), list(itertools.permutations(PLACES, 2))[::13]
)
def test_two_cut_heads_in_a_row(first, second):
    received, arrivals = run_cut(
        '/safe/x',
        [PLACES[first], 'close'],
        servers=2,
        second=[PLACES[second], 'close'],
    )
    assert arrivals == 2
    assert status_of(received) == 502
