"""Load budget of the weight store, and the order in which loads are granted."""

from __future__ import annotations

import math
import threading
from collections import deque
from typing import NamedTuple

from wasabicross.loads.load_backoff import LoadBackoff

#: One of this many grants goes to the load that has been requested for the
#: longest time, however few requests wait for it.
_LONGEST_WAIT_INTERVAL = 4

#: Share of the limit in flight that prefetches may use.
_PREFETCH_SHARE = 0.5

#: Seconds after which a permit that was not returned no longer counts as in
#: flight.
_PERMIT_TTL_S = 60.0

#: Seconds for which a load in flight delays loads of the same version for other
#: data centres. The limit ends the delay if the loading server was lost.
_SAME_VERSION_DELAY_S = 2.0

#: Maximum delay of a grant, in seconds, that later grants make up for.
_MAX_CATCH_UP_S = 0.1


class LoadKey(NamedTuple):
    """Identifies a load, which is granted once for all waiting requests."""

    adapter: str
    version: str
    data_centre: str


class LoadPermit(NamedTuple):
    """Permission to load an adapter version from the weight store once.

    :param key: what may be loaded.
    :param number: number of the permit, counted from 1.
    :param granted_s: monotonic time of the grant.
    :param prefetch: whether no request waits for the load.
    """

    key: LoadKey
    number: int
    granted_s: float
    prefetch: bool


class Demand(NamedTuple):
    """Requests from one source that wait for a load.

    :param waiting: number of waiting requests.
    :param since_s: monotonic time since which the first of them has waited.
    """

    waiting: int
    since_s: float


class LoadBudget:
    """Grants loads within the weight store's limits of rate and concurrency.

    Loads that requests wait for come before prefetches. Among them, the load
    with the highest sum of waiting times comes first, which favours adapters
    with many requests. Every fourth grant goes to the load that has been waited
    for longest, so that adapters with few requests do not starve. Thread-safe.

    :param loads_per_s: rate limit of the store for all data centres.
    :param in_flight: number of concurrent loads that the store serves at full
        speed.
    """

    def __init__(self, loads_per_s: float = 3, in_flight: int = 8) -> None:
        self._loads_per_s = loads_per_s
        self._max_in_flight = in_flight
        self._share = 1.0
        self._lock = threading.Lock()
        self._demands: dict[LoadKey, dict[str, Demand]] = {}
        self._prefetches: dict[LoadKey, float] = {}
        self._permits: dict[LoadKey, LoadPermit] = {}
        self._due_s = deque[float](maxlen=max(1, math.floor(loads_per_s)))
        self._latest_numbers = deque[int](maxlen=self._due_s.maxlen)
        self._grants = 0
        self.backoff = LoadBackoff()

    @property
    def rate(self) -> float:
        """Maximum number of loads that may be started in a second."""
        return self._loads_per_s * self._share

    @property
    def in_flight_limit(self) -> int:
        """Maximum number of loads in flight."""
        return max(1, math.floor(self._max_in_flight * self._share))

    @property
    def in_flight(self) -> int:
        """Number of loads that were granted and have not ended."""
        return len(self._permits)

    def set_visible(self, visible: int, total: int) -> None:
        """Scale the limits by the share of data centres that are visible.

        So data centres that cannot reach each other keep the limits in total
        without communication.

        :param visible: number of data centres that share this budget now.
        :param total: number of all data centres.
        """
        with self._lock:
            self._share = max(1, visible) / max(visible, total, 1)

    def set_demand(
        self,
        key: LoadKey,
        source: str,
        waiting: int,
        since_s: float,
    ) -> None:
        """Replace the number of requests from one source that wait for a load.

        :param key: the load.
        :param source: identifies the source.
        :param waiting: number of waiting requests; 0 if none waits any more.
        :param since_s: monotonic time since which the first of them has waited.
        """
        with self._lock:
            sources = self._demands.setdefault(key, {})
            sources[source] = Demand(waiting, since_s)
            if not waiting:
                sources.pop(source)
            if not sources:
                self._demands.pop(key)

    def forget_source(self, source: str) -> None:
        """Remove the demands of a source that has ended."""
        with self._lock:
            for key in tuple(self._demands):
                self._demands[key].pop(source, None)
                if not self._demands[key]:
                    self._demands.pop(key)

    def set_prefetch(self, key: LoadKey, rate: float) -> None:
        """Request a load that no caller's request waits for.

        :param key: the load.
        :param rate: requests a second expected for it, used as its priority;
            0 withdraws the prefetch.
        """
        with self._lock:
            if rate > 0:
                self._prefetches[key] = rate
            else:
                self._prefetches.pop(key, None)

    def grant(self, now_s: float) -> LoadPermit | None:
        """Grant the most urgent load, None if none is ready or at a limit.

        :param now_s: present time, monotonic seconds.
        """
        with self._lock:
            self._expire(now_s)
            full = len(self._permits) >= self.in_flight_limit
            if full or now_s < self._next_start_s():
                return None
            key = self._most_urgent(now_s)
            prefetch = key is None
            if key is None:
                key = self._best_prefetch(now_s)
            if key is None:
                return None
            return self._permit(key, prefetch, now_s)

    def finish(
        self,
        permit: LoadPermit,
        server_id: str,
        loaded: bool,
        now_s: float,
    ) -> None:
        """End a load; a failed one is delayed and then tried elsewhere first.

        :param permit: the permit that was granted.
        :param server_id: id of the server that was to load it.
        :param loaded: whether the server holds the load now.
        :param now_s: present time, monotonic seconds.
        """
        with self._lock:
            if self._permits.get(permit.key) == permit:
                self._permits.pop(permit.key)
            if not loaded:
                self.backoff.add_failure(permit.key, server_id, now_s)
                return
            self.backoff.forget(permit.key)
            self._prefetches.pop(permit.key, None)
            for key in tuple(self._demands):
                if _is_same_version(key, permit.key):
                    self._demands.pop(key)

    def cancel(self, permit: LoadPermit) -> None:
        """Return a permit whose load was not tried; its demands stay.

        If the permit still counts towards the rate, it is no longer counted.
        """
        with self._lock:
            if self._permits.get(permit.key) != permit:
                return
            self._permits.pop(permit.key)
            if permit.number in self._latest_numbers:
                index_of_grant = self._latest_numbers.index(permit.number)
                self._latest_numbers.remove(permit.number)
                del self._due_s[index_of_grant]

    def _permit(
        self,
        key: LoadKey,
        prefetch: bool,
        now_s: float,
    ) -> LoadPermit:
        self._grants += 1
        next_start_s = self._next_start_s()
        is_late = now_s - next_start_s > _MAX_CATCH_UP_S
        self._due_s.append(now_s if is_late else next_start_s)
        self._latest_numbers.append(self._grants)
        permit = LoadPermit(key, self._grants, now_s, prefetch)
        self._permits[key] = permit
        self._prefetches.pop(key, None)
        return permit

    def _next_start_s(self) -> float:
        """Return the monotonic time from which the next load may start.

        As many loads as the store allows in a second may start together, if
        none has started within that second. Data centres that do not know of
        each other's loads start theirs one at a time.
        """
        burst = self._due_s.maxlen or 1 if self._share >= 1 else 1
        if len(self._due_s) < burst:
            return -math.inf
        return self._due_s[-burst] + burst / self.rate

    def _is_ready(self, key: LoadKey, now_s: float) -> bool:
        if key in self._permits:
            return False
        # A single load serves all waiting requests, whatever their data centre.
        if any(
            _is_same_version(key, loading)
            and now_s - permit.granted_s < _SAME_VERSION_DELAY_S
            for loading, permit in self._permits.items()
        ):
            return False
        return self.backoff.is_ready(key, now_s)

    def _most_urgent(self, now_s: float) -> LoadKey | None:
        ready = [key for key in self._demands if self._is_ready(key, now_s)]
        if not ready:
            return None
        if self._grants % _LONGEST_WAIT_INTERVAL == _LONGEST_WAIT_INTERVAL - 1:
            return min(ready, key=self._waiting_since_s)
        return max(ready, key=lambda key: self._total_wait_s(key, now_s))

    def _best_prefetch(self, now_s: float) -> LoadKey | None:
        limit = max(1, math.floor(self.in_flight_limit * _PREFETCH_SHARE))
        if len(self._permits) >= limit:
            return None
        ready = [key for key in self._prefetches if self._is_ready(key, now_s)]
        return max(ready, key=self._prefetches.__getitem__, default=None)

    def _waiting_since_s(self, key: LoadKey) -> float:
        return min(each.since_s for each in self._demands[key].values())

    def _total_wait_s(self, key: LoadKey, now_s: float) -> float:
        return sum(
            each.waiting * max(0, now_s - each.since_s)
            for each in self._demands[key].values()
        )

    def _expire(self, now_s: float) -> None:
        for key, permit in tuple(self._permits.items()):
            if now_s - permit.granted_s > _PERMIT_TTL_S:
                self._permits.pop(key)


def _is_same_version(one: LoadKey, other: LoadKey) -> bool:
    return (one.adapter, one.version) == (other.adapter, other.version)
