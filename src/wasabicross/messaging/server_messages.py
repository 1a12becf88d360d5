"""Messages about backend servers, their owners and their use."""

from typing import NamedTuple


class ServerTerm(NamedTuple):
    """The highest ownership term known of a backend server."""

    server_id: str
    term: int


class ServerInfo(NamedTuple):
    """What an entry needs to know of a backend server."""

    server_id: str
    kind: str
    group: str
    data_centre: str
    host: str
    port: int
    state: str
    base_model: str


class FleetUpdate(NamedTuple):
    """Tells an entry all backend servers that the instance list shows.

    :param need_grant: servers whose loads may be used only while granted.
    """

    servers: list[ServerInfo]
    need_grant: list[str]


class OwnedServers(NamedTuple):
    """Tells which backend servers the sender owns, each with its term."""

    servers: list[ServerTerm]


class Renew(NamedTuple):
    """Asks to go on using the receiver's servers; a heartbeat as well.

    :param number: the bundle in force at every entry of the sender.
    :param digest: hex digest of that bundle's manifest.
    :param since: ISO time at which it came into force there.
    """

    number: int
    digest: str
    since: str


class ServerLoad(NamedTuple):
    """How busy an engine was at its last report.

    :param running: requests in its batch.
    :param waiting: requests that wait for a place in the batch.
    :param batch_size: places in the batch, 0 while unknown.
    :param age_s: seconds since the report was true.
    :param confirmed_age_s: seconds since it was certain that the server had
        no later owner.
    """

    server_id: str
    running: int
    waiting: int
    batch_size: int
    age_s: float
    confirmed_age_s: float


class Renewed(NamedTuple):
    """Grants the use of servers, counted from when it was asked for.

    :param servers: servers that the sender owns.
    :param confirmed: servers that the asker owns, as the sender knows it.
    :param listed: whether the sender's list shows the asker.
    """

    servers: list[ServerLoad]
    confirmed: list[ServerTerm]
    is_listed: bool


class Grant(NamedTuple):
    """How long an entry may use the loads of a server.

    :param until_s: monotonic clock of the instance, in seconds.
    """

    server_id: str
    until_s: float


class UseGranted(NamedTuple):
    """Tells entries how long loads may be used, and how busy servers are."""

    grants: list[Grant]
    loads: list[ServerLoad]
