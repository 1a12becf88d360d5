"""Claims of idempotency keys: their states, and the replies to claimants.

A claim reserves a key for one attempt at a request, its holder. The holder
settles the claim with the outcome of the request.
"""

import enum
import hashlib
from collections import OrderedDict
from dataclasses import dataclass
from typing import NamedTuple

DIGEST_BYTES = 16
MAX_ANSWER_BYTES = 16 * 1024
ANSWER_CACHE_BYTES = 4 * 1024 * 1024
MAX_CLAIMS = 50_000


# Replies without fields are dataclasses, since empty tuples are all equal.
@dataclass(frozen=True)
class Granted:
    """The claim is durable: the holder may dispatch the request once."""


class AlreadyRunning(NamedTuple):
    """Another attempt holds the key and has not settled its claim yet.

    :param holder: name of that attempt.
    """

    holder: str


class Completed(NamedTuple):
    """The request has run and its answer is still cached.

    :param answer: the bytes that were passed to :meth:`ClaimLog.settle`.
    """

    answer: bytes


@dataclass(frozen=True)
class AlreadyRun:
    """The request has run; its answer is not cached."""


@dataclass(frozen=True)
class OutcomeNotKnown:
    """The request may have run and must not run again."""


@dataclass(frozen=True)
class KeyReused:
    """The key was claimed for a request with another digest."""


class ClaimUnavailable(NamedTuple):
    """The claim was not granted, so the claimant has not run the request.

    :param retry_after_s: seconds to wait before a retry.
    """

    retry_after_s: float


@dataclass(frozen=True)
class NotOwned:
    """No claim was written, and another instance may own the range."""


@dataclass(frozen=True)
class InDoubt:
    """The claim was not granted but may be written, so it must be released."""


ClaimReply = (
    Granted
    | AlreadyRunning
    | Completed
    | AlreadyRun
    | OutcomeNotKnown
    | KeyReused
    | ClaimUnavailable
    | NotOwned
    | InDoubt
)


class SettleReply(enum.Enum):
    """The reply to a holder that settles its claim.

    ``durable``: the outcome is written, so every later owner of the range
    reads it.  ``noted``, ``not_durable``: this owner has the outcome in memory
    and continues to write it; a later owner may treat it as unknown.
    ``not_owner``: the outcome was not recorded here.
    """

    durable = 'durable'
    noted = 'noted'
    not_durable = 'not_durable'
    not_owner = 'not_owner'


class ClaimState(enum.IntEnum):
    """The state of a key, as recorded in the log."""

    CLAIMED = 0
    RELEASED = 1
    COMPLETED = 2
    UNKNOWN = 3


class ClaimRequest(NamedTuple):
    """A request for a claim.

    :param key: digest of tenant and idempotency key, see `key_digest`.
    :param digest: digest of the request that the key is used for.
    :param holder: name of the attempt; no other attempt has the same name.
    """

    key: bytes
    digest: bytes
    holder: str


class ClaimRecord(NamedTuple):
    """One change of a key's state.

    :param at_s: time of the change, seconds since the epoch.
    """

    state: ClaimState
    key: bytes
    digest: bytes
    holder: str
    at_s: float


def key_digest(tenant: str, key: str) -> bytes:
    """Return the digest that identifies a tenant's key in the log."""
    name = f'{len(tenant)}:{tenant}:{key}'.encode()
    return hashlib.blake2b(name, digest_size=DIGEST_BYTES).digest()


def range_of(tenant: str, key: str, ranges: int) -> int:
    """Return the range that a tenant's key belongs to.

    :param ranges: number of ranges, the same at all instances.
    """
    return int.from_bytes(key_digest(tenant, key)[:4], 'big') % ranges


class ClaimTable:
    """The states of the keys of one range, in memory.

    :param horizon_s: seconds for which a key is kept after its last change.
    :param max_run_s: seconds after which the holder of an unsettled claim is
        no longer running.
    :param max_claims: maximum number of keys; claims of more are refused.
    """

    def __init__(
        self,
        horizon_s: float,
        max_run_s: float,
        max_claims: int = MAX_CLAIMS,
    ) -> None:
        self._horizon_s = horizon_s
        self._max_run_s = max_run_s
        self._max_claims = max_claims
        self._records: OrderedDict[bytes, ClaimRecord] = OrderedDict()
        self._answers: OrderedDict[bytes, bytes] = OrderedDict()
        self._cached_bytes = 0

    def __len__(self) -> int:
        return len(self._records)

    def get(self, key: bytes) -> ClaimRecord | None:
        """Return the latest record of a key."""
        return self._records.get(key)

    def reply(self, req: ClaimRequest, now_s: float) -> ClaimReply | None:
        """Return the reply to a claimant, None if it may claim the key.

        :param now_s: present time, seconds since the epoch.
        """
        self.expire(now_s)
        record = self._records.get(req.key)
        if record is None:
            full = len(self._records) >= self._max_claims
            return ClaimUnavailable(self._max_run_s) if full else None
        if record.state is ClaimState.RELEASED:
            # A claim that arrives after its own release must not be granted:
            # its holder no longer waits for it.
            late = record.holder == req.holder
            return ClaimUnavailable(0) if late else None
        if record.digest != req.digest:
            return KeyReused()
        return self._reply_to_repeat(record, now_s)

    def apply(self, record: ClaimRecord) -> bool:
        """Apply a record; return whether it changed the key's state.

        An outcome is accepted only while the claim of the same holder is
        unsettled, so a late or repeated outcome changes nothing.  A release
        is recorded even before its claim arrives.
        """
        current = self._records.get(record.key)
        if not _is_valid_transition(record, current):
            return False
        if current is not None and record.state is not ClaimState.CLAIMED:
            record = record._replace(digest=current.digest)
        self._records[record.key] = record
        self._records.move_to_end(record.key)
        return True

    def open_claims_of(
        self, prefix: str, excluded_prefix: str = ''
    ) -> list[ClaimRequest]:
        """Return the unsettled claims of holders with a name prefix.

        :param prefix: prefix of the names of the holders.
        :param excluded_prefix: leave out holders whose names begin with this;
            empty for none.
        """
        return [
            ClaimRequest(record.key, record.digest, record.holder)
            for record in self._records.values()
            if record.state is ClaimState.CLAIMED
            and record.holder.startswith(prefix)
            and not (
                excluded_prefix and record.holder.startswith(excluded_prefix)
            )
        ]

    def cache_answer(self, key: bytes, answer: bytes) -> None:
        """Cache a completed answer and evict the oldest ones beyond the limit.

        An answer above `MAX_ANSWER_BYTES` is not cached.
        """
        if not answer or len(answer) > MAX_ANSWER_BYTES:
            return
        self._drop_answer(key)
        self._answers[key] = answer
        self._cached_bytes += len(answer)
        while self._cached_bytes > ANSWER_CACHE_BYTES:
            self._drop_answer(next(iter(self._answers)))

    def expire(self, now_s: float) -> None:
        """Remove keys whose last record is older than the horizon."""
        while self._records:
            key, record = next(iter(self._records.items()))
            if record.at_s + self._horizon_s > now_s:
                return
            self._records.pop(key)
            self._drop_answer(key)

    def _reply_to_repeat(self, record: ClaimRecord, now_s: float) -> ClaimReply:
        if record.state is ClaimState.COMPLETED:
            answer = self._answers.get(record.key)
            return AlreadyRun() if answer is None else Completed(answer)
        if record.state is ClaimState.UNKNOWN:
            return OutcomeNotKnown()
        if record.at_s + self._max_run_s <= now_s:
            return OutcomeNotKnown()
        return AlreadyRunning(record.holder)

    def _drop_answer(self, key: bytes) -> None:
        self._cached_bytes -= len(self._answers.pop(key, b''))


def _is_valid_transition(
    record: ClaimRecord, current: ClaimRecord | None
) -> bool:
    is_claim = record.state is ClaimState.CLAIMED
    if current is None:
        return is_claim or record.state is ClaimState.RELEASED
    if current.state is ClaimState.RELEASED:
        return is_claim and current.holder != record.holder
    is_own = current.holder == record.holder
    return not is_claim and is_own and current.state is ClaimState.CLAIMED
