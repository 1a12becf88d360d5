"""The lease of an instance, to which the keys of its servers are tied."""

import threading
import time
from typing import NamedTuple

from wasabicross.runtime.events import Event
from wasabicross.runtime.logs import log_event
from wasabicross.stores.errors import LeaseLapsed
from wasabicross.stores.kv import KeyValueStore

MIN_LEASE_S = 6.0
RENEWALS_PER_LEASE = 3
RENEWALS_PER_S = 30.0
MAX_LIST_WAIT_S = 2.0


def lease_ttl_s(instances: int) -> float:
    """Return how long a lease lasts in a fleet of a given size.

    The time grows with the fleet, so that all instances together renew at
    most `RENEWALS_PER_S` times a second, whatever their number.

    :param instances: number of instances that the list shows.
    """
    interval_s = instances / RENEWALS_PER_S
    return max(MIN_LEASE_S, interval_s * RENEWALS_PER_LEASE)


class Renewal(NamedTuple):
    """The last renewal that the key-value service answered.

    :param lease_id: the lease; keys written with it end with it.
    :param sent_s: monotonic time at which the renewal was sent.
    """

    lease_id: str
    sent_s: float


NEVER_RENEWED = Renewal('', float('-inf'))


class InstanceLease:
    """One lease of an instance, renewed by a thread of its own.

    A renewal does not change how long a lease lasts. So the interval between
    renewals follows from the time to live that the lease was granted with,
    even if the fleet has grown since.

    :param kv: the key-value service.
    :param stop: set when the process stops.
    """

    def __init__(self, kv: KeyValueStore, stop: threading.Event) -> None:
        self.instance_count = 1
        self.renewal = NEVER_RENEWED
        self.list_received = threading.Event()
        self._kv = kv
        self._stop = stop
        self._lease_id: str | None = None
        self._ttl_s = MIN_LEASE_S

    @property
    def lease_id(self) -> str | None:
        """Id of the lease, None while the instance holds none."""
        return self._lease_id

    def run(self) -> None:
        """Get and renew the lease until the process stops, then revoke it."""
        self.list_received.wait(MAX_LIST_WAIT_S)
        while not self._stop.is_set():
            self._grant_or_renew(time.monotonic())
            self._stop.wait(self._ttl_s / RENEWALS_PER_LEASE)
        if self._lease_id is not None:
            self._kv.revoke_lease(self._lease_id)

    def _grant_or_renew(self, now_s: float) -> None:
        if self._lease_id is None:
            self._ttl_s = lease_ttl_s(self.instance_count)
            granted = self._kv.grant_lease(self._ttl_s)
            self._lease_id = granted.ok if granted.is_ok() else None
        else:
            self._renew(self._lease_id, now_s)

    def _renew(self, lease_id: str, now_s: float) -> None:
        renewed = self._kv.renew_lease(lease_id)
        if renewed.is_ok():
            self.renewal = Renewal(lease_id, now_s)
        elif isinstance(renewed.error, LeaseLapsed):
            self._lease_id = None
            log_event(Event.LEASE_LAPSED, lease=lease_id)
