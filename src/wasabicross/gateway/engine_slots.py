"""The adapter slots of one engine, as the owner that orders loads counts them.

Reports lag, answers to orders get lost and orders may be carried out late. So
a slot counts as taken from the moment an order that takes it may have been
sent until a report that is newer than the order shows otherwise.
"""

from __future__ import annotations

import math
from typing import NamedTuple

from wasabicross.gateway.backend import AdapterKey, EngineReport
from wasabicross.gateway.engine_usage import EngineUsage
from wasabicross.gateway.orders import OrderAnswer, OrderKind

#: From the first report until all gateways have told what they use.
HEAR_USES_S = 1.2

#: The same where they knew this gateway as the owner before it restarted.
HEAR_USES_AGAIN_S = 0.8

#: How far a report may lag behind what the engine does.
REPORT_LAG_S = 0.35

#: Adapters that are on their way to one engine at most.
MAX_PENDING = 4

#: How long an unload may wait for the runs of its adapter.
UNLOAD_S = 20.0


class Ordered(NamedTuple):
    """A load that the engine has accepted.

    :param sent_s: when the order was sent.
    :param confirmed_s: when the engine last said that it is carried out.
    :param replaced_version: version that it held before, 0 for none; a
        replacement waits for the runs of that version.
    """

    sent_s: float
    confirmed_s: float
    replaced_version: int


class Loaded(NamedTuple):
    """A load that the engine said has ended.

    :param version: version that is held since.
    :param at_s: when it said so.
    """

    version: int
    at_s: float


class EngineSlots:
    """What one engine holds, and what was ordered since its last report.

    :param slots: adapters that it holds at most.
    :param hear_uses_s: from the first report until all uses are known.
    """

    def __init__(self, slots: int, hear_uses_s: float = HEAR_USES_S) -> None:
        self.slots = slots
        self._hear_uses_s = hear_uses_s
        self.order_count: int | None = None
        self.held: dict[AdapterKey, int] = {}
        self.models: frozenset[str] = frozenset()
        self.is_busy = False
        self.last_accepted_s = -math.inf
        self._ordered: dict[AdapterKey, Ordered] = {}
        self._unanswered: dict[AdapterKey, int] = {}
        self._loaded: dict[AdapterKey, Loaded] = {}
        self._unloading: dict[AdapterKey, float] = {}
        self.uses = EngineUsage()
        self._pending: frozenset[AdapterKey] = frozenset()
        self._born_ms = 0
        self._known_since_s = math.inf

    @property
    def accepted(self) -> frozenset[AdapterKey]:
        """Adapters that are on their way to the engine for certain."""
        return self._pending | self._ordered.keys()

    @property
    def ordered(self) -> dict[AdapterKey, Ordered]:
        """Loads that were accepted and that no report has shown yet."""
        return self._ordered

    @property
    def pending(self) -> frozenset[AdapterKey]:
        """Adapters that are on their way to the engine, or may be."""
        return self.accepted | self._unanswered.keys()

    @property
    def takes_orders(self) -> bool:
        """Tell whether adapters can be loaded beside a base model."""
        known = self.order_count is not None and bool(self.models)
        return known and not self.is_blocked

    @property
    def is_blocked(self) -> bool:
        """Tell whether the engine takes no orders until runs have ended."""
        return bool(self._unloading)

    @property
    def taken(self) -> int:
        """Slots that are taken or may be."""
        return len(self.held.keys() | self.pending)

    @property
    def may_load(self) -> bool:
        """Tell whether there is room for one more load."""
        if self.order_count is None or len(self.accepted) >= MAX_PENDING:
            return False
        return self.taken < self.slots

    def spare(self, now_s: float) -> int:
        """Return the slots that a load could get.

        They are empty, or hold adapters that may be unloaded.

        :param now_s: the present time.
        """
        empty = max(0, self.slots - self.taken)
        return empty + len(self._unused(now_s))

    def on_report(self, report: EngineReport, asked_s: float) -> None:
        """Take in a report of the engine.

        :param report: what it says of itself.
        :param asked_s: when it was asked.
        """
        if self._born_ms and report.born_ms != self._born_ms:
            self._forget()
        self._born_ms = report.born_ms
        self._known_since_s = min(self._known_since_s, asked_s)
        if self._is_behind(report, asked_s):
            return
        self.order_count = report.order_count
        self.held = dict(report.held)
        self.models = report.models
        self.is_busy = report.is_busy
        self._pending = report.pending
        self._keep_loaded(asked_s)
        self._ordered = {
            key: ordered
            for key, ordered in self._ordered.items()
            if self._is_going_on(key, report, asked_s)
            and report.held.get(key, 0) <= ordered.replaced_version
        }
        self._unloading = {
            key: sent_s
            for key, sent_s in self._unloading.items()
            if key in report.held and asked_s - sent_s < UNLOAD_S
        }
        self._unanswered = {
            key: expected
            for key, expected in self._unanswered.items()
            if report.order_count <= expected
        }
        self.uses.drop_old(self.held, asked_s)

    def on_order(
        self,
        kind: OrderKind,
        key: AdapterKey,
        answer: OrderAnswer | None,
        version: int,
        now_s: float,
    ) -> None:
        """Take in how an order ended.

        :param kind: what was ordered.
        :param key: the adapter.
        :param version: version in force of the adapter.
        :param answer: None if there was none; it may be carried out later.
        :param now_s: the present time.
        """
        if answer is None:
            if kind is OrderKind.load and key.adapter:
                self._unanswered[key] = self.order_count or 0
        elif answer in {OrderAnswer.conflict, OrderAnswer.refused}:
            return
        elif not key.adapter:
            self._count(now_s)
            self.is_busy = True
        elif kind is OrderKind.load:
            self._on_load(key, answer, version, now_s)
        else:
            self._on_unload(key, answer, now_s)

    def victim(
        self, versions: dict[AdapterKey, int], now_s: float
    ) -> AdapterKey | None:
        """Return the adapter to unload for another one, None for none.

        Outdated versions go first, then what was not used for longest.

        :param versions: versions in force of the adapters that have any.
        :param now_s: the present time.
        """
        return min(
            self._unused(now_s),
            key=lambda key: (
                self.held[key] >= versions.get(key, 0),
                self.uses.last_use_s(key),
            ),
            default=None,
        )

    def _unused(self, now_s: float) -> list[AdapterKey]:
        """Return the adapters that may be unloaded."""
        if now_s - self._known_since_s < self._hear_uses_s:
            return []
        return [key for key in self.held if self._is_free(key, now_s)]

    def _is_free(self, key: AdapterKey, now_s: float) -> bool:
        if key in self.pending or key in self._unloading:
            return False
        return self.uses.is_free(key, now_s)

    def _on_repeat(
        self, key: AdapterKey, answer: OrderAnswer, version: int, now_s: float
    ) -> None:
        ordered = self._ordered.pop(key, None)
        if answer is OrderAnswer.accepted:
            if ordered is not None:
                self._ordered[key] = ordered._replace(confirmed_s=now_s)
            return
        self._loaded[key] = Loaded(version, now_s)
        self._pending -= {key}
        self.held[key] = max(version, self.held.get(key, 0))

    def _on_load(
        self, key: AdapterKey, answer: OrderAnswer, version: int, now_s: float
    ) -> None:
        # An engine answers a repeated order, and doesn't count it.
        if key in self.accepted:
            self._on_repeat(key, answer, version, now_s)
            return
        self._count(now_s)
        self._ordered[key] = Ordered(now_s, now_s, self.held.get(key, 0))

    def _on_unload(
        self, key: AdapterKey, answer: OrderAnswer, now_s: float
    ) -> None:
        if answer is OrderAnswer.already:
            self._count(now_s)
            self._loaded.pop(key, None)
            self.held.pop(key, None)
        elif key not in self._unloading:
            self._count(now_s)
            self._unloading[key] = now_s

    def _keep_loaded(self, asked_s: float) -> None:
        """Put back loads that ended after the report was true."""
        self._loaded = {
            key: loaded
            for key, loaded in self._loaded.items()
            if asked_s - loaded.at_s < REPORT_LAG_S
        }
        self._pending -= self._loaded.keys()
        for key, loaded in self._loaded.items():
            self.held[key] = max(loaded.version, self.held.get(key, 0))

    def _count(self, now_s: float) -> None:
        """Count an order; none that was sent before it can hold any more."""
        self.order_count = (self.order_count or 0) + 1
        self.last_accepted_s = now_s
        self._unanswered.clear()

    def _is_going_on(
        self, key: AdapterKey, report: EngineReport, asked_s: float
    ) -> bool:
        if key in report.pending:
            return True
        return asked_s - self._ordered[key].confirmed_s < REPORT_LAG_S

    def _is_behind(self, report: EngineReport, asked_s: float) -> bool:
        if self.order_count is None or report.order_count >= self.order_count:
            return False
        return asked_s - self.last_accepted_s < REPORT_LAG_S

    def _forget(self) -> None:
        self.order_count = None
        self.held = {}
        self.models = frozenset()
        self._pending = frozenset()
        self._ordered.clear()
        self._loaded.clear()
        self._unloading.clear()
        self._unanswered.clear()
