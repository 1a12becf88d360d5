"""Which adapters this gateway's requests use, for the owners of the engines."""

from __future__ import annotations

import asyncio
import contextlib
from collections import defaultdict
from collections.abc import Iterator
from typing import TypeVar

from wasabicross.gateway.backend import AdapterKey
from wasabicross.gateway.messages import AdapterUse
from wasabicross.gateway.ownership import group_of
from wasabicross.gateway.view import FleetView

_Key = TypeVar('_Key')

#: Prompt tokens whose reading is told at once, since others wait behind it.
_LONG_PROMPT_TOKENS = 2000


class RequestUsage:
    """One request that was sent to a server.

    :param uses: counts it.
    :param server_id: the server.
    :param key: its adapter, None for none.
    :param prompt_tokens: length of its prompt, 0 if it isn't known.
    """

    def __init__(
        self,
        uses: UsageTracker,
        server_id: str,
        key: AdapterKey | None,
        prompt_tokens: int,
    ) -> None:
        self._uses = uses
        self.server_id = server_id
        self.key = key
        self._unread_tokens = prompt_tokens

    def on_prefilled(self) -> None:
        """Note that its answer has begun, so that its prompt was read."""
        if self._unread_tokens:
            self._uses.on_prefilled(
                self.server_id, self.key, self._unread_tokens
            )
        self._unread_tokens = 0

    def end(self) -> None:
        """Note that it is under way no longer."""
        self.on_prefilled()
        self._uses.end(self.server_id, self.key)


class UsageTracker:
    """Counts the requests under way by server and adapter.

    :param view: servers and their owners.
    """

    def __init__(self, view: FleetView) -> None:
        self._view = view
        self._running: dict[tuple[str, AdapterKey], int] = defaultdict(int)
        self._unread: dict[tuple[str, AdapterKey], int] = defaultdict(int)
        self._touched: set[tuple[str, AdapterKey]] = set()
        #: Set when a request begins to use an adapter.
        self.has_urgent_change = asyncio.Event()

    def begin(
        self, server_id: str, key: AdapterKey | None, prompt_tokens: int = 0
    ) -> RequestUsage:
        """Count a request that is sent to a server.

        :param server_id: the server.
        :param key: its adapter, None for none.
        :param prompt_tokens: length of its prompt, 0 if it isn't known.
        """
        self._view.under_way[server_id] += 1
        self._add_unread(server_id, key, prompt_tokens)
        if key is not None:
            self._running[server_id, key] += 1
            self._touched.add((server_id, key))
            self.has_urgent_change.set()
        return RequestUsage(self, server_id, key, prompt_tokens)

    @contextlib.contextmanager
    def count_waiting(
        self, server_id: str, key: AdapterKey, prompt_tokens: int
    ) -> Iterator[None]:
        """Count the prompt of a request that waits for its adapter there.

        :param server_id: the server on which the adapter is loaded.
        :param key: the adapter.
        :param prompt_tokens: length of its prompt, 0 if it isn't known.
        """
        if prompt_tokens:
            self._add_unread(server_id, key, prompt_tokens)
            self._touched.add((server_id, key))
            self.has_urgent_change.set()
        try:
            yield
        finally:
            if prompt_tokens:
                self.on_prefilled(server_id, key, prompt_tokens)

    def on_prefilled(
        self, server_id: str, key: AdapterKey | None, tokens: int
    ) -> None:
        """Take back prompt tokens that a server has read.

        :param server_id: the server.
        :param key: the adapter, None for none.
        :param tokens: their number.
        """
        _take(self._view.unread, server_id, tokens)
        if key is None:
            return
        _take(self._unread, (server_id, key), tokens)
        self._touched.add((server_id, key))
        if tokens >= _LONG_PROMPT_TOKENS:
            self.has_urgent_change.set()

    def end(self, server_id: str, key: AdapterKey | None) -> None:
        """Take back what `begin` counted.

        :param server_id: the server.
        :param key: its adapter, None for none.
        """
        _take(self._view.under_way, server_id, 1)
        if key is None:
            return
        self._touched.add((server_id, key))
        _take(self._running, (server_id, key), 1)

    def changed_usage(
        self, *, include_ongoing: bool
    ) -> dict[str, tuple[AdapterUse, ...]]:
        """Return the uses to tell now, by the IP number of the owner.

        :param with_running: whether uses that go on are told again.
        """
        told: dict[str, list[AdapterUse]] = defaultdict(list)
        going_on = self._running.keys() | self._unread.keys()
        again = going_on if include_ongoing else ()
        for place in self._touched.union(again):
            host = self.owner_host(place[0])
            if host:
                told[host].append(self._use(place))
        self._touched.clear()
        return {host: tuple(uses) for host, uses in told.items()}

    def usage_at(self, host: str) -> tuple[AdapterUse, ...]:
        """Return the uses that go on at the engines of an owner.

        :param host: IP number of the owner.
        """
        return tuple(
            self._use(place)
            for place in self._running.keys() | self._unread.keys()
            if self.owner_host(place[0]) == host
        )

    def _add_unread(
        self, server_id: str, key: AdapterKey | None, tokens: int
    ) -> None:
        """Count prompt tokens; a count of none would stay for ever."""
        if not tokens:
            return
        self._view.unread[server_id] += tokens
        if key is not None:
            self._unread[server_id, key] += tokens

    def _use(self, place: tuple[str, AdapterKey]) -> AdapterUse:
        server_id, key = place
        running = self._running.get(place, 0)
        unread = self._unread.get(place, 0)
        return AdapterUse(server_id, *key, running, unread)

    def owner_host(self, server_id: str) -> str:
        """Return the IP number of a server's owner, empty if unknown.

        :param server_id: the server.
        """
        server = self._view.servers.get(server_id)
        if server is None:
            return ''
        group = group_of(server_id, server.data_centre)
        record = self._view.owners.get(group.name)
        return record.host if record else ''


def _take(counts: dict[_Key, int], key: _Key, number: int) -> None:
    """Lower a count, and forget it at zero."""
    counts[key] -= number
    if counts[key] <= 0:
        counts.pop(key)
