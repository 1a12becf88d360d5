"""Heads of HTTP messages: which fields pass from one connection to another."""

from __future__ import annotations

import math
from collections.abc import Iterable
from typing import NamedTuple, TypeAlias

Fields: TypeAlias = list[tuple[bytes, bytes]]

_NOTHING: frozenset[bytes] = frozenset()

#: Fields that concern one connection alone.
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
    """A whole request of a caller.

    :param target: path and query as sent.
    :param fields: header fields, names in lower case.
    :param arrived_s: when its head was read.
    """

    method: bytes
    target: bytes
    fields: Fields
    body: bytes
    arrived_s: float

    @property
    def path(self) -> str:
        """The path without the query."""
        return self.target.partition(b'?')[0].decode('latin-1')

    @property
    def host(self) -> str:
        """The host that was asked for, without its port."""
        return field(self.fields, b'host').partition(':')[0].lower()


def field(fields: Iterable[tuple[bytes, bytes]], name: bytes) -> str:
    """Return the value of a header field, empty if it is not there.

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
    """Return a header field as a finite number, None if it is none.

    :param fields: names in lower case, with their values.
    :param name: name in lower case.
    """
    try:
        found = float(field(fields, name))
    except ValueError:
        return None
    return found if math.isfinite(found) else None


def forwarded_fields(
    fields: Iterable[tuple[bytes, bytes]],
    reserved: frozenset[bytes] = _NOTHING,
    kept: frozenset[bytes] = _NOTHING,
) -> Fields:
    """Return the fields that go on to the next connection.

    :param fields: names in lower case, with their values.
    :param reserved: further names that don't go on.
    :param kept: names that go on though the sender says that they concern its
        connection alone.
    """
    listed = list(fields)
    named = {
        token.strip().lower()
        for name, content in listed
        if name == b'connection'
        for token in content.split(b',')
    }
    dropped = _CONNECTION_FIELDS | reserved | (named - kept)
    return [(name, content) for name, content in listed if name not in dropped]
