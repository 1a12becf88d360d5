"""Owners of engines pass what they watch in the store on to other gateways.

Few gateways have to ask the store: those that own engines do, and the others of
their data centre learn from them. Answers deployments of many gateways, where
each call to the store costs.
"""

from __future__ import annotations

from typing import NamedTuple

from websockets.asyncio.server import ServerConnection, broadcast

from wasabicross.gateway.messages import StoreStatus, StoreUpdate, encode
from wasabicross.gateway.store import StoreResult

#: How long the status of a relay counts.
STATUS_LIFETIME_S = 1.6


class StoreRelay:
    """The side of an owner: tells its followers what it watches."""

    def __init__(self) -> None:
        self._followers: set[ServerConnection] = set()
        #: How this gateway stands with the store, as others are told.
        self.status = StoreStatus(0, is_lost=True)

    def add(self, conn: ServerConnection) -> None:
        """Pass news on over a link from now on.

        :param conn: the link.
        """
        self._followers.add(conn)

    def discard(self, conn: ServerConnection) -> None:
        """Forget a link.

        :param conn: the link.
        """
        self._followers.discard(conn)

    def forward(self, since: int, seen: StoreResult) -> None:
        """Pass on what the store has answered.

        :param since: revision that it follows.
        :param seen: the answer.
        """
        self.status = StoreStatus(max(since, seen.revision), is_lost=False)
        if seen.items and self._followers:
            news = StoreUpdate(since, self.status.revision, seen.items)
            broadcast(self._followers, encode(news))

    def on_store_lost(self) -> None:
        """Note that the store gave no answer, and tell it at once."""
        if self.status.is_lost:
            return
        self.status = self.status._replace(is_lost=True)
        if self._followers:
            broadcast(self._followers, encode(self.status))


class _Told(NamedTuple):
    status: StoreStatus
    received_s: float


class RelayStatuses:
    """The side of a follower: how its relays stand with the store."""

    def __init__(self) -> None:
        self._told: dict[str, _Told] = {}

    def on_status(self, relay: str, status: StoreStatus, now_s: float) -> None:
        """Take in the status of a relay.

        :param relay: IP number of the relay.
        :param status: how it stands with the store.
        :param now_s: the present time.
        """
        self._told[relay] = _Told(status, now_s)

    def is_current(self, revision: int, now_s: float) -> bool:
        """Tell whether this gateway misses nothing if it doesn't ask.

        :param revision: revision up to which it knows all changes.
        :param now_s: the present time.
        """
        statuses = [
            told.status
            for told in self._told.values()
            if now_s - told.received_s < STATUS_LIFETIME_S
            and not told.status.is_lost
        ]
        return bool(statuses) and all(
            status.revision <= revision for status in statuses
        )
