"""What is known of interrupted streams that callers take up again."""

from __future__ import annotations

import enum
import math
from collections.abc import Sequence
from typing import NamedTuple

from wasabicross.gateway.configuration import Route
from wasabicross.gateway.dialect import RequestInfo
from wasabicross.gateway.placement import NoServer
from wasabicross.gateway.stream_divisions import (
    StreamDivision,
    longest_age_s,
)

#: Longest time from the begin of a caller's attempt until its request is sent, as
#: callers wait so long for a connection, seconds.
_MAX_SENDING_S = 1.0

#: Why a stream can't go on whose version has left; nothing that its caller does
#: soon will change that.
NO_SERVER_OF_VERSION = NoServer('no server of its version', retry_after_s=60.0)


class Knowledge(enum.Enum):
    """How the software version of an interrupted stream is known.

    `division`: by the division of streams among versions. `only_version`: its
    service has no other. `memory`: a gateway remembers what began it.
    `version_unknown`: several versions may have begun it. `too_old`: others may
    know of a version that this gateway doesn't, as the store hasn't confirmed
    the division since the take-up was asked for. `unconfirmed`: the same where
    this gateway knows one version only. `owners`: the other owners of engines
    know no other version either.
    """

    division = 'division'
    only_version = 'only version'
    memory = 'memory'
    version_unknown = 'version unknown'
    too_old = 'knowledge too old'
    unconfirmed = 'version unconfirmed'
    owners = 'owners'


#: Ends as soon as the store confirms the division.
_UNTIL_CONFIRMED = frozenset((Knowledge.too_old, Knowledge.unconfirmed))

#: Why a stream isn't sent to any server: the entries of those that could run it
#: are of former starts.
VERSION_UNPROVED = NoServer('version unproved', retry_after_s=1.0)

#: Why a stream isn't taken up, by what is known of its version.
TAKE_UP_REFUSALS = {
    Knowledge.version_unknown: NoServer(
        Knowledge.version_unknown.value, retry_after_s=60.0
    ),
    Knowledge.too_old: NoServer(Knowledge.too_old.value, retry_after_s=1.0),
    Knowledge.unconfirmed: NoServer(
        Knowledge.unconfirmed.value, retry_after_s=1.0
    ),
}

#: Why a stream isn't sent; other requests have no influence on that.
LASTING_REFUSALS = (
    NO_SERVER_OF_VERSION,
    VERSION_UNPROVED,
    *TAKE_UP_REFUSALS.values(),
)


class TakeUp(NamedTuple):
    """What is known of an interrupted stream that a caller takes up again.

    :param version: the software version that began it, None if not known.
    :param known_by: how it is known, or why it isn't.
    :param possible: all versions that may have begun it.
    :param within_s: longest time since it began, seconds; infinite if it isn't
        known.
    """

    version: str | None
    known_by: Knowledge
    possible: frozenset[str] = frozenset()
    within_s: float = math.inf

    @property
    def refusal(self) -> NoServer | None:
        """Return why the stream can't go on, None if it can."""
        return TAKE_UP_REFUSALS.get(self.known_by)

    @property
    def is_unconfirmed(self) -> bool:
        """Return whether the store's next answer tells the version."""
        return self.known_by in _UNTIL_CONFIRMED and bool(self.possible)


def is_take_up(route: Route, info: RequestInfo) -> bool:
    """Return whether a request takes up an interrupted stream.

    :param route: its route.
    :param info: what it states.
    """
    return route.is_resumable and bool(info.last_event_id)


def service_of(route: Route, info: RequestInfo) -> str:
    """Return the service of a request, for a take-up the one that began it.

    :param route: its route.
    :param info: what it states.
    """
    if info.resumes and is_take_up(route, info):
        return route.service_for(info.resumes)
    return route.service_for(info.request_id)


def with_memory(take_up: TakeUp, remembered: str | None) -> TakeUp:
    """Return what is known of a stream whose version the division didn't tell.

    :param take_up: what is known without the memory.
    :param remembered: the version that began it by the memory of a gateway,
        None if none has it.
    """
    if remembered is None:
        return take_up
    is_recent = take_up.known_by is not Knowledge.too_old
    if (
        is_recent or take_up.is_unconfirmed
    ) and remembered not in take_up.possible:
        return take_up
    return take_up._replace(version=remembered, known_by=Knowledge.memory)


def take_up_of(possible: frozenset[str], known_by: Knowledge) -> TakeUp:
    """Return what is known of a stream by the versions that may have begun it.

    :param possible: these versions.
    :param known_by: how they are known.
    """
    if len(possible) == 1:
        return TakeUp(next(iter(possible)), known_by, possible)
    return TakeUp(None, Knowledge.version_unknown, possible)


def longest_wait_s(
    whole_limits_s: Sequence[float],
    division: StreamDivision,
    info: RequestInfo,
) -> float:
    """Return how long at most a caller has been waiting, seconds.

    Callers may state their whole limit at each attempt, so one that states
    about a whole limit may have been waiting for as long as any.

    :param whole_limits_s: the limits that callers of the route have, seconds,
        longest first.
    :param division: the division of its service.
    :param info: what the request states.
    """
    if info.time_left_s is None:
        return math.inf
    longest_s = whole_limits_s[0]
    if info.is_forwarded or _may_be_whole(info.time_left_s, whole_limits_s):
        return longest_age_s(max(longest_s, division.time_limit_s))
    return longest_s - info.time_left_s


def _may_be_whole(time_left_s: float, whole_limits_s: Sequence[float]) -> bool:
    """Return whether a stated limit may be a whole one."""
    return time_left_s > whole_limits_s[0] or any(
        0 <= limit_s - time_left_s <= _MAX_SENDING_S
        for limit_s in whole_limits_s
    )
