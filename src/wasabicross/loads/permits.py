"""Issues load permits of the weight store to all linked controllers."""

import threading
import time
from typing import NamedTuple

from wasabicross.loads.load_budget import LoadBudget, LoadKey, LoadPermit
from wasabicross.messaging.links import Link
from wasabicross.messaging.messages import (
    PermitGranted,
    PermitLoad,
    PermitReturned,
)
from wasabicross.runtime.settings import WeightStoreSettings

GRANT_INTERVAL_S = 0.02
IDLE_INTERVAL_S = 1.0
STALE_PERMIT_S = 10.0

#: Seconds after which a permit request that was not repeated is dropped. An
#: owner repeats it while requests wait and it has a free slot.
DEMAND_EXPIRY_S = 1.5


class _Requester(NamedTuple):
    link: Link
    server_id: str


class PermitIssuer:
    """Grants load permits to all owners that request them from this instance.

    Owners send their requests to the instance with the lowest id that they are
    linked to. If two instances issue permits at a time, the store gets more
    load for a moment and slows down; no guarantee depends on the limits.

    :param budget: decides which load is permitted next.
    :param data_centres: number of data centres that share the store.
    """

    def __init__(self, budget: LoadBudget, data_centres: int) -> None:
        self._budget = budget
        self._data_centres = data_centres
        self._lock = threading.Lock()
        self._requesters: dict[LoadKey, _Requester] = {}
        self._permits: dict[LoadKey, LoadPermit] = {}
        self._has_requests = threading.Event()
        self._requested_s: dict[tuple[LoadKey, str], float] = {}

    @classmethod
    def from_config(
        cls, cfg: WeightStoreSettings, data_centres: int
    ) -> 'PermitIssuer':
        """Create an issuer with the limits in the settings."""
        return cls(LoadBudget(cfg.loads_per_s, cfg.in_flight), data_centres)

    def set_visible(self, data_centres: int) -> None:
        """Scale the budget to the number of data centres that are linked."""
        self._budget.set_visible(data_centres, self._data_centres)

    def request_permit(
        self, request: PermitLoad, link: Link, now_s: float
    ) -> None:
        """Record a permit request of an owner.

        :param request: the load, and how long requests have waited for it.
        :param link: link on which `PermitGranted` is sent.
        :param now_s: present time, monotonic seconds.
        """
        key = LoadKey(request.adapter, request.version, request.data_centre)
        with self._lock:
            self._drop_stale(key, now_s)
            granted_to = (
                self._requesters.get(key) if key in self._permits else None
            )
            if granted_to is None:
                self._requesters[key] = _Requester(link, request.server_id)
                self._has_requests.set()
        if granted_to is not None:
            if granted_to.server_id != request.server_id:
                return
            # The owner still requests the permit, so the first grant was lost.
            link.send(PermitGranted(request.server_id, *key[:2]))
            return
        if not request.waiting:
            # Among further copies, the one requested for the longest time comes
            # first.
            self._budget.set_prefetch(key, 1 + request.waited_s)
        with self._lock:
            self._requested_s[key, request.server_id] = now_s
        self._budget.set_demand(
            key, request.server_id, request.waiting, now_s - request.waited_s
        )

    def _is_idle(self) -> bool:
        with self._lock:
            if not self._requesters:
                self._has_requests.clear()
            return not self._requesters

    def _drop_stale(self, key: LoadKey, now_s: float) -> None:
        """Withdraw a permit that was not returned in time."""
        permit = self._permits.get(key)
        if permit is None or now_s - permit.granted_s < STALE_PERMIT_S:
            return
        self._permits.pop(key)
        requester = self._requesters.pop(key, None)
        server_id = requester.server_id if requester else ''
        self._budget.finish(permit, server_id, False, now_s)

    def return_permit(self, returned: PermitReturned, now_s: float) -> None:
        """Accept the return of a permit.

        :param returned: the load, whether it was tried, and whether it
            succeeded.
        :param now_s: present time, monotonic seconds.
        """
        key = LoadKey(returned.adapter, returned.version, returned.data_centre)
        with self._lock:
            requester = self._requesters.get(key)
            if requester is None or requester.server_id != returned.server_id:
                return
            self._requesters.pop(key)
            permit = self._permits.pop(key, None)
        if permit is None:
            return
        if returned.used:
            self._budget.finish(
                permit, returned.server_id, returned.loaded, now_s
            )
        else:
            self._budget.cancel(permit)

    def run(self, stop: threading.Event) -> None:
        """Grant permits until stopped, and wait while none is requested."""
        while not stop.wait(GRANT_INTERVAL_S):
            self.grant_due(time.monotonic())
            if self._is_idle():
                self._has_requests.wait(IDLE_INTERVAL_S)

    def grant_due(self, now_s: float) -> None:
        """Grant every permit that the budget allows now."""
        self._drop_expired(now_s)
        while True:
            permit = self._budget.grant(now_s)
            if permit is None:
                return
            self._send_grant(permit, now_s)

    def _drop_expired(self, now_s: float) -> None:
        """Drop the requests that owners no longer repeat."""
        with self._lock:
            expired = [
                request
                for request, requested_s in self._requested_s.items()
                if now_s - requested_s > DEMAND_EXPIRY_S
            ]
            for request in expired:
                self._requested_s.pop(request)
        for key, server_id in expired:
            self._budget.set_demand(key, server_id, 0, 0)

    def _send_grant(self, permit: LoadPermit, now_s: float) -> None:
        key = permit.key
        with self._lock:
            requester = self._requesters.get(key)
            self._permits[key] = permit
        sent = requester is not None and requester.link.send(
            PermitGranted(requester.server_id, key.adapter, key.version),
        )
        self._budget.set_demand(
            key, requester.server_id if requester else '', 0, 0
        )
        if not sent:
            server_id = requester.server_id if requester else ''
            self._budget.finish(permit, server_id, False, now_s)
