"""State of a key in the key-value service."""

from typing import NamedTuple


class Versioned(NamedTuple):
    """State of a key.

    :param key: the key.
    :param value: its bytes, ``None`` if the key is absent.
    :param version: number that increases with each change, also across a
        deletion; 0 if the key is absent.
    """

    key: str
    value: bytes | None
    version: int
