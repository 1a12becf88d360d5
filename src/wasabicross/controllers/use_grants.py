"""Use grants for the entries, several of them in one message."""

import threading
import time
from collections.abc import Callable, Iterable

from wasabicross.messaging.messages import Grant, ServerLoad, UseGranted

SEND_INTERVAL_S = 0.1


class UseGrants:
    """Batches the use grants of peers, sent to the entries at an interval.

    The interval bounds the number of messages per second, whatever the number
    of peers. A grant states the time at which it ends, so waiting does not
    prolong it.

    :param notify_entries: sends a message to each entry of the instance.
    """

    def __init__(self, notify_entries: Callable[[UseGranted], None]) -> None:
        self._notify_entries = notify_entries
        self._lock = threading.Lock()
        self._grants: dict[str, Grant] = {}
        self._loads: dict[str, tuple[ServerLoad, float]] = {}

    def add(
        self,
        grants: Iterable[Grant],
        loads: Iterable[ServerLoad],
        now_s: float,
    ) -> None:
        """Add the grants of a peer, which replace earlier ones of its servers.

        :param grants: until when the peer's servers may be used.
        :param loads: how busy the servers are.
        :param now_s: present time, monotonic seconds.
        """
        with self._lock:
            self._grants.update((grant.server_id, grant) for grant in grants)
            self._loads.update(
                (load.server_id, (load, now_s)) for load in loads
            )

    def take_batch(self, now_s: float) -> UseGranted | None:
        """Return what was added since the last call, None if nothing was.

        :param now_s: present time, monotonic seconds.
        """
        with self._lock:
            grants = list(self._grants.values())
            added = list(self._loads.values())
            self._grants.clear()
            self._loads.clear()
        if not added:
            return None
        loads = [
            load._replace(age_s=load.age_s + now_s - added_s)
            for load, added_s in added
        ]
        return UseGranted(grants, loads)

    def run(self, stop: threading.Event) -> None:
        """Send batches to the entries until the process stops."""
        while not stop.wait(SEND_INTERVAL_S):
            batch = self.take_batch(time.monotonic())
            if batch is not None:
                self._notify_entries(batch)
