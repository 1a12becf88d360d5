"""What the stand-in for the key-value service holds: keys and leases."""

import math
import secrets
import threading
from collections.abc import Callable
from typing import NamedTuple, TypeAlias

MAX_VALUE_BYTES = 1024 * 1024
LEASE_ID_BYTES = 12

Clock: TypeAlias = Callable[[], float]


class Entry(NamedTuple):
    """A key's state; ``None`` and 0 when it is absent."""

    value: bytes | None
    version: int
    lease_id: str | None


ABSENT = Entry(None, 0, None)


class Lease(NamedTuple):
    """A lease, with the keys that vanish with it."""

    ttl_s: float
    expires_s: float
    keys: set[str]


class Conflict(Exception):  # noqa: N818
    """The key has another version than expected."""

    def __init__(self, present: Entry) -> None:
        super().__init__(present.version)
        self.present = present


class NoLease(Exception):  # noqa: N818
    """The lease has lapsed or never was."""


class Interrupted(Exception):  # noqa: N818
    """The service went away while a watch waited."""


class Data:
    """Keys with versions, leases, and watches; for many threads.

    Versions come from one counter, so that a key made again after its
    deletion has a higher version than it ever had.
    """

    def __init__(self) -> None:
        self._lock = threading.Lock()
        self._expiry = threading.Condition(self._lock)
        self._entries: dict[str, Entry] = {}
        self._leases: dict[str, Lease] = {}
        self._watched: dict[str, tuple[threading.Condition, int]] = {}
        self._last_version = 0
        self._interrupts = 0
        self._soonest_s = math.inf

    def get(self, key: str, now_s: float) -> Entry:
        """Read a key."""
        with self._lock:
            self._expire(now_s)
            return self._entries.get(key, ABSENT)

    def swap(self, key: str, entry: Entry, now_s: float) -> Entry:
        """Write or delete a key.

        :param entry: the new value, the version expected, and the lease.
        :raises Conflict: the key has another version.
        :raises NoLease: the lease has lapsed.
        """
        with self._lock:
            self._expire(now_s)
            present = self._entries.get(key, ABSENT)
            if present.version != entry.version:
                raise Conflict(present)
            if entry.lease_id is not None:
                self._live_lease(entry.lease_id)
            return self._write(key, present, entry)

    def watch(
        self,
        key: str,
        after_version: int,
        deadline_s: float,
        clock: Clock,
    ) -> Entry:
        """Wait until a key has another version, or until a deadline.

        :raises Interrupted: the service went away in the meantime.
        """
        with self._lock:
            interrupts = self._interrupts
            self._expire(clock())
            while self._version(key) == after_version:
                wait_s = deadline_s - clock()
                if wait_s <= 0:
                    break
                self._wait_for_change(key, wait_s)
                if interrupts != self._interrupts:
                    raise Interrupted
            return self._entries.get(key, ABSENT)

    def grant(self, ttl_s: float, now_s: float) -> str:
        """Grant a lease and return its id."""
        lease_id = secrets.token_hex(LEASE_ID_BYTES)
        with self._lock:
            self._leases[lease_id] = Lease(ttl_s, now_s + ttl_s, set())
            self._soonest_s = min(self._soonest_s, now_s + ttl_s)
            self._expiry.notify()
        return lease_id

    def renew(self, lease_id: str, now_s: float) -> None:
        """Start a lease's time again.

        :raises NoLease: it has lapsed.
        """
        with self._lock:
            self._expire(now_s)
            lease = self._live_lease(lease_id)
            renewed = lease._replace(expires_s=now_s + lease.ttl_s)
            self._leases[lease_id] = renewed

    def revoke(self, lease_id: str, now_s: float) -> None:
        """End a lease now.

        :raises NoLease: it has lapsed.
        """
        with self._lock:
            self._expire(now_s)
            self._live_lease(lease_id)
            self._lapse(lease_id)

    def lapse_all(self) -> None:
        """End every lease, as if no holder had renewed in time."""
        with self._lock:
            for lease_id in tuple(self._leases):
                self._lapse(lease_id)

    def empty(self, *, keep_versions: bool) -> None:
        """Forget everything, as a restart does.

        :param keep_versions: versions go on rising from where they were.
        """
        with self._lock:
            self._entries.clear()
            self._leases.clear()
            if not keep_versions:
                self._last_version = 0
        self.interrupt()

    def interrupt(self) -> None:
        """End every waiting watch without an answer."""
        with self._lock:
            self._interrupts += 1
            for condition, _waiting in self._watched.values():
                condition.notify_all()

    def expire_forever(self, clock: Clock) -> None:
        """Let leases lapse in time; for a thread of its own."""
        with self._lock:
            while True:
                now_s = clock()
                self._expire(now_s)
                idle = math.isinf(self._soonest_s)
                self._expiry.wait(None if idle else self._soonest_s - now_s)

    def sizes(self) -> dict[str, int]:
        """Count keys, leases and waiting watches."""
        with self._lock:
            waiting = sum(count for _, count in self._watched.values())
            return {
                'keys': len(self._entries),
                'leases': len(self._leases),
                'waiting_watches': waiting,
            }

    def _version(self, key: str) -> int:
        return self._entries.get(key, ABSENT).version

    def _write(self, key: str, present: Entry, entry: Entry) -> Entry:
        if present.lease_id is not None:
            self._leases[present.lease_id].keys.remove(key)
        self._last_version += 1
        if entry.value is None:
            written = ABSENT
            self._entries.pop(key, None)
        else:
            written = entry._replace(version=self._last_version)
            self._entries[key] = written
        if written.lease_id is not None:
            self._leases[written.lease_id].keys.add(key)
        self._notify(key)
        return written

    def _wait_for_change(self, key: str, wait_s: float) -> None:
        if key not in self._watched:
            self._watched[key] = (threading.Condition(self._lock), 0)
        condition, waiting = self._watched[key]
        self._watched[key] = (condition, waiting + 1)
        condition.wait(wait_s)
        condition, waiting = self._watched[key]
        if waiting == 1:
            self._watched.pop(key)
        else:
            self._watched[key] = (condition, waiting - 1)

    def _notify(self, key: str) -> None:
        watched = self._watched.get(key)
        if watched is not None:
            watched[0].notify_all()

    def _live_lease(self, lease_id: str) -> Lease:
        if lease_id not in self._leases:
            raise NoLease
        return self._leases[lease_id]

    def _lapse(self, lease_id: str) -> None:
        for key in self._leases.pop(lease_id).keys:
            self._last_version += 1
            self._entries.pop(key)
            self._notify(key)

    def _expire(self, now_s: float) -> None:
        if now_s < self._soonest_s:
            return
        lapsed = [
            lease_id
            for lease_id, lease in self._leases.items()
            if lease.expires_s <= now_s
        ]
        for lease_id in lapsed:
            self._lapse(lease_id)
        self._soonest_s = min(
            (lease.expires_s for lease in self._leases.values()),
            default=math.inf,
        )
