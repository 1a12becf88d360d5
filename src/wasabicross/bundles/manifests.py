"""Encoding of manifests and pointers, and the operators' signatures."""

from collections.abc import Mapping
from typing import Any, TypeVar

import cbor2
import pydantic
from expression import Error, Ok, Result
from nacl.exceptions import BadSignatureError
from nacl.signing import SigningKey, VerifyKey

from wasabicross.bundles.bundles import (
    MAX_VALUE_BYTES,
    BundlePointer,
    Draft,
    Manifest,
    SignedManifest,
    digest_of,
)
from wasabicross.bundles.errors import (
    BundleError,
    BundleMalformed,
    BundleUntrusted,
)

_SIGNING_CONTEXT = b'wasabicross bundle manifest 1\x00'
_Value = TypeVar('_Value')


def encode_part(
    part: BundlePointer | Draft | Manifest | SignedManifest,
) -> bytes:
    """Encode a part of a bundle; equal parts give equal bytes.

    :param part: the part.
    """
    fields = part._asdict()
    # Older programs reject a manifest that has the newer field.
    if isinstance(part, Manifest) and not part.class_priorities:
        fields.pop('class_priorities')
    return cbor2.dumps(fields, canonical=True)


def decode_manifest(encoded: bytes) -> Result[Manifest, BundleError]:
    """Decode a manifest; BundleMalformed for anything else.

    :param encoded: the encoded manifest.
    """
    return _decode(encoded, Manifest)


def decode_pointer(encoded: bytes) -> Result[BundlePointer, BundleError]:
    """Decode a pointer; BundleMalformed for anything else.

    :param encoded: the bytes.
    """
    return _decode(encoded, BundlePointer)


def decode_signed(encoded: bytes) -> Result[SignedManifest, BundleError]:
    """Decode a signed manifest, unverified; BundleMalformed for anything else.

    :param encoded: the bytes.
    """
    return _decode(encoded, SignedManifest)


def decode_draft(encoded: bytes) -> Result[Draft, BundleError]:
    """Decode a draft; BundleMalformed for anything else.

    :param encoded: the bytes.
    """
    return _decode(encoded, Draft)


def signature_of(encoded: bytes, key: SigningKey) -> bytes:
    """Return the signature of a manifest.

    :param encoded: the encoded manifest.
    :param key: the operator's private key.
    """
    return key.sign(_SIGNING_CONTEXT + encoded).signature


def verify_signed(
    encoded: bytes,
    digest: str,
    trusted_keys: Mapping[str, VerifyKey],
) -> Result[Manifest, BundleError]:
    """Return the manifest if its digest and its signature are valid.

    Errors: BundleMalformed, BundleUntrusted.

    :param encoded: the encoded signed manifest.
    :param digest: expected digest of the manifest.
    :param trusted_keys: public keys by name.
    """
    decoded = decode_signed(encoded)
    if decoded.is_error():
        return Error(decoded.error)
    signed = decoded.ok
    if digest_of(signed.manifest) != digest:
        return Error(BundleMalformed('the manifest has another digest'))
    key = trusted_keys.get(signed.key_name)
    if key is None:
        return Error(BundleUntrusted(f'no key {signed.key_name!r} is trusted'))
    try:
        key.verify(_SIGNING_CONTEXT + signed.manifest, signed.signature)
    except (BadSignatureError, ValueError, TypeError):
        return Error(BundleUntrusted('the signature does not match'))
    return decode_manifest(signed.manifest)


def _decode(encoded: bytes, kind: type[_Value]) -> Result[_Value, BundleError]:
    if len(encoded) > MAX_VALUE_BYTES:
        return Error(BundleMalformed(f'{kind.__name__} is too large'))
    try:
        return Ok(
            _VALIDATORS[kind.__name__].validate_python(_plain_value(encoded))
        )
    except pydantic.ValidationError as exc:
        fields = {'.'.join(map(str, item['loc'])) for item in exc.errors()}
        at = ', '.join(sorted(fields))
        return Error(BundleMalformed(f'not a {kind.__name__}: {at}'))
    except ValueError as exc:
        return Error(BundleMalformed(f'not a {kind.__name__}: {exc}'))


def _plain_value(encoded: bytes) -> Any:
    try:
        return cbor2.loads(encoded)
    except Exception as exc:  # the decoder may raise anything on hostile input
        raise ValueError(f'not CBOR: {exc}') from exc


_VALIDATORS: Mapping[str, pydantic.TypeAdapter[Any]] = {
    kind.__name__: pydantic.TypeAdapter(kind)
    for kind in (BundlePointer, Draft, Manifest, SignedManifest)
}
