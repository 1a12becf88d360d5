"""The processes of an instance's entries, and which of them have ended."""

import threading
from typing import NamedTuple

from wasabicross.messaging.messages import HoldersLost


class _Loss(NamedTuple):
    lost: HoldersLost
    recorded_s: float


class EntryIncarnations:
    """Records which claim holders were lost with their entry process.

    Each process of an entry is one incarnation of it. A process that is
    paused or cut off has not ended. It has ended if its port is free, or once
    a later incarnation of the entry has linked.

    :param instance_id: the instance, with which the holders' names begin.
    :param retention_s: seconds for which a loss is reported to new peers.
    """

    def __init__(self, instance_id: str, retention_s: float) -> None:
        self._instance_id = instance_id
        self._retention_s = retention_s
        self._lock = threading.Lock()
        self._incarnations: dict[str, str] = {}
        self._losses: dict[str, list[_Loss]] = {}

    def joined(
        self, name: str, incarnation: str, now_s: float
    ) -> HoldersLost | None:
        """Record an entry's incarnation; return the holders lost before it.

        :param name: the entry's name in the settings.
        :param incarnation: what the names of its holders begin with.
        :param now_s: present time, monotonic seconds.
        """
        with self._lock:
            if not incarnation or self._incarnations.get(name) == incarnation:
                return None
            self._incarnations[name] = incarnation
            lost = HoldersLost(
                f'{self._instance_id}/{name}/', f'{incarnation}/'
            )
            self._losses[name] = [_Loss(lost, now_s)]
            return lost

    def ended(self, name: str, now_s: float) -> HoldersLost | None:
        """Record that an entry's process has ended; return the holders lost.

        :param name: the entry's name in the settings.
        :param now_s: present time, monotonic seconds.
        """
        with self._lock:
            incarnation = self._incarnations.pop(name, None)
            if incarnation is None:
                return None
            lost = HoldersLost(f'{incarnation}/', '')
            self._losses[name].append(_Loss(lost, now_s))
            return lost

    def recent_losses(self, now_s: float) -> list[HoldersLost]:
        """Return the losses that a peer that has just linked may not know.

        :param now_s: present time, monotonic seconds.
        """
        with self._lock:
            return [
                loss.lost
                for each in self._losses.values()
                for loss in each
                if now_s - loss.recorded_s < self._retention_s
            ]
