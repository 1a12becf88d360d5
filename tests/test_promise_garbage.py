"""Bad input on any port neither ends a program nor affects other callers."""

import json
import random
import socket
from contextlib import ExitStack, suppress

import cbor2
import pytest
import urllib3
from caller_parts import (
    ADAPTERS,
    COMPLETIONS,
    Traffic,
    any_adapter,
    check_answers,
    exchange,
    model_document,
)
from promise_parts import Trial, small_shape
from websockets.exceptions import WebSocketException
from websockets.sync.client import connect

from emulator.deployment import HOST, PEER_TOKEN, TENANT_TOKEN
from wasabicross.messaging import messages as msg

SEED = 20261209
SLOW_CALLERS = 130  # more connections than an entry has threads
RNG = random.Random(SEED)
AUTHORISED = f'Authorization: Bearer {TENANT_TOKEN}\r\n'


@pytest.fixture(scope='module')
def trial(runner, tmp_path_factory):
    shape = small_shape(data_centres=('north',), services=1, admins=True)
    started = Trial(runner, tmp_path_factory.mktemp('cfg'), shape).start()
    started.wait_in_force(1)
    return started


@pytest.fixture(scope='module')
def traffic(trial):
    with Traffic(trial, 3, any_adapter, SEED) as module_traffic:
        yield module_traffic
    completed = check_answers(trial, module_traffic.answers)
    assert len(completed) == len(module_traffic.answers)


@pytest.fixture
def harmless(trial, traffic):
    """Check that all programs keep running and other callers are answered."""
    pids = [trial.runner.pid(name) for name in trial.runner.running()]
    yield
    traffic.wait_for(3)
    assert pids == [trial.runner.pid(name) for name in trial.runner.running()]


def hello(**changes):
    fields = msg.Hello(
        'controller', 'stranger', 'stranger', 'north', PEER_TOKEN, [], [], []
    )
    return fields._replace(**changes)


def encoded_frame(message, kind=msg.REQUEST):
    return msg.encode(msg.Envelope(kind, 1, message))


OPENINGS = {
    'random bytes': [RNG.randbytes(200)],
    'text': ['hello'],
    'empty': [b''],
    'not an envelope': [cbor2.dumps({'a': 1})],
    'unknown code': [cbor2.dumps([1, 1, 9999, []])],
    'negative code': [cbor2.dumps([1, 1, -1, []])],
    'wrong token': [encoded_frame(hello(token='x' * 20))],
    'no hello': [encoded_frame(msg.GetStatus())],
    'unknown kind': [encoded_frame(hello(kind='nothing'))],
    'wrong fields': [cbor2.dumps([1, 1, 0, [1, 2, 3]])],
    'deep nesting': [b'\x81' * 100_000],
    'too large': [b'\x00' * (5 * 1024 * 1024)],
    'garbage after hello': [
        encoded_frame(hello(kind='admin')),
        RNG.randbytes(500),
    ],
    'orders of a stranger': [
        encoded_frame(hello(kind='admin')),
        encoded_frame(msg.LoadDrained('no such load'), msg.ONE_WAY),
        encoded_frame(
            msg.LoadUses('', [msg.LoadUse('x', -1, -1)]), msg.ONE_WAY
        ),
        encoded_frame(msg.GetChunk('0' * 64)),
    ],
}


@pytest.mark.parametrize('frames', OPENINGS.values(), ids=OPENINGS.keys())
def test_link_port(trial, harmless, frames):
    controller = trial.dep.controllers[0]
    address = f'ws://{HOST}:{controller.port}'
    with connect(address, compression=None, proxy=None) as conn:
        try:
            for frame in frames:
                conn.send(frame)
                conn.recv(0.3)
        except (WebSocketException, OSError, TimeoutError):
            return


@pytest.mark.parametrize('token', ['', 'x' * 20, TENANT_TOKEN])
def test_link_needs_the_peer_token(trial, harmless, token):
    address = f'ws://{HOST}:{trial.dep.controllers[0].port}'
    with connect(address, compression=None, proxy=None) as conn:
        conn.send(encoded_frame(hello(token=token)))
        answer = msg.decode(conn.recv(5)).ok.message
    assert isinstance(answer, msg.Refusal)


RAW = {
    'random bytes': RNG.randbytes(400),
    'no request': b'',
    'half a head': b'POST /v1/chat/completions HTTP/1.1\r\nHost: x\r\nAu',
    'huge header': b'GET / HTTP/1.1\r\nX: ' + b'y' * 200_000 + b'\r\n\r\n',
    'negative length': (
        f'POST /orders HTTP/1.1\r\nHost: x\r\n{AUTHORISED}'
        'Content-Length: -5\r\n\r\n'
    ).encode(),
    'bad length': (
        f'POST /orders HTTP/1.1\r\nHost: x\r\n{AUTHORISED}'
        'Content-Length: many\r\n\r\n'
    ).encode(),
    'bad chunk': (
        f'POST /orders HTTP/1.1\r\nHost: x\r\n{AUTHORISED}'
        'Transfer-Encoding: chunked\r\n\r\nzz\r\n{}\r\n'
    ).encode(),
    'cut chunk': (
        f'POST /orders HTTP/1.1\r\nHost: x\r\n{AUTHORISED}'
        'Transfer-Encoding: chunked\r\n\r\n20\r\n{"order"'
    ).encode(),
}


PORTS = [
    ('entries', 'port'),
    ('controllers', 'port'),
    ('admins', 'port'),
    ('entries', 'metrics_port'),
    ('controllers', 'metrics_port'),
    ('admins', 'metrics_port'),
]


def dial(trial, program, port):
    place = getattr(trial.dep, program)[0]
    return socket.create_connection((HOST, getattr(place, port)), 5)


def half_close(sock):
    """Close the sending side, unless a program that refused has closed it."""
    with suppress(OSError):
        sock.shutdown(socket.SHUT_WR)


def is_answered(trial, program):
    """Tell whether a program answers on its metrics port."""
    place = getattr(trial.dep, program)[0]
    url = f'http://{HOST}:{place.metrics_port}/healthz'
    return urllib3.request('GET', url, timeout=5, retries=False).status == 200


@pytest.mark.parametrize(('program', 'port'), PORTS)
@pytest.mark.parametrize('raw', RAW.values(), ids=RAW.keys())
def test_raw_bytes(trial, harmless, raw, program, port):
    before = len(trial.log(trial.dep.services[0])['log'])
    with dial(trial, program, port) as sock:
        sock.settimeout(12)
        try:
            sock.sendall(raw)
            half_close(sock)
            answer = sock.recv(65536)
        except ConnectionError:
            answer = b''
    assert not answer.startswith(b'HTTP/1.1 200')
    assert len(trial.log(trial.dep.services[0])['log']) == before


@pytest.mark.parametrize(('program', 'port'), PORTS)
@pytest.mark.parametrize(
    'sent',
    [
        b'',
        b'GET / HTTP/1.1\r\nHost: x\r\nAu',
        f'POST /orders HTTP/1.1\r\nHost: x\r\n{AUTHORISED}'
        'Content-Length: 900\r\n\r\n{"order"'.encode(),
    ],
    ids=['nothing', 'headers', 'body'],
)
def test_slow_requests(trial, traffic, harmless, sent, program, port):
    """Many callers that never complete their requests delay no other caller."""
    with ExitStack() as stack:
        for _ in range(SLOW_CALLERS):
            slow = stack.enter_context(dial(trial, program, port))
            slow.sendall(sent)
        traffic.wait_for(3)
        assert is_answered(trial, program)


DOCUMENTS = {
    'no object': [],
    'number': 7,
    'no model': {},
    'model is no name': {'model': {'a': 1}},
    'unknown model': {'model': 'nobody'},
    'other load': {'model': f'{ADAPTERS[0]}@1#north-engine-0:1:1'},
    'deep': json.loads('[' * 500 + ']' * 500),
}


@pytest.mark.parametrize('document', DOCUMENTS.values(), ids=DOCUMENTS.keys())
def test_documents(trial, harmless, document):
    answer = exchange(trial.dep.entries[0], document, 'bad-input')
    assert 400 <= answer.status < 500
    assert answer.outcome == 'not-run'


CHUNKS = (b'x' * 65_536 for _ in range(17))
KNOWN = json.dumps(model_document(ADAPTERS[0])).encode()
UNKNOWN = json.dumps(model_document('nobody')).encode()


@pytest.mark.parametrize(
    ('method', 'path', 'body', 'token', 'status', 'code'),
    [
        ('POST', COMPLETIONS, b'{"model": ', TENANT_TOKEN, 400, 'bad_json'),
        ('POST', COMPLETIONS, b'\xff\xfe', TENANT_TOKEN, 400, 'bad_json'),
        ('POST', COMPLETIONS, b'[]', TENANT_TOKEN, 400, 'bad_json'),
        ('POST', COMPLETIONS, KNOWN, 'x' * 20, 401, 'unauthorised'),
        ('POST', COMPLETIONS, UNKNOWN, TENANT_TOKEN, 404, 'unknown_adapter'),
        ('POST', '/nowhere', KNOWN, TENANT_TOKEN, 404, 'no_route'),
        ('GET', COMPLETIONS, b'', TENANT_TOKEN, 405, 'bad_method'),
        ('DELETE', COMPLETIONS, KNOWN, TENANT_TOKEN, 405, 'bad_method'),
        ('POST', COMPLETIONS, b'x' * 1_048_577, TENANT_TOKEN, 413, 'too_large'),
        ('POST', '/orders', b'x' * 1_048_577, TENANT_TOKEN, 413, 'too_large'),
        ('POST', '/orders', CHUNKS, TENANT_TOKEN, 413, 'too_large'),
    ],
)
def test_codes(trial, harmless, method, path, body, token, status, code):
    before = len(trial.log(trial.dep.services[0])['log'])
    answer = urllib3.request(
        method,
        trial.dep.entries[0].url + path,
        body=body,
        headers={'Authorization': f'Bearer {token}'},
        retries=False,
    )
    assert (answer.status, answer.json()['error']['code']) == (status, code)
    assert answer.headers['X-Wasabicross-Outcome'] == 'not-run'
    assert len(trial.log(trial.dep.services[0])['log']) == before


def test_body_that_breaks_off(trial, harmless):
    head = f'POST /orders HTTP/1.1\r\nHost: x\r\n{AUTHORISED}'
    before = len(trial.log(trial.dep.services[0])['log'])
    with dial(trial, 'entries', 'port') as sock:
        sock.sendall(f'{head}Content-Length: 9\r\n\r\n{{"a'.encode())
        half_close(sock)
        answer = b''.join(iter(lambda: sock.recv(65536), b''))
    assert b'"body_cut"' in answer
    assert len(trial.log(trial.dep.services[0])['log']) == before


@pytest.mark.parametrize(
    ('headers', 'status'),
    [
        ({'Authorization': 'Bearer wrong'}, 401),
        ({'Authorization': 'Basic abc'}, 401),
        ({'X-Request-Timeout-Ms': '-1'}, 200),
        ({'X-Request-Timeout-Ms': '9' * 400}, 200),
        ({'X-Request-Timeout-Ms': '²'}, 200),
        ({'X-Request-Id': 'x' * 5000}, 200),
        ({'Idempotency-Key': '\x7f'}, 200),
    ],
)
def test_headers(trial, harmless, headers, status):
    encoded = {name: text.encode('latin-1') for name, text in headers.items()}
    document = model_document(ADAPTERS[0])
    answer = exchange(trial.dep.entries[0], document, 'odd', headers=encoded)
    assert answer.status == status
