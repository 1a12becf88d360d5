"""Whether an answer of a server reaches the caller as it is."""

from __future__ import annotations

from wasabicross.gateway.connections.server_connections import AnswerHead
from wasabicross.gateway.dialect import AnswerKind, Dialect

#: Kinds of answers whose status tells the caller that its request hasn't run,
#: though the server hasn't said so.
_MISLEADING = frozenset((AnswerKind.unconfirmed,))


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
    """Return the same for an answer that another gateway has passed on.

    A gateway's own refusal is true; an earlier version of the gateway passes
    refusals of servers on, which have the mark of their server.

    :param dialect: conventions for answers.
    :param head: head of the answer.
    :param is_idempotent: whether the request may be repeated.
    """
    if not dialect.is_marked(head):
        return False
    return misleads_caller(dialect.classify(head), is_idempotent=is_idempotent)
