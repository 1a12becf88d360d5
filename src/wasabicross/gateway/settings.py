"""Settings of a gateway process."""

from __future__ import annotations

from typing import NamedTuple


class Address(NamedTuple):
    """An IP address and a TCP port."""

    host: str
    port: int


class GatewaySettings(NamedTuple):
    """The settings of a gateway process.

    :param instance: name of the machine, which stays the same after a restart.
    :param host: IP address of the machine.
    :param data_centre: data centre of the machine.
    :param data_centres: all data centres of the deployment.
    :param callers: address for callers.
    :param ready: address for readiness checks and metrics.
    :param peer_port: port for other gateways.
    :param store: address of the platform's store.
    :param retry_ratio: number of retries that all gateways together may send to
        a service, per request to it.
    :param retry_slack: number of retries allowed beyond that ratio.
    :param grace_s: time from SIGTERM until the process is killed.
    :param holder_gap_s: minimum time between orders of two machines to the same
        server.
    :param seeds: IP addresses of some other machines, which may be down.
    :param cores: processor time available to the process, in cores.
    :param link_mbps: capacity of the machine's network link, in Mbit/s.
    :param forwarding_port: port for requests that other gateways forward, the
        same on all machines, 0 for none.
    :param is_first_start: whether the whole deployment starts for the first
        time, so that no gateway has run before.
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
    forwarding_port: int = 0
    is_first_start: bool = False
