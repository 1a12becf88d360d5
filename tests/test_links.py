"""Links: calls, refusals, malformed input, and what closes a link."""

import socket
import threading

import pytest

from wasabicross.messaging.errors import LinkClosed, LinkRefused, LinkTimeout
from wasabicross.messaging.links import dial, listen
from wasabicross.messaging.messages import (
    Done,
    Envelope,
    GetChunk,
    GetStatus,
    Goodbye,
    Hello,
    Refusal,
    Renew,
    Running,
    Welcome,
    decode,
    encode,
)

HELLO = Hello('entry', 'a', 'i', 'north', 'good', [Running('x', 1)], [], [])


class PeerHandler:
    """Answers renewals, refuses chunks, never answers status requests."""

    def on_message(self, link, message, call_id):
        if isinstance(message, Renew):
            link.reply(call_id, Done())
        elif isinstance(message, GetChunk):
            link.reply(call_id, Refusal('not_held', ''))
        elif isinstance(message, Goodbye):
            link.close()


@pytest.fixture
def port():
    def accept(link):
        good = link.peer.token == 'good'
        return Welcome('i') if good else Refusal('not_allowed', '')

    server = listen(
        '127.0.0.1', 0, accept, lambda link: link.run(PeerHandler())
    )
    thread = threading.Thread(target=server.serve_forever)
    thread.start()
    yield server.socket.getsockname()[1]
    server.shutdown()
    thread.join()


@pytest.fixture
def link(port):
    opened = dial('127.0.0.1', port, HELLO).ok
    thread = threading.Thread(target=opened.run, args=(PeerHandler(),))
    thread.start()
    yield opened
    opened.close()
    thread.join()


@pytest.mark.parametrize(
    ('question', 'error'),
    [
        (Renew(1, '', ''), None),
        (GetChunk('d'), LinkRefused),
        (GetStatus(), LinkTimeout),
    ],
)
def test_call(link, question, error):
    answer = link.call(question, 0.2)
    if error is None:
        assert answer.ok == Done()
    else:
        assert isinstance(answer.error, error)


def test_wrong_token_is_not_let_in(port):
    refused = dial('127.0.0.1', port, HELLO._replace(token='bad'))
    assert isinstance(refused.error, LinkRefused)


@pytest.mark.parametrize(
    ('kind', 'is_kept'), [('controller', False), ('entry', True)]
)
def test_only_controllers_must_speak(kind, is_kept):
    silence_s = {'controller': 0.1, 'entry': None}
    ended = threading.Event()

    def serve(link):
        link.run(PeerHandler(), silence_s[link.peer.kind])
        ended.set()

    server = listen('127.0.0.1', 0, lambda link: Welcome('i'), serve)
    threading.Thread(target=server.serve_forever).start()
    hello = HELLO._replace(kind=kind)
    opened = dial('127.0.0.1', server.socket.getsockname()[1], hello).ok
    threading.Thread(target=opened.run, args=(PeerHandler(),)).start()
    try:
        assert ended.wait(1) is not is_kept
        if is_kept:
            assert opened.call(Renew(1, '', ''), 5).ok == Done()
    finally:
        opened.close()
        server.shutdown()


def test_end_of_link_answers_waiting_calls(link):
    answers = []
    waiting = threading.Thread(
        target=lambda: answers.append(link.call(GetStatus(), 5))
    )
    waiting.start()
    link.send(Goodbye())
    waiting.join(5)
    assert isinstance(answers[0].error, LinkClosed)


def test_call_on_closed_link_fails_at_once(link):
    link.close()
    assert isinstance(link.call(Renew(1, '', ''), 5).error, LinkClosed)


@pytest.mark.parametrize(
    'garbage',
    [b'garbage\r\n\r\n', b'GET / HTTP/1.1\r\n\r\n', bytes(64), b'\xff' * 4096],
)
def test_garbage_harms_no_other_link(port, link, garbage):
    with socket.create_connection(('127.0.0.1', port), 2) as intruder:
        intruder.sendall(garbage)
        assert link.call(Renew(1, '', ''), 2).ok == Done()


@pytest.mark.parametrize(
    'frame',
    [
        'text',
        b'',
        b'\xff',
        b'\x80',
        b'\x84\x00\x00\x19\xff\xff\x80',
        encode(Envelope(0, 0, Goodbye()))[:-1],
        encode(Envelope(7, 0, Goodbye())),
    ],
)
def test_malformed_frames_are_told(frame):
    assert decode(frame).is_error()


def test_message_survives_the_wire():
    envelope = Envelope(1, 7, HELLO)
    assert decode(encode(envelope)).ok == envelope
