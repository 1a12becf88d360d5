"""Requests on one connection: no part of a body is read as a new request."""

import socket

import pytest
from http_parts import read_to_end, served

HEAD = b'POST / HTTP/1.1\r\nHost: x\r\n'
SECOND = b'GET /second HTTP/1.1\r\nHost: x\r\n\r\n'
CHUNKED = HEAD + b'Transfer-Encoding: chunked\r\n'
SIZE = f'{len(SECOND):x}'.encode()
LONG_BYTES = 3_000_000


class Application:
    """Reads at most the given bytes of each body, and records the path."""

    def __init__(self, reads_bytes):
        self._reads_bytes = reads_bytes
        self.paths = []

    def __call__(self, environ, start_response):
        environ['wsgi.input'].read(self._reads_bytes)
        self.paths.append(environ['PATH_INFO'])
        headers = [('Content-Length', '2')]
        if environ['PATH_INFO'] == '/last':
            headers.append(('Connection', 'close'))
        start_response('200 OK', headers)
        return [b'ok']


@pytest.fixture(params=[0, 1, 100], ids='reads {}'.format)
def application(request):
    return Application(request.param)


@pytest.fixture
def address(application):
    with served(application) as bound:
        yield bound


def answer_to(address, sent):
    """Send bytes on one connection; return all bytes received."""
    with socket.create_connection(address, 5) as conn:
        conn.sendall(sent)
        return read_to_end(conn)


@pytest.mark.parametrize(
    'first',
    [
        CHUNKED + b'\r\n' + SIZE + b'\r\n' + SECOND + b'\r\n0\r\n\r\n',
        CHUNKED + b'\r\n1\r\na\r\n0\r\nX: ' + SECOND + b'\r\n',
        CHUNKED + b'Content-Length: 1\r\n\r\n0\r\n\r\n',
        HEAD.replace(b'1.1', b'1.0')
        + b'Connection: Keep-Alive\r\nTransfer-Encoding: chunked\r\n\r\n'
        + SIZE
        + b'\r\n'
        + SECOND,
        HEAD.replace(b'/ ', b'/last ') + b'\r\n',
    ],
    ids=['body', 'trailers', 'two lengths', 'old version', 'said by answer'],
)
def test_connection_ends_with_answer(address, application, first):
    answer = answer_to(address, first + SECOND)
    assert answer.count(b'HTTP/1.') == 1
    assert len(application.paths) == 1


def test_short_body_keeps_connection(address, application):
    body = b'Content-Length: %d\r\n\r\n' % len(SECOND)
    last = SECOND.replace(b'second', b'last')
    answer = answer_to(address, HEAD + body + SECOND + last)
    assert answer.count(b'200 OK') == 2
    assert application.paths == ['/', '/last']


def test_sender_of_long_body_reads_answer(address, application):
    head = HEAD + b'Content-Length: %d\r\n\r\n' % LONG_BYTES
    answer = answer_to(address, head + b'a' * LONG_BYTES)
    assert b'200 OK' in answer
    assert b'Connection: close' in answer


@pytest.mark.parametrize('length', [b'-5', b'1_0', b'+1', b'two', b''])
def test_bad_length(address, application, length):
    answer = answer_to(
        address, HEAD + b'Content-Length: ' + length + b'\r\n\r\n'
    )
    assert b' 400 ' in answer
    assert application.paths == []
