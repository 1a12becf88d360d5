"""Removes the parts of old bundles from the key-value service."""

import threading

from expression import Error, Ok, Result

from wasabicross.bundles.bundle_keys import GENERATION_BUNDLES, generation_of
from wasabicross.bundles.bundle_store import BundleStore
from wasabicross.bundles.bundles import Manifest
from wasabicross.bundles.errors import BundleError, BundleNotFound
from wasabicross.bundles.manifests import decode_manifest, decode_signed
from wasabicross.runtime.events import Event
from wasabicross.runtime.logs import log_event

#: Number of the latest bundles that are kept. A removed bundle belongs to the
#: generation two before the current one, whose drafts can't be rolled any more.
KEPT_BUNDLES = 2 * GENERATION_BUNDLES

#: Number of old bundles checked after each roll: the one that is due, and
#: earlier ones in case they could not be removed.
_CHECKED_BUNDLES = 3


class BundleCleaner:
    """Removes one old bundle after each roll.

    Any process may do so, at any time and repeatedly: only the bundle whose
    number follows the one in force can be rolled, and chunks are read under
    the generation of their bundle's number. So no bundle that is in force, or
    can still be rolled, needs the removed parts. The pointer stays in the
    history.

    :param store: the stored bundles.
    """

    def __init__(self, store: BundleStore) -> None:
        self._store = store

    def start(self, number: int) -> None:
        """Remove bundles that are too old, in a thread of its own.

        :param number: number of the bundle that came into force.
        """
        threading.Thread(
            target=self.clean,
            args=(number,),
            name='bundle-cleaner',
            daemon=True,
        ).start()

    def clean(self, number: int) -> None:
        """Remove bundles that are too old, the oldest first.

        :param number: number of the bundle that came into force.
        """
        newest = number - KEPT_BUNDLES
        for old in range(newest - _CHECKED_BUNDLES + 1, newest + 1):
            if old < 1:
                continue
            removed = self._remove(old)
            if removed.is_error() and not _is_already_removed(removed.error):
                log_event(
                    Event.OLD_BUNDLE_KEPT, bundle=old, reason=removed.error
                )
                return

    def _remove(self, number: int) -> Result[None, BundleError]:
        past = self._store.past_pointer(number)
        if past.is_error():
            return Error(past.error)
        digest = past.ok.digest
        manifest = self._manifest(digest)
        if manifest.is_error():
            return Error(manifest.error)
        needed = self._chunks_of_next(number)
        if needed.is_error():
            return Error(needed.error)
        chunks = set(manifest.ok.chunk_digests()) - needed.ok
        for chunk in sorted(chunks):
            removed = self._store.remove_chunk(number, chunk)
            if removed.is_error():
                return removed
        # The manifest is removed last, since a retry reads from it which
        # chunks to remove.
        removed = self._store.remove_bundle(digest)
        if removed.is_ok():
            log_event(Event.OLD_BUNDLE_REMOVED, bundle=number, digest=digest)
        return removed

    def _chunks_of_next(self, number: int) -> Result[set[str], BundleError]:
        """Return the chunks that the next bundle shares under the same keys.

        They are removed together with that bundle.
        """
        if generation_of(number + 1) != generation_of(number):
            return Ok(set())
        following = self._store.past_pointer(number + 1).bind(
            lambda pointer: self._manifest(pointer.digest)
        )
        return following.map(lambda found: set(found.chunk_digests()))

    def _manifest(self, digest: str) -> Result[Manifest, BundleError]:
        signed = self._store.manifest(digest).bind(decode_signed)
        return signed.bind(lambda found: decode_manifest(found.manifest))


def _is_already_removed(exc: BundleError) -> bool:
    return isinstance(exc, BundleNotFound)
