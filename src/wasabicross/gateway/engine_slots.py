"""The adapter slots of one engine, as the owner that orders loads counts them.

Reports lag, answers to orders get lost and orders may be carried out late. So
a slot counts as taken from the moment an order that takes it may have been
sent until a report that is newer than the order shows otherwise.
"""

from __future__ import annotations

import math
from typing import NamedTuple

from wasabicross.gateway.backend import AdapterKey, EngineReport
from wasabicross.gateway.orders import OrderAnswer, OrderKind

#: How long an adapter that was used stays, at the least.
_KEEP_S = 0.5

#: How far a report may lag behind what the engine does.
REPORT_LAG_S = 0.5

#: Adapters that are on their way to one engine at most.
MAX_PENDING = 3


class Use(NamedTuple):
    """When an adapter was last used, and by how many requests now."""

    last_s: float
    running: dict[str, int]


class EngineSlots:
    """What one engine holds, and what was ordered since its last report.

    :param slots: adapters that it holds at most.
    """

    def __init__(self, slots: int) -> None:
        self.slots = slots
        self.order_count: int | None = None
        self.held: dict[AdapterKey, int] = {}
        self._ordered: dict[AdapterKey, float] = {}
        self._unanswered: dict[AdapterKey, int] = {}
        self._uses: dict[AdapterKey, Use] = {}
        self._pending: frozenset[AdapterKey] = frozenset()
        self._conflict_since_s = math.inf
        self._born_ms = 0

    @property
    def accepted(self) -> frozenset[AdapterKey]:
        """Adapters that are on their way to the engine for certain."""
        return self._pending | self._ordered.keys()

    @property
    def pending(self) -> frozenset[AdapterKey]:
        """Adapters that are on their way to the engine, or may be."""
        return self.accepted | self._unanswered.keys()

    @property
    def taken(self) -> int:
        """Slots that are taken or may be."""
        return len(self.held.keys() | self.pending)

    @property
    def may_load(self) -> bool:
        """Tell whether there is room for one more load."""
        if self.order_count is None or len(self.pending) >= MAX_PENDING:
            return False
        return self.taken < self.slots

    def on_report(
        self, report: EngineReport, asked_s: float, now_s: float
    ) -> None:
        """Take in a report of the engine.

        :param report: what it says of itself.
        :param asked_s: when it was asked.
        :param now_s: the present time.
        """
        if self._is_restart(report):
            self._forget()
        self._born_ms = report.born_ms
        if self._is_behind(report, now_s):
            return
        self._conflict_since_s = math.inf
        self.order_count = report.order_count
        self.held = dict(report.held)
        self._pending = report.pending
        self._ordered = {
            key: ordered_s
            for key, ordered_s in self._ordered.items()
            if asked_s - ordered_s < REPORT_LAG_S
            and key not in report.held
            and key not in report.pending
        }
        self._unanswered = {
            key: expected
            for key, expected in self._unanswered.items()
            if report.order_count <= expected
        }

    def on_order(
        self,
        kind: OrderKind,
        key: AdapterKey,
        answer: OrderAnswer | None,
        now_s: float,
    ) -> None:
        """Take in how an order ended.

        :param kind: what was ordered.
        :param key: the adapter.
        :param answer: None if there was none; it may be carried out later.
        :param now_s: the present time.
        """
        if answer is None:
            if kind is OrderKind.load:
                self._unanswered[key] = self.order_count or 0
            return
        if answer in {OrderAnswer.conflict, OrderAnswer.refused}:
            self._conflict_since_s = min(self._conflict_since_s, now_s)
            return
        self.order_count = (self.order_count or 0) + 1
        # No order that was sent before can hold any more.
        self._unanswered.clear()
        if kind is OrderKind.load:
            self._ordered[key] = now_s
        elif answer is OrderAnswer.already:
            self.held.pop(key, None)

    def on_use(
        self, key: AdapterKey, user: str, running: int, now_s: float
    ) -> None:
        """Note the use of an adapter.

        :param key: the adapter.
        :param user: the gateway that uses it.
        :param running: requests that it has under way with it.
        :param now_s: the present time.
        """
        users = dict(self._uses.get(key, Use(now_s, {})).running)
        users.pop(user, None)
        if running:
            users[user] = running
        self._uses[key] = Use(now_s, users)

    def drop_user(self, user: str) -> None:
        """Forget what a gateway that has gone had under way."""
        for use in self._uses.values():
            use.running.pop(user, None)

    def victim(
        self, versions: dict[AdapterKey, int], now_s: float
    ) -> AdapterKey | None:
        """Return the adapter to unload for another one, None for none.

        Outdated versions go first, then what was not used for longest.

        :param versions: versions in force of the adapters that have any.
        :param now_s: the present time.
        """
        free = [key for key in self.held if self._is_free(key, now_s)]
        return min(
            free,
            key=lambda key: (
                self.held[key] >= versions.get(key, 0),
                self._last_use_s(key),
            ),
            default=None,
        )

    def _is_free(self, key: AdapterKey, now_s: float) -> bool:
        use = self._uses.get(key)
        if key in self.pending:
            return False
        if use is None:
            return True
        return not use.running and now_s - use.last_s >= _KEEP_S

    def _last_use_s(self, key: AdapterKey) -> float:
        use = self._uses.get(key)
        return use.last_s if use else -math.inf

    def _is_restart(self, report: EngineReport) -> bool:
        if self._born_ms and report.born_ms != self._born_ms:
            return True
        # An engine that doesn't tell its start has counted anew.
        return not report.born_ms and report.order_count == 0

    def _is_behind(self, report: EngineReport, now_s: float) -> bool:
        if self.order_count is None:
            return False
        if report.order_count >= self.order_count:
            return False
        return now_s - self._conflict_since_s < REPORT_LAG_S or (
            self._conflict_since_s == math.inf
        )

    def _forget(self) -> None:
        self.order_count = None
        self.held = {}
        self._pending = frozenset()
        self._ordered.clear()
        self._unanswered.clear()
