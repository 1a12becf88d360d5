"""Crashes of servers, and what may have caused them."""

from __future__ import annotations

from collections.abc import Iterable
from typing import NamedTuple

from wasabicross.gateway.conviction_records import CrashKey
from wasabicross.gateway.crashes.request_digest import is_request_digest


class Crash(NamedTuple):
    """A crash of a server, and its possible causes.

    :param at_s: time of the crash, monotonic seconds.
    :param causes: those of the requests that it may just have begun.
    """

    key: CrashKey
    at_s: float
    causes: frozenset[str]


def by_weight(causes: Iterable[str]) -> list[str]:
    """Return causes with whole requests first, which are kept before parts.

    :param causes: possible causes of one crash.
    """
    return sorted(causes, key=lambda each: (not is_request_digest(each), each))
