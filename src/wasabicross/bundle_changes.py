"""What a bundle changes in the adapters of the one before."""

from typing import NamedTuple

from expression import Error, Ok, Result

from wasabicross.bundles import BundleSource, Manifest, decode_chunk
from wasabicross.exceptions import BundleError


class Changes(NamedTuple):
    """Counts of adapters that differ between two bundles."""

    added: int
    removed: int
    changed: int


def count_changes(
    before: Manifest | None,
    after: Manifest,
    source: BundleSource,
) -> Result[Changes, BundleError]:
    """Count the changes; reads only the chunks that differ.

    :param before: manifest of the earlier bundle, if there is one.
    :param after: manifest of the later bundle.
    :param source: has the chunks of both.
    """
    old: dict[str, tuple[str, str]] = {}
    new: dict[str, tuple[str, str]] = {}
    old_digests = before.chunk_digests() if before else ()
    new_digests = after.chunk_digests()
    for digests, others, table in (
        (old_digests, new_digests, old),
        (new_digests, old_digests, new),
    ):
        for digest in dict.fromkeys(digests):
            if digest in others:
                continue
            chunk = source.chunk(digest)
            if chunk.is_error():
                return Error(chunk.error)
            table.update(_versions(chunk.ok))
    common = old.keys() & new.keys()
    return Ok(
        Changes(
            added=len(new) - len(common),
            removed=len(old) - len(common),
            changed=sum(old[name] != new[name] for name in common),
        ),
    )


def _versions(chunk: bytes) -> dict[str, tuple[str, str]]:
    return {
        adapter: (base_model, version)
        for base_model, versions in decode_chunk(chunk).items()
        for adapter, version in versions.items()
    }
