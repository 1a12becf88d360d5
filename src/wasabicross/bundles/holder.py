"""The bundle in force in one process, verified before it replaces another."""

import threading
from collections.abc import Mapping
from datetime import datetime
from typing import NamedTuple

from expression import Error, Ok, Result
from nacl.signing import VerifyKey

from wasabicross.bundles.bundles import (
    Bundle,
    BundlePointer,
    BundleSource,
    Manifest,
    decode_chunk,
    digest_of,
)
from wasabicross.bundles.errors import (
    BundleError,
    BundleMalformed,
    BundleSuperseded,
    BundleUntrusted,
)
from wasabicross.bundles.manifests import verify_signed
from wasabicross.runtime.events import Event
from wasabicross.runtime.logs import log_event
from wasabicross.runtime.settings import Settings
from wasabicross.runtime.telemetry import BUNDLE_PROPAGATION_SECONDS


class _ActiveBundle(NamedTuple):
    bundle: Bundle
    pointer: BundlePointer
    manifest: bytes
    chunks: Mapping[str, bytes]
    since: datetime


class BundleHolder:
    """Holds the bundle in force; its number never decreases.

    :param trusted_keys: public keys by name.
    :param data_centre: label value of the histogram of propagation times.
    """

    def __init__(
        self,
        trusted_keys: Mapping[str, VerifyKey],
        data_centre: str = '',
    ) -> None:
        self._trusted_keys = trusted_keys
        self._data_centre = data_centre
        self._lock = threading.Lock()
        self._active: _ActiveBundle | None = None

    @classmethod
    def from_config(cls, cfg: Settings) -> 'BundleHolder':
        """Create a holder that trusts the keys in the settings.

        :param cfg: the settings.
        """
        return cls(trusted_keys(cfg.trusted_keys), cfg.instance.data_centre)

    @property
    def current(self) -> Bundle | None:
        """The bundle in force, if there is one."""
        active = self._active
        return active.bundle if active else None

    @property
    def pointer(self) -> BundlePointer | None:
        """The pointer of the bundle in force, if there is one."""
        active = self._active
        return active.pointer if active else None

    @property
    def in_force_since(self) -> str | None:
        """Time when the bundle came into force in this process, ISO 8601."""
        active = self._active
        return active.since.isoformat() if active else None

    @property
    def manifest_bytes(self) -> bytes | None:
        """The encoded signed manifest of the bundle in force, if any."""
        active = self._active
        return active.manifest if active else None

    def chunk_bytes(self, digest: str) -> bytes | None:
        """Return an encoded chunk of the bundle in force.

        :param digest: digest of the chunk.
        """
        active = self._active
        return active.chunks.get(digest) if active else None

    def offer(
        self,
        pointer: BundlePointer,
        source: BundleSource,
        now: datetime,
    ) -> Result[Bundle, BundleError]:
        """Bring a bundle into force if it is newer and its signature is valid.

        Fetches only chunks that the bundle in force doesn't have. May be
        called from several threads; the highest number wins in any order.
        Errors: BundleSuperseded, BundleMalformed, BundleUntrusted and those
        of the source.

        :param pointer: pointer of the bundle.
        :param source: source of its parts.
        :param now: present time, with time zone.
        """
        active = self._active
        if active and pointer.number <= active.pointer.number:
            return _result_if_not_newer(pointer, active)
        fetched = self._fetch(pointer, source, now)
        if fetched.is_error():
            _log_refusal(pointer, fetched.error)
            return Error(fetched.error)
        return self._activate(fetched.ok)

    def _activate(self, fetched: _ActiveBundle) -> Result[Bundle, BundleError]:
        with self._lock:
            before = self._active
            if before and fetched.pointer.number <= before.pointer.number:
                return _result_if_not_newer(fetched.pointer, before)
            self._active = fetched
        log_event(
            Event.BUNDLE_IN_FORCE,
            bundle=fetched.pointer.number,
            digest=fetched.pointer.digest,
        )
        # The first bundle after a start may have been rolled long ago, so it
        # says nothing about the time of propagation.
        if before:
            propagation_s = _age_s(fetched.pointer, fetched.since)
            BUNDLE_PROPAGATION_SECONDS.labels(self._data_centre).observe(
                propagation_s
            )
        return Ok(fetched.bundle)

    def _fetch(
        self,
        pointer: BundlePointer,
        source: BundleSource,
        now: datetime,
    ) -> Result[_ActiveBundle, BundleError]:
        signed = source.manifest(pointer.digest)
        if signed.is_error():
            return Error(signed.error)
        verified = verify_signed(
            signed.ok,
            pointer.digest,
            self._trusted_keys,
        )
        if verified.is_error():
            return Error(verified.error)
        manifest = verified.ok
        if manifest.number != pointer.number:
            return Error(
                BundleMalformed(
                    f'the manifest has number {manifest.number}, '
                    f'expected {pointer.number}',
                ),
            )
        chunks = self._fetch_chunks(manifest, source)
        if chunks.is_error():
            return Error(chunks.error)
        ordered = tuple(
            chunks.ok[digest] for digest in manifest.chunk_digests()
        )
        bundle = Bundle(manifest, pointer.digest, ordered)
        return Ok(_ActiveBundle(bundle, pointer, signed.ok, chunks.ok, now))

    def _fetch_chunks(
        self,
        manifest: Manifest,
        source: BundleSource,
    ) -> Result[dict[str, bytes], BundleError]:
        chunks: dict[str, bytes] = {}
        for digest in dict.fromkeys(manifest.chunk_digests()):
            encoded = self.chunk_bytes(digest)
            if encoded is None:
                fetched = _fetch_chunk(digest, source)
                if fetched.is_error():
                    return Error(fetched.error)
                encoded = fetched.ok
            chunks[digest] = encoded
        return Ok(chunks)


def trusted_keys(public_keys: Mapping[str, str]) -> dict[str, VerifyKey]:
    """Return the keys that verify signatures.

    :param public_keys: hexadecimal public keys by name.
    """
    return {
        name: VerifyKey(bytes.fromhex(public_key))
        for name, public_key in public_keys.items()
    }


def _fetch_chunk(
    digest: str,
    source: BundleSource,
) -> Result[bytes, BundleError]:
    fetched = source.chunk(digest)
    if fetched.is_error():
        return Error(fetched.error)
    if digest_of(fetched.ok) != digest:
        return Error(
            BundleMalformed(f'the chunk fetched as {digest} has another digest')
        )
    try:
        decode_chunk(fetched.ok)
    except Exception as exc:  # has the signed digest, but is not a chunk
        return Error(
            BundleMalformed(f'the chunk {digest} is not readable: {exc}')
        )
    return fetched


def _result_if_not_newer(
    pointer: BundlePointer,
    active: _ActiveBundle,
) -> Result[Bundle, BundleError]:
    if pointer.digest == active.pointer.digest:
        return Ok(active.bundle)
    return Error(
        BundleSuperseded(
            f'bundle {pointer.number} is not newer than bundle '
            f'{active.pointer.number}, which is in force',
        ),
    )


def _log_refusal(pointer: BundlePointer, exc: BundleError) -> None:
    if isinstance(exc, (BundleMalformed, BundleUntrusted)):
        log_event(
            Event.BUNDLE_REFUSED,
            bundle=pointer.number,
            digest=pointer.digest,
            reason=exc,
        )


def _age_s(pointer: BundlePointer, now: datetime) -> float:
    try:
        rolled_at = datetime.fromisoformat(pointer.rolled_at)
    except ValueError:
        return 0
    if rolled_at.tzinfo is None:
        return 0
    return max((now - rolled_at).total_seconds(), 0)
