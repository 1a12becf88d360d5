"""Actions of operators: races, lost answers, repeats and refusals.

Each action must take effect once, whichever write or answer of it is lost, and
a race of several operators must have one winner.
"""

import threading

import pytest
from bundle_parts import (
    ALICE,
    DATA_CENTRES,
    MALLORY,
    NOW,
    TRUSTED,
    bundle_text,
    instance,
)
from memory_store import MemoryStore

from wasabicross.bundles import rollout_errors
from wasabicross.bundles.bundle_changes import count_changes
from wasabicross.bundles.bundle_file import parse_bundle_file
from wasabicross.bundles.bundle_keys import CURRENT_KEY
from wasabicross.bundles.bundle_store import BundleStore
from wasabicross.bundles.drafts import Drafts
from wasabicross.bundles.holder import BundleHolder
from wasabicross.bundles.manifests import signature_of
from wasabicross.operators.bundle_status import data_centre_statuses
from wasabicross.operators.rollout import Rollout


class OperatorSession:
    """An operator with a process of the administration API."""

    def __init__(self, keys, name='alice'):
        self.keys = keys
        self.name = name
        self.store = BundleStore(keys)
        self.drafts = Drafts(self.store, TRUSTED)
        self.rollout = Rollout(self.store, TRUSTED)
        self.instances = None

    def prepared(self, version):
        parsed = parse_bundle_file(bundle_text({'a': version})).ok
        return self.drafts.prepare(parsed, self.name, NOW)

    def sign_off(self, digest, key=ALICE, key_name='alice'):
        manifest = self.drafts.prepared(digest).ok.draft.manifest
        signature = signature_of(manifest, key)
        return self.drafts.sign_off(digest, key_name, signature)

    def signed(self, version):
        digest = self.prepared(version).ok.digest
        assert self.sign_off(digest).is_ok()
        return digest

    def roll(self, digest):
        return self.rollout.roll(digest, self.name, NOW, self.statuses)

    def supersede(self, digest, number):
        return self.rollout.supersede(digest, number, self.name, NOW)

    def statuses(self, pointer):
        instances = self.instances
        if instances is None:
            instances = [instance(number=pointer.number)]
        return data_centre_statuses(pointer, instances, DATA_CENTRES)


@pytest.fixture
def keys():
    return MemoryStore()


@pytest.fixture
def operator(keys):
    return OperatorSession(keys)


def error_name(result):
    return type(result.error).__name__ if result.is_error() else 'ok'


def test_first_and_next_bundle_reach_a_holder(operator):
    holder = BundleHolder(TRUSTED)
    for number in (1, 2, 3):
        pointer = operator.roll(operator.signed(f'v{number}')).ok
        assert pointer.number == number
        assert holder.offer(
            pointer, operator.store.parts_of(number), NOW
        ).is_ok()
        assert holder.current.adapter('a').version == f'v{number}'
    numbers = [past.number for past in operator.rollout.history(10).ok]
    assert numbers == [3, 2, 1]
    assert [past.number for past in operator.rollout.history(2).ok] == [3, 2]


def test_each_action_may_be_repeated(operator, keys):
    digest = operator.prepared('1').ok.digest
    steps = [
        lambda: operator.prepared('1'),
        lambda: operator.sign_off(digest),
        lambda: operator.roll(digest),
    ]
    for step in steps:
        first = step()
        written = len(keys.swaps)
        assert step() == first
        assert len(keys.swaps) == written
    second = operator.signed('2')
    first = operator.supersede(second, 1)
    assert operator.supersede(second, 1) == first
    assert error_name(operator.roll(digest)) == 'AlreadySuperseded'


@pytest.mark.parametrize(
    ('spoil', 'error'),
    [
        (lambda operator: 'f' * 64, 'UnknownBundle'),
        (lambda operator: operator.prepared('2').ok.digest, 'BundleNotSigned'),
        (lambda operator: _lose_race(operator), 'RaceLost'),
        (lambda operator: _distrust_key(operator), 'SignatureRefused'),
        (lambda operator: _stop_store(operator), 'StoreUnavailable'),
    ],
)
@pytest.mark.parametrize('action', ['roll', 'supersede'])
def test_refusals(operator, spoil, error, action):
    operator.roll(operator.signed('1'))
    digest = spoil(operator)
    before = operator.keys.keys[CURRENT_KEY]
    args = (digest,) if action == 'roll' else (digest, before.version)
    assert error_name(getattr(operator, action)(*args)) == error
    assert operator.keys.keys[CURRENT_KEY] == before


def _lose_race(operator):
    digest = operator.signed('mine')
    assert operator.roll(operator.signed('other')).is_ok()
    return digest


def _distrust_key(operator):
    digest = operator.signed('2')
    operator.rollout = Rollout(operator.store, {'bob': MALLORY.verify_key})
    return digest


def _stop_store(operator):
    digest = operator.signed('2')
    operator.keys.is_down = True
    return digest


def test_supersede_names_the_bundle_it_replaces(operator):
    assert (
        error_name(operator.supersede(operator.signed('1'), 0))
        == 'UnknownBundle'
    )
    operator.roll(operator.signed('1'))
    digest = operator.signed('2')
    assert error_name(operator.supersede(digest, 2)) == 'RaceLost'
    assert operator.supersede(digest, 1).ok.number == 2


@pytest.mark.parametrize(
    ('instances', 'error'),
    [
        ([instance(number=2), instance('ltn', 2)], 'ok'),
        ([instance(number=2), instance('ltn', 1)], 'StillRolling'),
        ([instance(number=2), instance(number=0, at=2)], 'StillRolling'),
        ([instance(number=2), instance('ltn', 1, heard_s=6)], 'ok'),
        ([instance(number=2, heard_s=6)], 'SpreadUnknown'),
        ([], 'SpreadUnknown'),
    ],
)
def test_roll_waits_for_the_one_before_and_supersede_does_not(
    operator, instances, error
):
    operator.roll(operator.signed('1'))
    operator.roll(operator.signed('2'))
    digest = operator.signed('3')
    operator.instances = instances
    assert error_name(operator.roll(digest)) == error
    assert operator.supersede(digest, 2).ok.number == 3


@pytest.mark.parametrize(
    ('key', 'key_name', 'error'),
    [
        (ALICE, 'alice', 'ok'),
        (ALICE, 'bob', 'SignatureRefused'),
        (MALLORY, 'alice', 'SignatureRefused'),
    ],
)
def test_sign_off_verifies_the_signature(operator, key, key_name, error):
    digest = operator.prepared('1').ok.digest
    assert error_name(operator.sign_off(digest, key, key_name)) == error
    signed_by = operator.drafts.signed_by(digest).ok
    assert signed_by == ('alice' if error == 'ok' else None)


def test_signature_of_a_key_no_longer_trusted_is_replaced(operator):
    digest = operator.prepared('1').ok.digest
    before = Drafts(operator.store, {'old': MALLORY.verify_key})
    operator.drafts, now_trusted = before, operator.drafts
    assert operator.sign_off(digest, MALLORY, 'old').is_ok()
    operator.drafts = now_trusted
    assert operator.sign_off(digest).ok.key_name == 'alice'
    assert operator.roll(digest).is_ok()


@pytest.mark.parametrize('action', ['roll', 'supersede'])
@pytest.mark.parametrize(
    ('faults', 'error', 'number'),
    [
        (['lost'], 'ok', 2),
        (['dropped'], 'ok', 2),
        (['dropped', 'lost'], 'ok', 2),
        (['refused'], 'StoreUnavailable', 1),
        (['lost', 'refused', 'refused'], 'RollOutcomeUnknown', 2),
        (['dropped'] * 3, 'RollOutcomeUnknown', 1),
        (['dropped', 'refused', 'refused'], 'RollOutcomeUnknown', 1),
    ],
)
def test_lost_answer_of_the_swap(operator, action, faults, error, number):
    operator.roll(operator.signed('1'))
    digest = operator.signed('2')
    args = (digest,) if action == 'roll' else (digest, 1)
    operator.keys.faults[CURRENT_KEY].extend(faults)
    assert error_name(getattr(operator, action)(*args)) == error
    assert operator.store.current().ok.pointer.number == number
    repeated = getattr(operator, action)(*args)
    assert repeated.ok.digest == digest
    assert [past.number for past in operator.rollout.history(9).ok] == [2, 1]


@pytest.mark.parametrize('prefix', ['bundle/chunk', 'bundle/draft', 'bundle/m'])
@pytest.mark.parametrize(
    ('faults', 'error'),
    [
        (['lost'], 'ok'),
        (['dropped', 'lost'], 'ok'),
        (['refused'], 'StoreUnavailable'),
        (['lost'] * 3, 'StoreUnavailable'),
    ],
)
def test_lost_answers_of_other_writes(operator, prefix, faults, error):
    operator.keys.faults[prefix].extend(faults)
    prepared = operator.prepared('1')
    if prefix == 'bundle/m':
        first = operator.sign_off(prepared.ok.digest)
    else:
        first = prepared
    assert error_name(first) == error
    digest = operator.signed('1')
    pointer = operator.roll(digest).ok
    assert (
        BundleHolder(TRUSTED)
        .offer(pointer, operator.store.parts_of(pointer.number), NOW)
        .is_ok()
    )


@pytest.mark.parametrize(
    ('own_fault', 'later', 'outcome'),
    [
        # Another operator swaps between the read and the swap of this one.
        (None, False, 'RaceLost'),
        # The swap is applied, its answer is lost and its bundle superseded.
        ('lost', True, 'ok'),
        ('dropped', False, 'RaceLost'),
    ],
)
def test_race_between_read_and_swap(keys, own_fault, later, outcome):
    alice, bob = OperatorSession(keys), OperatorSession(keys, 'bob')
    alice.roll(alice.signed('1'))
    mine = alice.signed('mine')
    theirs = None if later else bob.signed('theirs')

    def bob_acts():
        if later:
            assert bob.supersede(bob.signed('theirs'), 2).is_ok()
        else:
            assert bob.supersede(theirs, 1).is_ok()

    faults = [own_fault, bob_acts] if own_fault else [bob_acts]
    keys.faults[CURRENT_KEY].extend(faults)
    result = alice.roll(mine)
    assert error_name(result) == outcome
    if outcome == 'RaceLost':
        assert result.error.winner.rolled_by == 'bob'
        assert 'rolled first by bob' in str(result.error)
    else:
        assert result.ok == bob.rollout.history(9).ok[1]


@pytest.mark.parametrize('action', ['roll', 'supersede'])
def test_one_of_many_racing_operators_wins(keys, action):
    names = [f'operator-{number}' for number in range(8)]
    OperatorSession(keys).roll(OperatorSession(keys).signed('1'))
    results = {}
    start = threading.Barrier(len(names))

    def race(name):
        operator = OperatorSession(keys, name)
        digest = operator.signed(name)
        start.wait()
        args = (digest,) if action == 'roll' else (digest, 1)
        results[name] = getattr(operator, action)(*args)

    threads = [threading.Thread(target=race, args=(name,)) for name in names]
    for thread in threads:
        thread.start()
    for thread in threads:
        thread.join()
    (winner,) = [name for name in names if results[name].is_ok()]
    losers = [results[name].error for name in names if name != winner]
    assert {type(exc) for exc in losers} == {rollout_errors.RaceLost}
    assert {exc.winner.rolled_by for exc in losers} == {winner}


def test_changes_are_counted(operator):
    versions = {f'a{number}': '1' for number in range(300)}
    manifests = []
    for changes in ({}, {'a7': '2', 'new': '1'}):
        text = bundle_text({**versions, **changes})
        prepared = operator.drafts.prepare(parse_bundle_file(text).ok, 'x', NOW)
        manifests.append(prepared.ok.manifest)
    first, second = manifests
    assert count_changes(None, first, operator.store.parts_of).ok == (300, 0, 0)
    assert count_changes(first, second, operator.store.parts_of).ok == (1, 0, 1)
    assert count_changes(second, first, operator.store.parts_of).ok == (0, 1, 1)
