"""Slow callers delay no other caller, and idle connections stay open."""

import socket
from contextlib import suppress

import pytest
from http_parts import read_to_end, served

GET = b'GET / HTTP/1.1\r\nHost: x\r\n\r\n'
POST = b'POST / HTTP/1.1\r\nHost: x\r\nContent-Length: %d\r\n'
LAST = GET.replace(b'\r\n\r\n', b'\r\nConnection: close\r\n\r\n')
SLOW_CONNECTIONS = 20


def application(environ, start_response):
    environ['wsgi.input'].read(int(environ.get('CONTENT_LENGTH') or 0))
    start_response('200 OK', [('Content-Length', '2')])
    return [b'ok']


@pytest.fixture(params=[60, 0.5], ids='within {} s'.format)
def address(request):
    with served(application, timeout_s=request.param) as bound:
        yield bound


def connect(address):
    return socket.create_connection(address, 10)


def answer_to(conn, sent=GET):
    conn.sendall(sent)
    answer = b''
    while not answer.endswith(b'\r\n\r\nok'):
        piece = conn.recv(65536)
        assert piece, answer
        answer += piece
    return answer


@pytest.mark.parametrize('address', [60], indirect=True)
@pytest.mark.parametrize(
    'begun',
    [
        b'',
        b'\r\n',
        b'G',
        GET[:-2],
        GET[:20],
        GET + GET[:20],
        POST % 9 + b'\r\n',
        POST % 30_000 + b'\r\n' + b'a' * 29_000,
        POST.lower().replace(b'post', b'POST') % 9 + b'X: y\r\n\r\nabc',
        POST % 3 + b'\r\nabc' + POST % 3 + b'\r\nab',
    ],
    ids=[
        'nothing',
        'line end',
        'byte',
        'head',
        'field',
        'second',
        'no body',
        'body',
        'small letters',
        'second body',
    ],
)
def test_slow_requests_hold_up_nobody(address, begun):
    slow = [connect(address) for _ in range(SLOW_CONNECTIONS)]
    for conn in slow:
        conn.sendall(begun)
    with connect(address) as other:
        for _ in range(3):
            assert answer_to(other).startswith(b'HTTP/1.1 200 OK')
    for conn in slow:
        conn.close()


@pytest.mark.parametrize('address', [60], indirect=True)
def test_head_in_many_pieces(address):
    with connect(address) as conn:
        conn.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        for at in range(len(LAST)):
            conn.sendall(LAST[at : at + 1])
        assert read_to_end(conn).endswith(b'\r\n\r\nok')


@pytest.mark.parametrize('address', [60], indirect=True)
@pytest.mark.parametrize('sent', [b'garbage\r\n', b'\x00\xff\n'])
def test_what_is_no_head_is_refused_at_once(address, sent):
    with connect(address) as conn:
        conn.sendall(sent)
        assert b' 400 ' in conn.recv(65536)


@pytest.mark.parametrize('address', [60], indirect=True)
def test_too_long_head_is_refused_at_once(address):
    """Accept a reset too: bytes sent after the refusal may cause one."""
    with connect(address) as conn:
        try:
            conn.sendall(GET[:-2] + b'X: ' + b'y' * 200_000)
            answer = conn.recv(65536)
        except ConnectionError:
            return
    assert b' 413 ' in answer


@pytest.mark.parametrize('address', [0.5], indirect=True)
@pytest.mark.parametrize(
    ('begun', 'status_line'),
    [(b'', b''), (GET[:20], b'HTTP/1.1 408 Request Timeout')],
)
def test_late_head_ends_its_connection(address, begun, status_line):
    with connect(address) as conn:
        conn.sendall(begun)
        answer = read_to_end(conn)
    assert answer.partition(b'\r\n')[0] == status_line


@pytest.mark.parametrize('address', [0.5], indirect=True)
def test_idle_connection_outlives_the_wait_for_a_head(address):
    with connect(address) as idle, connect(address) as late:
        answer_to(idle)
        late.sendall(GET[:20])
        assert b' 408 ' in read_to_end(late)
        assert answer_to(idle).startswith(b'HTTP/1.1 200 OK')


@pytest.mark.parametrize('address', [60], indirect=True)
@pytest.mark.parametrize('length', [0, 9, 32_700, 99_999, 300_000])
def test_bodies_of_all_lengths(address, length):
    with connect(address) as conn:
        for _ in range(2):
            sent = POST % length + b'\r\n' + b'a' * length
            assert answer_to(conn, sent).startswith(b'HTTP/1.1 200 OK')


@pytest.mark.parametrize('address', [60], indirect=True)
def test_sender_that_waits_for_leave(address):
    with connect(address) as conn:
        conn.sendall(POST % 3 + b'Expect: 100-continue\r\n\r\n')
        assert conn.recv(65536).startswith(b'HTTP/1.1 100 Continue')
        assert answer_to(conn, b'abc').startswith(b'HTTP/1.1 200 OK')


@pytest.mark.parametrize('address', [0.5], indirect=True)
@pytest.mark.parametrize('length', [9, 300_000])
def test_body_that_never_ends(address, length):
    """Each byte arrives in time, but the whole body takes too long."""
    with connect(address) as conn:
        conn.sendall(POST % length + b'\r\n')
        conn.settimeout(0.1)
        answer = b''
        while not answer:
            conn.sendall(b'a')
            with suppress(TimeoutError):
                answer = conn.recv(65536)
        assert answer.startswith(b'HTTP/1.1 408 ')
