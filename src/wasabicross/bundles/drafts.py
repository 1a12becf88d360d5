"""Drafts of bundles, which operators prepare and sign off."""

from collections.abc import Mapping
from datetime import datetime
from typing import NamedTuple

from expression import Error, Ok, Result
from nacl.signing import VerifyKey

from wasabicross.bundles.bundle_file import (
    BuiltBundle,
    BundleFile,
    build_bundle,
)
from wasabicross.bundles.bundle_keys import generation_of
from wasabicross.bundles.bundle_store import BundleStore
from wasabicross.bundles.bundles import (
    NO_PARENT,
    BundlePointer,
    Draft,
    Manifest,
    SignedManifest,
)
from wasabicross.bundles.errors import (
    BundleError,
    BundleNotFound,
    BundleUnavailable,
)
from wasabicross.bundles.manifests import (
    decode_manifest,
    decode_signed,
    encode_part,
    verify_signed,
)
from wasabicross.bundles.rollout_errors import (
    RolloutError,
    SignatureRefused,
    StoredDataMalformed,
    StoreUnavailable,
    UnknownBundle,
)


class PreparedDraft(NamedTuple):
    """A draft that can be signed off.

    :param digest: digest that identifies the bundle in later actions.
    :param manifest: its decoded manifest.
    :param draft: the stored draft, with operator and time of preparation.
    """

    digest: str
    manifest: Manifest
    draft: Draft


class Drafts:
    """Prepares and signs off bundles; both actions may be repeated.

    :param store: the stored bundles.
    :param trusted_keys: public keys by name.
    """

    def __init__(
        self,
        store: BundleStore,
        trusted_keys: Mapping[str, VerifyKey],
    ) -> None:
        self._store = store
        self._trusted_keys = trusted_keys

    def prepare(
        self,
        bundle_file: BundleFile,
        operator: str,
        now: datetime,
    ) -> Result[PreparedDraft, RolloutError | BundleError]:
        """Store a draft of the bundle that would follow the one in force.

        Errors: BundleFileError, StoreUnavailable, StoredDataMalformed.

        :param bundle_file: the operator's bundle file.
        :param operator: name of the operator.
        :param now: present time, UTC.
        """
        current = self._store.current()
        if current.is_error():
            return Error(store_error(current.error))
        number, parent = next_number_and_parent(current.ok.pointer)
        built = build_bundle(bundle_file, number, parent)
        if built.is_error():
            return Error(built.error)
        stored = self._put_chunks(built.ok, number, parent)
        if stored.is_error():
            return Error(stored.error)
        draft = Draft(built.ok.manifest, now.isoformat(), operator)
        written = self._store.put_draft(built.ok.digest, encode_part(draft))
        if written.is_error():
            return Error(store_error(written.error))
        return self.prepared(built.ok.digest)

    def prepared(
        self,
        digest: str,
    ) -> Result[PreparedDraft, RolloutError | BundleError]:
        """Return a draft.

        Errors: UnknownBundle, StoreUnavailable, StoredDataMalformed.

        :param digest: digest of its manifest.
        """
        draft = self._store.draft(digest)
        if draft.is_error():
            return Error(draft_error(draft.error, digest))
        manifest = decode_manifest(draft.ok.manifest)
        if manifest.is_error():
            return Error(store_error(manifest.error))
        return Ok(PreparedDraft(digest, manifest.ok, draft.ok))

    def sign_off(
        self,
        digest: str,
        key_name: str,
        signature: bytes,
    ) -> Result[SignedManifest, RolloutError]:
        """Attach a signature to a draft, if it was made with a trusted key.

        An earlier signature is kept as long as its key is trusted. Errors:
        UnknownBundle, SignatureRefused, StoreUnavailable.

        :param digest: digest of the draft's manifest.
        :param key_name: name of the key in the trusted keys.
        :param signature: signature of the signing context and manifest, 64
            bytes.
        """
        draft = self._store.draft(digest)
        if draft.is_error():
            return Error(draft_error(draft.error, digest))
        signed = SignedManifest(draft.ok.manifest, key_name, signature)
        encoded = encode_part(signed)
        verified = verify_signed(encoded, digest, self._trusted_keys)
        if verified.is_error():
            return Error(SignatureRefused(str(verified.error)))
        return self._put_signed(digest, encoded)

    def signed_by(self, digest: str) -> Result[str | None, RolloutError]:
        """Return the name of the key that a draft was signed with, if any.

        :param digest: digest of the draft's manifest.
        """
        stored = self._store.manifest(digest).bind(decode_signed)
        if stored.is_ok():
            return Ok(stored.ok.key_name)
        if isinstance(stored.error, BundleNotFound):
            return Ok(None)
        return Error(store_error(stored.error))

    def _put_chunks(
        self,
        built: BuiltBundle,
        number: int,
        parent: str,
    ) -> Result[None, RolloutError]:
        stored = self._stored_parent_chunks(parent, number)
        for digest, encoded in built.chunks.items():
            if digest in stored:
                continue
            written = self._store.put_chunk(number, digest, encoded)
            if written.is_error():
                return Error(store_error(written.error))
        return Ok(None)

    def _stored_parent_chunks(self, parent: str, number: int) -> frozenset[str]:
        """Return the digests of the parent's chunks, if in one generation.

        They are already stored under keys that the new bundle also uses.
        """
        if not parent or generation_of(number) != generation_of(number - 1):
            return frozenset()
        parent_draft = self.prepared(parent)
        if parent_draft.is_error():
            return frozenset()
        return frozenset(parent_draft.ok.manifest.chunk_digests())

    def _put_signed(
        self,
        digest: str,
        encoded: bytes,
    ) -> Result[SignedManifest, RolloutError]:
        stored = self._store.put_manifest(digest, encoded)
        if stored.is_ok() and stored.ok != encoded:
            first = verify_signed(stored.ok, digest, self._trusted_keys)
            if first.is_error():
                stored = self._store.replace_manifest(digest, encoded)
        return stored.bind(decode_signed).map_error(store_error)


def next_number_and_parent(pointer: BundlePointer | None) -> tuple[int, str]:
    """Return number and parent of the bundle after the one in force.

    :param pointer: pointer of the bundle in force, if any.
    """
    if pointer is None:
        return 1, NO_PARENT
    return pointer.number + 1, pointer.digest


def store_error(exc: BundleError) -> RolloutError:
    """Convert an error of the bundle store into an error of an action.

    :param exc: BundleUnavailable, or any other error for malformed data.
    """
    if isinstance(exc, BundleUnavailable):
        return StoreUnavailable(str(exc))
    return StoredDataMalformed(str(exc))


def draft_error(exc: BundleError, digest: str) -> RolloutError:
    """Convert an error of reading a draft into an error of an action.

    :param exc: error of the bundle store.
    :param digest: digest of the draft's manifest.
    """
    if isinstance(exc, BundleNotFound):
        return UnknownBundle(f'no bundle {digest} was prepared')
    return store_error(exc)
