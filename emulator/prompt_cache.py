"""Prompt cache of the stand-in engine.

Its events become visible with a delay, and some never do.
"""

import hashlib
import random
import time
from collections import OrderedDict
from typing import Any

_PREFIX_DIGITS = 16


class PromptCache:
    """A cache of prompt prefixes that removes the least recently used first.

    :param capacity: number of prefixes that fit.
    :param event_lag_s: age at which an event becomes visible, in seconds.
    :param event_loss: share of the events that never become visible.
    :param seed: seed of the choice of lost events.
    """

    def __init__(
        self,
        capacity: int,
        event_lag_s: float,
        event_loss: float,
        seed: int,
    ) -> None:
        self._capacity = capacity
        self._event_lag_s = event_lag_s
        self._event_loss = event_loss
        self._random = random.Random(seed)
        self._prefixes: OrderedDict[tuple[str, str], None] = OrderedDict()
        self._number = 0
        self._events: list[tuple[float, dict[str, Any]]] = []

    def use(self, load_name: str, document: dict[str, Any]) -> bool:
        """Record a request; return whether its prefix was cached."""
        prefix = prefix_of(document)
        key = (load_name, prefix)
        hit = key in self._prefixes
        self._prefixes[key] = None
        self._prefixes.move_to_end(key)
        if not hit:
            self._publish('stored', load_name, prefix)
        if len(self._prefixes) > self._capacity:
            oldest, _ = self._prefixes.popitem(last=False)
            self._publish('removed', *oldest)
        return hit

    def clear(self) -> None:
        """Remove all prefixes without publishing events."""
        self._prefixes.clear()

    def events(self, after: int) -> list[dict[str, Any]]:
        """Return the visible events with numbers above ``after``."""
        visible_s = time.monotonic() - self._event_lag_s
        return [
            event
            for at_s, event in self._events
            if at_s <= visible_s and event['number'] > after
        ]

    def _publish(self, kind: str, load_name: str, prefix: str) -> None:
        self._number += 1
        if self._random.random() < self._event_loss:
            return
        event = {
            'number': self._number,
            'kind': kind,
            'load_name': load_name,
            'prefix': prefix,
        }
        self._events.append((time.monotonic(), event))


def prefix_of(document: dict[str, Any]) -> str:
    """Return the truncated digest of a request's first message."""
    messages = document.get('messages') or ['']
    digest = hashlib.sha256(repr(messages[0]).encode())
    return digest.hexdigest()[:_PREFIX_DIGITS]
