"""Messages about loads.

A load is an adapter version that is resident in an engine slot of a backend
server.
"""

from typing import NamedTuple

from wasabicross.messaging.server_messages import ServerTerm


class LoadsOpened(NamedTuple):
    """Opens loads to requests.

    :param server: the server that holds them, with its owner's term.
    :param load_names: loads that requests may use from now on.
    """

    server: ServerTerm
    load_names: list[str]


class LoadsSnapshot(NamedTuple):
    """States all loads of a server that requests may use.

    :param server: the server that holds them, with its owner's term.
    :param load_names: these loads; requests may use no other on the server.
    """

    server: ServerTerm
    load_names: list[str]


class LoadsForgotten(NamedTuple):
    """Withdraws loads from entries until they are opened again."""

    load_names: list[str]


class LoadsGone(NamedTuple):
    """Reports loads that their server no longer holds."""

    load_names: list[str]


class ServerReport(NamedTuple):
    """Reports to a new owner what the sender knows of the server's loads.

    :param server: the server, and the owner's term that this answers.
    :param opened: loads that requests of the sender may use.
    :param closed: loads that the sender has closed permanently.
    """

    server: ServerTerm
    opened: list[str]
    closed: list[str]


class CloseLoad(NamedTuple):
    """Requests consent to the eviction of a load."""

    server_id: str
    load_name: str
    term: int


class CloseRefused(NamedTuple):
    """Refuses consent because the server has a later owner.

    :param server: the server, with the term of its later owner.
    """

    load_name: str
    server: ServerTerm


class LoadDrained(NamedTuple):
    """Consents to an eviction: the load is closed and no request runs on it.

    The sender never uses the load again.
    """

    load_name: str


class LoadUse(NamedTuple):
    """The usage of a load by one entry.

    :param started: number of requests started since the last message.
    :param running: number of requests that run now.
    """

    load_name: str
    started: int
    running: int


class LoadUses(NamedTuple):
    """Reports the usage of loads by one entry to the owner of the loads.

    :param source: name of the entry; a controller that forwards the message
        puts its instance before it.
    :param usage: the usage of each load.
    """

    source: str
    usage: list[LoadUse]


class LoadMissing(NamedTuple):
    """Reports to the owner that its server answered that it lacks a load."""

    server_id: str
    load_name: str
