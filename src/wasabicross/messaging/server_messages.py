"""Messages about backend servers, their owners and grants of their use."""

from typing import NamedTuple


class ServerTerm(NamedTuple):
    """The highest known ownership term of a backend server."""

    server_id: str
    term: int


class ServerInfo(NamedTuple):
    """The description of a backend server that entries need."""

    server_id: str
    kind: str
    group: str
    data_centre: str
    host: str
    port: int
    state: str
    base_model: str


class FleetUpdate(NamedTuple):
    """Sends an entry all backend servers of the instance list.

    :param need_grant: ids of the servers whose loads an entry may use only
        while it has a grant.
    """

    servers: list[ServerInfo]
    need_grant: list[str]


class OwnedServers(NamedTuple):
    """States which backend servers the sender owns, each with its term."""

    servers: list[ServerTerm]


class Renew(NamedTuple):
    """Requests further use of the receiver's servers; also a heartbeat.

    :param number: number of the bundle in force at every entry of the sender.
    :param digest: hex digest of that bundle's manifest.
    :param since: ISO 8601 time at which it came into force there.
    """

    number: int
    digest: str
    since: str


class ServerLoad(NamedTuple):
    """The occupancy of an engine at its last report.

    :param running: number of requests in its batch.
    :param waiting: number of requests that wait for a place in the batch.
    :param batch_size: number of places in the batch, 0 while unknown.
    :param age_s: age of the report in seconds.
    :param confirmed_age_s: seconds since it was last certain that the server
        had no later owner.
    """

    server_id: str
    running: int
    waiting: int
    batch_size: int
    age_s: float
    confirmed_age_s: float


class Renewed(NamedTuple):
    """Grants the use of servers from the time of the request on.

    :param servers: occupancy of the servers that the sender owns.
    :param confirmed: servers that the requester owns, as the sender knows it.
    :param is_listed: whether the sender's instance list has the requester.
    """

    servers: list[ServerLoad]
    confirmed: list[ServerTerm]
    is_listed: bool


class Grant(NamedTuple):
    """The time until which an entry may use the loads of a server.

    :param until_s: monotonic clock of the instance, in seconds.
    """

    server_id: str
    until_s: float


class UseGranted(NamedTuple):
    """Sends entries the grants of use and the occupancy of the servers."""

    grants: list[Grant]
    loads: list[ServerLoad]
