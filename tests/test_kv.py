"""The client of the key-value service, and the faults of its stand-in."""

import contextlib
import socket
from collections.abc import Callable
from functools import partial
from typing import NamedTuple

import pytest
from kv_parts import in_thread, stats

from emulator.waiting import free_ports, wait_until
from wasabicross.stores import errors
from wasabicross.stores.kv import KEY_VALUE_CALLS, KeyValueStore
from wasabicross.stores.versioned import Versioned

LARGEST = 1024 * 1024
UNAVAILABLE = errors.KeyValueUnavailable
SWAP_UNKNOWN = errors.SwapOutcomeUnknown
LEASE_UNKNOWN = errors.LeaseOutcomeUnknown


def calls(operation):
    return KEY_VALUE_CALLS.labels(operation)._value.get()


@pytest.mark.parametrize('value', [b'', b'\x00\xff', b'x' * LARGEST])
def test_swap_writes_and_get_reads(kv_store, value):
    written = kv_store.compare_and_swap('a/b#c@1 &?%', value, 0).ok
    assert written.version > 0
    assert kv_store.get('a/b#c@1 &?%').ok == written
    assert written.value == value


def test_absent_key_has_version_zero(kv_store):
    assert kv_store.get('absent').ok == Versioned('absent', None, 0)


def test_versions_rise_across_deletion(kv_store):
    first = kv_store.compare_and_swap('key', b'1', 0).ok
    second = kv_store.compare_and_swap('key', b'2', first.version).ok
    deleted = kv_store.compare_and_swap('key', None, second.version).ok
    again = kv_store.compare_and_swap('key', b'3', deleted.version).ok
    assert deleted == Versioned('key', None, 0)
    assert first.version < second.version < again.version


@pytest.mark.parametrize('value', [b'new', None])
@pytest.mark.parametrize(
    ('present', 'expected'), [(None, 7), (b'old', 0), (b'old', 10**9)]
)
def test_conflict_tells_the_present_state(kv_store, present, expected, value):
    if present is not None:
        kv_store.compare_and_swap('key', present, 0)
    before = kv_store.get('key').ok
    error = kv_store.compare_and_swap('key', value, expected).error
    assert isinstance(error, errors.SwapConflict)
    assert error.present == before == kv_store.get('key').ok


def test_racing_swaps_have_one_winner(kv_store):
    racers = [
        in_thread(partial(kv_store.compare_and_swap, 'key', b'%d' % number, 0))
        for number in range(20)
    ]
    for thread, _ in racers:
        thread.join(20)
    results = [result for _, results in racers for result in results]
    assert len(results) == 20
    won = [result.ok for result in results if result.is_ok()]
    assert won == [kv_store.get('key').ok]


class Operation(NamedTuple):
    """An operation, and the error it returns if its answer is lost."""

    name: str
    call: Callable
    lost: type

    def error(self, kv_store):
        return type(self.call(kv_store).error)


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
    kv_store = KeyValueStore(f'http://127.0.0.1:{port}', 5)
    assert operation.error(kv_store) is UNAVAILABLE


@for_each_operation
def test_refusal_is_unavailable_and_nothing_is_applied(
    kv_store, kv_fault, operation
):
    kv_fault(refuse=True)
    assert operation.error(kv_store) is UNAVAILABLE
    kv_fault(refuse=False)
    assert kv_store.get('key').ok.version == 0


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
        kv_store = KeyValueStore(f'http://127.0.0.1:{port}', 0.1)
        assert operation.error(kv_store) is operation.lost


@pytest.mark.parametrize(
    ('drops', 'lost'),
    [(1, [True, False, False]), (2, [True, True, False]), (-1, [True] * 3)],
)
def test_dropped_answer_took_effect(kv_store, kv_fault, kv_url, drops, lost):
    sent_before = stats(kv_url)['calls'].get('swap', 0)
    kv_fault(drop_swaps=drops)
    for number, is_lost in enumerate(lost):
        result = kv_store.compare_and_swap(f'key{number}', b'new', 0)
        assert result.is_error() is is_lost
        if is_lost:
            assert type(result.error) is SWAP_UNKNOWN
        assert kv_store.get(f'key{number}').ok.value == b'new'
    assert stats(kv_url)['calls']['swap'] == sent_before + len(lost)


def test_drops_only_the_prefix(kv_store, kv_fault):
    kv_fault(drop_swaps=-1, drop_prefix='claims/')
    assert kv_store.compare_and_swap('owner/s', b'me', 0).is_ok()
    assert kv_store.compare_and_swap('claims/7', b'me', 0).is_error()


def test_conflict_is_never_dropped(kv_store, kv_fault):
    kv_fault(drop_swaps=1)
    error = kv_store.compare_and_swap('key', b'new', 5).error
    assert isinstance(error, errors.SwapConflict)


def test_lease_grant_lost(kv_store, kv_fault, kv_url):
    kv_fault(drop_leases=1)
    assert type(kv_store.grant_lease(60).error) is LEASE_UNKNOWN
    assert stats(kv_url)['leases'] == 1


def test_slow_write_lands_after_its_writer_gave_up(kv_url, kv_store, kv_fault):
    impatient = KeyValueStore(kv_url, 0.05)
    kv_fault(slow_ms=1000)
    error = impatient.compare_and_swap('key', b'late', 0).error
    assert type(error) is SWAP_UNKNOWN
    kv_fault(slow_ms=0)
    assert kv_store.get('key').ok.version == 0
    wait_until(lambda: kv_store.get('key').ok.value == b'late', 5, 'late write')


@pytest.mark.parametrize('size', [LARGEST + 1, LARGEST * 3])
def test_large_value_is_refused(kv_store, size):
    error = kv_store.compare_and_swap('key', b'x' * size, 0).error
    assert type(error) is errors.ValueTooLarge
    assert kv_store.get('key').ok.version == 0


@for_each_operation
def test_calls_are_counted_on_both_sides(kv_store, kv_url, operation):
    sent_before = calls(operation.name)
    received_before = stats(kv_url)['calls'].get(operation.name, 0)
    operation.call(kv_store)
    assert calls(operation.name) == sent_before + 1
    assert stats(kv_url)['calls'][operation.name] == received_before + 1
