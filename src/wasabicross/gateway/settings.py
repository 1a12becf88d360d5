"""Settings of a gateway process."""

from __future__ import annotations

from typing import NamedTuple


class Address(NamedTuple):
    """An IP number and a TCP port."""

    host: str
    port: int


class GatewaySettings(NamedTuple):
    """What a gateway process is told at its start.

    :param instance: name of the machine; a restart keeps it.
    :param host: IP number of the machine.
    :param data_centres: all data centres of the deployment.
    :param callers: where callers are served.
    :param ready: where readiness and metrics are served.
    :param peer_port: where other gateways are served.
    :param store: the platform's store.
    :param retry_ratio: repeats that all gateways together may send to a
        service, for each of its requests.
    :param retry_slack: repeats that they may send beyond that ratio.
    :param grace_s: time from SIGTERM until the process is killed.
    :param holder_gap_s: least time between the orders of two machines to one
        server.
    :param seeds: IP numbers of some other machines, which may be gone.
    :param cores: processor time that the process gets, in cores.
    :param link_mbps: what the network link of the machine carries, in Mbit/s.
    """

    instance: str
    host: str
    data_centre: str
    data_centres: tuple[str, ...]
    callers: Address
    ready: Address
    peer_port: int
    store: Address
    retry_ratio: float
    retry_slack: int
    grace_s: float
    holder_gap_s: float
    seeds: tuple[str, ...]
    cores: float
    link_mbps: float
