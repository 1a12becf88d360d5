"""This gateway's share of a server's limit while it reaches no owner.

A few gateways use the server then. Their shares are a third of the limit
together, as the owner may go on to grant the whole of it to others.
"""

from __future__ import annotations

from wasabicross.gateway.backend import Incarnation
from wasabicross.gateway.server_limits.gateway_shares import GatewayShares
from wasabicross.gateway.server_limits.token_bucket import TokenBuckets

#: Most gateways that use a server without its owner.
_MAX_USERS = 4

#: Share of the limit that they use together.
_USED_SHARE = 0.33

#: Time until a gateway that isn't among them tries the server again.
_NOT_USER_WAIT_S = 2.0


class FallbackShares:
    """Grants requests to this gateway alone.

    :param shares: tells which gateways use a server.
    """

    def __init__(self, shares: GatewayShares) -> None:
        self._shares = shares
        self._buckets = TokenBuckets()

    def wait_s(
        self, server: Incarnation, limit_per_s: float, now_s: float
    ) -> float:
        """Grant a request, or return the time until one is granted.

        :param server: the server.
        :param limit_per_s: requests a second that it takes.
        :param now_s: the present time, monotonic seconds.
        :return: 0 if the request may be sent, else seconds.
        """
        users = min(_MAX_USERS, self._shares.count)
        if not self._shares.is_user(server.server_id, users):
            return _NOT_USER_WAIT_S
        rate_per_s = limit_per_s * _USED_SHARE / users
        return self._buckets.take_or_wait_s(server, rate_per_s, now_s)
