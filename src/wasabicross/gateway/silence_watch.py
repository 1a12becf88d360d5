"""Leaves a silent server once another one can take its request over."""

from __future__ import annotations

import asyncio
import contextlib
from collections.abc import Awaitable, Callable, Iterator
from typing import TypeAlias

from wasabicross.gateway.error_containment import ErrorContainment
from wasabicross.gateway.retrying_placer import Placement

#: Returns another server that takes the request over now, None if there is none.
ReplacementFinder: TypeAlias = Callable[[], Awaitable[Placement | None]]

#: Pause before another server is looked for again.
_RETRY_PAUSE_S = 0.25


class SilenceWatch:
    """Limits the silence of a server while another one could take over.

    The server may be sound and go on, so it is left only when the other one has
    been found.

    :param find_replacement: finds the other server.
    :param close: closes the connection to the silent one.
    """

    def __init__(
        self, find_replacement: ReplacementFinder, close: Callable[[], None]
    ) -> None:
        self._find_replacement = find_replacement
        self._close = close
        self._search: asyncio.Task[None] | None = None
        self._errors = ErrorContainment('silence watch')
        #: The server that takes over; the connection is closed then.
        self.replacement: Placement | None = None

    @contextlib.contextmanager
    def limit(self, max_silence_s: float | None) -> Iterator[None]:
        """Limit the silence while the next bytes are awaited.

        :param max_silence_s: the longest silence, seconds, None for no limit.
        """
        if max_silence_s is None:
            yield
            return
        loop = asyncio.get_running_loop()
        timer = loop.call_later(max_silence_s, self._begin_search)
        try:
            yield
        finally:
            timer.cancel()
            self._end_search()

    def _begin_search(self) -> None:
        self._search = asyncio.ensure_future(self._seek())

    def _end_search(self) -> None:
        if self._search is not None:
            self._search.cancel()
            self._search = None

    async def _seek(self) -> None:
        while self.replacement is None:
            with self._errors.contain('replacement'):
                self.replacement = await self._find_replacement()
            if self.replacement is None:
                await asyncio.sleep(_RETRY_PAUSE_S)
        self._close()
