"""Whether an answer of a server reaches the caller as it is."""

from __future__ import annotations

from wasabicross.gateway.connections.http_heads import Fields, field
from wasabicross.gateway.connections.server_messages import AnswerHead
from wasabicross.gateway.dialect import AnswerKind, Dialect

#: Start of the names of fields that gateways send to one another only.
_GATEWAY_FIELDS = b'x-wasabicross-'

#: Field of a gateway's answer to a forwarded request which states that the request
#: hasn't run and never will; it tells why.
NOT_RUN = b'x-wasabicross-not-run'

#: Kinds of answers whose status tells the caller that its request hasn't run,
#: though the server hasn't said so.
_MISLEADING = frozenset((AnswerKind.unconfirmed,))

#: Kinds of answers by which a server states that it hasn't run a request.
REFUSALS = frozenset((AnswerKind.not_run, AnswerKind.not_held))


def without_gateway_fields(fields: Fields) -> Fields:
    """Return the fields that servers and callers may send.

    Another gateway would take the others for this one's word.

    :param fields: names in lower case, with their values.
    """
    return [pair for pair in fields if not pair[0].startswith(_GATEWAY_FIELDS)]


def answer_kind(
    dialect: Dialect, head: AnswerHead, *, is_idempotent: bool
) -> AnswerKind:
    """Return what an answer means for a request.

    A server may refuse without an id before a request comes, and run that then.

    :param dialect: conventions for answers.
    :param head: head of the answer.
    :param is_idempotent: whether the request may be repeated.
    """
    kind = dialect.classify(head)
    if kind in REFUSALS and not (head.bears_id or is_idempotent):
        return AnswerKind.unconfirmed
    return kind


def misleads_caller(kind: AnswerKind, *, is_idempotent: bool) -> bool:
    """Return whether a caller might run its request twice after an answer.

    A caller sends a request that runs once again only after a status that says
    that it hasn't run. Other requests may be repeated after any answer, so
    their callers get the server's own, with the time of its `Retry-After`.

    :param kind: what the answer means.
    :param is_idempotent: whether the request may be repeated.
    """
    return kind in _MISLEADING and not is_idempotent


def misleads_through_gateway(
    dialect: Dialect, head: AnswerHead, *, is_idempotent: bool
) -> bool:
    """Return the same for an answer that another gateway has given.

    An earlier version of the gateway passes refusals of servers on as they are,
    so only one that says so is known to be that gateway's own.

    :param dialect: conventions for answers.
    :param head: head of the answer.
    :param is_idempotent: whether the request may be repeated.
    """
    if is_idempotent or field(head.fields, NOT_RUN):
        return False
    return dialect.is_promise(head)
