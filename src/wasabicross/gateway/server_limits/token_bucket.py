"""Token buckets, for what servers take a number of times a second."""

from __future__ import annotations

from wasabicross.gateway.backend import Incarnation

#: Most tokens that are kept beyond one, as the time in which they accrue; more
#: would let a pause be followed by a burst.
_CAPACITY_S = 0.25

#: Least rate, so that the end of a limit of 0 is noticed.
_MIN_RATE_PER_S = 0.1

#: Most servers with a bucket.
_MAX_BUCKETS = 1024


class TokenBucket:
    """Tokens that accrue at a rate; it is empty at first.

    :param rate_per_s: tokens that accrue in a second.
    :param now_s: the present time, monotonic seconds.
    """

    def __init__(self, rate_per_s: float, now_s: float) -> None:
        self._rate_per_s = max(_MIN_RATE_PER_S, rate_per_s)
        self._level: float = 0
        self._filled_s = now_s

    def set_rate(self, rate_per_s: float, now_s: float) -> None:
        """Replace the rate from now on.

        :param rate_per_s: tokens that accrue in a second.
        :param now_s: the present time, monotonic seconds.
        """
        self._fill(now_s)
        self._rate_per_s = max(_MIN_RATE_PER_S, rate_per_s)

    def take_or_wait_s(self, now_s: float) -> float:
        """Take a token, or return the time until there is one.

        :param now_s: the present time, monotonic seconds.
        :return: 0 if a token was taken, else seconds.
        """
        self._fill(now_s)
        if self._level < 1:
            return (1 - self._level) / self._rate_per_s
        self._level -= 1
        return 0

    def _fill(self, now_s: float) -> None:
        accrued = max(0, now_s - self._filled_s) * self._rate_per_s
        capacity = 1 + _CAPACITY_S * self._rate_per_s
        self._level = min(capacity, self._level + accrued)
        self._filled_s = now_s


class TokenBuckets:
    """A token bucket for each server."""

    def __init__(self) -> None:
        self._buckets: dict[Incarnation, TokenBucket] = {}

    def take_or_wait_s(
        self, server: Incarnation, rate_per_s: float, now_s: float
    ) -> float:
        """Take a token for a server, or return the time until there is one.

        :param server: the server.
        :param rate_per_s: tokens that accrue in a second from now on.
        :param now_s: the present time, monotonic seconds.
        :return: 0 if a token was taken, else seconds.
        """
        bucket = self._buckets.get(server)
        if bucket is None:
            bucket = TokenBucket(rate_per_s, now_s)
            self._buckets[server] = bucket
            if len(self._buckets) > _MAX_BUCKETS:
                self._buckets.pop(next(iter(self._buckets)))
        bucket.set_rate(rate_per_s, now_s)
        return bucket.take_or_wait_s(now_s)

    def discard(self, server: Incarnation) -> None:
        """Forget the bucket of a server; a later one is empty at first.

        :param server: the server.
        """
        self._buckets.pop(server, None)
