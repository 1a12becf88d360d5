"""Usage of the adapters on one engine, as gateways report it to its owner.

Reports of an engine lag, and many gateways choose by them. What gateways report
of their own requests arrives sooner, so the owner counts that as well.
"""

from __future__ import annotations

import math
from collections.abc import Container, Iterator
from typing import NamedTuple

from wasabicross.gateway.backend import AdapterKey
from wasabicross.gateway.loading.orphan_check import OrphanCheck
from wasabicross.gateway.loading.slot_turnover import SlotTurnover
from wasabicross.loads.popularity import Popularity

#: Time after its last use during which an adapter isn't free for eviction. In
#: this time a gateway reports a use that began meanwhile.
_MIN_IDLE_S = 0.05

#: How long the last use of an adapter that isn't held is kept.
_FORGET_AFTER_S = 30.0

#: How long running requests protect their adapter without a further report of
#: their gateway.
_SILENT_GATEWAY_S = 8.0

#: How long running requests are counted without a further report; gateways
#: repeat ongoing usage more often than that.
_USAGE_LIFETIME_S = 1.2


class GatewayUsage(NamedTuple):
    """What a gateway last reported of its usage of an adapter.

    :param running: its running requests.
    :param reported_s: when its report came, monotonic seconds.
    :param unread_tokens: prompt tokens of requests whose answer hasn't begun.
    """

    running: int
    reported_s: float
    unread_tokens: int = 0


class AdapterActivity(NamedTuple):
    """The usage of an adapter by all gateways.

    :param last_s: when usage was last reported, monotonic seconds.
    :param by_gateway: usage of the gateways that have requests running or
        waiting.
    """

    last_s: float
    by_gateway: dict[str, GatewayUsage]


class EngineUsage:
    """Tracks which adapters of an engine are used and by how many requests."""

    def __init__(self) -> None:
        self._activities: dict[AdapterKey, AdapterActivity] = {}
        self._reported_running = 0
        self._popularity = Popularity()
        #: How often adapters become free.
        self.turnover = SlotTurnover()
        #: Requests that wait at the engine, from its last report.
        self.queued = 0
        self._orphan_check = OrphanCheck()
        self._disconnected: set[str] = set()
        #: Gateways whose requests may still run though they can't report.
        self._lost: set[str] = set()

    def on_report(
        self, queued: int, running: int, asked_s: float, now_s: float
    ) -> None:
        """Record the counts of requests that the engine reports.

        :param queued: requests that wait there.
        :param running: requests in its batch.
        :param asked_s: when the report was requested, monotonic seconds.
        :param now_s: the present time, monotonic seconds.
        """
        self.queued = queued
        self._reported_running = running
        self._update_lost(now_s)
        if not self._lost:
            return
        self._orphan_check.on_known(self.requests(now_s), now_s)
        if not self._orphan_check.has_orphans(queued + running, asked_s):
            self._drop_lost_usage(now_s)

    def on_disconnected(self, gateway: str) -> None:
        """Record that a gateway can't report its usage at present.

        :param gateway: name of the gateway.
        """
        self._disconnected.add(gateway)

    def _update_lost(self, now_s: float) -> None:
        """Find the gateways whose usage is known from before they were lost.

        Counts from before a gateway was lost include its requests, so they
        can't be compared with a report any more.
        """
        lost = {
            gateway
            for activity in self._activities.values()
            for gateway, usage in activity.by_gateway.items()
            if not self._is_connected(gateway, usage, now_s)
        }
        if lost != self._lost:
            self._orphan_check = OrphanCheck()
        self._lost = lost

    def _drop_lost_usage(self, now_s: float) -> None:
        """Drop the usage of lost gateways, none of whose requests is left."""
        for gateway in self._lost:
            self.forget_usage(gateway, now_s)

    def _is_connected(
        self, gateway: str, usage: GatewayUsage, now_s: float
    ) -> bool:
        if gateway in self._disconnected:
            return False
        return now_s - usage.reported_s < _USAGE_LIFETIME_S

    def running(self, now_s: float) -> int:
        """Return the number of running requests, the larger of two counts.

        The engine reports one; the other is what gateways report, less the
        requests in the engine's queue.

        :param now_s: the present time, monotonic seconds.
        """
        return max(self._reported_running, self.requests(now_s) - self.queued)

    def on_use(
        self,
        key: AdapterKey,
        gateway: str,
        running: int,
        now_s: float,
        unread_tokens: int = 0,
    ) -> None:
        """Record a gateway's usage of an adapter.

        :param key: the adapter.
        :param gateway: name of the gateway that uses it.
        :param running: its running requests that use the adapter.
        :param now_s: the present time, monotonic seconds.
        :param unread_tokens: prompt tokens of those whose answer hasn't begun.
        """
        self._disconnected.discard(gateway)
        by_gateway = dict(
            self._activities.get(key, AdapterActivity(now_s, {})).by_gateway
        )
        before = by_gateway.pop(gateway, None)
        running_before = before.running if before else 0
        new_requests = running - running_before
        if new_requests > 0:
            self._popularity.add(_name(key), now_s, new_requests)
        if running or unread_tokens:
            by_gateway[gateway] = GatewayUsage(running, now_s, unread_tokens)
        if before and not by_gateway:
            self.turnover.on_freed(now_s)
        self._activities[key] = AdapterActivity(now_s, by_gateway)
        if self._lost:
            self._orphan_check.on_known(self.requests(now_s), now_s)

    def forget_usage(self, gateway: str, now_s: float) -> None:
        """Drop the usage of a gateway, which reports all of it again.

        :param gateway: name of the gateway.
        :param now_s: the present time, monotonic seconds.
        """
        for key, activity in tuple(self._activities.items()):
            if gateway in activity.by_gateway:
                self.on_use(key, gateway, 0, now_s)

    def is_free(self, key: AdapterKey, now_s: float) -> bool:
        """Return whether an adapter is unused and wasn't used recently.

        :param key: the adapter.
        :param now_s: the present time, monotonic seconds.
        """
        return now_s >= self.free_at_s(key)

    def free_at_s(self, key: AdapterKey) -> float:
        """Return from when on an adapter is free unless it is used again.

        A disconnected gateway may still run requests that it can't report, so
        its last report protects the adapter for a while. Uses by others don't
        prolong that, since the gateway may be gone for good.

        :param key: the adapter.
        :return: monotonic seconds.
        """
        activity = self._activities.get(key)
        if activity is None:
            return -math.inf
        reported_s = (
            usage.reported_s for usage in activity.by_gateway.values()
        )
        silent_s = max(reported_s, default=-math.inf) + _SILENT_GATEWAY_S
        return max(silent_s, activity.last_s + _MIN_IDLE_S)

    def rate(self, key: AdapterKey, now_s: float) -> float:
        """Estimate the requests for an adapter on this engine, per second.

        :param key: the adapter.
        :param now_s: the present time, monotonic seconds.
        """
        return self._popularity.rate(_name(key), now_s)

    def last_use_s(self, key: AdapterKey) -> float:
        """Return when usage of an adapter was last reported.

        :param key: the adapter.
        """
        activity = self._activities.get(key)
        return activity.last_s if activity else -math.inf

    def requests(self, now_s: float) -> int:
        """Count the requests that gateways run on the engine.

        :param now_s: the present time, monotonic seconds.
        """
        return sum(usage.running for usage in self._current(now_s))

    def unread_tokens(self, now_s: float) -> int:
        """Count the prompt tokens that the engine still has to prefill.

        :param now_s: the present time, monotonic seconds.
        """
        return sum(usage.unread_tokens for usage in self._current(now_s))

    def _current(self, now_s: float) -> Iterator[GatewayUsage]:
        """Yield the usage that was reported recently enough to count."""
        for activity in self._activities.values():
            for gateway, usage in activity.by_gateway.items():
                if self._is_connected(gateway, usage, now_s):
                    yield usage

    def drop_old(self, held: Container[AdapterKey], now_s: float) -> None:
        """Drop old usage of adapters that aren't held.

        :param held: adapters that the engine holds; their usage is kept.
        :param now_s: the present time, monotonic seconds.
        """
        self._activities = {
            key: activity
            for key, activity in self._activities.items()
            if key in held or now_s - activity.last_s < _FORGET_AFTER_S
        }


def _name(key: AdapterKey) -> str:
    return f'{key.model}/{key.adapter}'
