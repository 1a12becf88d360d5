"""Storage of bundles in the key-value service."""

from typing import NamedTuple

from expression import Error, Ok, Result

from wasabicross.bundles.bundle_keys import (
    CURRENT_KEY,
    chunk_key,
    draft_key,
    history_key,
    manifest_key,
)
from wasabicross.bundles.bundles import BundlePointer, Draft
from wasabicross.bundles.errors import (
    BundleError,
    BundleMalformed,
    BundleNotFound,
    BundleUnavailable,
)
from wasabicross.bundles.manifests import decode_draft, decode_pointer
from wasabicross.stores.errors import (
    KeyValueError,
    SwapConflict,
    SwapOutcomeUnknown,
)
from wasabicross.stores.kv import KeyValueStore
from wasabicross.stores.versioned import Versioned

_WRITE_ATTEMPTS = 3


class StoredPointer(NamedTuple):
    """The pointer of the bundle in force, and the version of its key.

    :param pointer: ``None`` before the first roll.
    :param version: version of the key, for the next swap.
    """

    pointer: BundlePointer | None
    version: int


class BundleStore:
    """Reads and writes the parts of bundles.

    Parts other than the pointer are written once, so a write whose answer was
    lost is repeated. Only a manifest whose signature is no longer valid is
    replaced.

    :param store: the key-value service.
    """

    def __init__(self, store: KeyValueStore) -> None:
        self._store = store

    def current(self) -> Result[StoredPointer, BundleError]:
        """Return the pointer of the bundle in force.

        Errors: BundleUnavailable, BundleMalformed.
        """
        return self._get(CURRENT_KEY).bind(decode_current)

    def swap_current(
        self,
        encoded: bytes,
        expected_version: int,
    ) -> Result[Versioned, KeyValueError]:
        """Replace the pointer in one attempt; errors are those of the service.

        :param encoded: the encoded pointer.
        :param expected_version: expected version of the key.
        """
        return self._store.compare_and_swap(
            CURRENT_KEY,
            encoded,
            expected_version,
        )

    def manifest(self, digest: str) -> Result[bytes, BundleError]:
        """Return an encoded signed manifest without verifying it.

        Errors: BundleNotFound, BundleUnavailable.

        :param digest: digest of the manifest.
        """
        return self._read(manifest_key(digest))

    def chunk(self, number: int, digest: str) -> Result[bytes, BundleError]:
        """Return an encoded chunk without verifying it.

        Errors: BundleNotFound, BundleUnavailable.

        :param number: number of a bundle with this chunk.
        :param digest: digest of the chunk.
        """
        return self._read(chunk_key(number, digest))

    def parts_of(self, number: int) -> 'StoredParts':
        """Return a source of the parts of one bundle.

        :param number: number of the bundle.
        """
        return StoredParts(self, number)

    def draft(self, digest: str) -> Result[Draft, BundleError]:
        """Return a draft.

        Errors: BundleNotFound, BundleUnavailable, BundleMalformed.

        :param digest: digest of its manifest.
        """
        return self._read(draft_key(digest)).bind(decode_draft)

    def past_pointer(self, number: int) -> Result[BundlePointer, BundleError]:
        """Return the pointer of a bundle that was in force before.

        Errors: BundleNotFound, BundleUnavailable, BundleMalformed.

        :param number: number of the bundle.
        """
        return self._read(history_key(number)).bind(decode_pointer)

    def put_manifest(
        self,
        digest: str,
        encoded: bytes,
    ) -> Result[bytes, BundleError]:
        """Store a signed manifest; return the one stored first.

        Errors: BundleUnavailable, BundleMalformed.

        :param digest: digest of the manifest.
        :param encoded: the encoded signed manifest.
        """
        return self._write_once(manifest_key(digest), encoded)

    def replace_manifest(
        self,
        digest: str,
        encoded: bytes,
    ) -> Result[bytes, BundleError]:
        """Replace a signed manifest whose signature is no longer valid.

        Error: BundleUnavailable.

        :param digest: digest of the manifest.
        :param encoded: the encoded signed manifest.
        """
        replaced = self._replace(manifest_key(digest), encoded)
        return replaced.map(lambda _: encoded)

    def put_chunk(
        self,
        number: int,
        digest: str,
        encoded: bytes,
    ) -> Result[bytes, BundleError]:
        """Store a chunk; return the one stored first.

        Errors: BundleUnavailable, BundleMalformed.

        :param number: number of the bundle with this chunk.
        :param digest: digest of the chunk.
        :param encoded: the encoded chunk.
        """
        return self._write_once(chunk_key(number, digest), encoded)

    def put_draft(
        self,
        digest: str,
        encoded: bytes,
    ) -> Result[bytes, BundleError]:
        """Store a draft; return the one stored first.

        Errors: BundleUnavailable, BundleMalformed.

        :param digest: digest of its manifest.
        :param encoded: the encoded draft.
        """
        return self._write_once(draft_key(digest), encoded)

    def put_past_pointer(
        self,
        number: int,
        encoded: bytes,
    ) -> Result[bytes, BundleError]:
        """Store the pointer of a bundle that is about to be replaced.

        Returns the pointer stored first. Errors: BundleUnavailable,
        BundleMalformed.

        :param number: number of the bundle.
        :param encoded: its encoded pointer.
        """
        return self._write_once(history_key(number), encoded)

    def remove_chunk(
        self, number: int, digest: str
    ) -> Result[None, BundleError]:
        """Remove a chunk that no bundle needs any more.

        Error: BundleUnavailable.

        :param number: number of the bundle with this chunk.
        :param digest: digest of the chunk.
        """
        return self._replace(chunk_key(number, digest), None)

    def remove_bundle(self, digest: str) -> Result[None, BundleError]:
        """Remove the draft and the manifest of a bundle.

        Error: BundleUnavailable.

        :param digest: digest of its manifest.
        """
        removed = self._replace(draft_key(digest), None)
        if removed.is_error():
            return removed
        return self._replace(manifest_key(digest), None)

    def _replace(
        self, key: str, encoded: bytes | None
    ) -> Result[None, BundleError]:
        """Set or delete (with None) the value of a key in one attempt."""
        found = self._get(key)
        if found.is_error():
            return Error(found.error)
        if found.ok.value == encoded:
            return Ok(None)
        version = found.ok.version
        written = self._store.compare_and_swap(key, encoded, version)
        if written.is_error():
            return Error(BundleUnavailable(str(written.error)))
        return Ok(None)

    def _read(self, key: str) -> Result[bytes, BundleError]:
        found = self._get(key)
        if found.is_error():
            return Error(found.error)
        if found.ok.value is None:
            return Error(BundleNotFound(f'{key} is absent'))
        return Ok(found.ok.value)

    def _get(self, key: str) -> Result[Versioned, BundleError]:
        found = self._store.get(key)
        return found.map_error(lambda exc: BundleUnavailable(str(exc)))

    def _write_once(
        self,
        key: str,
        encoded: bytes,
    ) -> Result[bytes, BundleError]:
        exc: KeyValueError | None = None
        for _ in range(_WRITE_ATTEMPTS):
            written = self._store.compare_and_swap(key, encoded, 0)
            if written.is_ok():
                return Ok(encoded)
            exc = written.error
            if isinstance(exc, SwapConflict):
                return _existing_value(exc.present)
            if not isinstance(exc, SwapOutcomeUnknown):
                break
        return Error(BundleUnavailable(str(exc)))


class StoredParts:
    """The stored parts of one bundle; implements ``BundleSource``.

    :param store: the stored bundles.
    :param number: number of the bundle.
    """

    def __init__(self, store: BundleStore, number: int) -> None:
        self._store = store
        self._number = number

    def manifest(self, digest: str) -> Result[bytes, BundleError]:
        """Return an encoded signed manifest without verifying it.

        :param digest: digest of the manifest.
        """
        return self._store.manifest(digest)

    def chunk(self, digest: str) -> Result[bytes, BundleError]:
        """Return an encoded chunk of the bundle without verifying it.

        :param digest: digest of the chunk.
        """
        return self._store.chunk(self._number, digest)


def decode_current(found: Versioned) -> Result[StoredPointer, BundleError]:
    """Decode the value of the pointer's key.

    :param found: value and version of the key.
    """
    if found.value is None:
        return Ok(StoredPointer(None, found.version))
    decoded = decode_pointer(found.value)
    return decoded.map(lambda pointer: StoredPointer(pointer, found.version))


def _existing_value(present: Versioned) -> Result[bytes, BundleError]:
    if present.value is None:
        return Error(BundleMalformed(f'{present.key} was deleted'))
    return Ok(present.value)
