"""Header fields of HTTP messages, and which of them are forwarded."""

from __future__ import annotations

import math
from collections.abc import Iterable
from typing import NamedTuple, TypeAlias

Fields: TypeAlias = list[tuple[bytes, bytes]]

_NO_NAMES: frozenset[bytes] = frozenset()

#: Hop-by-hop fields, which concern a single connection.
_CONNECTION_FIELDS = frozenset(
    (
        b'connection',
        b'keep-alive',
        b'proxy-authenticate',
        b'proxy-authorization',
        b'proxy-connection',
        b'te',
        b'trailer',
        b'transfer-encoding',
        b'upgrade',
        b'expect',
    )
)


class CallerRequest(NamedTuple):
    """A complete request of a caller.

    :param target: path and query as sent.
    :param fields: header fields, names in lower case.
    :param arrived_s: when its head was read, monotonic seconds.
    """

    method: bytes
    target: bytes
    fields: Fields
    body: bytes
    arrived_s: float

    @property
    def path(self) -> str:
        """Return the path without the query."""
        return self.target.partition(b'?')[0].decode('latin-1')

    @property
    def host(self) -> str:
        """Return the host in the request, without its port."""
        return field(self.fields, b'host').partition(':')[0].lower()


def field(fields: Iterable[tuple[bytes, bytes]], name: bytes) -> str:
    """Return the value of a header field, empty if it is absent.

    :param fields: names in lower case, with their values.
    :param name: name in lower case.
    """
    for each, content in fields:
        if each == name:
            return content.decode('latin-1')
    return ''


def number_field(
    fields: Iterable[tuple[bytes, bytes]], name: bytes
) -> float | None:
    """Return a header field as a finite number, None if it isn't one.

    :param fields: names in lower case, with their values.
    :param name: name in lower case.
    """
    try:
        parsed = float(field(fields, name))
    except ValueError:
        return None
    return parsed if math.isfinite(parsed) else None


def forwarded_fields(
    fields: Iterable[tuple[bytes, bytes]],
    reserved: frozenset[bytes] = _NO_NAMES,
    kept: frozenset[bytes] = _NO_NAMES,
) -> Fields:
    """Return the fields that are forwarded on the next connection.

    :param fields: names in lower case, with their values.
    :param reserved: further names that aren't forwarded.
    :param kept: names that are forwarded even where the sender's `Connection`
        field lists them.
    """
    all_fields = list(fields)
    connection_tokens = {
        token.strip().lower()
        for name, content in all_fields
        if name == b'connection'
        for token in content.split(b',')
    }
    dropped = _CONNECTION_FIELDS | reserved | (connection_tokens - kept)
    return [
        (name, content) for name, content in all_fields if name not in dropped
    ]
