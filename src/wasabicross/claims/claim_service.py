"""Handling of claims and outcomes: answered here or by the range's owner."""

import threading
import time
from collections.abc import Callable
from concurrent.futures import Future, ThreadPoolExecutor
from typing import Any

import cbor2

from wasabicross.claims.claim_answers import (
    NOT_OWNED,
    UNANSWERED,
    UNAVAILABLE,
    answer_to_claim,
    answer_to_outcome,
)
from wasabicross.claims.claim_ranges import ClaimRanges, RangeOwner
from wasabicross.claims.claims import (
    ClaimRequest,
    ClaimState,
    key_digest,
    range_of,
)
from wasabicross.messaging.links import Link
from wasabicross.messaging.messages import (
    ClaimAnswer,
    ClaimKey,
    HoldersLost,
    Refusal,
    SettleKey,
)

STEP_INTERVAL_S = 0.5
STEPS_PER_S = 20.0
WORKERS = 4
REQUEST_DIGEST_BYTES = 16
#: Time after the start in which links to the other instances are opened.
LINK_SETUP_S = 5.0

_STATES = {
    'not_run': ClaimState.RELEASED,
    'unknown': ClaimState.UNKNOWN,
    'completed': ClaimState.COMPLETED,
}


class ClaimService:
    """Answers claims for the ranges owned here, and forwards the others.

    :param ranges: the ranges of all instances.
    :param link_to: returns the link to an instance, None without one.
    :param count_instances: returns the number of reachable instances,
        including this one; the instance list may contain crashed ones.
    """

    def __init__(
        self,
        ranges: ClaimRanges,
        link_to: Callable[[str], Link | None],
        count_instances: Callable[[], int],
    ) -> None:
        self._ranges = ranges
        self._link_to = link_to
        self._count_instances = count_instances
        # Reading a range's owner may wait for the key-value service. It runs
        # on worker threads, so as not to delay other messages of the link.
        self._workers = ThreadPoolExecutor(WORKERS, 'claims')
        self._links_due_s = time.monotonic() + LINK_SETUP_S

    def run(self, stop: threading.Event) -> None:
        """Take ranges without an owner until the process stops.

        The interval grows with the number of instances, so that the total
        rate of reads stays bounded.
        """
        while not stop.is_set():
            instances = self._count_instances()
            self._ranges.step(instances, time.monotonic())
            stop.wait(max(STEP_INTERVAL_S, instances / STEPS_PER_S))

    def stop(self) -> None:
        """Release the ranges owned here."""
        self._ranges.stop()
        self._workers.shutdown(wait=False, cancel_futures=True)

    def claim(self, message: ClaimKey, link: Link, call_id: int) -> None:
        """Answer a claim on the link over which it was received.

        :param message: the key and its claimant.
        :param link: the link for the answer.
        :param call_id: number of the call to reply to.
        """
        self._submit(self._claim, message, link, call_id)

    def settle(self, message: SettleKey, link: Link, call_id: int) -> None:
        """Record an outcome; answer `Done` if it is durable or noted.

        :param message: the key, its holder and the outcome.
        :param link: the link for the answer.
        :param call_id: number of the call to reply to.
        """
        self._submit(self._settle, message, link, call_id)

    def settle_lost_holders(self, lost: HoldersLost) -> None:
        """Settle the open claims of holders that have crashed.

        Repeats of their requests are then answered without a wait.

        :param lost: name prefixes of the crashed holders.
        """
        self._ranges.settle_lost_holders(
            lost.prefix, time.time(), lost.excluded_prefix
        )

    def _submit(self, work: Callable[..., None], *args: Any) -> None:
        try:
            self._workers.submit(work, *args)
        except RuntimeError:
            _reply(args[1], args[2], UNAVAILABLE)

    def _claim(self, message: ClaimKey, link: Link, call_id: int) -> None:
        number = self._range_of(message)
        if number not in self._ranges.owned():
            self._forward(number, message, link, call_id)
            return
        digest = bytes.fromhex(message.request_digest)[:REQUEST_DIGEST_BYTES]
        req = _request(message, digest)
        fut = self._ranges.claim(number, req, time.time())
        fut.add_done_callback(
            lambda done: self._forward_answer(
                number, message, link, call_id, answer_to_claim(done.result())
            ),
        )

    def _answer(
        self,
        message: ClaimKey | SettleKey,
        link: Link,
        call_id: int,
        answer: Any,
    ) -> None:
        """Answer; release a granted claim if the entry's link is closed."""
        is_lost = link.closed.is_set() and link.peer.kind == 'entry'
        link.reply(call_id, answer)
        if is_lost and isinstance(message, ClaimKey) and _is_granted(answer):
            self._submit(self._settle, _release_message(message), link, call_id)

    def _settle(self, message: SettleKey, link: Link, call_id: int) -> None:
        number = self._range_of(message)
        if number not in self._ranges.owned():
            self._forward(number, message, link, call_id)
            return
        answer = cbor2.dumps(
            [message.status, message.content_type, message.answer]
        )
        fut = self._ranges.settle(
            number,
            _request(message, b''),
            _STATES[message.outcome],
            answer if message.status else b'',
            time.time(),
        )
        fut.add_done_callback(
            lambda done: _reply(
                link, call_id, answer_to_outcome(done.result())
            ),
        )

    def _range_of(self, message: ClaimKey | SettleKey) -> int:
        return range_of(message.tenant, message.key, self._ranges.ranges)

    def _forward(
        self,
        number: int,
        message: ClaimKey | SettleKey,
        link: Link,
        call_id: int,
    ) -> None:
        now_s = time.monotonic()
        owner = self._ranges.owner_of(number, now_s)
        owner_link = self._link_to(owner.instance_id) if owner else None
        # A message that another instance forwarded is not forwarded again.
        if owner_link is None or link.peer.kind != 'entry':
            refusal = self._refusal(number, owner, message, link, now_s)
            self._ranges.invalidate_owner(number)
            _reply(link, call_id, refusal)
            return
        fut = owner_link.request(message)
        fut.add_done_callback(
            lambda done: self._forward_answer(
                number, message, link, call_id, _forwarded_answer(done)
            ),
        )

    def _refusal(
        self,
        number: int,
        owner: RangeOwner | None,
        message: ClaimKey | SettleKey,
        link: Link,
        now_s: float,
    ) -> ClaimAnswer | Refusal:
        """Return the answer to a message whose owner can't be reached."""
        if isinstance(message, SettleKey):
            return Refusal('not_owner', 'no owner can be reached')
        is_forwarded = link.peer.kind != 'entry'
        if is_forwarded or self._ranges.is_unowned(number, now_s):
            return NOT_OWNED
        if owner is not None and self._may_answer_soon(owner, now_s):
            return NOT_OWNED
        return UNAVAILABLE

    def _may_answer_soon(self, owner: RangeOwner, now_s: float) -> bool:
        """Return whether an owner without a link may answer a retry soon.

        This instance may still be reading the log of a range that it has just
        taken, and after a start its links are still being opened.
        """
        return now_s < self._links_due_s or self._ranges.is_local(owner)

    def _forward_answer(
        self,
        number: int,
        message: ClaimKey | SettleKey,
        link: Link,
        call_id: int,
        answer: Any,
    ) -> None:
        """Reply with the answer of the range's owner.

        The cached owner is dropped if the answer shows it may have lost the
        range.
        """
        if answer in {NOT_OWNED, UNANSWERED}:
            self._ranges.invalidate_owner(number)
        self._answer(message, link, call_id, answer)


def _is_granted(answer: Any) -> bool:
    return isinstance(answer, ClaimAnswer) and answer.state == 'granted'


def _release_message(message: ClaimKey) -> SettleKey:
    return SettleKey(
        message.tenant, message.key, message.holder, 'not_run', 0, '', b''
    )


def _reply(link: Link, call_id: int, message: Any) -> None:
    link.reply(call_id, message)


def _forwarded_answer(done: Future[Any]) -> Any:
    answered = done.result()
    return answered.ok if answered.is_ok() else UNANSWERED


def _request(message: ClaimKey | SettleKey, digest: bytes) -> ClaimRequest:
    key = key_digest(message.tenant, message.key)
    return ClaimRequest(key, digest, message.holder)
