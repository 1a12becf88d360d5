"""Tells by which digest a request is known when it is sent again."""

from __future__ import annotations

import hashlib

from wasabicross.gateway.connections.http_heads import CallerRequest

_DIGEST_BYTES = 16

_PREFIX = 'request/'
#: Longer than any part of a prompt, so that none is taken for a digest.
_LENGTH = len(_PREFIX) + 2 * _DIGEST_BYTES

#: Fields that tell whose request it is.
_CALLER_FIELDS = frozenset((b'authorization', b'cookie', b'x-api-key'))


def request_digest(req: CallerRequest) -> str:
    """Return a digest that is the same for all copies of a request.

    Copies have the same caller, method, host, path, query and body. Other
    fields, such as the id and the time limit, may differ from try to try.

    :param req: the request as the caller sent it.
    """
    digest = hashlib.blake2b(digest_size=_DIGEST_BYTES)
    for content in (
        req.method,
        req.host.encode('latin-1'),
        req.target,
        *_caller_fields(req),
        req.body,
    ):
        digest.update(len(content).to_bytes(8))
        digest.update(content)
    return f'{_PREFIX}{digest.hexdigest()}'


def is_request_digest(cause: str) -> bool:
    """Return whether a possible cause of crashes is a whole request.

    :param cause: a part of a prompt or a digest.
    """
    return len(cause) == _LENGTH and cause.startswith(_PREFIX)


def _caller_fields(req: CallerRequest) -> list[bytes]:
    """Return names and values of the fields that tell whose request it is."""
    pairs = sorted(pair for pair in req.fields if pair[0] in _CALLER_FIELDS)
    return [content for pair in pairs for content in pair]
