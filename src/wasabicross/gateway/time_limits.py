"""Time limits that raise an error of the layer that sets them."""

from __future__ import annotations

import asyncio
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
