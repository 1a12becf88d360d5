"""Old bundles are removed from the key-value service.

A removal must not take a part that a newer bundle or draft still uses.
"""

import random

import pytest
from bundle_parts import ALICE, NOW, TRUSTED, bundle_text
from memory_store import MemoryStore

from wasabicross.bundles import bundle_cleaner, bundle_keys
from wasabicross.bundles.bundle_cleaner import BundleCleaner
from wasabicross.bundles.bundle_file import parse_bundle_file
from wasabicross.bundles.bundle_store import BundleStore
from wasabicross.bundles.drafts import Drafts
from wasabicross.bundles.holder import BundleHolder
from wasabicross.bundles.manifests import signature_of
from wasabicross.operators.rollout import Rollout

GENERATION = 4
ADAPTERS = [f'adapter-{number}' for number in range(6)]
ROLLS = 40


@pytest.fixture(autouse=True)
def short_generations(monkeypatch):
    monkeypatch.setattr(bundle_keys, 'GENERATION_BUNDLES', GENERATION)
    monkeypatch.setattr(bundle_cleaner, 'KEPT_BUNDLES', 2 * GENERATION)


class Operator:
    """Rolls bundles and cleans up through one store."""

    def __init__(self):
        self.keys = MemoryStore()
        self.store = BundleStore(self.keys)
        self.cleaner = BundleCleaner(self.store)
        self.drafts = Drafts(self.store, TRUSTED)
        self.rollout = Rollout(self.store, TRUSTED)

    def prepared(self, versions):
        parsed = parse_bundle_file(bundle_text(versions)).ok
        return self.drafts.prepare(parsed, 'alice', NOW).ok

    def roll(self, versions):
        prepared = self.prepared(versions)
        signature = signature_of(prepared.draft.manifest, ALICE)
        self.drafts.sign_off(prepared.digest, 'alice', signature)
        current = self.rollout.current().ok.pointer
        if current is None:
            rolled = self.rollout.roll(prepared.digest, 'alice', NOW, list)
        else:
            rolled = self.rollout.supersede(
                prepared.digest, current.number, 'alice', NOW
            )
        return rolled.ok

    def fetched(self, pointer):
        """Return the bundle in force as a new process fetches it."""
        parts = self.store.parts_of(pointer.number)
        return BundleHolder(TRUSTED).offer(pointer, parts, NOW).ok

    def stored(self, prefix):
        return [
            key
            for key, found in self.keys.keys.items()
            if found.value is not None and key.startswith(prefix)
        ]


@pytest.mark.parametrize('failing', [0, 0.3])
@pytest.mark.parametrize('seed', range(3))
def test_every_bundle_in_force_stays_complete(seed, failing):
    rng = random.Random(seed)
    operator = Operator()
    for _ in range(ROLLS):
        versions = {name: rng.choice('12') for name in ADAPTERS}
        pointer = operator.roll(versions)
        if rng.random() < failing:
            operator.keys.faults['bundle/'].extend(['refused'] * 2)
        operator.cleaner.clean(pointer.number)
        operator.keys.faults.clear()
        bundle = operator.fetched(pointer)
        found_versions = {
            name: bundle.adapter(name).version for name in ADAPTERS
        }
        assert found_versions == versions


def test_old_bundles_are_removed():
    operator = Operator()
    for number in range(1, ROLLS + 1):
        operator.cleaner.clean(operator.roll({'a': str(number % 3)}).number)
        assert len(operator.stored('bundle/manifest/')) <= 2 * GENERATION
        assert len(operator.stored('bundle/draft/')) <= 2 * GENERATION
    assert len(operator.rollout.history(ROLLS).ok) == ROLLS
    generations = {
        key.split('/')[2] for key in operator.stored('bundle/chunk/')
    }
    assert len(generations) <= 3


def test_draft_that_brings_back_an_old_chunk():
    """The draft is prepared before the old bundle with its chunk is removed."""
    operator = Operator()
    operator.roll({'a': 'old'})
    for number in range(2 * GENERATION - 1):
        operator.roll({'a': str(number)})
    operator.prepared({'a': 'old'})
    operator.cleaner.clean(2 * GENERATION + 1)
    assert operator.fetched(operator.roll({'a': 'old'}))


def test_bundle_that_could_not_be_removed_is_tried_again():
    operator = Operator()
    for number in range(2 * GENERATION + 1):
        pointer = operator.roll({'a': str(number)})
    first = operator.rollout.history(ROLLS).ok[-1]
    operator.keys.is_down = True
    operator.cleaner.clean(pointer.number)
    operator.keys.is_down = False
    assert operator.store.manifest(first.digest).is_ok()
    operator.cleaner.clean(pointer.number + 1)
    assert operator.store.manifest(first.digest).is_error()


def test_removal_writes_little():
    operator = Operator()
    for number in range(2 * GENERATION + 1):
        operator.roll({'a': str(number)})
    operator.keys.swaps.clear()
    operator.cleaner.clean(2 * GENERATION + 1)
    parts = sorted(key.split('/')[1] for key in operator.keys.swaps)
    assert parts == ['chunk', 'draft', 'manifest']
