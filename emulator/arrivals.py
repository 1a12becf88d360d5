"""Seeded arrivals of calls to adapters whose popularity is skewed and shifts."""

import bisect
import itertools
import random
from collections.abc import Iterator
from typing import NamedTuple


class Popularity(NamedTuple):
    """The skew of the adapters' popularity and its shift.

    :param adapters: number of adapters.
    :param exponent: exponent of the Zipf distribution; 0 is uniform.
    :param shift_at_s: time of the shift, in seconds from the start.
    :param shift_by: number of ranks by which adapters move in the shift.
    """

    adapters: int
    exponent: float = 1
    shift_at_s: float = float('inf')
    shift_by: int = 0


class Arrival(NamedTuple):
    """A call to make.

    :param at_s: time of the call, in seconds from the start.
    :param number: number of the adapter, from 0.
    :param tokens: number of tokens of the answer.
    """

    at_s: float
    number: int
    tokens: int


class Arrivals:
    """Poisson arrivals, which are the same for the same seed.

    :param rate: calls a second.
    :param tokens: mean number of tokens of an answer; each answer has 0.5 to
        1.5 times as many.
    :param popularity: popularity of the adapters.
    :param seed: seed of the random choices.
    """

    def __init__(
        self,
        rate: float,
        tokens: int,
        popularity: Popularity,
        seed: int,
    ) -> None:
        self._rate = rate
        self._tokens = tokens
        self._popularity = popularity
        self._rng = random.Random(seed)  # noqa: S311
        weights = (
            1 / rank**popularity.exponent
            for rank in range(1, popularity.adapters + 1)
        )
        self._cumulative_weights = list(itertools.accumulate(weights))

    def until(self, end_s: float) -> Iterator[Arrival]:
        """Yield the arrivals before a time, in order."""
        at_s = self._rng.expovariate(self._rate)
        while at_s < end_s:
            tokens = self._rng.uniform(0.5, 1.5) * self._tokens
            yield Arrival(at_s, self._adapter(at_s), max(1, round(tokens)))
            at_s += self._rng.expovariate(self._rate)

    def _adapter(self, at_s: float) -> int:
        drawn = self._rng.random() * self._cumulative_weights[-1]
        rank = bisect.bisect_left(self._cumulative_weights, drawn)
        if at_s >= self._popularity.shift_at_s:
            rank += self._popularity.shift_by
        return rank % self._popularity.adapters
