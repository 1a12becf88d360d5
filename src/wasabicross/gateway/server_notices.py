"""Servers that refuse further requests, by the heads of their answers.

In a planned stop a server states that it is leaving before the platform's list
does. A full server asks for a pause, during which it is sent nothing: neither
requests nor loads, probes or calls for reports.
"""

from __future__ import annotations

import math
from typing import NamedTuple, TypeVar

from wasabicross.gateway.backend import BackendServer, Incarnation
from wasabicross.gateway.known_starts import FoundRestart, KnownStarts
from wasabicross.gateway.server_limits.request_limiter import RequestLimiter
from wasabicross.runtime.events import Event
from wasabicross.runtime.logs import log_event

#: Longest pause that is observed; a longer one would outlast most servers.
_MAX_PAUSE_S = 3600.0

#: A pause may have been asked for by the later start of a server if it was said
#: after that, or less than this before, as clocks may differ. That a server is
#: leaving was said by the later start if it was said as long after that.
_CLOCK_DIFFERENCE_S = 2.0

#: Most server incarnations that are stored.
_MAX_ENTRIES = 4096


class ServerNotice(NamedTuple):
    """What an answer states about further requests to its server.

    :param is_leaving: whether the server is leaving and takes no new ones.
    :param pause_s: seconds for which it takes none, 0 if not stated.
    """

    is_leaving: bool
    pause_s: float


class _Pause(NamedTuple):
    """A pause that a server has asked for.

    :param until_s: its end, monotonic seconds.
    :param said_s: when it was last asked for.
    """

    until_s: float
    said_s: float


_Value = TypeVar('_Value')

_NO_PAUSE = _Pause(-math.inf, -math.inf)

#: The notice of an answer that states nothing about further requests.
NO_NOTICE = ServerNotice(is_leaving=False, pause_s=0)


class ServerNotices:
    """Stores which servers are leaving or have asked for a pause."""

    def __init__(self) -> None:
        #: When servers stated that they are leaving.
        self._leaving: dict[Incarnation, float] = {}
        #: Which starts of servers run.
        self.starts = KnownStarts()
        #: Keeps requests within the limits that servers state.
        self.limiter = RequestLimiter(self.starts)
        self._pauses: dict[Incarnation, _Pause] = {}
        self.starts.follow(self._on_restart)

    def on_notice(
        self,
        server: BackendServer,
        notice: ServerNotice,
        now_s: float,
        sent_s: float = math.inf,
    ) -> None:
        """Record the notice in a server's answer.

        One that leaves says so in all its answers, so an answer that may be a
        former process's doesn't count for that.

        :param server: the server that answered.
        :param notice: what its answer states.
        :param now_s: the present time, monotonic seconds.
        :param sent_s: when its request was sent, monotonic seconds, infinite if
            it was answered at once.
        """
        incarnation = self.starts.incarnation(server)
        is_leaving = notice.is_leaving and sent_s >= self.starts.known_since_s(
            server
        )
        is_first = is_leaving and incarnation not in self._leaving
        if is_leaving:
            _store(self._leaving, incarnation, now_s)
        if is_first:
            log_event(Event.SERVER_LEAVING, server=server.server_id)
        if notice.pause_s > 0:
            self._extend_pause(incarnation, notice.pause_s, now_s)

    def is_leaving(self, server: BackendServer) -> bool:
        """Return whether a server has stated that it is leaving.

        :param server: the server.
        """
        return self.starts.incarnation(server) in self._leaving

    def paused_until_s(self, server: BackendServer) -> float:
        """Return when the pause of a server ends, monotonic seconds.

        :param server: the server.
        """
        incarnation = self.starts.incarnation(server)
        return self._pauses.get(incarnation, _NO_PAUSE).until_s

    def refuses_requests(self, server: BackendServer, now_s: float) -> bool:
        """Return whether a server takes no requests at present.

        :param server: the server.
        :param now_s: the present time, monotonic seconds.
        """
        return self.is_leaving(server) or now_s < self.paused_until_s(server)

    def _on_restart(self, found: FoundRestart) -> None:
        """Keep what the later start of a server has said itself."""
        pause = self._pauses.pop(found.former, _NO_PAUSE)
        if pause.said_s > found.started_s - _CLOCK_DIFFERENCE_S:
            _store(self._pauses, found.latest, pause)
        said_s = self._leaving.pop(found.former, -math.inf)
        if said_s > found.started_s + _CLOCK_DIFFERENCE_S:
            _store(self._leaving, found.latest, said_s)

    def _extend_pause(
        self, incarnation: Incarnation, pause_s: float, now_s: float
    ) -> None:
        until_s = now_s + min(pause_s, _MAX_PAUSE_S)
        current_s = self._pauses.pop(incarnation, _NO_PAUSE).until_s
        pause = _Pause(max(current_s, until_s), now_s)
        _store(self._pauses, incarnation, pause)
        if now_s >= current_s:
            log_event(
                Event.SERVER_PAUSED,
                server=incarnation.server_id,
                for_s=round(until_s - now_s, 3),
            )


def _store(
    entries: dict[Incarnation, _Value],
    incarnation: Incarnation,
    value: _Value,
) -> None:
    """Store a value for an incarnation; evict the oldest if there are many."""
    entries[incarnation] = value
    if len(entries) > _MAX_ENTRIES:
        entries.pop(next(iter(entries)))
