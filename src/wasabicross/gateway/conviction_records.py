"""Convictions as stored for all gateways, which outlast their restarts.

A record states ages instead of times, since clocks of machines differ and jump.
"""

from __future__ import annotations

from typing import NamedTuple

#: Most crashes that gateways keep, and most causes of each.
MAX_CRASHES = 128
MAX_CAUSES = 64

#: Most causes in a record that are no longer convicted.
MAX_ACQUITTED = 64


class CrashKey(NamedTuple):
    """One incarnation of a server that crashed.

    :param start_ms: start time of the server, Unix milliseconds.
    """

    server_id: str
    start_ms: int


class StoredCrash(NamedTuple):
    """A crash in a record.

    :param age_s: least time since the crash, seconds.
    :param causes: the convicted ones among its possible causes.
    """

    key: CrashKey
    age_s: float
    causes: frozenset[str]


class StoredAcquittal(NamedTuple):
    """A cause that was convicted once.

    :param age_s: least time since it ran soundly, seconds.
    """

    cause: str
    age_s: float


class StoredConvictions(NamedTuple):
    """The content of the record.

    :param crashes: the crashes that convict something.
    :param acquitted: causes that aren't convicted any longer.
    """

    crashes: tuple[StoredCrash, ...] = ()
    acquitted: tuple[StoredAcquittal, ...] = ()

    def convictions(self) -> frozenset[tuple[CrashKey, str]]:
        """Return which crash counts against which cause."""
        return frozenset(
            (each.key, cause) for each in self.crashes for cause in each.causes
        )


class ConvictionRecord(NamedTuple):
    """The record as last read from the store.

    :param stored: its content, None if that is unreadable.
    :param revision: position that the record has; one with revision 0 if it
        doesn't exist.
    """

    stored: StoredConvictions | None
    revision: int
