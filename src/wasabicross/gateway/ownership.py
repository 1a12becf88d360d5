"""Rules that decide which gateway orders loads on which servers.

The servers of a data centre are divided into groups, and each group has an
owner record in the platform's store. The gateway that last wrote to the record
owns the group and may order loads on its servers for a limited time after that
write. Records are not kept under a lease of the store: a lease can expire and
its keys can be removed while the holder is unreachable and isn't notified.
"""

from __future__ import annotations

import math
from collections.abc import Iterable
from typing import NamedTuple

from wasabicross.gateway.changes import InstanceEntry
from wasabicross.runtime.rendezvous import rank, rendezvous_hash

#: Number of groups in each data centre.
GROUPS = 2

#: Interval at which an owner renews its record.
RENEWAL_INTERVAL_S = 3.0

#: How long a record must be unchanged before another gateway takes it over.
TAKEOVER_S = 12.0

#: Allowance for orders in flight and for clocks that run at different speeds.
_SAFETY_MARGIN_S = 1.0

#: Delay between the takeover attempts of gateways of successive ranks.
_RANK_DELAY_S = 0.7

#: Additional delay for each group that the gateway already owns.
_OWNED_GROUP_DELAY_S = 1.0

#: Network link that gives a machine the ownership weight 1.
_REFERENCE_LINK_MBPS = 100.0

#: Additional delay of gateways in other data centres. No other gateway may be
#: left in the data centre of the group.
_REMOTE_DELAY_S = 2.0


class Group(NamedTuple):
    """A group of servers of one data centre that share an owner."""

    data_centre: str
    number: int

    @property
    def name(self) -> str:
        """Return the name of the group's owner record."""
        return f'{self.data_centre}.{self.number}'


class OwnerRecord(NamedTuple):
    """The owner record of a group as last read from the store.

    :param group: name of the group.
    :param instance: name of the machine that owns the group.
    :param host: IP address of that machine.
    :param revision: position of the record's last change.
    :param unchanged_since_s: time at which this process first saw that
        position.
    :param is_released: whether the owner has stopped ordering loads.
    :param is_restored: whether it is from before the present era of the store,
        so that the record of a later owner may be lost.
    """

    group: str
    instance: str
    host: str
    revision: int
    unchanged_since_s: float
    is_released: bool = False
    is_restored: bool = False

    @property
    def data_centre(self) -> str:
        """Return the data centre of the group."""
        return self.group.rpartition('.')[0]


class OwnershipTerm(NamedTuple):
    """The time-limited right of this gateway to order loads.

    :param holder: name of this machine.
    :param term: number that increases with each change of the owner.
    :param until_s: time at which the right ends unless it is renewed.
    :param is_resumed: whether this machine was also the previous owner, so that
        other gateways already treat it as the owner.
    """

    holder: str
    term: int
    until_s: float
    is_resumed: bool = False


def group_of(server_id: str, data_centre: str) -> Group:
    """Return the group of a server.

    :param server_id: id of the server.
    :param data_centre: name of its data centre.
    """
    digest = rendezvous_hash('group', server_id)
    return Group(data_centre, digest[0] % GROUPS)


def all_groups(data_centres: Iterable[str]) -> tuple[Group, ...]:
    """Return the groups of all data centres.

    :param data_centres: names of the data centres.
    """
    return tuple(
        Group(data_centre, number)
        for data_centre in data_centres
        for number in range(GROUPS)
    )


def term_end_s(written_s: float, holder_gap_s: float) -> float:
    """Return the time at which the right to order ends after a write.

    :param written_s: time at which the last successful write was sent.
    :param holder_gap_s: minimum time between the orders of two owners, in
        seconds.
    """
    return written_s + TAKEOVER_S - holder_gap_s - _SAFETY_MARGIN_S


def ownership_weight(cores: float, link_mbps: float) -> float:
    """Return the ownership weight of a machine, 1 for a typical one.

    An owner sends the state of its servers to all gateways, so a slow network
    link or processor would delay its orders.

    :param cores: processor time available to the gateway, in cores.
    :param link_mbps: capacity of the network link, in Mbit/s.
    """
    return round(min(cores, link_mbps / _REFERENCE_LINK_MBPS), 1)


def claim_wait_s(
    group: Group,
    claimant: InstanceEntry,
    instances: Iterable[InstanceEntry],
    owned: int,
) -> float:
    """Return how long this gateway delays its claim on a free record.

    Gateways in the data centre of the group claim first, in the order of their
    ownership weight and then of their rendezvous rank.

    :param group: the group whose record is free.
    :param claimant: this gateway.
    :param instances: all known gateways.
    :param owned: number of groups that this gateway already owns.
    """
    if claimant.data_centre != group.data_centre:
        return _REMOTE_DELAY_S + _RANK_DELAY_S
    local_weights = {
        each.instance: each.fitness
        for each in instances
        if each.data_centre == group.data_centre
    }
    local_weights[claimant.instance] = claimant.fitness
    order = sorted(
        rank(group.name, local_weights), key=lambda name: -local_weights[name]
    )
    position = order.index(claimant.instance)
    return position * _RANK_DELAY_S + owned * _OWNED_GROUP_DELAY_S


def absent_claim_s(started_s: float, lost_s: float) -> float:
    """Return the time from which a group without a record may be claimed.

    The right to order outlives a record that the store has lost: its owner may
    have written it just before, and may not know of the loss.

    :param started_s: time at which this gateway began to look for free records.
    :param lost_s: latest time at which the store may have lost the record.
    """
    return max(started_s, lost_s + TAKEOVER_S)


def claim_due_s(
    record: OwnerRecord | None,
    instance: str,
    wait_s: float,
    started_s: float,
    holder_gap_s: float,
) -> float:
    """Return the time from which this gateway may claim a record.

    :param record: the record, None if it doesn't exist.
    :param instance: name of this machine.
    :param wait_s: delay of this gateway's claim, from `claim_wait_s`.
    :param started_s: time from which a group without a record may be claimed,
        from `absent_claim_s`.
    :param holder_gap_s: minimum time between the orders of two owners, in
        seconds.
    """
    if record is None:
        return started_s + wait_s
    if record.instance == instance and not record.is_restored:
        return -math.inf
    unchanged_s = TAKEOVER_S
    if record.is_released and not record.is_restored:
        unchanged_s = holder_gap_s + _SAFETY_MARGIN_S
    return record.unchanged_since_s + unchanged_s + wait_s
