"""Chooses the gateways to which a request is forwarded.

A cut can concern all gateways of a data centre, or some in each one. So one that
has served lately is tried first, then others that haven't declined lately, of
this data centre and of other ones in turn.
"""

from __future__ import annotations

import itertools
import math
from collections.abc import Callable, Collection, Iterable, Sequence

from wasabicross.gateway.changes import InstanceEntry

#: Most gateways that one request is forwarded to, one after the other.
_MAX_PEERS = 3

#: How long a gateway that has served a request is preferred.
_PREFERRED_S = 5.0

#: How long a gateway that took no request of a service is left out.
_DECLINED_S = 1.0

#: Most gateways among which one that has served is chosen, so that not all
#: requests go to the same one.
_MAX_PREFERRED = 4

Shuffle = Callable[[Sequence[InstanceEntry]], Iterable[InstanceEntry]]


class PeerChoice:
    """Chooses among the registered gateways, by what they did lately.

    :param instance: name of this gateway's machine.
    :param data_centre: its data centre.
    :param shuffle: returns entries in random order.
    """

    def __init__(
        self, instance: str, data_centre: str, shuffle: Shuffle
    ) -> None:
        self._instance = instance
        self._data_centre = data_centre
        self._shuffle = shuffle
        self._served_s: dict[str, float] = {}
        self._declined_s: dict[tuple[str, str], float] = {}

    def choose(
        self, service: str, entries: Collection[InstanceEntry], now_s: float
    ) -> tuple[InstanceEntry, ...]:
        """Return the gateways to try, the first one first.

        :param service: the service that the request is for.
        :param entries: all registered gateways.
        :param now_s: the present time, monotonic seconds.
        """
        usable = [
            each
            for each in entries
            if each.instance != self._instance
            and not self._has_declined(each.host, service, now_s)
        ]
        preferred = [
            each for each in usable if self._is_preferred(each.host, now_s)
        ][:_MAX_PREFERRED]
        others = [each for each in usable if each not in preferred]
        ordered = (*self._shuffle(preferred), *self._in_turn(others))
        return ordered[:_MAX_PEERS]

    def on_served(self, host: str, now_s: float) -> None:
        """Record that a gateway has taken a request.

        :param host: IP address of its machine.
        :param now_s: the present time, monotonic seconds.
        """
        self._served_s[host] = now_s

    def on_declined(self, host: str, service: str, now_s: float) -> None:
        """Record that a gateway took no request, or couldn't be reached.

        :param host: IP address of its machine.
        :param service: the service that the request is for.
        :param now_s: the present time, monotonic seconds.
        """
        self._served_s.pop(host, None)
        self._declined_s = {
            peer: at_s
            for peer, at_s in self._declined_s.items()
            if now_s < at_s + _DECLINED_S
        }
        self._declined_s[host, service] = now_s

    def has_served_since(self, since_s: float) -> bool:
        """Return whether a gateway has taken a request since a time.

        :param since_s: the time, monotonic seconds.
        """
        return max(self._served_s.values(), default=-math.inf) >= since_s

    def _is_preferred(self, host: str, now_s: float) -> bool:
        return now_s < self._served_s.get(host, -math.inf) + _PREFERRED_S

    def _has_declined(self, host: str, service: str, now_s: float) -> bool:
        declined_s = self._declined_s.get((host, service), -math.inf)
        return now_s < declined_s + _DECLINED_S

    def _in_turn(
        self, entries: Sequence[InstanceEntry]
    ) -> Iterable[InstanceEntry]:
        """Return entries of this data centre and of others in turn."""
        near = [each for each in entries if self._is_near(each)]
        far = [each for each in entries if not self._is_near(each)]
        pairs = itertools.zip_longest(self._shuffle(near), self._shuffle(far))
        return filter(None, itertools.chain.from_iterable(pairs))

    def _is_near(self, entry: InstanceEntry) -> bool:
        return entry.data_centre == self._data_centre
