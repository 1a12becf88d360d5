"""The fault-injecting proxy, and the store errors that its faults cause."""

import contextlib
import socket
import socketserver
import threading
import time

import pytest
import urllib3

from emulator.fleet import Program
from emulator.proxy import ProxyClient
from emulator.waiting import free_ports, wait_until
from wasabicross.stores import errors
from wasabicross.stores.kv import KeyValueStore

UNAVAILABLE = errors.KeyValueUnavailable
UNKNOWN = errors.SwapOutcomeUnknown
BIG = bytes(range(256)) * 40000


class Echo(socketserver.ThreadingTCPServer):
    """Sends back what it receives, and records it."""

    daemon_threads = True
    block_on_close = False

    def __init__(self):
        super().__init__(('127.0.0.1', 0), socketserver.BaseRequestHandler)
        self.received = b''
        self.ended = []

    def finish_request(self, conn, client_address):
        try:
            while data := conn.recv(65536):
                self.received += data
                conn.sendall(data)
            self.ended.append('end')
        except OSError:
            self.received += receive_rest(conn)
            self.ended.append('reset')


@pytest.fixture(scope='module')
def control(runner):
    (port,) = free_ports(1)
    url = f'http://127.0.0.1:{port}/links'
    args = ('--control', str(port))
    runner.run(Program('proxy', 'emulator.proxy', args, url))
    client = ProxyClient(port)
    yield client
    client.close()


@pytest.fixture
def echo():
    with Echo() as server:
        threading.Thread(target=server.serve_forever, args=(0.02,)).start()
        yield server
        server.shutdown()


@pytest.fixture
def link(control, echo):
    (port,) = free_ports(1)
    control.add(port, '127.0.0.1:{}'.format(echo.server_address[1]))
    yield port
    control.fault(port, cut=True)


def connect(port):
    conn = socket.create_connection(('127.0.0.1', port), 5)
    conn.settimeout(5)
    return conn


def receive_rest(conn):
    """Receive until the connection ends or is reset."""
    received = b''
    with contextlib.suppress(ConnectionResetError):
        while data := conn.recv(65536):
            received += data
    return received


def send_until_reset(conn):
    with contextlib.suppress(OSError):
        conn.sendall(BIG)


def exchange(conn, data):
    sender = threading.Thread(target=conn.sendall, args=(data,))
    sender.start()
    with conn.makefile('rb') as reader:
        received = reader.read(len(data))
    sender.join(5)
    return received


def await_count(control, link, direction, what, count):
    wait_until(
        lambda: control.count(link, direction, what) == count,
        5,
        f'{count} {what} {direction}',
    )


def is_silent(conn):
    conn.setblocking(False)
    try:
        return conn.recv(1) is None
    except BlockingIOError:
        return True
    finally:
        conn.settimeout(5)


@pytest.mark.parametrize(
    ('faults', 'data'),
    [
        ({}, b'x'),
        ({}, BIG),
        ({'delay_ms': 1}, BIG),
        ({'reset_after': {'up': len(BIG) + 1}}, BIG),
        ({'reset_after': {'up': 1}, 'reset_times': 0}, BIG),
    ],
)
def test_bytes_pass_whole(control, link, echo, faults, data):
    control.fault(link, **faults)
    with connect(link) as conn:
        assert exchange(conn, data) == data
        conn.shutdown(socket.SHUT_WR)
        assert conn.recv(1) == b''
    wait_until(lambda: echo.ended, 5, 'end')
    assert echo.ended == ['end']
    wait_until(lambda: not control.links()[link]['connections'], 5, 'closed')


def test_cut_resets_and_refuses_until_healed(control, link, echo):
    with connect(link) as conn:
        assert exchange(conn, b'x') == b'x'
        control.fault(link, cut=True)
        with pytest.raises(ConnectionResetError):
            conn.recv(1)
    for _ in range(3):
        with pytest.raises(ConnectionRefusedError):
            connect(link)
    wait_until(lambda: echo.ended, 5, 'reset')
    assert echo.ended == ['reset']
    control.heal(link)
    with connect(link) as conn:
        assert exchange(conn, b'y') == b'y'


def test_reset_takes_new_connections(control, link):
    with connect(link) as conn:
        assert exchange(conn, b'x') == b'x'
        control.reset(link)
        with pytest.raises(ConnectionResetError):
            conn.recv(1)
    with connect(link) as conn:
        assert exchange(conn, b'y') == b'y'


def test_delay_shifts_without_slowing_the_flow(control, link):
    # Delaying the chunks of 64 KB one after another would take over 15 s.
    control.fault(link, delay_ms=100)
    start_s = time.monotonic()
    with connect(link) as conn:
        assert exchange(conn, BIG) == BIG
    assert 0.2 <= time.monotonic() - start_s < 10


@pytest.mark.parametrize(
    ('direction', 'reached'), [('up', False), ('down', True)]
)
def test_swallowed_direction_stays_open(
    control, link, echo, direction, reached
):
    with connect(link) as conn:
        exchange(conn, b'before')
        control.fault(link, swallow=[direction])
        conn.sendall(b'lost')
        await_count(control, link, direction, 'lost', 4)
        assert is_silent(conn)
        assert (b'lost' in echo.received) is reached
        assert len(control.links()[link]['connections']) == 1
        control.heal(link)
        with pytest.raises(ConnectionResetError):
            conn.recv(1)


@pytest.mark.parametrize('direction', ['up', 'down'])
def test_held_bytes_arrive_late(control, link, direction):
    with connect(link) as conn:
        control.fault(link, hold=[direction])
        conn.sendall(b'late')
        await_count(control, link, direction, 'waiting', 4)
        assert is_silent(conn)
        control.heal(link)
        assert conn.recv(10) == b'late'


def test_text_chooses_the_connection_that_is_held(control, link):
    with connect(link) as held, connect(link) as other:
        control.fault(link, hold=['up'], hold_text='late')
        held.sendall(b'before ')
        assert held.recv(7) == b'before '
        held.sendall(b'too late')
        held.sendall(b' and after')
        await_count(control, link, 'up', 'waiting', 18)
        assert is_silent(held)
        assert exchange(other, b'other') == b'other'
        control.heal(link)
        assert held.makefile('rb').read(18) == b'too late and after'


@pytest.mark.parametrize('direction', ['up', 'down'])
@pytest.mark.parametrize('fault', ['swallow', 'hold'])
def test_end_is_not_seen_through_a_fault(control, link, echo, direction, fault):
    with connect(link) as conn:
        exchange(conn, b'x')
        control.fault(link, **{fault: [direction]})
        conn.shutdown(socket.SHUT_WR)
        await_count(control, link, direction, 'ended', 1)
        assert is_silent(conn)
        assert echo.ended == ([] if direction == 'up' else ['end'])


@pytest.mark.parametrize('after', [0, 1, 5, 70000])
@pytest.mark.parametrize('direction', ['up', 'down'])
def test_reset_after_bytes(control, link, echo, direction, after):
    control.fault(link, reset_after={direction: after}, reset_times=1)
    with connect(link) as conn:
        sender = threading.Thread(target=send_until_reset, args=(conn,))
        sender.start()
        received = receive_rest(conn)
        sender.join(5)
        with pytest.raises(OSError):
            conn.sendall(b'x')
    wait_until(lambda: echo.ended, 5, 'reset')
    assert echo.ended == ['reset']
    arrived = {'up': echo.received, 'down': received}
    assert len(arrived[direction]) == after
    with connect(link) as conn:
        assert exchange(conn, b'again') == b'again'


def test_bytes_are_counted_from_the_setting(control, link):
    with connect(link) as conn:
        assert exchange(conn, b'12345678') == b'12345678'
        control.fault(link, reset_after={'down': 4})
        assert exchange(conn, b'abc') == b'abc'
        conn.sendall(b'def')
        assert conn.recv(10) == b'd'
        with pytest.raises(ConnectionResetError):
            conn.recv(10)


def test_target_away_resets(control, link, echo):
    (listen, away) = free_ports(2)
    control.add(listen, f'127.0.0.1:{away}')
    with pytest.raises(ConnectionResetError), connect(listen) as conn:
        conn.recv(1)
    wait_until(lambda: not control.links()[listen]['connections'], 5, 'gone')


@pytest.mark.parametrize(
    'faults',
    [{'unheard': 1}, {'swallow': ['left']}, {'reset_after': {'left': 1}}],
)
def test_wrong_fault_is_refused(control, link, faults):
    with pytest.raises(ValueError, match='/fault'):
        control.fault(link, **faults)


@pytest.fixture
def kv_link(control, kv_url):
    urllib3.request('POST', f'{kv_url}/fault', json={'restart_empty': True})
    (port,) = free_ports(1)
    control.add(port, kv_url.removeprefix('http://'))
    yield port
    control.fault(port, cut=True)


def store_behind(port):
    return KeyValueStore(f'http://127.0.0.1:{port}', 1)


@pytest.mark.parametrize('idle', [True, False], ids=['kept', 'new'])
@pytest.mark.parametrize(
    ('faults', 'error', 'applied'),
    [
        ({'cut': True}, UNAVAILABLE, False),
        ({'swallow': ['up']}, UNKNOWN, False),
        ({'swallow': ['down']}, UNKNOWN, True),
        ({'hold': ['up']}, UNKNOWN, False),
        ({'hold': ['down']}, UNKNOWN, True),
        ({'delay_ms': 4000}, UNKNOWN, False),
        ({'reset_after': {'up': 0}}, UNKNOWN, False),
        ({'reset_after': {'up': 30}}, UNKNOWN, False),
        ({'reset_after': {'down': 0}}, UNKNOWN, True),
        ({'reset_after': {'down': 30}}, UNKNOWN, True),
    ],
    ids=str,
)
def test_each_fault_is_its_error(
    control, kv_url, kv_link, faults, error, applied, idle
):
    store = store_behind(kv_link)
    if idle:
        assert store.get('key').is_ok()
    control.fault(kv_link, **faults)
    result = store.compare_and_swap('key', b'new', 0)
    direct = KeyValueStore(kv_url, 5)
    assert type(result.error) is error
    assert (direct.get('key').ok.value == b'new') is applied


def test_held_write_lands_late(control, kv_url, kv_link):
    store = store_behind(kv_link)
    control.fault(kv_link, hold=['up'])
    assert type(store.compare_and_swap('key', b'late', 0).error) is UNKNOWN
    direct = KeyValueStore(kv_url, 5)
    assert direct.get('key').ok.version == 0
    control.heal(kv_link)
    wait_until(lambda: direct.get('key').ok.value == b'late', 5, 'late write')
