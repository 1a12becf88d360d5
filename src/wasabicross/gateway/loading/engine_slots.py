"""The adapter slots of one engine, as counted by the owner that orders loads.

Reports lag behind, answers to orders can be lost, and orders may be carried out
late. A slot therefore counts as taken from the time at which an order that
needs it may have been sent, until a report that is newer than the order shows
otherwise.
"""

from __future__ import annotations

import math
from typing import NamedTuple

from wasabicross.gateway.backend import AdapterKey, BackendServer, EngineReport
from wasabicross.gateway.loading.engine_usage import EngineUsage
from wasabicross.gateway.orders import OrderAnswer, OrderKind

#: Time after the first report in which all gateways report their usage. No
#: adapter is unloaded before, since it may be in use.
USAGE_WAIT_S = 1.2

#: The same if other gateways treated this one as the owner before it restarted.
RESUMED_USAGE_WAIT_S = 0.8

#: Longest time by which a report may lag behind the state of the engine.
REPORT_LAG_S = 0.35

#: Maximum number of pending loads of one engine.
MAX_PENDING = 4

#: Longest time that an unload may wait for running requests of its adapter.
UNLOAD_TIMEOUT_S = 20.0


class AcceptedLoad(NamedTuple):
    """A load that the engine has accepted and not yet finished.

    :param accepted_s: time at which the engine accepted the order.
    :param confirmed_s: time at which the engine last confirmed that it is
        carrying out the order.
    :param replaced_version: version that the engine held before, 0 for none; a
        replacement waits for running requests of that version.
    """

    accepted_s: float
    confirmed_s: float
    replaced_version: int


class FinishedLoad(NamedTuple):
    """A load that the engine has reported as finished.

    :param version: version that is resident since then.
    :param at_s: time at which the engine reported it.
    """

    version: int
    at_s: float


class EngineSlots:
    """What one engine holds, and what was ordered since its last report.

    :param slot_count: number of adapter slots of the engine.
    :param usage_wait_s: time after the first report in which no adapter is
        unloaded, since the usage of other gateways isn't known yet.
    """

    def __init__(
        self, slot_count: int, usage_wait_s: float = USAGE_WAIT_S
    ) -> None:
        self.slot_count = slot_count
        self._usage_wait_s = usage_wait_s
        self.order_count: int | None = None
        self.held: dict[AdapterKey, int] = {}
        self.models: frozenset[str] = frozenset()
        self.is_busy = False
        self.last_accepted_s = -math.inf
        self._ordered: dict[AdapterKey, AcceptedLoad] = {}
        self._unanswered: dict[AdapterKey, int] = {}
        self._finished: dict[AdapterKey, FinishedLoad] = {}
        self._unloading: dict[AdapterKey, float] = {}
        self.usage = EngineUsage()
        self._pending: frozenset[AdapterKey] = frozenset()
        #: Start that the engine reported last, Unix milliseconds, 0 for none.
        self.start_ms = 0
        self._first_report_s = math.inf

    @property
    def accepted(self) -> frozenset[AdapterKey]:
        """Return the adapters whose load the engine has accepted."""
        return self._pending | self._ordered.keys()

    @property
    def ordered(self) -> dict[AdapterKey, AcceptedLoad]:
        """Return the accepted loads that no report has shown as finished."""
        return self._ordered

    @property
    def pending(self) -> frozenset[AdapterKey]:
        """Return the adapters whose load is accepted or may have been."""
        return self.accepted | self._unanswered.keys()

    @property
    def takes_orders(self) -> bool:
        """Return whether the engine holds a base model and isn't blocked."""
        is_known = self.order_count is not None and bool(self.models)
        return is_known and not self.is_blocked

    @property
    def is_blocked(self) -> bool:
        """Return whether an unload is waiting for running requests.

        The engine takes no other orders meanwhile.
        """
        return bool(self._unloading)

    @property
    def taken(self) -> int:
        """Return the number of slots that are taken or may be."""
        return len(self.held.keys() | self.pending)

    @property
    def may_load(self) -> bool:
        """Return whether one more load may be ordered."""
        if self.order_count is None or len(self.accepted) >= MAX_PENDING:
            return False
        return self.taken < self.slot_count

    def start_of(self, server: BackendServer) -> int:
        """Return the start that has reported, the listed one if none has.

        The entry of a restart may come minutes later.

        :param server: the engine, as it is listed; 0 if it names no start.
        """
        if self.start_ms and server.start_ms:
            return self.start_ms
        return server.start_ms

    def available_slots(self, now_s: float) -> int:
        """Return the number of slots available to further loads.

        These are empty slots and slots of adapters that may be unloaded.

        :param now_s: the present time, monotonic seconds.
        """
        empty = max(0, self.slot_count - self.taken)
        return empty + len(self._unused(now_s))

    def on_report(self, report: EngineReport, asked_s: float) -> None:
        """Update the slots from a report of the engine.

        :param report: the report.
        :param asked_s: time at which the report was requested.
        """
        if self.start_ms and report.start_ms != self.start_ms:
            self._reset()
        self.start_ms = report.start_ms
        self._first_report_s = min(self._first_report_s, asked_s)
        if self._is_outdated(report, asked_s):
            return
        self.order_count = report.order_count
        self.held = dict(report.held)
        self.models = report.models
        self.is_busy = report.is_busy
        self._pending = report.pending
        self._restore_finished(asked_s)
        self._ordered = {
            key: ordered
            for key, ordered in self._ordered.items()
            if self._is_in_progress(key, report, asked_s)
            and report.held.get(key, 0) <= ordered.replaced_version
        }
        self._unloading = {
            key: since_s
            for key, since_s in self._unloading.items()
            if key in report.held and asked_s - since_s < UNLOAD_TIMEOUT_S
        }
        self._unanswered = {
            key: expected
            for key, expected in self._unanswered.items()
            if report.order_count <= expected
        }
        self.usage.drop_old(self.held, asked_s)

    def on_order(
        self,
        kind: OrderKind,
        key: AdapterKey,
        answer: OrderAnswer | None,
        version: int,
        now_s: float,
    ) -> None:
        """Update the slots from the outcome of an order.

        :param kind: what was ordered.
        :param key: the adapter, or a base model if it names no adapter.
        :param answer: the engine's answer, None if there was none; the order
            may then still be carried out.
        :param version: version of the adapter that is in force.
        :param now_s: the present time, monotonic seconds.
        """
        if answer is None:
            if kind is OrderKind.load and key.adapter:
                self._unanswered[key] = self.order_count or 0
        elif answer in {OrderAnswer.conflict, OrderAnswer.refused}:
            return
        elif not key.adapter:
            self._count_order(now_s)
            self.is_busy = True
        elif kind is OrderKind.load:
            self._on_load(key, answer, version, now_s)
        else:
            self._on_unload(key, answer, now_s)

    def eviction_candidate(
        self, versions: dict[AdapterKey, int], now_s: float
    ) -> AdapterKey | None:
        """Return the adapter to unload to free a slot, None if all are in use.

        Outdated versions are unloaded first, then the adapter with the fewest
        requests lately: one that many use would soon be loaded again.

        :param versions: versions in force, for the adapters that have one.
        :param now_s: the present time, monotonic seconds.
        """
        return min(
            self._unused(now_s),
            key=lambda key: (
                self.held[key] >= versions.get(key, 0),
                self.usage.rate(key, now_s),
                self.usage.last_use_s(key),
            ),
            default=None,
        )

    def next_free_s(self, now_s: float) -> float:
        """Return when the next adapter becomes free, infinity if unknown.

        :param now_s: the present time, monotonic seconds.
        """
        times_s = (self.usage.free_at_s(key) for key in self.held)
        return min((each for each in times_s if each > now_s), default=math.inf)

    def _unused(self, now_s: float) -> list[AdapterKey]:
        """Return the adapters that may be unloaded.

        None may be unloaded before all gateways can have reported their usage.
        """
        if now_s - self._first_report_s < self._usage_wait_s:
            return []
        return [key for key in self.held if self._is_unused(key, now_s)]

    def _is_unused(self, key: AdapterKey, now_s: float) -> bool:
        if key in self.pending or key in self._unloading:
            return False
        return self.usage.is_free(key, now_s)

    def _on_repeated_load(
        self, key: AdapterKey, answer: OrderAnswer, version: int, now_s: float
    ) -> None:
        ordered = self._ordered.pop(key, None)
        if answer is OrderAnswer.accepted:
            if ordered is not None:
                self._ordered[key] = ordered._replace(confirmed_s=now_s)
            return
        self._finished[key] = FinishedLoad(version, now_s)
        self._pending -= {key}
        self.held[key] = max(version, self.held.get(key, 0))

    def _on_load(
        self, key: AdapterKey, answer: OrderAnswer, version: int, now_s: float
    ) -> None:
        # The engine doesn't count a repeated order, but answers it.
        if key in self.accepted:
            self._on_repeated_load(key, answer, version, now_s)
            return
        self._count_order(now_s)
        self._ordered[key] = AcceptedLoad(now_s, now_s, self.held.get(key, 0))

    def _on_unload(
        self, key: AdapterKey, answer: OrderAnswer, now_s: float
    ) -> None:
        if answer is OrderAnswer.already:
            self._count_order(now_s)
            self._finished.pop(key, None)
            self.held.pop(key, None)
        elif key not in self._unloading:
            self._count_order(now_s)
            self._unloading[key] = now_s

    def _restore_finished(self, asked_s: float) -> None:
        """Add recently finished loads, which a lagging report may not show."""
        self._finished = {
            key: loaded
            for key, loaded in self._finished.items()
            if asked_s - loaded.at_s < REPORT_LAG_S
        }
        self._pending -= self._finished.keys()
        for key, loaded in self._finished.items():
            self.held[key] = max(loaded.version, self.held.get(key, 0))

    def _count_order(self, now_s: float) -> None:
        """Count an accepted order, which invalidates all orders sent before."""
        self.order_count = (self.order_count or 0) + 1
        self.last_accepted_s = now_s
        self._unanswered.clear()

    def _is_in_progress(
        self, key: AdapterKey, report: EngineReport, asked_s: float
    ) -> bool:
        if key in report.pending:
            return True
        return asked_s - self._ordered[key].confirmed_s < REPORT_LAG_S

    def _is_outdated(self, report: EngineReport, asked_s: float) -> bool:
        if self.order_count is None or report.order_count >= self.order_count:
            return False
        return asked_s - self.last_accepted_s < REPORT_LAG_S

    def _reset(self) -> None:
        self.order_count = None
        self.held = {}
        self.models = frozenset()
        self._pending = frozenset()
        self._ordered.clear()
        self._finished.clear()
        self._unloading.clear()
        self._unanswered.clear()
