"""The claims of one range, written to its log in batches by one thread."""

import threading
import time
from concurrent.futures import Future
from typing import NamedTuple

from expression import Error, Ok, Result

from wasabicross.claims.claim_segments import ClaimSegments
from wasabicross.claims.claims import (
    ClaimRecord,
    ClaimReply,
    ClaimRequest,
    ClaimState,
    ClaimTable,
    ClaimUnavailable,
    Granted,
    InDoubt,
    NotOwned,
    SettleReply,
)
from wasabicross.claims.errors import ClaimError
from wasabicross.stores.errors import SwapConflict, SwapOutcomeUnknown

MAX_PENDING = 2_000
MAX_BATCH = 200
RETRY_INTERVAL_S = 0.1
RETRY_AFTER_S = 2.0
MIN_TRIM_SEGMENTS = 8
#: Number of empty writes per horizon while no records are pending. They show
#: whether this instance still owns the log.
KEEPALIVES_PER_HORIZON = 8
UNAVAILABLE = ClaimUnavailable(RETRY_AFTER_S)


class _PendingWrite(NamedTuple):
    record: ClaimRecord
    claim: Future[ClaimReply] | None
    settled: Future[SettleReply] | None
    since_s: float


class ClaimLog:
    """Grants claims of one range while this instance owns it.

    :param segments: the range's log in the key-value service.
    :param table: states of the range's keys.
    :param horizon_s: seconds for which a key is kept after its last change.
    :param interval_s: mean interval between the starts of two writes, seconds.
    :param max_wait_s: maximum wait of a claim for its write, in seconds.
    :param burst_writes: number of writes that may start without delay after a
        period without writes.
    """

    def __init__(
        self,
        segments: ClaimSegments,
        table: ClaimTable,
        horizon_s: float,
        interval_s: float = 0,
        max_wait_s: float = RETRY_AFTER_S,
        burst_writes: int = 1,
    ) -> None:
        self.deposed = threading.Event()
        self._segments = segments
        self._table = table
        self._horizon_s = horizon_s
        self._interval_s = interval_s
        self._max_wait_s = max_wait_s
        self._burst_s = (burst_writes - 1) * interval_s
        self._changed = threading.Condition()
        self._pending: list[_PendingWrite] = []
        self._last_write_s = float('-inf')
        self._thread: threading.Thread | None = None

    def take_over(self) -> Result[None, ClaimError]:
        """Read the log, make its earlier owner's writes fail, start to grant.

        :returns: ``None``, or an error; then this log grants no claims.
        """
        taken = self._segments.take_over()
        if taken.is_error():
            return Error(taken.error)
        for record in taken.ok:
            self._table.apply(record)
        self._last_write_s = time.monotonic()
        self._thread = threading.Thread(
            target=self._run, name='claim-log', daemon=True
        )
        self._thread.start()
        return Ok(None)

    def claim(self, req: ClaimRequest, now_s: float) -> Future[ClaimReply]:
        """Request a claim.

        A caller that stops waiting for the reply must settle the claim as not
        run.

        :param now_s: present time, seconds since the epoch.
        :returns: the reply; done immediately, or when the claim is durable.
        """
        fut: Future[ClaimReply] = Future()
        with self._changed:
            reply = self._reply(req, now_s)
            if reply is None:
                record = ClaimRecord(ClaimState.CLAIMED, *req, now_s)
                self._table.apply(record)
                self._add(_PendingWrite(record, fut, None, time.monotonic()))
        if reply is not None:
            fut.set_result(reply)
        return fut

    def settle(
        self,
        req: ClaimRequest,
        state: ClaimState,
        answer: bytes,
        now_s: float,
    ) -> Future[SettleReply]:
        """Record the outcome of a claimed request; repeats change nothing.

        :param req: key and holder of the claim.
        :param state: the outcome, any state but ``CLAIMED``.
        :param answer: answer for repeats of a completed request.
        :param now_s: present time, seconds since the epoch.
        :returns: for a release, done when it is durable or its write has failed
            or timed out; for other outcomes done immediately.  Until these are
            written, the log has the key as claimed, so the request is not run
            again.
        """
        fut: Future[SettleReply] = Future()
        is_release = state is ClaimState.RELEASED
        record = ClaimRecord(state, *req, now_s)
        with self._changed:
            if self.deposed.is_set():
                fut.set_result(SettleReply.not_owner)
                return fut
            reply: SettleReply | None = SettleReply.not_durable
            if self._table.apply(record) and state is ClaimState.COMPLETED:
                self._table.cache_answer(req.key, answer)
            if len(self._pending) < 2 * MAX_PENDING:
                # A repeat is written again, since the first write may still be
                # pending.
                settled = fut if is_release else None
                self._add(
                    _PendingWrite(record, None, settled, time.monotonic())
                )
                reply = None if is_release else SettleReply.noted
        if reply is not None:
            fut.set_result(reply)
        return fut

    def settle_lost_holders(
        self, prefix: str, now_s: float, excluded_prefix: str = ''
    ) -> None:
        """Settle as unknown the open claims of holders that have crashed.

        :param prefix: common prefix of the names of a process's holders.
        :param now_s: present time, seconds since the epoch.
        :param excluded_prefix: prefix of the names of holders in a process
            that still runs; empty for none.
        """
        with self._changed:
            lost = self._table.open_claims_of(prefix, excluded_prefix)
        for req in lost:
            self.settle(req, ClaimState.UNKNOWN, b'', now_s)

    def stop(self) -> None:
        """Write pending records if the service answers, and end the thread."""
        with self._changed:
            self.deposed.set()
            self._changed.notify_all()
        if self._thread is not None:
            self._thread.join()

    def _reply(self, req: ClaimRequest, now_s: float) -> ClaimReply | None:
        if self.deposed.is_set():
            return NotOwned()
        if len(self._pending) >= MAX_PENDING:
            return UNAVAILABLE
        present = self._table.get(req.key)
        reply = self._table.reply(req, now_s)
        if reply is not None and present is not None:
            if present.holder == req.holder and not self._is_pending(present):
                # The holder repeats its request since the reply was lost.
                is_held = present.state is ClaimState.CLAIMED
                return Granted() if is_held else reply
        return reply

    def _is_pending(self, record: ClaimRecord) -> bool:
        return any(each.record == record for each in self._pending)

    def _add(self, pending: _PendingWrite) -> None:
        self._pending.append(pending)
        self._changed.notify_all()

    def _run(self) -> None:
        # Start of the next write at the mean interval; it may start earlier by
        # the time reserved for bursts.
        next_s = time.monotonic()
        while True:
            # After a stop the pending records are written without delay.
            wait_s = next_s - self._burst_s - time.monotonic()
            self.deposed.wait(max(0, wait_s))
            with self._changed:
                if not self._pending and not self.deposed.is_set():
                    self._changed.wait(self._horizon_s / KEEPALIVES_PER_HORIZON)
                batch = self._pending[:MAX_BATCH]
            if self.deposed.is_set() and not batch:
                return
            next_s = max(next_s, time.monotonic()) + self._interval_s
            self._write(batch)
            self._trim(time.time())

    def _write(self, batch: list[_PendingWrite]) -> None:
        """Write a batch and answer the callers that wait for it.

        A write whose answer was lost is sent again until it is known whether
        it was applied; no other write is sent until then.
        """
        records = tuple(each.record for each in batch)
        prepared = self._segments.prepare(records)
        in_doubt = False
        while True:
            written = self._segments.write(prepared)
            if written.is_ok():
                self._complete(batch, time.monotonic())
                return
            if isinstance(written.error, SwapConflict):
                self._depose(len(batch) if in_doubt else 0)
                return
            is_lost = isinstance(written.error, SwapOutcomeUnknown)
            if not in_doubt and not is_lost:
                self._refuse(batch)
                return
            # The first retry has no delay.
            if in_doubt and self._stops_while_in_doubt(batch):
                return
            in_doubt = True

    def _stops_while_in_doubt(self, batch: list[_PendingWrite]) -> bool:
        """Wait before the next retry; return True if the log was stopped."""
        self._refuse_overdue(batch, time.monotonic())
        if not self.deposed.wait(RETRY_INTERVAL_S):
            return False
        self._depose(len(batch))
        return True

    def _complete(self, batch: list[_PendingWrite], now_s: float) -> None:
        if now_s - self._last_write_s > self._horizon_s / 2:
            # A later owner may have trimmed the segments that make writes of
            # this one conflict, so a successful write proves no ownership.
            self._depose(len(batch))
            return
        self._last_write_s = now_s
        with self._changed:
            self._pending = self._pending[len(batch) :]
        for each in batch:
            _resolve(each, Granted(), SettleReply.durable)

    def _refuse(self, batch: list[_PendingWrite]) -> None:
        """Refuse the claims of an unwritten batch; retry its outcomes later."""
        with self._changed:
            rest = self._pending[len(batch) :]
            outcomes = [each for each in batch if each.claim is None]
            self._pending = [*outcomes, *rest]
            for each in batch:
                if each.claim is not None:
                    self._table.apply(_released_record(each.record))
        for each in batch:
            _resolve(each, UNAVAILABLE, SettleReply.not_durable)
        if self.deposed.wait(RETRY_INTERVAL_S):
            self._depose(0)

    def _refuse_overdue(self, batch: list[_PendingWrite], now_s: float) -> None:
        """Answer callers that have waited too long for a write in doubt.

        Their claims may have been written, so a release is written for each.
        """
        with self._changed:
            overdue = [
                each
                for each in self._pending
                if now_s - each.since_s > self._max_wait_s
                and _is_unanswered(each)
            ]
            for each in overdue:
                if each.claim is not None:
                    released = _released_record(each.record)
                    self._table.apply(released)
                    self._pending.append(
                        each._replace(record=released, claim=None)
                    )
        for each in overdue:
            _resolve(each, UNAVAILABLE, SettleReply.not_durable)

    def _depose(self, in_doubt: int) -> None:
        """Answer all pending callers and accept no more.

        :param in_doubt: number of records, from the start of the queue, that
            may have been written; the ones after them certainly were not.
        """
        with self._changed:
            self.deposed.set()
            pending = self._pending
            self._pending = []
        for each in pending[:in_doubt]:
            _resolve(each, InDoubt(), SettleReply.not_owner)
        for each in pending[in_doubt:]:
            _resolve(each, NotOwned(), SettleReply.not_owner)

    def _trim(self, now_s: float) -> None:
        """Delete sealed segments whose records are all beyond the horizon."""
        count = 0
        for segment in self._segments.sealed:
            newest_s = max(
                (record.at_s for record in segment.records), default=0
            )
            if newest_s + 2 * self._horizon_s > now_s:
                break
            count += 1
        if count >= MIN_TRIM_SEGMENTS:
            self._segments.trim(count)


def _released_record(claim: ClaimRecord) -> ClaimRecord:
    return claim._replace(state=ClaimState.RELEASED)


def _is_unanswered(pending: _PendingWrite) -> bool:
    fut = pending.claim or pending.settled
    return fut is not None and not fut.done()


def _resolve(
    pending: _PendingWrite, reply: ClaimReply, settled: SettleReply
) -> None:
    if pending.claim is not None and not pending.claim.done():
        pending.claim.set_result(reply)
    if pending.settled is not None and not pending.settled.done():
        pending.settled.set_result(settled)
