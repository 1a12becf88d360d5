"""Grants of use on their way to the entries, one message for many."""

import threading
import time
from collections.abc import Callable, Iterable

from wasabicross.messaging.messages import Grant, ServerLoad, UseGranted

TELL_INTERVAL_S = 0.1


class UseGrants:
    """Joins what the peers grant, so that entries are told a bounded number
    of times a second, whatever the number of peers.

    A grant names the time at which it ends, so the wait does not prolong it.

    :param tell_entries: sends a message to each entry of the instance.
    """

    def __init__(self, tell_entries: Callable[[UseGranted], None]) -> None:
        self._tell_entries = tell_entries
        self._lock = threading.Lock()
        self._grants: dict[str, Grant] = {}
        self._loads: dict[str, tuple[ServerLoad, float]] = {}

    def add(
        self,
        grants: Iterable[Grant],
        loads: Iterable[ServerLoad],
        now_s: float,
    ) -> None:
        """Note what a peer has granted; the last word of a server counts.

        :param grants: until when the peer's servers may be used.
        :param loads: how busy they are.
        :param now_s: monotonic seconds.
        """
        with self._lock:
            self._grants.update((grant.server_id, grant) for grant in grants)
            self._loads.update(
                (load.server_id, (load, now_s)) for load in loads
            )

    def take_batch(self, now_s: float) -> UseGranted | None:
        """Return what was noted since the last call, None if nothing was.

        :param now_s: monotonic seconds.
        """
        with self._lock:
            grants = list(self._grants.values())
            noted = list(self._loads.values())
            self._grants.clear()
            self._loads.clear()
        if not noted:
            return None
        loads = [
            load._replace(age_s=load.age_s + now_s - noted_s)
            for load, noted_s in noted
        ]
        return UseGranted(grants, loads)

    def run(self, stop: threading.Event) -> None:
        """Tell the entries until the process stops."""
        while not stop.wait(TELL_INTERVAL_S):
            joined = self.take_batch(time.monotonic())
            if joined is not None:
                self._tell_entries(joined)
