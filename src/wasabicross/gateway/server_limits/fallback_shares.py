"""This gateway's share of a server's limit while it reaches no owner.

A few gateways use the server then, the same by every gateway's reckoning. Their
shares are a third of the limit together, as the owner may go on to grant the whole
of it to others.
"""

from __future__ import annotations

from collections.abc import Collection

from wasabicross.gateway.server_limits.known_limits import Incarnation
from wasabicross.gateway.server_limits.token_bucket import TokenBuckets
from wasabicross.runtime.rendezvous import rank

#: Most gateways that use a server without its owner.
_MAX_USERS = 4

#: Share of the limit that they use together.
_USED_SHARE = 0.33

#: Time until a gateway that isn't among them tries the server again.
_NOT_USER_WAIT_S = 2.0

#: Most servers whose users are kept.
_MAX_RANKED = 1024


class FallbackShares:
    """Grants requests to this gateway alone.

    :param instance: name of this gateway's machine.
    """

    def __init__(self, instance: str) -> None:
        self._instance = instance
        self._buckets = TokenBuckets()
        self._users = _Users(instance)

    def wait_s(
        self,
        server: Incarnation,
        limit_per_s: float,
        gateways: Collection[str],
        now_s: float,
    ) -> float:
        """Grant a request, or return the time until one is granted.

        :param server: the server.
        :param limit_per_s: requests a second that it takes.
        :param gateways: names of the machines of all gateways.
        :param now_s: the present time, monotonic seconds.
        :return: 0 if the request may be sent, else seconds.
        """
        users = self._users.of(server, gateways)
        if self._instance not in users:
            return _NOT_USER_WAIT_S
        rate_per_s = limit_per_s * _USED_SHARE / len(users)
        return self._buckets.take_or_wait_s(server, rate_per_s, now_s)


class _Users:
    """The gateways that use each server without its owner.

    :param instance: name of this gateway's machine.
    """

    def __init__(self, instance: str) -> None:
        self._instance = instance
        self._ranked: dict[Incarnation, tuple[str, ...]] = {}
        self._gateways = 0

    def of(
        self, server: Incarnation, gateways: Collection[str]
    ) -> tuple[str, ...]:
        """Return the gateways that use a server.

        :param server: the server.
        :param gateways: names of the machines of all gateways; a change of
            their number is noticed.
        """
        if self._gateways != len(gateways) or len(self._ranked) > _MAX_RANKED:
            self._ranked.clear()
            self._gateways = len(gateways)
        users = self._ranked.get(server)
        if users is None:
            names = {*gateways, self._instance}
            users = rank(server.server_id, names)[:_MAX_USERS]
            self._ranked[server] = users
        return users
