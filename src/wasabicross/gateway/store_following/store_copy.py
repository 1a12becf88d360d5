"""A copy of the store's content for gateways that start during an outage.

A gateway that can't reach the store when it starts gets the content from
another gateway that has read it before.
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
from wasabicross.gateway.settings import Address, GatewaySettings
from wasabicross.gateway.store import StoredItem
from wasabicross.gateway.store_position import era_of, position, revision_of
from wasabicross.messaging.errors import MessageMalformed
from wasabicross.runtime.events import Event
from wasabicross.runtime.logs import log_event

#: Timeout of a request to one gateway.
_REQUEST_TIMEOUT_S = 0.8

_LINK_ERRORS = (WebSocketException, OSError, TimeoutError, MessageMalformed)


class StoreCopy:
    """The items of the store as of a position."""

    def __init__(self) -> None:
        self.revision = 0
        self._items: dict[str, StoredItem] = {}

    @property
    def items(self) -> tuple[StoredItem, ...]:
        """Return the items, without removed keys."""
        return tuple(self._items.values())

    def replace(self, items: Iterable[StoredItem], revision: int) -> None:
        """Replace the copy with the complete content of the store.

        :param items: all items.
        :param revision: revision after which further changes follow.
        """
        self._items.clear()
        self.apply(items, revision)

    def apply(self, items: Iterable[StoredItem], revision: int) -> None:
        """Apply changes.

        :param items: the changed items, in the order of their changes.
        :param revision: revision up to which the changes are complete.
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
        """Return the changes from this copy to a newer content.

        :param items: all items of the newer content.
        :param revision: revision of the newer content.
        """
        current = {item.key: item for item in items}
        is_changed = self._is_changed
        if era_of(revision) > era_of(self.revision):
            is_changed = self._is_other_write
        removed = [
            StoredItem(key, revision, None)
            for key in self._items.keys() - current.keys()
        ]
        changed = [item for item in current.values() if is_changed(item)]
        return (*changed, *removed)

    def restored(
        self, changes: Iterable[StoredItem], revision: int
    ) -> tuple[StoredItem, ...]:
        """Return the complete content of a later era.

        :param changes: what differs there from this copy.
        :param revision: position of that content.
        """
        era = era_of(revision)
        content = {
            item.key: item._replace(
                revision=position(era, revision_of(item.revision))
            )
            for item in self._items.values()
        }
        content.update((item.key, item) for item in changes)
        return tuple(
            item for item in content.values() if item.document is not None
        )

    def lost_items(self, items: Iterable[StoredItem]) -> int:
        """Return how many items of this copy a complete content lacks.

        :param items: all items of that content.
        """
        kept = [item for item in items if not self._is_other_write(item)]
        return len(self._items) - len(kept)

    def _is_changed(self, item: StoredItem) -> bool:
        return item.revision > self.revision

    def _is_other_write(self, item: StoredItem) -> bool:
        """Return whether an item of a later era isn't the one of this copy."""
        known = self._items.get(item.key)
        if known is None or known.document != item.document:
            return True
        return revision_of(known.revision) != revision_of(item.revision)

    def as_update(self) -> StoreUpdate:
        """Return the copy as an update for a gateway without any content."""
        return StoreUpdate(0, self.revision, self.items)


async def request_from_seeds(cfg: GatewaySettings) -> StoreUpdate | None:
    """Return the copy of another gateway, None if none has one.

    :param cfg: settings of this gateway, which name the others.
    """
    others = [
        Address(host, cfg.peer_port) for host in cfg.seeds if host != cfg.host
    ]
    return await request_copy(cfg.instance, others)


async def request_copy(
    instance: str, addresses: Sequence[Address]
) -> StoreUpdate | None:
    """Return the copy of the first gateway that has one, None if none does.

    :param instance: name of this machine.
    :param addresses: addresses of other gateways, some of which may be down.
    """
    for address in addresses:
        try:
            async with asyncio.timeout(_REQUEST_TIMEOUT_S):
                store_update = await _request(instance, address)
        except _LINK_ERRORS as exc:
            log_event(Event.LINK_ENDED, host=address.host, reason=repr(exc))
            continue
        if store_update.revision:
            return store_update
    return None


async def _request(instance: str, address: Address) -> StoreUpdate:
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
