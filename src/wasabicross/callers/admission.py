"""Bounded admission of requests, with fair shares between tenants."""

from __future__ import annotations

import math
import random
import threading
from collections import Counter
from collections.abc import Mapping
from typing import NamedTuple, TypeAlias

#: Fraction of the room in use up to which tenants may exceed their shares.
_BORROW_FILL = 0.9

#: Seconds after its last request for which a tenant counts as active.
_ACTIVE_S = 10.0

#: Weight of the latest run time in the moving average.
_RUN_TIME_WEIGHT = 0.05

#: Half-life of the count of recent refusals, in seconds.
_REFUSAL_HALF_LIFE_S = 5.0

_MIN_RETRY_AFTER_S = 1.0

_MIN_JITTER_S = 3.0

_MAX_RETRY_AFTER_S = 30.0

_MIN_RUN_S = 0.01

#: Key under which calls to plain services are counted.
_SERVICE_CALLS = ('adapter', '')


class AdmissionLimits(NamedTuple):
    """How many requests may be in flight, including waiting ones.

    :param capacity: maximum number of requests.
    :param slots: model calls that the reachable engines run concurrently for
        this process; further ones wait.
    :param adapter_share: share of the capacity that one adapter may take.
    :param class_shares: share of the capacity by request class, 1 for classes
        that aren't named.
    :param tenant_weights: weight by tenant, 1 for tenants that aren't named.
    :param run_s: run time in seconds that is assumed before requests have run.
    :param max_wait_s: longest expected wait for a slot, in seconds, with which
        a model call is admitted, even if its deadline is later.
    """

    capacity: int
    slots: int
    adapter_share: float = 0.5
    class_shares: Mapping[str, float] = {}
    tenant_weights: Mapping[str, float] = {}
    run_s: float = 4
    max_wait_s: float = 10


class Admitted(NamedTuple):
    """Token of an admitted request, to be released exactly once."""

    tenant: str
    request_class: str
    adapter: str
    number: int


class Refused(NamedTuple):
    """A request that was refused, and not run, and may be sent again.

    :param reason: `capacity`, `tenant-share`, `class-limit`, `adapter-limit`,
        `deadline` or `queue`.
    :param retry_after_s: whole seconds after which to send it again.
    """

    reason: str
    retry_after_s: int


AdmitAnswer: TypeAlias = Admitted | Refused


class Admission:
    """Admits requests while there is room, and refuses others at once.

    A tenant may exceed its fair share while a tenth of the room stays free
    for tenants within theirs. Thread-safe.

    :param limits: how many requests may be in flight.
    :param rng: randomises the times at which refused callers retry.
    """

    def __init__(self, limits: AdmissionLimits, rng: random.Random) -> None:
        self._limits = limits
        self._rng = rng
        self._lock = threading.Lock()
        self._open: dict[int, Admitted] = {}
        self._counts: Counter[tuple[str, str]] = Counter()
        self._last_seen_s: dict[str, float] = {}
        self._run_s = limits.run_s
        self._refusals: float = 0
        self._last_refused_s: float = 0
        self._number = 0

    @property
    def in_flight(self) -> int:
        """Number of requests admitted and not yet released."""
        return len(self._open)

    def set_limits(self, limits: AdmissionLimits) -> None:
        """Change the limits; requests in flight stay admitted."""
        with self._lock:
            self._limits = limits

    def set_slots(self, slots: int) -> None:
        """Change how many model calls run concurrently for this process."""
        self.set_limits(self._limits._replace(slots=slots))

    def admit(
        self,
        tenant: str,
        request_class: str,
        adapter: str,
        deadline_s: float,
        now_s: float,
    ) -> AdmitAnswer:
        """Admit a request or refuse it at once.

        :param adapter: name of the adapter, empty for plain services.
        :param deadline_s: seconds left until the caller's deadline.
        :param now_s: present time, monotonic seconds.
        """
        with self._lock:
            self._last_seen_s[tenant] = now_s
            request = Admitted(
                tenant,
                request_class,
                adapter,
                self._number,
            )
            reason = self._refusal_reason(request, deadline_s, now_s)
            if reason:
                return Refused(reason, self._retry_after_s(now_s))
            self._number += 1
            self._open[request.number] = request
            self._counts.update(_count_keys(request))
            return request

    def release(self, token: Admitted, run_s: float | None = None) -> None:
        """Release a request's place; a second call has no effect.

        :param run_s: seconds that the request ran on its server, if it did;
            updates the average run time.
        """
        with self._lock:
            if self._open.pop(token.number, None) is None:
                return
            for count_key in _count_keys(token):
                self._counts[count_key] -= 1
                if not self._counts[count_key]:
                    self._counts.pop(count_key)
            if run_s is not None:
                self._run_s += _RUN_TIME_WEIGHT * (run_s - self._run_s)

    def retry_after_s(self, now_s: float) -> int:
        """Return the seconds after which a failed request may be retried.

        The times are randomised in the same way as those of refused callers.

        :param now_s: present time, monotonic seconds.
        """
        with self._lock:
            return self._retry_after_s(now_s)

    def expected_wait_s(self) -> float:
        """Estimate how long a model call admitted now waits for a slot."""
        slots = max(1, self._limits.slots)
        queued = max(0, self._model_calls() + 1 - slots)
        return queued * self._run_s / slots

    def fair_share(self, tenant: str, now_s: float) -> float:
        """Return how many requests a tenant may always have in flight."""
        weights = self._limits.tenant_weights
        self._drop_idle_tenants(now_s)
        active = {tenant, *self._last_seen_s}
        total = sum(weights.get(name, 1) for name in active)
        return self._room() * weights.get(tenant, 1) / total

    def _refusal_reason(
        self,
        request: Admitted,
        deadline_s: float,
        now_s: float,
    ) -> str:
        capacity = self._limits.capacity
        of_tenant, of_class, of_adapter = (
            self._counts[count_key] + 1 for count_key in _count_keys(request)
        )
        of_all = self._model_calls() if request.adapter else len(self._open)
        room = self._room() if request.adapter else capacity
        is_over = of_tenant > max(1, self.fair_share(request.tenant, now_s))
        checks = (
            ('capacity', len(self._open) >= capacity),
            ('queue', of_all >= room),
            ('class-limit', of_class > self._class_limit(request)),
            ('adapter-limit', of_adapter > self._adapter_limit(request)),
            ('tenant-share', is_over and of_all >= room * _BORROW_FILL),
            ('deadline', self._wait_s(request) >= deadline_s),
        )
        return next((reason for reason, failed in checks if failed), '')

    def _wait_s(self, request: Admitted) -> float:
        """Estimate a request's wait; plain services have no slots."""
        return self.expected_wait_s() if request.adapter else 0

    def _model_calls(self) -> int:
        return len(self._open) - self._counts[_SERVICE_CALLS]

    def _room(self) -> float:
        """Return how many model calls may be in flight within `max_wait_s`."""
        slots = max(1, self._limits.slots)
        waits = self._limits.max_wait_s / max(self._run_s, _MIN_RUN_S)
        return min(self._limits.capacity, slots * (1 + waits))

    def _class_limit(self, request: Admitted) -> float:
        shares = self._limits.class_shares
        return self._limits.capacity * shares.get(request.request_class, 1)

    def _adapter_limit(self, request: Admitted) -> float:
        if not request.adapter:
            return math.inf
        return max(1, self._limits.capacity * self._limits.adapter_share)

    def _retry_after_s(self, now_s: float) -> int:
        """Draw a retry time, spread over the time to serve those refused."""
        age_s = max(0, now_s - self._last_refused_s)
        self._refusals *= math.exp2(-age_s / _REFUSAL_HALF_LIFE_S)
        self._refusals += 1
        self._last_refused_s = now_s
        slots = max(1, self._limits.slots)
        jitter_s = _MIN_JITTER_S + self._refusals * self._run_s / slots
        earliest_s = max(_MIN_RETRY_AFTER_S, self.expected_wait_s())
        latest_s = earliest_s * 2 + jitter_s
        delay_s = self._rng.uniform(earliest_s, latest_s)
        if delay_s > _MAX_RETRY_AFTER_S:
            # Times beyond the limit are spread below it, so that these
            # callers don't all retry at the same time.
            delay_s = self._rng.uniform(
                _MAX_RETRY_AFTER_S / 2,
                _MAX_RETRY_AFTER_S,
            )
        return math.ceil(delay_s)

    def _drop_idle_tenants(self, now_s: float) -> None:
        idle_tenants = [
            tenant
            for tenant, seen_s in self._last_seen_s.items()
            if now_s - seen_s > _ACTIVE_S
            and not self._counts[('tenant', tenant)]
        ]
        for tenant in idle_tenants:
            self._last_seen_s.pop(tenant)


def _count_keys(request: Admitted) -> tuple[tuple[str, str], ...]:
    return (
        ('tenant', request.tenant),
        ('class', request.request_class),
        ('adapter', request.adapter),
    )
