"""Time limits: some raise an error of their layer, others can end early."""

from __future__ import annotations

import asyncio
import contextlib
from collections.abc import AsyncIterator
from types import TracebackType


class TimeLimit:
    """Limits the time of a block of code.

    :param limit_s: longest time, seconds, None for no limit.
    :param error: the error to raise if the block takes longer.
    """

    def __init__(self, limit_s: float | None, error: Exception) -> None:
        self._timeout = asyncio.timeout(limit_s)
        self._error = error

    async def __aenter__(self) -> None:
        await self._timeout.__aenter__()

    async def __aexit__(
        self,
        exc_type: type[BaseException] | None,
        exc: BaseException | None,
        trace: TracebackType | None,
    ) -> None:
        try:
            await self._timeout.__aexit__(exc_type, exc, trace)
        except TimeoutError as timeout:
            raise self._error from timeout


class EndableTimeLimit:
    """Limits the time of a block of code and can end that early."""

    def __init__(self) -> None:
        self._timeout: asyncio.Timeout | None = None
        #: Whether the block was ended before its time was over.
        self.was_ended = False

    @contextlib.asynccontextmanager
    async def after(self, limit_s: float) -> AsyncIterator[None]:
        """Limit the time of a block of code.

        :param limit_s: longest time, seconds.
        :raises TimeoutError: the time is over, or the block was ended.
        """
        async with asyncio.timeout(limit_s) as timeout:
            self._timeout = timeout
            try:
                yield
            finally:
                self._timeout = None

    def end(self) -> None:
        """End the block now; does nothing where it has ended."""
        if self._timeout is not None and not self._timeout.expired():
            self.was_ended = True
            self._timeout.reschedule(asyncio.get_running_loop().time())
