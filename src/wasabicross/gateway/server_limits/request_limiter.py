"""Keeps this gateway's requests within the limits that servers state."""

from __future__ import annotations

import math
from collections.abc import Callable, Collection
from typing import Protocol

from wasabicross.gateway.backend import BackendServer, Incarnation
from wasabicross.gateway.known_starts import KnownStarts
from wasabicross.gateway.server_limits.brittle_servers import BrittleServers
from wasabicross.gateway.server_limits.fallback_shares import FallbackShares
from wasabicross.gateway.server_limits.gateway_shares import GatewayShares
from wasabicross.gateway.server_limits.known_limits import KnownLimits
from wasabicross.gateway.server_limits.messages import LimitsStated
from wasabicross.gateway.server_limits.stated import StatedLimits

#: Shortest pause before the owner of a server is asked again.
_MIN_BLOCK_S = 0.02

#: Most server incarnations that are blocked.
_MAX_BLOCKED = 4096


class GrantLinks(Protocol):
    """Reaches the owners of servers."""

    async def request_grant(self, server: BackendServer) -> float | None:
        """Return the time until a request is granted, None without an owner.

        0 means that it is granted.
        """

    def report_limits(self, server: BackendServer) -> None:
        """Send the limits of a server to its owner, which tells all others."""


class RequestLimiter:
    """Decides whether requests may be sent to servers with a limit.

    :param starts: tells which starts of servers run, None where nobody else
        learns of any.
    """

    def __init__(self, starts: KnownStarts | None = None) -> None:
        self._starts = starts or KnownStarts()
        self.known = KnownLimits(self._starts)
        self.set_gateways('', ())
        self._blocked_until_s: dict[Incarnation, float] = {}
        #: Reaches the owners, None before there are links.
        self.links: GrantLinks | None = None

    def set_gateways(self, instance: str, gateways: Collection[str]) -> None:
        """Name the gateways that share the limits of servers.

        :param instance: name of this gateway's machine.
        :param gateways: names of all their machines, as they are known later.
        """
        shares = GatewayShares(instance, gateways)
        self._fallback = FallbackShares(shares)
        #: Keeps brittle servers from turning away many requests.
        self.brittle = BrittleServers(self.known, shares)

    def on_answer(
        self,
        server: BackendServer,
        stated: StatedLimits | None,
        sent_s: float,
        now_s: float,
    ) -> None:
        """Record what an answer states, and share it if it is new.

        :param server: the server that answered.
        :param stated: its limits by the answer, None if that is unreadable.
        :param sent_s: when the request was sent, monotonic seconds.
        :param now_s: the present time, monotonic seconds.
        """
        if stated is None:
            return
        if self.known.on_answer(server, stated, sent_s, now_s):
            self._blocked_until_s.pop(self._starts.incarnation(server), None)
            if self.links is not None:
                self.links.report_limits(server)

    def on_message(self, message: LimitsStated, now_s: float) -> bool:
        """Record what another gateway was told; return whether it is new.

        :param message: its message.
        :param now_s: the present time, monotonic seconds.
        """
        is_new = self.known.on_message(message, now_s)
        if is_new:
            incarnation = Incarnation(message.server_id, message.start_ms)
            self._blocked_until_s.pop(incarnation, None)
        return is_new

    def is_limited(self, server: BackendServer) -> bool:
        """Return whether a server takes only so many requests a second.

        :param server: the server.
        """
        return self.known.of(server).requests_per_s is not None

    def blocked_until_s(self, server: BackendServer) -> float:
        """Return until when nothing more may be sent, monotonic seconds.

        :param server: the server.
        """
        return self._blocked_until_s.get(
            self._starts.incarnation(server), -math.inf
        )

    async def acquire(
        self,
        server: BackendServer,
        clock: Callable[[], float],
        *,
        blocks: bool = True,
    ) -> bool:
        """Return whether a request may be sent to a server now.

        :param server: the server.
        :param clock: returns the present time, monotonic seconds.
        :param blocks: whether a refusal keeps requests from the server until the
            next one may be sent.
        """
        if not self.is_limited(server):
            return True
        wait_s = await self._ask_owner(server)
        at_s = clock()
        limit_per_s = self.known.of(server).requests_per_s
        incarnation = self._starts.incarnation(server)
        if wait_s is None and limit_per_s is not None:
            wait_s = self._fallback.wait_s(incarnation, limit_per_s, at_s)
        if not wait_s:
            return True
        if blocks:
            self._block(incarnation, at_s + max(_MIN_BLOCK_S, wait_s))
        return False

    async def _ask_owner(self, server: BackendServer) -> float | None:
        if self.links is None:
            return None
        return await self.links.request_grant(server)

    def _block(self, incarnation: Incarnation, until_s: float) -> None:
        self._blocked_until_s.pop(incarnation, None)
        self._blocked_until_s[incarnation] = until_s
        if len(self._blocked_until_s) > _MAX_BLOCKED:
            self._blocked_until_s.pop(next(iter(self._blocked_until_s)))
