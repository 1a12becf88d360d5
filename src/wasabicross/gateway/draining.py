"""Ends the requests of callers before a gateway ends."""

from __future__ import annotations

import asyncio
import contextlib
from collections.abc import Callable, Collection

from wasabicross.gateway.caller_service import CallerService
from wasabicross.gateway.clock import now_s
from wasabicross.gateway.connections.caller_connections import CallerConnection
from wasabicross.gateway.stop_phases import StopPhases


class Draining:
    """Ends the requests of callers, each with an answer where that is possible.

    :param service: serves the requests.
    :param connections: all open connections.
    :param grace_s: returns the time until the process is killed, seconds.
    """

    def __init__(
        self,
        service: CallerService,
        connections: Collection[CallerConnection],
        grace_s: Callable[[], float],
    ) -> None:
        self._service = service
        self._connections = connections
        self._grace_s = grace_s

    @property
    def phases(self) -> StopPhases:
        """Return when a stop does what, by the settings in force."""
        return StopPhases.from_grace(self._grace_s())

    async def run(self, callers: asyncio.Server) -> None:
        """Stop taking requests, wait for those under way, and end the rest.

        :param callers: accepts the connections of callers.
        """
        started_s = now_s()
        await asyncio.sleep(self.phases.refuse_s)
        callers.close()
        self._service.refuses_all = True
        while now_s() - started_s < self.phases.end_s:
            for conn in tuple(self._connections):
                conn.close_idle()
            if not self._service.active and not self._connections:
                return
            if now_s() - started_s >= self.phases.last_send_s:
                self._service.refuse_unsent()
            await asyncio.sleep(self.phases.check_interval_s)
        await self._end_requests()

    async def _end_requests(self) -> None:
        """End the requests under way and wait for their answers."""
        self._service.end_all()
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(self.phases.answers_s):
                while self._service.active:
                    await asyncio.sleep(self.phases.check_interval_s)
