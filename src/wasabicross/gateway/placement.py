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
from wasabicross.gateway.configuration import EngineSpec
from wasabicross.runtime.rendezvous import rendezvous_hash

#: Occupied share of a server's slots from which on it counts as full.
_FULL_SHARE = 0.85

#: Share of a server's slots that is kept in reserve, and the least number of
#: them: other gateways send requests that the last report doesn't include yet.
_RESERVED_SHARE = 0.15
_MIN_RESERVED_SLOTS = 3

#: Occupied share of a server's slots up to which it has headroom.
_HEADROOM_SHARE = 0.5

#: Spare adapter slots from which on a long prefill justifies a replica.
_REPLICA_MIN_SPARE_SLOTS = 3

#: Prefill time, as a share of the target, up to which a server has headroom.
_HEADROOM_PREFILL_SHARE = 0.25

#: Free share of the usable slots of an adapter's holders below which a
#: replica is loaded ahead of need.
_PREFETCH_FREE_SHARE = 0.2

#: Share of the requests that load a replica in that case. An adapter with many
#: requests soon gets one; an adapter that is requested once hardly ever does.
_PREFETCH_PROBABILITY = 0.25

#: Weight of the delay that a prompt causes to each running request, whose
#: tokens come slower during its prefill.
_CAUSED_DELAY_WEIGHT = 0.1

#: Difference between the delays of servers that matters to a choice, seconds.
#: Many gateways see each delay at different times.
_DELAY_STEP_S = 0.15

#: Least weight of a holder that may be picked.
_MIN_WEIGHT = 0.001

#: Cost of another data centre, as occupancy.
_REMOTE_COST = 0.05


#: Why a request has no server: none may be tried, or none is reached.
NO_SERVER = 'no server'
NO_SERVER_IN_REACH = 'no server in reach'


class Candidate(NamedTuple):
    """A server that could run a request.

    :param held_version: version of the adapter that it holds, 0 for none.
    :param takes_loads: whether its owner can load the adapter there.
    :param spare_slots: adapter slots that are empty or hold an unused adapter,
        negative where more loads wait than that.
    :param requests: requests that run or wait there.
    :param slots: requests that it runs at once.
    :param is_local: whether it is in this gateway's data centre.
    :param is_healthy: whether it answered most of the latest requests.
    :param is_reachable: whether the latest connection could be made.
    :param prefill_share: time until it has prefilled the prompts sent to it, as
        a share of the time in which the request expects its first token.
    :param is_warm: whether it held the adapter recently, so that it loads it
        faster than others and without the weight store.
    :param pending_prefill_s: time until it has prefilled the prompts sent to
        it, seconds.
    :param own_prefill_s: time in which it prefills the request's prompt.
    :param is_limited: whether it takes only so many requests a second.
    """

    server_id: str
    held_version: int
    takes_loads: bool
    spare_slots: int
    requests: int
    slots: int
    is_local: bool
    is_healthy: bool
    is_reachable: bool
    prefill_share: float = 0
    is_warm: bool = False
    pending_prefill_s: float = 0
    own_prefill_s: float = 0
    is_limited: bool = False

    @property
    def delay_s(self) -> float:
        """Return the delay that one more request meets there and causes."""
        caused_s = _CAUSED_DELAY_WEIGHT * self.own_prefill_s * self.requests
        return self.pending_prefill_s + caused_s

    @property
    def delay_steps(self) -> int:
        """Return the delay in steps that matter to a choice."""
        return int(self.delay_s / _DELAY_STEP_S)

    @property
    def occupancy(self) -> float:
        """Return the occupied share of its slots plus its prefill share."""
        return self.requests / max(1, self.slots) + self.prefill_share

    @property
    def cost(self) -> float:
        """Return the occupancy, with a surcharge for another data centre."""
        share = self.occupancy
        return share if self.is_local else share + _REMOTE_COST

    @property
    def is_full(self) -> bool:
        """Return whether another request would have to wait there."""
        return self.requests >= _FULL_SHARE * self.slots

    @property
    def has_long_prefill(self) -> bool:
        """Return whether prefill would make the first token miss its target."""
        return self.prefill_share >= _FULL_SHARE

    @property
    def has_headroom(self) -> bool:
        """Return whether it can take an adapter with many requests."""
        has_short_prefill = self.prefill_share <= _HEADROOM_PREFILL_SHARE
        return has_short_prefill and self.occupancy <= _HEADROOM_SHARE

    @property
    def free_slots(self) -> float:
        """Return the free usable slots, negative where more are occupied."""
        return self.usable_slots - self.requests

    @property
    def usable_slots(self) -> float:
        """Return the slots without the reserve for unreported requests."""
        return max(
            1,
            self.slots - max(_MIN_RESERVED_SLOTS, _RESERVED_SHARE * self.slots),
        )


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
