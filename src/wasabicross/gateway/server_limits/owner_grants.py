"""Grants the requests that servers with a limit take, at their owner.

Two owners of a server always follow each other with a gap, so its limit needs no
division among gateways.
"""

from __future__ import annotations

from collections.abc import Callable

from wasabicross.gateway.backend import BackendServer
from wasabicross.gateway.server_limits.known_limits import KnownLimits
from wasabicross.gateway.server_limits.token_bucket import TokenBuckets


class OwnerGrants:
    """Grants requests at the servers that this gateway owns.

    :param limits: the limits of servers.
    :param is_owned: returns whether this gateway owns a server at a time.
    """

    def __init__(
        self,
        limits: KnownLimits,
        is_owned: Callable[[BackendServer, float], bool],
    ) -> None:
        self._limits = limits
        self._is_owned = is_owned
        self._buckets = TokenBuckets()

    def wait_s(self, server: BackendServer, now_s: float) -> float | None:
        """Grant a request, or return the time until one is granted.

        :param server: the server.
        :param now_s: the present time, monotonic seconds.
        :return: 0 if the request may be sent, else seconds; None if this
            gateway has no right to grant it.
        """
        incarnation = self._limits.starts.incarnation(server)
        if not self._is_owned(server, now_s):
            self._buckets.discard(incarnation)
            return None
        limit_per_s = self._limits.of(server).requests_per_s
        if limit_per_s is None:
            self._buckets.discard(incarnation)
            return 0
        return self._buckets.take_or_wait_s(incarnation, limit_per_s, now_s)
