"""Which start of a server reports at its address, and since when."""

from __future__ import annotations

import math
from typing import NamedTuple

from wasabicross.gateway.backend import BackendServer

#: Most addresses that are remembered.
_MAX_ADDRESSES = 4096


class _Address(NamedTuple):
    host: str
    port: int


class _Seen(NamedTuple):
    """A start that has reported.

    :param start_ms: the start, Unix milliseconds.
    :param since_s: when its first report had come, monotonic seconds.
    """

    start_ms: int
    since_s: float


class SeenStarts:
    """Remembers the last start that has reported at each address."""

    def __init__(self) -> None:
        self._seen: dict[_Address, _Seen] = {}

    def seen_since_s(
        self, server: BackendServer, start_ms: int, now_s: float
    ) -> float:
        """Record a report; return when the first one of its start had come.

        :param server: the server that has reported.
        :param start_ms: start that the report names, 0 for none.
        :param now_s: the present time, monotonic seconds.
        :return: monotonic seconds, infinite without a start.
        """
        if not start_ms:
            return math.inf
        address = _Address(server.host, server.port)
        seen = self._seen.get(address)
        if seen is None or seen.start_ms != start_ms:
            seen = self._seen[address] = _Seen(start_ms, now_s)
        if len(self._seen) > _MAX_ADDRESSES:
            self._seen.pop(next(iter(self._seen)))
        return seen.since_s
