"""When the store may last have lost records that gateways had written.

A store that returns from an older copy loses records. A process that runs at
that time sees the era rise; one that starts afterwards doesn't, and can't tell
a record that was lost from one that was never written.
"""

from __future__ import annotations

import math
from typing import NamedTuple

from wasabicross.gateway.view import FleetView

#: Longest time from the start of a process to its first read of the store in
#: which no process that started with it can have claimed a group.
MAX_FIRST_READ_S = 1.0


class ProcessStart(NamedTuple):
    """The start of this process.

    :param at_s: time of the start, monotonic seconds.
    :param is_first: whether the settings say that the whole deployment starts
        for the first time.
    """

    at_s: float
    is_first: bool


def last_loss_s(view: FleetView, start: ProcessStart) -> float:
    """Return the latest time at which the store may have lost a record.

    It is infinitely early if no record can be lost that this process hasn't
    read: if the store has never returned from a copy, or if this process read
    it before any gateway can have written to it.

    :param view: the content of the store as last read.
    :param start: the start of this process.
    """
    if not view.era or _began_with_deployment(view, start):
        return view.restored_s
    return view.era_known_s


def _began_with_deployment(view: FleetView, start: ProcessStart) -> bool:
    """Return whether this process read the store before any gateway wrote.

    The settings of a machine that is added may still speak of a first start;
    adapters that servers hold show that other gateways ran before, as servers
    start without any.
    """
    if view.restored_s > -math.inf or not start.is_first:
        return False
    if view.era_known_s - start.at_s > MAX_FIRST_READ_S:
        return False
    return not any(each.held for each in view.servers.values())
