"""The bundle in force at each instance, as last reported."""

import threading
from typing import NamedTuple

from wasabicross.messaging.messages import BundleInForce, InstanceReport, Renew

RETENTION_S = 60.0
NO_BUNDLE = BundleInForce(0, '', '')


class _Heartbeat(NamedTuple):
    data_centre: str
    renewal: Renew
    received_s: float


class InstanceTable:
    """The bundle in force at every known instance."""

    def __init__(self) -> None:
        self._lock = threading.Lock()
        self._heartbeats: dict[str, _Heartbeat] = {}

    def record_heartbeat(
        self, instance_id: str, data_centre: str, renewal: Renew, now_s: float
    ) -> None:
        """Record an instance's heartbeat.

        :param instance_id: the sender.
        :param data_centre: where it runs.
        :param renewal: its renewal, with the bundle in force there.
        :param now_s: present time, monotonic seconds.
        """
        with self._lock:
            self._heartbeats[instance_id] = _Heartbeat(
                data_centre, renewal, now_s
            )

    def forget(self, instance_id: str) -> None:
        """Forget an instance that has stopped."""
        with self._lock:
            self._heartbeats.pop(instance_id, None)

    def drop_stale(self, listed: frozenset[str], now_s: float) -> None:
        """Forget unlisted instances without a recent heartbeat.

        :param listed: instances that the list shows.
        :param now_s: present time, monotonic seconds.
        """
        with self._lock:
            for instance_id, last in list(self._heartbeats.items()):
                is_old = now_s - last.received_s > RETENTION_S
                if is_old and instance_id not in listed:
                    self._heartbeats.pop(instance_id)

    def reports(self, now_s: float) -> list[InstanceReport]:
        """Return a report of each instance, with the age of its heartbeat.

        :param now_s: present time, monotonic seconds.
        """
        with self._lock:
            heartbeats = sorted(self._heartbeats.items())
        return [
            InstanceReport(
                instance_id,
                last.data_centre,
                *last.renewal,
                now_s - last.received_s,
            )
            for instance_id, last in heartbeats
        ]


class InstanceBundle:
    """The bundle in force at the controller and each entry of an instance."""

    def __init__(self) -> None:
        self._lock = threading.Lock()
        self._in_force: dict[str, BundleInForce] = {}

    def record_bundle(self, process: str, in_force: BundleInForce) -> None:
        """Record the bundle in force at one process.

        :param process: name of the process, unique on the instance.
        :param in_force: number and digest of the bundle, and since when.
        """
        with self._lock:
            self._in_force[process] = in_force

    def forget(self, process: str) -> None:
        """Forget a process that has ended."""
        with self._lock:
            self._in_force.pop(process, None)

    def heartbeat(self) -> Renew:
        """Return a renewal with the lowest bundle number in force here."""
        with self._lock:
            oldest = min(self._in_force.values(), default=NO_BUNDLE)
        same = [
            each for each in self._in_force.values() if each[0] == oldest[0]
        ]
        since = max((each.since for each in same), default='')
        return Renew(oldest.number, oldest.digest, since)
