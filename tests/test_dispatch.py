"""The outcome of a call for each point at which its server may fail."""

import contextlib
import queue
import socket
import struct
import threading
import time

import pytest

from emulator.waiting import free_ports, wait_until
from wasabicross.dispatching.dispatch import Call, Dispatcher
from wasabicross.dispatching.errors import (
    AnswerCut,
    NotConnected,
    OutcomeUnknown,
    RequestUnsendable,
)
from wasabicross.dispatching.responses import StreamConnection

SILENCE_S = 10
BIG = b'0123456789' * 20_000
BODY = b'x' * 64
CALL = Call('POST', '/orders', (('X-Request-Id', 'r1'),), BODY, 5)
READ = CALL._replace(method='GET', body=b'', repeatable=True)
HEAD = b'HTTP/1.1 200 OK\r\n'
CHUNKED = HEAD + b'Transfer-Encoding: chunked\r\n\r\n'
COMPLETE = HEAD + b'Content-Length: 5\r\n\r\nwhole'
CONTINUE = b'HTTP/1.1 100 Continue\r\n\r\n'
HINTS = b'HTTP/1.1 103 Early Hints\r\nLink: </x>\r\n\r\n'


class ScriptedServer:
    """Runs one list of steps per connection, the last one for all later ones.

    Steps: ``head`` and ``request`` read, ``begun`` waits for the first byte of a
    request, bytes are sent, ``fin`` and ``rst`` close, ``wait`` waits until the
    test sets ``resume``.
    """

    def __init__(self, *scripts):
        self.listener = socket.create_server(('127.0.0.1', 0))
        self.port = self.listener.getsockname()[1]
        self.scripts = list(scripts)
        self.requests = []
        self.connections = 0
        self.sent = queue.Queue()
        self.resume = threading.Event()
        self.closed_by_peer = threading.Event()
        threading.Thread(target=self.accept, daemon=True).start()

    def accept(self):
        while True:
            try:
                conn, _ = self.listener.accept()
            except OSError:
                return
            script = self.scripts[min(self.connections, len(self.scripts) - 1)]
            self.connections += 1
            threading.Thread(
                target=self.play, args=(conn, script), daemon=True
            ).start()

    def play(self, conn, script):
        for step in script:
            if isinstance(step, bytes):
                conn.sendall(step)
                self.sent.put(step)
            elif step == 'rst':
                linger = struct.pack('ii', 1, 0)
                conn.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, linger)
            elif step == 'wait':
                self.resume.wait(SILENCE_S)
            elif step == 'begun':
                conn.recv(1, socket.MSG_PEEK)
            elif step != 'fin':
                self.read(conn, with_body=step == 'request')
        if script[-1:] not in (['rst'], ['fin']):
            with contextlib.suppress(ConnectionError):
                conn.recv(1)
            self.closed_by_peer.set()
        conn.close()

    def read(self, conn, with_body):
        data = b''
        while b'\r\n\r\n' not in data:
            data += conn.recv(1)
        size = len(BODY) if data.startswith(b'POST') and with_body else 0
        while size:
            size -= len(conn.recv(size))
        self.requests.append(data)


@pytest.fixture
def serve():
    servers = []

    def start(*scripts):
        servers.append(ScriptedServer(*scripts))
        return servers[-1]

    yield start
    for server in servers:
        server.resume.set()
        server.listener.close()


def outcome_of(dispatcher, call=CALL, end_mark=b''):
    """Return the body, or the class of the error."""
    started = dispatcher.start(call)
    if started.is_error():
        return type(started.error)
    started.ok.require_end_mark(end_mark)
    try:
        return started.ok.read()
    except AnswerCut:
        return AnswerCut


@pytest.mark.parametrize('ending', ['fin', 'rst'])
@pytest.mark.parametrize(
    ('steps', 'outcome'),
    [
        (['begun'], OutcomeUnknown),
        (['head'], OutcomeUnknown),
        (['request'], OutcomeUnknown),
        (['request', b'HTTP/1.'], OutcomeUnknown),
        (['request', HEAD + b'Content-Len'], OutcomeUnknown),
        (['request', HEAD], OutcomeUnknown),
        (['request', HEAD[:-1]], OutcomeUnknown),
        (['request', HEAD + b'Content-Length:'], OutcomeUnknown),
        (['request', HEAD + b'Content-Length: 0\r'], OutcomeUnknown),
        (['request', HEAD + b'Content-Length: 0\r\n'], OutcomeUnknown),
        (['request', HEAD + b'Content-Length: 0\r\n\r'], OutcomeUnknown),
        (['request', b'HTTP/1.1 200 OK\nContent-Length: 0\n'], OutcomeUnknown),
        (['request', CONTINUE], OutcomeUnknown),
        (['request', CONTINUE[:-2]], OutcomeUnknown),
        (['request', CONTINUE + HEAD[:-2]], OutcomeUnknown),
        (['request', CONTINUE + HEAD], OutcomeUnknown),
        (['request', HINTS], OutcomeUnknown),
        (['request', HINTS[:-2]], OutcomeUnknown),
        (['request', HINTS + HEAD], OutcomeUnknown),
        (['request', HINTS * 20 + COMPLETE], OutcomeUnknown),
        (['request', b'HTTP/1.1 101 S\r\n\r\n' + COMPLETE], OutcomeUnknown),
        (['request', HEAD + b'Content-Length: 1\r\n\r\n'], AnswerCut),
        (['request', b'HTTP/1.1 503 X\r\nRetry-After: 1\r\n'], OutcomeUnknown),
        (['request', HEAD + b'\r\n'], AnswerCut),
        (['request', HEAD + b'\r\nno framing'], AnswerCut),
        (['request', COMPLETE[:-5]], AnswerCut),
        (['request', COMPLETE[:-1]], AnswerCut),
        (['request', CHUNKED], AnswerCut),
        (['request', CHUNKED + b'5\r\nwh'], AnswerCut),
        (['request', CHUNKED + b'5\r\nwhole\r\n'], AnswerCut),
        (['request', CHUNKED + b'5\r\nwhole\r\n', b'3'], AnswerCut),
    ],
)
def test_each_point_of_death_has_its_outcome(serve, steps, ending, outcome):
    server = serve([*steps, ending])
    assert outcome_of(Dispatcher('127.0.0.1', server.port)) is outcome
    assert server.connections == 1


@pytest.mark.parametrize('ending', ['fin', 'rst'])
def test_a_connection_that_ends_as_it_is_made(serve, monkeypatch, ending):
    """A reset may come before connecting is done, and nothing is sent then."""
    connected = []
    connect = StreamConnection.connect

    def spy(conn):
        connect(conn)
        connected.append(conn)

    monkeypatch.setattr(StreamConnection, 'connect', spy)
    server = serve([ending])
    outcome = outcome_of(Dispatcher('127.0.0.1', server.port))
    assert outcome is (OutcomeUnknown if connected else NotConnected)
    assert connected or ending == 'rst'


@pytest.mark.parametrize('error', [ConnectionResetError, TimeoutError])
def test_nothing_is_sent_without_a_connection(serve, monkeypatch, error):
    def fail(conn):
        raise error('as it was made')

    monkeypatch.setattr(StreamConnection, 'connect', fail)
    server = serve(['request', COMPLETE])
    assert outcome_of(Dispatcher('127.0.0.1', server.port)) is NotConnected
    assert not server.requests


@pytest.mark.parametrize(
    ('answer', 'end_mark', 'outcome'),
    [
        (COMPLETE, b'', b'whole'),
        (COMPLETE, b'ole', b'whole'),
        (COMPLETE, b'mark', AnswerCut),
        (CHUNKED + b'2\r\nwh\r\n3;ext\r\nole\r\n0\r\n\r\n', b'hole', b'whole'),
        (CHUNKED + b'5\r\nwhole\r\n0\r\n\r\n', b'mark', AnswerCut),
        (CHUNKED + b'-5\r\nwhole\r\n0\r\n\r\n', b'', AnswerCut),
        (CHUNKED + b'five\r\nwhole\r\n0\r\n\r\n', b'', AnswerCut),
        (CHUNKED + b'%x\r\n%b\r\n0\r\n\r\n' % (len(BIG), BIG), b'', BIG),
        (HEAD + b'Content-Length: %d\r\n\r\n%b' % (len(BIG), BIG), b'', BIG),
        (HEAD + b'Content-Length: 0\r\n\r\n', b'', b''),
        (CONTINUE + COMPLETE, b'', b'whole'),
        (HINTS + COMPLETE, b'', b'whole'),
        (CONTINUE + HINTS + COMPLETE, b'', b'whole'),
        (b'HTTP/1.1 204 No Content\r\n\r\n', b'', b''),
        (
            b'HTTP/1.1 302 F\r\nLocation: /\r\nContent-Length: 0\r\n\r\n',
            b'',
            b'',
        ),
    ],
)
def test_whole_answers(serve, answer, end_mark, outcome):
    server = serve(['request', answer])
    dispatcher = Dispatcher('127.0.0.1', server.port)
    assert outcome_of(dispatcher, end_mark=end_mark) == outcome
    assert len(server.requests) == 1


@pytest.mark.parametrize(
    ('call', 'outcome'),
    [
        (CALL._replace(deadline_s=0), NotConnected),
        (CALL._replace(path='/a b'), RequestUnsendable),
        (CALL._replace(path='/ä'), RequestUnsendable),
        (CALL._replace(headers=(('X-A', 'b\r\nC: d'),)), RequestUnsendable),
        (CALL._replace(method='GET /\r\n'), RequestUnsendable),
    ],
)
def test_nothing_is_sent_of_a_call_that_is_not_run(serve, call, outcome):
    server = serve(['request'])
    assert outcome_of(Dispatcher('127.0.0.1', server.port), call) is outcome
    assert not server.requests


def test_nobody_listening_is_not_run():
    dispatcher = Dispatcher('127.0.0.1', *free_ports(1))
    assert outcome_of(dispatcher) is NotConnected


@pytest.mark.parametrize(
    ('steps', 'idle_s', 'deadline_s', 'outcome'),
    [
        (['request', 'wait'], 60, 0.1, OutcomeUnknown),
        (['request', CHUNKED + b'5\r\nwhole\r\n', 'wait'], 60, 0.8, AnswerCut),
        (['request', CHUNKED + b'5\r\nwhole\r\n', 'wait'], 0.2, 60, AnswerCut),
    ],
)
def test_silence_ends_a_call(serve, steps, idle_s, deadline_s, outcome):
    server = serve(steps)
    dispatcher = Dispatcher('127.0.0.1', server.port, idle_timeout_s=idle_s)
    call = CALL._replace(deadline_s=deadline_s)
    started_s = time.monotonic()
    assert outcome_of(dispatcher, call) is outcome
    assert time.monotonic() - started_s < SILENCE_S / 2


@pytest.mark.parametrize(
    ('first', 'call', 'outcome', 'connections'),
    [
        (['request', COMPLETE, 'request', COMPLETE], READ, b'whole', 1),
        (['request', COMPLETE, 'request', COMPLETE], CALL, b'whole', 2),
        (['request', COMPLETE, 'request', 'rst'], READ, OutcomeUnknown, 1),
        (['request', COMPLETE, 'request', 'rst'], CALL, b'whole', 2),
        (['request', COMPLETE + b'late bytes'], READ, b'whole', 2),
        (['request', CHUNKED + b'0\r\n\r\nlate'], READ, b'whole', 2),
        (['request', COMPLETE, 'fin'], READ, b'whole', 2),
    ],
)
def test_reuse_of_connections(serve, first, call, outcome, connections):
    server = serve(first, ['request', COMPLETE])
    dispatcher = Dispatcher('127.0.0.1', server.port)
    outcome_of(dispatcher, READ)
    if first[-1] == 'fin':
        idle = dispatcher._idle[0]
        wait_until(lambda: not idle.is_connected, 5)
    assert outcome_of(dispatcher, call) == outcome
    assert server.connections == connections


@pytest.mark.parametrize(
    'leave',
    [
        lambda answer, pieces: pieces.close(),
        lambda answer, pieces: answer.cancel(),
    ],
)
@pytest.mark.parametrize('part', [CHUNKED + b'5\r\nwhole\r\n', COMPLETE[:-1]])
@pytest.mark.parametrize('started', [False, True])
def test_left_answer_closes_its_connection(serve, leave, started, part):
    server = serve(['request', part])
    dispatcher = Dispatcher('127.0.0.1', server.port)
    answer = dispatcher.start(READ).ok
    pieces = answer.chunks()
    if started:
        next(pieces)
    leave(answer, pieces)
    if not started:
        answer.cancel()
    assert server.closed_by_peer.wait(5)
    assert not dispatcher._idle


def test_ended_answer_leaves_its_connection_to_others(serve):
    second_answer = [COMPLETE[:-5], 'wait', b'whole']
    server = serve(['request', COMPLETE, 'request', *second_answer])
    dispatcher = Dispatcher('127.0.0.1', server.port)
    ended = dispatcher.start(READ).ok
    assert ended.read() == b'whole'
    second = dispatcher.start(READ).ok
    ended.cancel()
    server.resume.set()
    with pytest.raises(AnswerCut):
        ended.read()
    assert second.read() == b'whole'
    assert (server.connections, len(dispatcher._idle)) == (1, 1)


def test_cancel_wakes_the_reader(serve):
    server = serve(['request', CHUNKED + b'5\r\nwhole\r\n'])
    answer = Dispatcher('127.0.0.1', server.port).start(CALL).ok
    pieces = answer.chunks()
    next(pieces)
    threading.Timer(0.05, answer.cancel).start()
    with pytest.raises(AnswerCut):
        next(pieces)


def test_pieces_that_came_meanwhile_are_joined(serve):
    pieces = [b'%x\r\n%b\r\n' % (size, b'p' * size) for size in range(1, 9)]
    server = serve(
        ['request', CHUNKED + pieces[0], 'wait', b''.join(pieces[1:])]
        + [b'4\r\nla', b'st\r\n0\r\n\r\n']
    )
    answer = Dispatcher('127.0.0.1', server.port).start(CALL).ok
    received = answer.chunks()
    assert next(received) == b'p'
    server.resume.set()
    for _ in range(4):
        server.sent.get(timeout=5)
    assert next(received) == b'p' * sum(range(2, 9)) + b'last'
    assert not list(received)


@pytest.mark.parametrize('size', [1, 2, 3, 7])
def test_answer_in_small_segments(serve, size):
    chunks = b''.join(b'%x\r\n%b\r\n' % (n, b'p' * n) for n in range(1, 20))
    answer = CHUNKED + chunks + b'0\r\n\r\n'
    segments = [answer[at : at + size] for at in range(0, len(answer), size)]
    server = serve(['request', *segments])
    dispatcher = Dispatcher('127.0.0.1', server.port)
    assert outcome_of(dispatcher) == b'p' * sum(range(20))


def test_fields_about_the_connection_are_not_passed_on(serve):
    server = serve(['request', COMPLETE])
    fields = (
        ('Transfer-Encoding', 'chunked'),
        ('Content-Length', '1'),
        ('Connection', 'close'),
        ('X-Kept', 'a'),
        ('X-Kept', 'b'),
    )
    dispatcher = Dispatcher('127.0.0.1', server.port)
    answer = dispatcher.start(CALL._replace(headers=fields)).ok
    assert answer.headers == ()
    head = server.requests[0].lower()
    assert b'content-length: 64' in head
    assert b'transfer-encoding' not in head
    assert head.count(b'x-kept') == 2
