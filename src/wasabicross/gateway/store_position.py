"""Positions in the store's history that rise although its revisions may not.

A store that returns from an older copy gives its revisions out again. Each such
return begins a new era, so a position consists of the era and the revision,
folded into one integer: a position of a later era is always higher. Without
eras, a position is the store's revision.
"""

from __future__ import annotations

#: Bits of a position that hold the revision, enough for a count of milliseconds
#: since 1970; the era takes the bits above.
_REVISION_BITS = 44
_REVISION_LIMIT = 1 << _REVISION_BITS


def position(era: int, revision: int) -> int:
    """Return the position of a revision.

    :param era: era of the store, 0 if it has none.
    :param revision: revision of the store in that era.
    :raises ValueError: either is negative, or the revision is too large.
    """
    if era < 0 or not 0 <= revision < _REVISION_LIMIT:
        raise ValueError(f'no position: era {era}, revision {revision}')
    return era << _REVISION_BITS | revision


def era_of(store_position: int) -> int:
    """Return the era of a position.

    :param store_position: a position.
    """
    return store_position >> _REVISION_BITS


def revision_of(store_position: int) -> int:
    """Return the store's own revision at a position.

    :param store_position: a position.
    """
    return store_position & (_REVISION_LIMIT - 1)
