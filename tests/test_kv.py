"""The seam to the key-value service, and its stand-in's faults."""

import contextlib
import socket
import threading
from collections.abc import Callable
from functools import partial
from types import SimpleNamespace
from typing import NamedTuple

import pytest
import urllib3

from emulator.kv import Faults
from emulator.waiting import free_ports, wait_until
from wasabicross import exceptions
from wasabicross.kv import KEY_VALUE_CALLS, KeyValueStore, Versioned

LARGEST = 1024 * 1024
UNAVAILABLE = exceptions.KeyValueUnavailable
SWAP_UNKNOWN = exceptions.SwapOutcomeUnknown
LEASE_UNKNOWN = exceptions.LeaseOutcomeUnknown


@pytest.fixture
def fault(kv_url):
    def set_faults(**faults):
        resp = urllib3.request('POST', f'{kv_url}/fault', json=faults)
        assert resp.status == 200

    set_faults(**Faults()._asdict(), restart_empty=True)
    yield set_faults
    set_faults(**Faults()._asdict())


@pytest.fixture
def store(kv_url, fault):
    cfg = SimpleNamespace(url=kv_url, timeout_s=5)
    present_store = KeyValueStore.from_config(cfg)
    yield present_store
    present_store.close()


def stats(kv_url):
    return urllib3.request('GET', f'{kv_url}/stats').json()


def calls(operation):
    return KEY_VALUE_CALLS.labels(operation)._value.get()


def in_thread(call):
    """Start a call in a thread; return it and the list of its results."""
    results = []
    thread = threading.Thread(target=lambda: results.append(call()))
    thread.start()
    return thread, results


def await_watches(kv_url, count):
    wait_until(
        lambda: stats(kv_url)['waiting_watches'] == count,
        20,
        f'{count} watches',
    )


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


@pytest.mark.parametrize('value', [b'new', None])
@pytest.mark.parametrize(
    ('present', 'expected'), [(None, 7), (b'old', 0), (b'old', 10**9)]
)
def test_conflict_tells_the_present_state(store, present, expected, value):
    if present is not None:
        store.compare_and_swap('key', present, 0)
    before = store.get('key').ok
    error = store.compare_and_swap('key', value, expected).error
    assert isinstance(error, exceptions.SwapConflict)
    assert error.present == before == store.get('key').ok


def test_racing_swaps_have_one_winner(store):
    racers = [
        in_thread(partial(store.compare_and_swap, 'key', b'%d' % number, 0))
        for number in range(20)
    ]
    for thread, _ in racers:
        thread.join(20)
    results = [result for _, results in racers for result in results]
    assert len(results) == 20
    won = [result.ok for result in results if result.is_ok()]
    assert won == [store.get('key').ok]


class Operation(NamedTuple):
    """An operation, and its error when its answer is lost."""

    name: str
    call: Callable
    lost: type

    def error(self, store):
        return type(self.call(store).error)


GET = Operation('get', lambda kv: kv.get('key'), UNAVAILABLE)
WATCH = Operation('watch', lambda kv: kv.watch('key', 0, 0.2), UNAVAILABLE)
SWAP = Operation(
    'swap', lambda kv: kv.compare_and_swap('key', b'new', 0), SWAP_UNKNOWN
)
for_each_operation = pytest.mark.parametrize(
    'operation',
    [
        GET,
        WATCH,
        SWAP,
        SWAP._replace(call=lambda kv: kv.compare_and_swap('key', None, 0)),
        Operation('grant', lambda kv: kv.grant_lease(60), LEASE_UNKNOWN),
        Operation('renew', lambda kv: kv.renew_lease('none'), LEASE_UNKNOWN),
        Operation('revoke', lambda kv: kv.revoke_lease('none'), LEASE_UNKNOWN),
    ],
    ids=lambda operation: operation.name,
)


@for_each_operation
def test_refused_connection_is_unavailable(operation):
    (port,) = free_ports(1)
    store = KeyValueStore(f'http://127.0.0.1:{port}', 5)
    assert operation.error(store) is UNAVAILABLE


@for_each_operation
def test_refusal_is_unavailable_and_nothing_is_applied(store, fault, operation):
    fault(refuse=True)
    assert operation.error(store) is UNAVAILABLE
    fault(refuse=False)
    assert store.get('key').ok.version == 0


@pytest.fixture
def scripted():
    """A server that answers its first call with given bytes, then closes."""
    with contextlib.ExitStack() as stack:

        def serve(answer):
            listener = socket.create_server(('127.0.0.1', 0))
            stack.enter_context(listener)

            def answer_once():
                conn, _ = listener.accept()
                with conn, conn.makefile('rb') as reader:
                    while reader.readline().strip():
                        pass
                    conn.sendall(answer)

            thread, _ = in_thread(answer_once)
            stack.callback(thread.join, 10)
            port = listener.getsockname()[1]
            return KeyValueStore(f'http://127.0.0.1:{port}', 5)

        yield serve


@for_each_operation
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
    assert operation.error(scripted(answer)) is operation.lost


@for_each_operation
@pytest.mark.parametrize('status', [b'429 Too Many', b'503 Unavailable'])
def test_explicit_refusal_is_unavailable(scripted, operation, status):
    answer = b'HTTP/1.1 ' + status + b'\r\nContent-Length: 0\r\n\r\n'
    assert operation.error(scripted(answer)) is UNAVAILABLE


@pytest.mark.parametrize(
    ('operation', 'status', 'error'),
    [
        (GET, '200', UNAVAILABLE),
        (WATCH, '200', UNAVAILABLE),
        (SWAP, '200', SWAP_UNKNOWN),
        (SWAP, '409', UNAVAILABLE),
    ],
)
@pytest.mark.parametrize('version', ['', '-1', 'x', '²'])
def test_answer_without_version(scripted, operation, status, error, version):
    head = f'HTTP/1.1 {status} Some\r\nX-Version: {version}\r\n'
    answer = (head + 'Content-Length: 0\r\n\r\n').encode('latin-1')
    assert operation.error(scripted(answer)) is error


@for_each_operation
def test_silent_server_is_unknown(operation):
    with socket.create_server(('127.0.0.1', 0)) as listener:
        port = listener.getsockname()[1]
        store = KeyValueStore(f'http://127.0.0.1:{port}', 0.1)
        assert operation.error(store) is operation.lost


@pytest.mark.parametrize(
    ('drops', 'lost'),
    [(1, [True, False, False]), (2, [True, True, False]), (-1, [True] * 3)],
)
def test_dropped_answer_took_effect(store, fault, kv_url, drops, lost):
    sent_before = stats(kv_url)['calls'].get('swap', 0)
    fault(drop_swaps=drops)
    for number, is_lost in enumerate(lost):
        result = store.compare_and_swap(f'key{number}', b'new', 0)
        assert result.is_error() is is_lost
        if is_lost:
            assert type(result.error) is SWAP_UNKNOWN
        assert store.get(f'key{number}').ok.value == b'new'
    assert stats(kv_url)['calls']['swap'] == sent_before + len(lost)


def test_drops_only_the_prefix(store, fault):
    fault(drop_swaps=-1, drop_prefix='claims/')
    assert store.compare_and_swap('owner/s', b'me', 0).is_ok()
    assert store.compare_and_swap('claims/7', b'me', 0).is_error()


def test_conflict_is_never_dropped(store, fault):
    fault(drop_swaps=1)
    error = store.compare_and_swap('key', b'new', 5).error
    assert isinstance(error, exceptions.SwapConflict)


def test_lease_grant_lost(store, fault, kv_url):
    fault(drop_leases=1)
    assert type(store.grant_lease(60).error) is LEASE_UNKNOWN
    assert stats(kv_url)['leases'] == 1


def test_slow_write_lands_after_its_writer_gave_up(kv_url, store, fault):
    hasty = KeyValueStore(kv_url, 0.05)
    fault(slow_ms=1000)
    error = hasty.compare_and_swap('key', b'late', 0).error
    assert type(error) is SWAP_UNKNOWN
    fault(slow_ms=0)
    assert store.get('key').ok.version == 0
    wait_until(lambda: store.get('key').ok.value == b'late', 5, 'late write')


@pytest.mark.parametrize('size', [LARGEST + 1, LARGEST * 3])
def test_large_value_is_refused(store, size):
    error = store.compare_and_swap('key', b'x' * size, 0).error
    assert type(error) is exceptions.ValueTooLarge
    assert store.get('key').ok.version == 0


@pytest.mark.parametrize(
    ('ttl_s', 'end'),
    [
        (60, lambda store, lease, fault: store.revoke_lease(lease)),
        (60, lambda store, lease, fault: fault(lapse_leases=True)),
        (1, lambda store, lease, fault: None),
    ],
    ids=['revoked', 'lapsed', 'expired'],
)
def test_keys_vanish_with_their_lease(store, fault, ttl_s, end):
    lease = store.grant_lease(ttl_s).ok
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
    lease = store.grant_lease(1.5).ok
    held = store.compare_and_swap('held', b'1', 0, lease).ok
    for _ in range(5):
        assert store.watch('held', held.version, 0.4).ok == held
        assert store.renew_lease(lease).is_ok()


def test_key_written_without_lease_outlives_it(store):
    lease = store.grant_lease(60).ok
    held = store.compare_and_swap('key', b'1', 0, lease).ok
    store.compare_and_swap('key', b'2', held.version)
    store.revoke_lease(lease)
    assert store.get('key').ok.value == b'2'


def test_watch_ends_with_a_change(store, kv_url):
    watcher, ended = in_thread(lambda: store.watch('key', 0, 30).ok)
    await_watches(kv_url, 1)
    store.compare_and_swap('other', b'1', 0)
    written = store.compare_and_swap('key', b'1', 0).ok
    watcher.join(5)
    assert ended == [written]


@pytest.mark.parametrize(
    'end', [{'refuse': True}, {'restart_empty': True}], ids=str
)
def test_outage_ends_watches(store, fault, kv_url, end):
    watcher, ended = in_thread(lambda: store.watch('key', 0, 30).error)
    await_watches(kv_url, 1)
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


def test_hundreds_of_watches_wait(store, kv_url):
    count = 600
    started = [
        in_thread(lambda: store.watch('hot', 0, 60).ok) for _ in range(count)
    ]
    await_watches(kv_url, count)
    written = store.compare_and_swap('hot', b'1', 0).ok
    for watcher, ended in started:
        watcher.join(20)
        assert ended == [written]


@for_each_operation
def test_calls_are_counted_on_both_sides(store, kv_url, operation):
    here = calls(operation.name)
    there = stats(kv_url)['calls'].get(operation.name, 0)
    operation.call(store)
    assert calls(operation.name) == here + 1
    assert stats(kv_url)['calls'][operation.name] == there + 1
