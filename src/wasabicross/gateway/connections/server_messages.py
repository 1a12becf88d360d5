"""Requests to servers and the heads of their answers."""

from __future__ import annotations

from typing import NamedTuple

import h11

from wasabicross.gateway.connections.carried_requests import (
    ExchangeKind,
    kind_of,
)
from wasabicross.gateway.connections.http_heads import (
    Fields,
    field,
    forwarded_fields,
)

#: Statuses of answers that have no body.
_WITHOUT_BODY = (204, 304)


class ServerRequest(NamedTuple):
    """A request in the form in which it is sent to a server.

    :param call: which call of this gateway it is, None for a caller's request.
    """

    method: bytes
    target: bytes
    fields: Fields
    body: bytes
    call: ExchangeKind | None = None

    @property
    def exchange_kind(self) -> ExchangeKind:
        """Return what it asks for."""
        return self.call or kind_of(self.method)


class AnswerHead(NamedTuple):
    """Status and fields of a server's answer.

    :param fields: fields that are forwarded to a caller, names in lower case.
    :param content_length: length of the body, None if it isn't stated.
    :param is_framed: whether the body ends before its connection does.
    :param bears_id: whether it repeats the id of its request, if that has one.
    """

    status: int
    fields: Fields
    content_length: int | None
    is_framed: bool = True
    bears_id: bool = True


def head_of(response: h11.Response, method: bytes) -> AnswerHead:
    """Return the head of an answer.

    :param response: the head as it was parsed.
    :param method: method of the request.
    """
    length = field(response.headers, b'content-length')
    has_no_body = method == b'HEAD' or response.status_code in _WITHOUT_BODY
    return AnswerHead(
        response.status_code,
        forwarded_fields(response.headers),
        int(length) if length.isdigit() else None,
        has_no_body
        or bool(length or field(response.headers, b'transfer-encoding')),
    )
