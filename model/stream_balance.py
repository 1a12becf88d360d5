"""Balance of servers when resumable streams keep to a version.

Compared are no versions, a division that has followed a replacement server by
server, and one that hasn't yet followed it.
"""

from __future__ import annotations

import heapq
import random
import sys

from wasabicross.gateway.stream_divisions import (
    BUCKETS,
    StreamDivision,
    first_division,
    next_division,
)

_SLOTS = 64
_SERVERS = 6
_LOAD = 0.6
_LENGTH_S = 2.5
_RUN_S = 60.0
_WARM_S = 10.0
_ADAPTERS = 3000
_WINDOW_S = 10.0


def settled(old: int, new: int) -> StreamDivision:
    """Return the division after a replacement server by server."""
    division = first_division(['v1'], 0)
    for count in range(new + 1):
        slots = {'v1': (old + new - count) * _SLOTS, 'v2': count * _SLOTS}
        for turn in range(3):
            division = next_division(division, slots, count * 100 + turn * 10)
    return division


class _Servers:
    """The requests that run on each server.

    :param old: servers of the first version.
    :param new: servers of the second one.
    :param chance: source of randomness.
    """

    def __init__(self, old: int, new: int, chance: random.Random) -> None:
        self._by_version = {
            'v1': range(old),
            'v2': range(old, old + new),
            '': range(old + new),
        }
        self._chance = chance
        self._running = [0 for _ in range(old + new)]
        self._ends: list[tuple[float, int]] = []

    def begin(self, version: str, now_s: float) -> None:
        """Run a request at the server with the fewest.

        :param version: its software version, empty for any.
        """
        while self._ends and self._ends[0][0] <= now_s:
            self._running[heapq.heappop(self._ends)[1]] -= 1
        server = min(self._by_version[version], key=self._rank)
        self._running[server] += 1
        end_s = now_s + self._chance.uniform(1, 2 * _LENGTH_S - 1)
        heapq.heappush(self._ends, (end_s, server))

    def greatest(self) -> int:
        """Return the requests of the server that runs most."""
        return max(self._running)

    def _rank(self, server: int) -> tuple[int, float]:
        return self._running[server], self._chance.random()


def greatest_load(
    old: int, new: int, division: StreamDivision | None, seed: int
) -> float:
    """Return the mean of the greatest load of a server, as a share of slots.

    :param old: servers of the first version.
    :param new: servers of the second one.
    :param division: the division of resumable streams, None if these go to
        any server.
    """
    chance = random.Random(seed)
    servers = _Servers(old, new, chance)
    rate = (old + new) * _SLOTS * _LOAD / _LENGTH_S
    loads = []
    now_s = float(0)
    while now_s < _RUN_S:
        now_s += chance.expovariate(rate)
        version = ''
        if division and chance.getrandbits(1):
            version = division.version_for(f'{chance.getrandbits(64):x}')
        servers.begin(version, now_s)
        if now_s > _WARM_S:
            loads.append(servers.greatest())
    return sum(loads) / len(loads) / _SLOTS


def adapter_places(
    division: StreamDivision | None, rate: float, seed: int
) -> float:
    """Return the places that the adapters of 10 s need at least.

    :param division: the division of resumable streams, None if these go to
        any server.
    :param rate: requests a second, half of them resumable.
    """
    chance = random.Random(seed)
    weights = [1 / (each + 1) for each in range(_ADAPTERS)]
    places = 0
    for _ in range(20):
        bound: dict[int, set[str]] = {}
        drawn = chance.choices(
            range(_ADAPTERS), weights, k=round(rate * _WINDOW_S)
        )
        for adapter in drawn:
            versions = bound.setdefault(adapter, set())
            is_resumable = chance.getrandbits(1)
            id_ = f'{chance.getrandbits(64):x}'
            if division and is_resumable:
                versions.add(division.version_for(id_))
        places += sum(max(1, len(each)) for each in bound.values())
    return places / 20


def print_balance(seed: int) -> None:
    """Print the greatest loads and the places for adapters."""
    for old in (5, 3, 1):
        new = _SERVERS - old
        division = settled(old, new)
        loads = [
            greatest_load(old, new, each, seed)
            for each in (None, division, first_division(['v1'], 0))
        ]
        sys.stdout.write(
            f'| {old}:{new} | {division.buckets.count("v1")} of {BUCKETS}'
            f' | {loads[0]:.2f} | {loads[1]:.2f} | {loads[2]:.2f}'
            f' | {adapter_places(None, 14, seed):.0f}'
            f' | {adapter_places(division, 14, seed):.0f} |\n'
        )
