"""Leases, watches and restarts of the key-value service."""

import pytest
from kv_parts import await_watches, in_thread

from wasabicross.stores import errors


@pytest.mark.parametrize(
    ('ttl_s', 'end'),
    [
        (60, lambda kv_store, lease, kv_fault: kv_store.revoke_lease(lease)),
        (60, lambda kv_store, lease, kv_fault: kv_fault(lapse_leases=True)),
        (1, lambda kv_store, lease, kv_fault: None),
    ],
    ids=['revoked', 'lapsed', 'expired'],
)
def test_keys_vanish_with_their_lease(kv_store, kv_fault, ttl_s, end):
    lease = kv_store.grant_lease(ttl_s).ok
    held = kv_store.compare_and_swap('held', b'1', 0, lease).ok
    kv_store.compare_and_swap('free', b'1', 0)
    end(kv_store, lease, kv_fault)
    assert kv_store.watch('held', held.version, 5).ok == ('held', None, 0)
    assert kv_store.get('free').ok.value == b'1'
    lapsed = (
        kv_store.compare_and_swap('held', b'2', 0, lease),
        kv_store.renew_lease(lease),
        kv_store.revoke_lease(lease),
    )
    for result in lapsed:
        assert type(result.error) is errors.LeaseLapsed


def test_renewed_lease_lasts(kv_store):
    lease = kv_store.grant_lease(1.5).ok
    held = kv_store.compare_and_swap('held', b'1', 0, lease).ok
    for _ in range(5):
        assert kv_store.watch('held', held.version, 0.4).ok == held
        assert kv_store.renew_lease(lease).is_ok()


def test_key_written_without_lease_outlives_it(kv_store):
    lease = kv_store.grant_lease(60).ok
    held = kv_store.compare_and_swap('key', b'1', 0, lease).ok
    kv_store.compare_and_swap('key', b'2', held.version)
    kv_store.revoke_lease(lease)
    assert kv_store.get('key').ok.value == b'2'


def test_watch_ends_with_a_change(kv_store, kv_url):
    watcher, ended = in_thread(lambda: kv_store.watch('key', 0, 30).ok)
    await_watches(kv_url, 1)
    kv_store.compare_and_swap('other', b'1', 0)
    written = kv_store.compare_and_swap('key', b'1', 0).ok
    watcher.join(5)
    assert ended == [written]


@pytest.mark.parametrize(
    'end', [{'refuse': True}, {'restart_empty': True}], ids=str
)
def test_outage_ends_watches(kv_store, kv_fault, kv_url, end):
    watcher, ended = in_thread(lambda: kv_store.watch('key', 0, 30).error)
    await_watches(kv_url, 1)
    kv_fault(**end)
    watcher.join(5)
    assert [type(error) for error in ended] == [errors.KeyValueUnavailable]


@pytest.mark.parametrize('keep_versions', [True, False])
def test_restart_empty(kv_store, kv_fault, keep_versions):
    lease = kv_store.grant_lease(60).ok
    for version in (0, 1):
        kv_store.compare_and_swap('key', b'1', kv_store.get('key').ok.version)
    before = kv_store.get('key').ok.version
    kv_fault(restart_empty=True, keep_versions=keep_versions)
    assert kv_store.get('key').ok.version == 0
    assert type(kv_store.renew_lease(lease).error) is errors.LeaseLapsed
    again = kv_store.compare_and_swap('key', b'2', 0).ok.version
    assert (again > before) is keep_versions


def test_hundreds_of_watches_wait(kv_store, kv_url):
    count = 600
    started = [
        in_thread(lambda: kv_store.watch('hot', 0, 60).ok) for _ in range(count)
    ]
    await_watches(kv_url, count)
    written = kv_store.compare_and_swap('hot', b'1', 0).ok
    for watcher, ended in started:
        watcher.join(20)
        assert ended == [written]
