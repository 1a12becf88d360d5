"""The lives of the entries beside a controller, and which have ended."""

import threading
from typing import NamedTuple

from wasabicross.messaging.messages import HoldersLost


class _Told(NamedTuple):
    lost: HoldersLost
    told_s: float


class EntryIncarnations:
    """Knows which holders of claims have died with their entry process.

    A process that is frozen or cut off lives; only one whose port is free
    has ended, and so has every earlier one once its successor has linked.

    :param instance_id: the instance, with which the holders' names begin.
    :param memory_s: how long the end of a life is news, in seconds.
    """

    def __init__(self, instance_id: str, memory_s: float) -> None:
        self._instance_id = instance_id
        self._memory_s = memory_s
        self._lock = threading.Lock()
        self._lives: dict[str, str] = {}
        self._told: dict[str, list[_Told]] = {}

    def joined(self, name: str, life: str, now_s: float) -> HoldersLost | None:
        """Note an entry's life; return who has died if it is a new one.

        :param name: the entry's name in the settings.
        :param life: what the names of its holders begin with.
        :param now_s: monotonic seconds.
        """
        with self._lock:
            if not life or self._lives.get(name) == life:
                return None
            self._lives[name] = life
            lost = HoldersLost(f'{self._instance_id}/{name}/', f'{life}/')
            self._told[name] = [_Told(lost, now_s)]
            return lost

    def ended(self, name: str, now_s: float) -> HoldersLost | None:
        """Note that an entry's process has ended; return who died with it.

        :param name: the entry's name in the settings.
        :param now_s: monotonic seconds.
        """
        with self._lock:
            life = self._lives.pop(name, None)
            if life is None:
                return None
            lost = HoldersLost(f'{life}/', '')
            self._told[name].append(_Told(lost, now_s))
            return lost

    def recent_losses(self, now_s: float) -> list[HoldersLost]:
        """Return what a peer that has just linked may have missed.

        :param now_s: monotonic seconds.
        """
        with self._lock:
            return [
                told.lost
                for each in self._told.values()
                for told in each
                if now_s - told.told_s < self._memory_s
            ]
