"""The platform's store as the gateway asks for it."""

from __future__ import annotations

from wasabicross.gateway.changes import Change
from wasabicross.gateway.errors import DocumentUnreadable
from wasabicross.gateway.store import (
    Snapshot,
    StoredItem,
    UnreadableEntry,
    newest_of,
)
from wasabicross.platform.records import (
    decode_change,
    encode_instance,
    encode_owner,
    instance_key,
    owner_key,
)
from wasabicross.platform.store import StoreClient, Write

#: Everything, since one watch costs less than one for each kind of key.
_ALL = ''


class PlatformStore:
    """The deployment's state in the platform's store.

    :param calls: calls to the store.
    """

    def __init__(self, calls: StoreClient) -> None:
        self._calls = calls

    async def read(self) -> Snapshot:
        """Read everything."""
        seen = await self._calls.read(_ALL)
        return self.decode(seen.items, seen.revision)

    async def watch(self, revision: int, wait_s: float) -> Snapshot:
        """Wait for changes after a revision.

        :param revision: the last one that is known.
        :param wait_s: longest wait.
        :raises HistoryGone: the changes are no longer kept.
        """
        seen = await self._calls.watch(_ALL, revision, wait_s)
        return self.decode(newest_of(seen.items), seen.revision)

    def decode(self, items: tuple[StoredItem, ...], revision: int) -> Snapshot:
        """Decode items that this or another gateway has watched.

        :param items: as the store keeps them.
        :param revision: the revision from which changes follow.
        """
        changes: list[Change] = []
        unreadable: list[UnreadableEntry] = []
        for item in items:
            try:
                change = decode_change(item)
            except DocumentUnreadable as exc:
                unreadable.append(
                    UnreadableEntry(item.key, item.revision, str(exc))
                )
                continue
            if change is not None:
                changes.append(change)
        return Snapshot(tuple(changes), tuple(unreadable), revision, items)

    async def write_owner(
        self,
        group: str,
        instance: str,
        host: str,
        revision: int,
        *,
        is_released: bool = False,
    ) -> int | None:
        """Write the owner's record of a group of servers.

        :param group: name of the group.
        :param instance: machine that owns it.
        :param host: IP number of that machine.
        :param revision: revision that the record must have, 0 for none.
        :param is_released: whether the owner orders nothing any more.
        :return: the new revision, None if the record has another one.
        """
        document = encode_owner(instance, host, is_released=is_released)
        written = await self._calls.write(
            Write(owner_key(group), revision, document)
        )
        return written.revision

    async def announce(
        self, instance: str, host: str, data_centre: str, fitness: float
    ) -> None:
        """Tell where this gateway is.

        :param instance: name of its machine.
        :param host: IP number of its machine.
        :param data_centre: where it is.
        :param fitness: how well its machine can own servers.
        """
        document = encode_instance(host, data_centre, fitness)
        await self._calls.put(instance_key(instance), document)
