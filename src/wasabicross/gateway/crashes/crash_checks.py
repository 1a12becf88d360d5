"""Checks whether servers that broke answers off have crashed."""

from __future__ import annotations

import asyncio
import contextlib
import math
from typing import NamedTuple

from wasabicross.gateway.conviction_records import CrashKey

#: Pause before a second connection that tells whether a server has ended.
RETRY_PAUSE_S = 0.08

#: Longest wait until a server that broke an answer off has refused a connection
#: or not. A request is sent to another server then; its crash, if it is found
#: later, still counts.
_MAX_CHECK_WAIT_S = 0.05

#: Most servers whose last check, and whose last crash, is remembered.
_MAX_CHECKS = 1024


class Suspect(NamedTuple):
    """A request whose answer ended with its server, or never began."""

    request_id: str
    since_start_s: float
    causes: tuple[str, ...]


class CrashCheck:
    """Whether one incarnation of a server has ended.

    :param key: the incarnation.
    :param at_s: when an answer was broken off, monotonic seconds.
    """

    def __init__(self, key: CrashKey, at_s: float) -> None:
        self.key = key
        self.at_s = at_s
        self.suspects: list[Suspect] = []
        self.has_crashed = False
        self.ended_s = math.inf
        #: Set once the server has refused the first connection or not, and once
        #: nothing more will be found.
        self.is_answered = asyncio.Event()
        self.is_done = asyncio.Event()

    def finish(self, now_s: float) -> None:
        """Record that nothing more will be found.

        :param now_s: the present time, monotonic seconds.
        """
        self.ended_s = now_s
        self.is_answered.set()
        self.is_done.set()

    async def wait(self) -> None:
        """Wait for what the next connection tells, but not for long."""
        expected, wait_s = self.is_answered, _MAX_CHECK_WAIT_S
        if expected.is_set():
            expected, wait_s = self.is_done, wait_s + RETRY_PAUSE_S
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(wait_s):
                await expected.wait()


class CrashChecks:
    """The last check of each server, and the last that found a crash."""

    def __init__(self) -> None:
        self._last: dict[CrashKey, CrashCheck] = {}
        self._crashed: dict[CrashKey, CrashCheck] = {}

    def find(
        self, key: CrashKey, begun_s: float, since_s: float
    ) -> CrashCheck | None:
        """Return a check that tells of an answer that broke off.

        An attempt that began after a crash had been found was at a process that
        has started since, though it may be listed as the former one.

        :param key: its server.
        :param begun_s: when its attempt began, monotonic seconds.
        :param since_s: from when on a check that found no crash still tells.
        """
        crashed = self._crashed.get(key)
        if crashed is not None and begun_s <= crashed.ended_s:
            return crashed
        last = self._last.get(key)
        if last is None or last.has_crashed or last.ended_s <= since_s:
            return None
        return last

    def add(self, check: CrashCheck) -> None:
        """Remember a check that begins.

        :param check: the check.
        """
        _store(self._last, check)

    def on_crashed(self, check: CrashCheck) -> None:
        """Remember that a check has found a crash.

        :param check: the check.
        """
        check.has_crashed = True
        _store(self._crashed, check)


def _store(checks: dict[CrashKey, CrashCheck], check: CrashCheck) -> None:
    """Store a check; evict the oldest if there are many."""
    checks.pop(check.key, None)
    checks[check.key] = check
    if len(checks) > _MAX_CHECKS:
        checks.pop(next(iter(checks)))
