"""Messages that open and close a link between two processes."""

from typing import NamedTuple


class Running(NamedTuple):
    """The number of requests that run on a load."""

    load_name: str
    requests: int


class Hello(NamedTuple):
    """Opens a link and states which process connects and its loads.

    :param kind: `entry`, `controller` or `admin`.
    :param token: secret that all processes of the deployment share.
    :param running: requests in progress on each load; only entries send it.
    :param closed: loads that the sender has closed permanently.
    :param opened: loads that requests of the sender may use.
    :param incarnation: prefix of the names of an entry's claim holders, a
        different one after each start of the entry.
    """

    kind: str
    name: str
    instance_id: str
    data_centre: str
    token: str
    running: list[Running]
    closed: list[str]
    opened: list[str]
    incarnation: str = ''


class Welcome(NamedTuple):
    """Accepts a hello."""

    instance_id: str


class Refusal(NamedTuple):
    """Refuses a request.

    :param code: code of the reason.
    :param message: explanation for people.
    """

    code: str
    message: str


class Done(NamedTuple):
    """Confirms that a request without a result was carried out."""


class Goodbye(NamedTuple):
    """Announces an orderly stop: no request of the sender runs any longer."""
