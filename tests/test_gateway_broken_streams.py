"""Streams that end without their end."""

import asyncio

import pytest
from gateway_parts import A1, SharedScriptsServer, run_request, running_gateway
from raw_caller import ask, body_of, request
from scripted_server import STREAM_END, STREAM_HEAD, chunk, events

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

REST = [STREAM_HEAD, chunk(events(4, 6)), STREAM_END]


def run_turns(*turns):
    """Send a resumable stream to two servers that answer in turn."""

    async def scenario():
        scripts = list(turns)
        servers = [SharedScriptsServer(scripts) for _ in range(2)]
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
