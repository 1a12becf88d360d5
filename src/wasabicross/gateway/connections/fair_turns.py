"""Turns of a connection's reader, after which other tasks go on.

Reading doesn't give way by itself while bytes have already arrived, and a peer can
put much work into few bytes: each chunk of a body takes as long as a large one.
"""

from __future__ import annotations

import asyncio

#: Most events of the HTTP codec that a reader takes without a pause. They take
#: about a millisecond.
MAX_TURN_EVENTS = 128

#: First pause after a full turn. It doubles while the peer keeps sending faster.
_FIRST_PAUSE_S = 0.005
_MAX_PAUSE_S = 0.08


class FairTurns:
    """The turns of one reader; it counts each event that it takes."""

    def __init__(self) -> None:
        self._events = 0
        self._full_turns = 0

    @property
    def has_room(self) -> bool:
        """Return whether a further event belongs to the present turn."""
        return self._events < MAX_TURN_EVENTS

    def count(self) -> None:
        """Count an event of the present turn."""
        self._events += 1

    async def give_way(self) -> None:
        """End the present turn, which is full, and let other tasks run."""
        self._events = 0
        self._full_turns += 1
        await asyncio.sleep(pause_s(self._full_turns))

    def on_waited(self) -> None:
        """Begin anew, as the reader has waited for its peer."""
        self._events = 0
        self._full_turns = 0


def pause_s(full_turns: int) -> float:
    """Return how long a reader gives way after some full turns in a row.

    :param full_turns: number of these turns, at least 1.
    """
    doublings = min(full_turns - 1, 10)
    doubled_s: float = _FIRST_PAUSE_S * 2**doublings
    return min(_MAX_PAUSE_S, doubled_s)
