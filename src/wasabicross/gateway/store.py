"""What a gateway asks of the store in which the deployment's state lasts."""

from __future__ import annotations

from collections.abc import Iterable
from typing import NamedTuple, Protocol

from wasabicross.gateway.changes import StoreChange


class StoredItem(NamedTuple):
    """A key of the store and what it holds, as the store keeps it.

    :param revision: number of its last change.
    :param document: its value, None if the key was removed.
    """

    key: str
    revision: int
    document: bytes | None


def latest_by_key(items: Iterable[StoredItem]) -> tuple[StoredItem, ...]:
    """Return the last item of each key, in the order of their changes.

    What a later change replaces tells nothing: a burst of configurations is read
    and passed on as one.

    :param items: in the order in which they were made.
    """
    newest: dict[str, StoredItem] = {}
    for item in items:
        newest.pop(item.key, None)
        newest[item.key] = item
    return tuple(newest.values())


class UnreadableEntry(NamedTuple):
    """An entry that can't be read; it tells nothing.

    :param revision: number of its last change.
    """

    key: str
    revision: int
    reason: str


class StoreResult(NamedTuple):
    """What was read, and the revision from which changes follow.

    :param items: what it was decoded from, to be passed on.
    """

    changes: tuple[StoreChange, ...]
    unreadable: tuple[UnreadableEntry, ...]
    revision: int
    items: tuple[StoredItem, ...] = ()


class FleetStore(Protocol):
    """The store; each call raises `StoreUnavailable` without an answer."""

    async def read(self) -> StoreResult:
        """Read everything."""

    async def watch(self, revision: int, wait_s: float) -> StoreResult:
        """Wait for changes after a revision; there may be none.

        :param revision: the last one that is known.
        :param wait_s: longest wait.
        :raises HistoryGone: the changes are no longer kept.
        """

    def decode(
        self, items: tuple[StoredItem, ...], revision: int
    ) -> StoreResult:
        """Decode items that another gateway has watched.

        :param items: as the store keeps them.
        :param revision: the revision from which changes follow.
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
        """Write the owner's record of a group of servers.

        :param group: name of the group.
        :param instance: machine that owns it.
        :param host: IP number of that machine.
        :param revision: revision that the record must have, 0 for none.
        :param is_released: whether the owner orders nothing any more.
        :return: the new revision, None if the record has another one.
        """

    async def register_instance(
        self, instance: str, host: str, data_centre: str, fitness: float
    ) -> None:
        """Tell where this gateway is.

        :param instance: name of its machine.
        :param host: IP number of its machine.
        :param data_centre: where it is.
        :param fitness: how well its machine can own servers.
        """
