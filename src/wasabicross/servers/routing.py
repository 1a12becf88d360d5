"""Which holder of an adapter runs a request, and when to load a copy."""

from __future__ import annotations

from collections.abc import Sequence
from functools import singledispatch
from typing import NamedTuple, TypeAlias

from wasabicross.runtime.rendezvous import rendezvous_hash
from wasabicross.servers.policy import Weights

#: Wait that a full batch adds to the next request, as a share of its run time.
_CROWDING = 0.1

#: Length of the slots in which equal holders keep their order, in seconds.
_TIE_SLOT_S = 1.0

#: Digits to which costs are compared.
_COST_DIGITS = 6


class Holder(NamedTuple):
    """A backend server that holds an open load of the wanted adapter.

    :param outstanding: requests that this process has under way there.
    :param reported_running: requests of all callers in the server's batch, by
        its last report.
    :param reported_waiting: requests queued there, by its last report.
    :param batch_size: most requests that the server runs at a time.
    :param report_age_s: seconds since the report was true.
    """

    server_id: str
    data_centre: str
    load_name: str
    outstanding: int
    reported_running: int
    reported_waiting: int
    batch_size: int
    report_age_s: float


class Hints(NamedTuple):
    """What may improve a choice and is never relied on.

    :param adapter: name of the wanted adapter, for the rendezvous baseline.
    :param prefix_servers: servers said to have the prompt's prefix cached.
    :param salt: differs between processes, so that those that see the same
        reports don't all pick the same holder.
    :param room_elsewhere: whether a server without the adapter has room in its
        batch; without it a wait for a load gains nothing.
    """

    adapter: str = ''
    prefix_servers: frozenset[str] = frozenset()
    salt: str = ''
    room_elsewhere: bool = False


class Dispatch(NamedTuple):
    """The request goes to this holder.

    :param copy_needed: whether a further copy should be loaded meanwhile.
    """

    holder: Holder
    copy_needed: bool = False


class LoadElsewhere(NamedTuple):
    """The request is better off waiting for a new load.

    :param reason: `no-holder`, or `holders-full` where each holder's queue
        takes longer than a load and another server has room.
    """

    reason: str


Choice: TypeAlias = Dispatch | LoadElsewhere


def choose(
    holders: Sequence[Holder],
    policy: object,
    data_centre: str,
    now_s: float,
    hints: Hints | None = None,
) -> Choice:
    """Choose where a request runs, among the holders of its adapter.

    :param holders: servers that hold the adapter version and may be used.
    :param policy: the weights, or a baseline.
    :param data_centre: the caller's own data centre, which is preferred.
    :param now_s: monotonic time in seconds.
    :param hints: what may improve the choice.
    """
    if not holders:
        return LoadElsewhere('no-holder')
    return pick(policy, holders, data_centre, now_s, hints or Hints())


def estimated_load(holder: Holder, weights: Weights) -> float:
    """Estimate the requests at a server from its report and our own.

    A report loses weight with its age; our own requests are always there.
    """
    reported = holder.reported_running + holder.reported_waiting
    freshness = max(0, 1 - holder.report_age_s / weights.report_stale_s)
    return max(holder.outstanding, reported * freshness)


def expected_wait_s(holder: Holder, weights: Weights) -> float:
    """Estimate how long a new request waits for a place in the batch."""
    load = estimated_load(holder, weights)
    queued = max(0, load + 1 - holder.batch_size)
    return weights.run_s * queued / holder.batch_size


def has_full_batch(holder: Holder) -> bool:
    """Tell whether a new request would wait, by the report and our own."""
    reported = holder.reported_running + holder.reported_waiting
    return max(holder.outstanding, reported) >= holder.batch_size


def batch_fill(holder: Holder, weights: Weights) -> float:
    """Estimate the share of a server's batch that is in use."""
    return min(1, estimated_load(holder, weights) / holder.batch_size)


def _cost(
    holder: Holder,
    weights: Weights,
    data_centre: str,
    hints: Hints,
) -> float:
    fill = batch_fill(holder, weights)
    wait_s = expected_wait_s(holder, weights)
    crowding_s = weights.run_s * _CROWDING * fill**2
    cost = weights.stall_weight * (wait_s + crowding_s)
    if holder.data_centre != data_centre:
        # Waiting alone decides on other data centres: fuller batches there
        # are no reason to leave one's own.
        return cost + (weights.stall_weight + weights.batch_weight) * (
            weights.remote_s
        )
    if holder.server_id in hints.prefix_servers:
        cost -= weights.stall_weight * weights.prefix_s
    if fill == 1:
        # A request that queues fills no batch.
        return cost
    return cost - weights.batch_weight * fill


def _copy_fill(weights: Weights) -> float:
    """Fill from which a copy is wanted: later where full batches weigh more."""
    total = weights.stall_weight + weights.batch_weight
    batch_share = weights.batch_weight / total if total else 0
    return min(1, weights.copy_fill + (batch_share - 0.5) * 0.4)


@singledispatch
def pick(
    policy: object,
    holders: Sequence[Holder],
    data_centre: str,
    now_s: float,
    hints: Hints,
) -> Choice:
    """Pick a holder; each policy registers its own way."""
    raise TypeError(policy)


@pick.register
def _pick_by_weights(
    policy: Weights,
    holders: Sequence[Holder],
    data_centre: str,
    now_s: float,
    hints: Hints,
) -> Choice:
    slot = str(int(now_s / _TIE_SLOT_S))
    best = min(
        holders,
        key=lambda each: (
            round(_cost(each, policy, data_centre, hints), _COST_DIGITS),
            rendezvous_hash(hints.salt, slot, each.server_id),
        ),
    )
    wait_s = expected_wait_s(best, policy)
    if hints.room_elsewhere and wait_s > _load_cost_s(policy):
        return LoadElsewhere('holders-full')
    # A copy for each data centre would spend the loads on the tail.
    local = [each for each in holders if each.data_centre == data_centre]
    crowded = all(
        batch_fill(each, policy) >= _copy_fill(policy)
        for each in local or holders
    )
    return Dispatch(best, copy_needed=crowded)


def _load_cost_s(weights: Weights) -> float:
    """Wait from which a load is better, longer where batches weigh more."""
    if not weights.stall_weight:
        return weights.run_s
    ratio = weights.batch_weight / weights.stall_weight
    return weights.load_s * (1 + ratio)
