"""Messages about the loads that backend servers hold."""

from typing import NamedTuple

from wasabicross.messaging.server_messages import ServerTerm


class LoadsOpened(NamedTuple):
    """Tells loads that requests may use from now on.

    :param server: the server that holds them, with its owner's term.
    """

    server: ServerTerm
    load_names: list[str]


class LoadsSnapshot(NamedTuple):
    """Tells all loads of a server that requests may use, and no others.

    :param server: the server that holds them, with its owner's term.
    """

    server: ServerTerm
    load_names: list[str]


class LoadsForgotten(NamedTuple):
    """Tells entries loads that may not be used until they are told again."""

    load_names: list[str]


class LoadsGone(NamedTuple):
    """Tells loads that their server holds no longer."""

    load_names: list[str]


class ServerReport(NamedTuple):
    """Tells a new owner what the sender knows of the server's loads.

    :param server: the server and the owner's term that this answers.
    :param opened: loads that requests of the sender may use.
    :param closed: loads that the sender has closed for ever.
    """

    server: ServerTerm
    opened: list[str]
    closed: list[str]


class CloseLoad(NamedTuple):
    """Asks for consent to evict a load."""

    server_id: str
    load_name: str
    term: int


class CloseRefused(NamedTuple):
    """Refuses consent since a later owner of the server is known."""

    load_name: str
    server: ServerTerm


class LoadDrained(NamedTuple):
    """Consents: the load is closed for ever and no request runs on it."""

    load_name: str


class LoadUse(NamedTuple):
    """How one entry uses a load.

    :param started: requests started since the last message.
    :param running: requests running now.
    """

    load_name: str
    started: int
    running: int


class LoadUses(NamedTuple):
    """Tells the owner of loads how an entry uses them.

    :param source: instance and name of the entry.
    """

    source: str
    usage: list[LoadUse]


class LoadMissing(NamedTuple):
    """Tells the owner that its server denied holding a load."""

    server_id: str
    load_name: str
