"""Exponential backoff for loads that have failed."""

from __future__ import annotations

from collections.abc import Hashable, Sequence
from typing import NamedTuple

_FIRST_DELAY_S = 0.5

_MAX_DELAY_S = 30.0

#: Seconds after the last failure of a load after which its failures are
#: forgotten.
_FORGET_S = 300.0

_MAX_DOUBLINGS = 8


class _Failures(NamedTuple):
    """Failed attempts of one load.

    :param servers: ids of the servers where it failed, the latest last.
    :param last_s: monotonic time of the last failure.
    :param ready_s: monotonic time from which it may be tried again.
    """

    attempts: int
    servers: tuple[str, ...]
    last_s: float
    ready_s: float


class LoadBackoff:
    """Delays the retries of a failed load and tries other servers first.

    :param first_delay_s: delay in seconds after the first failure; each further
        failure doubles it.
    :param max_delay_s: maximum delay in seconds.
    :param max_loads: maximum number of failed loads that are remembered.
    """

    def __init__(
        self,
        first_delay_s: float = _FIRST_DELAY_S,
        max_delay_s: float = _MAX_DELAY_S,
        max_loads: int = 4096,
    ) -> None:
        self._first_delay_s = first_delay_s
        self._max_delay_s = max_delay_s
        self._max_loads = max_loads
        self._failures: dict[Hashable, _Failures] = {}

    def add_failure(self, key: Hashable, server_id: str, now_s: float) -> None:
        """Record a load that failed on a server.

        :param key: identifies the load.
        :param server_id: id of the server.
        :param now_s: present time, monotonic seconds.
        """
        known = self._failures.pop(key, None)
        if known is None or now_s - known.last_s > _FORGET_S:
            known = _Failures(0, (), now_s, now_s)
        doublings = min(known.attempts, _MAX_DOUBLINGS)
        delay_s = min(self._max_delay_s, self._first_delay_s * 2**doublings)
        others = tuple(each for each in known.servers if each != server_id)
        if len(self._failures) >= self._max_loads:
            self._failures.pop(next(iter(self._failures)))
        self._failures[key] = _Failures(
            known.attempts + 1,
            (*others, server_id),
            now_s,
            now_s + delay_s,
        )

    def forget(self, key: Hashable) -> None:
        """Forget the failures of a load that has succeeded.

        :param key: identifies the load.
        """
        self._failures.pop(key, None)

    def is_ready(self, key: Hashable, now_s: float) -> bool:
        """Return whether the load may be tried now.

        :param key: identifies the load.
        :param now_s: present time, monotonic seconds.
        """
        known = self._failures.get(key)
        return known is None or now_s >= known.ready_s

    def order(
        self,
        key: Hashable,
        servers: Sequence[str],
    ) -> tuple[str, ...]:
        """Order servers so that those where the load failed come last.

        The server of the latest failure is at the end.

        :param key: identifies the load.
        :param servers: ids of the servers.
        """
        known = self._failures.get(key)
        failed = known.servers if known else ()
        return tuple(
            sorted(
                servers,
                key=lambda each: failed.index(each) if each in failed else -1,
            ),
        )
