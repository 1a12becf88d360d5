"""The claims of one range: one thread writes all that wait in one batch."""

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

MAX_WAITING = 2_000
MAX_BATCH = 200
RETRY_S = 0.1
RETRY_AFTER_S = 2.0
TRIM_SEGMENTS = 8
KEEPALIVES = 8
UNAVAILABLE = ClaimUnavailable(RETRY_AFTER_S)


class _Waiting(NamedTuple):
    record: ClaimRecord
    claim: Future[ClaimReply] | None
    settled: Future[SettleReply] | None
    since_s: float


class ClaimLog:
    """Grants claims of one range while this instance owns it.

    :param segments: the range's log in the key-value service.
    :param table: states of the range's keys.
    :param horizon_s: seconds for which a key is remembered.
    :param interval_s: seconds between the starts of two writes on average.
    :param wait_s: seconds a claim waits for its write at most.
    :param burst_writes: writes that may start at once after a quiet time.
    """

    def __init__(
        self,
        segments: ClaimSegments,
        table: ClaimTable,
        horizon_s: float,
        interval_s: float = 0,
        wait_s: float = RETRY_AFTER_S,
        burst_writes: int = 1,
    ) -> None:
        self.deposed = threading.Event()
        self._segments = segments
        self._table = table
        self._horizon_s = horizon_s
        self._interval_s = interval_s
        self._wait_s = wait_s
        self._burst_s = (burst_writes - 1) * interval_s
        self._changed = threading.Condition()
        self._waiting: list[_Waiting] = []
        self._written_s = float('-inf')
        self._thread: threading.Thread | None = None

    def take_over(self) -> Result[None, ClaimError]:
        """Read the log, shut out its earlier owner and start to grant.

        :return: ``None``, or an error after which nothing is granted here.
        """
        taken = self._segments.take_over()
        if taken.is_error():
            return Error(taken.error)
        for record in taken.ok:
            self._table.apply(record)
        self._written_s = time.monotonic()
        self._thread = threading.Thread(
            target=self._run, name='claim-log', daemon=True
        )
        self._thread.start()
        return Ok(None)

    def claim(self, req: ClaimRequest, now_s: float) -> Future[ClaimReply]:
        """Ask for a claim.

        A claim whose asker no longer waits must be settled as not run.

        :param now_s: seconds since the epoch.
        :return: done at once, or once the claim is durable.
        """
        fut: Future[ClaimReply] = Future()
        with self._changed:
            reply = self._reply(req, now_s)
            if reply is None:
                record = ClaimRecord(ClaimState.CLAIMED, *req, now_s)
                self._table.apply(record)
                self._add(_Waiting(record, fut, None, time.monotonic()))
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
        """Tell the outcome of a claimed request; repeats change nothing.

        :param req: key and holder of the claim.
        :param state: any but ``CLAIMED``.
        :param answer: what to give to repeats of a completed request.
        :param now_s: seconds since the epoch.
        :return: for a release, done once it is durable or can't be made so
            now; for other outcomes done at once.  The claim stands in the log
            until their write, so that nothing is run again.
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
                self._table.keep_answer(req.key, answer)
            if len(self._waiting) < 2 * MAX_WAITING:
                # A repeat is written again: the first write may be waiting.
                settled = fut if is_release else None
                self._add(_Waiting(record, None, settled, time.monotonic()))
                reply = None if is_release else SettleReply.noted
        if reply is not None:
            fut.set_result(reply)
        return fut

    def settle_lost_holders(
        self, prefix: str, now_s: float, spared: str = ''
    ) -> None:
        """Note that the holders of a name prefix have died.

        What they hold and have not settled is told as unknown from now on.

        :param prefix: common start of the names of a process's holders.
        :param now_s: seconds since the epoch.
        :param spared: such a start of the names of a process that lives.
        """
        with self._changed:
            lost = self._table.held_by(prefix, spared)
        for req in lost:
            self.settle(req, ClaimState.UNKNOWN, b'', now_s)

    def stop(self) -> None:
        """Write what waits, as far as the service answers, and end."""
        with self._changed:
            self.deposed.set()
            self._changed.notify_all()
        if self._thread is not None:
            self._thread.join()

    def _reply(self, req: ClaimRequest, now_s: float) -> ClaimReply | None:
        if self.deposed.is_set():
            return NotOwned()
        if len(self._waiting) >= MAX_WAITING:
            return UNAVAILABLE
        present = self._table.get(req.key)
        reply = self._table.reply(req, now_s)
        if reply is not None and present is not None:
            if present.holder == req.holder and not self._is_waiting(present):
                # The grant's answer was lost; the holder asks again.
                is_held = present.state is ClaimState.CLAIMED
                return Granted() if is_held else reply
        return reply

    def _is_waiting(self, record: ClaimRecord) -> bool:
        return any(each.record == record for each in self._waiting)

    def _add(self, waiting: _Waiting) -> None:
        self._waiting.append(waiting)
        self._changed.notify_all()

    def _run(self) -> None:
        # The start of the next write if none is to be saved up for a burst.
        next_s = time.monotonic()
        while True:
            # A stop writes what waits without delay.
            wait_s = next_s - self._burst_s - time.monotonic()
            self.deposed.wait(max(0, wait_s))
            with self._changed:
                if not self._waiting and not self.deposed.is_set():
                    self._changed.wait(self._horizon_s / KEEPALIVES)
                batch = self._waiting[:MAX_BATCH]
            if self.deposed.is_set() and not batch:
                return
            next_s = max(next_s, time.monotonic()) + self._interval_s
            self._write(batch)
            self._trim(time.time())

    def _write(self, batch: list[_Waiting]) -> None:
        """Write a batch and answer those that wait for it.

        A write whose answer was lost is sent again until it is known whether
        it was applied; nothing else is written before.
        """
        records = tuple(each.record for each in batch)
        prepared = self._segments.prepare(records)
        in_doubt = False
        while True:
            written = self._segments.write(prepared)
            if written.is_ok():
                self._finish(batch, time.monotonic())
                return
            if isinstance(written.error, SwapConflict):
                self._depose(len(batch) if in_doubt else 0)
                return
            is_lost = isinstance(written.error, SwapOutcomeUnknown)
            if not in_doubt and not is_lost:
                self._refuse(batch)
                return
            # The first time it is sent again at once.
            if in_doubt and self._stops_in_doubt(batch):
                return
            in_doubt = True

    def _stops_in_doubt(self, batch: list[_Waiting]) -> bool:
        """Wait for the next try; return whether there is to be none."""
        self._refuse_late(batch, time.monotonic())
        if not self.deposed.wait(RETRY_S):
            return False
        self._depose(len(batch))
        return True

    def _finish(self, batch: list[_Waiting], now_s: float) -> None:
        if now_s - self._written_s > self._horizon_s / 2:
            # After so long a pause the keys that shut this owner out may be
            # trimmed, so that its write says nothing.
            self._depose(len(batch))
            return
        self._written_s = now_s
        with self._changed:
            self._waiting = self._waiting[len(batch) :]
        for each in batch:
            _answer(each, Granted(), SettleReply.durable)

    def _refuse(self, batch: list[_Waiting]) -> None:
        """Answer an unwritten batch; its outcomes go with a later one."""
        with self._changed:
            rest = self._waiting[len(batch) :]
            outcomes = [each for each in batch if each.claim is None]
            self._waiting = [*outcomes, *rest]
            for each in batch:
                if each.claim is not None:
                    self._table.apply(_release(each.record))
        for each in batch:
            _answer(each, UNAVAILABLE, SettleReply.not_durable)
        if self.deposed.wait(RETRY_S):
            self._depose(0)

    def _refuse_late(self, batch: list[_Waiting], now_s: float) -> None:
        """Answer those that have waited too long for a write in doubt.

        The claims of the batch may be written, so their release is too.
        """
        with self._changed:
            late = [
                each
                for each in self._waiting
                if now_s - each.since_s > self._wait_s and _is_open(each)
            ]
            for each in late:
                if each.claim is not None:
                    released = _release(each.record)
                    self._table.apply(released)
                    self._waiting.append(
                        each._replace(record=released, claim=None)
                    )
        for each in late:
            _answer(each, UNAVAILABLE, SettleReply.not_durable)

    def _depose(self, in_doubt: int) -> None:
        """Answer all that wait and take no more.

        :param in_doubt: how many of the first ones may be written; those
            after them surely are not.
        """
        with self._changed:
            self.deposed.set()
            waiting = self._waiting
            self._waiting = []
        for each in waiting[:in_doubt]:
            _answer(each, InDoubt(), SettleReply.not_owner)
        for each in waiting[in_doubt:]:
            _answer(each, NotOwned(), SettleReply.not_owner)

    def _trim(self, now_s: float) -> None:
        """Delete sealed segments whose records are all forgotten."""
        count = 0
        for segment in self._segments.sealed:
            newest_s = max((rec.at_s for rec in segment.records), default=0)
            if newest_s + 2 * self._horizon_s > now_s:
                break
            count += 1
        if count >= TRIM_SEGMENTS:
            self._segments.trim(count)


def _release(claim: ClaimRecord) -> ClaimRecord:
    return claim._replace(state=ClaimState.RELEASED)


def _is_open(waiting: _Waiting) -> bool:
    fut = waiting.claim or waiting.settled
    return fut is not None and not fut.done()


def _answer(waiting: _Waiting, reply: ClaimReply, settled: SettleReply) -> None:
    if waiting.claim is not None and not waiting.claim.done():
        waiting.claim.set_result(reply)
    if waiting.settled is not None and not waiting.settled.done():
        waiting.settled.set_result(settled)
