"""Stalls of a loader that knows all future calls, for comparison."""

import math
from collections.abc import Sequence

from emulator.arrivals import Arrival

LOADS_PER_S = 3.0
LOAD_S = 0.25


def stall_bound_s(arrivals: Sequence[Arrival], slots: int) -> float:
    """Return the total stall of one that always evicts what is used last.

    All slots are one cache, each load starts as early as the store's rate
    allows, and slots are free as soon as they are needed. So it stands for
    what no real loader reaches, though eviction by the farthest next use
    makes the fewest loads rather than the shortest stalls.

    :param arrivals: in order of time.
    :param slots: of all engines.
    """
    next_uses = _next_uses(arrivals)
    held: dict[int, float] = {}
    stall_s: float = 0
    loads = 0
    for arrival, next_use in zip(arrivals, next_uses, strict=True):
        if arrival.number not in held:
            loads += 1
            if len(held) >= slots:
                held.pop(max(held, key=held.__getitem__))
            done_s = (loads - 1) / LOADS_PER_S + LOAD_S
            stall_s += max(0, done_s - arrival.at_s)
        held[arrival.number] = next_use
    return stall_s


def _next_uses(arrivals: Sequence[Arrival]) -> list[float]:
    """Return for each arrival the index of the next of its adapter."""
    following: dict[int, float] = {}
    uses: list[float] = []
    for index in range(len(arrivals) - 1, -1, -1):
        number = arrivals[index].number
        uses.append(following.get(number, math.inf))
        following[number] = index
    uses.reverse()
    return uses
