"""Has adapters loaded on one engine, by its owner's orders."""

from __future__ import annotations

import asyncio
import math
from collections.abc import Callable

from wasabicross.gateway import metrics
from wasabicross.gateway.awaited_loads import AwaitedLoads
from wasabicross.gateway.backend import AdapterKey, BackendServer
from wasabicross.gateway.clock import now_s
from wasabicross.gateway.configuration import EngineSpec
from wasabicross.gateway.engine_orders import BUSY_REPORT_S, EngineOrders
from wasabicross.gateway.engine_slots import (
    HEAR_USES_AGAIN_S,
    HEAR_USES_S,
    MAX_PENDING,
    EngineSlots,
)
from wasabicross.gateway.errors import DocumentUnreadable, ServerError
from wasabicross.gateway.messages import HeldAdapter, ServerState
from wasabicross.gateway.orders import (
    EngineSeam,
    LoadRequest,
    OrderAnswer,
    OrderKind,
)
from wasabicross.gateway.ownership import Tenure
from wasabicross.gateway.placement import scarcest_model
from wasabicross.gateway.view import FleetView
from wasabicross.runtime.events import Event
from wasabicross.runtime.logs import log_event

#: Pause between reports while nothing is on its way.
_IDLE_REPORT_S = 0.5

_RETRY_S = 0.25

#: Pause before a base model is ordered once more.
_MODEL_RETRY_S = 1.0

#: Reports in a row without an answer that stop loads on the engine.
_SILENT_REPORTS = 2


class ServerLoader:
    """Orders the loads of one engine while this gateway owns it.

    :param server: the engine.
    :param engine: what it can hold.
    :param engines: calls to engines.
    :param view: versions in force.
    :param tenure: returns the present right to order, None if there is none.
    """

    def __init__(
        self,
        server: BackendServer,
        engine: EngineSpec,
        engines: EngineSeam,
        view: FleetView,
        tenure: Callable[[], Tenure | None],
    ) -> None:
        self.server = server
        owned = tenure()
        is_resumed = owned is not None and owned.is_resumed
        self.slots = EngineSlots(
            engine.adapter_slots,
            HEAR_USES_AGAIN_S if is_resumed else HEAR_USES_S,
        )
        self._engine = engine
        self._engines = engines
        self._view = view
        self._tenure = tenure
        self._awaited = AwaitedLoads()
        self._wake = asyncio.Event()
        self._silent = 0
        self._orders = EngineOrders(server, self.slots, engines, view, tenure)
        self._model_due_s = -math.inf

    async def run(self) -> None:
        """Order what is wanted until cancelled."""
        try:
            while True:
                await self._round()
                await self._rest()
        finally:
            self._fail_all()

    async def load(self, wanted: LoadRequest) -> int:
        """Have an adapter loaded; return its version, 0 if it failed.

        :param wanted: which one, on which engine.
        """
        key = wanted.key
        if self.slots.held.get(key, 0) >= wanted.version:
            return self.slots.held[key]
        if key not in self._awaited and not self._has_time(wanted):
            return 0
        fut = self._awaited.join(wanted, now_s())
        self._wake.set()
        return await fut

    def _has_time(self, wanted: LoadRequest) -> bool:
        """Tell whether one more load would probably end in time."""
        if not self.takes_loads:
            return False
        ahead = 1 + len(self._awaited)
        rounds = math.ceil(ahead / MAX_PENDING)
        takes_s = self._slot_wait_s(wanted) + rounds * self._orders.load_s
        return takes_s <= wanted.patience_s

    def _slot_wait_s(self, wanted: LoadRequest) -> float:
        """Return how long one more load would wait for a slot."""
        at_s = now_s()
        ends_s = at_s + self._orders.load_s
        before = self._awaited.count_ahead(
            wanted, self.slots.accepted, ends_s, at_s
        )
        lacking = 1 + before - self.slots.spare(at_s)
        return self.slots.uses.turnover.wait_s(lacking, self.slots.slots, at_s)

    @property
    def _waiting_for_slots(self) -> int:
        """Count the loads that are wanted and aren't ordered yet."""
        return self._awaited.count_unordered(self.slots.accepted)

    @property
    def takes_loads(self) -> bool:
        """Tell whether loads can be ordered and the engine answers."""
        if self._tenure() is None or self._silent >= _SILENT_REPORTS:
            return False
        if self._view.notices.refuses_requests(self.server, now_s()):
            return False
        return self.slots.takes_orders

    def state(self) -> ServerState:
        """Return what other gateways are told of the engine."""
        uses = self.slots.uses
        return ServerState(
            server_id=self.server.server_id,
            born_ms=self.server.born_ms,
            queued=uses.queued,
            running=uses.running(now_s()),
            takes_loads=self.takes_loads,
            held=tuple(
                HeldAdapter(key.model, key.adapter, version)
                for key, version in self.slots.held.items()
            ),
            models=tuple(sorted(self.slots.models)),
            spare_slots=self._spare_slots(now_s()),
            unread_tokens=uses.unread_tokens(now_s()),
        )

    def _spare_slots(self, at_s: float) -> int:
        """Return the slots for further loads, below 0 where some wait."""
        return self.slots.spare(at_s) - self._waiting_for_slots

    async def _rest(self) -> None:
        due_s = max(self._orders.next_s, self._paused_until_s)
        pause_s = max(0, due_s - now_s())
        try:
            async with asyncio.timeout(pause_s):
                await self._wake.wait()
        except TimeoutError:
            return
        self._wake.clear()

    @property
    def _paused_until_s(self) -> float:
        """When the engine wants to be asked again."""
        return self._view.notices.paused_until_s(self.server)

    async def _round(self) -> None:
        if now_s() < self._paused_until_s:
            self._fail_all()
            return
        if now_s() >= self._orders.report_due_s:
            await self._report()
        await self._orders.repeat_due()
        self._settle()
        await self._order_model()
        await self._order_wanted()

    async def _order_model(self) -> None:
        """Have an engine that holds no base model load one."""
        slots = self.slots
        if slots.order_count is None or slots.models or slots.is_busy:
            return
        name = scarcest_model(
            self._engine,
            [
                server
                for server in self._view.servers.values()
                if server.service == self.server.service
            ],
        )
        if name and now_s() >= self._model_due_s:
            self._model_due_s = now_s() + _MODEL_RETRY_S
            await self._orders.send(OrderKind.load, AdapterKey(name, ''))

    async def _report(self) -> None:
        asked_s = now_s()
        try:
            report = await self._engines.report(self.server)
        except (ServerError, DocumentUnreadable) as exc:
            self._on_silence(str(exc))
            return
        self._silent = 0
        self.slots.uses.on_report(report.queued, report.running)
        self.slots.on_report(report, asked_s)
        self.slots.slots = self._engine.slots_beside(self.slots.models)
        is_loading = self.slots.is_busy or self.slots.pending
        busy = is_loading or len(self._awaited)
        pause_s = BUSY_REPORT_S if busy else _IDLE_REPORT_S
        self._orders.report_due_s = now_s() + pause_s

    def _on_silence(self, reason: str) -> None:
        self._silent += 1
        self._orders.report_due_s = now_s() + _RETRY_S
        if self._silent == _SILENT_REPORTS:
            log_event(
                Event.ENGINE_SILENT,
                server=self.server.server_id,
                reason=reason,
            )
            self._fail_all()

    def _settle(self) -> None:
        """Tell those whose adapter is there, or isn't coming."""
        for key, version in self._awaited.loaded(self.slots.held):
            self._end(key, version)
        for lapsed in self._awaited.expired(now_s()):
            self._fail(lapsed)

    def _end(self, key: AdapterKey, version: int) -> None:
        load = self._awaited.take(key)
        self._orders.note_loaded(key)
        self.slots.uses.on_use(key, '', 0, now_s())
        load.resolve(version)
        metrics.LOADS.labels('loaded').inc()
        log_event(
            Event.ADAPTER_LOADED,
            server=self.server.server_id,
            adapter=key.adapter,
            version=version,
            waited_s=round(now_s() - load.since_s, 3),
            waiting=len(load.waiters),
        )

    def _fail_all(self) -> None:
        """Let nobody wait for an engine that loads nothing."""
        for key in self._awaited.keys():
            self._fail(key)

    def _fail(self, key: AdapterKey) -> None:
        load = self._awaited.take(key)
        load.resolve(0)
        metrics.LOADS.labels('not loaded').inc()
        log_event(
            Event.ADAPTER_NOT_LOADED,
            server=self.server.server_id,
            adapter=key.adapter,
            waited_s=round(now_s() - load.since_s, 3),
            taken=self.slots.taken,
        )

    async def _order_wanted(self) -> None:
        ends_s = now_s() + self._orders.load_s
        for key in self._awaited.by_urgency(self.slots.accepted, ends_s):
            if not await self._order_load(key):
                return

    async def _order_load(self, key: AdapterKey) -> bool:
        """Order a load; tell whether further ones may follow."""
        if self.slots.order_count is None:
            return False
        replaces = key in self.slots.held
        if not replaces and not self.slots.may_load:
            if not await self._make_room():
                return False
        if not self.slots.may_load and not replaces:
            return False
        answer = await self._orders.send(OrderKind.load, key)
        return answer in {OrderAnswer.accepted, OrderAnswer.already}

    async def _make_room(self) -> bool:
        """Unload an adapter that nobody uses; tell whether one was."""
        if self.slots.taken < self.slots.slots:
            return False
        victim = self.slots.victim(self._view.versions, now_s())
        if victim is None:
            return False
        answer = await self._orders.send(OrderKind.unload, victim)
        return answer is OrderAnswer.already
