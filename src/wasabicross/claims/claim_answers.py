"""Messages that answer claims and outcomes of idempotency keys."""

from functools import singledispatch

import cbor2

from wasabicross.claims.claims import (
    AlreadyRun,
    AlreadyRunning,
    ClaimUnavailable,
    Completed,
    Granted,
    InDoubt,
    KeyReused,
    NotOwned,
    OutcomeNotKnown,
    SettleReply,
)
from wasabicross.messaging.messages import ClaimAnswer, Done, Refusal

RETRY_AFTER_S = 2.0

UNAVAILABLE = ClaimAnswer('unavailable', 0, '', b'', RETRY_AFTER_S)
#: No claim was written; a retry may soon reach an owner of the range.
NOT_OWNED = ClaimAnswer('not_owned', 0, '', b'', RETRY_AFTER_S)
#: The message may have taken effect, so an entry releases a claim that gets
#: this answer.
UNANSWERED = Refusal('unanswered', 'the owner gave no sure answer')


def answer_to_outcome(reply: SettleReply) -> Done | Refusal:
    """Return the message that answers an outcome.

    :param reply: the reply of the range's owner.
    """
    if reply in {SettleReply.durable, SettleReply.noted}:
        return Done()
    return Refusal(reply.value, 'the outcome is not durable')


@singledispatch
def answer_to_claim(reply: object) -> ClaimAnswer | Refusal:
    """Return the message that answers a claim.

    :param reply: the reply of the range's owner.
    """
    raise TypeError(reply)


@answer_to_claim.register
def _(reply: Granted) -> ClaimAnswer:
    return ClaimAnswer('granted', 0, '', b'', 0)


@answer_to_claim.register
def _(reply: AlreadyRunning) -> ClaimAnswer:
    return ClaimAnswer('running', 0, '', b'', RETRY_AFTER_S)


@answer_to_claim.register
def _(reply: Completed) -> ClaimAnswer:
    if not reply.answer:
        return ClaimAnswer('already_run', 0, '', b'', 0)
    status, content_type, content = cbor2.loads(reply.answer)
    return ClaimAnswer('completed', status, content_type, content, 0)


@answer_to_claim.register
def _(reply: AlreadyRun) -> ClaimAnswer:
    return ClaimAnswer('already_run', 0, '', b'', 0)


@answer_to_claim.register
def _(reply: OutcomeNotKnown) -> ClaimAnswer:
    return ClaimAnswer('unknown', 0, '', b'', 0)


@answer_to_claim.register
def _(reply: KeyReused) -> ClaimAnswer:
    return ClaimAnswer('key_reused', 0, '', b'', 0)


@answer_to_claim.register
def _(reply: ClaimUnavailable) -> ClaimAnswer:
    retry_after_s = max(reply.retry_after_s, RETRY_AFTER_S)
    return UNAVAILABLE._replace(retry_after_s=retry_after_s)


@answer_to_claim.register
def _(reply: NotOwned) -> ClaimAnswer:
    return NOT_OWNED


@answer_to_claim.register
def _(reply: InDoubt) -> Refusal:
    return UNANSWERED
