"""Messages between gateways and their CBOR codec."""

from __future__ import annotations

import zlib
from typing import Any, NamedTuple, TypeAlias

import cbor2

from wasabicross.gateway.store import StoredItem
from wasabicross.messaging.errors import MessageMalformed

#: Largest frame that is read, as it is sent and as it is written out: the store
#: holds values of a megabyte, and a copy of it holds several.
MAX_FRAME_BYTES = 16777216

#: Frames from this length on are compressed: a configuration of many routes goes to
#: all gateways of a data centre over one link.
_COMPRESSED_BYTES = 16384
_FASTEST = 1

#: First byte of a compressed frame; a list of messages begins otherwise.
_ZLIB_HEADER = 0x78


class Hello(NamedTuple):
    """The first message of a link; the owner repeats its own as a sign of life.

    :param instance: its machine.
    """

    instance: str


class HeldAdapter(NamedTuple):
    """An adapter that a server holds."""

    model: str
    adapter: str
    version: int


class ServerState(NamedTuple):
    """What the owner of a server knows of it, sent when it changes.

    :param start_ms: start of the server that this is about.
    :param queued: requests that wait there.
    :param running: requests in its batch.
    :param takes_loads: whether the owner may order and the server answers.
    :param models: base models that the server holds.
    :param spare_slots: adapter slots that a load could get.
    :param unread_tokens: prompt tokens that it has still to read.
    """

    server_id: str
    start_ms: int
    queued: int
    running: int
    takes_loads: bool
    held: tuple[HeldAdapter, ...]
    models: tuple[str, ...] = ()
    spare_slots: int = 0
    unread_tokens: int = 0


class HeldAdaptersUpdate(NamedTuple):
    """What changed of a server since the last word of its owner.

    :param start_ms: start of the server that this is about.
    :param takes_loads: whether the owner may order and the server answers.
    :param gained: adapters, or versions of them, that it holds now.
    :param lost: adapters that it holds no longer.
    """

    server_id: str
    start_ms: int
    takes_loads: bool
    gained: tuple[HeldAdapter, ...]
    lost: tuple[HeldAdapter, ...]


class ServerOccupancy(NamedTuple):
    """How busy a server is, told at a steady pace as a sign of life.

    :param start_ms: start of the server that this is about.
    :param queued: requests that wait there.
    :param running: requests in its batch.
    :param spare_slots: adapter slots that a load could get.
    :param unread_tokens: prompt tokens that it has still to read.
    """

    server_id: str
    start_ms: int
    queued: int
    running: int
    spare_slots: int = 0
    unread_tokens: int = 0


class LoadWanted(NamedTuple):
    """Asks the owner of a server to have an adapter loaded there.

    :param call_id: number that the answer repeats.
    :param version: oldest version that will do.
    :param priority: rank of the request that waits, 0 is the most urgent.
    :param max_wait_ms: how long it waits.
    :param target_wait_ms: for how long a load that ends lets it be on time.
    """

    call_id: int
    server_id: str
    model: str
    adapter: str
    version: int
    priority: int
    max_wait_ms: int
    target_wait_ms: int = 0


class LoadEnded(NamedTuple):
    """Answers `LoadWanted`.

    :param version: the version that is loaded, 0 if none is.
    :param reason: why none is.
    """

    call_id: int
    version: int
    reason: str


class AdapterUsage(NamedTuple):
    """Use of an adapter on a server by the gateway that says so.

    :param running: requests that it has under way there.
    :param unread_tokens: prompt tokens of those whose answer hasn't begun.
    """

    server_id: str
    model: str
    adapter: str
    running: int
    unread_tokens: int = 0


class UsageUpdate(NamedTuple):
    """The uses that changed since the last message of this kind.

    :param is_complete: whether the gateway has no other uses.
    """

    usage: tuple[AdapterUsage, ...]
    is_complete: bool = False


class StoreUpdatesRequest(NamedTuple):
    """Asks an owner to pass on what it watches in the store.

    :param instance: machine that asks.
    """

    instance: str


class StoreUpdate(NamedTuple):
    """Changes that an owner has watched.

    :param since: revision that they follow.
    :param revision: revision up to which these are all.
    """

    since: int
    revision: int
    items: tuple[StoredItem, ...]


class StoreCopyRequest(NamedTuple):
    """Asks a gateway for all that it knows of the store's content.

    :param instance: machine that asks.
    """

    instance: str


class StoreStatus(NamedTuple):
    """How an owner stands with the store, told as a sign of life.

    :param revision: revision up to which it knows all changes, 0 for none.
    :param is_lost: whether its last call had no answer.
    """

    revision: int
    is_lost: bool


Message: TypeAlias = (
    Hello
    | ServerState
    | LoadWanted
    | LoadEnded
    | UsageUpdate
    | ServerOccupancy
    | StoreUpdatesRequest
    | StoreUpdate
    | StoreStatus
    | HeldAdaptersUpdate
    | StoreCopyRequest
)

#: Position is the code on the wire: append only.
_KINDS: tuple[Any, ...] = (
    Hello,
    ServerState,
    LoadWanted,
    LoadEnded,
    UsageUpdate,
    ServerOccupancy,
    StoreUpdatesRequest,
    StoreUpdate,
    StoreStatus,
    HeldAdaptersUpdate,
    StoreCopyRequest,
)

_FAULTS = (
    cbor2.CBORError,
    TypeError,
    ValueError,
    LookupError,
    zlib.error,
)

_CODES = {kind: code for code, kind in enumerate(_KINDS)}

#: Fields that are lists of other tuples.
_PARTS: dict[type, tuple[tuple[str, Any], ...]] = {
    ServerState: (('held', HeldAdapter),),
    UsageUpdate: (('usage', AdapterUsage),),
    StoreUpdate: (('items', StoredItem),),
    HeldAdaptersUpdate: (('gained', HeldAdapter), ('lost', HeldAdapter)),
}


def encode(*messages: Message) -> bytes:
    """Return the CBOR bytes of messages that go together.

    :param messages: each one of `Message`.
    """
    frame = cbor2.dumps(
        [[_CODES[type(message)], *message] for message in messages]
    )
    if len(frame) < _COMPRESSED_BYTES:
        return frame
    return zlib.compress(frame, _FASTEST)


def decode(frame: bytes | str) -> tuple[Message, ...]:
    """Return the messages in received bytes.

    :param frame: one whole websocket message.
    :raises MessageMalformed: it holds something that is none of the protocol.
    """
    try:
        return tuple(_decoded(wire) for wire in _list(frame))
    except _FAULTS as exc:
        raise MessageMalformed(f'not messages: {exc!r}') from exc


def _list(frame: bytes | str) -> list[Any]:
    if isinstance(frame, str):
        raise ValueError('text frame')
    wires = cbor2.loads(_written_out(frame))
    if not isinstance(wires, list):
        raise ValueError('no list')
    return wires


def _written_out(frame: bytes) -> bytes:
    """Return a frame as it was before it was compressed, if it was."""
    if not frame or frame[0] != _ZLIB_HEADER:
        return frame
    reader = zlib.decompressobj()
    written = reader.decompress(frame, MAX_FRAME_BYTES)
    if not reader.eof:
        raise ValueError('frame is cut or too long')
    return written


def _decoded(wire: Any) -> Message:
    code, *fields = wire
    message = _KINDS[code](*(_tupled(each) for each in fields))
    for name, kind in _PARTS.get(type(message), ()):
        parts = tuple(_checked(kind(*each)) for each in getattr(message, name))
        message = message._replace(**{name: parts})
    checked: Message = _checked(message)
    return checked


def _tupled(value: Any) -> Any:
    return tuple(value) if isinstance(value, list) else value


def _simple_fields(kind: Any) -> tuple[tuple[int, type], ...]:
    """Return position and type of the fields that are simple."""
    types = {'str': str, 'int': int, 'bool': bool}
    names = [
        getattr(annotation, '__forward_arg__', '')
        for annotation in kind.__annotations__.values()
    ]
    return tuple(
        (position, types[name])
        for position, name in enumerate(names)
        if name in types
    )


_SIMPLE_FIELDS = {
    kind: _simple_fields(kind)
    for kind in (*_KINDS, HeldAdapter, AdapterUsage, StoredItem)
}


def _checked(message: Any) -> Any:
    """Return the message if the simple fields have their types."""
    for position, kind in _SIMPLE_FIELDS[type(message)]:
        if not isinstance(message[position], kind):
            raise TypeError(f'{type(message).__name__}: field {position}')
    return message
