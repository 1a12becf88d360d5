"""Messages that ask for loads and permit them."""

from typing import NamedTuple


class WantLoad(NamedTuple):
    """Asks for an adapter version to be loaded on some server.

    :param waiting: requests of one entry that wait for it; none for a copy.
    :param tried: servers where it would be of no use.
    :param full: servers that are asked last, as a new request would wait for
        a place in their batch.
    :param in_turn: whether one server's batch is filled after the other's.
    :param waited_s: seconds since which requests have waited without a break.
    """

    adapter: str
    version: str
    base_model: str
    group: str
    request_class: str
    waiting: int
    excluded: list[str]
    full: list[str] = []
    fills_in_turn: bool = False
    waited_s: float = 0


class LoadWanted(NamedTuple):
    """Passes a want on to the owner of the server chosen for it."""

    server_id: str
    load_request: WantLoad


class LoadDeclined(NamedTuple):
    """Tells that a server can't take the load, for the time given."""

    server_id: str
    adapter: str
    version: str
    retry_after_s: float


class PermitLoad(NamedTuple):
    """Asks the holder of the budget for a permit to load.

    :param waiting: requests that wait for the load.
    :param waited_s: seconds that the first of them has waited.
    """

    server_id: str
    data_centre: str
    adapter: str
    version: str
    waiting: int
    waited_s: float


class PermitGranted(NamedTuple):
    """Permits one load from the weight store."""

    server_id: str
    adapter: str
    version: str


class PermitReturned(NamedTuple):
    """Gives a permit back when the load has ended.

    :param loaded: whether the server holds it now.
    :param used: whether the load was tried at all.
    """

    server_id: str
    data_centre: str
    adapter: str
    version: str
    loaded: bool
    used: bool = True
