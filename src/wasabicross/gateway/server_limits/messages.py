"""Messages between gateways on the limits that servers state."""

from __future__ import annotations

from typing import NamedTuple

#: Parts of one request a second in which messages state rates.
MICROS = 1_000_000

#: Stands for a limit that the server doesn't state.
NOT_STATED = -1


class LimitsStated(NamedTuple):
    """What an answer of a server stated of the load that it bears.

    :param start_ms: start time of the server, Unix milliseconds.
    :param age_ms: time since the answer; since its request, where the answer
        shows that a limit has ended.
    :param requests: millionths of a request a second that the server takes
        from all gateways, -1 if not stated.
    :param refusals: the same for refusals above which it fails.
    """

    server_id: str
    start_ms: int
    age_ms: int
    requests: int
    refusals: int


class GrantWanted(NamedTuple):
    """Asks the owner of a server whether one request may be sent there.

    :param call_id: number that the answer repeats.
    :param start_ms: start time of the server, Unix milliseconds.
    """

    call_id: int
    server_id: str
    start_ms: int


#: Answers a gateway that asked one that isn't the owner.
NOT_OWNER = -1


class GrantAnswer(NamedTuple):
    """Answers `GrantWanted`.

    :param wait_ms: 0 if the request may be sent, else the time until another
        one is granted; -1 from a gateway that may grant none.
    """

    call_id: int
    wait_ms: int
