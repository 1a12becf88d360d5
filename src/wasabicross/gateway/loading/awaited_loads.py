"""Adapters that requests wait for on one engine, ordered by urgency.

Where more adapters are requested than engines have slots, loads in order of
arrival would make all requests late. So loads whose requests can still meet
their target go first, and the others get the remaining slots.
"""

from __future__ import annotations

import asyncio
from collections.abc import Mapping
from typing import NamedTuple

from wasabicross.gateway.backend import AdapterKey
from wasabicross.gateway.orders import LoadRequest


class AwaitedLoad(NamedTuple):
    """An adapter that requests wait for.

    Times are monotonic seconds.

    :param version: oldest version that satisfies all of the requests.
    :param priority: rank of the most urgent of them, 0 is the highest.
    :param since_s: when the first of them arrived.
    :param until_s: when the last of them stops waiting.
    :param target_until_s: when the load must end for one of them to meet its
        target.
    :param waiters: receive the loaded version, 0 for none.
    :param prompt_tokens: length of their prompts together.
    """

    version: int
    priority: int
    since_s: float
    until_s: float
    target_until_s: float
    waiters: list[asyncio.Future[int]]
    prompt_tokens: int = 0

    def resolve(self, version: int) -> None:
        """Pass the result of the load to all waiting requests.

        :param version: the version that is loaded, 0 for none.
        """
        for fut in self.waiters:
            if not fut.done():
                fut.set_result(version)


class _Urgency(NamedTuple):
    """The sort key of loads, the lowest first."""

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

    def join(self, request: LoadRequest, now_s: float) -> asyncio.Future[int]:
        """Add a waiting request; return a future for the loaded version.

        :param request: what it waits for.
        :param now_s: the present time, monotonic seconds.
        """
        load = self._merged(request, now_s)
        self._loads[request.key] = load
        fut: asyncio.Future[int] = asyncio.get_running_loop().create_future()
        load.waiters.append(fut)
        return fut

    def take(self, key: AdapterKey) -> AwaitedLoad:
        """Remove and return the awaited load of an adapter."""
        return self._loads.pop(key)

    @property
    def prompt_tokens(self) -> int:
        """Return the prompt tokens of all waiting requests."""
        return sum(load.prompt_tokens for load in self._loads.values())

    def keys(self) -> tuple[AdapterKey, ...]:
        """Return the adapters that requests wait for."""
        return tuple(self._loads)

    def loaded(
        self, held: Mapping[AdapterKey, int]
    ) -> tuple[tuple[AdapterKey, int], ...]:
        """Return the awaited adapters that are loaded, with their versions.

        :param held: what the engine holds.
        """
        return tuple(
            (key, held[key])
            for key, load in self._loads.items()
            if held.get(key, 0) >= load.version
        )

    def expired(self, now_s: float) -> tuple[AdapterKey, ...]:
        """Return the adapters for which all requests have stopped waiting.

        :param now_s: the present time, monotonic seconds.
        """
        return tuple(
            key for key, load in self._loads.items() if now_s >= load.until_s
        )

    def by_urgency(
        self, ordered: frozenset[AdapterKey], ends_s: float
    ) -> list[AdapterKey]:
        """Return the adapters to order next, the most urgent first.

        :param ordered: adapters whose loads are ordered already.
        :param ends_s: when a load that is ordered now would end.
        """
        waiting = [key for key in self._loads if key not in ordered]
        return sorted(waiting, key=lambda key: self._urgency(key, ends_s))

    def count_ahead(
        self,
        request: LoadRequest,
        ordered: frozenset[AdapterKey],
        ends_s: float,
        now_s: float,
    ) -> int:
        """Count the loads that would be ordered before a new one.

        :param request: the request for the new one.
        :param ordered: adapters whose loads are ordered already.
        :param ends_s: when a load that is ordered now would end.
        :param now_s: the present time, monotonic seconds.
        """
        is_late = ends_s > now_s + request.target_wait_s
        urgency = _Urgency(request.priority, is_late, now_s)
        return sum(
            key not in ordered and self._urgency(key, ends_s) <= urgency
            for key in self._loads
        )

    def count_unordered(self, ordered: frozenset[AdapterKey]) -> int:
        """Count the adapters whose loads aren't ordered yet.

        :param ordered: adapters whose loads are ordered already.
        """
        return len(self._loads.keys() - ordered)

    def _urgency(self, key: AdapterKey, ends_s: float) -> _Urgency:
        load = self._loads[key]
        is_late = ends_s > load.target_until_s
        return _Urgency(load.priority, is_late, load.since_s)

    def _merged(self, request: LoadRequest, now_s: float) -> AwaitedLoad:
        until_s = now_s + request.max_wait_s
        target_until_s = now_s + request.target_wait_s
        awaited = self._loads.get(request.key)
        if awaited is None:
            return AwaitedLoad(
                request.version,
                request.priority,
                now_s,
                until_s,
                target_until_s,
                [],
                request.prompt_tokens,
            )
        return AwaitedLoad(
            max(request.version, awaited.version),
            min(request.priority, awaited.priority),
            awaited.since_s,
            max(until_s, awaited.until_s),
            max(target_until_s, awaited.target_until_s),
            awaited.waiters,
            awaited.prompt_tokens + request.prompt_tokens,
        )
