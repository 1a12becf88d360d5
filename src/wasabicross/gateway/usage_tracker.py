"""Counts the adapters that this gateway's requests use, for engines' owners."""

from __future__ import annotations

import asyncio
import contextlib
from collections import defaultdict
from collections.abc import Iterator
from typing import TypeVar

from wasabicross.gateway.backend import AdapterKey
from wasabicross.gateway.messages import AdapterUsage
from wasabicross.gateway.ownership import group_of
from wasabicross.gateway.view import FleetView

_Key = TypeVar('_Key')

#: Prompt tokens from which on the end of a prefill is reported at once, since
#: other requests wait for it.
_LONG_PROMPT_TOKENS = 2000


class RequestUsage:
    """Usage of a server and an adapter by one request.

    :param tracker: counts the request.
    :param server_id: the server.
    :param key: its adapter, None for none.
    :param prompt_tokens: length of its prompt, 0 if it isn't known.
    """

    def __init__(
        self,
        tracker: UsageTracker,
        server_id: str,
        key: AdapterKey | None,
        prompt_tokens: int,
    ) -> None:
        self._tracker = tracker
        self.server_id = server_id
        self.key = key
        self._unread_tokens = prompt_tokens
        self._is_answered = False

    def on_prefilled(self) -> None:
        """Record that its answer has begun, so its prompt was prefilled."""
        if not self._is_answered:
            self._is_answered = True
            self._tracker.on_answered(self.server_id)
        if self._unread_tokens:
            self._tracker.on_prefilled(
                self.server_id, self.key, self._unread_tokens
            )
        self._unread_tokens = 0

    def end(self) -> None:
        """Record that the request has ended at the server."""
        self.on_prefilled()
        self._tracker.end(self.server_id, self.key)


class UsageTracker:
    """Counts running requests and unread prompt tokens by server and adapter.

    :param view: servers and their owners; holds the counts by server.
    """

    def __init__(self, view: FleetView) -> None:
        self._view = view
        self._running: dict[tuple[str, AdapterKey], int] = defaultdict(int)
        self._unread: dict[tuple[str, AdapterKey], int] = defaultdict(int)
        self._changed: set[tuple[str, AdapterKey]] = set()
        #: Set when a change should be reported to an owner at once.
        self.has_urgent_change = asyncio.Event()

    def begin(
        self, server_id: str, key: AdapterKey | None, prompt_tokens: int = 0
    ) -> RequestUsage:
        """Count a request that is being sent to a server.

        :param server_id: the server.
        :param key: its adapter, None for none.
        :param prompt_tokens: length of its prompt, 0 if it isn't known.
        """
        self._view.own.requests[server_id] += 1
        self._view.notices.limiter.brittle.on_sent(server_id)
        self._add_unread(server_id, key, prompt_tokens)
        if key is not None:
            self._running[server_id, key] += 1
            self._changed.add((server_id, key))
            self.has_urgent_change.set()
        return RequestUsage(self, server_id, key, prompt_tokens)

    @contextlib.contextmanager
    def waiting(self, server_id: str, prompt_tokens: int) -> Iterator[None]:
        """Count a prompt while its adapter is being loaded on a server.

        :param server_id: the server.
        :param prompt_tokens: length of the prompt, 0 if it isn't known.
        """
        self._view.own.awaited_tokens[server_id] += prompt_tokens
        try:
            yield
        finally:
            _decrease(self._view.own.awaited_tokens, server_id, prompt_tokens)

    def on_answered(self, server_id: str) -> None:
        """Record that the answer to a request has begun, or that it has ended.

        :param server_id: its server.
        """
        self._view.notices.limiter.brittle.on_answered(server_id)

    def on_prefilled(
        self, server_id: str, key: AdapterKey | None, tokens: int
    ) -> None:
        """Subtract prompt tokens that a server has prefilled.

        :param server_id: the server.
        :param key: the adapter, None for none.
        :param tokens: number of tokens.
        """
        _decrease(self._view.own.unread_tokens, server_id, tokens)
        if key is None:
            return
        _decrease(self._unread, (server_id, key), tokens)
        self._changed.add((server_id, key))
        if tokens >= _LONG_PROMPT_TOKENS:
            self.has_urgent_change.set()

    def end(self, server_id: str, key: AdapterKey | None) -> None:
        """Subtract a request that `begin` counted.

        :param server_id: the server.
        :param key: its adapter, None for none.
        """
        _decrease(self._view.own.requests, server_id, 1)
        if key is None:
            return
        self._changed.add((server_id, key))
        _decrease(self._running, (server_id, key), 1)
        if (server_id, key) not in self._running:
            # The owner may unload the adapter for others that wait.
            self.has_urgent_change.set()

    def changed_usage(
        self, *, include_ongoing: bool
    ) -> dict[str, tuple[AdapterUsage, ...]]:
        """Return the usage to report now, by the IP address of the owner.

        :param include_ongoing: whether unchanged usage is reported once more.
        """
        by_host: dict[str, list[AdapterUsage]] = defaultdict(list)
        ongoing = self._running.keys() | self._unread.keys()
        repeated = ongoing if include_ongoing else ()
        for server_key in self._changed.union(repeated):
            host = self.owner_host(server_key[0])
            if host:
                by_host[host].append(self._usage_of(server_key))
        self._changed.clear()
        return {host: tuple(usage) for host, usage in by_host.items()}

    def usage_at(self, host: str) -> tuple[AdapterUsage, ...]:
        """Return the current usage of the engines of an owner.

        :param host: IP address of the owner.
        """
        return tuple(
            self._usage_of(server_key)
            for server_key in self._running.keys() | self._unread.keys()
            if self.owner_host(server_key[0]) == host
        )

    def _add_unread(
        self, server_id: str, key: AdapterKey | None, tokens: int
    ) -> None:
        """Add prompt tokens unless 0; a count of 0 would never be removed."""
        if not tokens:
            return
        self._view.own.unread_tokens[server_id] += tokens
        if key is not None:
            self._unread[server_id, key] += tokens

    def _usage_of(self, server_key: tuple[str, AdapterKey]) -> AdapterUsage:
        server_id, key = server_key
        running = self._running.get(server_key, 0)
        unread = self._unread.get(server_key, 0)
        return AdapterUsage(server_id, *key, running, unread)

    def owner_host(self, server_id: str) -> str:
        """Return the IP address of a server's owner, empty if unknown.

        :param server_id: the server.
        """
        server = self._view.servers.get(server_id)
        if server is None:
            return ''
        group = group_of(server_id, server.data_centre)
        record = self._view.owners.get(group.name)
        return record.host if record else ''


def _decrease(counts: dict[_Key, int], key: _Key, amount: int) -> None:
    """Subtract from a count; remove the count at 0."""
    counts[key] -= amount
    if counts[key] <= 0:
        counts.pop(key)
