"""A stream reader that knows of bytes which nobody has read yet."""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from typing import Any


class WatchedReader(asyncio.StreamReader):
    """Tells of bytes that have come and weren't asked for.

    :param limit: bytes after which the other side has to wait.
    """

    def __init__(self, limit: int) -> None:
        super().__init__(limit=limit)
        self._unread = 0
        #: Called when bytes come, None where some are waited for.
        self.on_unsolicited: Callable[[], None] | None = None

    @property
    def has_unread(self) -> bool:
        """Tell whether bytes wait to be read."""
        return self._unread > 0

    def feed_data(self, data: Any) -> None:
        """Take in bytes that the transport has received."""
        self._unread += len(data)
        super().feed_data(data)
        if self.on_unsolicited is not None:
            self.on_unsolicited()

    async def read(self, n: int = -1) -> bytes:  # noqa: WPS111
        """Return the next bytes, empty at the end."""
        received = await super().read(n)
        self._unread -= len(received)
        return received
