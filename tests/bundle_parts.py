"""Bundles, signed manifests and a bundle source for the tests."""

from datetime import datetime, timezone

import yaml
from expression import Error, Ok
from nacl.signing import SigningKey

from wasabicross.bundles.bundle_file import build_bundle, parse_bundle_file
from wasabicross.bundles.bundles import BundlePointer, SignedManifest
from wasabicross.bundles.errors import BundleUnavailable
from wasabicross.bundles.manifests import encode_part, signature_of
from wasabicross.operators.bundle_status import InstanceBundleStatus

NOW = datetime(2026, 12, 3, 21, tzinfo=timezone.utc)
DATA_CENTRES = ('hbt-a', 'ltn')
ALICE = SigningKey(b'a' * 32)
MALLORY = SigningKey(b'm' * 32)
TRUSTED = {'alice': ALICE.verify_key}
ROUTES = [
    {
        'path': '/v1/chat/completions',
        'kind': 'engine',
        'group': 'drafting',
        'request_class': 'letter',
    },
    {
        'path': '/fees',
        'kind': 'service',
        'group': 'fees',
        'request_class': 'fee',
        'idempotent_methods': ['GET'],
    },
    {
        'path': '/fees/quotes/',
        'kind': 'service',
        'group': 'quotes',
        'request_class': 'fee',
    },
]


def bundle_text(versions, **changes):
    document = {
        'name': 'closing',
        'routes': ROUTES,
        'adapters': [{'base_model': 'base-a', 'versions': versions}],
        'policy': {'stall_weight': 2},
        **changes,
    }
    return yaml.dump(document)


def built(versions, number=1, parent='', **changes):
    parsed = parse_bundle_file(bundle_text(versions, **changes)).ok
    return build_bundle(parsed, number, parent).ok


def pointer_to(bundle, number=1):
    return BundlePointer(number, bundle.digest, NOW.isoformat(), 'alice')


def sign_manifest(manifest, key_name, key):
    signature = signature_of(manifest, key)
    return encode_part(SignedManifest(manifest, key_name, signature))


class MemorySource:
    """A source of signed bundles that records the parts fetched from it."""

    def __init__(self, *bundles, key_name='alice', key=ALICE):
        self.manifests = {
            bundle.digest: sign_manifest(bundle.manifest, key_name, key)
            for bundle in bundles
        }
        self.chunks = {}
        for bundle in bundles:
            self.chunks.update(bundle.chunks)
        self.fetched = []

    def manifest(self, digest):
        return self._fetch(self.manifests, digest)

    def chunk(self, digest):
        return self._fetch(self.chunks, digest)

    def _fetch(self, parts, digest):
        if digest not in parts:
            return Error(BundleUnavailable(f'{digest} is not here'))
        self.fetched.append(parts[digest])
        return Ok(parts[digest])


def instance(data_centre='hbt-a', number=1, heard_s=0.1, since='2026', at=1):
    """Return the bundle status that an instance reports.

    :param heard_s: age of the report in s.
    :param at: number of the instance within its data centre.
    """
    return InstanceBundleStatus(
        f'{data_centre}-{at}', data_centre, number, 'd', since, heard_s
    )
