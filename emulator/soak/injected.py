"""What an injector records of the faults of a run."""

from __future__ import annotations

from typing import NamedTuple


class InjectedFault(NamedTuple):
    """A fault that was injected.

    :param kind: one of those of the schedule, or `gateway_busy` or
        `engines_renew_unheard`, which only a schedule from a file holds.
    :param target: name of its process, empty for all gateways, the store and
        changes by the operator.
    :param from_s: when it began, monotonic seconds.
    :param until_s: when it ended, monotonic seconds.
    """

    kind: str
    target: str
    from_s: float
    until_s: float

    def overlaps(self, from_s: float, until_s: float) -> bool:
        """Tell whether it was active at any time of an interval.

        :param from_s: start of the interval, monotonic seconds.
        :param until_s: end of the interval, monotonic seconds.
        """
        return self.from_s <= until_s and self.until_s >= from_s


class GatewayStop(NamedTuple):
    """How a gateway ended on SIGTERM.

    :param exit_code: exit code, negative if a signal ended it.
    :param took_s: seconds from SIGTERM to its end.
    :param accepted_callers: whether it accepted callers at SIGTERM; before that
        a process may not have installed its signal handler.
    """

    gateway: str
    exit_code: int
    took_s: float
    accepted_callers: bool


class PublishedVersion(NamedTuple):
    """A version of an adapter that the operator has put in force.

    :param at_s: when the store acknowledged it, monotonic seconds.
    """

    adapter: str
    version: int
    at_s: float
