"""No answer that was cut anywhere reaches a caller of an entry as a whole one.

Each answer is cut at each of its bytes, on each path through an entry. A server
that is killed ends its connections in order, as one does that ends an answer with
neither a length nor chunks.
"""

import itertools
import socket
import time
from contextlib import closing
from http import HTTPStatus
from types import SimpleNamespace
from typing import NamedTuple

import cbor2
import h11
import pytest
from expression import Ok
from http_parts import served
from test_callers_streams import Watch
from test_dispatch import BODY, HEAD, ScriptedServer

from wasabicross.bundles.bundles import Route
from wasabicross.callers.attempts import AttemptHistory, Attempts
from wasabicross.callers.caller_request import CallerRequest
from wasabicross.callers.key_claims import MAX_KEPT_ANSWER_BYTES, KeyClaims
from wasabicross.callers.model_field import ModelField
from wasabicross.callers.replies import Reply
from wasabicross.callers.service_calls import ServiceCalls
from wasabicross.claims.claim_answers import answer_to_claim
from wasabicross.claims.claims import Completed, Granted, OutcomeNotKnown
from wasabicross.dispatching.dispatch import Call, Dispatcher
from wasabicross.dispatching.engine_answers import STREAM_END_MARK
from wasabicross.dispatching.engines import Engine
from wasabicross.messaging.messages import ClaimKey, Done, ServerInfo, SettleKey
from wasabicross.servers.retries import RetryBudget

keys = itertools.count()

OK = 200
CONFLICT = 409
PLAIN = b'{"quay": 1}'
EVENTS = b'data: {"model": "l"}\n\ndata: {"a": 1}\n\n'
EVENT_STREAM = b'Content-Type: text/event-stream\r\n'
LEAVING = b'Server-Leaving: 1\r\nConnection: close\r\n'


class Kind(NamedTuple):
    """A kind of answer on a path through an entry.

    :param path: how the entry runs the request.
    :param fields: header fields of the server's answer.
    :param body: its whole body.
    """

    path: str
    fields: bytes
    body: bytes


KINDS = {
    'plain': Kind('service', b'', PLAIN),
    'stream': Kind('service', EVENT_STREAM, EVENTS),
    'keyed': Kind('keyed', b'', PLAIN),
    'keyed-stream': Kind('keyed', EVENT_STREAM, EVENTS),
    'engine': Kind('engine', b'', PLAIN),
    'engine-stream': Kind('engine', EVENT_STREAM, EVENTS + STREAM_END_MARK),
}


class Cut(NamedTuple):
    """How answers are cut.

    :param fields: header fields of the server's answer.
    :param end: how its connection ends.
    :param step: bytes between two cuts.
    """

    fields: bytes
    end: str
    step: int


CUTS = {
    'killed': Cut(b'', 'fin', 1),
    'reset': Cut(b'', 'rst', 5),
    'leaving': Cut(LEAVING, 'fin', 5),
}


def with_length(fields, body):
    head = HEAD + fields + b'Content-Length: %d\r\n\r\n' % len(body)
    return head, body


def in_chunks(fields, body, size_format=b'%x'):
    pieces = [body[at : at + 17] for at in range(0, len(body), 17)]
    pieces.append(b'')
    chunks = (
        b'%b\r\n%b\r\n' % (size_format % len(piece), piece) for piece in pieces
    )
    return HEAD + fields + b'Transfer-Encoding: chunked\r\n\r\n', b''.join(
        chunks
    )


def in_padded_chunks(fields, body):
    return in_chunks(fields, body, b'%04x')


def unframed(fields, body):
    return HEAD + fields + b'\r\n', body


FRAMINGS = [with_length, in_chunks, in_padded_chunks, unframed]


class Controller:
    """Grants each key once, and repeats what settled it."""

    def __init__(self):
        self.settled = {}

    def call(self, message, timeout_s):
        if isinstance(message, SettleKey):
            self.settled[message.key] = message
            return Ok(Done())
        assert isinstance(message, ClaimKey)
        kept = self.settled.get(message.key)
        if kept is None:
            return Ok(answer_to_claim(Granted()))
        if kept.outcome != 'completed':
            return Ok(answer_to_claim(OutcomeNotKnown()))
        answer = cbor2.dumps([kept.status, kept.content_type, kept.answer])
        return Ok(answer_to_claim(Completed(answer if kept.status else b'')))


class OneServer(Watch):
    """Knows one server."""

    def __init__(self, port):
        self.port = port

    def group(self, kind, name):
        address = ('127.0.0.1', self.port)
        return [ServerInfo('s', 'service', 'x', 'north', *address, 'live', '')]


class Entry:
    """Runs requests as an entry does, at the server that a path names."""

    def __init__(self):
        self.claims = KeyClaims(Controller(), 'holder')

    def __call__(self, environ, start_response):
        _, path, port, key = environ['PATH_INFO'].split('/')
        environ['wsgi.input'].read(len(BODY))
        reply = self.run(path, int(port), key)
        status = HTTPStatus(reply.status)
        start_response(f'{reply.status} {status.phrase}', list(reply.headers))
        return reply.content

    def run(self, path, port, key):
        attempts = Attempts(OneServer(port), RetryBudget())
        now_s = time.monotonic()
        req = CallerRequest(
            'r1', 't', 'POST', '/x', (), BODY, SimpleNamespace(number=1),
            Route('/x', 'service', 'x', 'c', ()),
            key if path == 'keyed' else '', b'', now_s, now_s + 5,
        )  # fmt: skip
        if path != 'engine':
            return ServiceCalls(attempts, self.claims, 'north').run(req)
        engine = Engine(Dispatcher('127.0.0.1', port))
        call = Call('POST', '/x', (), BODY, 5)
        reply = attempts.exchange(
            req,
            's',
            lambda: engine.complete(call),
            (),
            ModelField('l', 'adapter').rename,
        )
        if isinstance(reply, Reply):
            return reply
        history = AttemptHistory()
        return attempts.after_failure(req, reply, history, now_s)


@pytest.fixture(scope='module')
def entry():
    with served(Entry()) as (_, port):
        yield port


@pytest.fixture
def server():
    """Return a function that starts a server with a script of each answer."""
    started = []

    def start(scripts):
        started.append(ScriptedServer(*scripts))
        return started[-1].port

    yield start
    for each in started:
        each.listener.close()


def call_entry(entry, target, version):
    """Return the status and body that seem whole to a caller, or None."""
    head = f'POST /{target} HTTP/{version}\r\nHost: x\r\n'
    head += f'Content-Length: {len(BODY)}\r\nConnection: close\r\n\r\n'
    data = b''
    with closing(socket.create_connection(('127.0.0.1', entry), 5)) as conn:
        conn.sendall(head.encode() + BODY)
        try:
            while piece := conn.recv(65536):
                data += piece
        except ConnectionResetError:
            return None
    codec = h11.Connection(h11.CLIENT)
    codec.send(h11.Request(method='POST', target='/', headers=[('Host', 'x')]))
    codec.send(h11.EndOfMessage())
    codec.receive_data(data)
    codec.receive_data(b'')
    status, body = 0, b''
    try:
        while not isinstance(event := codec.next_event(), h11.EndOfMessage):
            status = getattr(event, 'status_code', status)
            body += bytes(getattr(event, 'data', b''))
    except h11.RemoteProtocolError:
        return None
    return status, body


def whole_answer(kind):
    """Return what a caller gets where nothing is cut."""
    if kind.path != 'engine':
        return OK, kind.body
    return OK, kind.body.replace(b'"model": "l"', b'"model": "adapter"')


@pytest.mark.parametrize('version', ['1.1', '1.0'])
@pytest.mark.parametrize('cut', CUTS.values(), ids=list(CUTS))
@pytest.mark.parametrize('framing', FRAMINGS, ids=lambda each: each.__name__)
@pytest.mark.parametrize('kind', KINDS.values(), ids=list(KINDS))
def test_no_answer_that_was_cut_looks_whole(
    entry, server, kind, framing, cut, version
):
    head, body = framing(kind.fields + cut.fields, kind.body)
    parts = [body[:end] for end in range(0, len(body), cut.step)]
    port = server([['request', head + part, cut.end] for part in parts])
    whole = whole_answer(kind)
    for part in parts:
        target = f'{kind.path}/{port}/{next(keys)}'
        seen = call_entry(entry, target, version)
        assert seen is None or seen[0] != OK or seen == whole, part
        if kind.path == 'keyed':
            again = call_entry(entry, target, version)
            assert again[0] == CONFLICT or again == seen == whole, part


@pytest.mark.parametrize('version', ['1.1', '1.0'])
@pytest.mark.parametrize('framing', FRAMINGS, ids=lambda each: each.__name__)
@pytest.mark.parametrize('kind', KINDS.values(), ids=list(KINDS))
def test_an_answer_is_whole_if_its_bytes_show_it(
    entry, server, kind, framing, version
):
    head, body = framing(kind.fields, kind.body)
    port = server([['request', head + body, 'fin']])
    is_shown = framing is not unframed or STREAM_END_MARK in body
    seen = call_entry(entry, f'{kind.path}/{port}/{next(keys)}', version)
    assert (seen == whole_answer(kind)) is is_shown
    assert is_shown or seen is None or seen[0] != OK


@pytest.mark.parametrize(
    ('length', 'is_kept'),
    [
        (0, True),
        (MAX_KEPT_ANSWER_BYTES, True),
        (MAX_KEPT_ANSWER_BYTES + 1, False),
    ],
)
@pytest.mark.parametrize('framing', FRAMINGS[:-1])
def test_a_repeat_gets_no_empty_answer_for_one_too_long_to_keep(
    entry, server, framing, length, is_kept
):
    body = b'x' * length
    port = server([['request', b''.join(framing(b'', body)), 'fin']])
    target = f'keyed/{port}/{next(keys)}'
    assert call_entry(entry, target, '1.1') == (OK, body)
    status, repeated = call_entry(entry, target, '1.1')
    assert (status, repeated == body) == (
        (OK, True) if is_kept else (CONFLICT, False)
    )
    assert is_kept or b'already_run' in repeated


@pytest.mark.parametrize('field', [b'Content-Encoding', b'content-encoding'])
def test_a_repeat_gets_no_encoded_answer_without_its_encoding(
    entry, server, field
):
    head, body = with_length(field + b': gzip\r\n', PLAIN)
    target = f'keyed/{server([["request", head + body]])}/{next(keys)}'
    assert call_entry(entry, target, '1.1') == (OK, PLAIN)
    status, repeated = call_entry(entry, target, '1.1')
    assert status == CONFLICT
    assert b'already_run' in repeated
