"""Which instance owns which range of the claims, and the logs owned here."""

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
#: Reads of all instances that look for the owner of a range without one.
LOOKS_PER_S = 400.0
MIN_LOOK_S = 0.5
#: Writes of all ranges together, whatever their number and the fleet's.
MAX_WRITES_PER_S = 320.0
#: Writes of a range that may follow each other at once after a quiet time.
BURST_WRITES = 8
#: After so long without an owner a range is taken beyond the share.
ORPHAN_AFTER_S = 5.0
#: After a range was taken beyond the share, none is given up for so long.
ORPHAN_KEEP_S = 60.0


class RangeOwner(NamedTuple):
    """The instance that owns a range.

    :param host: address of its controller's link.
    :param port: port of its controller's link.
    """

    instance_id: str
    host: str
    port: int


class _Known(NamedTuple):
    present: Versioned
    read_s: float


class ClaimRanges:
    """Takes ranges that nobody owns and grants claims on those owned here.

    The keys of the owners are tied to a lease that the caller renews.  A
    lapsed lease alone deposes nobody: the next owner's first write does.

    :param kv: the key-value service.
    :param me: this instance, as others are to find it.
    :param ranges: number of ranges, the same everywhere.
    :param horizon_s: seconds for which a key is remembered.
    :param running_s: seconds after which a silent holder has ended.
    :param lease_id: returns the instance's lease, None while it has none.
    """

    def __init__(
        self,
        kv: KeyValueStore,
        me: RangeOwner,
        ranges: int,
        horizon_s: float,
        running_s: float,
        lease_id: Callable[[], str | None],
    ) -> None:
        self.ranges = ranges
        self.instances = 1
        self._kv = kv
        self._me = me
        self._horizon_s = horizon_s
        self._running_s = running_s
        self._lease_id = lease_id
        self._lock = threading.Lock()
        self._logs: dict[int, ClaimLog] = {}
        self._known: dict[int, _Known] = {}
        self._free_since_s: dict[int, float] = {}
        self._keep_until_s = float('-inf')
        self._next = hash(me.instance_id) % ranges

    @classmethod
    def from_config(
        cls,
        cfg: Settings,
        kv: KeyValueStore,
        lease_id: Callable[[], str | None],
    ) -> 'ClaimRanges':
        """Make the ranges from an instance's settings."""
        me = RangeOwner(
            cfg.instance.instance_id, cfg.instance.host, cfg.controller.port
        )
        return cls(
            kv,
            me,
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
        """Return the owner of a range, None if there is none or unknown.

        :param now_s: monotonic seconds.
        """
        known = self._known.get(number)
        if known is None or now_s - known.read_s > self._ttl_s(known):
            known = self._read(number, now_s) or known
        return None if known is None else _owner_in(known.present)

    def is_me(self, owner: RangeOwner) -> bool:
        """Tell whether an owner is this instance."""
        return owner == self._me

    def is_unowned(self, number: int, now_s: float) -> bool:
        """Tell whether the service answered lately that a range is free.

        :param now_s: monotonic seconds.
        """
        known = self._known.get(number)
        if known is None or known.present.value is not None:
            return False
        return now_s - known.read_s <= self._ttl_s(known)

    def invalidate_owner(self, number: int) -> None:
        """Read a range's owner again when it is asked for next."""
        known = self._known.get(number)
        if known is not None and known.present.value is not None:
            self._known.pop(number, None)

    def step(self, instances: int, now_s: float) -> None:
        """Look at one range, and take it if it is free and due here.

        One read a call: the cost doesn't grow with the number of ranges.
        A range that stays free is taken beyond this instance's share, since
        an instance that can't reach the service leaves its share free.

        :param instances: live instances among which the ranges are shared.
        :param now_s: monotonic seconds.
        """
        self.instances = instances
        self._drop_deposed()
        number = self._next
        self._next = (number + 1) % self.ranges
        known = self._read(number, now_s)
        if known is None:
            return
        if _owner_in(known.present) not in {None, self._me}:
            self._free_since_s.pop(number, None)
            self._stop_log(number)
            return
        share = -(-self.ranges // max(1, instances))
        if number not in self.owned():
            self._consider(number, known.present, share, now_s)
        elif len(self.owned()) > share and now_s >= self._keep_until_s:
            self._give_up(number, known.present)
        elif known.present.value is None:
            self._take(number, known.present, now_s)

    def _consider(
        self, number: int, present: Versioned, share: int, now_s: float
    ) -> None:
        """Take a range if it is due here, or has been free for long."""
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
        """Ask for a claim on a range that is or was owned here.

        :param now_s: seconds since the epoch.
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
        """Tell the outcome of a claim on a range owned here.

        :param now_s: seconds since the epoch.
        """
        log = self._logs.get(number)
        if log is not None:
            return log.settle(req, state, answer, now_s)
        fut: Future[SettleReply] = Future()
        fut.set_result(SettleReply.not_owner)
        return fut

    def settle_lost_holders(
        self, prefix: str, now_s: float, spared: str = ''
    ) -> None:
        """Note in each range owned here that holders have died.

        :param prefix: what their names begin with.
        :param now_s: seconds since the epoch.
        :param spared: what the names of others begin with, empty for none.
        """
        with self._lock:
            logs = list(self._logs.values())
        for log in logs:
            log.settle_lost_holders(prefix, now_s, spared)

    def stop(self) -> None:
        """Write what waits and give all ranges up."""
        for number in self.owned():
            known = self._known.get(number)
            if known is not None:
                self._give_up(number, known.present)

    def _ttl_s(self, known: _Known) -> float:
        """Return how long a read counts; a free range is soon taken."""
        if known.present.value is not None:
            return OWNER_TTL_S
        looks = self.instances * self.ranges
        return min(OWNER_TTL_S, max(MIN_LOOK_S, looks / LOOKS_PER_S))

    def _read(self, number: int, now_s: float) -> _Known | None:
        present = self._kv.get(_owner_key(number))
        if present.is_error():
            return None
        self._known[number] = _Known(present.ok, now_s)
        return self._known[number]

    def _take(self, number: int, present: Versioned, now_s: float) -> None:
        lease_id = self._lease_id()
        if lease_id is None:
            return
        mine = cbor2.dumps(list(self._me))
        swapped = self._kv.compare_and_swap(
            _owner_key(number), mine, present.version, lease_id
        )
        if swapped.is_error():
            # Should it be applied all the same, the next look shows it.
            self.invalidate_owner(number)
            return
        self._known[number] = _Known(swapped.ok, now_s)
        self._free_since_s.pop(number, None)
        if number not in self.owned():
            self._start_log(number)

    def _start_log(self, number: int) -> None:
        log = ClaimLog(
            ClaimSegments(self._kv, f'{PREFIX}/{number}'),
            ClaimTable(self._horizon_s, self._running_s),
            self._horizon_s,
            self.ranges / MAX_WRITES_PER_S,
            burst_writes=BURST_WRITES,
        )
        if log.take_over().is_ok():
            with self._lock:
                self._logs[number] = log

    def _give_up(self, number: int, present: Versioned) -> None:
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
