"""When which adapter is called: seeded, skewed, with a shift."""

import bisect
import itertools
import random
from collections.abc import Iterator
from typing import NamedTuple


class Popularity(NamedTuple):
    """How skewed the adapters' popularity is, and when it shifts.

    :param adapters: how many adapters there are.
    :param exponent: of the Zipf law; 0 is even.
    :param shift_at_s: time at which the popularity shifts.
    :param shift_by: places by which the ranks move then.
    """

    adapters: int
    exponent: float = 1
    shift_at_s: float = float('inf')
    shift_by: int = 0


class Arrival(NamedTuple):
    """A call to make.

    :param at_s: seconds from the start.
    :param number: of the adapter, from 0.
    :param tokens: length of the answer.
    """

    at_s: float
    number: int
    tokens: int


class Arrivals:
    """Poisson arrivals, alike for the same seed.

    :param rate: calls a second.
    :param tokens: mean length of an answer; each is from half to one and a
        half of it.
    :param popularity: which adapters are called.
    :param seed: of the random choices.
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
        self._cumulated = list(itertools.accumulate(weights))

    def until(self, end_s: float) -> Iterator[Arrival]:
        """Yield the arrivals before a time, in order."""
        at_s = self._rng.expovariate(self._rate)
        while at_s < end_s:
            tokens = self._rng.uniform(0.5, 1.5) * self._tokens
            yield Arrival(at_s, self._adapter(at_s), max(1, round(tokens)))
            at_s += self._rng.expovariate(self._rate)

    def _adapter(self, at_s: float) -> int:
        drawn = self._rng.random() * self._cumulated[-1]
        rank = bisect.bisect_left(self._cumulated, drawn)
        if at_s >= self._popularity.shift_at_s:
            rank += self._popularity.shift_by
        return rank % self._popularity.adapters
