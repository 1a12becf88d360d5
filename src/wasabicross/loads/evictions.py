"""Evictions that an owner orders once all instances have consented."""

import threading
from typing import Protocol

from expression import Result

from wasabicross.dispatching.engines import EvictOrder
from wasabicross.dispatching.errors import (
    AdapterInUse,
    OrderError,
    OrderRefused,
)
from wasabicross.loads.held_loads import HeldLoad, HeldLoads
from wasabicross.loads.inherited_wait import InheritedWait
from wasabicross.loads.subscribers import Subscribers
from wasabicross.messaging.messages import CloseLoad, LoadsGone, ServerTerm
from wasabicross.runtime.events import Event
from wasabicross.runtime.logs import log_event

CLOSE_REPEAT_S = 1.0


class EvictingEngine(Protocol):
    """An engine that accepts orders to evict loads."""

    def evict(self, order: EvictOrder) -> Result[None, OrderError]:
        """Order the engine to evict a load."""


class Evictions:
    """Collects the consents to evict loads of one engine, and evicts them.

    :param server: the server and the ownership term.
    :param engine: receives the orders.
    :param held: the loads of the engine.
    :param subscribers: the instances that may use the loads.
    :param inherited_wait: decides when inherited loads may be evicted.
    :param deposed: set when a later owner is known; no order is sent then.
    """

    def __init__(
        self,
        server: ServerTerm,
        engine: EvictingEngine,
        held: HeldLoads,
        subscribers: Subscribers,
        inherited_wait: InheritedWait,
        deposed: threading.Event,
    ) -> None:
        self._server = server
        self._engine = engine
        self._held = held
        self._subscribers = subscribers
        self._inherited_wait = inherited_wait
        self._deposed = deposed

    def continue_closing(self, now_s: float) -> None:
        """Continue the eviction of all loads that are being closed.

        :param now_s: present time, monotonic seconds.
        """
        for held in self._held.closing():
            self.close(held, now_s)

    def close(self, held: HeldLoad, now_s: float) -> None:
        """Request the missing consents, or order the eviction if all are given.

        :param held: a load that is closed for new requests.
        :param now_s: present time, monotonic seconds.
        """
        needed = self._subscribers.must_consent(now_s)
        missing = needed - (held.consents or set())
        for instance_id in missing:
            self._request_consent(held, instance_id, now_s)
        if missing:
            return
        if self._may_evict(held, now_s):
            self._order_evict(held)

    def _may_evict(self, held: HeldLoad, now_s: float) -> bool:
        """Return whether no earlier owner's grant allows use of a load."""
        if held.name.term == self._server.term:
            return True
        if held.is_inherited:
            return self._inherited_wait.is_over(now_s)
        return self._inherited_wait.has_read_list

    def _request_consent(
        self, held: HeldLoad, instance_id: str, now_s: float
    ) -> None:
        requested_s = held.consent_requested_s.get(instance_id, float('-inf'))
        link = self._subscribers.link_of(instance_id)
        if link is None or now_s - requested_s < CLOSE_REPEAT_S:
            return
        held.consent_requested_s[instance_id] = now_s
        server = self._server
        link.send(CloseLoad(server.server_id, str(held.name), server.term))

    def _order_evict(self, held: HeldLoad) -> None:
        name = str(held.name)
        if self._deposed.is_set():
            return
        outcome = self._engine.evict(EvictOrder(name, self._server.term))
        if outcome.is_ok():
            self._held.remove(name)
            self._subscribers.broadcast(LoadsGone([name]))
            log_event(Event.LOAD_EVICTED, load=name)
        elif isinstance(outcome.error, OrderRefused):
            self._deposed.set()
        elif isinstance(outcome.error, AdapterInUse):
            log_event(Event.EVICT_REFUSED_IN_USE, load=name)
