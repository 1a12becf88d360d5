"""Sends orders to one engine and repeats them until the loads have finished."""

from __future__ import annotations

import math
from collections.abc import Callable

from wasabicross.gateway import metrics
from wasabicross.gateway.backend import AdapterKey, BackendServer
from wasabicross.gateway.clock import now_s
from wasabicross.gateway.errors import ServerError
from wasabicross.gateway.loading.engine_slots import EngineSlots
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

#: Interval between reports while a load is pending.
BUSY_REPORT_INTERVAL_S = 0.25

#: Delay before the report that shows why an order conflicted or was refused.
_CONFLICT_REPORT_DELAY_S = 0.07

#: Expected duration of a load: of an adapter that the engine has to fetch, and
#: of one that it held before.
_FETCH_S = 0.255
_RELOAD_S = 0.03

#: Interval between repeats of an order. The answer to a repeat shows whether
#: the load has finished.
_REPEAT_INTERVAL_S = 0.04

#: The same for an adapter that replaces a version in use.
_REPLACEMENT_REPEAT_INTERVAL_S = 0.15

#: Weight of the last load in the moving average of load durations.
_LAST_LOAD_WEIGHT = 0.2


class EngineOrders:
    """Sends the orders of one engine while this gateway owns it.

    :param server: the engine.
    :param slots: its slots, updated with each order.
    :param engines: client for calls to engines.
    :param view: the adapter versions in force.
    :param current_term: returns the current right to order, None if this
        gateway has none.
    """

    def __init__(
        self,
        server: BackendServer,
        slots: EngineSlots,
        engines: EngineClient,
        view: FleetView,
        current_term: Callable[[], OwnershipTerm | None],
    ) -> None:
        #: The engine, as it is listed.
        self.server = server
        self._slots = slots
        self._engines = engines
        self._view = view
        self._current_term = current_term
        self._repeat_due_s: dict[AdapterKey, float] = {}
        self._loaded_before: set[AdapterKey] = set()
        #: When the engine is asked for its next report.
        self.report_due_s = -math.inf
        #: Expected duration of the next load.
        self.expected_load_s = _FETCH_S

    @property
    def next_due_s(self) -> float:
        """Return when the next report or repeat of an order is due."""
        return min((self.report_due_s, *self._repeat_due_s.values()))

    def note_loaded(self, key: AdapterKey) -> None:
        """Record that the engine has held an adapter, so a reload is faster.

        :param key: the adapter.
        """
        self._loaded_before.add(key)

    async def repeat_due_orders(self) -> None:
        """Repeat the orders that are due to learn which loads have finished.

        Unlike a report, the answer to an order is never out of date.
        """
        for key, due_s in tuple(self._repeat_due_s.items()):
            if key not in self._slots.ordered:
                self._repeat_due_s.pop(key)
            elif now_s() >= due_s:
                await self.send(OrderKind.load, key)

    async def send(
        self, kind: OrderKind, key: AdapterKey
    ) -> OrderAnswer | None:
        """Send an order and return its answer.

        The answer is None if there was none, or if this gateway has no right to
        order and sent nothing.

        :param kind: what is ordered.
        :param key: the adapter, or a base model if it names no adapter.
        """
        term = self._current_term()
        if term is None or now_s() >= term.until_s:
            return None
        order = Order(
            kind, key, self._slots.order_count or 0, term.holder, term.term
        )
        ordered = self._slots.ordered.get(key)
        try:
            answer = await self._engines.order(self.server, order)
        except ServerError:
            answer = None
        version = self._view.version_of(key)
        self._slots.on_order(kind, key, answer, version, now_s())
        if ordered and key not in self._slots.ordered:
            self._update_expected_load(now_s() - ordered.accepted_s)
        self._record_order(order, answer)
        return answer

    def _update_expected_load(self, took_s: float) -> None:
        """Update the moving average of load durations, within its bounds."""
        took_s = min(max(took_s, _FETCH_S), 1.0)
        self.expected_load_s += _LAST_LOAD_WEIGHT * (
            took_s - self.expected_load_s
        )

    def _record_order(self, order: Order, answer: OrderAnswer | None) -> None:
        delay_s = BUSY_REPORT_INTERVAL_S
        if answer in {OrderAnswer.conflict, OrderAnswer.refused}:
            delay_s = _CONFLICT_REPORT_DELAY_S
        self.report_due_s = min(self.report_due_s, now_s() + delay_s)
        if order.kind is OrderKind.load:
            self._schedule_repeat(order.key)
        answer_name = answer.value if answer else 'none'
        metrics.ORDERS.labels(order.kind.value, answer_name).inc()
        log_event(
            Event.ORDER_SENT,
            server=self.server.server_id,
            order=order.kind.value,
            adapter=order.key.adapter,
            expected=order.expected_orders,
            term=order.term,
            answer=answer_name,
        )

    def _schedule_repeat(self, key: AdapterKey) -> None:
        ordered = self._slots.ordered.get(key)
        if ordered is None:
            self._repeat_due_s.pop(key, None)
            return
        expected_s = _RELOAD_S if key in self._loaded_before else _FETCH_S
        first_s = ordered.accepted_s + expected_s
        interval_s = (
            _REPLACEMENT_REPEAT_INTERVAL_S
            if ordered.replaced_version
            else _REPEAT_INTERVAL_S
        )
        self._repeat_due_s[key] = max(first_s, now_s() + interval_s)
