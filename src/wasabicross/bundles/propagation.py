"""Brings offered bundles into force in the order of their numbers."""

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
WATCH_S = 10.0
RETRY_S = 0.5

#: Tries to fetch an offered bundle whose parts can't be had.
MAX_TRIES = 8


class LinkSource:
    """Fetches the parts of a bundle over a link.

    :param link: leads to a process that has the bundle in force.
    """

    def __init__(self, link: Link) -> None:
        self._link = link

    def manifest(self, digest: str) -> Result[bytes, BundleError]:
        """Return the signed manifest, or `BundleUnavailable`."""
        return self._fetch(GetManifest(digest))

    def chunk(self, digest: str) -> Result[bytes, BundleError]:
        """Return a part of the adapters table, or `BundleUnavailable`."""
        return self._fetch(GetChunk(digest))

    def _fetch(self, question: Any) -> Result[bytes, BundleError]:
        answer = self._link.call(question, FETCH_TIMEOUT_S)
        if answer.is_error():
            return Error(BundleUnavailable(str(answer.error)))
        if not isinstance(answer.ok, Blob):
            return Error(BundleUnavailable('unexpected answer'))
        return Ok(answer.ok.content)


def answer_part_request(
    asked: GetManifest | GetChunk, holder: BundleHolder
) -> Blob | Refusal:
    """Answer a peer that fetches the bundle in force.

    :param asked: the part.
    :param holder: keeps the bundle in force.
    """
    content = None
    if isinstance(asked, GetChunk):
        content = holder.chunk_bytes(asked.digest)
    elif holder.pointer and holder.pointer.digest == asked.digest:
        content = holder.manifest_bytes
    if content is None:
        return Refusal('not_held', 'not held here')
    return Blob(content)


class _Offer(NamedTuple):
    pointer: BundlePointer
    source: BundleSource
    tries: int = 1


class BundleFollower:
    """Takes offers of bundles one after the other in a thread of its own.

    A bundle whose parts can't be had is tried again for some seconds, as long
    as none that is as late is in force.

    :param holder: verifies them and keeps the one in force.
    :param on_force: called after a bundle has come into force.
    """

    def __init__(
        self,
        holder: BundleHolder,
        on_force: Callable[[Bundle], None],
    ) -> None:
        self.holder = holder
        self._on_force = on_force
        self._offers: queue.Queue[_Offer] = queue.Queue()

    def start(self) -> None:
        """Start the thread."""
        threading.Thread(
            target=self._run, name='bundle-follower', daemon=True
        ).start()

    def offer(self, pointer: BundlePointer, source: BundleSource) -> None:
        """Queue a bundle unless one as late is in force.

        :param pointer: number and digest of the bundle.
        :param source: where its parts can be fetched.
        """
        self._put(_Offer(pointer, source))

    def current_offer(self) -> BundleOffered | None:
        """Return the offer that this process makes to others, if any."""
        pointer = self.holder.pointer
        return BundleOffered(*pointer) if pointer else None

    def _put(self, offer: _Offer) -> None:
        present = self.holder.current
        if present is None or offer.pointer.number > present.number:
            self._offers.put(offer)

    def _run(self) -> None:
        while True:
            offer = self._offers.get()
            self._take(offer, datetime.now(timezone.utc))

    def _try_later(self, offer: _Offer, exc: BundleError) -> None:
        log_event(
            Event.BUNDLE_UNAVAILABLE,
            bundle=offer.pointer.number,
            tries=offer.tries,
            reason=exc,
        )
        if offer.tries == MAX_TRIES:
            return
        again = offer._replace(tries=offer.tries + 1)
        timer = threading.Timer(RETRY_S, self._put, (again,))
        timer.daemon = True
        timer.start()

    def _take(self, offer: _Offer, now: datetime) -> None:
        before = self.holder.current
        outcome = self.holder.offer(offer.pointer, offer.source, now)
        if outcome.is_ok():
            if outcome.ok is not before:
                self._on_force(outcome.ok)
        elif isinstance(outcome.error, BundleUnavailable):
            self._try_later(offer, outcome.error)


class PointerWatch:
    """Watches the key that names the bundle in force.

    The instances that rank first in their data centre watch; the others
    hear of a new bundle from their peers and only look now and then, so
    that the calls grow with the data centres rather than the instances.

    :param kv: the key-value service.
    :param follower: is offered each bundle.
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
                found = self._kv.watch(CURRENT_KEY, version, WATCH_S)
            else:
                self._stop.wait(WATCH_S)
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
