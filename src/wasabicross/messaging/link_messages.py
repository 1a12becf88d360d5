"""Messages that open and close a link between two processes."""

from typing import NamedTuple


class Running(NamedTuple):
    """How many requests run on a load."""

    load_name: str
    requests: int


class Hello(NamedTuple):
    """Opens a link: who dials, and what its requests use just now.

    :param kind: `entry`, `controller` or `admin`.
    :param running: requests in progress on each load, told by entries.
    :param closed: loads that the sender has closed for ever.
    :param life: what the names of an entry's claim holders begin with, never
        the same in two of its lives.
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
    """Answers a hello that was accepted."""

    instance_id: str


class Refusal(NamedTuple):
    """Answers a request that is refused, with a stable code."""

    code: str
    message: str


class Done(NamedTuple):
    """Answers a request that needs no more than its completion."""


class Goodbye(NamedTuple):
    """Announces an orderly stop: nothing of the sender runs any more."""
