"""Permits that let one suspect request at a time run on each server."""

from __future__ import annotations

import threading
from typing import NamedTuple


class _Permit(NamedTuple):
    """The permit of one server while it is held.

    :param contested: whether another suspect ran there at the same time.
    """

    fingerprint: bytes
    process: str
    acquired_s: float
    contested: bool = False


class TrialPermits:
    """Lets one suspect at a time run on each server, from all processes.

    A suspect is a request that may have crashed a server; running it again
    under a permit is its trial. The owner of a server keeps the server's
    permit. A request that became suspect while it ran can't be stopped; it is
    recorded here, so that no trial starts beside it and a loss of the server
    is not blamed on a trial that ran beside it. Permits of the requests, which
    give each request one trial at a time, are kept in the same way.
    Thread-safe.

    :param ttl_s: seconds after which a permit that was not returned lapses, at
        least the longest run time of a request.
    """

    def __init__(self, ttl_s: float) -> None:
        self._ttl_s = ttl_s
        self._lock = threading.Lock()
        self._held: dict[str, _Permit] = {}
        self._unpermitted: dict[str, dict[tuple[bytes, str], float]] = {}
        self._blocked_until_s: dict[str, float] = {}

    def __len__(self) -> int:
        return (
            len(self._held)
            + len(self._unpermitted)
            + len(self._blocked_until_s)
        )

    def acquire(
        self,
        server_id: str,
        request: bytes,
        process: str,
        now_s: float,
    ) -> bool:
        """Acquire the permit of a server for one run of a suspect.

        :returns: whether the permit was granted.
        """
        with self._lock:
            self._drop_lapsed(now_s)
            if server_id in self._blocked_until_s:
                return False
            if server_id in self._held or server_id in self._unpermitted:
                return False
            self._held[server_id] = _Permit(request, process, now_s)
            return True

    def release(self, server_id: str, request: bytes, process: str) -> None:
        """Return a permit, or end a run without one.

        A permit that another request or process holds now is not affected.
        """
        with self._lock:
            held = self._held.get(server_id)
            if held and held[:2] == (request, process):
                self._held.pop(server_id)
            unpermitted = self._unpermitted.get(server_id, {})
            unpermitted.pop((request, process), None)
            if not unpermitted:
                self._unpermitted.pop(server_id, None)

    def record_unpermitted_run(
        self,
        server_id: str,
        request: bytes,
        process: str,
        now_s: float,
    ) -> None:
        """Record a suspect that runs without a permit, until its release."""
        with self._lock:
            unpermitted = self._unpermitted.setdefault(server_id, {})
            unpermitted[request, process] = now_s
            held = self._held.get(server_id)
            if held:
                self._held[server_id] = held._replace(contested=True)

    def is_sole(self, server_id: str, request: bytes, process: str) -> bool:
        """Return whether a suspect with a permit ran on the server alone."""
        with self._lock:
            held = self._held.get(server_id)
            if held is None or held.contested:
                return False
            return held[:2] == (request, process)

    def block_until_expiry(self, server_id: str, now_s: float) -> None:
        """Grant no permit while permits of an earlier owner may be in use."""
        with self._lock:
            self._blocked_until_s[server_id] = now_s + self._ttl_s

    def _drop_lapsed(self, now_s: float) -> None:
        since_s = now_s - self._ttl_s
        self._held = {
            server_id: held
            for server_id, held in self._held.items()
            if held.acquired_s > since_s
        }
        self._blocked_until_s = {
            server_id: until_s
            for server_id, until_s in self._blocked_until_s.items()
            if until_s > now_s
        }
        for server_id, unpermitted in tuple(self._unpermitted.items()):
            if max(unpermitted.values()) <= since_s:
                self._unpermitted.pop(server_id)
