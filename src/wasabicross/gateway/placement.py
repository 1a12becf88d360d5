"""Which server runs a request, and where its adapter is loaded.

Answers skewed popularity over engines with few adapter slots: an adapter has a
home that lasts, requests are spread over all its holders, and a replica is loaded
where these have little room left. Answers prompts of very different length: an
engine that has long ones to read counts as taken for that time.
"""

from __future__ import annotations

from collections.abc import Sequence
from typing import NamedTuple, TypeAlias

from wasabicross.gateway.backend import BackendServer
from wasabicross.gateway.configuration import EngineSpec
from wasabicross.runtime.rendezvous import rendezvous_hash

#: Share of a server's slots from which on it counts as full.
_FULL = 0.85

#: Share of a server's slots that is kept free, and the least number of them:
#: other gateways send requests that its last report doesn't count yet.
_SPARE = 0.15
_MIN_SPARE = 3

#: Share of a server's slots up to which it is roomy.
_ROOMY = 0.5

#: Spare adapter slots from which on long reading is worth a copy.
_COPY_SPARE_SLOTS = 3

#: Share of the time for the first token up to which it may be reading then.
_ROOMY_READING = 0.25

#: Share of the usable slots of an adapter's holders that is left when a replica
#: is loaded ahead of need.
_PREFETCH_ROOM = 0.2

#: Share of the requests that have it loaded then: adapters that are asked for
#: often get a replica soon, those that are asked for once hardly ever.
_PREFETCH_SHARE = 0.25

#: Least weight of a holder that a request may go to.
_MIN_WEIGHT = 0.001

#: Occupancy, as a share of the slots, that another data centre costs.
_REMOTE_COST = 0.05


class Candidate(NamedTuple):
    """A server that could run a request.

    :param held_version: version of the adapter that it holds, 0 for none.
    :param takes_loads: whether its owner can have the adapter loaded there.
    :param spare_slots: adapter slots that are empty or hold what nobody uses,
        less than 0 where more loads wait than that.
    :param requests: requests that it runs or that wait there.
    :param slots: requests that it runs at once.
    :param reading_share: time until it has read what was sent there, as a
        share of the time in which the request wants its first token.
    :param is_local: whether it is in this gateway's data centre.
    :param is_sound: whether it answered most requests lately.
    :param is_reachable: whether connections to it could be made lately.
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

    @property
    def occupancy(self) -> float:
        """Share of its slots that are taken, and of the time for reading."""
        return self.requests / max(1, self.slots) + self.prefill_share

    @property
    def cost(self) -> float:
        """Occupancy of the server, more where it is remote."""
        share = self.occupancy
        return share if self.is_local else share + _REMOTE_COST

    @property
    def is_full(self) -> bool:
        """Tell whether another request would have to wait there."""
        return self.requests >= _FULL * self.slots

    @property
    def reads_long(self) -> bool:
        """Tell whether the first token would come late there."""
        return self.prefill_share >= _FULL

    @property
    def is_roomy(self) -> bool:
        """Tell whether it can take an adapter that is asked for often."""
        is_read_soon = self.prefill_share <= _ROOMY_READING
        return is_read_soon and self.occupancy <= _ROOMY

    @property
    def room(self) -> float:
        """Usable slots that are free, below 0 where more are taken."""
        return self.usable_slots - self.requests

    @property
    def usable_slots(self) -> float:
        """Slots for known requests; the others are for those not known yet."""
        return max(1, self.slots - max(_MIN_SPARE, _SPARE * self.slots))


class RandomDraws(NamedTuple):
    """Random numbers from 0 to 1, 1 excluded.

    :param holder: which of several holders; 0 stands for the emptiest.
    :param prefetch: whether this request may have a replica loaded.
    """

    holder: float
    prefetch: float


#: Leaves nothing to chance.
EMPTIEST = RandomDraws(0, 0)


class SendTo(NamedTuple):
    """The request goes to this server now.

    :param replica_on: server on which a replica of the adapter is loaded
        meanwhile, for the requests that follow; empty for none.
    """

    server_id: str
    replica_on: str = ''


class LoadOn(NamedTuple):
    """The adapter is loaded on this server first."""

    server_id: str


class NoServer(NamedTuple):
    """No server can take the request now.

    :param reason: why, for the log.
    :param lacks_loader: whether only a server that loads is lacking.
    :param retry_after_s: for how long there is none for certain, seconds.
    """

    reason: str
    lacks_loader: bool = False
    retry_after_s: float = 0


Choice: TypeAlias = SendTo | LoadOn | NoServer


def choose_server(
    adapter: str,
    version: int,
    candidates: Sequence[Candidate],
    draws: RandomDraws = EMPTIEST,
) -> Choice:
    """Choose a server for a request.

    Many gateways choose by the same reports, so the emptiest holder of an
    adapter would get the requests of all of them until its next report. Each
    holder gets a share of them by its room instead.

    :param adapter: name of its adapter, empty if it needs none.
    :param version: oldest version of the adapter that may answer.
    :param candidates: the servers of its service that may be tried.
    :param draws: what is left to chance.
    """
    if not candidates:
        return NoServer('no server')
    reachable = [each for each in candidates if each.is_reachable]
    if not reachable:
        return NoServer('no server in reach')
    usable = healthy_or_all(reachable)
    if not adapter:
        return SendTo(_cheapest(usable).server_id)
    home = _home(adapter, version, usable)
    holders = [each for each in usable if each.held_version >= version]
    free = _free_of(holders, home)
    if free:
        is_due = draws.prefetch < _PREFETCH_SHARE and _fill_soon(holders)
        replica_on = home.server_id if home and is_due else ''
        return SendTo(_by_room(free, draws.holder).server_id, replica_on)
    if home is not None:
        return LoadOn(home.server_id)
    if holders:
        return SendTo(_cheapest(holders).server_id)
    return NoServer('nothing loads the adapter', lacks_loader=True)


def _free_of(
    holders: Sequence[Candidate], home: Candidate | None
) -> Sequence[Candidate]:
    """Return the holders that another request may go to.

    A copy for the sake of reading alone would take a slot that other adapters
    need, unless there are several to spare where it would be loaded.
    """
    free = [each for each in holders if not each.is_full]
    if home is None or home.reads_long or home.spare_slots < _COPY_SPARE_SLOTS:
        return free
    return [each for each in free if not each.reads_long]


def healthy_or_all(candidates: Sequence[Candidate]) -> Sequence[Candidate]:
    """Return the sound candidates, or all if less than half are sound.

    So a fault that only this process sees can't shut out most of a service.

    :param candidates: the servers that may be tried and can be reached.
    """
    sound = [each for each in candidates if each.is_healthy]
    if sound and 2 * len(sound) >= len(candidates):
        return sound
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


def _fill_soon(holders: Sequence[Candidate]) -> bool:
    """Tell whether the holders of an adapter have little room left."""
    room = sum(max(0, each.room) for each in holders)
    return room < _PREFETCH_ROOM * sum(each.usable_slots for each in holders)


def _by_room(candidates: Sequence[Candidate], draw: float) -> Candidate:
    """Return a candidate, each with a chance that grows with its room."""
    ordered = sorted(candidates, key=lambda each: each.cost)
    weights = [max(_MIN_WEIGHT, 1 - each.cost) ** 2 for each in ordered]
    left = draw * sum(weights)
    for each, weight in zip(ordered, weights):
        left -= weight
        if left < 0:
            return each
    return ordered[0]


def _home(
    adapter: str, version: int, candidates: Sequence[Candidate]
) -> Candidate | None:
    """Return the first server with room in the adapter's lasting order.

    Servers with an older version come last, since it is replaced only after
    its runs. Before them come those where each slot has an adapter in use, so
    that the load would wait for a run to end, the more loads wait there the later,
    and those that would soon be full.
    """
    able = [
        each
        for each in candidates
        if each.takes_loads and not each.is_full and each.held_version < version
    ]
    return max(
        able,
        key=lambda each: (
            not each.held_version,
            min(1, each.spare_slots),
            each.is_roomy,
            rendezvous_hash(adapter, each.server_id),
        ),
        default=None,
    )
