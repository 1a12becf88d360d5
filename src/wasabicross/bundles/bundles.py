"""Bundles: signed sets of adapter versions, routes and routing policy.

A bundle consists of a manifest and 256 chunks. Each chunk has the adapters
whose names hash to its index. The manifest lists the digests of the chunks and
is signed, so a change of one adapter changes one chunk only, and every process
can verify the complete bundle. A roll brings a new bundle into force.
"""

import hashlib
from collections.abc import Mapping
from functools import lru_cache
from typing import Annotated, Literal, NamedTuple, Protocol

import cbor2
import pydantic
from expression import Result

from wasabicross.bundles.errors import BundleError

CHUNKS = 256
MAX_VALUE_BYTES = 1_000_000  # limit of the platform's key-value service
NO_PARENT = ''

_DIGEST_BYTES = 32
_ADAPTER_CACHE = 1024

Digest = Annotated[str, pydantic.Field(pattern='^[0-9a-f]{64}$')]
RouteKind = Literal['engine', 'service']


class Route(NamedTuple):
    """The destination of requests under a path prefix.

    :param path: prefix, matched at boundaries of path segments.
    :param kind: ``engine`` (requests name an adapter) or plain ``service``.
    :param group: group of the backend servers.
    :param request_class: class of the requests in policy and metrics.
    :param idempotent_methods: HTTP methods that may be retried.
    """

    path: str
    kind: RouteKind
    group: str
    request_class: str
    idempotent_methods: tuple[str, ...] = ()


class AdapterVersion(NamedTuple):
    """The version of an adapter in a bundle, and its base model."""

    adapter: str
    version: str
    base_model: str


class BundlePointer(NamedTuple):
    """Number and digest of a bundle that was rolled, with time and operator.

    :param number: number of the bundle, increased by each roll.
    :param digest: SHA-256 of the manifest, hexadecimal.
    :param rolled_at: time of the roll in ISO 8601, UTC.
    :param rolled_by: name of the operator.
    """

    number: Annotated[int, pydantic.Field(strict=True, ge=1)]
    digest: Digest
    rolled_at: str
    rolled_by: str


class Manifest(NamedTuple):
    """The signed content of a bundle.

    :param number: number of the bundle, one more than its parent's.
    :param parent: digest of the preceding bundle, empty for the first.
    :param name: name given by the operators.
    :param routes: in the order of the bundle file.
    :param policy: weights of the routing policy by name.
    :param chunks: the 256 digests, 32 bytes each.
    :param class_priorities: priority of the model calls of request classes,
        those with a lower number first; 0 for classes that aren't named.
    """

    number: Annotated[int, pydantic.Field(strict=True, ge=1)]
    parent: str
    name: str
    routes: tuple[Route, ...]
    policy: dict[str, float]
    chunks: Annotated[
        bytes,
        pydantic.Field(
            min_length=CHUNKS * _DIGEST_BYTES,
            max_length=CHUNKS * _DIGEST_BYTES,
        ),
    ]
    class_priorities: dict[str, int] = {}

    def chunk_digests(self) -> tuple[str, ...]:
        """Return the digests of the chunks, hexadecimal, in order."""
        return tuple(
            self.chunks[start : start + _DIGEST_BYTES].hex()
            for start in range(0, len(self.chunks), _DIGEST_BYTES)
        )


class SignedManifest(NamedTuple):
    """A manifest as it is stored and sent, with its signature.

    :param manifest: the encoded manifest.
    :param key_name: name of the signer's key in the trusted keys.
    :param signature: Ed25519 signature of the signing context and manifest.
    """

    manifest: bytes
    key_name: str
    signature: bytes


class Draft(NamedTuple):
    """A prepared bundle that can be signed off.

    :param manifest: the encoded manifest.
    :param prepared_at: time of preparation in ISO 8601, UTC.
    :param prepared_by: name of the operator.
    """

    manifest: bytes
    prepared_at: str
    prepared_by: str


class BundleSource(Protocol):
    """A source of the parts of a bundle, by digest."""

    def manifest(self, digest: str) -> Result[bytes, BundleError]:
        """Return the encoded :class:`SignedManifest` of this digest."""

    def chunk(self, digest: str) -> Result[bytes, BundleError]:
        """Return the encoded chunk of this digest."""


class Bundle:
    """One immutable bundle, small enough to be held in each process.

    The chunks stay encoded; a lookup decodes one chunk and caches its result.

    :param manifest: the decoded manifest.
    :param digest: digest of the manifest.
    :param chunks: the encoded chunks in order.
    """

    def __init__(
        self,
        manifest: Manifest,
        digest: str,
        chunks: tuple[bytes, ...],
    ) -> None:
        self.number = manifest.number
        self.digest = digest
        self.parent = manifest.parent
        self.name = manifest.name
        self.routes = manifest.routes
        self.policy: Mapping[str, float] = manifest.policy
        self.adapter = lru_cache(_ADAPTER_CACHE)(self._find_adapter)
        self._chunks = chunks
        self._class_priorities = manifest.class_priorities
        self._routes_by_length = sorted(
            manifest.routes,
            key=lambda route: len(route.path),
            reverse=True,
        )

    def route(self, path: str) -> Route | None:
        """Return the route with the longest prefix of a path.

        :param path: path of a request, without the query.
        """
        for route in self._routes_by_length:
            prefix = route.path.rstrip('/')
            if path == prefix or path.startswith(f'{prefix}/'):
                return route
        return None

    def priority_of(self, request_class: str) -> int:
        """Return the priority of a class's model calls, lower ones first.

        :param request_class: as routes name it.
        """
        return self._class_priorities.get(request_class, 0)

    def adapters(self) -> dict[str, AdapterVersion]:
        """Return all adapters by name; slow, since it decodes all chunks."""
        found: dict[str, AdapterVersion] = {}
        for chunk in self._chunks:
            for base_model, versions in decode_chunk(chunk).items():
                found.update(
                    (adapter, AdapterVersion(adapter, version, base_model))
                    for adapter, version in versions.items()
                )
        return found

    def _find_adapter(self, name: str) -> AdapterVersion | None:
        by_model = decode_chunk(self._chunks[chunk_index(name)])
        for base_model, versions in by_model.items():
            version = versions.get(name)
            if version is not None:
                return AdapterVersion(name, version, base_model)
        return None


def digest_of(encoded: bytes) -> str:
    """Return the SHA-256 of some bytes, hexadecimal.

    :param encoded: a manifest or a chunk.
    """
    return hashlib.sha256(encoded).hexdigest()


def chunk_index(adapter: str) -> int:
    """Return the index of the chunk that an adapter belongs to.

    :param adapter: name of the adapter.
    """
    return hashlib.sha256(adapter.encode(errors='replace')).digest()[0]


def encode_chunk(by_model: Mapping[str, Mapping[str, str]]) -> bytes:
    """Encode a chunk; equal contents give equal bytes.

    :param by_model: versions by adapter name, by base model.
    """
    return cbor2.dumps(by_model, canonical=True)


def decode_chunk(encoded: bytes) -> dict[str, dict[str, str]]:
    """Decode a verified chunk.

    :param encoded: the bytes of :func:`encode_chunk`.
    """
    by_model: dict[str, dict[str, str]] = cbor2.loads(encoded)
    return by_model
