"""The orders to one engine: sent, timed, and repeated until loads have ended."""

from __future__ import annotations

import math
from collections.abc import Callable

from wasabicross.gateway import metrics
from wasabicross.gateway.backend import AdapterKey, BackendServer
from wasabicross.gateway.clock import now_s
from wasabicross.gateway.engine_slots import EngineSlots
from wasabicross.gateway.errors import ServerError
from wasabicross.gateway.orders import (
    EngineClient,
    Order,
    OrderAnswer,
    OrderKind,
)
from wasabicross.gateway.ownership import OwnershipTerm
from wasabicross.gateway.view import FleetView
from wasabicross.runtime.events import Event
from wasabicross.runtime.logs import log_event

#: Pause before a report while an adapter is on its way.
BUSY_REPORT_S = 0.25

#: Pause before a report that tells why an order was in conflict.
_CONFLICT_REPORT_S = 0.07

#: How long an engine takes for an adapter that it fetches, or held lately.
_FETCH_S = 0.255
_RELOAD_S = 0.03

#: Pause between repeats of an order, which tell whether it is carried out.
_REPEAT_S = 0.04

#: The same for an adapter that replaces a version in use.
_REPLACE_S = 0.15

#: Weight of the last load in the expected time of the next.
_LOAD_WEIGHT = 0.2


class EngineOrders:
    """Sends the orders of one engine while this gateway owns it.

    :param server: the engine.
    :param slots: its slots, which follow what was ordered.
    :param engines: calls to engines.
    :param view: versions in force.
    :param tenure: returns the present right to order, None if there is none.
    """

    def __init__(
        self,
        server: BackendServer,
        slots: EngineSlots,
        engines: EngineClient,
        view: FleetView,
        tenure: Callable[[], OwnershipTerm | None],
    ) -> None:
        self._server = server
        self._slots = slots
        self._engines = engines
        self._view = view
        self._tenure = tenure
        self._repeat_due_s: dict[AdapterKey, float] = {}
        self._known: set[AdapterKey] = set()
        #: When the engine is asked for its next report.
        self.report_due_s = -math.inf
        #: How long the next load probably takes.
        self.load_s = _FETCH_S

    @property
    def next_s(self) -> float:
        """When a report or the repeat of an order is due."""
        return min((self.report_due_s, *self._repeat_due_s.values()))

    def note_loaded(self, key: AdapterKey) -> None:
        """Note that the engine held an adapter, so that it loads it sooner.

        :param key: the adapter.
        """
        self._known.add(key)

    async def repeat_due(self) -> None:
        """Ask by repeats of the orders which loads have ended.

        An answer to an order is never behind, as a report is.
        """
        for key, due_s in tuple(self._repeat_due_s.items()):
            if key not in self._slots.ordered:
                self._repeat_due_s.pop(key)
            elif now_s() >= due_s:
                await self.send(OrderKind.load, key)

    async def send(
        self, kind: OrderKind, key: AdapterKey
    ) -> OrderAnswer | None:
        """Send an order; return its answer, None for none or without a right.

        :param kind: what is ordered.
        :param key: the adapter, or the base model where it names none.
        """
        tenure = self._tenure()
        if tenure is None or now_s() >= tenure.until_s:
            return None
        order = Order(
            kind, key, self._slots.order_count or 0, tenure.holder, tenure.term
        )
        ordered = self._slots.ordered.get(key)
        try:
            answer = await self._engines.order(self._server, order)
        except ServerError:
            answer = None
        version = self._view.version_of(key)
        self._slots.on_order(kind, key, answer, version, now_s())
        if ordered and key not in self._slots.ordered:
            self._on_duration(now_s() - ordered.sent_s)
        self._note_order(order, answer)
        return answer

    def _on_duration(self, took_s: float) -> None:
        """Follow how long loads take, between sensible bounds."""
        took_s = min(max(took_s, _FETCH_S), 1.0)
        self.load_s += _LOAD_WEIGHT * (took_s - self.load_s)

    def _note_order(self, order: Order, answer: OrderAnswer | None) -> None:
        pause_s = BUSY_REPORT_S
        if answer in {OrderAnswer.conflict, OrderAnswer.refused}:
            pause_s = _CONFLICT_REPORT_S
        self.report_due_s = min(self.report_due_s, now_s() + pause_s)
        if order.kind is OrderKind.load:
            self._plan_repeat(order.key)
        told = answer.value if answer else 'none'
        metrics.ORDERS.labels(order.kind.value, told).inc()
        log_event(
            Event.ORDER_SENT,
            server=self._server.server_id,
            order=order.kind.value,
            adapter=order.key.adapter,
            expected=order.expected_orders,
            term=order.term,
            answer=told,
        )

    def _plan_repeat(self, key: AdapterKey) -> None:
        ordered = self._slots.ordered.get(key)
        if ordered is None:
            self._repeat_due_s.pop(key, None)
            return
        takes_s = _RELOAD_S if key in self._known else _FETCH_S
        first_s = ordered.sent_s + takes_s
        pause_s = _REPLACE_S if ordered.replaced_version else _REPEAT_S
        self._repeat_due_s[key] = max(first_s, now_s() + pause_s)
