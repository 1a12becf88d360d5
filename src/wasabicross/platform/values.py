"""Checked values of the platform's JSON documents.

Anybody may have written a document, so each value is checked for its type and
its range before it is used.
"""

from __future__ import annotations

import ipaddress
import json
import math
from typing import Any

from wasabicross.gateway.errors import DocumentUnreadable

#: Largest number, up to which JSON numbers are exact.
_MAX_NUMBER = 9007199254740991
_MAX_NUMBER_DIGITS = 16

_MAX_TEXT_CHARS = 1024
_MAX_PORT = 65535
_MAX_PORT_DIGITS = 5


def parse_json(document: bytes) -> Any:
    """Parse a JSON document.

    :param document: JSON bytes.
    :raises DocumentUnreadable: it isn't JSON or is nested too deeply.
    """
    try:
        return json.loads(document)
    except (ValueError, TypeError, RecursionError) as exc:
        raise DocumentUnreadable(f'not JSON: {exc!r}') from exc


def text(wire: Any) -> str:
    """Return a non-empty string that can be encoded and isn't too long.

    :param wire: the decoded value.
    :raises ValueError: it isn't such a string.
    """
    if not isinstance(wire, str) or not wire:
        raise ValueError(f'expected a non-empty string, got {type(wire)}')
    if len(wire) > _MAX_TEXT_CHARS:
        raise ValueError(f'string of {len(wire)} characters')
    wire.encode()
    return wire


def identifier(wire: Any) -> str:
    """Return a text that a header field can hold: visible ASCII characters.

    :param wire: the decoded value.
    :raises ValueError: it isn't such a text.
    """
    found = text(wire)
    if not found.isascii() or not found.isprintable() or ' ' in found:
        raise ValueError(f'expected visible ASCII characters, got {found!r}')
    return found


def number(wire: Any) -> float:
    """Return a number that is neither negative nor too large.

    :param wire: the decoded value.
    :raises ValueError: it isn't such a number.
    """
    if isinstance(wire, bool) or not isinstance(wire, (int, float)):
        raise ValueError(f'expected a number, got {type(wire)}')
    # The comparison is false for NaN.
    if not 0 <= wire <= _MAX_NUMBER:
        raise ValueError('number out of range')
    return wire


def integer(wire: Any) -> int:
    """Return a number without its fraction.

    :param wire: the decoded value.
    :raises ValueError: it is no number, negative or too large.
    """
    return math.floor(number(wire))


def digits(wire: str, max_digits: int = _MAX_NUMBER_DIGITS) -> int:
    """Return the number that a string of ASCII digits denotes.

    :param wire: the string.
    :param max_digits: its maximum length.
    :raises ValueError: it is another string.
    """
    if not wire.isascii() or not wire.isdigit() or len(wire) > max_digits:
        raise ValueError(f'expected up to {max_digits} digits')
    return int(wire)


def rows(wire: Any) -> list[Any]:
    """Return a list.

    :param wire: the decoded value.
    :raises ValueError: it is no list.
    """
    if not isinstance(wire, list):
        raise ValueError(f'expected a list, got {type(wire)}')
    return wire


def ip_address(wire: Any) -> str:
    """Return the IP address of a machine.

    A name isn't accepted, since it would have to be looked up.

    :param wire: the decoded value.
    :raises ValueError: it isn't the IPv4 address of one machine.
    """
    address = ipaddress.IPv4Address(text(wire))
    if address.is_unspecified or address.is_multicast:
        raise ValueError(f'{address} is not the address of one machine')
    return str(address)


def host_and_port(wire: Any) -> tuple[str, int]:
    """Return the IP address and the port of an address `IP:PORT`.

    :param wire: the decoded value.
    :raises ValueError: it isn't such an address.
    """
    host, _, port_text = text(wire).rpartition(':')
    return ip_address(host), port_number(port_text)


def port_number(wire: str) -> int:
    """Return the port that a string denotes.

    :param wire: the string.
    :raises ValueError: it denotes no port.
    """
    port = digits(wire, _MAX_PORT_DIGITS)
    if not 0 < port <= _MAX_PORT:
        raise ValueError(f'port {port} is out of range')
    return port
