"""The seam to the key-value service, and its stand-in's faults."""

import socket
import threading
from types import SimpleNamespace

import pytest
import urllib3

from emulator.fleet import Program
from emulator.waiting import free_ports
from emulator.waiting import wait_until
from wasabicross import exceptions
from wasabicross.kv import KEY_VALUE_CALLS
from wasabicross.kv import KeyValueStore
from wasabicross.kv import Versioned

LARGEST = 1024 * 1024


def make_store(url, timeout_s=5.0):
    return KeyValueStore.from_config(
        SimpleNamespace(url=url, timeout_s=timeout_s),
    )


@pytest.fixture(scope='module')
def url(runner):
    (port,) = free_ports(1)
    base = f'http://127.0.0.1:{port}'
    args = ('--port', str(port))
    runner.run(Program('kv', 'emulator.kv', args, f'{base}/stats'))
    return base


@pytest.fixture
def fault(url):
    def set_faults(**faults):
        resp = urllib3.request('POST', f'{url}/fault', json=faults)
        assert resp.status == 200

    clear = {
        'slow_ms': 0,
        'refuse': False,
        'drop_swaps': 0,
        'drop_leases': 0,
        'drop_prefix': '',
    }
    set_faults(**clear, restart_empty=True)
    yield set_faults
    set_faults(**clear)


@pytest.fixture
def store(url, fault):
    with_timeout = make_store(url)
    yield with_timeout
    with_timeout.close()


def stats(url):
    return urllib3.request('GET', f'{url}/stats').json()


def calls(operation):
    return KEY_VALUE_CALLS.labels(operation)._value.get()


@pytest.mark.parametrize('value', [b'', b'\x00\xff', b'x' * LARGEST])
def test_swap_writes_and_get_reads(store, value):
    written = store.compare_and_swap('a/b#c@1 &?%', value, 0).ok
    assert written.version > 0
    assert store.get('a/b#c@1 &?%').ok == written
    assert written.value == value


def test_absent_key_has_version_zero(store):
    assert store.get('absent').ok == Versioned('absent', None, 0)


def test_versions_rise_across_deletion(store):
    first = store.compare_and_swap('key', b'1', 0).ok
    second = store.compare_and_swap('key', b'2', first.version).ok
    deleted = store.compare_and_swap('key', None, second.version).ok
    again = store.compare_and_swap('key', b'3', deleted.version).ok
    assert deleted == Versioned('key', None, 0)
    assert first.version < second.version < again.version


@pytest.mark.parametrize(
    ('present', 'value', 'expected_version'),
    [
        (None, b'new', 7),
        (None, None, 7),
        (b'old', b'new', 0),
        (b'old', None, 0),
        (b'old', b'new', 10**9),
    ],
)
def test_conflict_tells_the_present_state(
    store,
    present,
    value,
    expected_version,
):
    if present is not None:
        store.compare_and_swap('key', present, 0)
    before = store.get('key').ok
    error = store.compare_and_swap('key', value, expected_version).error
    assert isinstance(error, exceptions.SwapConflict)
    assert error.present == before == store.get('key').ok


def test_racing_swaps_have_one_winner(store):
    results = []
    racers = [
        threading.Thread(
            target=lambda n=n: results.append(
                store.compare_and_swap('key', b'%d' % n, 0),
            ),
        )
        for n in range(20)
    ]
    for racer in racers:
        racer.start()
    for racer in racers:
        racer.join()
    won = [result.ok for result in results if result.is_ok()]
    assert len(won) == 1
    assert store.get('key').ok == won[0]


def swap(store):
    return store.compare_and_swap('key', b'new', 0)


def delete(store):
    return store.compare_and_swap('key', None, 0)


def get(store):
    return store.get('key')


def watch(store):
    return store.watch('key', 0, 0.2)


def grant(store):
    return store.grant_lease(60)


def renew(store):
    return store.renew_lease('lease')


def revoke(store):
    return store.revoke_lease('lease')


OPERATIONS = (get, swap, delete, watch, grant, renew, revoke)
READS = (get, watch)
SWAPS = (swap, delete)
UNAVAILABLE = exceptions.KeyValueUnavailable


def lost_error(operation):
    if operation in READS:
        return UNAVAILABLE
    if operation in SWAPS:
        return exceptions.SwapOutcomeUnknown
    return exceptions.LeaseOutcomeUnknown


@pytest.mark.parametrize('operation', OPERATIONS)
def test_refused_connection_is_unavailable(operation):
    (port,) = free_ports(1)
    store = make_store(f'http://127.0.0.1:{port}')
    assert type(operation(store).error) is UNAVAILABLE


@pytest.mark.parametrize('operation', OPERATIONS)
def test_refusal_is_unavailable_and_nothing_is_applied(
    store,
    fault,
    operation,
):
    fault(refuse=True)
    assert type(operation(store).error) is UNAVAILABLE
    fault(refuse=False)
    assert store.get('key').ok.version == 0


def read_head(conn):
    received = b''
    while b'\r\n\r\n' not in received:
        received += conn.recv(65536)
    return received


@pytest.fixture
def scripted():
    """A server that answers its first call with given bytes, then closes."""
    threads = []
    listeners = []

    def serve(answer):
        listener = socket.create_server(('127.0.0.1', 0))
        listeners.append(listener)

        def answer_once():
            conn, _ = listener.accept()
            with conn:
                read_head(conn)
                conn.sendall(answer)

        threads.append(threading.Thread(target=answer_once))
        threads[-1].start()
        return make_store(f'http://127.0.0.1:{listener.getsockname()[1]}')

    yield serve
    for thread in threads:
        thread.join(10)
    for listener in listeners:
        listener.close()


@pytest.mark.parametrize('operation', OPERATIONS)
@pytest.mark.parametrize(
    'answer',
    [
        b'',
        b'HTTP/1.1 200 OK\r\nX-Ver',
        b'HTTP/1.1 200 OK\r\nX-Version: 1',
        b'HTTP/1.1 200 OK\r\nX-Version: 1\r\nContent-Length: 4',
        b'HTTP/1.1 200 OK\r\nX-Version: 1\r\n\r\n',
        b'HTTP/1.1 200 OK\r\nX-Version: 3\r\nContent-Length: 9\r\n\r\nhalf',
        b'HTTP/1.1 500 Failed\r\nContent-Length: 0\r\n\r\n',
        b'HTTP/1.1 504 Gateway Timeout\r\nContent-Length: 0\r\n\r\n',
        b'HTTP/1.1 307 Moved\r\nLocation: /x\r\nContent-Length: 0\r\n\r\n',
        b'garbage\r\n\r\n',
    ],
)
def test_lost_answer_is_unknown(scripted, operation, answer):
    error = operation(scripted(answer)).error
    assert type(error) is lost_error(operation)


@pytest.mark.parametrize('operation', OPERATIONS)
@pytest.mark.parametrize('status', [b'429 Too Many', b'503 Unavailable'])
def test_explicit_refusal_is_unavailable(scripted, operation, status):
    answer = b'HTTP/1.1 ' + status + b'\r\nContent-Length: 0\r\n\r\n'
    assert type(operation(scripted(answer)).error) is UNAVAILABLE


@pytest.mark.parametrize(
    ('operation', 'status', 'error'),
    [
        (get, b'200', UNAVAILABLE),
        (watch, b'200', UNAVAILABLE),
        (swap, b'200', exceptions.SwapOutcomeUnknown),
        (swap, b'409', UNAVAILABLE),
    ],
)
@pytest.mark.parametrize('version', [b'', b'-1', b'x', '²'.encode('latin-1')])
def test_answer_without_version(scripted, operation, status, error, version):
    answer = (
        b'HTTP/1.1 '
        + status
        + b' Some\r\nContent-Length: 0\r\nX-Version: '
        + version
        + b'\r\n\r\n'
    )
    assert type(operation(scripted(answer)).error) is error


@pytest.mark.parametrize('operation', OPERATIONS)
def test_silent_server_is_unknown(operation):
    with socket.create_server(('127.0.0.1', 0)) as listener:
        port = listener.getsockname()[1]
        store = make_store(f'http://127.0.0.1:{port}', timeout_s=0.1)
        assert type(operation(store).error) is lost_error(operation)


@pytest.mark.parametrize(
    ('drops', 'lost'),
    [(1, [True, False, False]), (2, [True, True, False]), (-1, [True] * 3)],
)
def test_dropped_answer_took_effect(store, fault, url, drops, lost):
    sent_before = stats(url)['calls'].get('swap', 0)
    fault(drop_swaps=drops)
    for number, is_lost in enumerate(lost):
        result = store.compare_and_swap(f'key{number}', b'new', 0)
        assert result.is_error() is is_lost
        if is_lost:
            assert type(result.error) is exceptions.SwapOutcomeUnknown
        assert store.get(f'key{number}').ok.value == b'new'
    assert stats(url)['calls']['swap'] == sent_before + len(lost)


def test_drops_only_the_prefix(store, fault):
    fault(drop_swaps=-1, drop_prefix='claims/')
    assert store.compare_and_swap('owner/s', b'me', 0).is_ok()
    assert store.compare_and_swap('claims/7', b'me', 0).is_error()


def test_conflict_is_never_dropped(store, fault):
    fault(drop_swaps=1)
    error = store.compare_and_swap('key', b'new', 5).error
    assert isinstance(error, exceptions.SwapConflict)


def test_lease_grant_lost(store, fault, url):
    fault(drop_leases=1)
    assert type(grant(store).error) is exceptions.LeaseOutcomeUnknown
    assert stats(url)['leases'] == 1


def test_slow_write_lands_after_its_writer_gave_up(url, store, fault):
    hasty = make_store(url, timeout_s=0.05)
    fault(slow_ms=300)
    error = hasty.compare_and_swap('key', b'late', 0).error
    assert type(error) is exceptions.SwapOutcomeUnknown
    fault(slow_ms=0)
    assert store.get('key').ok.version == 0
    wait_until(lambda: store.get('key').ok.value == b'late', 5, 'late write')


@pytest.mark.parametrize('size', [LARGEST + 1, LARGEST * 3])
def test_large_value_is_refused(store, size):
    error = store.compare_and_swap('key', b'x' * size, 0).error
    assert type(error) is exceptions.ValueTooLarge
    assert store.get('key').ok.version == 0


@pytest.mark.parametrize(
    'end',
    [
        lambda store, lease, fault: store.revoke_lease(lease),
        lambda store, lease, fault: fault(lapse_leases=True),
        lambda store, lease, fault: None,
    ],
    ids=['revoked', 'lapsed', 'expired'],
)
def test_keys_vanish_with_their_lease(store, fault, end):
    lease = store.grant_lease(0.3).ok
    held = store.compare_and_swap('held', b'1', 0, lease).ok
    store.compare_and_swap('free', b'1', 0)
    end(store, lease, fault)
    assert store.watch('held', held.version, 5).ok == ('held', None, 0)
    assert store.get('free').ok.value == b'1'
    lapsed = (
        store.compare_and_swap('held', b'2', 0, lease),
        store.renew_lease(lease),
        store.revoke_lease(lease),
    )
    for result in lapsed:
        assert type(result.error) is exceptions.LeaseLapsed


def test_renewed_lease_lasts(store):
    lease = store.grant_lease(0.5).ok
    held = store.compare_and_swap('held', b'1', 0, lease).ok
    for _ in range(6):
        assert store.watch('held', held.version, 0.2).ok == held
        assert store.renew_lease(lease).is_ok()


def test_key_written_without_lease_outlives_it(store):
    lease = store.grant_lease(60).ok
    held = store.compare_and_swap('key', b'1', 0, lease).ok
    store.compare_and_swap('key', b'2', held.version)
    store.revoke_lease(lease)
    assert store.get('key').ok.value == b'2'


def test_watch_ends_with_a_change(store, url):
    changed = []
    watcher = threading.Thread(
        target=lambda: changed.append(store.watch('key', 0, 30).ok),
    )
    watcher.start()
    wait_until(lambda: stats(url)['waiting_watches'] == 1, 5, 'watch')
    store.compare_and_swap('other', b'1', 0)
    written = store.compare_and_swap('key', b'1', 0).ok
    watcher.join(5)
    assert changed == [written]


@pytest.mark.parametrize(
    'end',
    [{'refuse': True}, {'restart_empty': True}],
    ids=str,
)
def test_outage_ends_watches(store, fault, url, end):
    ended = []
    watcher = threading.Thread(
        target=lambda: ended.append(store.watch('key', 0, 30).error),
    )
    watcher.start()
    wait_until(lambda: stats(url)['waiting_watches'] == 1, 5, 'watch')
    fault(**end)
    watcher.join(5)
    assert [type(error) for error in ended] == [UNAVAILABLE]


@pytest.mark.parametrize('keep_versions', [True, False])
def test_restart_empty(store, fault, keep_versions):
    lease = store.grant_lease(60).ok
    for version in (0, 1):
        store.compare_and_swap('key', b'1', store.get('key').ok.version)
    before = store.get('key').ok.version
    fault(restart_empty=True, keep_versions=keep_versions)
    assert store.get('key').ok.version == 0
    assert type(store.renew_lease(lease).error) is exceptions.LeaseLapsed
    again = store.compare_and_swap('key', b'2', 0).ok.version
    assert (again > before) is keep_versions


def test_hundreds_of_watches_wait(url, store):
    count = 600
    ended = []
    watchers = [
        threading.Thread(
            target=lambda: ended.append(store.watch('hot', 0, 60).ok),
        )
        for _ in range(count)
    ]
    for watcher in watchers:
        watcher.start()
    wait_until(lambda: stats(url)['waiting_watches'] == count, 20, 'watches')
    written = store.compare_and_swap('hot', b'1', 0).ok
    for watcher in watchers:
        watcher.join(20)
    assert ended == [written] * count


@pytest.mark.parametrize('operation', OPERATIONS)
def test_calls_are_counted_on_both_sides(store, url, operation):
    name = 'swap' if operation in SWAPS else operation.__name__
    here = calls(name)
    there = stats(url)['calls'].get(name, 0)
    operation(store)
    assert calls(name) == here + 1
    assert stats(url)['calls'][name] == there + 1
