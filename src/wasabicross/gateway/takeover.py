"""The moment at which a server takes a request over from a silent one."""

from __future__ import annotations

import asyncio
import contextlib
from collections.abc import Iterator

from wasabicross.gateway.silence_watch import OnAccepted

#: Longest time from the head of an answer to its first event in which the
#: silent server is kept. Two servers must not work on a request for long.
_MAX_BOTH_S = 0.25


class Takeover:
    """Tells once that a server has taken a request over.

    :param on_accepted: is told so, None if the server takes over from none.
    """

    def __init__(self, on_accepted: OnAccepted | None) -> None:
        self._on_accepted = on_accepted

    @property
    def is_pending(self) -> bool:
        """Return whether the server before is still waited for."""
        return self._on_accepted is not None

    def accept(self) -> None:
        """Record that this server answers the request."""
        on_accepted = self._on_accepted
        self._on_accepted = None
        if on_accepted is not None:
            on_accepted()

    @contextlib.contextmanager
    def limit(self) -> Iterator[None]:
        """Limit how long the server before is kept once an answer began."""
        loop = asyncio.get_running_loop()
        timer = loop.call_later(_MAX_BOTH_S, self.accept)
        try:
            yield
        finally:
            timer.cancel()
