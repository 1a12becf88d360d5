"""Servers that want no further requests, by the heads of their answers.

Answers planned stops and full services: a server that leaves says so before the
platform's list does, and one that asks for a pause gets nothing until it is over,
neither requests nor loads, probes or reports.
"""

from __future__ import annotations

import math
from typing import NamedTuple, TypeVar

from wasabicross.gateway.backend import BackendServer
from wasabicross.runtime.events import Event
from wasabicross.runtime.logs import log_event

#: Longest pause that is kept; a longer one would outlast most servers.
_MAX_PAUSE_S = 3600.0

#: Starts of servers that are remembered.
_MAX_REMEMBERED = 4096


class ServerNotice(NamedTuple):
    """What an answer says of further requests.

    :param is_leaving: whether the server wants no new ones.
    :param pause_s: seconds for which it wants none, 0 if it doesn't say.
    """

    is_leaving: bool
    pause_s: float


_Note = TypeVar('_Note')

#: An answer that says nothing of further requests.
NO_NOTICE = ServerNotice(is_leaving=False, pause_s=0)


class _Start(NamedTuple):
    """One start of a server; a restart under the same id is another one."""

    server_id: str
    born_ms: int


class ServerNotices:
    """What servers said lately of further requests."""

    def __init__(self) -> None:
        self._leaving: dict[_Start, None] = {}
        self._paused_until_s: dict[_Start, float] = {}

    def on_notice(
        self, server: BackendServer, notice: ServerNotice, now_s: float
    ) -> None:
        """Take in what an answer said.

        :param server: the start of a server that answered.
        :param notice: what it said.
        :param now_s: the present time, monotonic seconds.
        """
        start = _start_of(server)
        if notice.is_leaving and start not in self._leaving:
            _remember(self._leaving, start, None)
            log_event(Event.SERVER_LEAVING, server=server.server_id)
        if notice.pause_s > 0:
            self._pause(start, notice.pause_s, now_s)

    def is_leaving(self, server: BackendServer) -> bool:
        """Tell whether a server has said that it leaves.

        :param server: one start of a server.
        """
        return _start_of(server) in self._leaving

    def paused_until_s(self, server: BackendServer) -> float:
        """Return when the pause of a server ends, monotonic seconds.

        :param server: one start of a server.
        """
        return self._paused_until_s.get(_start_of(server), -math.inf)

    def refuses_requests(self, server: BackendServer, now_s: float) -> bool:
        """Tell whether a server wants no requests at present.

        :param server: one start of a server.
        :param now_s: the present time, monotonic seconds.
        """
        return self.is_leaving(server) or now_s < self.paused_until_s(server)

    def _pause(self, start: _Start, pause_s: float, now_s: float) -> None:
        until_s = now_s + min(pause_s, _MAX_PAUSE_S)
        known_s = self._paused_until_s.pop(start, -math.inf)
        _remember(self._paused_until_s, start, max(known_s, until_s))
        if now_s >= known_s:
            log_event(
                Event.SERVER_PAUSED,
                server=start.server_id,
                for_s=round(until_s - now_s, 3),
            )


def _start_of(server: BackendServer) -> _Start:
    return _Start(server.server_id, server.born_ms)


def _remember(notes: dict[_Start, _Note], start: _Start, note: _Note) -> None:
    """Note something of a start; the oldest notes make room."""
    notes[start] = note
    if len(notes) > _MAX_REMEMBERED:
        notes.pop(next(iter(notes)))
