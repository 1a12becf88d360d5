"""Types and range of the values in messages between gateways."""

from __future__ import annotations

from types import NoneType
from typing import Any, TypeAlias

#: Largest number in either direction, of 64 bits: positions in the store take up
#: to that, and far larger ones would overflow where they become fractions.
MAX_NUMBER = 9223372036854775807

_ValueKind: TypeAlias = type | tuple[type, ...]

#: The type of a field's value by its annotation. A tuple holds texts.
_KINDS: dict[str, _ValueKind] = {
    'str': str,
    'int': int,
    'bool': bool,
    'bytes': bytes,
    'bytes | None': (bytes, NoneType),
    'tuple[str, ...]': tuple,
}


def simple_fields(kind: Any) -> tuple[tuple[int, _ValueKind], ...]:
    """Return the positions and types of the fields that hold no messages.

    :param kind: the named tuple of a message.
    """
    names = [
        getattr(annotation, '__forward_arg__', '')
        for annotation in kind.__annotations__.values()
    ]
    return tuple(
        (position, _KINDS[name])
        for position, name in enumerate(names)
        if name in _KINDS
    )


def are_texts(found: tuple[Any, ...]) -> bool:
    """Return whether a tuple holds texts only.

    :param found: the decoded tuple.
    """
    return all(isinstance(each, str) for each in found)
