"""Messages between gateways and their CBOR codec."""

from __future__ import annotations

import zlib
from typing import Any, NamedTuple, TypeAlias

import cbor2

from wasabicross.gateway.crash_messages import PartsCleared, ServerCrash
from wasabicross.gateway.message_values import (
    MAX_NUMBER,
    are_texts,
    simple_fields,
)
from wasabicross.gateway.server_limits.messages import (
    GrantAnswer,
    GrantWanted,
    LimitsStated,
)
from wasabicross.gateway.store import StoredItem
from wasabicross.gateway.stream_messages import (
    StreamAnswer,
    StreamQuery,
    StreamsBegun,
    check_digests,
)
from wasabicross.messaging.errors import MessageMalformed

#: Largest frame that is accepted, before and after decompression. The store
#: holds values of up to a megabyte, and a copy of it contains several of them.
MAX_FRAME_BYTES = 16777216

#: Frames of at least this length are compressed, since a configuration of many
#: routes is sent to all gateways of a data centre over one network link.
_MIN_COMPRESSED_BYTES = 16384
_FASTEST_LEVEL = 1

#: First byte of a compressed frame; an encoded list never begins with it.
_ZLIB_HEADER = 0x78


class Hello(NamedTuple):
    """The first message in each direction of a link.

    The owner repeats it as a heartbeat.

    :param instance: name of the sender's machine.
    """

    instance: str


class HeldAdapter(NamedTuple):
    """An adapter version that is resident on a server."""

    model: str
    adapter: str
    version: int


class ServerState(NamedTuple):
    """The complete state of a server, sent by its owner.

    :param start_ms: start time of the server that the state belongs to, Unix
        milliseconds.
    :param queued: number of requests in the server's queue.
    :param running: number of requests in its batch.
    :param takes_loads: whether the owner may order loads and the server
        answers.
    :param held: adapters that are resident on the server.
    :param models: base models that are resident on the server.
    :param spare_slots: adapter slots available to further loads, negative if
        loads are waiting for slots.
    :param unread_tokens: prompt tokens that the server still has to prefill.
    :param awaited_tokens: prompt tokens of requests that wait for an adapter
        there.
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
    awaited_tokens: int = 0


class HeldAdaptersUpdate(NamedTuple):
    """Changes to a server's resident adapters since its owner's last message.

    :param start_ms: start time of the server that the change belongs to, Unix
        milliseconds.
    :param takes_loads: whether the owner may order loads and the server
        answers.
    :param gained: adapters, or versions of them, that were loaded.
    :param lost: adapters that were unloaded.
    """

    server_id: str
    start_ms: int
    takes_loads: bool
    gained: tuple[HeldAdapter, ...]
    lost: tuple[HeldAdapter, ...]


class ServerOccupancy(NamedTuple):
    """How busy a server is, sent periodically as a heartbeat and on changes.

    :param start_ms: start time of the server that this belongs to, Unix
        milliseconds.
    :param queued: number of requests in the server's queue.
    :param running: number of requests in its batch.
    :param spare_slots: adapter slots available to further loads, negative if
        loads are waiting for slots.
    :param unread_tokens: prompt tokens that the server still has to prefill.
    :param awaited_tokens: prompt tokens of requests that wait for an adapter
        there.
    """

    server_id: str
    start_ms: int
    queued: int
    running: int
    spare_slots: int = 0
    unread_tokens: int = 0
    awaited_tokens: int = 0


class LoadWanted(NamedTuple):
    """Requests that the owner of a server loads an adapter there.

    :param call_id: number that the answer repeats.
    :param version: oldest acceptable version.
    :param priority: rank of the waiting request, 0 is the most urgent.
    :param max_wait_ms: longest time that the request waits.
    :param target_wait_ms: longest wait after which the request can still meet
        its latency target.
    :param prompt_tokens: length of its prompt, 0 if it isn't known.
    :param is_returning: whether its caller was refused before.
    """

    call_id: int
    server_id: str
    model: str
    adapter: str
    version: int
    priority: int
    max_wait_ms: int
    target_wait_ms: int = 0
    prompt_tokens: int = 0
    is_returning: bool = False


class LoadEnded(NamedTuple):
    """Answers `LoadWanted`.

    :param version: the version that is resident, 0 if the load failed.
    :param reason: why the load failed.
    """

    call_id: int
    version: int
    reason: str


class AdapterUsage(NamedTuple):
    """Usage of an adapter on a server by the sending gateway.

    :param running: number of its requests in flight there.
    :param unread_tokens: prompt tokens of those whose answer hasn't begun.
    """

    server_id: str
    model: str
    adapter: str
    running: int
    unread_tokens: int = 0


class UsageUpdate(NamedTuple):
    """The usage that changed since the last message of this kind.

    :param is_complete: whether this replaces all usage reported before.
    """

    usage: tuple[AdapterUsage, ...]
    is_complete: bool = False


class StoreUpdatesRequest(NamedTuple):
    """Subscribes to the store changes that an owner watches.

    :param instance: name of the subscriber's machine.
    """

    instance: str


class StoreUpdate(NamedTuple):
    """Store changes that an owner relays.

    :param since: position after which the changes were made.
    :param revision: position up to which the changes are complete, of a later
        era if the store has returned from an older copy meanwhile.
    """

    since: int
    revision: int
    items: tuple[StoredItem, ...]


class StoreCopyRequest(NamedTuple):
    """Requests a copy of the store's content as a gateway knows it.

    :param instance: name of the requester's machine.
    """

    instance: str


class StoreStatus(NamedTuple):
    """How far an owner has followed the store, sent as a heartbeat.

    :param revision: position up to which it knows all changes, 0 if it hasn't
        read the store.
    :param is_lost: whether its last call to the store failed.
    """

    revision: int
    is_lost: bool


class StoreConfirmation(NamedTuple):
    """As of when an owner knows the store's content, sent as a heartbeat.

    Both times are of the sender's clock, so that the receiver can tell how long
    the message took.

    :param revision: position up to which the owner knows all changes.
    :param confirmed_ms: time as of which it knows them, milliseconds.
    :param sent_ms: time at which this was sent, milliseconds.
    """

    revision: int
    confirmed_ms: int
    sent_ms: int


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
    | ServerCrash
    | PartsCleared
    | StoreConfirmation
    | StreamsBegun
    | StreamQuery
    | StreamAnswer
    | LimitsStated
    | GrantWanted
    | GrantAnswer
)

#: The position of a type is its code on the wire, so types are only appended.
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
    ServerCrash,
    PartsCleared,
    StoreConfirmation,
    StreamsBegun,
    StreamQuery,
    StreamAnswer,
    LimitsStated,
    GrantWanted,
    GrantAnswer,
)

_DECODING_ERRORS = (
    cbor2.CBORError,
    TypeError,
    ValueError,
    LookupError,
    zlib.error,
)

_CODES = {kind: code for code, kind in enumerate(_KINDS)}

#: Fields that hold lists of named tuples, and the type of their items.
_TUPLE_FIELDS: dict[type, tuple[tuple[str, Any], ...]] = {
    ServerState: (('held', HeldAdapter),),
    UsageUpdate: (('usage', AdapterUsage),),
    StoreUpdate: (('items', StoredItem),),
    HeldAdaptersUpdate: (('gained', HeldAdapter), ('lost', HeldAdapter)),
}


def encode(*messages: Message) -> bytes:
    """Return the frame that carries some messages.

    :param messages: the messages, each of a type of `Message`.
    """
    frame = cbor2.dumps(
        [[_CODES[type(message)], *message] for message in messages]
    )
    if len(frame) < _MIN_COMPRESSED_BYTES:
        return frame
    return zlib.compress(frame, _FASTEST_LEVEL)


def decode(frame: bytes | str) -> tuple[Message, ...]:
    """Return the messages of a received frame.

    :param frame: one complete WebSocket message.
    :raises MessageMalformed: the frame doesn't follow the protocol.
    """
    try:
        return tuple(_decoded(wire) for wire in _wire_messages(frame))
    except _DECODING_ERRORS as exc:
        raise MessageMalformed(f'malformed frame: {exc!r}') from exc


def _wire_messages(frame: bytes | str) -> list[Any]:
    if isinstance(frame, str):
        raise ValueError('text frame, expected a binary one')
    wires = cbor2.loads(_decompressed(frame))
    if not isinstance(wires, list):
        raise ValueError('frame does not hold a list of messages')
    return wires


def _decompressed(frame: bytes) -> bytes:
    """Return the decompressed frame, or the frame itself if it is plain."""
    if not frame or frame[0] != _ZLIB_HEADER:
        return frame
    reader = zlib.decompressobj()
    decompressed = reader.decompress(frame, MAX_FRAME_BYTES)
    if not reader.eof:
        raise ValueError('compressed frame is truncated or too long')
    return decompressed


def _decoded(wire: Any) -> Message:
    code, *fields = wire
    message = _KINDS[code](*(_tupled(each) for each in fields))
    for name, kind in _TUPLE_FIELDS.get(type(message), ()):
        parts = tuple(_checked(kind(*each)) for each in getattr(message, name))
        message = message._replace(**{name: parts})
    checked: Message = _checked(message)
    check_digests(checked)
    return checked


def _tupled(value: Any) -> Any:
    return tuple(value) if isinstance(value, list) else value


_SIMPLE_FIELDS = {
    kind: simple_fields(kind)
    for kind in (*_KINDS, HeldAdapter, AdapterUsage, StoredItem)
}


def _checked(message: Any) -> Any:
    """Return the message after checking the values of its simple fields."""
    for position, kind in _SIMPLE_FIELDS[type(message)]:
        found = message[position]
        is_valid = isinstance(found, kind)
        if is_valid and kind is int:
            is_valid = -MAX_NUMBER <= found <= MAX_NUMBER
        elif is_valid and kind is tuple:
            is_valid = are_texts(found)
        if not is_valid:
            raise TypeError(f'{type(message).__name__}: field {position}')
    return message
