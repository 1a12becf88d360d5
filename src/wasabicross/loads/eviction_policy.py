"""Which load gives way where all slots of a server are taken."""

from __future__ import annotations

from collections.abc import Sequence
from typing import NamedTuple

from wasabicross.loads.popularity import Popularity
from wasabicross.servers.policy import Weights


class Load(NamedTuple):
    """A load in one slot of a server.

    :param running: requests known to be running on it.
    :param loaded_at_s: monotonic time at which it was loaded.
    :param copies: loads of the same adapter version in the data centre.
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
    """Choose the load to evict, or none where each is better kept.

    Loads that run a request or are new are kept. Of the others goes the one
    with the lowest decayed rate for each copy.

    :param loads: what the slots hold.
    :param now_s: monotonic time in seconds.
    :param popularity: the rates of the adapters.
    :param weights: of the routing policy.
    :param displacing: adapter that would take the slot without a waiting
        request, as a prefetch or further copy. Its sustained rate must exceed
        the victim's clearly, so that no burst displaces an adapter in use.
    """
    idle = [
        load
        for load in loads
        if not load.running
        and now_s - load.loaded_at_s >= weights.min_resident_s
    ]
    if not idle:
        return None
    victim = min(idle, key=lambda load: _retention(load, now_s, popularity))
    if displacing:
        kept_rate = _retention(victim, now_s, popularity)
        new_rate = min(
            popularity.rate(displacing, now_s),
            popularity.sustained_rate(displacing, now_s),
        )
        if new_rate <= kept_rate * weights.displace_margin:
            return None
    return victim


def _retention(load: Load, now_s: float, popularity: Popularity) -> float:
    return popularity.rate(load.adapter, now_s) / max(1, load.copies)
