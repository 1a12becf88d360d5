"""What the store holds, as one gateway last knew it, for one that starts.

Answers restarts while the store is away: a gateway that still knows the store's
content gives it to one that has read nothing yet.
"""

from __future__ import annotations

import asyncio
from collections.abc import Iterable, Sequence

from websockets.asyncio.client import connect
from websockets.exceptions import WebSocketException

from wasabicross.gateway.messages import (
    MAX_FRAME_BYTES,
    Hello,
    StoreCopyRequest,
    StoreUpdate,
    decode,
    encode,
)
from wasabicross.gateway.settings import Address
from wasabicross.gateway.store import StoredItem
from wasabicross.messaging.errors import MessageMalformed
from wasabicross.runtime.events import Event
from wasabicross.runtime.logs import log_event

#: Longest time that one gateway is asked.
_ASK_S = 0.8

_FAULTS = (WebSocketException, OSError, TimeoutError, MessageMalformed)


class StoreCopy:
    """All items of the store up to a revision."""

    def __init__(self) -> None:
        self.revision = 0
        self._items: dict[str, StoredItem] = {}

    @property
    def items(self) -> tuple[StoredItem, ...]:
        """The items, none that was removed."""
        return tuple(self._items.values())

    def replace(self, items: Iterable[StoredItem], revision: int) -> None:
        """Take in all that the store holds.

        :param items: what was read.
        :param revision: revision from which changes follow.
        """
        self._items.clear()
        self.apply(items, revision)

    def apply(self, items: Iterable[StoredItem], revision: int) -> None:
        """Take in changes.

        :param items: in the order in which they were made.
        :param revision: revision up to which these are all.
        """
        for item in items:
            if item.document is None:
                self._items.pop(item.key, None)
            else:
                self._items[item.key] = item
        self.revision = max(self.revision, revision)

    def changes_to(
        self, items: Iterable[StoredItem], revision: int
    ) -> tuple[StoredItem, ...]:
        """Return what changed since this copy was made.

        :param items: all that the store holds now.
        :param revision: revision of that.
        """
        now = {item.key: item for item in items}
        gone = [
            StoredItem(key, revision, None)
            for key in self._items.keys() - now.keys()
        ]
        changed = [
            item for item in now.values() if item.revision > self.revision
        ]
        return (*changed, *gone)

    def as_update(self) -> StoreUpdate:
        """Return the copy as news for a gateway that knows nothing."""
        return StoreUpdate(0, self.revision, self.items)


async def request_copy(
    instance: str, addresses: Sequence[Address]
) -> StoreUpdate | None:
    """Return the first copy that another gateway gives, None if none does.

    :param instance: name of this machine.
    :param addresses: where other gateways may be; some may be gone.
    """
    for address in addresses:
        try:
            async with asyncio.timeout(_ASK_S):
                news = await _ask(instance, address)
        except _FAULTS as exc:
            log_event(Event.LINK_ENDED, host=address.host, reason=repr(exc))
            continue
        if news.revision:
            return news
    return None


async def _ask(instance: str, address: Address) -> StoreUpdate:
    async with connect(
        f'ws://{address.host}:{address.port}',
        compression=None,
        max_size=MAX_FRAME_BYTES,
        ping_interval=None,
        close_timeout=0,
        proxy=None,
    ) as conn:
        await conn.send(encode(Hello(instance), StoreCopyRequest(instance)))
        while True:
            for message in decode(await conn.recv()):
                if isinstance(message, StoreUpdate):
                    return message
