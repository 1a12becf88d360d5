"""Messages between gateways on the software versions that began streams."""

from __future__ import annotations

from typing import Any, NamedTuple

#: Length of the digest that stands for a stream, bytes.
DIGEST_BYTES = 8

#: Most streams in one message.
MAX_DIGESTS = 4096


class StreamsBegun(NamedTuple):
    """Streams of a service that one software version began.

    :param digests: one digest after the other.
    """

    service: str
    software_version: str
    digests: bytes


class StreamQuery(NamedTuple):
    """Asks an owner which software version began a stream.

    :param call_id: number that the answer repeats.
    """

    call_id: int
    digest: bytes


class StreamAnswer(NamedTuple):
    """Answers `StreamQuery`.

    :param is_known: whether the owner knows the version.
    """

    call_id: int
    is_known: bool
    software_version: str


def check_digests(message: Any) -> None:
    """Check the lengths of the digests in a message, if it holds any.

    :param message: a decoded message, with fields of the right types.
    :raises ValueError: a length is impossible.
    """
    is_valid = True
    if isinstance(message, StreamsBegun):
        count, rest = divmod(len(message.digests), DIGEST_BYTES)
        is_valid = rest == 0 and count <= MAX_DIGESTS
    elif isinstance(message, StreamQuery):
        is_valid = len(message.digest) == DIGEST_BYTES
    if not is_valid:
        raise ValueError(f'{type(message).__name__}: length of the digests')
