"""Replicas of adapters that are loaded before requests wait for them."""

from __future__ import annotations

import asyncio
import math
from collections.abc import Awaitable, Callable

from wasabicross.gateway.backend import AdapterKey

#: Pause before a replica of an adapter is asked for once more.
_PAUSE_S = 0.5


class ReplicaPrefetch:
    """Asks for replicas, one at a time for each adapter.

    :param load: has an adapter loaded on a server.
    """

    def __init__(
        self, load: Callable[[str, AdapterKey, int], Awaitable[None]]
    ) -> None:
        self._load = load
        self._asked_s: dict[AdapterKey, float] = {}
        self._tasks: dict[AdapterKey, asyncio.Task[None]] = {}

    def request_replica(
        self, server_id: str, key: AdapterKey, version: int, now_s: float
    ) -> bool:
        """Ask for a replica unless that was done just now; tell whether it was.

        :param server_id: where it is loaded.
        :param key: the adapter.
        :param version: oldest version that will do.
        :param now_s: the present time.
        """
        if now_s - self._asked_s.get(key, -math.inf) < _PAUSE_S:
            return False
        if key in self._tasks:
            return False
        self._asked_s = {
            each: asked_s
            for each, asked_s in self._asked_s.items()
            if now_s - asked_s < _PAUSE_S
        }
        self._asked_s[key] = now_s
        task = asyncio.ensure_future(self._run(server_id, key, version))
        self._tasks[key] = task
        return True

    async def _run(self, server_id: str, key: AdapterKey, version: int) -> None:
        try:
            await self._load(server_id, key, version)
        finally:
            self._tasks.pop(key, None)
