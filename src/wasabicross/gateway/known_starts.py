"""Which start of each server runs, as far as a gateway knows.

An entry of the store is an older word: a server that has started again under its
id may be listed as its former start for seconds, or for minutes while the store
is away. Its owner sees the later start in its reports.
"""

from __future__ import annotations

import math
import time
from collections.abc import Callable
from typing import NamedTuple, TypeAlias

from wasabicross.gateway.backend import BackendServer, Incarnation

_MS_PER_S = 1000

#: Most servers of which it is remembered when their start became known.
_MAX_SERVERS = 4096


class FoundRestart(NamedTuple):
    """A later start of a server that this gateway has just learned of.

    :param former: the run that it knew before.
    :param latest: the later one.
    :param started_s: when that started, monotonic seconds, by the server's
        clock, which may differ.
    """

    former: Incarnation
    latest: Incarnation
    started_s: float


Follower: TypeAlias = Callable[[FoundRestart], None]


class KnownStarts:
    """The latest start of each server that is known, listed or not.

    :param unix_s: returns the present time, Unix seconds.
    """

    def __init__(self, unix_s: Callable[[], float] = time.time) -> None:
        self._unix_s = unix_s
        self._later_ms: dict[str, int] = {}
        #: When later starts became known, monotonic seconds.
        self._found_s: dict[str, float] = {}
        self._followers: list[Follower] = []

    def follow(self, follower: Follower) -> None:
        """Have each later start told that this gateway learns of.

        :param follower: is told.
        """
        self._followers.append(follower)

    def incarnation(self, server: BackendServer) -> Incarnation:
        """Return the run of a server that is the latest known.

        :param server: the server, as it is or was listed.
        """
        later_ms = self._later_ms.get(server.server_id, 0)
        start_ms = max(server.start_ms, later_ms)
        return Incarnation(server.server_id, start_ms)

    def running(self, server: BackendServer) -> BackendServer:
        """Return a server without the state of a start that has ended.

        :param server: the server, as it is listed.
        """
        if self.incarnation(server).start_ms > server.start_ms:
            return server._replace(is_leaving=False)
        return server

    def known_since_s(self, server: BackendServer) -> float:
        """Return since when the start that runs is known, monotonic seconds.

        :param server: the server.
        """
        return self._found_s.get(server.server_id, -math.inf)

    def on_found(
        self, server: BackendServer, start_ms: int, now_s: float
    ) -> None:
        """Record the start of the process that runs.

        :param server: its server, as it is listed.
        :param start_ms: the start that it has reported, Unix milliseconds.
        :param now_s: the present time, monotonic seconds.
        """
        former = self.incarnation(server)
        # Where the entry names no start, nothing is known by starts.
        if 0 < server.start_ms and former.start_ms < start_ms:
            self._later_ms[server.server_id] = start_ms
            self._tell(former, self.incarnation(server), now_s)

    def on_listed(
        self, known: BackendServer, server: BackendServer, now_s: float
    ) -> None:
        """Record that the entry of another run of a server has come.

        :param known: the server, as it was listed.
        :param server: the server, as it is listed now.
        :param now_s: the present time, monotonic seconds.
        """
        former = self.incarnation(known)
        self.forget(server.server_id)
        latest = self.incarnation(server)
        if 0 < former.start_ms < latest.start_ms:
            self._tell(former, latest, now_s)

    def forget(self, server_id: str) -> None:
        """Forget a server that is gone.

        :param server_id: its id.
        """
        self._later_ms.pop(server_id, None)

    def _tell(
        self, former: Incarnation, latest: Incarnation, now_s: float
    ) -> None:
        self._found_s.pop(latest.server_id, None)
        self._found_s[latest.server_id] = now_s
        if len(self._found_s) > _MAX_SERVERS:
            self._found_s.pop(next(iter(self._found_s)))
        age_s = self._unix_s() - latest.start_ms / _MS_PER_S
        found = FoundRestart(former, latest, now_s - age_s)
        for follower in self._followers:
            follower(found)
