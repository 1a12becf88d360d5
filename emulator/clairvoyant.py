"""The stall of a loader that knows all future calls, for comparison."""

import math
from collections.abc import Sequence

from emulator.arrivals import Arrival

LOADS_PER_S = 3.0
LOAD_S = 0.25


def stall_bound_s(arrivals: Sequence[Arrival], slots: int) -> float:
    """Return the total stall if the adapter with the latest next use is evicted.

    All slots form one cache, each load starts as early as the store's rate
    allows, and evictions take no time. No real loader can reach this, although
    evicting by the latest next use minimises the number of loads rather than
    the stalls.

    :param arrivals: arrivals in order of time.
    :param slots: number of slots of all engines together.
    """
    next_uses = _next_uses(arrivals)
    loaded: dict[int, float] = {}
    stall_s: float = 0
    loads = 0
    for arrival, next_use in zip(arrivals, next_uses, strict=True):
        if arrival.number not in loaded:
            loads += 1
            if len(loaded) >= slots:
                loaded.pop(max(loaded, key=loaded.__getitem__))
            done_s = (loads - 1) / LOADS_PER_S + LOAD_S
            stall_s += max(0, done_s - arrival.at_s)
        loaded[arrival.number] = next_use
    return stall_s


def _next_uses(arrivals: Sequence[Arrival]) -> list[float]:
    """Return for each arrival the index of the next one of its adapter."""
    following: dict[int, float] = {}
    next_uses: list[float] = []
    for index in range(len(arrivals) - 1, -1, -1):
        number = arrivals[index].number
        next_uses.append(following.get(number, math.inf))
        following[number] = index
    next_uses.reverse()
    return next_uses
