"""Compares designs that keep all gateways within a server's limit.

Requests come at random at all gateways, in a surge after a pause. Each design
says which of them are sent. Printed are the most requests in some 4 s, the
number that is allowed, and the share of the limit that is used under steady
demand. `python -m model.server_limits SEED`.
"""

from __future__ import annotations

import itertools
import math
import random
import sys
from collections import deque
from collections.abc import Callable
from typing import NamedTuple, Protocol

_WINDOW_S = 4.0
_PAUSE_S = 20.0
_SURGE_S = 20.0
_STEADY_S = 120.0
_SURGE_FACTOR = 10

#: How long half of the gateways don't reach the owner of the server.
_OWNER_LOST_S = 10.0

#: Gateways that use a server without its owner, and their share of its limit.
_FALLBACK_USERS = 4
_FALLBACK_SHARE = 0.33

#: Time in which the tokens accrue that are kept beyond one.
_BURST_S = 0.25


class Case(NamedTuple):
    """Gateways, a server's limit and the requests a second for the server."""

    gateways: int
    limit_per_s: float
    demand_per_s: float

    @property
    def allowed(self) -> float:
        """Return how many requests the server bears in a window."""
        return 1.5 * _WINDOW_S * self.limit_per_s + 5


class Bucket:
    """Tokens that accrue at a rate up to a most number."""

    def __init__(self, rate: float, most: float) -> None:
        self._rate = rate
        self._most = most
        self._level: float = 0
        self._at_s: float = 0

    def take(self, now_s: float) -> bool:
        """Take a token, if there is one."""
        grown = (now_s - self._at_s) * self._rate
        self._level = min(self._most, self._level + grown)
        self._at_s = now_s
        if self._level < 1:
            return False
        self._level -= 1
        return True


class Design(Protocol):
    """Says whether a gateway sends a request."""

    def sends(self, gateway: int, now_s: float) -> bool:
        """Return whether a gateway sends a request now."""


class Shares:
    """Each of some gateways may use a fixed share of the limit."""

    def __init__(self, case: Case, users: int) -> None:
        rate = case.limit_per_s / users
        self._buckets = [Bucket(rate, 1 + rate / 2) for _ in range(users)]

    def sends(self, gateway: int, now_s: float) -> bool:
        """Return whether a gateway sends a request now."""
        if gateway >= len(self._buckets):
            return False
        return self._buckets[gateway].take(now_s)


class OwnerGrants:
    """The owner of the server grants requests one by one.

    In the surge half of the gateways don't reach it for a while. They use shares
    of a third of the limit, four gateways at most.
    """

    def __init__(self, case: Case) -> None:
        rate = case.limit_per_s
        users = min(case.gateways, _FALLBACK_USERS)
        share = _FALLBACK_SHARE * rate / users
        self._owner = Bucket(rate, 1 + rate * _BURST_S)
        self._shares = [
            Bucket(share, 1 + share * _BURST_S) for _ in range(users)
        ]

    def sends(self, gateway: int, now_s: float) -> bool:
        """Return whether a gateway sends a request now."""
        is_cut = _PAUSE_S <= now_s < _PAUSE_S + _OWNER_LOST_S
        if not is_cut or gateway % 2:
            return self._owner.take(now_s)
        position = gateway // 2
        if position >= len(self._shares):
            return False
        return self._shares[position].take(now_s)


def some_users(case: Case) -> int:
    """Return how many gateways use a server, so that their bursts are few."""
    return min(case.gateways, math.ceil(case.limit_per_s) + 3)


DESIGNS: dict[str, Callable[[Case], Design]] = {
    'all gateways, equal shares': lambda case: Shares(case, case.gateways),
    'some gateways, equal shares': lambda case: Shares(case, some_users(case)),
    'owner grants, else shares': OwnerGrants,
}


def sent_at(case: Case, design: Design, draw: random.Random) -> list[float]:
    """Return when requests are sent: none in the pause, then a surge."""
    now_s = _PAUSE_S
    sent: list[float] = []
    while now_s < _PAUSE_S + _SURGE_S + _STEADY_S:
        is_surge = now_s < _PAUSE_S + _SURGE_S
        factor = _SURGE_FACTOR if is_surge else 1
        now_s += draw.expovariate(case.demand_per_s * factor)
        if design.sends(draw.randrange(case.gateways), now_s):
            sent.append(now_s)
    return sent


def most_in_window(sent: list[float]) -> int:
    """Return the most requests in some window."""
    window: deque[float] = deque()
    most = 0
    for at_s in sent:
        window.append(at_s)
        while at_s - window[0] > _WINDOW_S:
            window.popleft()
        most = max(most, len(window))
    return most


def compare(case: Case, seed: int) -> None:
    """Print the figures of all designs."""
    for name, make in DESIGNS.items():
        sent = sent_at(case, make(case), random.Random(seed))
        steady = [at_s for at_s in sent if at_s > _PAUSE_S + _SURGE_S]
        used = len(steady) / (_STEADY_S * case.limit_per_s)
        print(  # noqa: WPS421
            f'{case.gateways:4} gateways, {case.limit_per_s:5} a second,'
            f' demand {case.demand_per_s:6.1f}: {name:28}'
            f' most {most_in_window(sent):4} of {case.allowed:6.1f},'
            f' used {used:.2f}'
        )


def main() -> None:
    """Compare the designs at both sizes."""
    seed = int(sys.argv[1] if len(sys.argv) > 1 else '1')
    sizes = itertools.product((7, 360), (0.2, 1.2, 10.0), (1.5, 6))
    for gateways, limit_per_s, factor in sizes:
        compare(Case(gateways, limit_per_s, factor * limit_per_s), seed)


if __name__ == '__main__':
    main()
