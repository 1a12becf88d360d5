"""Keys of the parts of bundles in the key-value service."""

CURRENT_KEY = 'bundle/current'

#: Number of bundles in a generation. Bundles of one generation share the keys
#: of equal chunks. A chunk is stored under the generation of each bundle that
#: has it, so no bundle needs chunks stored under an earlier generation.
GENERATION_BUNDLES = 100


def generation_of(number: int) -> int:
    """Return the generation of a bundle.

    :param number: number of the bundle.
    """
    return number // GENERATION_BUNDLES


def manifest_key(digest: str) -> str:
    """Return the key of a manifest.

    :param digest: digest of the manifest.
    """
    return f'bundle/manifest/{digest}'


def draft_key(digest: str) -> str:
    """Return the key of a draft.

    :param digest: digest of its manifest.
    """
    return f'bundle/draft/{digest}'


def history_key(number: int) -> str:
    """Return the key of the pointer to a bundle that was in force.

    :param number: number of the bundle.
    """
    return f'bundle/history/{number}'


def chunk_key(number: int, digest: str) -> str:
    """Return the key of a chunk.

    :param number: number of a bundle with this chunk.
    :param digest: digest of the chunk.
    """
    return f'bundle/chunk/{generation_of(number)}/{digest}'
