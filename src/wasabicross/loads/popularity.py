"""Request rates of adapters, from exponentially decayed counts."""

from __future__ import annotations

import math
import threading
from typing import NamedTuple

#: Half-life of the fast rate, which follows a change of demand, in seconds.
FAST_HALF_LIFE_S = 5.0

#: Half-life of the slow rate, which is stable during a burst, in seconds.
SLOW_HALF_LIFE_S = 120.0

#: Weight of the fast rate in the estimate; the slow one has the remainder.
_FAST_WEIGHT = 2 / 3

#: Share of the adapters that are dropped if the table is full, lowest rates
#: first.
_DROP_SHARE = 0.25


class _Counts(NamedTuple):
    """Decayed counts of one adapter at a monotonic time."""

    fast: float
    slow: float
    at_s: float


class Popularity:
    """Estimates each adapter's request rate on a fast and a slow scale.

    The fast rate follows a change of demand within seconds. The slow rate ranks
    an adapter that has been used for minutes above one with a single burst.

    :param max_adapters: maximum number of adapters that are remembered; beyond
        it, the quarter with the lowest rates is dropped.
    :param fast_half_life_s: half-life of the fast rate in seconds.
    :param slow_half_life_s: half-life of the slow rate in seconds.
    """

    def __init__(
        self,
        max_adapters: int = 8192,
        fast_half_life_s: float = FAST_HALF_LIFE_S,
        slow_half_life_s: float = SLOW_HALF_LIFE_S,
    ) -> None:
        self._max_adapters = max_adapters
        self._fast_decay = math.log(2) / fast_half_life_s
        self._slow_decay = math.log(2) / slow_half_life_s
        self._counts: dict[str, _Counts] = {}
        self._lock = threading.Lock()

    def __len__(self) -> int:
        return len(self._counts)

    def add(self, adapter: str, now_s: float, count: float = 1) -> None:
        """Count requests for an adapter.

        :param adapter: name of the adapter.
        :param now_s: present time, monotonic seconds.
        :param count: number of requests.
        """
        with self._lock:
            counts = self._counts.get(adapter)
            if counts is None and len(self._counts) >= self._max_adapters:
                self._drop_lowest(now_s)
            decayed = self._decayed(counts, now_s)
            self._counts[adapter] = _Counts(
                decayed.fast + count,
                decayed.slow + count,
                decayed.at_s,
            )

    def rate(self, adapter: str, now_s: float) -> float:
        """Estimate the requests a second as a weighted mean of both rates.

        :param adapter: name of the adapter.
        :param now_s: present time, monotonic seconds.
        """
        return self._rate(self._counts.get(adapter), now_s)

    def sustained_rate(self, adapter: str, now_s: float) -> float:
        """Estimate the requests a second by the slow rate only.

        :param adapter: name of the adapter.
        :param now_s: present time, monotonic seconds.
        """
        counts = self._decayed(self._counts.get(adapter), now_s)
        return counts.slow * self._slow_decay

    def hottest(self, limit: int, now_s: float) -> tuple[str, ...]:
        """Return the adapters with the highest rates, in descending order.

        :param limit: maximum number of adapters.
        :param now_s: present time, monotonic seconds.
        """
        with self._lock:
            counts = list(self._counts.items())
        counts.sort(key=lambda pair: -self._rate(pair[1], now_s))
        return tuple(adapter for adapter, _counts in counts[:limit])

    def _rate(self, counts: _Counts | None, now_s: float) -> float:
        decayed = self._decayed(counts, now_s)
        fast_rate = decayed.fast * self._fast_decay
        slow_rate = decayed.slow * self._slow_decay
        return _FAST_WEIGHT * fast_rate + (1 - _FAST_WEIGHT) * slow_rate

    def _decayed(self, counts: _Counts | None, now_s: float) -> _Counts:
        if counts is None:
            return _Counts(0, 0, now_s)
        age_s = max(0, now_s - counts.at_s)
        return _Counts(
            counts.fast * math.exp(-self._fast_decay * age_s),
            counts.slow * math.exp(-self._slow_decay * age_s),
            max(now_s, counts.at_s),
        )

    def _drop_lowest(self, now_s: float) -> None:
        by_rate = sorted(
            self._counts,
            key=lambda adapter: self._rate(self._counts[adapter], now_s),
        )
        for adapter in by_rate[: math.ceil(len(by_rate) * _DROP_SHARE)]:
            self._counts.pop(adapter)
