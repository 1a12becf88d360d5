"""Calls to the store that a take-up waits for, so that they aren't too many."""

from __future__ import annotations

import asyncio
import math

from wasabicross.gateway.clock import now_s as clock_s

#: Least interval between two such calls of a gateway: at most 400 calls a second
#: of all gateways together.
_MIN_INTERVAL_S = 0.1
_INTERVAL_PER_GATEWAY_S = 0.0025


class PromptedCalls:
    """Tells when the store is to be called for a take-up that waits.

    :param wanted: set while a take-up waits for an answer of the store.
    """

    def __init__(self, wanted: asyncio.Event) -> None:
        self._wanted = wanted
        self._blocked_until_s = -math.inf

    def take(self, instances: int) -> bool:
        """Return whether the call that is made now is one of these.

        :param instances: number of gateways that may make such calls.
        """
        if not self._wanted.is_set():
            return False
        self._wanted.clear()
        self.block(
            max(_MIN_INTERVAL_S, _INTERVAL_PER_GATEWAY_S * instances),
        )
        return True

    def block(self, delay_s: float) -> None:
        """Make no such call for a while.

        :param delay_s: how long, seconds.
        """
        self._blocked_until_s = clock_s() + delay_s

    async def wait(self, delay_s: float) -> bool:
        """Wait; return at once with True if such a call is to be made.

        :param delay_s: longest wait, seconds.
        """
        blocked_s = max(0, self._blocked_until_s - clock_s())
        await asyncio.sleep(min(delay_s, blocked_s))
        if blocked_s >= delay_s:
            return False
        try:
            async with asyncio.timeout(delay_s - blocked_s):
                await self._wanted.wait()
        except TimeoutError:
            return False
        return True
