"""One suspect request at a time on each server, among all processes."""

from __future__ import annotations

import threading
from typing import NamedTuple


class _Permit(NamedTuple):
    """The permit of one server while it is taken."""

    fingerprint: bytes
    process: str
    taken_s: float


class TrialPermits:
    """Lets one suspect at a time run on each server, from all processes.

    Kept by the server's owner. Where all processes choose the same server for a
    suspect, as by `rank_servers` of its fingerprint, a suspect also has one
    trial at a time. Thread-safe.

    :param ttl_s: seconds after which a permit that was not returned lapses, at
        least the longest run time of a request.
    """

    def __init__(self, ttl_s: float) -> None:
        self._ttl_s = ttl_s
        self._lock = threading.Lock()
        self._held: dict[str, _Permit] = {}

    def acquire(
        self,
        server_id: str,
        request: bytes,
        process: str,
        now_s: float,
    ) -> bool:
        """Take the permit of a server for one run of a suspect."""
        with self._lock:
            held = self._held.get(server_id)
            if held and now_s - held.taken_s < self._ttl_s:
                return False
            self._held[server_id] = _Permit(request, process, now_s)
            return True

    def release(self, server_id: str, request: bytes, process: str) -> None:
        """Return a permit; one that is another's now stays as it is."""
        with self._lock:
            held = self._held.get(server_id)
            if held and held[:2] == (request, process):
                self._held.pop(server_id)
