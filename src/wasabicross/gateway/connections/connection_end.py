"""The end of a caller's connection, so that its last answer arrives whole."""

from __future__ import annotations

import asyncio
import contextlib

_READ_BYTES = 65536

#: How long and how much a caller may still send after its last answer. If a
#: connection is closed with unread bytes, a reset may destroy the answer.
_MAX_LINGER_S = 2.0
_MAX_DISCARDED_BYTES = 67108864


async def end_after_answer(
    reader: asyncio.StreamReader, writer: asyncio.StreamWriter
) -> None:
    """End the sending side and discard what the caller still sends.

    :param reader: the reading side of the connection.
    :param writer: its writing side.
    """
    discarded = 0
    with contextlib.suppress(OSError, TimeoutError):
        writer.write_eof()
        async with asyncio.timeout(_MAX_LINGER_S):
            while discarded < _MAX_DISCARDED_BYTES:
                received = await reader.read(_READ_BYTES)
                if not received:
                    return
                discarded += len(received)
