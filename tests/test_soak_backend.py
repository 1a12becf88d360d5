"""Servers of the soak send unframed answers, and end them when they are killed."""

import base64
import json
import socket
import time
from contextlib import closing
from typing import NamedTuple

import pytest

from emulator.fleet import Program, Runner
from emulator.proxy_link import Link
from emulator.soak.answer_parts import (
    event,
    gets_unframed_answer,
    software_in,
)
from emulator.soak.engine_adapters import MODEL
from emulator.waiting import free_ports, wait_until

UNFRAMED, FRAMED = (
    next(
        request_id
        for request_id in map(str, range(100))
        if gets_unframed_answer(request_id) is is_unframed
    )
    for is_unframed in (True, False)
)
ADAPTER = f'{MODEL}/a1'
EVENTS = 30

#: Longest time until a late order is executed.
LATE_ORDER_S = 2.5

LAST_CHUNK = b'0\r\n\r\n'


class Server(NamedTuple):
    """A server of the soak.

    :param slots: adapters that it may hold, 0 for a plain server.
    """

    runner: Runner
    port: int
    slots: int
    store_port: int


@pytest.fixture(params=[0, 4], ids=['plain', 'engine'])
def server(request, tmp_path):
    port, store_port = free_ports(2)
    options = {
        'port': port,
        'server-id': 's',
        'service': 'x',
        'address': f'127.0.0.1:{port}',
        'data-centre': 'north',
        'store-port': store_port,
        'adapter-slots': request.param,
    }
    args = [text for name in options for text in (f'--{name}', options[name])]
    with Runner(tmp_path) as runner:
        runner.run(
            program('store', ('--port', store_port), store_port),
            program('backend', args, port),
        )
        load_adapter(port, request.param)
        yield Server(runner, port, request.param, store_port)


@pytest.fixture
def link(server):
    """The port of a proxy in front of the server."""
    proxy = Link(0, ('127.0.0.1', server.port))
    yield proxy.listen
    proxy.close()


def program(name, args, port):
    ready = f'tcp://127.0.0.1:{port}'
    return Program(name, f'emulator.soak.{name}', tuple(map(str, args)), ready)


def load_adapter(port, slots):
    order = {'op': 'load', 'adapter': 'a1', 'expected': 0}
    if slots:
        fetch(
            port, '/-/order', json.dumps({**order, 'holder': 'g', 'fence': 1})
        )
        wait_until(lambda: ask_report(port)['seq'] == 2, 5, 'adapter loaded')


def ask_report(port):
    return json.loads(fetch(port, '/-/report')[1])


def send(port, path, body='', **fields):
    """Send a request and return its connection."""
    conn = socket.create_connection(('127.0.0.1', port), 5)
    lines = [f'POST {path} HTTP/1.1', f'Content-Length: {len(body)}']
    lines += [f'{name.replace("_", "-")}: {fields[name]}' for name in fields]
    conn.sendall('\r\n'.join((*lines, '', body)).encode())
    return conn


def send_run(port, request_id):
    """Send a request that runs and return its connection."""
    fields = {'model': ADAPTER, 'token_count': f'1,{EVENTS}'}
    return send(port, '/x', request_id=request_id, **fields)


def read_until(conn, mark=b'no such text'):
    """Return what came up to a text, or to the orderly end of a connection."""
    data = b''
    while mark not in data and (piece := conn.recv(65536)):
        data += piece
    return data


def fetch(port, path, body='', **fields):
    """Return the head and the body of an answer that ends its connection."""
    with closing(send(port, path, body, connection='close', **fields)) as conn:
        head, _, content = read_until(conn).partition(b'\r\n\r\n')
    return head.lower(), content


def whole_answer(server, request_id):
    if not server.slots:
        return json.dumps({'request': request_id}).encode()
    return b''.join(event(request_id, each + 1) for each in range(EVENTS))


def is_framed(head):
    return b'content-length' in head or b'transfer-encoding' in head


def test_some_answers_have_neither_a_length_nor_chunks(server):
    with closing(send_run(server.port, UNFRAMED)) as conn:
        head, _, body = read_until(conn).partition(b'\r\n\r\n')
    assert not is_framed(head.lower())
    assert body == whole_answer(server, UNFRAMED)
    with closing(send_run(server.port, FRAMED)) as conn:
        assert is_framed(read_until(conn, b'\r\n\r\n').lower())


@pytest.mark.parametrize('is_proxied', [False, True])
def test_an_answer_of_a_killed_server_ends_in_order_before_its_last_byte(
    server, link, is_proxied
):
    born = ask_report(server.port)['born']
    port = link if is_proxied else server.port
    with closing(send_run(port, UNFRAMED)) as conn:
        start = read_until(conn, b'data: ' if server.slots else b'{')
        server.runner.kill('backend')
        body = (start + read_until(conn)).partition(b'\r\n\r\n')[2]
    whole = whole_answer(server, UNFRAMED)
    assert whole.startswith(body)
    assert len(body) < len(whole)
    server.runner.restart('backend')
    assert ask_report(server.port)['born'] > born


@pytest.mark.parametrize(
    ('expected', 'status'), [('s', b' 200 '), ('another', b' 421 ')]
)
def test_a_health_check_for_another_server_is_misdirected(
    server, expected, status
):
    head, _ = fetch(server.port, '/health', expect_instance=expected)
    assert status in head.partition(b'\r\n')[0]


@pytest.mark.parametrize('server', [4], indirect=True)
def test_an_engine_that_is_renewed_is_the_next_process_of_another_version(
    server,
):
    """Streams were joined where a server's entry told of its former process."""
    before = ask_report(server.port)
    with closing(send_run(server.port, FRAMED)) as conn:
        read_until(conn, b'\r\n\r\n')
        fetch(
            server.port, '/fault', json.dumps({'kind': 'renew', 'quiet_s': 0})
        )
        assert not read_until(conn).endswith(LAST_CHUNK)
    after = ask_report(server.port)
    assert after['born'] > before['born']
    assert after['models'] == before['models']
    with closing(send_run(server.port, UNFRAMED)) as conn:
        assert software_in(read_until(conn)) == {'s1'}


def test_connections_that_break_off_do_not_end_in_order(server):
    """An orderly end would end an unframed answer, so it'd count as whole."""
    with closing(send_run(server.port, UNFRAMED)) as conn:
        read_until(conn, b'\r\n\r\n')
        fetch(server.port, '/fault', json.dumps({'kind': 'break_off'}))
        with pytest.raises(ConnectionResetError):
            read_until(conn)


def fault(server, **document):
    fetch(server.port, '/fault', json.dumps({**document, 'for_s': 30}))


def heads_on_one_connection(server, *request_ids):
    """Return status and request id of the answers to one request each."""
    with closing(send_run(server.port, request_ids[0])) as conn:
        received = read_until(conn, b'{}')
        for request_id in request_ids[1:]:
            conn.sendall(
                f'POST /x HTTP/1.1\r\nRequest-Id: {request_id}\r\n\r\n'.encode()
            )
        while received.count(b'{}') < len(request_ids):
            received += read_until(conn, b'{}')
    heads = received.decode().split('HTTP/1.1 ')[1:]
    return [
        (head[:3], head.partition('Request-Id: ')[2].split('\r\n')[0])
        for head in heads
    ]


def test_most_refusals_come_twice_when_they_are_made_to(server):
    fault(server, kind='refuse_twice', share=1)
    ids = [f'r{number}' for number in range(40)]
    heads = heads_on_one_connection(server, *ids)
    assert {status for status, _ in heads} <= {'503', '421', '429'}
    counts = [heads.count(head) for head in dict.fromkeys(heads)]
    assert max(counts) == 2
    assert counts.count(2) > len(counts) / 2


def test_refusals_come_once_without_copies(server):
    fault(server, kind='refuse', share=1)
    ids = [f'r{number}' for number in range(40)]
    heads = heads_on_one_connection(server, *ids)
    assert [request_id for _, request_id in heads] == ids


def test_a_server_under_a_new_id_refuses_what_names_the_former_one(server):
    fault(server, kind='new_id')
    new_id = json.loads(fetch(server.port, '/health')[1])['id']
    assert new_id != 's'
    head, _ = fetch(server.port, '/x', request_id='r', expect_instance='s')
    assert b' 421 ' in head
    assert b'request-id: r' in head
    fields = {'model': ADAPTER, 'token_count': f'1,{EVENTS}'}
    head, body = fetch(
        server.port,
        '/x',
        request_id=FRAMED,
        expect_instance=new_id,
        **fields,
    )
    assert b' 200 ' in head
    assert body


def states(server):
    """Return what the entries of servers in the store say, by their ids."""
    path = '/-/kv-range?pathPrefix=servers/'
    found = json.loads(fetch(server.store_port, path)[1])
    return {
        each['key'].partition('/')[2]: json.loads(
            base64.b64decode(each['value'])
        )['state']
        for each in found['items']
    }


def test_entry_of_a_former_id_stands_beside_the_new_one(server):
    wait_until(lambda: list(states(server)) == ['s'], 5, 'entry listed')
    fetch(server.port, '/fault', json.dumps({'kind': 'new_id', 'for_s': 0.5}))
    wait_until(lambda: len(states(server)) == 2, 1, 'both entries listed')
    wait_until(lambda: len(states(server)) == 1, 5, 'former entry removed')
    assert list(states(server)) != ['s']


@pytest.mark.parametrize('server', [4], indirect=True)
@pytest.mark.parametrize(
    ('is_told', 'meanwhile'), [(True, {'s': 'draining'}), (False, {})]
)
def test_a_server_that_is_released_serves_on_and_is_replaced(
    server, is_told, meanwhile
):
    wait_until(lambda: states(server) == {'s': 'ready'}, 5, 'entry listed')
    release = {'kind': 'release', 'software': '', 'is_told': is_told}
    body = json.dumps({**release, 'drain_s': 1.0})
    fetch(server.port, '/fault', body)
    wait_until(lambda: states(server) == meanwhile, 0.8, 'entry of one leaving')
    fields = {'model': ADAPTER, 'token_count': '1,2', 'expect_instance': 's'}
    head, _ = fetch(server.port, '/x', request_id=FRAMED, **fields)
    assert b' 200 ' in head
    wait_until(
        lambda: list(states(server).values()) == ['ready'], 3, 'the next entry'
    )
    assert list(states(server)) != ['s']
    with closing(send_run(server.port, UNFRAMED)) as conn:
        assert software_in(read_until(conn)) == {'s1'}


@pytest.mark.parametrize('server', [4], indirect=True)
@pytest.mark.parametrize('is_renamed', [True, False])
def test_a_late_order_for_a_former_id_changes_nothing(server, is_renamed):
    """One took slots of the next id beside the orders for that id."""
    expected = 0 if is_renamed else ask_report(server.port)['seq']
    fetch(
        server.port, '/fault', json.dumps({'kind': 'late_orders', 'count': 1})
    )
    order = {'op': 'unload', 'adapter': 'a1', 'expected': expected}
    body = json.dumps({**order, 'holder': 'g', 'fence': 1})
    with closing(
        send(server.port, '/-/order', body, expect_instance='s')
    ) as conn:
        if is_renamed:
            fault(server, kind='new_id')
        read_until(conn, b'{}')
    time.sleep(LATE_ORDER_S)
    held = ask_report(server.port)['models'][0]['adapters']
    assert held == (['a1@1'] if is_renamed else [])
