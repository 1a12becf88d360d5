"""Bundle files, their encoding and signatures, and the bundle in force.

A tampered, incomplete or older bundle must not replace the one in force.
"""

import random
import threading
import tracemalloc
from datetime import timedelta

import cbor2
import pytest
from bundle_parts import (
    ALICE,
    MALLORY,
    NOW,
    ROUTES,
    TRUSTED,
    MemorySource,
    built,
    bundle_text,
    pointer_to,
    sign_manifest,
)

from wasabicross.bundles import errors
from wasabicross.bundles.bundle_file import PolicySection, parse_bundle_file
from wasabicross.bundles.bundles import AdapterVersion, SignedManifest
from wasabicross.bundles.holder import BundleHolder
from wasabicross.bundles.manifests import (
    decode_pointer,
    decode_signed,
    encode_part,
    signature_of,
)
from wasabicross.servers.policy import Weights

ADAPTERS_AT_FULL_SIZE = 43_000


def full_size(**changes):
    versions = {
        f'tenant-{number % 40}.letters.{number:05}': f'{number % 90}.0'
        for number in range(ADAPTERS_AT_FULL_SIZE)
    }
    return {**versions, **changes}


def offered(bundle, number=1, holder=None, source=None):
    holder = holder or BundleHolder(TRUSTED)
    source = source or MemorySource(bundle)
    return holder, holder.offer(pointer_to(bundle, number), source, NOW)


@pytest.mark.parametrize(
    ('path', 'group'),
    [
        ('/v1/chat/completions', 'drafting'),
        ('/v1/chat/completions/', 'drafting'),
        ('/v1/chat/completions2', None),
        ('/fees', 'fees'),
        ('/fees/7/status', 'fees'),
        ('/fees/quotes', 'quotes'),
        ('/fees/quotes/1', 'quotes'),
        ('/', None),
    ],
)
def test_longest_route_wins(path, group):
    bundle = offered(built({}))[1].ok
    route = bundle.route(path)
    assert (route and route.group) == group


def test_bundle_returns_its_contents():
    bundle = offered(built({'a/b': '1', 'c': '2.0'}))[1].ok
    assert bundle.adapter('a/b') == AdapterVersion('a/b', '1', 'base-a')
    assert bundle.adapter('\ud800') is None
    assert set(bundle.adapters()) == {'a/b', 'c'}
    assert bundle.policy == {'stall_weight': 2}
    assert bundle.routes[1].idempotent_methods == ('GET',)


@pytest.mark.parametrize(
    ('changes', 'priority'),
    [
        ({}, 0),
        ({'class_priorities': {'fee': 3}}, 0),
        ({'class_priorities': {'letter': 7, 'fee': 3}}, 7),
        ({'class_priorities': {'letter': -100}}, -100),
    ],
)
def test_bundle_returns_the_priority_of_a_class(changes, priority):
    bundle = offered(built({}, **changes))[1].ok
    assert bundle.priority_of('letter') == priority


def test_bundle_without_priorities_is_encoded_as_before_there_were_any():
    manifest = cbor2.loads(built({}).manifest)
    assert 'class_priorities' not in manifest


@pytest.mark.parametrize(
    ('versions', 'changes', 'faults'),
    [
        ({'a': 1}, {}, ['adapters.0.versions.a']),
        ({'a@1': '1', 'b': '1 2'}, {}, [
            'adapters.0.versions.a@1.[key]',
            'adapters.0.versions.b',
        ]),
        ({}, {'routes': [ROUTES[1], ROUTES[1]]}, ['routes.1.path']),
        ({}, {'routes': []}, ['routes']),
        ({}, {'policy': {'stall_weight': -1, 'speed': 1}}, [
            'policy.stall_weight',
            'policy.speed',
        ]),
        ({}, {'name': '', 'extra': 1}, ['name', 'extra']),
        ({}, {'class_priorities': {'letter': 101, 'fee': 0.5}}, [
            'class_priorities.fee',
            'class_priorities.letter',
        ]),
        ({}, {'class_priorities': {'lettre': 1, 'fee': 2}}, [
            'class_priorities.lettre',
        ]),
        ({}, {
            'adapters': [
                {'base_model': 'x', 'versions': {'a': '1'}},
                {'base_model': 'y', 'versions': {'a': '1'}},
            ],
        }, ['adapters.1.versions.a']),
    ],
)  # fmt: skip
def test_faults_of_a_bundle_file_are_reported_together(
    versions, changes, faults
):
    parsed = parse_bundle_file(bundle_text(versions, **changes))
    assert [fault.path for fault in parsed.error.faults] == faults


def test_policy_of_the_file_names_the_weights_of_the_policy():
    assert tuple(PolicySection.model_fields) == Weights._fields


@pytest.mark.parametrize('text', ['', '[]', '{', '7', 'name: a\nname: b'])
def test_text_that_is_no_bundle_file(text):
    assert parse_bundle_file(text).error.faults


def test_one_changed_adapter_costs_one_chunk():
    versions = full_size()
    before = built(versions)
    after = built({**versions, 'tenant-1.letters.00001': '99'}, 2)
    source = MemorySource(before, after)
    holder, _ = offered(before, source=source)
    source.fetched.clear()
    assert offered(after, 2, holder, source)[1].is_ok()
    assert len(source.fetched) == 2
    assert sum(map(len, source.fetched)) < 20_000


def test_held_bundle_uses_little_memory_at_full_size():
    bundle = built(full_size())
    source = MemorySource(bundle)
    holder = BundleHolder(TRUSTED)
    tracemalloc.start()
    before = tracemalloc.get_traced_memory()[0]
    assert holder.offer(pointer_to(bundle), _CopyingSource(source), NOW).is_ok()
    held_bytes = tracemalloc.get_traced_memory()[0] - before
    tracemalloc.stop()
    assert holder.current.adapter('tenant-7.letters.00007').version == '7.0'
    assert held_bytes < 2_000_000


class _CopyingSource:
    """Returns copies of the parts, as a fetch over the network does."""

    def __init__(self, source):
        self._source = source

    def manifest(self, digest):
        return self._source.manifest(digest).map(_copy)

    def chunk(self, digest):
        return self._source.chunk(digest).map(_copy)


def _copy(encoded):
    return bytes(bytearray(encoded))


def resigned(bundle, **changes):
    signature = signature_of(bundle.manifest, ALICE)
    signed = SignedManifest(bundle.manifest, 'alice', signature)
    return encode_part(signed._replace(**changes))


@pytest.mark.parametrize(
    ('tamper', 'error'),
    [
        (lambda new: resigned(new, key_name='bob'), 'BundleUntrusted'),
        (lambda new: resigned(new, signature=bytes(64)), 'BundleUntrusted'),
        (lambda new: resigned(new, signature=b''), 'BundleUntrusted'),
        (
            lambda new: sign_manifest(new.manifest, 'alice', MALLORY),
            'BundleUntrusted',
        ),
        (lambda new: resigned(new, manifest=b'x'), 'BundleMalformed'),
        (lambda new: resigned(new)[:-1], 'BundleMalformed'),
        (lambda new: b'', 'BundleMalformed'),
        (lambda new: b'\x9f' * 2000, 'BundleMalformed'),
        (lambda new: b'\xbb' + b'\xff' * 8, 'BundleMalformed'),
        (lambda new: bytes(1_000_001), 'BundleMalformed'),
    ],
)
def test_tampered_manifest_leaves_the_bundle_in_force(tamper, error):
    old, new = built({'a': '1'}), built({'a': '2'}, 2)
    holder, _ = offered(old)
    source = MemorySource(new)
    source.manifests[new.digest] = tamper(new)
    result = offered(new, 2, holder, source)[1]
    assert type(result.error) is getattr(errors, error)
    assert holder.current.digest == old.digest


@pytest.mark.parametrize(
    ('chunk', 'error'),
    [(None, 'BundleUnavailable'), (b'\xa0\x00', 'BundleMalformed')],
)
def test_wrong_chunk_leaves_the_bundle_in_force(chunk, error):
    new = built({'a': '2'})
    source = MemorySource(new)
    digest = next(reversed(source.chunks))
    del source.chunks[digest]
    if chunk is not None:
        source.chunks[digest] = chunk
    holder, result = offered(new, source=source)
    assert type(result.error) is getattr(errors, error)
    assert holder.current is None


@pytest.mark.parametrize('seed', range(20))
def test_random_bytes_are_refused(seed):
    rng = random.Random(seed)
    signed = bytearray(resigned(built({'a': '1'})))
    for _ in range(200):
        garbage = rng.randbytes(rng.randrange(60))
        assert decode_pointer(garbage).is_error()
        assert decode_signed(garbage).is_error()
        flipped = bytes(signed[: rng.randrange(len(signed))])
        assert decode_signed(flipped).is_error()


@pytest.mark.parametrize(
    'change',
    [{'number': 0}, {'number': True}, {'number': '1'}, {'digest': 'AB'}],
)
def test_pointer_fields_are_checked(change):
    pointer = pointer_to(built({}))
    assert decode_pointer(encode_part(pointer)).ok == pointer
    changed = encode_part(pointer._replace(**change))
    assert decode_pointer(changed).is_error()


@pytest.mark.parametrize(
    ('number', 'versions', 'outcome'),
    [
        (3, {'a': '3'}, 3),
        (2, {'a': '2'}, 2),
        (2, {'a': 'other'}, 'superseded'),
        (1, {'a': '1'}, 'superseded'),
    ],
)
def test_number_only_rises(number, versions, outcome):
    holder, _ = offered(built({'a': '2'}, 2), 2)
    source = MemorySource(built(versions, number))
    result = offered(built(versions, number), number, holder, source)[1]
    if outcome == 'superseded':
        assert source.fetched == []
        assert isinstance(result.error, errors.BundleSuperseded)
        assert holder.current.number == 2
    else:
        assert holder.current.number == result.ok.number == outcome


def test_pointer_with_another_number_is_refused():
    result = offered(built({'a': '2'}, 2), 3)[1]
    assert isinstance(result.error, errors.BundleMalformed)


def test_offer_overtaken_while_it_is_fetched_is_refused():
    older, newer = built({'a': '2'}, 2), built({'a': '3'}, 3)
    holder = BundleHolder(TRUSTED)

    class Overtaken(MemorySource):
        def manifest(self, digest):
            assert offered(newer, 3, holder)[1].is_ok()
            return super().manifest(digest)

    result = offered(older, 2, holder, Overtaken(older))[1]
    assert isinstance(result.error, errors.BundleSuperseded)
    assert holder.current.number == 3


def test_concurrent_offers_end_at_the_highest():
    bundles = [built({'a': str(n)}, n) for n in range(1, 9)]
    source = MemorySource(*bundles)
    holder = BundleHolder(TRUSTED)
    seen = []

    def offer(number):
        later = NOW + timedelta(seconds=number)
        pointer = pointer_to(bundles[number - 1], number)
        holder.offer(pointer, source, later)
        seen.append(holder.current.number)

    threads = [
        threading.Thread(target=offer, args=(number,))
        for number in random.Random(1).sample(range(1, 9), 8)
    ]
    for thread in threads:
        thread.start()
    for thread in threads:
        thread.join()
    assert holder.current.number == holder.pointer.number == 8
    assert holder.in_force_since == (NOW + timedelta(seconds=8)).isoformat()
    assert holder.manifest_bytes == source.manifests[bundles[7].digest]
