"""Ownership of the ranges of idempotency keys, and the logs owned here.

Each key belongs to a range by its hash. The claims of a range are granted by
the one instance that owns it.
"""

import threading
from collections.abc import Callable
from concurrent.futures import Future
from typing import NamedTuple

import cbor2

from wasabicross.claims.claim_log import ClaimLog
from wasabicross.claims.claim_segments import ClaimSegments
from wasabicross.claims.claims import (
    ClaimReply,
    ClaimRequest,
    ClaimState,
    ClaimTable,
    NotOwned,
    SettleReply,
)
from wasabicross.runtime.settings import Settings
from wasabicross.stores.kv import KeyValueStore
from wasabicross.stores.versioned import Versioned

PREFIX = 'claims'
OWNER_TTL_S = 5.0
#: Maximum rate, over all instances, of reads for the owners of free ranges.
OWNER_READS_PER_S = 400.0
MIN_OWNER_READ_S = 0.5
#: Maximum rate of writes to the logs of all ranges together, independent of the
#: numbers of ranges and instances.
MAX_WRITES_PER_S = 320.0
#: Writes to a range's log that may follow each other without delay after a
#: period without writes.
BURST_WRITES = 8
#: Seconds without an owner after which a range is taken even by an instance
#: that already owns its share of the ranges.
ORPHAN_AFTER_S = 5.0
#: Seconds after such a takeover during which no range is released.
ORPHAN_KEEP_S = 60.0


class RangeOwner(NamedTuple):
    """The instance that owns a range.

    :param host: address at which its controller accepts links.
    :param port: port at which its controller accepts links.
    """

    instance_id: str
    host: str
    port: int


class _CachedOwner(NamedTuple):
    present: Versioned
    read_s: float


class ClaimRanges:
    """Takes ranges without an owner and grants claims on those owned here.

    The key that names the owner of a range is tied to a lease that the caller
    renews.  When that lease lapses, the owner still grants claims; it is
    deposed by the first write of the next owner.

    :param kv: the key-value service.
    :param local_owner: this instance and its address for other instances.
    :param ranges: number of ranges, the same at all instances.
    :param horizon_s: seconds for which a key is kept after its last change.
    :param max_run_s: seconds after which the holder of an unsettled claim is
        no longer running.
    :param lease_id: returns the instance's lease, None while it has none.
    """

    def __init__(
        self,
        kv: KeyValueStore,
        local_owner: RangeOwner,
        ranges: int,
        horizon_s: float,
        max_run_s: float,
        lease_id: Callable[[], str | None],
    ) -> None:
        self.ranges = ranges
        self.instances = 1
        self._kv = kv
        self._local_owner = local_owner
        self._horizon_s = horizon_s
        self._max_run_s = max_run_s
        self._lease_id = lease_id
        self._lock = threading.Lock()
        self._logs: dict[int, ClaimLog] = {}
        self._cached_owners: dict[int, _CachedOwner] = {}
        self._free_since_s: dict[int, float] = {}
        self._keep_until_s = float('-inf')
        self._next_range = hash(local_owner.instance_id) % ranges

    @classmethod
    def from_config(
        cls,
        cfg: Settings,
        kv: KeyValueStore,
        lease_id: Callable[[], str | None],
    ) -> 'ClaimRanges':
        """Create the ranges from an instance's settings."""
        local_owner = RangeOwner(
            cfg.instance.instance_id, cfg.instance.host, cfg.controller.port
        )
        return cls(
            kv,
            local_owner,
            cfg.claims.ranges,
            cfg.claims.horizon_s,
            cfg.servers.max_request_s,
            lease_id,
        )

    def owned(self) -> list[int]:
        """Return the ranges owned here."""
        with self._lock:
            return [
                number
                for number, log in self._logs.items()
                if not log.deposed.is_set()
            ]

    def owner_of(self, number: int, now_s: float) -> RangeOwner | None:
        """Return the owner of a range, None if it has none or is unknown.

        :param now_s: present time, monotonic seconds.
        """
        cached = self._cached_owners.get(number)
        if cached is None or now_s - cached.read_s > self._ttl_s(cached):
            cached = self._read(number, now_s) or cached
        return None if cached is None else _owner_in(cached.present)

    def is_local(self, owner: RangeOwner) -> bool:
        """Return whether an owner is this instance."""
        return owner == self._local_owner

    def is_unowned(self, number: int, now_s: float) -> bool:
        """Return whether a recent read found that a range has no owner.

        :param now_s: present time, monotonic seconds.
        """
        cached = self._cached_owners.get(number)
        if cached is None or cached.present.value is not None:
            return False
        return now_s - cached.read_s <= self._ttl_s(cached)

    def invalidate_owner(self, number: int) -> None:
        """Drop the cached owner of a range, so that the next call reads it."""
        cached = self._cached_owners.get(number)
        if cached is not None and cached.present.value is not None:
            self._cached_owners.pop(number, None)

    def step(self, instances: int, now_s: float) -> None:
        """Check the next range, and take it if it is free and due here.

        Each call makes one read, so the cost doesn't grow with the number of
        ranges. A range that stays free is taken even beyond this instance's
        share, since an instance that can't reach the key-value service leaves
        its share free.

        :param instances: number of live instances that share the ranges.
        :param now_s: present time, monotonic seconds.
        """
        self.instances = instances
        self._drop_deposed()
        number = self._next_range
        self._next_range = (number + 1) % self.ranges
        cached = self._read(number, now_s)
        if cached is None:
            return
        if _owner_in(cached.present) not in {None, self._local_owner}:
            self._free_since_s.pop(number, None)
            self._stop_log(number)
            return
        share = -(-self.ranges // max(1, instances))
        if number not in self.owned():
            self._take_if_due(number, cached.present, share, now_s)
        elif len(self.owned()) > share and now_s >= self._keep_until_s:
            self._release(number, cached.present)
        elif cached.present.value is None:
            self._take(number, cached.present, now_s)

    def _take_if_due(
        self, number: int, present: Versioned, share: int, now_s: float
    ) -> None:
        """Take a range within the share, or one that has been free too long."""
        is_orphan = self._is_orphan(number, present, now_s)
        if len(self.owned()) < share:
            self._take(number, present, now_s)
        elif is_orphan:
            self._keep_until_s = now_s + ORPHAN_KEEP_S
            self._take(number, present, now_s)

    def _is_orphan(self, number: int, present: Versioned, now_s: float) -> bool:
        if present.value is not None:
            self._free_since_s.pop(number, None)
            return False
        since_s = self._free_since_s.setdefault(number, now_s)
        return now_s - since_s >= ORPHAN_AFTER_S

    def claim(
        self, number: int, req: ClaimRequest, now_s: float
    ) -> Future[ClaimReply]:
        """Request a claim on a range; `NotOwned` if its log is not here.

        :param now_s: present time, seconds since the epoch.
        """
        log = self._logs.get(number)
        if log is not None:
            return log.claim(req, now_s)
        fut: Future[ClaimReply] = Future()
        fut.set_result(NotOwned())
        return fut

    def settle(
        self,
        number: int,
        req: ClaimRequest,
        state: ClaimState,
        answer: bytes,
        now_s: float,
    ) -> Future[SettleReply]:
        """Record the outcome of a claim on a range owned here.

        :param now_s: present time, seconds since the epoch.
        """
        log = self._logs.get(number)
        if log is not None:
            return log.settle(req, state, answer, now_s)
        fut: Future[SettleReply] = Future()
        fut.set_result(SettleReply.not_owner)
        return fut

    def settle_lost_holders(
        self, prefix: str, now_s: float, excluded_prefix: str = ''
    ) -> None:
        """Settle the open claims of crashed holders in all ranges owned here.

        :param prefix: prefix of the names of these holders.
        :param now_s: present time, seconds since the epoch.
        :param excluded_prefix: leave out holders whose names begin with this;
            empty for none.
        """
        with self._lock:
            logs = list(self._logs.values())
        for log in logs:
            log.settle_lost_holders(prefix, now_s, excluded_prefix)

    def stop(self) -> None:
        """Write pending records and release all ranges."""
        for number in self.owned():
            cached = self._cached_owners.get(number)
            if cached is not None:
                self._release(number, cached.present)

    def _ttl_s(self, cached: _CachedOwner) -> float:
        """Return the seconds for which a read stays valid.

        A free range is usually taken soon, so its reads expire earlier.
        """
        if cached.present.value is not None:
            return OWNER_TTL_S
        readers = self.instances * self.ranges
        return min(
            OWNER_TTL_S, max(MIN_OWNER_READ_S, readers / OWNER_READS_PER_S)
        )

    def _read(self, number: int, now_s: float) -> _CachedOwner | None:
        present = self._kv.get(_owner_key(number))
        if present.is_error():
            return None
        self._cached_owners[number] = _CachedOwner(present.ok, now_s)
        return self._cached_owners[number]

    def _take(self, number: int, present: Versioned, now_s: float) -> None:
        lease_id = self._lease_id()
        if lease_id is None:
            return
        encoded = cbor2.dumps(list(self._local_owner))
        swapped = self._kv.compare_and_swap(
            _owner_key(number), encoded, present.version, lease_id
        )
        if swapped.is_error():
            # If the swap was applied all the same, the next read shows it.
            self.invalidate_owner(number)
            return
        self._cached_owners[number] = _CachedOwner(swapped.ok, now_s)
        self._free_since_s.pop(number, None)
        if number not in self.owned():
            self._start_log(number)

    def _start_log(self, number: int) -> None:
        log = ClaimLog(
            ClaimSegments(self._kv, f'{PREFIX}/{number}'),
            ClaimTable(self._horizon_s, self._max_run_s),
            self._horizon_s,
            self.ranges / MAX_WRITES_PER_S,
            burst_writes=BURST_WRITES,
        )
        if log.take_over().is_ok():
            with self._lock:
                self._logs[number] = log

    def _release(self, number: int, present: Versioned) -> None:
        self._stop_log(number)
        self._kv.compare_and_swap(_owner_key(number), None, present.version)
        self.invalidate_owner(number)

    def _stop_log(self, number: int) -> None:
        with self._lock:
            log = self._logs.pop(number, None)
        if log is not None:
            log.stop()

    def _drop_deposed(self) -> None:
        with self._lock:
            self._logs = {
                number: log
                for number, log in self._logs.items()
                if not log.deposed.is_set()
            }


def _owner_key(number: int) -> str:
    return f'{PREFIX}/{number}/owner'


def _owner_in(present: Versioned) -> RangeOwner | None:
    if present.value is None:
        return None
    instance_id, host, port = cbor2.loads(present.value)
    return RangeOwner(instance_id, host, port)
