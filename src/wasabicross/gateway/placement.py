"""Chooses the server for a request and the server on which to load its adapter.

Popularity of adapters is skewed and engines have few adapter slots. So each
adapter has a stable preferred server, requests are spread over all servers that
hold the adapter, and a replica is loaded where those have little capacity left.
Prompts vary widely in length, so the time that an engine still needs for the
prefill of prompts counts as occupancy.
"""

from __future__ import annotations

from collections.abc import Sequence
from typing import NamedTuple, TypeAlias

from wasabicross.gateway.backend import BackendServer
from wasabicross.gateway.candidate import Candidate
from wasabicross.gateway.configuration import EngineSpec
from wasabicross.runtime.rendezvous import rendezvous_hash

#: Spare adapter slots from which on a long prefill justifies a replica.
_REPLICA_MIN_SPARE_SLOTS = 3

#: Free share of the usable slots of an adapter's holders below which a
#: replica is loaded ahead of need.
_PREFETCH_FREE_SHARE = 0.2

#: Share of the requests that load a replica in that case. An adapter with many
#: requests soon gets one; an adapter that is requested once hardly ever does.
_PREFETCH_PROBABILITY = 0.25

#: Least weight of a holder that may be picked.
_MIN_WEIGHT = 0.001

#: Why a request has no server: none may be tried, or none is reached.
NO_SERVER = 'no server'
NO_SERVER_IN_REACH = 'no server in reach'


class RandomDraws(NamedTuple):
    """Random numbers from 0 to 1, 1 excluded.

    :param holder: picks one of several holders; 0 picks the least occupied.
    :param prefetch: decides whether this request may load a replica.
    """

    holder: float
    prefetch: float


#: Makes the choice deterministic: the least occupied holder, and a prefetch.
NO_RANDOMNESS = RandomDraws(0, 0)


class SendTo(NamedTuple):
    """The request is sent to this server now.

    :param replica_on: server on which a replica of the adapter is loaded
        meanwhile for later requests; empty for none.
    """

    server_id: str
    replica_on: str = ''


class LoadOn(NamedTuple):
    """The adapter has to be loaded on this server first.

    :param has_spare_slot: whether it has a slot for it now.
    """

    server_id: str
    has_spare_slot: bool = True


class NoServer(NamedTuple):
    """No server can take the request now.

    :param reason: why, for the log and metrics.
    :param lacks_loader: whether the only cause is that no server takes loads.
    :param retry_after_s: how long this is certain to last, seconds.
    """

    reason: str
    lacks_loader: bool = False
    retry_after_s: float = 0


Choice: TypeAlias = SendTo | LoadOn | NoServer


def choose_server(
    adapter: str,
    version: int,
    candidates: Sequence[Candidate],
    draws: RandomDraws = NO_RANDOMNESS,
) -> Choice:
    """Choose a server for a request.

    Many gateways choose by the same reports, so the least occupied holder of an
    adapter would get the requests of all of them until its next report. Each
    holder gets a share of them by its free capacity instead.

    :param adapter: name of its adapter, empty if it needs none.
    :param version: oldest version of the adapter that may answer.
    :param candidates: the servers of its service that may be tried.
    :param draws: random numbers for the choice.
    """
    if not candidates:
        return NoServer(NO_SERVER)
    reachable = [each for each in candidates if each.is_reachable]
    if not reachable:
        return NoServer(NO_SERVER_IN_REACH)
    usable = healthy_or_all(reachable)
    if not adapter:
        return SendTo(_cheapest(usable).server_id)
    load_target = _load_target(adapter, version, usable)
    holders = [each for each in usable if each.held_version >= version]
    available = _available_holders(holders, load_target)
    if available:
        may_prefetch = all(each.is_limited for each in available) or (
            draws.prefetch < _PREFETCH_PROBABILITY and _are_nearly_full(holders)
        )
        replica_on = (
            load_target.server_id if load_target and may_prefetch else ''
        )
        return SendTo(
            _pick_by_capacity(available, draws.holder).server_id, replica_on
        )
    if load_target is not None:
        return LoadOn(load_target.server_id, load_target.spare_slots > 0)
    if holders:
        return SendTo(_cheapest(holders).server_id)
    return NoServer('nothing loads the adapter', lacks_loader=True)


def _available_holders(
    holders: Sequence[Candidate], load_target: Candidate | None
) -> Sequence[Candidate]:
    """Return the holders that may take another request.

    A replica that only avoids a long prefill would occupy a slot that other
    adapters need, so it is loaded only where there are several spare ones.
    """
    available = [each for each in holders if not each.is_full]
    if (
        load_target is None
        or load_target.has_long_prefill
        or load_target.spare_slots < _REPLICA_MIN_SPARE_SLOTS
    ):
        return available
    return [each for each in available if not each.has_long_prefill]


def healthy_or_all(candidates: Sequence[Candidate]) -> Sequence[Candidate]:
    """Return the healthy candidates, or all if less than half are healthy.

    So a fault that only this process sees can't exclude most of a service.

    :param candidates: the servers that may be tried and are reachable.
    """
    healthy = [each for each in candidates if each.is_healthy]
    if healthy and 2 * len(healthy) >= len(candidates):
        return healthy
    return candidates


def scarcest_model(engine: EngineSpec, servers: Sequence[BackendServer]) -> str:
    """Return the base model that an empty server should load, if any.

    :param engine: what the servers can hold.
    :param servers: the servers of the service.
    """
    holders = {
        model.name: sum(model.name in server.models for server in servers)
        for model in engine.models
        if engine.fits(model.name, frozenset())
    }
    return min(holders, key=lambda name: (holders[name], name), default='')


def _cheapest(candidates: Sequence[Candidate]) -> Candidate:
    return min(candidates, key=lambda each: each.cost)


def _are_nearly_full(holders: Sequence[Candidate]) -> bool:
    """Return whether the holders of an adapter have little capacity left."""
    free = sum(max(0, each.free_slots) for each in holders)
    return free < _PREFETCH_FREE_SHARE * sum(
        each.usable_slots for each in holders
    )


def _pick_by_capacity(
    candidates: Sequence[Candidate], draw: float
) -> Candidate:
    """Return a candidate, more probably one with more free capacity."""
    ordered = sorted(candidates, key=lambda each: each.cost)
    weights = [max(_MIN_WEIGHT, 1 - each.cost) ** 2 for each in ordered]
    remaining = draw * sum(weights)
    for each, weight in zip(ordered, weights):
        remaining -= weight
        if remaining < 0:
            return each
    return ordered[0]


def _load_target(
    adapter: str, version: int, candidates: Sequence[Candidate]
) -> Candidate | None:
    """Return the server on which an adapter should be loaded, if any.

    Servers with an older version are the last choice, since that version is
    replaced only after the requests that use it have ended. Next to last are
    servers without a spare slot, where a load waits for running requests to
    end; of these, one with fewer waiting loads is preferred. Before them come
    servers without headroom, which would soon be full, and servers where the
    request would meet or cause longer delays. First of all are servers that
    held the adapter recently. Among equal servers the rendezvous hash
    decides, so the order is stable for each adapter. Servers that take only so
    many requests a second load nothing while others do.
    """
    loaders = [
        each
        for each in candidates
        if each.takes_loads and not each.is_full and each.held_version < version
    ]
    unlimited = [each for each in loaders if not each.is_limited]
    return max(
        unlimited or loaders,
        key=lambda each: (
            not each.held_version,
            min(1, each.spare_slots),
            each.is_warm and not each.has_long_prefill,
            -each.delay_steps,
            each.has_headroom,
            rendezvous_hash(adapter, each.server_id),
        ),
        default=None,
    )
