"""Brings a signed bundle into force by writing it to the key-value service."""

from datetime import UTC, datetime
from typing import Any

import yaml

from emulator.deployment import BASE_MODEL, KEY_NAME, Deployment
from wasabicross.bundles.bundle_file import build_bundle, parse_bundle_file
from wasabicross.bundles.bundle_store import BundleStore
from wasabicross.bundles.bundles import BundlePointer, SignedManifest
from wasabicross.bundles.manifests import encode_part, signature_of
from wasabicross.runtime.settings import KeyValueSettings
from wasabicross.stores.kv import KeyValueStore

CHAT_PATH = '/v1/chat/completions'


def bundle_text(versions: dict[str, str], policy: dict[str, float]) -> str:
    """Return a bundle file with the routes of a deployment.

    :param versions: versions by adapter name.
    :param policy: weights of the routing policy.
    """
    document: dict[str, Any] = {
        'name': 'bench',
        'routes': [
            {
                'path': CHAT_PATH,
                'kind': 'engine',
                'group': 'drafting',
                'request_class': 'draft',
                'idempotent_methods': ['POST'],
            },
            {
                'path': '/orders',
                'kind': 'service',
                'group': 'order-desk',
                'request_class': 'order',
                'idempotent_methods': ['GET'],
            },
        ],
        'adapters': [{'base_model': BASE_MODEL, 'versions': versions}],
        'policy': policy,
    }
    return yaml.safe_dump(document)


def put_in_force(deployment: Deployment, text: str) -> BundlePointer:
    """Build, sign and store a bundle that succeeds the one in force.

    :param text: the bundle file.
    :raises ValueError: the file has faults, or another roll interfered.
    """
    settings = KeyValueSettings(url=deployment.kv.url)
    store = BundleStore(KeyValueStore.from_config(settings))
    current = store.current().ok
    before = current.pointer
    number = before.number + 1 if before else 1
    parsed = parse_bundle_file(text)
    if parsed.is_error():
        raise ValueError(parsed.error)
    built = build_bundle(parsed.ok, number, before.digest if before else '').ok
    for digest, chunk in built.chunks.items():
        store.put_chunk(number, digest, chunk)
    signature = signature_of(built.manifest, deployment.signing_key)
    signed = SignedManifest(built.manifest, KEY_NAME, signature)
    store.put_manifest(built.digest, encode_part(signed))
    rolled_at = datetime.now(UTC).isoformat()
    pointer = BundlePointer(number, built.digest, rolled_at, 'bench')
    swapped = store.swap_current(encode_part(pointer), current.version)
    # A swap may take effect although its answer is lost.
    if swapped.is_error() and store.current().ok.pointer != pointer:
        raise ValueError(swapped.error)
    return pointer
