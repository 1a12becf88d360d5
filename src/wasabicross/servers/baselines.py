"""Simple routing policies that benchmarks compare with the weighted one."""

from __future__ import annotations

import random
from collections.abc import Sequence
from typing import NamedTuple

from wasabicross.runtime.rendezvous import rendezvous_hash
from wasabicross.servers.routing import Choice, Dispatch, Hints, Holder, pick


class RandomChoice(NamedTuple):
    """Baseline that picks a holder at random.

    :param rng: random number generator.
    """

    rng: random.Random


class LeastOutstanding(NamedTuple):
    """Baseline that picks the holder with the fewest outstanding requests."""


class RendezvousChoice(NamedTuple):
    """Baseline that picks the first holder in rendezvous order."""


@pick.register
def _pick_random(
    policy: RandomChoice,
    holders: Sequence[Holder],
    data_centre: str,
    now_s: float,
    hints: Hints,
) -> Choice:
    return Dispatch(policy.rng.choice(holders))


@pick.register
def _pick_least_outstanding(
    policy: LeastOutstanding,
    holders: Sequence[Holder],
    data_centre: str,
    now_s: float,
    hints: Hints,
) -> Choice:
    return Dispatch(
        min(holders, key=lambda each: (each.outstanding, each.server_id)),
    )


@pick.register
def _pick_rendezvous(
    policy: RendezvousChoice,
    holders: Sequence[Holder],
    data_centre: str,
    now_s: float,
    hints: Hints,
) -> Choice:
    return Dispatch(
        min(
            holders,
            key=lambda each: rendezvous_hash(hints.adapter, each.server_id),
        ),
    )
