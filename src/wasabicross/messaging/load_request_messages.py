"""Messages that request loads and grant permits for them."""

from typing import NamedTuple


class WantLoad(NamedTuple):
    """Requests that an adapter version be loaded on one of several servers.

    :param waiting: number of requests of the sending entry that wait for it,
        0 for an additional copy.
    :param excluded: servers that are not chosen, because a load there would
        not serve the waiting requests.
    :param full: servers that are chosen last, because a new request would
        wait for a place in their batch.
    :param fills_in_turn: whether to fill the batch of one server before that
        of the next.
    :param waited_s: seconds for which requests have waited without a break.
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
    """Forwards a load request to the owner of the server chosen for it."""

    server_id: str
    load_request: WantLoad


class LoadDeclined(NamedTuple):
    """Reports that a server cannot take a load before `retry_after_s`."""

    server_id: str
    adapter: str
    version: str
    retry_after_s: float


class PermitLoad(NamedTuple):
    """Requests a permit to load from the permit issuer.

    The permit issuer limits the loads from the weight store.

    :param waiting: number of requests that wait for the load.
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
    """Returns a permit once the load has succeeded or failed.

    :param loaded: whether the server holds the load now.
    :param used: whether the load was attempted at all.
    """

    server_id: str
    data_centre: str
    adapter: str
    version: str
    loaded: bool
    used: bool = True
