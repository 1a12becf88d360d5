"""Keeps brittle servers from turning away more requests than they bear.

Such a server fails if it turns away more than so many requests in a second, over
all gateways. So no more gateways use it than that number, each with one request
at a time that waits for its answer to begin, and each stops for a second after
a refusal.
"""

from __future__ import annotations

import math
from collections import defaultdict

from wasabicross.gateway.backend import BackendServer, Incarnation
from wasabicross.gateway.server_limits.gateway_shares import GatewayShares
from wasabicross.gateway.server_limits.known_limits import KnownLimits

#: How long nothing new is sent after a refusal; refusals are counted in a
#: second, and answers of others may be late.
_PAUSE_S = 1.2

#: Most server incarnations whose last refusal is kept.
_MAX_ENTRIES = 1024


class BrittleServers:
    """Decides whether brittle servers have room for requests of this gateway.

    :param limits: the limits that servers state.
    :param shares: tells which gateways use a server.
    """

    def __init__(self, limits: KnownLimits, shares: GatewayShares) -> None:
        self._limits = limits
        self._shares = shares
        self._unanswered: dict[str, int] = defaultdict(int)
        self._paused_until_s: dict[Incarnation, float] = {}

    def is_brittle(self, server: BackendServer) -> bool:
        """Return whether a server fails if it turns requests away.

        :param server: the server.
        """
        return self._limits.of(server).refusals_per_s is not None

    def is_user(self, server: BackendServer) -> bool:
        """Return whether this gateway is among those that use a server.

        :param server: the server.
        """
        refusals_per_s = self._limits.of(server).refusals_per_s
        if refusals_per_s is None:
            return True
        users = self._users(server, refusals_per_s)
        return self._shares.is_user(server.server_id, users)

    def has_room(
        self, server: BackendServer, own_requests: int, now_s: float
    ) -> bool:
        """Return whether a request may be sent to a server now.

        :param server: the server.
        :param own_requests: requests that this gateway has there.
        :param now_s: the present time, monotonic seconds.
        """
        refusals_per_s = self._limits.of(server).refusals_per_s
        if refusals_per_s is None:
            return True
        paused_until_s = self._paused_until_s.get(
            self._limits.starts.incarnation(server), -math.inf
        )
        if now_s < paused_until_s or self._unanswered.get(server.server_id):
            return False
        users = self._users(server, refusals_per_s)
        return own_requests < max(1, server.slots // users)

    def on_sent(self, server_id: str) -> None:
        """Record a request whose answer hasn't begun.

        :param server_id: id of its server.
        """
        self._unanswered[server_id] += 1

    def on_answered(self, server_id: str) -> None:
        """Record that such a request has ended or its answer has begun.

        :param server_id: id of its server.
        """
        self._unanswered[server_id] -= 1
        if self._unanswered[server_id] <= 0:
            self._unanswered.pop(server_id)

    def on_refused(self, server: BackendServer, now_s: float) -> None:
        """Record that a server has turned a request away.

        :param server: the server.
        :param now_s: the present time, monotonic seconds.
        """
        incarnation = self._limits.starts.incarnation(server)
        self._paused_until_s.pop(incarnation, None)
        self._paused_until_s[incarnation] = now_s + _PAUSE_S
        if len(self._paused_until_s) > _MAX_ENTRIES:
            self._paused_until_s.pop(next(iter(self._paused_until_s)))

    def _users(self, server: BackendServer, refusals_per_s: float) -> int:
        """Return how many gateways use a server."""
        most = min(self._shares.count, server.slots, int(refusals_per_s))
        return max(1, most)
