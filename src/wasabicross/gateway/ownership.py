"""Which gateway orders loads on which servers.

The servers of a data centre fall into groups. Whoever wrote last to the record
of a group in the platform's store owns it and may order for a while after. A
record has no lease in the store, since keys under a lease can be taken away
without a word while their holder can't be told.
"""

from __future__ import annotations

import math
from collections.abc import Iterable
from typing import NamedTuple

from wasabicross.gateway.changes import InstanceEntry
from wasabicross.runtime.rendezvous import rank, rendezvous_hash

#: Groups in each data centre.
GROUPS = 2

#: How often an owner writes to its record.
RENEWAL_INTERVAL_S = 3.0

#: How long a record must stand unchanged before another gateway takes it over.
TAKEOVER_S = 12.0

#: What orders under way and clocks of different speed may take.
_MARGIN_S = 1.0

#: Pause between the takeovers that gateways would try, by their rank.
_RANK_PAUSE_S = 0.7

#: Longer wait for each group that a gateway owns already.
_OWNED_PAUSE_S = 1.0

#: Link of a machine that is fit to own servers.
_FIT_LINK_MBPS = 100.0

#: Longer wait of gateways of other data centres.
_REMOTE_PAUSE_S = 4.0


class Group(NamedTuple):
    """Servers of a data centre that have one owner."""

    data_centre: str
    number: int

    @property
    def name(self) -> str:
        """Name of the group's record."""
        return f'{self.data_centre}.{self.number}'


class OwnerRecord(NamedTuple):
    """The record of a group as last read.

    :param group: name of the group.
    :param instance: machine that owns the group.
    :param host: IP number of that machine.
    :param revision: number of the record's last change.
    :param unchanged_since_s: when this process first saw that revision.
    :param is_released: whether the owner orders nothing any more.
    """

    group: str
    instance: str
    host: str
    revision: int
    unchanged_since_s: float
    is_released: bool = False

    @property
    def data_centre(self) -> str:
        """Data centre of the group."""
        return self.group.rpartition('.')[0]


class OwnershipTerm(NamedTuple):
    """The right to order.

    :param holder: name of this machine.
    :param term: number that rises with each change of the holder.
    :param until_s: when the right ends unless it is renewed.
    :param is_resumed: whether this machine was the last holder before, so that
        other gateways know it as the owner already.
    """

    holder: str
    term: int
    until_s: float
    is_resumed: bool = False


def group_of(server_id: str, data_centre: str) -> Group:
    """Return the group of a server.

    :param server_id: id of the server.
    :param data_centre: where it is.
    """
    digest = rendezvous_hash('group', server_id)
    return Group(data_centre, digest[0] % GROUPS)


def all_groups(data_centres: Iterable[str]) -> tuple[Group, ...]:
    """Return the groups of all data centres.

    :param data_centres: their names.
    """
    return tuple(
        Group(data_centre, number)
        for data_centre in data_centres
        for number in range(GROUPS)
    )


def term_end_s(written_s: float, holder_gap_s: float) -> float:
    """Return until when an owner may order after a write to its record.

    :param written_s: when the last write that took effect was sent.
    :param holder_gap_s: least time between the orders of two owners.
    """
    return written_s + TAKEOVER_S - holder_gap_s - _MARGIN_S


def ownership_weight(cores: float, link_mbps: float) -> float:
    """Return how well a machine can own servers, 1 for a usual one.

    An owner tells all gateways of its servers, so a slow link or processor
    would hold up its orders.

    :param cores: processor time of its gateway, in cores.
    :param link_mbps: what its network link carries, in Mbit/s.
    """
    return round(min(cores, link_mbps / _FIT_LINK_MBPS), 1)


def claim_wait_s(
    group: Group,
    claimant: InstanceEntry,
    instances: Iterable[InstanceEntry],
    owned: int,
) -> float:
    """Return how long this gateway leaves a free record to others.

    :param group: the group.
    :param claimant: this gateway.
    :param instances: all gateways that are known.
    :param owned: groups that this gateway owns already.
    """
    if claimant.data_centre != group.data_centre:
        return _REMOTE_PAUSE_S + _RANK_PAUSE_S
    local = {
        each.instance: each.fitness
        for each in instances
        if each.data_centre == group.data_centre
    }
    local[claimant.instance] = claimant.fitness
    order = sorted(rank(group.name, local), key=lambda name: -local[name])
    place = order.index(claimant.instance)
    return place * _RANK_PAUSE_S + owned * _OWNED_PAUSE_S


def claim_due_s(
    record: OwnerRecord | None,
    instance: str,
    wait_s: float,
    started_s: float,
    holder_gap_s: float,
) -> float:
    """Return when this gateway may try to take a record.

    :param record: the record, None if there is none.
    :param instance: name of this machine.
    :param wait_s: what it leaves to others.
    :param started_s: when it knew the store's content.
    :param holder_gap_s: least time between the orders of two owners.
    """
    if record is None:
        return started_s + wait_s
    if record.instance == instance:
        return -math.inf
    left_s = TAKEOVER_S
    if record.is_released:
        left_s = holder_gap_s + _MARGIN_S
    return record.unchanged_since_s + left_s + wait_s
