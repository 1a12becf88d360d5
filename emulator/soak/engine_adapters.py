"""The adapters of a stand-in for an engine, and the orders that change them."""

from __future__ import annotations

import asyncio
from collections.abc import Callable, Coroutine
from typing import Any

from emulator.soak.server_log import log

MODEL = 'm0'

_LOAD_S = 0.12
_POLL_S = 0.01
_MAX_PENDING = 4

_OK = 200
_ACCEPTED = 202
_CONFLICT = 409


class EngineAdapters:
    """The adapters that an engine holds, loads and uses.

    :param slots: maximum number of adapters held, 0 for a plain service.
    :param version_in_force: returns the version of an adapter that is in force.
    """

    def __init__(
        self, slots: int, version_in_force: Callable[[str], int]
    ) -> None:
        self.slots = slots
        self.order_count = 0
        self.held: dict[str, int] = {}
        self.pending: dict[str, int] = {}
        self._run_counts: dict[str, int] = {}
        self._version_in_force = version_in_force
        self._tasks: set[asyncio.Task[None]] = set()

    def after_restart(self) -> EngineAdapters:
        """Return what the next process of the engine holds: the same adapters."""
        adapters = EngineAdapters(self.slots, self._version_in_force)
        adapters.held.update(self.held)
        return adapters

    def models(self) -> list[dict[str, Any]]:
        """Return the base model and its adapters in the format of reports."""
        if not self.slots:
            return []
        held = [f'{name}@{version}' for name, version in self.held.items()]
        return [{'name': MODEL, 'version': 1, 'adapters': held}]

    def begin_run(self, name: str) -> None:
        """Count the start of a request on an adapter.

        :param name: the adapter.
        """
        self._run_counts[name] = self._run_counts.get(name, 0) + 1

    def end_run(self, name: str) -> None:
        """Count the end of a request on an adapter.

        :param name: the adapter.
        """
        self._run_counts[name] -= 1

    def execute(self, order: dict[str, Any], *, is_late: bool) -> int:
        """Execute an order, log it and return its HTTP status.

        :param order: the order as it was received.
        :param is_late: whether it is executed seconds after it was received.
        """
        status = self._status_of(order)
        log(
            'order',
            owner=order['holder'],
            term=order['fence'],
            op=order['op'],
            adapter=order['adapter'],
            status=status,
            late=is_late,
        )
        return status

    def _status_of(self, order: dict[str, Any]) -> int:
        name = order['adapter']
        if order['op'] == 'load':
            return self._load(name, order['expected'])
        if name not in self.held:
            return _OK
        if order['expected'] != self.order_count:
            return _CONFLICT
        self.order_count += 1
        if self._run_counts.get(name):
            self._start(self._unload_when_unused(name))
            return _ACCEPTED
        self.held.pop(name)
        return _OK

    def _load(self, name: str, expected: int) -> int:
        version_in_force = self._version_in_force(name)
        if self.held.get(name) == version_in_force:
            return _OK
        if name in self.pending:
            return _ACCEPTED
        if expected != self.order_count or len(self.pending) >= _MAX_PENDING:
            return _CONFLICT
        occupying = self.held.keys() | self.pending.keys() | {name}
        if len(occupying) > self.slots:
            log('slots_passed', taken=len(occupying))
        self.order_count += 1
        self.pending[name] = version_in_force
        self._start(self._finish_load(name, version_in_force))
        return _ACCEPTED

    async def _finish_load(self, name: str, version: int) -> None:
        await asyncio.sleep(_LOAD_S)
        while self._run_counts.get(name):
            await asyncio.sleep(_POLL_S)
        self.pending.pop(name)
        self.held[name] = version
        self.order_count += 1

    async def _unload_when_unused(self, name: str) -> None:
        while self._run_counts.get(name):
            await asyncio.sleep(_POLL_S)
        self.held.pop(name, None)

    def _start(self, work: Coroutine[Any, Any, None]) -> None:
        task = asyncio.ensure_future(work)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)
