"""Claims of idempotency keys, as an entry requests and settles them."""

import json
import time
from collections.abc import Iterator
from typing import Any, Protocol

from expression import Result

from wasabicross.callers.caller_request import CallerRequest
from wasabicross.callers.replies import (
    COMPLETED,
    NOT_RUN,
    OUTCOME_HEADER,
    OUTCOME_UNKNOWN,
    Fault,
    Reply,
    fault_reply,
    refuse,
)
from wasabicross.dispatching.errors import AnswerCut
from wasabicross.messaging.errors import LinkError
from wasabicross.messaging.messages import ClaimAnswer, ClaimKey, SettleKey

CLAIM_TIMEOUT_S = 5.0
SETTLE_TIMEOUT_S = 2.0
RETRY_AFTER_S = 2.0
#: Maximum seconds that a claim waits for a first owner of its key range.
OWNER_WAIT_S = 6.0
OWNER_RETRY_S = 0.2
MAX_KEPT_ANSWER_BYTES = 16 * 1024
GRANTED = 'granted'
NOT_OWNED = 'not_owned'

_ENCODING_FIELD = 'content-encoding'

CLAIM_UNAVAILABLE = Fault(
    503,
    'overloaded_error',
    'claim_unavailable',
    'The idempotency key can not be claimed now; the request was not run.',
)
KEY_REUSED = Fault(
    422,
    'invalid_request_error',
    'key_reused',
    'The idempotency key belongs to another request.',
)

#: Replies to a repeated request by the state of its key: outcome and fault.
_REPEATS = {
    'running': (
        OUTCOME_UNKNOWN,
        Fault(
            409,
            'conflict_error',
            'still_running',
            'The request with this key is still running.',
        ),
    ),
    'already_run': (
        COMPLETED,
        Fault(
            409,
            'conflict_error',
            'already_run',
            'The request with this key has run; its answer is not kept.',
        ),
    ),
    'unknown': (
        OUTCOME_UNKNOWN,
        Fault(
            409,
            'conflict_error',
            'outcome_unknown',
            'The request with this key may have run and is not run again.',
        ),
    ),
}


class ClaimLink(Protocol):
    """What claims need of the link to the controller."""

    def call(self, message: Any, timeout_s: float) -> Result[Any, LinkError]:
        """Send a request and wait for its answer."""


class KeyClaims:
    """Claims idempotency keys at the controller before requests run.

    A claim reserves a key for one run of a request. It is settled with the
    outcome of the run, so that a repeated request is not run again.

    :param link: the link to the controller.
    :param holder: name of this entry process, unique in all data centres
        and over restarts.
    :param wait_s: maximum seconds that a claim waits for a first owner of its
        range.
    """

    def __init__(
        self, link: ClaimLink, holder: str, wait_s: float = OWNER_WAIT_S
    ) -> None:
        self._link = link
        self._holder = holder
        self._wait_s = wait_s

    def claim(self, req: CallerRequest, digest: str) -> Reply | None:
        """Claim a request's key; None if the request may run now.

        :param req: the request, with a key.
        :param digest: digest of everything that identifies the request.
        :returns: the reply to send instead of running the request, if any.
        """
        claim = ClaimKey(
            req.tenant, req.key, digest, f'{self._holder}/{req.request_id}'
        )
        answer = self._request_claim(
            claim, min(req.deadline_s, self._owner_deadline_s())
        )
        if answer is None:
            # The claim may have been written. As the request is not run,
            # settling the claim as not run lets a repeated request run.
            self._settle(req, 'not_run', None)
            return refuse(CLAIM_UNAVAILABLE, RETRY_AFTER_S)
        if answer.state == GRANTED:
            return None
        return _repeat_reply(answer)

    def settle(self, req: CallerRequest, reply: Reply) -> Reply:
        """Settle the claim of a request with its outcome when its reply ends.

        :param req: the request.
        :param reply: its reply, whose content is passed through.
        """
        outcome = dict(reply.headers)[OUTCOME_HEADER]
        if outcome == NOT_RUN:
            settled = self._settle(req, 'not_run', None)
            return reply if settled else _with_key_held(reply)
        if outcome == OUTCOME_UNKNOWN:
            self._settle(req, 'unknown', None)
            return reply
        return reply._replace(content=self._settle_at_end(req, reply))

    def _owner_deadline_s(self) -> float:
        return time.monotonic() + self._wait_s

    def _request_claim(
        self, claim: ClaimKey, until_s: float
    ) -> ClaimAnswer | None:
        """Send a claim until its range has an owner; None if unanswered."""
        while True:
            received = self._link.call(claim, CLAIM_TIMEOUT_S)
            if received.is_error() or not isinstance(received.ok, ClaimAnswer):
                return None
            is_too_late = time.monotonic() + OWNER_RETRY_S > until_s
            if received.ok.state != NOT_OWNED or is_too_late:
                return received.ok
            time.sleep(OWNER_RETRY_S)

    def _settle_at_end(
        self, req: CallerRequest, reply: Reply
    ) -> Iterator[bytes]:
        """Pass the pieces through and settle the claim at their end.

        The claim is settled before the last piece is sent, so a caller that
        has the complete answer finds the key completed.
        """
        pieces = iter(reply.content)
        pending = next(pieces, b'')
        answer = [pending]
        size = len(pending)
        try:
            for piece in pieces:
                yield pending
                pending = piece
                size += len(piece)
                if size <= MAX_KEPT_ANSWER_BYTES:
                    answer.append(piece)
        except AnswerCut:
            self._settle(req, 'unknown', None)
            raise
        is_kept = size <= MAX_KEPT_ANSWER_BYTES and not _is_encoded(reply)
        kept_reply = reply._replace(content=answer) if is_kept else None
        self._settle(req, 'completed', kept_reply)
        yield pending

    def _settle(
        self, req: CallerRequest, outcome: str, reply: Reply | None
    ) -> bool:
        kept_answer = b''.join(reply.content) if reply else b''
        content_type = ''
        if reply is not None:
            content_type = dict(reply.headers).get('Content-Type', '')
        settlement = SettleKey(
            req.tenant,
            req.key,
            f'{self._holder}/{req.request_id}',
            outcome,
            reply.status if reply else 0,
            content_type,
            kept_answer,
        )
        return self._link.call(settlement, SETTLE_TIMEOUT_S).is_ok()


def _is_encoded(reply: Reply) -> bool:
    """Return whether a field that isn't kept tells how to read an answer."""
    return any(name.lower() == _ENCODING_FIELD for name, _ in reply.headers)


def _repeat_reply(answer: ClaimAnswer) -> Reply:
    if answer.state == 'completed':
        headers = (
            ('Content-Type', answer.content_type),
            ('Content-Length', str(len(answer.answer))),
            (OUTCOME_HEADER, COMPLETED),
            ('X-Wasabicross-Repeated', 'true'),
        )
        return Reply(answer.status, headers, (answer.answer,))
    if answer.state == 'key_reused':
        return refuse(KEY_REUSED)
    repeat = _REPEATS.get(answer.state)
    if repeat is None:
        return refuse(CLAIM_UNAVAILABLE, answer.retry_after_s or RETRY_AFTER_S)
    outcome, fault = repeat
    return fault_reply(fault, outcome, answer.retry_after_s or None)


def _with_key_held(reply: Reply) -> Reply:
    """Change the code of a reply to `not_run_key_held`.

    The request was not run, but its key could not be released durably, so a
    repeated request may be answered with an unknown outcome.
    """
    content = json.loads(b''.join(reply.content))
    content['error']['code'] = 'not_run_key_held'
    body = json.dumps(content).encode()
    headers = tuple(
        (name, str(len(body)) if name == 'Content-Length' else text)
        for name, text in reply.headers
    )
    return Reply(reply.status, headers, (body,))
