"""Decides whether a request may wait for its adapter on one engine.

Where more adapters are requested than the engine has slots, a load that would
come too late is refused at once, so that its caller can retry. Callers that
return after a refusal are late already, so they leave the last free slot to
those that can still be on time.
"""

from __future__ import annotations

import math

from wasabicross.gateway.loading.awaited_loads import AwaitedLoads
from wasabicross.gateway.loading.engine_slots import MAX_PENDING, EngineSlots
from wasabicross.gateway.orders import LoadRequest

#: Longest duration of a load that can begin at once, as a multiple of the wait
#: of its request.
_MAX_WAITS_OF_READY_LOAD = 2

#: Slots that callers who return after a refusal leave to those that ask first.
_RESERVED_SLOTS = 1


class LoadAdmission:
    """Compares the expected wait for a load with the time that a request has.

    :param slots: adapter slots of the engine.
    :param awaited: adapters that requests wait for there.
    """

    def __init__(self, slots: EngineSlots, awaited: AwaitedLoads) -> None:
        self._slots = slots
        self._awaited = awaited

    def has_time(
        self, request: LoadRequest, load_s: float, now_s: float
    ) -> bool:
        """Return whether one more load is expected to finish in time.

        One that can begin at once may take longer than its caller waits: the
        adapter is there when the caller retries.

        :param request: the adapter and how long the request waits for it.
        :param load_s: expected duration of a load, seconds.
        :param now_s: the present time, monotonic seconds.
        """
        loads = 1 + len(self._awaited)
        batches = math.ceil(loads / MAX_PENDING)
        slot_wait_s = self._slot_wait_s(request, load_s, now_s)
        begins_at_once = batches == 1 and not slot_wait_s
        waits = _MAX_WAITS_OF_READY_LOAD if begins_at_once else 1
        return slot_wait_s + batches * load_s <= waits * request.max_wait_s

    def _slot_wait_s(
        self, request: LoadRequest, load_s: float, now_s: float
    ) -> float:
        """Return how long one more load is expected to wait for a slot."""
        ahead = self._awaited.count_ahead(
            request, self._slots.accepted, now_s + load_s, now_s
        )
        reserved = _RESERVED_SLOTS if request.is_returning else 0
        needed = 1 + ahead + reserved
        return self._slots.usage.turnover.expected_wait_s(
            needed - self._slots.available_slots(now_s),
            self._slots.slot_count,
            now_s,
        )
