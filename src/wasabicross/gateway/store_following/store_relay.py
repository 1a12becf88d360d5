"""Relaying of store changes from owners of engines to other gateways.

Gateways that own engines watch the store and relay its changes to the other
gateways of their data centre, which then don't have to call it. This limits the
load of the store in deployments of many gateways.
"""

from __future__ import annotations

import math
from typing import NamedTuple

from websockets.asyncio.server import ServerConnection, broadcast

from wasabicross.gateway.messages import (
    StoreConfirmation,
    StoreStatus,
    StoreUpdate,
    encode,
)
from wasabicross.gateway.store import StoreResult
from wasabicross.gateway.store_position import era_of

#: How long a relay's status is valid after it was received.
STATUS_LIFETIME_S = 1.6

_MS_IN_S = 1000


class StoreRelay:
    """The relaying side: sends the changes that an owner watches."""

    def __init__(self) -> None:
        self._subscribers: set[ServerConnection] = set()
        #: Status that is sent to the subscribers.
        self.status = StoreStatus(0, is_lost=True)
        #: Time as of which the content of that status is complete.
        self.confirmed_s = -math.inf

    def add(self, conn: ServerConnection) -> None:
        """Relay all further changes over a link.

        :param conn: the link.
        """
        self._subscribers.add(conn)

    def discard(self, conn: ServerConnection) -> None:
        """Stop relaying over a link.

        :param conn: the link.
        """
        self._subscribers.discard(conn)

    def forward(self, since: int, result: StoreResult) -> None:
        """Relay the changes of a store result and update the status.

        :param since: position after which the changes were made.
        :param result: what the store returned.
        """
        self.status = StoreStatus(max(since, result.revision), is_lost=False)
        if result.items and self._subscribers:
            store_update = StoreUpdate(
                since, self.status.revision, result.items
            )
            broadcast(self._subscribers, encode(store_update))

    def confirmations(self, now_s: float) -> tuple[StoreConfirmation, ...]:
        """Return what to send of the time of the known content, if anything.

        :param now_s: the present time, monotonic seconds.
        """
        if self.confirmed_s < 0:
            return ()
        return (
            StoreConfirmation(
                self.status.revision,
                int(self.confirmed_s * _MS_IN_S),
                math.ceil(now_s * _MS_IN_S),
            ),
        )

    def on_store_lost(self) -> None:
        """Record that the store gave no answer, and notify subscribers."""
        if self.status.is_lost:
            return
        self.status = self.status._replace(is_lost=True)
        if self._subscribers:
            broadcast(self._subscribers, encode(self.status))


class _ReceivedStatus(NamedTuple):
    status: StoreStatus
    received_s: float


class RelayStatuses:
    """The subscribing side: the last statuses of the relays."""

    def __init__(self) -> None:
        self._received: dict[str, _ReceivedStatus] = {}

    def on_status(self, relay: str, status: StoreStatus, now_s: float) -> None:
        """Record the status of a relay.

        :param relay: IP address of the relay.
        :param status: the status that the relay sent.
        :param now_s: the present time, monotonic seconds.
        """
        self._received[relay] = _ReceivedStatus(status, now_s)

    def is_current(self, revision: int, now_s: float) -> bool:
        """Return whether no relay knows changes that this gateway lacks.

        It is false if no relay has a valid status, so that this gateway has to
        watch the store itself. A relay in an earlier era doesn't count.

        :param revision: position up to which this gateway knows all changes.
        :param now_s: the present time, monotonic seconds.
        """
        statuses = [
            received.status
            for received in self._received.values()
            if now_s - received.received_s < STATUS_LIFETIME_S
            and not received.status.is_lost
            and era_of(received.status.revision) >= era_of(revision)
        ]
        return bool(statuses) and all(
            status.revision <= revision for status in statuses
        )
