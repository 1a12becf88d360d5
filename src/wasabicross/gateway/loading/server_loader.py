"""Loads requested adapters on one engine while this gateway owns it."""

from __future__ import annotations

import asyncio
import math
from collections.abc import Callable

from wasabicross.gateway import metrics
from wasabicross.gateway.backend import AdapterKey, BackendServer
from wasabicross.gateway.clock import now_s
from wasabicross.gateway.configuration import EngineSpec
from wasabicross.gateway.error_containment import ErrorContainment
from wasabicross.gateway.errors import DocumentUnreadable, ServerError
from wasabicross.gateway.loading.awaited_loads import AwaitedLoads
from wasabicross.gateway.loading.engine_orders import (
    BUSY_REPORT_INTERVAL_S,
    EngineOrders,
)
from wasabicross.gateway.loading.engine_slots import (
    RESUMED_USAGE_WAIT_S,
    USAGE_WAIT_S,
    EngineSlots,
)
from wasabicross.gateway.loading.load_admission import LoadAdmission
from wasabicross.gateway.messages import (
    AdapterUsage,
    HeldAdapter,
    ServerState,
)
from wasabicross.gateway.orders import (
    EngineClient,
    LoadRequest,
    OrderAnswer,
    OrderKind,
)
from wasabicross.gateway.ownership import OwnershipTerm
from wasabicross.gateway.placement import scarcest_model
from wasabicross.gateway.view import FleetView
from wasabicross.runtime.events import Event
from wasabicross.runtime.logs import log_event

#: Interval between reports while no load is pending.
_IDLE_REPORT_INTERVAL_S = 0.5

_REPORT_RETRY_S = 0.25

#: Delay before a base model is ordered again.
_MODEL_RETRY_S = 1.0

#: Consecutive failed reports after which the engine takes no loads.
_MAX_FAILED_REPORTS = 2


class ServerLoader:
    """Orders the loads of one engine while this gateway owns it.

    :param server: the engine.
    :param engine: capacity of the engine.
    :param engines: client for calls to engines.
    :param view: the adapter versions in force and the other servers.
    :param current_term: returns the current right to order, None if this
        gateway has none.
    """

    def __init__(
        self,
        server: BackendServer,
        engine: EngineSpec,
        engines: EngineClient,
        view: FleetView,
        current_term: Callable[[], OwnershipTerm | None],
    ) -> None:
        self.server = server
        term = current_term()
        is_resumed = term is not None and term.is_resumed
        self.slots = EngineSlots(
            engine.adapter_slots,
            RESUMED_USAGE_WAIT_S if is_resumed else USAGE_WAIT_S,
        )
        self._engine = engine
        self._engines = engines
        self._view = view
        self._current_term = current_term
        self._awaited = AwaitedLoads()
        self._admission = LoadAdmission(self.slots, self._awaited)
        self._has_change = asyncio.Event()
        self._failed_reports = 0
        self._orders = EngineOrders(
            server, self.slots, engines, view, current_term
        )
        self._model_retry_at_s = -math.inf
        self._errors = ErrorContainment('loader')

    async def run(self) -> None:
        """Order the requested loads until cancelled."""
        try:
            while True:
                has_failed = True
                with self._errors.contain(self.server.server_id):
                    await self._run_once()
                    has_failed = False
                if has_failed:
                    self._fail_all()
                    await asyncio.sleep(_REPORT_RETRY_S)
                await self._wait()
        finally:
            self._fail_all()

    def adopts(self, server: BackendServer) -> bool:
        """Go on under a later entry; return whether it is of the same process.

        :param server: the engine, as it is listed now.
        """
        is_later = 0 < self.server.start_ms < server.start_ms
        is_found = is_later and server.start_ms == self.slots.start_ms
        if is_found and self.server.is_at_same_place(server):
            self.server = self._orders.server = server
            return True
        return False

    async def load(self, request: LoadRequest) -> int:
        """Load an adapter and return its version, 0 if the load failed.

        :param request: the adapter and how long the caller waits.
        """
        key = request.key
        if self.slots.held.get(key, 0) >= request.version:
            return self.slots.held[key]
        if key not in self._awaited and not self._may_wait(request):
            return 0
        fut = self._awaited.join(request, now_s())
        self._has_change.set()
        return await fut

    def _may_wait(self, request: LoadRequest) -> bool:
        return self.takes_loads and self._admission.has_time(
            request, self._orders.expected_load_s, now_s()
        )

    @property
    def _waiting_for_slots(self) -> int:
        """Count the requested loads that haven't been ordered yet."""
        return self._awaited.count_unordered(self.slots.accepted)

    @property
    def takes_loads(self) -> bool:
        """Return whether loads can be ordered and the engine answers."""
        if (
            self._current_term() is None
            or self._failed_reports >= _MAX_FAILED_REPORTS
        ):
            return False
        if self._view.notices.refuses_requests(self.server, now_s()):
            return False
        return self.slots.takes_orders

    def state(self) -> ServerState:
        """Return the state of the engine, for other gateways."""
        usage = self.slots.usage
        return ServerState(
            server_id=self.server.server_id,
            start_ms=self.slots.start_of(self.server),
            queued=usage.queued,
            running=usage.running(now_s()),
            takes_loads=self.takes_loads,
            held=tuple(
                HeldAdapter(key.model, key.adapter, version)
                for key, version in self.slots.held.items()
            ),
            models=tuple(sorted(self.slots.models)),
            spare_slots=self._spare_slots(now_s()),
            unread_tokens=usage.unread_tokens(now_s()),
            awaited_tokens=self._awaited.prompt_tokens,
        )

    def _spare_slots(self, at_s: float) -> int:
        """Return the slots for further loads, negative if loads are waiting."""
        return self.slots.available_slots(at_s) - self._waiting_for_slots

    def on_use(self, gateway: str, usage: AdapterUsage) -> None:
        """Record a gateway's usage of an adapter.

        :param gateway: name of the gateway's machine.
        :param usage: the adapter and the number of requests.
        """
        key = AdapterKey(usage.model, usage.adapter)
        self.slots.usage.on_use(
            key, gateway, usage.running, now_s(), usage.unread_tokens
        )
        if self._waiting_for_slots and not usage.running:
            self._has_change.set()

    def on_disconnected(self, gateway: str) -> None:
        """Record that a gateway can't report its usage at present.

        :param gateway: name of the gateway's machine.
        """
        self.slots.usage.on_disconnected(gateway)
        self._orders.report_due_s = min(self._orders.report_due_s, now_s())
        self._has_change.set()

    async def _wait(self) -> None:
        due_s = self._orders.next_due_s
        if self._waiting_for_slots:
            due_s = min(due_s, self.slots.next_free_s(now_s()))
        due_s = max(due_s, self._paused_until_s)
        timeout_s = max(0, due_s - now_s())
        try:
            async with asyncio.timeout(timeout_s):
                await self._has_change.wait()
        except TimeoutError:
            return
        self._has_change.clear()

    @property
    def _paused_until_s(self) -> float:
        """Return the time until which the engine asked not to be called."""
        return self._view.notices.paused_until_s(self.server)

    async def _run_once(self) -> None:
        if now_s() < self._paused_until_s:
            self._fail_all()
            return
        if now_s() >= self._orders.report_due_s:
            await self._report()
        await self._orders.repeat_due_orders()
        self._complete_requests()
        await self._order_model()
        await self._order_loads()

    async def _order_model(self) -> None:
        """Order a base model for an engine that holds none."""
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
        if name and now_s() >= self._model_retry_at_s:
            self._model_retry_at_s = now_s() + _MODEL_RETRY_S
            await self._orders.send(OrderKind.load, AdapterKey(name, ''))

    async def _report(self) -> None:
        asked_s = now_s()
        try:
            report = await self._engines.report(self.server)
        except (ServerError, DocumentUnreadable) as exc:
            self._on_failed_report(str(exc))
            return
        self._failed_reports = 0
        self.slots.usage.on_report(
            report.queued, report.running, asked_s, now_s()
        )
        self.slots.on_report(report, asked_s)
        self.slots.slot_count = self._engine.adapter_capacity(self.slots.models)
        is_loading = self.slots.is_busy or self.slots.pending
        is_busy = is_loading or len(self._awaited)
        interval_s = (
            BUSY_REPORT_INTERVAL_S if is_busy else _IDLE_REPORT_INTERVAL_S
        )
        self._orders.report_due_s = now_s() + interval_s

    def _on_failed_report(self, reason: str) -> None:
        self._failed_reports += 1
        self._orders.report_due_s = now_s() + _REPORT_RETRY_S
        if self._failed_reports == _MAX_FAILED_REPORTS:
            log_event(
                Event.ENGINE_SILENT,
                server=self.server.server_id,
                reason=reason,
            )
            self._fail_all()

    def _complete_requests(self) -> None:
        """Answer requests whose adapter is resident or that expired."""
        for key, version in self._awaited.loaded(self.slots.held):
            self._succeed(key, version)
        for expired in self._awaited.expired(now_s()):
            self._fail(expired)

    def _succeed(self, key: AdapterKey, version: int) -> None:
        load = self._awaited.take(key)
        self._orders.note_loaded(key)
        self.slots.usage.on_use(key, '', 0, now_s())
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
        """Fail all waiting requests, since the engine can't load adapters."""
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

    async def _order_loads(self) -> None:
        ends_s = now_s() + self._orders.expected_load_s
        for key in self._awaited.by_urgency(self.slots.accepted, ends_s):
            if not await self._order_load(key):
                return

    async def _order_load(self, key: AdapterKey) -> bool:
        """Order a load; return whether further loads may be ordered."""
        if self.slots.order_count is None:
            return False
        is_replacement = key in self.slots.held
        if not is_replacement and not self.slots.may_load:
            if not await self._free_slot():
                return False
        if not self.slots.may_load and not is_replacement:
            return False
        answer = await self._orders.send(OrderKind.load, key)
        return answer in {OrderAnswer.accepted, OrderAnswer.already}

    async def _free_slot(self) -> bool:
        """Unload an unused adapter; return whether a slot was freed."""
        if self.slots.taken < self.slots.slot_count:
            return False
        unused = self.slots.eviction_candidate(self._view.versions, now_s())
        if unused is None:
            return False
        answer = await self._orders.send(OrderKind.unload, unused)
        return answer is OrderAnswer.already
