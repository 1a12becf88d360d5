"""The segments of a range's claim log, stored in the key-value service."""

import secrets
from typing import NamedTuple

import cbor2
from expression import Error, Ok, Result

from wasabicross.claims.claims import ClaimRecord, ClaimState
from wasabicross.claims.errors import (
    ClaimError,
    ClaimLogDeposed,
    ClaimLogUnavailable,
)
from wasabicross.stores.errors import (
    KeyValueError,
    SwapConflict,
    SwapOutcomeUnknown,
)
from wasabicross.stores.kv import KeyValueStore
from wasabicross.stores.versioned import Versioned

SEGMENT_BYTES = 16 * 1024
NONCE_BYTES = 12
TAKE_OVER_ATTEMPTS = 100


class Segment(NamedTuple):
    """One segment of the log, stored under one key.

    :param seq: position in the log.
    :param version: version of its key in the key-value service.
    :param records: all its records, in order.
    :param size: size of its value in bytes.
    """

    seq: int
    version: int
    records: tuple[ClaimRecord, ...]
    size: int


class PreparedWrite(NamedTuple):
    """A write that may be sent repeatedly until its outcome is known.

    :param segment: the segment after the write, with the version that its key
        has before the write.
    """

    segment: Segment
    value: bytes


class ClaimSegments:
    """Reads and writes the segments of one range.

    Only the last segment changes: a batch is appended to it, or starts the
    next one.  A new owner creates the next segment and rewrites the last one,
    so the next write of an earlier owner conflicts, whichever of the two
    segments it goes to.

    :param kv: the key-value service.
    :param prefix: prefix of the range's keys.
    """

    def __init__(self, kv: KeyValueStore, prefix: str) -> None:
        self._kv = kv
        self._prefix = prefix
        self._segments: list[Segment] = []

    @property
    def sealed(self) -> list[Segment]:
        """The segments that no longer change, oldest first."""
        return self._segments[:-1]

    def take_over(self) -> Result[list[ClaimRecord], ClaimError]:
        """Read the complete log and make writes of earlier owners conflict.

        :returns: all records, or :class:`ClaimLogUnavailable`, or
            :class:`ClaimLogDeposed` if another instance takes the log over
            at the same time.
        """
        head = self._kv.get(self._key('head'))
        if head.is_error():
            return Error(ClaimLogUnavailable(str(head.error)))
        read = self._read_from(_head_seq(head.ok))
        if read.is_ok():
            read = self._fence_earlier_writers(_head_seq(head.ok))
        if read.is_error():
            return Error(read.error)
        new_head = self._kv.get(self._key('head'))
        if new_head.is_error():
            return Error(ClaimLogUnavailable(str(new_head.error)))
        if _head_seq(new_head.ok) > self._segments[-1].seq:
            # Another owner trimmed the segments while they were being read.
            return Error(ClaimLogDeposed(self._prefix))
        return Ok(
            [record for segment in self._segments for record in segment.records]
        )

    def prepare(self, records: tuple[ClaimRecord, ...]) -> PreparedWrite:
        """Prepare a write of a batch to the last segment, or to a new one."""
        target = self._segments[-1]
        value = _encode((*target.records, *records))
        if len(value) > SEGMENT_BYTES and target.records:
            target = Segment(target.seq + 1, 0, (), 0)
            value = _encode(records)
        joined = (*target.records, *records)
        return PreparedWrite(
            target._replace(records=joined, size=len(value)), value
        )

    def write(self, prepared: PreparedWrite) -> Result[None, KeyValueError]:
        """Send a prepared write once.

        :returns: the result of the key-value service; if the key already has
            the value of this write, an earlier attempt was applied, and the
            write counts as successful.
        """
        segment = prepared.segment
        swapped = self._swap_once(segment.seq, prepared.value, segment.version)
        if swapped.is_error():
            return Error(swapped.error)
        self._record_write(segment._replace(version=swapped.ok.version))
        return Ok(None)

    def trim(self, count: int) -> None:
        """Delete the oldest segments; skipped if the service is unavailable.

        :param count: number of segments to delete.
        """
        first = self._segments[count].seq
        key = self._key('head')
        head = self._kv.get(key)
        if head.is_error():
            return
        value = str(first).encode()
        moved = self._kv.compare_and_swap(key, value, head.ok.version)
        if moved.is_error():
            return
        for old in self._segments[:count]:
            self._kv.compare_and_swap(
                self._key(f'{old.seq:012}'), None, old.version
            )
        self._segments = self._segments[count:]

    def _key(self, name: str) -> str:
        return f'{self._prefix}/{name}'

    def _read(self, seq: int) -> Result[Segment | None, ClaimError]:
        present = self._kv.get(self._key(f'{seq:012}'))
        if present.is_error():
            return Error(ClaimLogUnavailable(str(present.error)))
        if present.ok.value is None:
            return Ok(None)
        return Ok(_decode(seq, present.ok))

    def _read_from(self, seq: int) -> Result[None, ClaimError]:
        self._segments = []
        while True:
            read = self._read(seq)
            if read.is_error():
                return Error(read.error)
            if read.ok is None:
                return Ok(None)
            self._segments.append(read.ok)
            seq += 1

    def _fence_earlier_writers(self, head: int) -> Result[None, ClaimError]:
        """Create the next segment, then rewrite the last one."""
        for _ in range(TAKE_OVER_ATTEMPTS):
            last = self._segments[-1] if self._segments else None
            seq = last.seq + 1 if last else head
            created = self._create(seq)
            if created.is_error():
                return Error(created.error)
            if created.ok is None:
                continue
            rewritten = self._rewrite(last) if last else Ok(None)
            if rewritten.is_ok():
                self._segments.append(created.ok)
            return rewritten
        return Error(ClaimLogUnavailable('too many conflicts'))

    def _create(self, seq: int) -> Result[Segment | None, ClaimError]:
        """Create an empty segment; None if the key already has one.

        That segment is read and appended to the known ones.
        """
        value = _encode(())
        swapped = self._swap(seq, value, 0)
        if swapped.is_ok():
            return Ok(Segment(seq, swapped.ok.version, (), len(value)))
        if not isinstance(swapped.error, SwapConflict):
            return Error(ClaimLogUnavailable(str(swapped.error)))
        self._segments.append(_decode(seq, swapped.error.present))
        return Ok(None)

    def _rewrite(self, segment: Segment) -> Result[None, ClaimError]:
        """Write the last segment again, so that its key has a new version.

        Records that an earlier owner adds meanwhile are read and retained.
        """
        for _ in range(TAKE_OVER_ATTEMPTS):
            value = _encode(segment.records)
            swapped = self._swap(segment.seq, value, segment.version)
            if swapped.is_ok():
                self._segments[-1] = segment._replace(
                    version=swapped.ok.version
                )
                return Ok(None)
            if not isinstance(swapped.error, SwapConflict):
                return Error(ClaimLogUnavailable(str(swapped.error)))
            if swapped.error.present.value is None:
                return Error(ClaimLogDeposed(self._prefix))
            segment = _decode(segment.seq, swapped.error.present)
        return Error(ClaimLogUnavailable('too many conflicts'))

    def _swap(
        self, seq: int, value: bytes, version: int
    ) -> Result[Versioned, KeyValueError]:
        """Compare and swap a segment; retry once if the answer was lost."""
        swapped = self._swap_once(seq, value, version)
        if swapped.is_error() and isinstance(swapped.error, SwapOutcomeUnknown):
            retried = self._swap_once(seq, value, version)
            # Any other error of the retry leaves the outcome of the first
            # attempt unknown.
            if retried.is_ok() or isinstance(retried.error, SwapConflict):
                return retried
        return swapped

    def _swap_once(
        self, seq: int, value: bytes, version: int
    ) -> Result[Versioned, KeyValueError]:
        """Compare and swap a segment once.

        On a conflict the nonce in the value shows whether the stored value is
        the one that was to be written; then the swap counts as successful.
        """
        key = self._key(f'{seq:012}')
        swapped = self._kv.compare_and_swap(key, value, version)
        if swapped.is_error() and isinstance(swapped.error, SwapConflict):
            present = swapped.error.present
            return Ok(present) if present.value == value else swapped
        return swapped

    def _record_write(self, segment: Segment) -> None:
        if segment.seq == self._segments[-1].seq:
            self._segments.pop()
        self._segments.append(segment)


def _head_seq(present: Versioned) -> int:
    return int(present.value or b'0')


def _encode(records: tuple[ClaimRecord, ...]) -> bytes:
    rows = [[int(record.state), *record[1:]] for record in records]
    return cbor2.dumps([secrets.token_bytes(NONCE_BYTES), rows])


def _decode(seq: int, present: Versioned) -> Segment:
    value = present.value or b''
    _nonce, rows = cbor2.loads(value)
    records = tuple(
        ClaimRecord(ClaimState(state), *fields) for state, *fields in rows
    )
    return Segment(seq, present.version, records, len(value))
