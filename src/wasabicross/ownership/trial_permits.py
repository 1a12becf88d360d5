"""One suspect request at a time on each server, among all processes."""

from __future__ import annotations

import threading
from typing import NamedTuple


class _Permit(NamedTuple):
    """The permit of one server while it is taken.

    :param contested: whether another suspect ran there meanwhile.
    """

    fingerprint: bytes
    process: str
    taken_s: float
    contested: bool = False


class TrialPermits:
    """Lets one suspect at a time run on each server, from all processes.

    Kept by the server's owner. A request that became suspect while it ran
    can't be stopped; it is told here, so that nothing is tried beside it and
    no loss is blamed on what was. Permits of the requests themselves, so that
    each has one trial at a time, are kept the same way. Thread-safe.

    :param ttl_s: seconds after which a permit that was not returned lapses, at
        least the longest run time of a request.
    """

    def __init__(self, ttl_s: float) -> None:
        self._ttl_s = ttl_s
        self._lock = threading.Lock()
        self._held: dict[str, _Permit] = {}
        self._others: dict[str, dict[tuple[bytes, str], float]] = {}
        self._closed_until_s: dict[str, float] = {}

    def __len__(self) -> int:
        return len(self._held) + len(self._others) + len(self._closed_until_s)

    def acquire(
        self,
        server_id: str,
        request: bytes,
        process: str,
        now_s: float,
    ) -> bool:
        """Take the permit of a server for one run of a suspect."""
        with self._lock:
            self._drop_lapsed(now_s)
            if server_id in self._closed_until_s:
                return False
            if server_id in self._held or server_id in self._others:
                return False
            self._held[server_id] = _Permit(request, process, now_s)
            return True

    def release(self, server_id: str, request: bytes, process: str) -> None:
        """Return a permit; one that is another's now stays as it is."""
        with self._lock:
            held = self._held.get(server_id)
            if held and held[:2] == (request, process):
                self._held.pop(server_id)
            others = self._others.get(server_id, {})
            others.pop((request, process), None)
            if not others:
                self._others.pop(server_id, None)

    def record_unpermitted_run(
        self,
        server_id: str,
        request: bytes,
        process: str,
        now_s: float,
    ) -> None:
        """Note a suspect that runs without a permit, until its release."""
        with self._lock:
            others = self._others.setdefault(server_id, {})
            others[request, process] = now_s
            held = self._held.get(server_id)
            if held:
                self._held[server_id] = held._replace(contested=True)

    def is_sole(self, server_id: str, request: bytes, process: str) -> bool:
        """Tell whether a suspect with a permit was the only one there."""
        with self._lock:
            held = self._held.get(server_id)
            if held is None or held.contested:
                return False
            return held[:2] == (request, process)

    def block_until_expiry(self, server_id: str, now_s: float) -> None:
        """Let nothing be tried while permits of an earlier owner may hold."""
        with self._lock:
            self._closed_until_s[server_id] = now_s + self._ttl_s

    def _drop_lapsed(self, now_s: float) -> None:
        since_s = now_s - self._ttl_s
        self._held = {
            server_id: held
            for server_id, held in self._held.items()
            if held.taken_s > since_s
        }
        self._closed_until_s = {
            server_id: until_s
            for server_id, until_s in self._closed_until_s.items()
            if until_s > now_s
        }
        for server_id, others in tuple(self._others.items()):
            if max(others.values()) <= since_s:
                self._others.pop(server_id)
