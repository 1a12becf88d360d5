"""Adapters that requests wait for on one engine.

Answers days on which more adapters are asked for than engines have slots: in the
order of arrival all requests would wait until they are late. Those that can still
be on time go first, and the others have what is left.
"""

from __future__ import annotations

import asyncio
from collections.abc import Mapping
from typing import NamedTuple

from wasabicross.gateway.backend import AdapterKey
from wasabicross.gateway.orders import LoadRequest


class AwaitedLoad(NamedTuple):
    """An adapter that requests wait for.

    :param version: oldest version that will do.
    :param priority: rank of the most urgent of them, 0 is the first.
    :param since_s: when the first of them came.
    :param until_s: when the last of them has stopped waiting.
    :param in_time_until_s: when a load has to end for one of them to be on time.
    """

    version: int
    priority: int
    since_s: float
    until_s: float
    in_time_until_s: float
    waiters: list[asyncio.Future[int]]

    def resolve(self, version: int) -> None:
        """Tell all that wait.

        :param version: the version that is loaded, 0 for none.
        """
        for fut in self.waiters:
            if not fut.done():
                fut.set_result(version)


class _Urgency(NamedTuple):
    """What loads are ordered by, the lowest first."""

    priority: int
    is_late: bool
    since_s: float


class AwaitedLoads:
    """All adapters that requests wait for on one engine."""

    def __init__(self) -> None:
        self._loads: dict[AdapterKey, AwaitedLoad] = {}

    def __len__(self) -> int:
        return len(self._loads)

    def __contains__(self, key: object) -> bool:
        return key in self._loads

    def join(self, wanted: LoadRequest, now_s: float) -> asyncio.Future[int]:
        """Let a request wait; return what will tell the version.

        :param wanted: what it waits for.
        :param now_s: the present time.
        """
        load = self._joined(wanted, now_s)
        self._loads[wanted.key] = load
        fut: asyncio.Future[int] = asyncio.get_running_loop().create_future()
        load.waiters.append(fut)
        return fut

    def take(self, key: AdapterKey) -> AwaitedLoad:
        """Return and forget what waits for an adapter."""
        return self._loads.pop(key)

    def keys(self) -> tuple[AdapterKey, ...]:
        """Return the adapters that are waited for."""
        return tuple(self._loads)

    def loaded(
        self, held: Mapping[AdapterKey, int]
    ) -> tuple[tuple[AdapterKey, int], ...]:
        """Return the adapters that are there, with their versions.

        :param held: what the engine holds.
        """
        return tuple(
            (key, held[key])
            for key, load in self._loads.items()
            if held.get(key, 0) >= load.version
        )

    def expired(self, now_s: float) -> tuple[AdapterKey, ...]:
        """Return the adapters that nobody waits for any longer.

        :param now_s: the present time.
        """
        return tuple(
            key for key, load in self._loads.items() if now_s >= load.until_s
        )

    def by_urgency(
        self, under_way: frozenset[AdapterKey], ends_s: float
    ) -> list[AdapterKey]:
        """Return the adapters to order next, the most urgent first.

        :param under_way: those that are ordered already.
        :param ends_s: when a load that is ordered now ends.
        """
        waiting = [key for key in self._loads if key not in under_way]
        return sorted(waiting, key=lambda key: self._urgency(key, ends_s))

    def count_ahead(
        self,
        wanted: LoadRequest,
        under_way: frozenset[AdapterKey],
        ends_s: float,
        now_s: float,
    ) -> int:
        """Count the loads that would be ordered before another one.

        :param wanted: the other one.
        :param under_way: those that are ordered already.
        :param ends_s: when a load that is ordered now ends.
        :param now_s: the present time.
        """
        is_late = ends_s > now_s + wanted.in_time_s
        urgency = _Urgency(wanted.priority, is_late, now_s)
        return sum(
            key not in under_way and self._urgency(key, ends_s) <= urgency
            for key in self._loads
        )

    def count_unordered(self, under_way: frozenset[AdapterKey]) -> int:
        """Count the adapters that are not ordered yet.

        :param under_way: those that are ordered already.
        """
        return len(self._loads.keys() - under_way)

    def _urgency(self, key: AdapterKey, ends_s: float) -> _Urgency:
        load = self._loads[key]
        is_late = ends_s > load.in_time_until_s
        return _Urgency(load.priority, is_late, load.since_s)

    def _joined(self, wanted: LoadRequest, now_s: float) -> AwaitedLoad:
        until_s = now_s + wanted.patience_s
        in_time_until_s = now_s + wanted.in_time_s
        known = self._loads.get(wanted.key)
        if known is None:
            return AwaitedLoad(
                wanted.version,
                wanted.priority,
                now_s,
                until_s,
                in_time_until_s,
                [],
            )
        return AwaitedLoad(
            max(wanted.version, known.version),
            min(wanted.priority, known.priority),
            known.since_s,
            max(until_s, known.until_s),
            max(in_time_until_s, known.in_time_until_s),
            known.waiters,
        )
