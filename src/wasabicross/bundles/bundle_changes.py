"""Comparison of the adapters of two bundles."""

from collections.abc import Callable
from typing import NamedTuple, TypeAlias

from expression import Error, Ok, Result

from wasabicross.bundles.bundles import BundleSource, Manifest, decode_chunk
from wasabicross.bundles.errors import BundleError

# Base model and version by name of the adapter.
_Versions: TypeAlias = dict[str, tuple[str, str]]


class Changes(NamedTuple):
    """Counts of adapters that differ between two bundles."""

    added: int
    removed: int
    changed: int


def count_changes(
    before: Manifest | None,
    after: Manifest,
    parts_of: Callable[[int], BundleSource],
) -> Result[Changes, BundleError]:
    """Count the changes; read only the chunks that differ.

    :param before: manifest of the earlier bundle, if there is one.
    :param after: manifest of the later bundle.
    :param parts_of: returns the source of the parts of a bundle, by number.
    """
    versions = _versions_in_changed_chunks(after, before, parts_of)
    if versions.is_error():
        return Error(versions.error)
    new = versions.ok
    versions = _versions_in_changed_chunks(before, after, parts_of)
    if versions.is_error():
        return Error(versions.error)
    old = versions.ok
    common = old.keys() & new.keys()
    return Ok(
        Changes(
            added=len(new) - len(common),
            removed=len(old) - len(common),
            changed=sum(old[name] != new[name] for name in common),
        ),
    )


def _versions_in_changed_chunks(
    manifest: Manifest | None,
    other: Manifest | None,
    parts_of: Callable[[int], BundleSource],
) -> Result[_Versions, BundleError]:
    """Return the adapters in chunks that the other bundle doesn't have."""
    table: _Versions = {}
    if manifest is None:
        return Ok(table)
    source = parts_of(manifest.number)
    other_digests = other.chunk_digests() if other else ()
    for digest in dict.fromkeys(manifest.chunk_digests()):
        if digest in other_digests:
            continue
        chunk = source.chunk(digest)
        if chunk.is_error():
            return Error(chunk.error)
        table.update(_versions(chunk.ok))
    return Ok(table)


def _versions(chunk: bytes) -> _Versions:
    return {
        adapter: (base_model, version)
        for base_model, versions in decode_chunk(chunk).items()
        for adapter, version in versions.items()
    }
