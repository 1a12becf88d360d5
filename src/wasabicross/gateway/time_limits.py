"""Time limits that end in an error of the layer that sets them."""

from __future__ import annotations

import asyncio
from types import TracebackType


class TimeLimit:
    """Bounds a block of code by a time.

    :param limit_s: longest time, None for no bound.
    :param error: raised where the block takes longer.
    """

    def __init__(self, limit_s: float | None, error: Exception) -> None:
        self._timeout = asyncio.timeout(limit_s)
        self._error = error

    async def __aenter__(self) -> None:
        await self._timeout.__aenter__()

    async def __aexit__(
        self,
        kind: type[BaseException] | None,
        exc: BaseException | None,
        trace: TracebackType | None,
    ) -> None:
        try:
            await self._timeout.__aexit__(kind, exc, trace)
        except TimeoutError as late:
            raise self._error from late
