"""The stand-in engine's prompt cache, and its late and gappy events."""

import hashlib
import random
import time
from collections import OrderedDict
from typing import Any

_PREFIX_DIGITS = 16


class PromptCache:
    """The prompt prefixes that were computed last.

    :param capacity: how many prefixes fit.
    :param event_lag_s: age at which an event becomes visible.
    :param event_loss: share of the events that never become visible.
    :param seed: of the choice of lost events.
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
        self._held: OrderedDict[tuple[str, str], None] = OrderedDict()
        self._number = 0
        self._events: list[tuple[float, dict[str, Any]]] = []

    def use(self, load_name: str, document: dict[str, Any]) -> bool:
        """Take note of a request; tells if its prefix was held."""
        prefix = prefix_of(document)
        key = (load_name, prefix)
        hit = key in self._held
        self._held[key] = None
        self._held.move_to_end(key)
        if not hit:
            self._publish('stored', load_name, prefix)
        if len(self._held) > self._capacity:
            oldest, _ = self._held.popitem(last=False)
            self._publish('removed', *oldest)
        return hit

    def clear(self) -> None:
        """Forget everything, telling nobody."""
        self._held.clear()

    def events(self, after: int) -> list[dict[str, Any]]:
        """Return the visible events after a number."""
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
    """Return the digest of a request's first message."""
    messages = document.get('messages') or ['']
    digest = hashlib.sha256(repr(messages[0]).encode())
    return digest.hexdigest()[:_PREFIX_DIGITS]
