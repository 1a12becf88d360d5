"""The writes of a claim log are batched, paced and trimmed.

One test runs the log against the stand-in of the key-value service.
"""

import threading
import time
from types import SimpleNamespace

import pytest
import urllib3
from memory_store import MemoryStore
from range_parts import HORIZON_S, RESULT_TIMEOUT_S, RangeLog, range_logs_of

from emulator.waiting import wait_until
from wasabicross.claims import claim_log, claim_segments
from wasabicross.claims.claims import AlreadyRunning, Granted, InDoubt, NotOwned
from wasabicross.stores.kv import KeyValueStore


@pytest.fixture
def store():
    return MemoryStore()


@pytest.fixture
def make(store):
    with range_logs_of(store) as make_range_log:
        yield make_range_log


def test_claims_that_wait_share_a_write(make, store):
    range_log = make()
    has_started = threading.Event()
    may_continue = threading.Event()

    def hold():
        has_started.set()
        assert may_continue.wait(RESULT_TIMEOUT_S)

    store.faults['claims/0/0'].append(hold)
    first = range_log.submit_claim('a', key='first')
    assert has_started.wait(RESULT_TIMEOUT_S)
    rest = [
        range_log.submit_claim('a', key=f'k{number}') for number in range(100)
    ]
    before = len(store.swaps)
    may_continue.set()
    for fut in (first, *rest):
        assert fut.result(RESULT_TIMEOUT_S) == Granted()
    assert len(store.swaps) - before == 2


def test_writes_are_paced(make, store):
    range_log = make(interval_s=0.05)
    before = len(store.swaps)
    started_s = time.monotonic()
    for number in range(6):
        assert range_log.claim('a', key=f'k{number}') == Granted()
    took_s = time.monotonic() - started_s
    assert len(store.swaps) - before == 6
    assert took_s >= 5 * 0.05


def test_writes_of_a_burst_follow_at_once_and_no_more(make):
    range_log = make(interval_s=HORIZON_S, burst=3)
    for number in range(3):
        assert range_log.claim('a', key=f'k{number}') == Granted()
    pending = range_log.submit_claim('a', key='late')
    # A stop writes the waiting claim at once: only the pace delayed it.
    assert not pending.done()
    range_log.log.stop()
    assert pending.result(RESULT_TIMEOUT_S) == Granted()


def test_old_segments_are_trimmed(make, store, monkeypatch):
    monkeypatch.setattr(claim_segments, 'SEGMENT_BYTES', 100)
    range_log = make()
    for number in range(30):
        assert range_log.claim('a', key=f'k{number}', now_s=number) == Granted()
    head = wait_until(lambda: store.keys.get('claims/0/head'), RESULT_TIMEOUT_S)
    assert store.keys['claims/0/000000000000'].value is None
    assert int(head.value) > 0
    assert make().claim('b', key='k29', now_s=30) == AlreadyRunning('a')


def test_log_over_the_service(kv_url, monkeypatch):
    monkeypatch.setattr(claim_segments, 'SEGMENT_BYTES', 100)
    store = KeyValueStore(kv_url, 5.0)
    first = RangeLog(store)
    faults = {'drop_swaps': 3, 'drop_prefix': 'claims/'}
    urllib3.request('POST', f'{kv_url}/fault', json=faults)
    for number in range(30):
        # All but the last five claims are old enough to be trimmed.
        now_s = 0 if number < 25 else time.time()
        key = f'k{number}'
        assert first.claim('a', key=key, now_s=now_s) == Granted()
    dropped = urllib3.request('GET', f'{kv_url}/stats').json()['dropped']
    assert dropped['drop_swaps'] == 3
    second = RangeLog(store)
    now_s = time.time()
    assert int(store.get('claims/0/head').ok.value) > 0
    assert second.claim('b', key='k29', now_s=now_s) == AlreadyRunning('a')
    assert second.claim('b', now_s=now_s) == Granted()
    assert first.claim('c') == NotOwned()
    second.log.stop()
    store.close()


def test_owner_paused_beyond_the_horizon_grants_nothing(
    make, store, monkeypatch
):
    range_log = make()

    def pause():
        later_s = time.monotonic() + HORIZON_S
        clock = SimpleNamespace(monotonic=lambda: later_s, time=time.time)
        monkeypatch.setattr(claim_log, 'time', clock)

    store.faults['claims/0/0'].append(pause)
    # The claim is written, but the owner cannot know that it still holds.
    assert range_log.claim('a') == InDoubt()
    assert range_log.log.deposed.is_set()
    assert range_log.claim('b', key='other') == NotOwned()
