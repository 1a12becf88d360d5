"""The uses of adapters on one engine, as gateways tell its owner.

Reports of an engine lag, and many gateways choose by them. What gateways say of
their own requests is known sooner, so the owner counts these as well.
"""

from __future__ import annotations

import math
from collections.abc import Container, Iterator
from typing import NamedTuple

from wasabicross.gateway.backend import AdapterKey
from wasabicross.gateway.slot_turnover import SlotTurnover

#: How long an adapter that was used stays, at the least.
_KEEP_S = 0.25

#: How long the use of an adapter that is not held is remembered.
_FORGET_USE_S = 30.0

#: How long requests keep their adapter without a word of their gateway.
_SILENT_USER_S = 8.0

#: The same for counting them; gateways repeat what goes on more often.
_COUNTED_S = 1.2


class GatewayUsage(NamedTuple):
    """What a gateway last said of its use of an adapter.

    :param running: requests that it has under way.
    :param told_s: when it said so, monotonic seconds.
    :param unread_tokens: prompt tokens of those whose answer hasn't begun.
    """

    running: int
    told_s: float
    unread_tokens: int = 0


class AdapterActivity(NamedTuple):
    """The use of an adapter.

    :param last_s: when it was last heard of, monotonic seconds.
    :param words: those of the gateways that have requests under way.
    """

    last_s: float
    words: dict[str, GatewayUsage]


class EngineUsage:
    """Which adapters are used on an engine, and by how many requests."""

    def __init__(self) -> None:
        self._uses: dict[AdapterKey, AdapterActivity] = {}
        self._reported = 0
        #: How soon adapters come free.
        self.turnover = SlotTurnover()
        #: Requests that wait at the engine, by its last report.
        self.queued = 0

    def on_report(self, queued: int, running: int) -> None:
        """Take in how busy the engine says that it is.

        :param queued: requests that wait there.
        :param running: requests in its batch.
        """
        self.queued = queued
        self._reported = running

    def running(self, now_s: float) -> int:
        """Return how many requests run, by the report or by gateways' words.

        :param now_s: the present time, monotonic seconds.
        """
        return max(self._reported, self.requests(now_s) - self.queued)

    def on_use(
        self,
        key: AdapterKey,
        user: str,
        running: int,
        now_s: float,
        unread_tokens: int = 0,
    ) -> None:
        """Note the use of an adapter.

        :param key: the adapter.
        :param user: the gateway that uses it.
        :param running: requests that it has under way with it.
        :param now_s: the present time.
        :param unread_tokens: prompt tokens of those whose answer hasn't begun.
        """
        words = dict(self._uses.get(key, AdapterActivity(now_s, {})).words)
        was_running = words.pop(user, None) is not None
        if running or unread_tokens:
            words[user] = GatewayUsage(running, now_s, unread_tokens)
        if was_running and not words:
            self.turnover.on_freed(now_s)
        self._uses[key] = AdapterActivity(now_s, words)

    def forget_user(self, user: str, now_s: float) -> None:
        """Forget what a gateway uses, since it tells all of it anew.

        :param user: the gateway.
        :param now_s: the present time.
        """
        for key, use in tuple(self._uses.items()):
            if user in use.words:
                self.on_use(key, user, 0, now_s)

    def is_free(self, key: AdapterKey, now_s: float) -> bool:
        """Tell whether nobody uses an adapter or has just used it.

        :param key: the adapter.
        :param now_s: the present time.
        """
        use = self._uses.get(key)
        if use is None:
            return True
        told_s = (word.told_s for word in use.words.values())
        # A gateway that is cut off may go on for a while without a word.
        keep_s = _SILENT_USER_S if use.words else _KEEP_S
        return now_s - max((use.last_s, *told_s)) >= keep_s

    def last_use_s(self, key: AdapterKey) -> float:
        """Return when an adapter was last heard to be used.

        :param key: the adapter.
        """
        use = self._uses.get(key)
        return use.last_s if use else -math.inf

    def requests(self, now_s: float) -> int:
        """Count the requests that gateways have under way on the engine.

        :param now_s: the present time.
        """
        return sum(word.running for word in self._counted(now_s))

    def unread_tokens(self, now_s: float) -> int:
        """Count the prompt tokens that the engine has still to read.

        :param now_s: the present time.
        """
        return sum(word.unread_tokens for word in self._counted(now_s))

    def _counted(self, now_s: float) -> Iterator[GatewayUsage]:
        """Yield the words that are new enough."""
        for use in self._uses.values():
            for word in use.words.values():
                if now_s - word.told_s < _COUNTED_S:
                    yield word

    def drop_old(self, held: Container[AdapterKey], now_s: float) -> None:
        """Forget uses of long ago.

        :param held: adapters whose uses are remembered as long as they stay.
        :param now_s: the present time.
        """
        self._uses = {
            key: use
            for key, use in self._uses.items()
            if key in held or now_s - use.last_s < _FORGET_USE_S
        }
