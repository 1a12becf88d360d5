"""Client of the platform's store: reads, watches and conditional writes."""

from __future__ import annotations

import asyncio
import base64
import json
from collections import deque
from typing import Any, NamedTuple
from urllib.parse import urlencode

from wasabicross.gateway.connections.carried_requests import ExchangeKind
from wasabicross.gateway.connections.connection_pool import ConnectionPool
from wasabicross.gateway.connections.http_heads import Fields, field
from wasabicross.gateway.connections.server_messages import ServerRequest
from wasabicross.gateway.errors import (
    BodyTooLong,
    DocumentUnreadable,
    HistoryGone,
    ServerError,
    StoreAnswerTooLong,
    StoreRestored,
    StoreUnavailable,
)
from wasabicross.gateway.settings import Address
from wasabicross.gateway.store import StoredItem
from wasabicross.gateway.store_position import era_of, position, revision_of
from wasabicross.platform.values import (
    digits,
    integer,
    parse_json,
    rows,
    text,
)
from wasabicross.runtime.events import Event
from wasabicross.runtime.logs import log_event

#: Key of the configuration that the operator writes.
CONFIGURATION_KEY = 'op/config'

#: Prefix of the keys of adapter versions.
VERSIONS_PREFIX = 'op/version/'

#: Prefix of the keys under which servers register.
SERVERS_PREFIX = 'servers/'

#: Number that rises whenever the store returns from an older copy.
_ERA_FIELD = b'store-era'

_OK = 200
_CONFLICT = 412
_HISTORY_GONE = 410
_DECODE_ERRORS = (KeyError, ValueError, TypeError, AttributeError)
_CALL_ERRORS = (DocumentUnreadable, ServerError, TimeoutError, ValueError)

#: Longest key of an item.
_MAX_KEY_BYTES = 200

#: Longest wait for the answer to a read or write.
_CALL_TIMEOUT_S = 1.0

#: Longest wait for the answer to a watch beyond the requested wait.
WATCH_TIMEOUT_MARGIN_S = 0.5

#: Limits of the body of an answer: its length, the silence within it and its
#: total time. A page of 1 MB takes most of a second on a slow link.
_MAX_BODY_BYTES = 67108864
_MAX_SILENCE_S = 0.5
_TRANSFER_TIMEOUT_S = 6.0

#: Longest body of an answer to a watch, which has every version of a key. A
#: longer one is discarded and the store is read instead, since a read returns
#: only the newest version of each key.
_MAX_WATCH_BYTES = 1048576

#: Most positions of this client's writes that are remembered.
_MAX_WRITTEN = 512

_MS_IN_S = 1000


class ItemSnapshot(NamedTuple):
    """Items from a read or watch.

    :param revision: position of the store after which to watch next.
    """

    items: tuple[StoredItem, ...]
    revision: int


class Write(NamedTuple):
    """A conditional write.

    :param expected_revision: position that the key must have; one with
        revision 0 if it must not exist.
    """

    key: str
    expected_revision: int
    document: bytes


class WriteResult(NamedTuple):
    """Result of a conditional write.

    :param revision: the new position, None if the condition didn't hold.
    :param current: the current item if the condition didn't hold.
    """

    revision: int | None
    current: StoredItem | None


class _Page(NamedTuple):
    """One page of the items that a read returns."""

    items: tuple[StoredItem, ...]
    revision: int
    has_more: bool


class _Answer(NamedTuple):
    """An answer of the store.

    :param era: era of the store.
    :param wire: its decoded JSON.
    """

    status: int
    era: int
    wire: Any


class StoreClient:
    """Client of the store.

    Revisions leave it as positions, which rise when the store returns from an
    older copy. Calls raise `StoreUnavailable` if they get no valid answer.

    :param address: address of the store.
    :param pool: connections to the store.
    """

    def __init__(self, address: Address, pool: ConnectionPool) -> None:
        self._address = address
        self._pool = pool
        self._era = 0
        #: Positions that its last writes got, the oldest one first.
        self._written: deque[int] = deque(maxlen=_MAX_WRITTEN)

    async def read(self, prefix: str) -> ItemSnapshot:
        """Read all items whose keys have a prefix.

        :param prefix: prefix of the keys.
        """
        items: list[StoredItem] = []
        revision = None
        after = ''
        while True:
            page = await self._read_page(prefix, after)
            items.extend(page.items)
            revision = page.revision if revision is None else revision
            if era_of(page.revision) != era_of(revision):
                raise StoreRestored('the pages are of different eras')
            if not page.has_more:
                return ItemSnapshot(tuple(items), revision)
            if not page.items:
                raise StoreUnavailable('a page without any key before others')
            after = page.items[-1].key

    async def watch(
        self, prefix: str, revision: int, wait_s: float
    ) -> ItemSnapshot:
        """Wait for changes after a revision.

        :param prefix: prefix of the keys.
        :param revision: the last known position.
        :param wait_s: longest wait, in seconds; the snapshot is empty if
            nothing has changed by then.
        :raises HistoryGone: the store no longer keeps the changes, they are too
            many for an answer, or it has returned from an older copy.
        """
        query = {
            'pathPrefix': prefix,
            'after': revision_of(revision),
            'waitMs': int(wait_s * _MS_IN_S),
        }
        try:
            answer = await self._call(
                'GET',
                '/-/kv-watch',
                query,
                timeout_s=wait_s + WATCH_TIMEOUT_MARGIN_S,
                max_bytes=_MAX_WATCH_BYTES,
            )
        except StoreAnswerTooLong as exc:
            raise HistoryGone(
                f'too many changes after revision {revision}: {exc}'
            ) from exc
        if answer.status == _HISTORY_GONE:
            raise HistoryGone(f'no changes kept after revision {revision}')
        _check_status(answer.status)
        if answer.era != era_of(revision):
            raise HistoryGone(
                f'era {answer.era} has other changes after {revision}'
            )
        changes: ItemSnapshot = _decode_answer(_decode_changes, answer)
        # Other ones are in a copy of an earlier answer.
        items = (item for item in changes.items if item.revision > revision)
        return changes._replace(items=tuple(items))

    async def write(self, write: Write) -> WriteResult:
        """Write an item if it has the expected position.

        :param write: key, expected position and value.
        :raises StoreRestored: the store is in another era, where the expected
            revision may be that of another value.
        """
        expected = write.expected_revision
        condition = {'key': write.key, 'revision': revision_of(expected)}
        body = _transaction([condition], write.key, write.document)
        answer = await self._call('POST', '/-/kv-txn', body=body)
        if answer.status != _CONFLICT:
            _check_status(answer.status)
        if answer.era != era_of(expected):
            raise StoreRestored(
                f'{write.key}: written in era {answer.era}, '
                f'expected {era_of(expected)}'
            )
        if answer.status == _CONFLICT:
            return WriteResult(None, _decode_conflict(answer, write.key))
        return WriteResult(self._written_at(answer), None)

    async def put(self, key: str, document: bytes) -> int:
        """Write an item unconditionally and return the store's era.

        :param key: key of the item.
        :param document: value of the item.
        """
        body = _transaction([], key, document)
        answer = await self._call('POST', '/-/kv-txn', body=body)
        _check_status(answer.status)
        self._written_at(answer)
        return answer.era

    def _written_at(self, answer: _Answer) -> int:
        """Return the position of a write.

        :raises StoreUnavailable: it is that of an earlier one, whose answer has
            come once more.
        """
        written: int = _decode_answer(_decode_revision, answer)
        if written in self._written:
            raise StoreUnavailable(f'position {written} of an earlier write')
        self._written.append(written)
        return written

    async def _read_page(self, prefix: str, after: str) -> _Page:
        query = {'pathPrefix': prefix}
        if after:
            query['after'] = after
        answer = await self._call('GET', '/-/kv-range', query)
        _check_status(answer.status)
        page: _Page = _decode_answer(_decode_page, answer)
        return page

    async def _call(
        self,
        method: str,
        path: str,
        query: dict[str, Any] | None = None,
        body: Any = None,
        timeout_s: float = _CALL_TIMEOUT_S,
        max_bytes: int = _MAX_BODY_BYTES,
    ) -> _Answer:
        req = _request(method, path, query, body)
        try:
            return await self._exchange(req, timeout_s, max_bytes)
        except BodyTooLong as exc:
            raise StoreAnswerTooLong(f'{path}: {exc}') from exc
        except _CALL_ERRORS as exc:
            raise StoreUnavailable(f'{path}: {exc!r}') from exc

    async def _exchange(
        self, req: ServerRequest, timeout_s: float, max_bytes: int
    ) -> _Answer:
        conn = await self._pool.acquire_for_call(
            self._address.host, self._address.port, ExchangeKind.store
        )
        try:
            async with asyncio.timeout(timeout_s):
                conn.send(req)
                head = await conn.read_head(req)
            async with asyncio.timeout(_TRANSFER_TIMEOUT_S):
                document = await conn.read_body(max_bytes, _MAX_SILENCE_S)
        except BaseException:
            conn.close()
            raise
        self._pool.release(self._address.host, self._address.port, conn)
        era = self._era_after(head.fields)
        wire = parse_json(document) if document else None
        return _Answer(head.status, era, wire)

    def _era_after(self, fields: Fields) -> int:
        """Return the era of an answer; without one, the last known era holds.

        :raises ValueError: it isn't a number, or is lower than a known one.
        """
        stated = field(fields, _ERA_FIELD)
        era = digits(stated) if stated else self._era
        if era < self._era:
            raise ValueError(f'answer of era {era} after era {self._era}')
        self._era = era
        return era


def _request(
    method: str, path: str, query: dict[str, Any] | None, body: Any
) -> ServerRequest:
    target = f'{path}?{urlencode(query)}' if query else path
    document = b'' if body is None else json.dumps(body).encode()
    fields = [(b'host', b'store')]
    if document:
        fields.append((b'content-type', b'application/json'))
        fields.append((b'content-length', str(len(document)).encode()))
    return ServerRequest(
        method.encode(), target.encode(), fields, document, ExchangeKind.store
    )


def _transaction(
    conditions: list[dict[str, Any]], key: str, document: bytes
) -> dict[str, Any]:
    put = {'key': key, 'value': _encode_base64(document)}
    return {'expected': conditions, 'puts': [put], 'remove': []}


def _check_status(status: int) -> None:
    if status != _OK:
        raise StoreUnavailable(f'unexpected status {status}')


def _decode_answer(decode: Any, answer: _Answer) -> Any:
    try:
        return decode(answer.wire, answer.era)
    except _DECODE_ERRORS as exc:
        raise StoreUnavailable(f'unreadable answer: {exc!r}') from exc


def _decode_page(wire: Any, era: int) -> _Page:
    items = _decode_items(wire['items'], era)
    return _Page(
        items, position(era, integer(wire['at'])), bool(wire['hasMore'])
    )


def _decode_revision(wire: Any, era: int) -> int:
    return position(era, integer(wire['revision']))


def _decode_changes(wire: Any, era: int) -> ItemSnapshot:
    return ItemSnapshot(
        _decode_items(wire['events'], era), position(era, integer(wire['at']))
    )


def _decode_current(wire: Any, era: int) -> tuple[StoredItem, ...]:
    return _decode_items(wire['items'], era)


def _decode_conflict(answer: _Answer, key: str) -> StoredItem | None:
    """Return the current item of a write whose condition didn't hold.

    :raises StoreUnavailable: the answer is about another key.
    """
    current = _decode_answer(_decode_current, answer)
    if any(item.key != key for item in current):
        raise StoreUnavailable(f'no answer to a write of {key}')
    return current[0] if current else None


def _decode_items(wire: Any, era: int) -> tuple[StoredItem, ...]:
    """Decode a list of items, without those whose key can't be used."""
    items = []
    for each in rows(wire):
        try:
            items.append(_decode_item(each, era))
        except _DECODE_ERRORS as exc:
            log_event(
                Event.ENTRY_UNREADABLE, key='', reason=f'no item: {exc!r}'
            )
    return tuple(items)


def _decode_item(wire: Any, era: int) -> StoredItem:
    key = text(wire['key'])
    if len(key.encode()) > _MAX_KEY_BYTES:
        raise ValueError(f'key is longer than {_MAX_KEY_BYTES} bytes')
    is_deleted = wire.get('deleted') or wire.get('value') is None
    document = None if is_deleted else _decode_base64(wire['value'])
    return StoredItem(
        key, position(era, integer(wire.get('revision', 0))), document
    )


def _decode_base64(value: Any) -> bytes:
    """Decode a value, as an empty and so unreadable one if it isn't base64."""
    try:
        return base64.b64decode(value)
    except (ValueError, TypeError):
        return b''


def _encode_base64(document: bytes) -> str:
    return base64.b64encode(document).decode()
