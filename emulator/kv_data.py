"""Keys and leases stored by the stand-in for the key-value service."""

import math
import secrets
import threading
from collections.abc import Callable
from typing import NamedTuple, TypeAlias

MAX_VALUE_BYTES = 1024 * 1024
LEASE_ID_BYTES = 12

Clock: TypeAlias = Callable[[], float]


class Entry(NamedTuple):
    """A key's state.

    :param value: ``None`` when the key is absent.
    :param version: 0 when the key is absent.
    :param lease_id: lease that the key is bound to, if any.
    """

    value: bytes | None
    version: int
    lease_id: str | None


ABSENT = Entry(None, 0, None)


class Lease(NamedTuple):
    """A lease and the keys that are deleted when it ends.

    :param ttl_s: time to live after each renewal, in seconds.
    :param expires_s: time on the service's clock, in seconds.
    """

    ttl_s: float
    expires_s: float
    keys: set[str]


class Conflict(Exception):  # noqa: N818
    """The key's version differs from the expected one."""

    def __init__(self, current: Entry) -> None:
        super().__init__(current.version)
        self.current = current


class LeaseNotFound(Exception):  # noqa: N818
    """The lease has expired or never existed."""


class WatchInterrupted(Exception):  # noqa: N818
    """The service was interrupted while a watch waited."""


class KeyValueData:
    """Versioned keys, leases and watches, safe for use by many threads.

    All versions come from one counter, so a key that is created again after
    its deletion gets a higher version than it ever had.
    """

    def __init__(self) -> None:
        self._lock = threading.Lock()
        self._expiry = threading.Condition(self._lock)
        self._entries: dict[str, Entry] = {}
        self._leases: dict[str, Lease] = {}
        self._watches: dict[str, tuple[threading.Condition, int]] = {}
        self._last_version = 0
        self._interrupts = 0
        self._next_expiry_s = math.inf

    def get(self, key: str, now_s: float) -> Entry:
        """Read a key."""
        with self._lock:
            self._expire(now_s)
            return self._entries.get(key, ABSENT)

    def swap(self, key: str, entry: Entry, now_s: float) -> Entry:
        """Write or delete a key.

        :param entry: the new value, the version expected, and the lease.
        :raises Conflict: the key has another version than expected.
        :raises LeaseNotFound: the lease has expired.
        """
        with self._lock:
            self._expire(now_s)
            current = self._entries.get(key, ABSENT)
            if current.version != entry.version:
                raise Conflict(current)
            if entry.lease_id is not None:
                self._get_lease(entry.lease_id)
            return self._write(key, current, entry)

    def watch(
        self,
        key: str,
        after_version: int,
        deadline_s: float,
        clock: Clock,
    ) -> Entry:
        """Wait until a key has another version, or until a deadline.

        :raises WatchInterrupted: the service was interrupted while waiting.
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
                    raise WatchInterrupted
            return self._entries.get(key, ABSENT)

    def grant(self, ttl_s: float, now_s: float) -> str:
        """Grant a lease and return its id."""
        lease_id = secrets.token_hex(LEASE_ID_BYTES)
        with self._lock:
            self._leases[lease_id] = Lease(ttl_s, now_s + ttl_s, set())
            self._next_expiry_s = min(self._next_expiry_s, now_s + ttl_s)
            self._expiry.notify()
        return lease_id

    def renew(self, lease_id: str, now_s: float) -> None:
        """Restart a lease's time to live from now.

        :raises LeaseNotFound: it has expired.
        """
        with self._lock:
            self._expire(now_s)
            lease = self._get_lease(lease_id)
            renewed = lease._replace(expires_s=now_s + lease.ttl_s)
            self._leases[lease_id] = renewed

    def revoke(self, lease_id: str, now_s: float) -> None:
        """End a lease now.

        :raises LeaseNotFound: it has expired.
        """
        with self._lock:
            self._expire(now_s)
            self._get_lease(lease_id)
            self._end_lease(lease_id)

    def expire_all(self) -> None:
        """Expire every lease, as if no holder had renewed in time."""
        with self._lock:
            for lease_id in tuple(self._leases):
                self._end_lease(lease_id)

    def delete_all(self, *, keep_versions: bool) -> None:
        """Delete all keys and leases, as a restart does.

        :param keep_versions: continue the version counter instead of
            restarting it.
        """
        with self._lock:
            self._entries.clear()
            self._leases.clear()
            if not keep_versions:
                self._last_version = 0
        self.interrupt()

    def interrupt(self) -> None:
        """End every waiting watch with ``WatchInterrupted``."""
        with self._lock:
            self._interrupts += 1
            for condition, _waiting in self._watches.values():
                condition.notify_all()

    def expire_forever(self, clock: Clock) -> None:
        """Expire leases when they are due; runs in a thread of its own."""
        with self._lock:
            while True:
                now_s = clock()
                self._expire(now_s)
                idle = math.isinf(self._next_expiry_s)
                self._expiry.wait(None if idle else self._next_expiry_s - now_s)

    def sizes(self) -> dict[str, int]:
        """Count keys, leases and waiting watches."""
        with self._lock:
            waiting = sum(count for _, count in self._watches.values())
            return {
                'keys': len(self._entries),
                'leases': len(self._leases),
                'waiting_watches': waiting,
            }

    def _version(self, key: str) -> int:
        return self._entries.get(key, ABSENT).version

    def _write(self, key: str, current: Entry, entry: Entry) -> Entry:
        if current.lease_id is not None:
            self._leases[current.lease_id].keys.remove(key)
        self._last_version += 1
        if entry.value is None:
            written = ABSENT
            self._entries.pop(key, None)
        else:
            written = entry._replace(version=self._last_version)
            self._entries[key] = written
        if written.lease_id is not None:
            self._leases[written.lease_id].keys.add(key)
        self._notify_watches(key)
        return written

    def _wait_for_change(self, key: str, wait_s: float) -> None:
        if key not in self._watches:
            self._watches[key] = (threading.Condition(self._lock), 0)
        condition, waiting = self._watches[key]
        self._watches[key] = (condition, waiting + 1)
        condition.wait(wait_s)
        condition, waiting = self._watches[key]
        if waiting == 1:
            self._watches.pop(key)
        else:
            self._watches[key] = (condition, waiting - 1)

    def _notify_watches(self, key: str) -> None:
        watch_entry = self._watches.get(key)
        if watch_entry is not None:
            watch_entry[0].notify_all()

    def _get_lease(self, lease_id: str) -> Lease:
        if lease_id not in self._leases:
            raise LeaseNotFound
        return self._leases[lease_id]

    def _end_lease(self, lease_id: str) -> None:
        for key in self._leases.pop(lease_id).keys:
            self._last_version += 1
            self._entries.pop(key)
            self._notify_watches(key)

    def _expire(self, now_s: float) -> None:
        if now_s < self._next_expiry_s:
            return
        expired = [
            lease_id
            for lease_id, lease in self._leases.items()
            if lease.expires_s <= now_s
        ]
        for lease_id in expired:
            self._end_lease(lease_id)
        self._next_expiry_s = min(
            (lease.expires_s for lease in self._leases.values()),
            default=math.inf,
        )
