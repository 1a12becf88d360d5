"""A stream reader that counts bytes which were received but not read yet."""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from typing import Any


class WatchedReader(asyncio.StreamReader):
    """Reports unread bytes and bytes that arrive unsolicited.

    :param limit: buffered bytes after which the peer has to wait.
    """

    def __init__(self, limit: int) -> None:
        super().__init__(limit=limit)
        self._unread_bytes = 0
        #: Called when bytes arrive; None while bytes are expected.
        self.on_unsolicited: Callable[[], None] | None = None

    @property
    def has_unread(self) -> bool:
        """Return whether bytes wait to be read."""
        return self._unread_bytes > 0

    def feed_data(self, data: Any) -> None:
        """Add bytes that the transport has received."""
        self._unread_bytes += len(data)
        super().feed_data(data)
        if self.on_unsolicited is not None:
            self.on_unsolicited()

    async def read(self, n: int = -1) -> bytes:  # noqa: WPS111
        """Return the next bytes, empty at the end."""
        received = await super().read(n)
        self._unread_bytes -= len(received)
        return received
