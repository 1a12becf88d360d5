"""Loads replicas of adapters before requests have to wait for them."""

from __future__ import annotations

import asyncio
import math
from collections.abc import Awaitable, Callable

from wasabicross.gateway.backend import AdapterKey

#: Least interval between two requests for a replica of one adapter.
_MIN_INTERVAL_S = 0.5


class ReplicaPrefetch:
    """Requests replicas, one at a time for each adapter.

    :param load: loads an adapter on a server.
    """

    def __init__(
        self, load: Callable[[str, AdapterKey, int], Awaitable[None]]
    ) -> None:
        self._load = load
        self._requested_s: dict[AdapterKey, float] = {}
        self._tasks: dict[AdapterKey, asyncio.Task[None]] = {}

    def request_replica(
        self, server_id: str, key: AdapterKey, version: int, now_s: float
    ) -> bool:
        """Request a replica unless one is being loaded or was just requested.

        :param server_id: the server on which it is loaded.
        :param key: the adapter.
        :param version: oldest acceptable version.
        :param now_s: the present time, monotonic seconds.
        :return: whether the replica was requested.
        """
        if now_s - self._requested_s.get(key, -math.inf) < _MIN_INTERVAL_S:
            return False
        if key in self._tasks:
            return False
        self._requested_s = {
            each: requested_s
            for each, requested_s in self._requested_s.items()
            if now_s - requested_s < _MIN_INTERVAL_S
        }
        self._requested_s[key] = now_s
        task = asyncio.ensure_future(self._run(server_id, key, version))
        self._tasks[key] = task
        return True

    async def _run(self, server_id: str, key: AdapterKey, version: int) -> None:
        try:
            await self._load(server_id, key, version)
        finally:
            self._tasks.pop(key, None)
