"""What each instance has in force, as last heard."""

import threading
from typing import NamedTuple

from wasabicross.messaging.messages import BundleInForce, InstanceReport, Renew

MEMORY_S = 60.0
NOTHING = BundleInForce(0, '', '')


class _Heard(NamedTuple):
    data_centre: str
    renewal: Renew
    heard_s: float


class InstanceTable:
    """The bundle in force at every instance heard of."""

    def __init__(self) -> None:
        self._lock = threading.Lock()
        self._heard: dict[str, _Heard] = {}

    def record_heartbeat(
        self, instance_id: str, data_centre: str, renewal: Renew, now_s: float
    ) -> None:
        """Note an instance's heartbeat.

        :param instance_id: the sender.
        :param data_centre: where it runs.
        :param renewal: what it has in force.
        :param now_s: monotonic seconds.
        """
        with self._lock:
            self._heard[instance_id] = _Heard(data_centre, renewal, now_s)

    def forget(self, instance_id: str) -> None:
        """Forget an instance that is gone."""
        with self._lock:
            self._heard.pop(instance_id, None)

    def drop_stale(self, listed: frozenset[str], now_s: float) -> None:
        """Forget instances that are neither listed nor heard of lately.

        :param listed: instances that the list shows.
        :param now_s: monotonic seconds.
        """
        with self._lock:
            for instance_id, known in list(self._heard.items()):
                is_old = now_s - known.heard_s > MEMORY_S
                if is_old and instance_id not in listed:
                    self._heard.pop(instance_id)

    def reports(self, now_s: float) -> list[InstanceReport]:
        """Return a report for each instance, with the age of what is known.

        :param now_s: monotonic seconds.
        """
        with self._lock:
            heard = sorted(self._heard.items())
        return [
            InstanceReport(
                instance_id,
                known.data_centre,
                *known.renewal,
                now_s - known.heard_s,
            )
            for instance_id, known in heard
        ]


class InstanceBundle:
    """The bundle in force at the controller and every entry beside it."""

    def __init__(self) -> None:
        self._lock = threading.Lock()
        self._told: dict[str, BundleInForce] = {}

    def record_bundle(self, process: str, in_force: BundleInForce) -> None:
        """Note what one process has in force.

        :param process: name of the process, unique on the instance.
        :param in_force: number, digest and since when.
        """
        with self._lock:
            self._told[process] = in_force

    def forget(self, process: str) -> None:
        """Forget a process that has ended."""
        with self._lock:
            self._told.pop(process, None)

    def heartbeat(self) -> Renew:
        """Return the renewal that tells the earliest bundle in force here."""
        with self._lock:
            oldest = min(self._told.values(), default=NOTHING)
        same = [told for told in self._told.values() if told[0] == oldest[0]]
        since = max((told.since for told in same), default='')
        return Renew(oldest.number, oldest.digest, since)
