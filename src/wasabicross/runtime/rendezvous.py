"""Rendezvous hashing, for choices that need no coordination."""

from __future__ import annotations

import hashlib
from collections.abc import Iterable, Sequence

_HASH_BYTES = 8


def rendezvous_hash(*parts: str) -> bytes:
    """Return the hash by which rendezvous hashing orders its candidates.

    :param parts: texts that are hashed together.
    """
    text = '\0'.join(parts)
    return hashlib.blake2b(text.encode(), digest_size=_HASH_BYTES).digest()


def rank(key: str, candidates: Iterable[str]) -> tuple[str, ...]:
    """Return the candidates in order of preference by rendezvous hash.

    :param key: the item that is assigned to one of the candidates.
    :param candidates: ids of the candidates.
    """
    return tuple(
        sorted(candidates, key=lambda each: rendezvous_hash(key, each)),
    )


def rank_servers(
    adapter: str,
    version: str,
    servers: Sequence[str],
) -> tuple[str, ...]:
    """Return servers in order of preference for a load by rendezvous hash.

    Adding or removing a server doesn't change the order of the others.

    :param adapter: name of the adapter.
    :param version: version of the adapter.
    :param servers: ids of the servers.
    """
    return tuple(
        sorted(
            servers,
            key=lambda server: rendezvous_hash(adapter, version, server),
        ),
    )
