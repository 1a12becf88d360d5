"""The interface of the store that holds the deployment's state."""

from __future__ import annotations

from collections.abc import Iterable
from typing import NamedTuple, Protocol

from wasabicross.gateway.changes import StoreChange
from wasabicross.gateway.conviction_records import StoredConvictions
from wasabicross.gateway.stream_divisions import StreamDivision


class StoredItem(NamedTuple):
    """A key of the store with its undecoded value.

    :param revision: position of its last change.
    :param document: its value, None if the key was removed.
    """

    key: str
    revision: int
    document: bytes | None


def latest_by_key(items: Iterable[StoredItem]) -> tuple[StoredItem, ...]:
    """Return the last item of each key, in the order of their changes.

    Only the last value of a key matters, so a burst of configurations is
    decoded and relayed as one.

    :param items: the items, in the order of their changes.
    """
    newest: dict[str, StoredItem] = {}
    for item in items:
        newest.pop(item.key, None)
        newest[item.key] = item
    return tuple(newest.values())


class UnreadableEntry(NamedTuple):
    """An entry that can't be decoded and is ignored.

    :param revision: revision of its last change.
    :param reason: why it can't be decoded.
    """

    key: str
    revision: int
    reason: str


class StoreResult(NamedTuple):
    """The result of a read or a watch.

    :param changes: the decoded changes.
    :param unreadable: the entries that can't be decoded.
    :param revision: position after which further changes follow.
    :param items: the undecoded items, to be relayed to other gateways.
    """

    changes: tuple[StoreChange, ...]
    unreadable: tuple[UnreadableEntry, ...]
    revision: int
    items: tuple[StoredItem, ...] = ()


class FleetStore(Protocol):
    """The store.

    Its revisions are positions of `store_position`, so they rise although the
    store may return from an older copy and give its own out again. Each call to it raises `StoreUnavailable` if it gets no answer.
    """

    async def read(self) -> StoreResult:
        """Read the complete content."""

    async def watch(self, revision: int, wait_s: float) -> StoreResult:
        """Wait for changes after a revision and return them, if any.

        :param revision: the last known position.
        :param wait_s: longest wait, in seconds.
        :raises HistoryGone: the store no longer keeps these changes, or has
            returned from an older copy.
        """

    def decode(
        self, items: tuple[StoredItem, ...], revision: int
    ) -> StoreResult:
        """Decode items that another gateway has relayed, without a call.

        :param items: the undecoded items.
        :param revision: revision after which further changes follow.
        """

    async def write_owner(
        self,
        group: str,
        instance: str,
        host: str,
        revision: int,
        *,
        is_released: bool = False,
    ) -> int | None:
        """Write the owner record of a server group if its revision matches.

        :param group: name of the group.
        :param instance: name of the machine that owns it.
        :param host: IP address of that machine.
        :param revision: expected position of the record; one with revision 0
            if it doesn't exist.
        :param is_released: whether the owner has stopped ordering loads.
        :return: the new position, None if the record has another one.
        :raises StoreRestored: the store is in another era than that position.
        """

    async def write_division(
        self,
        service: str,
        division: StreamDivision,
        revision: int,
        now_s: float,
    ) -> int | None:
        """Write the division of a service's streams if its revision matches.

        :param service: name of the service.
        :param division: the division.
        :param revision: expected position of the record; one with revision 0
            if it doesn't exist.
        :param now_s: the present time, monotonic seconds.
        :return: the new position, None if the record has another one.
        :raises StoreRestored: the store is in another era than that position.
        """

    async def write_convictions(
        self, stored: StoredConvictions, revision: int
    ) -> int | None:
        """Write the record of convictions if its revision matches.

        :param stored: its content.
        :param revision: expected position of the record; one with revision 0
            if it doesn't exist.
        :return: the new position, None if the record has another one.
        :raises StoreRestored: the store is in another era than that position.
        """

    async def register_instance(
        self, instance: str, host: str, data_centre: str, fitness: float
    ) -> int:
        """Write the entry of this gateway and return the store's era.

        :param instance: name of its machine.
        :param host: IP address of its machine.
        :param data_centre: name of its data centre.
        :param fitness: ownership weight of its machine.
        """
