"""The weight store's budget, shared by all controllers that see each other."""

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

#: Seconds after which a load is no longer asked for by an owner that has not
#: repeated its question, which it does while requests wait and it has room.
DEMAND_EXPIRY_S = 1.5


class _Asker(NamedTuple):
    link: Link
    server_id: str


class PermitIssuer:
    """Grants permits for all owners that ask this instance.

    Owners ask the instance with the lowest id that they are linked to. Where
    two instances grant at a time, the store is loaded more for a moment and
    slows down; no promise depends on it.

    :param budget: decides which load is permitted next.
    :param data_centres: how many data centres share the store.
    """

    def __init__(self, budget: LoadBudget, data_centres: int) -> None:
        self._budget = budget
        self._data_centres = data_centres
        self._lock = threading.Lock()
        self._askers: dict[LoadKey, _Asker] = {}
        self._permits: dict[LoadKey, LoadPermit] = {}
        self._asked = threading.Event()
        self._asked_s: dict[tuple[LoadKey, str], float] = {}

    @classmethod
    def from_config(
        cls, cfg: WeightStoreSettings, data_centres: int
    ) -> 'PermitIssuer':
        """Make the desk from the limits in the settings."""
        return cls(LoadBudget(cfg.loads_per_s, cfg.in_flight), data_centres)

    def set_visible(self, data_centres: int) -> None:
        """Scale the budget to the data centres that are linked."""
        self._budget.set_visible(data_centres, self._data_centres)

    def request_permit(
        self, asked: PermitLoad, link: Link, now_s: float
    ) -> None:
        """Note that an owner wants to load.

        :param asked: the load, and how long requests have waited for it.
        :param link: where `PermitGranted` is sent.
        :param now_s: monotonic seconds.
        """
        key = LoadKey(asked.adapter, asked.version, asked.data_centre)
        with self._lock:
            self._drop_stale(key, now_s)
            granted_to = self._askers.get(key) if key in self._permits else None
            if granted_to is None:
                self._askers[key] = _Asker(link, asked.server_id)
                self._asked.set()
        if granted_to is not None:
            if granted_to.server_id != asked.server_id:
                return
            # The owner has not loaded yet, so the first grant was lost.
            link.send(PermitGranted(asked.server_id, *key[:2]))
            return
        if not asked.waiting:
            # Of the copies, the one wanted for the longest comes first.
            self._budget.set_prefetch(key, 1 + asked.waited_s)
        with self._lock:
            self._asked_s[key, asked.server_id] = now_s
        self._budget.set_demand(
            key, asked.server_id, asked.waiting, now_s - asked.waited_s
        )

    def _is_idle(self) -> bool:
        with self._lock:
            if not self._askers:
                self._asked.clear()
            return not self._askers

    def _drop_stale(self, key: LoadKey, now_s: float) -> None:
        """Take back a permit whose load nobody ended in time."""
        permit = self._permits.get(key)
        if permit is None or now_s - permit.granted_s < STALE_PERMIT_S:
            return
        self._permits.pop(key)
        asker = self._askers.pop(key, None)
        server_id = asker.server_id if asker else ''
        self._budget.finish(permit, server_id, False, now_s)

    def return_permit(self, returned: PermitReturned, now_s: float) -> None:
        """Take a permit back when its load has ended.

        :param returned: the load, and whether it succeeded.
        :param now_s: monotonic seconds.
        """
        key = LoadKey(returned.adapter, returned.version, returned.data_centre)
        with self._lock:
            asker = self._askers.get(key)
            if asker is None or asker.server_id != returned.server_id:
                return
            self._askers.pop(key)
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
        """Grant permits until the process stops; rest while nobody asks."""
        while not stop.wait(GRANT_INTERVAL_S):
            self.grant_due(time.monotonic())
            if self._is_idle():
                self._asked.wait(IDLE_INTERVAL_S)

    def grant_due(self, now_s: float) -> None:
        """Grant every permit that the budget allows now."""
        self._forget_old(now_s)
        while True:
            permit = self._budget.grant(now_s)
            if permit is None:
                return
            self._hand_out(permit, now_s)

    def _forget_old(self, now_s: float) -> None:
        """Drop what owners have ceased to ask for."""
        with self._lock:
            old = [
                asked
                for asked, asked_s in self._asked_s.items()
                if now_s - asked_s > DEMAND_EXPIRY_S
            ]
            for asked in old:
                self._asked_s.pop(asked)
        for key, server_id in old:
            self._budget.set_demand(key, server_id, 0, 0)

    def _hand_out(self, permit: LoadPermit, now_s: float) -> None:
        key = permit.key
        with self._lock:
            asker = self._askers.get(key)
            self._permits[key] = permit
        sent = asker is not None and asker.link.send(
            PermitGranted(asker.server_id, key.adapter, key.version),
        )
        self._budget.set_demand(key, asker.server_id if asker else '', 0, 0)
        if not sent:
            server_id = asker.server_id if asker else ''
            self._budget.finish(permit, server_id, False, now_s)
