"""Shares between gateways which load servers bear, and grants requests there."""

from __future__ import annotations

import math
from collections.abc import Callable
from typing import TypeAlias

from wasabicross.gateway.backend import BackendServer
from wasabicross.gateway.server_limits.messages import (
    NOT_OWNER,
    GrantAnswer,
    GrantWanted,
    LimitsStated,
)
from wasabicross.gateway.server_limits.owner_grants import OwnerGrants
from wasabicross.gateway.server_limits.request_limiter import RequestLimiter

_MS_PER_S = 1000

IsOwned: TypeAlias = Callable[[BackendServer, float], bool]
Sender: TypeAlias = Callable[[LimitsStated], None]


class LimitSharing:
    """Shares limits with other gateways and grants requests to them.

    A gateway tells the owner of a server what is new of it, and the owner tells
    all gateways that are linked to it.

    :param limiter: this gateway's knowledge of limits.
    :param is_owned: returns whether this gateway owns a server at a time.
    :param find_server: returns a server by its id, None if it isn't listed.
    """

    def __init__(
        self,
        limiter: RequestLimiter,
        is_owned: IsOwned,
        find_server: Callable[[str], BackendServer | None],
    ) -> None:
        self.limiter = limiter
        self._grants = OwnerGrants(limiter.known, is_owned)
        self._find_server = find_server
        #: Sends to all gateways that are linked to this one.
        self.to_linked: Sender = _ignore

    def on_message(self, message: LimitsStated, now_s: float) -> None:
        """Handle what another gateway was told, and send on what is new.

        :param message: its message.
        :param now_s: the present time, monotonic seconds.
        """
        if self.limiter.on_message(message, now_s):
            self.to_linked(message)

    def wait_s(self, server: BackendServer, now_s: float) -> float | None:
        """Grant a request of this gateway's own, as the owner of its server.

        :param server: the server.
        :param now_s: the present time, monotonic seconds.
        :return: 0 if the request may be sent, else seconds until one is; None
            if this gateway has no right to grant it.
        """
        return self._grants.wait_s(server, now_s)

    def answer(self, message: GrantWanted, now_s: float) -> GrantAnswer:
        """Return the answer to another gateway that wants to send a request.

        :param message: its message.
        :param now_s: the present time, monotonic seconds.
        """
        server = self._find_server(message.server_id)
        if server is None or self._start_ms(server) != message.start_ms:
            return GrantAnswer(message.call_id, NOT_OWNER)
        wait_s = self._grants.wait_s(server, now_s)
        if wait_s is None:
            return GrantAnswer(message.call_id, NOT_OWNER)
        return GrantAnswer(message.call_id, math.ceil(wait_s * _MS_PER_S))

    def _start_ms(self, server: BackendServer) -> int:
        return self.limiter.known.starts.incarnation(server).start_ms


def _ignore(_message: LimitsStated) -> None:
    """Do nothing, as nobody listens yet."""
