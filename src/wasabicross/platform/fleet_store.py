"""The fleet's state in the platform's store, as the gateway uses it."""

from __future__ import annotations

from wasabicross.gateway.changes import StoreChange
from wasabicross.gateway.conviction_records import StoredConvictions
from wasabicross.gateway.errors import DocumentUnreadable
from wasabicross.gateway.store import (
    StoredItem,
    StoreResult,
    UnreadableEntry,
    latest_by_key,
)
from wasabicross.gateway.store_position import era_of
from wasabicross.gateway.stream_division_records import stored_division
from wasabicross.gateway.stream_divisions import StreamDivision
from wasabicross.platform.conviction_records import (
    CONVICTIONS_KEY,
    encode_convictions,
)
from wasabicross.platform.division_records import division_key, encode_division
from wasabicross.platform.records import (
    decode_change,
    encode_instance,
    encode_owner,
    instance_key,
    owner_key,
    unreadable_change,
)
from wasabicross.platform.store import StoreClient, Write

#: Prefix of all keys: one watch costs less than one for each kind of key.
_ALL_KEYS = ''


class PlatformStore:
    """Reads, watches and writes the fleet's state in the platform's store.

    :param client: client of the store.
    """

    def __init__(self, client: StoreClient) -> None:
        self._client = client

    async def read(self) -> StoreResult:
        """Read and decode all items."""
        found = await self._client.read(_ALL_KEYS)
        return self.decode(found.items, found.revision)

    async def watch(self, revision: int, wait_s: float) -> StoreResult:
        """Wait for changes after a revision, and decode them.

        :param revision: the last known position.
        :param wait_s: longest wait, in seconds.
        :raises HistoryGone: the store no longer keeps the changes, or they
            are too many for an answer.
        """
        found = await self._client.watch(_ALL_KEYS, revision, wait_s)
        return self.decode(latest_by_key(found.items), found.revision)

    def decode(
        self, items: tuple[StoredItem, ...], revision: int
    ) -> StoreResult:
        """Decode items that this or another gateway has read or watched.

        :param items: items as stored.
        :param revision: position of the store after which to watch next.
        """
        changes: list[StoreChange] = []
        unreadable: list[UnreadableEntry] = []
        for item in items:
            try:
                change = decode_change(item)
            except DocumentUnreadable as exc:
                unreadable.append(
                    UnreadableEntry(item.key, item.revision, str(exc))
                )
                change = unreadable_change(item)
            if change is not None:
                changes.append(change)
        return StoreResult(tuple(changes), tuple(unreadable), revision, items)

    async def write_owner(
        self,
        group: str,
        instance: str,
        host: str,
        revision: int,
        *,
        is_released: bool = False,
    ) -> int | None:
        """Write the owner record of a group of servers.

        :param group: name of the group.
        :param instance: name of the owner's machine.
        :param host: IP address of the owner's machine.
        :param revision: position that the record must have; one with revision
            0 if it must not exist.
        :param is_released: whether the owner has stopped ordering loads.
        :return: the new position, None if the record has another one.
        :raises StoreRestored: the store is in another era than that position.
        """
        document = encode_owner(
            instance, host, era_of(revision), is_released=is_released
        )
        result = await self._client.write(
            Write(owner_key(group), revision, document)
        )
        return result.revision

    async def write_division(
        self,
        service: str,
        division: StreamDivision,
        revision: int,
        now_s: float,
    ) -> int | None:
        """Write the division of a service's streams.

        :param service: name of the service.
        :param division: the division.
        :param revision: position that the record must have; one with revision
            0 if it must not exist.
        :param now_s: the present time, monotonic seconds.
        :return: the new position, None if the record has another one.
        :raises StoreRestored: the store is in another era than that position.
        """
        stored = stored_division(division, now_s, era_of(revision))
        document = encode_division(service, stored)
        result = await self._client.write(
            Write(division_key(service), revision, document)
        )
        return result.revision

    async def write_convictions(
        self, stored: StoredConvictions, revision: int
    ) -> int | None:
        """Write the record of convictions.

        :param stored: its content.
        :param revision: position that the record must have; one with revision
            0 if it must not exist.
        :return: the new position, None if the record has another one.
        :raises StoreRestored: the store is in another era than that position.
        """
        document = encode_convictions(stored)
        result = await self._client.write(
            Write(CONVICTIONS_KEY, revision, document)
        )
        return result.revision

    async def register_instance(
        self, instance: str, host: str, data_centre: str, fitness: float
    ) -> int:
        """Register this gateway and return the store's era.

        :param instance: name of the gateway's machine.
        :param host: IP address of the machine.
        :param data_centre: data centre of the machine.
        :param fitness: ownership weight of the machine.
        """
        document = encode_instance(host, data_centre, fitness)
        return await self._client.put(instance_key(instance), document)
