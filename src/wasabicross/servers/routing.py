"""Chooses the holder that runs a request, and when to load a copy."""

from __future__ import annotations

from collections.abc import Sequence
from functools import singledispatch
from typing import NamedTuple, TypeAlias

from wasabicross.runtime.rendezvous import rendezvous_hash
from wasabicross.servers.policy import Weights

#: Slow-down of a request in a full batch, as a share of its run time.
_BATCH_SLOWDOWN = 0.1

#: Length of the intervals in which holders of equal cost keep their order, in
#: seconds.
_TIE_INTERVAL_S = 1.0

#: Decimal places to which costs are compared.
_COST_DIGITS = 6


class Holder(NamedTuple):
    """A backend server that holds an open load of the requested adapter.

    :param load_name: name of that load.
    :param outstanding: requests of this process in progress on the server.
    :param reported_running: requests of all processes in the server's batch,
        by its last report.
    :param reported_waiting: requests of all processes in the server's queue,
        by its last report.
    :param batch_size: maximum number of requests that the server runs at a
        time.
    :param report_age_s: age of the report's data in seconds.
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
    """Optional information that improves a choice but is not needed for it.

    :param adapter: name of the requested adapter, for the rendezvous baseline.
    :param prefix_servers: ids of the servers that are reported to have the
        prefix of the prompt cached.
    :param salt: differs between processes, so that processes with the same
        reports do not all choose the same holder.
    :param room_elsewhere: whether a server without the adapter has room in its
        batch; if none has, nothing is gained by waiting for a load.
    """

    adapter: str = ''
    prefix_servers: frozenset[str] = frozenset()
    salt: str = ''
    room_elsewhere: bool = False


class Dispatch(NamedTuple):
    """Decision to send the request to a holder.

    :param holder: the holder.
    :param copy_needed: whether a further copy should be loaded meanwhile.
    """

    holder: Holder
    copy_needed: bool = False


class LoadElsewhere(NamedTuple):
    """Decision to let the request wait for a load on a further server.

    :param reason: `no-holder`, or `holders-full` if the wait at the best
        holder would cost more than a load and another server has room.
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
    """Choose the server that runs a request among the holders of its adapter.

    :param holders: servers that hold the adapter version and may be used.
    :param policy: the weights, or a baseline.
    :param data_centre: data centre of this process, which is preferred.
    :param now_s: present time, monotonic seconds.
    :param hints: optional information that improves the choice.
    """
    if not holders:
        return LoadElsewhere('no-holder')
    return pick(policy, holders, data_centre, now_s, hints or Hints())


def estimated_load(holder: Holder, weights: Weights) -> float:
    """Estimate the requests at a server from its report and our own requests.

    The weight of a report decreases with its age. The requests of this process
    are always counted in full.
    """
    reported = holder.reported_running + holder.reported_waiting
    freshness = max(0, 1 - holder.report_age_s / weights.report_stale_s)
    return max(holder.outstanding, reported * freshness)


def expected_wait_s(holder: Holder, weights: Weights) -> float:
    """Estimate the seconds that a new request waits for a batch place."""
    load = estimated_load(holder, weights)
    queued = max(0, load + 1 - holder.batch_size)
    return weights.run_s * queued / holder.batch_size


def has_full_batch(holder: Holder) -> bool:
    """Return whether a new request would wait for a place in the batch."""
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
    slowdown_s = weights.run_s * _BATCH_SLOWDOWN * fill**2
    cost = weights.stall_weight * (wait_s + slowdown_s)
    if holder.data_centre != data_centre:
        # Only a shorter wait justifies the use of another data centre; a
        # fuller batch there does not.
        return cost + (weights.stall_weight + weights.batch_weight) * (
            weights.remote_s
        )
    if holder.server_id in hints.prefix_servers:
        cost -= weights.stall_weight * weights.prefix_s
    if fill == 1:
        # A request that waits in the queue does not fill the batch.
        return cost
    return cost - weights.batch_weight * fill


def _copy_fill(weights: Weights) -> float:
    """Return the batch fill from which a further copy is needed.

    It is higher if full batches have more weight.
    """
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
    """Choose a holder; each type of policy registers an implementation."""
    raise TypeError(policy)


@pick.register
def _pick_by_weights(
    policy: Weights,
    holders: Sequence[Holder],
    data_centre: str,
    now_s: float,
    hints: Hints,
) -> Choice:
    interval = str(int(now_s / _TIE_INTERVAL_S))
    best = min(
        holders,
        key=lambda each: (
            round(_cost(each, policy, data_centre, hints), _COST_DIGITS),
            rendezvous_hash(hints.salt, interval, each.server_id),
        ),
    )
    wait_s = expected_wait_s(best, policy)
    if hints.room_elsewhere and wait_s > _load_cost_s(policy):
        return LoadElsewhere('holders-full')
    # Adapters with few requests are not copied to each data centre, as this
    # would use up the load rate.
    local = [each for each in holders if each.data_centre == data_centre]
    needs_copy = all(
        batch_fill(each, policy) >= _copy_fill(policy)
        for each in local or holders
    )
    return Dispatch(best, copy_needed=needs_copy)


def _load_cost_s(weights: Weights) -> float:
    """Return the wait in seconds from which a new load is preferable.

    It is longer if full batches have more weight.
    """
    if not weights.stall_weight:
        return weights.run_s
    ratio = weights.batch_weight / weights.stall_weight
    return weights.load_s * (1 + ratio)
