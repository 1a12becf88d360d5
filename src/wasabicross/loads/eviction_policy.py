"""Chooses the load to evict if all slots of a server are in use."""

from __future__ import annotations

from collections.abc import Sequence
from typing import NamedTuple

from wasabicross.loads.popularity import Popularity
from wasabicross.servers.policy import Weights


class Load(NamedTuple):
    """A load in one slot of a server.

    :param load_name: name of the load.
    :param adapter: name of its adapter.
    :param running: number of requests known to run on it.
    :param loaded_at_s: monotonic time at which it was loaded.
    :param copies: number of loads of the same adapter version in the data
        centre.
    """

    load_name: str
    adapter: str
    running: int
    loaded_at_s: float
    copies: int = 1


def choose_victim(
    loads: Sequence[Load],
    now_s: float,
    popularity: Popularity,
    weights: Weights,
    displacing: str = '',
) -> Load | None:
    """Choose the load to evict, None if all are worth keeping.

    Loads that run a request or are younger than the minimum residence time are
    kept. Of the others, the one with the lowest decayed rate per copy is
    chosen.

    :param loads: the loads in the slots.
    :param now_s: present time, monotonic seconds.
    :param popularity: request rates of the adapters.
    :param weights: weights of the routing policy.
    :param displacing: name of the adapter that would take the slot without a
        waiting request, as a prefetch or further copy; empty if requests wait.
        Both its rate and its sustained rate must exceed the rate of the victim
        by `displace_margin`, so that a burst does not displace an adapter in
        use.
    """
    idle = [
        load
        for load in loads
        if not load.running
        and now_s - load.loaded_at_s >= weights.min_resident_s
    ]
    if not idle:
        return None
    victim = min(idle, key=lambda load: _rate_per_copy(load, now_s, popularity))
    if displacing:
        victim_rate = _rate_per_copy(victim, now_s, popularity)
        new_rate = min(
            popularity.rate(displacing, now_s),
            popularity.sustained_rate(displacing, now_s),
        )
        if new_rate <= victim_rate * weights.displace_margin:
            return None
    return victim


def _rate_per_copy(load: Load, now_s: float, popularity: Popularity) -> float:
    return popularity.rate(load.adapter, now_s) / max(1, load.copies)
