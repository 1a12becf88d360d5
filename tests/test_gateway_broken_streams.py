"""Streams that end without their end, and answers that don't resume them."""

import asyncio

import pytest
from gateway_parts import A1, SharedScriptsServer, run_request, running_gateway
from raw_caller import ask, body_of, request, status_of
from scripted_server import STREAM_END, STREAM_HEAD, answer, chunk, events

from wasabicross.gateway.connections.event_stream import EventSplitter
from wasabicross.gateway.errors import AnswerBroken

UNFRAMED_HEAD = STREAM_HEAD.replace(b'Transfer-Encoding: chunked\r\n', b'')
MODEL = f'm0/{A1.adapter}'


def length_head(body, content_type=b'text/event-stream'):
    """Return the head of a stream whose length is stated."""
    stated = b'Content-Length: %d\r\n' % len(body)
    head = STREAM_HEAD.replace(b'Transfer-Encoding: chunked\r\n', stated)
    return head.replace(b'text/event-stream', content_type)


def framed(body, content_type=b'text/event-stream'):
    """Return a complete answer with an event stream of a stated length."""
    return [length_head(body, content_type) + body]


PART = events(1, 3) + b'id: 4\nda'

#: A stream that ends inside an event, by its framing.
ENDS_INSIDE = [
    [UNFRAMED_HEAD, PART, 'close'],
    [UNFRAMED_HEAD, events(1, 3), b'id: 4\ndata: token 4\n', 'close'],
    [STREAM_HEAD, chunk(PART), STREAM_END],
    [STREAM_HEAD, chunk(events(1, 3)), chunk(b'id: 4'), STREAM_END],
    framed(PART),
]

#: A stream whose connection ends before the answer is complete.
CUT = [
    [UNFRAMED_HEAD, PART, 'reset'],
    [UNFRAMED_HEAD, events(1, 3), 0.05, 'reset'],
    [STREAM_HEAD, chunk(events(1, 3)), 'close'],
    [STREAM_HEAD, chunk(events(1, 3)), b'5\r\nid', 'close'],
    [length_head(events(1, 4)), events(1, 3), 'close'],
    [length_head(events(1, 4)), events(1, 3), 'reset'],
]

#: A stream into which a later answer is written.
WITH_ANSWER = [
    [UNFRAMED_HEAD, events(1, 3), STREAM_HEAD + events(1, 2), 'close'],
    [UNFRAMED_HEAD, events(1, 3) + STREAM_HEAD + events(4, 5), 'close'],
    [UNFRAMED_HEAD, events(1, 3), 0.05, answer(b'oops\n\n'), 'close'],
    [length_head(b'x' * 900), events(1, 3), 0.05, answer(b'oops\n\n'), 'close'],
]

REST = [STREAM_HEAD, chunk(events(4, 6)), STREAM_END]


#: Stands for a stream that goes on after the event that the request names.
RESUMED = ['resumed']


class ResumingServer(SharedScriptsServer):
    """Resume a stream where the request asks for it."""

    async def _play(self, script, seen, reader, writer):
        if script is RESUMED:
            first = int(seen.fields.get('last-event-id', 0)) + 1
            script = [STREAM_HEAD, chunk(events(first, 6)), STREAM_END]
        return await super()._play(script, seen, reader, writer)


def run_turns(*turns):
    """Send a resumable stream to two servers that answer in turn."""

    async def scenario():
        scripts = list(turns)
        servers = [ResumingServer(scripts) for _ in range(2)]
        async with running_gateway(servers, service='llm') as bench:
            sent = request('/stream-resumable/x', b'x', Model=MODEL)
            received = await ask(bench.port, sent)
        return received, [seen for each in servers for seen in each.seen]

    return asyncio.run(scenario())


def is_complete(received):
    return received.endswith(STREAM_END)


@pytest.mark.parametrize('broken', ENDS_INSIDE + CUT)
def test_a_broken_stream_is_visibly_cut(broken):
    sent = request('/streaming/x', b'x', Model=MODEL)
    received, (server,), _ = run_request([[broken]], sent, service='llm')
    assert not is_complete(received)
    assert len(server.seen) == 1


@pytest.mark.parametrize('broken', ENDS_INSIDE + CUT)
def test_a_broken_stream_goes_on_at_another_server(broken):
    received, seen = run_turns(broken, REST)
    assert body_of(received) == events(1, 6)
    assert is_complete(received)
    resumed = [each.fields.get('last-event-id') for each in seen]
    assert sorted(resumed, key=str) == ['3', None]


@pytest.mark.parametrize('odd', WITH_ANSWER)
def test_a_later_answer_within_a_stream_is_not_forwarded(odd):
    sent = request('/streaming/x', b'x', Model=MODEL)
    received, _, _ = run_request([[odd]], sent, service='llm')
    assert events(1, 3).startswith(body_of(received))
    assert not is_complete(received)


@pytest.mark.parametrize('odd', WITH_ANSWER)
def test_a_stream_into_which_an_answer_was_written_goes_on_elsewhere(odd):
    received, _ = run_turns(odd, RESUMED)
    assert body_of(received) == events(1, 6)
    assert is_complete(received)


@pytest.mark.parametrize('path', ['/streaming/x', '/stream-resumable/x'])
@pytest.mark.parametrize(
    'whole',
    [
        [UNFRAMED_HEAD, events(1, 3), 'close'],
        [UNFRAMED_HEAD, events(1, 2), 0.05, events(3, 3), 'close'],
        [STREAM_HEAD, chunk(events(1, 3)), STREAM_END],
        framed(events(1, 3)),
    ],
)
def test_a_stream_that_ends_after_an_event_is_complete(path, whole):
    sent = request(path, b'x', Model=MODEL)
    received, (server,), _ = run_request([[whole]], sent, service='llm')
    assert body_of(received) == events(1, 3)
    assert is_complete(received)
    assert len(server.seen) == 1


@pytest.mark.parametrize('path', ['/streaming/x', '/stream-resumable/x'])
def test_an_unframed_stream_without_any_event_is_not_complete(path):
    sent = request(path, b'x', Model=MODEL)
    script = [UNFRAMED_HEAD, 'close']
    received, _, _ = run_request([[script]], sent, service='llm')
    assert not is_complete(received)


FIRST = [STREAM_HEAD, chunk(events(1, 3)), 'close']

ERROR_TEXT = b'{"error": "out of memory"}\n\n'

#: Answers that don't resume a stream after its event 3.
NO_RESUMPTION = [
    [answer(ERROR_TEXT, b'500 Internal Server Error')],
    [answer(ERROR_TEXT, b'502 Bad Gateway')],
    [answer(ERROR_TEXT, b'400 Bad Request')],
    [answer(ERROR_TEXT, b'404 Not Found')],
    [answer(b'', b'204 No Content')],
    [answer(ERROR_TEXT)],
    [answer(events(4, 6))],
    framed(ERROR_TEXT),
    framed(ERROR_TEXT, b'application/json'),
    framed(events(4, 6), b'text/html'),
    [STREAM_HEAD, chunk(ERROR_TEXT), STREAM_END],
    [STREAM_HEAD, chunk(ERROR_TEXT + events(4, 6)), STREAM_END],
    [STREAM_HEAD, chunk(events(1, 6)), STREAM_END],
    [STREAM_HEAD, chunk(events(3, 6)), STREAM_END],
    [STREAM_HEAD, chunk(b'data: no id\n\n'), STREAM_END],
    [UNFRAMED_HEAD, 'close'],
    [UNFRAMED_HEAD, ERROR_TEXT, 'close'],
    [UNFRAMED_HEAD, STREAM_HEAD + events(4, 6), 'close'],
    [b'no http at all\r\n\r\n', 'close'],
    ['close'],
    ['reset'],
]


@pytest.mark.parametrize('odd', NO_RESUMPTION)
def test_an_answer_that_does_not_resume_stays_out_of_the_stream(odd):
    """Both servers have been tried then, so the stream is cut."""
    received, seen = run_turns(FIRST, odd)
    assert body_of(received) == events(1, 3)
    assert not is_complete(received)
    assert status_of(received) == 200
    assert len(seen) == 2


@pytest.mark.parametrize('first_id', [4, 7])
def test_a_resumed_stream_may_leave_ids_out(first_id):
    """Ids increase, but not always by one."""
    rest = [STREAM_HEAD, chunk(events(first_id, 9)), STREAM_END]
    received, _ = run_turns(FIRST, rest)
    assert body_of(received) == events(1, 3) + events(first_id, 9)
    assert is_complete(received)


def test_a_stream_that_its_caller_resumes_has_no_earlier_event():
    sent = request('/stream-resumable/x', b'x', Model=MODEL, Last_Event_Id='3')
    script = [STREAM_HEAD, chunk(events(1, 6)), STREAM_END]
    received, _, _ = run_request([[script]], sent, service='llm')
    assert b'token' not in body_of(received)
    assert not is_complete(received)


def test_a_long_answer_that_is_no_stream_is_not_joined_with_another():
    """It can't be resumed after its beginning has been sent."""
    long_body = b'x' * 400_000
    broken = [
        length_head(long_body, b'text/plain'),
        long_body[:300_000],
        'close',
    ]
    received, _ = run_turns(broken, REST)
    assert body_of(received) in {b'', events(4, 6)}


@pytest.mark.parametrize('path', ['/streaming/x', '/stream-resumable/x'])
def test_a_short_answer_that_is_no_stream_comes_whole(path):
    script = framed(b'{"text": "done"}', b'application/json')
    sent = request(path, b'x', Model=MODEL)
    received, _, _ = run_request([[script]], sent, service='llm')
    assert body_of(received) == b'{"text": "done"}'


def test_an_event_id_of_thousands_of_digits_breaks_the_stream():
    """An error outside the gateway's own ended its request."""
    splitter = EventSplitter()
    splitter.last_event_id = '3'
    with pytest.raises(AnswerBroken):
        splitter.feed(b'id: %s\n\n' % (b'9' * 5000))
