"""Calls to the platform's store: items, watches, conditional writes."""

from __future__ import annotations

import asyncio
import base64
import json
from typing import Any, NamedTuple
from urllib.parse import urlencode

from wasabicross.gateway.connection_pool import ConnectionPool
from wasabicross.gateway.errors import (
    BodyTooLong,
    HistoryGone,
    ServerError,
    StoreAnswerTooLong,
    StoreUnavailable,
)
from wasabicross.gateway.server_connections import ServerRequest
from wasabicross.gateway.settings import Address
from wasabicross.gateway.store import StoredItem

#: Where the operator keeps the configuration.
CONFIGURATION_KEY = 'op/config'

#: Start of the keys of adapters' versions.
VERSIONS_PREFIX = 'op/version/'

#: Start of the keys under which servers register.
SERVERS_PREFIX = 'servers/'

_OK = 200
_CONFLICT = 412
_HISTORY_GONE = 410
_FAULTS = (KeyError, ValueError, TypeError, AttributeError)

#: Longest wait for the answer of a read or write.
_CALL_TIMEOUT_S = 1.0

#: What a watch may take beyond the wait that it asks for.
WATCH_TIMEOUT_MARGIN_S = 0.5

#: Longest body of an answer that is read, silence in it, and how long it may take:
#: a page of a megabyte takes most of a second on a slow link.
_MAX_BODY_BYTES = 67108864
_SILENCE_S = 0.5
_TRANSFER_S = 6.0

#: Longest answer of a watch. It has each version of a key, a reading the newest.
_MAX_WATCH_BYTES = 1048576

_MS_IN_S = 1000


class ItemSnapshot(NamedTuple):
    """Items that were read, and the revision to watch from."""

    items: tuple[StoredItem, ...]
    revision: int


class Write(NamedTuple):
    """A conditional write.

    :param expected_revision: revision that the key must have, 0 for none.
    """

    key: str
    expected_revision: int
    document: bytes


class WriteResult(NamedTuple):
    """How a conditional write ended.

    :param revision: the new revision, None if the condition didn't hold.
    :param current: the item as it is, where the condition didn't hold.
    """

    revision: int | None
    current: StoredItem | None


class _Page(NamedTuple):
    """A part of what was read."""

    items: tuple[StoredItem, ...]
    revision: int
    has_more: bool


class StoreClient:
    """Calls to the store; each raises `StoreUnavailable` without an answer.

    :param address: where the store is.
    :param pool: connections.
    """

    def __init__(self, address: Address, pool: ConnectionPool) -> None:
        self._address = address
        self._pool = pool

    async def read(self, prefix: str) -> ItemSnapshot:
        """Read all items whose keys begin alike.

        :param prefix: start of the keys.
        """
        items: list[StoredItem] = []
        revision = None
        after = ''
        while True:
            page = await self._page(prefix, after)
            items.extend(page.items)
            revision = page.revision if revision is None else revision
            if not page.has_more or not page.items:
                return ItemSnapshot(tuple(items), revision)
            after = page.items[-1].key

    async def watch(
        self, prefix: str, revision: int, wait_s: float
    ) -> ItemSnapshot:
        """Wait for changes after a revision.

        :param prefix: start of the keys.
        :param revision: the last revision that is known.
        :param wait_s: longest wait; without changes the snapshot is empty.
        :raises HistoryGone: the changes are no longer kept, or are too many.
        """
        query = {
            'pathPrefix': prefix,
            'after': revision,
            'waitMs': int(wait_s * _MS_IN_S),
        }
        try:
            status, wire = await self._call(
                'GET',
                '/-/kv-watch',
                query,
                timeout_s=wait_s + WATCH_TIMEOUT_MARGIN_S,
                max_bytes=_MAX_WATCH_BYTES,
            )
        except StoreAnswerTooLong as exc:
            raise HistoryGone(f'revision {revision}: {exc}') from exc
        if status == _HISTORY_GONE:
            raise HistoryGone(f'revision {revision}')
        _check(status)
        changes: ItemSnapshot = _decoded(_changes, wire)
        return changes

    async def write(self, write: Write) -> WriteResult:
        """Write an item if it has the expected revision.

        :param write: key, condition and value.
        """
        condition = {'key': write.key, 'revision': write.expected_revision}
        body = _change([condition], write.key, write.document)
        status, wire = await self._call('POST', '/-/kv-txn', body=body)
        if status == _CONFLICT:
            current = _decoded(_items, wire)
            return WriteResult(None, current[0] if current else None)
        _check(status)
        return WriteResult(_decoded(_revision, wire), None)

    async def put(self, key: str, document: bytes) -> None:
        """Write an item whatever its revision.

        :param key: its key.
        :param document: its value.
        """
        body = _change([], key, document)
        status, _ = await self._call('POST', '/-/kv-txn', body=body)
        _check(status)

    async def _page(self, prefix: str, after: str) -> _Page:
        query = {'pathPrefix': prefix}
        if after:
            query['after'] = after
        status, wire = await self._call('GET', '/-/kv-range', query)
        _check(status)
        page: _Page = _decoded(_page_of, wire)
        return page

    async def _call(
        self,
        method: str,
        path: str,
        query: dict[str, Any] | None = None,
        body: Any = None,
        timeout_s: float = _CALL_TIMEOUT_S,
        max_bytes: int = _MAX_BODY_BYTES,
    ) -> tuple[int, Any]:
        req = _request(method, path, query, body)
        try:
            return await self._exchange(req, timeout_s, max_bytes)
        except BodyTooLong as exc:
            raise StoreAnswerTooLong(f'{path}: {exc}') from exc
        except (ServerError, TimeoutError, ValueError) as exc:
            raise StoreUnavailable(f'{path}: {exc!r}') from exc

    async def _exchange(
        self, req: ServerRequest, timeout_s: float, max_bytes: int
    ) -> tuple[int, Any]:
        conn = await self._pool.take(
            self._address.host, self._address.port, once=False
        )
        try:
            async with asyncio.timeout(timeout_s):
                await conn.send(req)
                head = await conn.head(req)
            async with asyncio.timeout(_TRANSFER_S):
                document = await conn.body(max_bytes, _SILENCE_S)
        except BaseException:
            conn.close()
            raise
        self._pool.give_back(self._address.host, self._address.port, conn)
        return head.status, json.loads(document) if document else None


def _request(
    method: str, path: str, query: dict[str, Any] | None, body: Any
) -> ServerRequest:
    target = f'{path}?{urlencode(query)}' if query else path
    document = b'' if body is None else json.dumps(body).encode()
    fields = [(b'host', b'store')]
    if document:
        fields.append((b'content-type', b'application/json'))
        fields.append((b'content-length', str(len(document)).encode()))
    return ServerRequest(method.encode(), target.encode(), fields, document)


def _change(
    conditions: list[dict[str, Any]], key: str, document: bytes
) -> dict[str, Any]:
    put = {'key': key, 'value': _base64(document)}
    return {'expected': conditions, 'puts': [put], 'remove': []}


def _check(status: int) -> None:
    if status != _OK:
        raise StoreUnavailable(f'status {status}')


def _decoded(decode: Any, wire: Any) -> Any:
    try:
        return decode(wire)
    except _FAULTS as exc:
        raise StoreUnavailable(f'unreadable answer: {exc!r}') from exc


def _items(wire: Any) -> list[StoredItem]:
    return [_item(each) for each in wire['items']]


def _page_of(wire: Any) -> _Page:
    items = tuple(_item(each) for each in wire['items'])
    return _Page(items, int(wire['at']), bool(wire['hasMore']))


def _revision(wire: Any) -> int:
    return int(wire['revision'])


def _changes(wire: Any) -> ItemSnapshot:
    return ItemSnapshot(
        tuple(_item(each) for each in wire['events']), int(wire['at'])
    )


def _item(wire: Any) -> StoredItem:
    is_gone = wire.get('deleted') or wire.get('value') is None
    document = None if is_gone else base64.b64decode(wire['value'])
    return StoredItem(wire['key'], int(wire.get('revision', 0)), document)


def _base64(document: bytes) -> str:
    return base64.b64encode(document).decode()
