"""Propagation of bundles: offered by peers or the key-value service.

A process brings an offered bundle into force if its number is higher than
that of the current one.
"""

import queue
import threading
from collections.abc import Callable
from datetime import datetime, timezone
from typing import Any, NamedTuple

from expression import Error, Ok, Result

from wasabicross.bundles.bundle_keys import CURRENT_KEY
from wasabicross.bundles.bundle_store import BundleStore
from wasabicross.bundles.bundles import Bundle, BundlePointer, BundleSource
from wasabicross.bundles.errors import BundleError, BundleUnavailable
from wasabicross.bundles.holder import BundleHolder
from wasabicross.bundles.manifests import decode_pointer
from wasabicross.messaging.links import Link
from wasabicross.messaging.messages import (
    Blob,
    BundleOffered,
    GetChunk,
    GetManifest,
    Refusal,
)
from wasabicross.runtime.events import Event
from wasabicross.runtime.logs import log_event
from wasabicross.stores.kv import KeyValueStore

FETCH_TIMEOUT_S = 2.0
#: Duration of a watch, and interval of the reads of instances without one.
WATCH_TIMEOUT_S = 10.0
RETRY_S = 0.5

#: Maximum number of attempts to fetch an offered bundle.
MAX_TRIES = 8


class LinkSource:
    """Fetches the parts of a bundle over a link.

    :param link: link to a process that has the bundle in force.
    """

    def __init__(self, link: Link) -> None:
        self._link = link

    def manifest(self, digest: str) -> Result[bytes, BundleError]:
        """Return the signed manifest, or `BundleUnavailable`."""
        return self._fetch(GetManifest(digest))

    def chunk(self, digest: str) -> Result[bytes, BundleError]:
        """Return an encoded chunk, or `BundleUnavailable`."""
        return self._fetch(GetChunk(digest))

    def _fetch(self, message: Any) -> Result[bytes, BundleError]:
        answer = self._link.call(message, FETCH_TIMEOUT_S)
        if answer.is_error():
            return Error(BundleUnavailable(str(answer.error)))
        if not isinstance(answer.ok, Blob):
            return Error(BundleUnavailable('unexpected answer: not a Blob'))
        return Ok(answer.ok.content)


def answer_part_request(
    message: GetManifest | GetChunk, holder: BundleHolder
) -> Blob | Refusal:
    """Answer a peer that fetches a part of the bundle in force.

    :param message: the request for the part.
    :param holder: holds the bundle in force.
    """
    content = None
    if isinstance(message, GetChunk):
        content = holder.chunk_bytes(message.digest)
    elif holder.pointer and holder.pointer.digest == message.digest:
        content = holder.manifest_bytes
    if content is None:
        return Refusal('not_held', 'not held here')
    return Blob(content)


class _Offer(NamedTuple):
    pointer: BundlePointer
    source: BundleSource
    tries: int = 1


class BundleFollower:
    """Processes offers of bundles one at a time in a thread of its own.

    Fetching a bundle is attempted up to `MAX_TRIES` times while its parts are
    unavailable, unless one with the same or a higher number comes into force.

    :param holder: verifies the bundles and holds the one in force.
    :param on_in_force: called after a bundle has come into force.
    """

    def __init__(
        self,
        holder: BundleHolder,
        on_in_force: Callable[[Bundle], None],
    ) -> None:
        self.holder = holder
        self._on_in_force = on_in_force
        self._offers: queue.Queue[_Offer] = queue.Queue()

    def start(self) -> None:
        """Start the thread."""
        threading.Thread(
            target=self._run, name='bundle-follower', daemon=True
        ).start()

    def offer(self, pointer: BundlePointer, source: BundleSource) -> None:
        """Queue a bundle if its number is higher than that of the current one.

        :param pointer: number and digest of the bundle.
        :param source: source of its parts.
        """
        self._queue_if_newer(_Offer(pointer, source))

    def current_offer(self) -> BundleOffered | None:
        """Return the offer of the bundle in force to peers, if there is one."""
        pointer = self.holder.pointer
        return BundleOffered(*pointer) if pointer else None

    def _queue_if_newer(self, offer: _Offer) -> None:
        current = self.holder.current
        if current is None or offer.pointer.number > current.number:
            self._offers.put(offer)

    def _run(self) -> None:
        while True:
            offer = self._offers.get()
            self._process(offer, datetime.now(timezone.utc))

    def _schedule_retry(self, offer: _Offer, exc: BundleError) -> None:
        log_event(
            Event.BUNDLE_UNAVAILABLE,
            bundle=offer.pointer.number,
            tries=offer.tries,
            reason=exc,
        )
        if offer.tries == MAX_TRIES:
            return
        retry = offer._replace(tries=offer.tries + 1)
        timer = threading.Timer(RETRY_S, self._queue_if_newer, (retry,))
        timer.daemon = True
        timer.start()

    def _process(self, offer: _Offer, now: datetime) -> None:
        before = self.holder.current
        outcome = self.holder.offer(offer.pointer, offer.source, now)
        if outcome.is_ok():
            if outcome.ok is not before:
                self._on_in_force(outcome.ok)
        elif isinstance(outcome.error, BundleUnavailable):
            self._schedule_retry(offer, outcome.error)


class PointerWatch:
    """Watches the key that names the bundle in force.

    Only the instances that rank first in their data centre watch the key. The
    others get new bundles from their peers and read the key at intervals, so
    the number of watches grows with the data centres, not the instances.

    :param kv: the key-value service.
    :param follower: gets an offer of each bundle.
    :param stop: set when the process stops.
    """

    def __init__(
        self,
        kv: KeyValueStore,
        follower: BundleFollower,
        stop: threading.Event,
    ) -> None:
        self.is_watcher = True
        self._kv = kv
        self._follower = follower
        self._stop = stop

    def run(self) -> None:
        """Watch until the process stops."""
        version = 0
        while not self._stop.is_set():
            if self.is_watcher:
                found = self._kv.watch(CURRENT_KEY, version, WATCH_TIMEOUT_S)
            else:
                self._stop.wait(WATCH_TIMEOUT_S)
                found = self._kv.get(CURRENT_KEY)
            if found.is_error():
                self._stop.wait(RETRY_S)
                continue
            version = found.ok.version
            self._offer(found.ok.value)

    def _offer(self, encoded: bytes | None) -> None:
        pointer = decode_pointer(encoded or b'')
        if pointer.is_ok():
            parts = BundleStore(self._kv).parts_of(pointer.ok.number)
            self._follower.offer(pointer.ok, parts)
