"""When a gateway that stops does what."""

from __future__ import annotations

from typing import NamedTuple, Self

#: Longest time in which new callers are still served, until the platform has
#: noticed that this gateway isn't ready and sends none; and as a share of the
#: time to stop.
_MAX_NOTICE_S = 2.4
_NOTICE_SHARE = 0.3

#: Share of the time to stop after which no request is sent to its first server.
#: One that is refused can go to another gateway in time.
_LAST_SEND_SHARE = 5 / 6

#: Longest time before the process would be killed at which it ends what is
#: under way; and as a share of the time to stop.
_MAX_MARGIN_S = 0.6
_MARGIN_SHARE = 1 / 8

#: Longest time for the last answers, and for releasing the owned groups, as
#: shares of that margin.
_ANSWERS_SHARE = 0.2
_RELEASE_SHARE = 0.5

#: How often the phases are checked.
_MAX_CHECK_INTERVAL_S = 0.1
_CHECKS = 40


class StopPhases(NamedTuple):
    """When a gateway that stops does what, seconds after the stop began.

    :param refuse_s: from when on it takes no new request.
    :param last_send_s: from when on it sends no request to its first server.
    :param end_s: when it ends what is under way.
    :param answers_s: longest time for the answers to that, seconds.
    :param release_s: longest time for releasing the owned groups, seconds.
    :param check_interval_s: how often to check what is under way, seconds.
    """

    refuse_s: float
    last_send_s: float
    end_s: float
    answers_s: float
    release_s: float
    check_interval_s: float

    @classmethod
    def from_grace(cls, grace_s: float) -> Self:
        """Return the phases of a stop.

        :param grace_s: time until the process is killed, seconds.
        """
        margin_s = min(_MAX_MARGIN_S, grace_s * _MARGIN_SHARE)
        return cls(
            min(_MAX_NOTICE_S, grace_s * _NOTICE_SHARE),
            grace_s * _LAST_SEND_SHARE,
            grace_s - margin_s,
            margin_s * _ANSWERS_SHARE,
            margin_s * _RELEASE_SHARE,
            min(_MAX_CHECK_INTERVAL_S, grace_s / _CHECKS),
        )
