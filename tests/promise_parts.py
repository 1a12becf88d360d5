"""Run a deployment, roll its bundles and read the logs of its stand-ins."""

import json
import threading
from collections import Counter
from datetime import datetime, timezone
from typing import Any

import cbor2
import urllib3
from caller_parts import ADAPTERS, Answer, exchange

from emulator.deployment import KEY_NAME, Deployment
from emulator.operator import bundle_text
from emulator.readiness import is_ready, wait_ready
from emulator.shape import Endpoint, Shape
from emulator.waiting import wait_until
from wasabicross.bundles.bundle_file import build_bundle, parse_bundle_file
from wasabicross.bundles.bundle_store import BundleStore
from wasabicross.bundles.bundles import BundlePointer, SignedManifest
from wasabicross.bundles.manifests import encode_part, signature_of
from wasabicross.stores.kv import KeyValueStore

FAST_ENGINE = ('--token-ms', '2', '--first-token-ms', '2')
FAST_WEIGHTS = ('--loads-per-s', '1000', '--load-ms', '5')
# Short use leases and requests keep waits for their expiry short.
SHORT_TIMES = {
    'servers': {'max_request_s': 3, 'use_lease_s': 2},
    'weight_store': {'loads_per_s': 200, 'in_flight': 8},
}
# Loads may be evicted soon, so that few adapters cause many evictions.
POLICY = {'min_resident_s': 0.05}


class Trial:
    """A running deployment with the bundles, calls and faults of a test."""

    is_ready = staticmethod(is_ready)

    def __init__(self, runner, folder, shape):
        self.runner = runner
        self.dep = Deployment(shape, runner, folder)
        self.versions: dict[int, dict[str, str]] = {}
        self.digests: dict[int, str] = {}
        self.in_force = 0
        self._digest = ''
        self._http = urllib3.PoolManager(retries=False)
        self._numbers = iter(range(1, 1_000_000))
        self._lock = threading.Lock()

    def start(self, versions=None):
        self.dep.start()
        self.roll(versions or dict.fromkeys(ADAPTERS, '1'))
        try:
            wait_ready(self.dep.entries, 15)
        except TimeoutError as exc:
            # The logs are deleted with their folder, so the error quotes them.
            tails = self.runner.log_tails()
            raise TimeoutError(f'{exc}\n{tails}') from exc
        return self

    def store(self):
        return BundleStore(KeyValueStore(self.dep.kv.url, 2))

    def signed_bundle(self, versions, number, key=None):
        text = bundle_text(versions, 'closing', POLICY)
        bundle = build_bundle(parse_bundle_file(text).ok, number, self._digest)
        signing_key = key or self.dep.signing_key
        signed = SignedManifest(
            bundle.ok.manifest,
            KEY_NAME,
            signature_of(bundle.ok.manifest, signing_key),
        )
        return bundle.ok, encode_part(signed)

    def roll(self, versions):
        """Store a bundle, point the store at it and return its number."""
        number = len(self.versions) + 1
        bundle, signed = self.signed_bundle(versions, number)
        store = self.store()
        store.put_manifest(bundle.digest, signed)
        for digest, chunk in bundle.chunks.items():
            store.put_chunk(number, digest, chunk)
        with self._lock:
            self.versions[number] = versions
        self.point(BundlePointer(number, bundle.digest, now_iso(), 'operator'))
        self._digest = bundle.digest
        self.digests[number] = bundle.digest
        return number

    def skip_number(self):
        """Take the next bundle number without a bundle and return it."""
        with self._lock:
            number = len(self.versions) + 1
            self.versions[number] = {}
        return number

    def point(self, pointer):
        store = self.store()
        version = store.current().ok.version
        swapped = store.swap_current(encode_part(pointer), version)
        assert swapped.is_ok(), swapped

    def wait_in_force(self, number, entries=None, timeout_s=10):
        for entry in entries or self.dep.entries:
            wait_until(
                lambda entry=entry: self.bundle_at(entry) >= number,
                timeout_s,
                f'bundle {number} at {entry.name}',
            )
        if entries is None:
            self.in_force = max(self.in_force, number)

    def bundles_at(self, entry):
        """Return the bundles that an entry has put in force, in order."""
        lines = self.runner.log_path(entry.name).read_text().splitlines()
        return [
            json.loads(line)['bundle']
            for line in lines
            if '"bundle_in_force"' in line
        ]

    def bundle_at(self, entry):
        """Return the bundle that an entry has last put in force, or 0."""
        return next(reversed(self.bundles_at(entry)), 0)

    def call(
        self, entry: Endpoint, document: dict[str, Any], **options
    ) -> Answer:
        """Send a request and read the answer to its end."""
        request_id = options.pop('request_id', None) or self._new_id()
        min_bundle = self.in_force
        return exchange(entry, document, request_id, min_bundle, **options)

    def ask(self, place, path, document=None):
        """Query a stand-in, or post a document to it, such as a fault."""
        method = 'GET' if document is None else 'POST'
        resp = self._http.request(method, place.url + path, json=document)
        return resp.json()

    def fault(self, place, **document):
        return self.ask(place, '/fault', document)

    def log(self, place):
        return self.ask(place, '/debug/log')

    def requests(self):
        """Return what the engines logged of each request, by its id."""
        found: dict[str, list[dict[str, Any]]] = {}
        for engine in self.dep.engines:
            if engine.name in self.runner.running():
                for entry in self.log(engine)['log']:
                    if entry['event'] == 'request':
                        found.setdefault(entry['request_id'], []).append(entry)
        return found

    def evictions(self):
        """Return the evictions that took effect at any engine."""
        return [
            entry
            for engine in self.dep.engines
            for entry in self.log(engine)['log']
            if entry['event'] == 'evict' and entry['outcome'] == 'ok'
        ]

    def evicted_in_progress(self):
        """Count the requests that engines ended because of an eviction."""
        return sum(
            self.log(engine)['evicted_in_progress']
            for engine in self.dep.engines
        )

    def repeated_load_names(self):
        """Return the ends of load names that several load orders share."""
        suffixes = Counter(
            entry['load_name'].rpartition('#')[2]
            for engine in self.dep.engines
            for entry in self.log(engine)['log']
            if entry['event'] == 'load'
        )
        return [suffix for suffix, count in suffixes.items() if count > 1]

    def lapse_leases(self):
        """Expire every lease, as if none had been renewed in time."""
        self.fault(self.dep.kv, lapse_leases=True)

    def stop(self):
        """Stop every program of the deployment."""
        self.runner.close()

    def next_number(self):
        """Return a number that was not returned before."""
        with self._lock:
            return next(self._numbers)

    def _new_id(self):
        return f'request-{self.next_number()}'


def start_trial(runner, tmp_path_factory, kind=Trial, **changes):
    """Start a small deployment and wait until its first bundle is in force.

    :param kind: class of the trial.
    :param changes: fields that differ from those of `small_shape`.
    """
    folder = tmp_path_factory.mktemp('cfg')
    started = kind(runner, folder, small_shape(**changes)).start()
    started.wait_in_force(1)
    return started


def now_iso():
    return datetime.now(timezone.utc).isoformat()


def owner_of(trial, engine):
    """Return the instance that owns an engine."""
    value = owner_key(trial, engine).value
    return cbor2.loads(value)[0] if value else ''


def owner_version(trial, engine):
    """Return a number that rises with each change of an engine's owner."""
    return owner_key(trial, engine).version


def owner_key(trial, engine):
    return KeyValueStore(trial.dep.kv.url, 2).get(f'owner/{engine.name}').ok


def small_shape(**changes):
    fields = {
        'admins': False,
        'engine_args': FAST_ENGINE,
        'weight_args': FAST_WEIGHTS,
        'services': 0,
        'settings': SHORT_TIMES,
        **changes,
    }
    return Shape(**fields)
