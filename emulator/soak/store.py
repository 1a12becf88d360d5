"""A stand-in for the store of the platform, which runs as its own process.

``python -m emulator.soak.store --port P``

In addition to the calls of the platform it accepts ``POST /debug/put`` from the
operator, ``POST /debug/heartbeat`` and ``POST /debug/version`` from servers,
and ``POST /fault`` with ``{"kind": KIND, "value": V}``:

==========  =================================================================
down        whether calls are refused with 503
slow_s      delay of each call in seconds
lose        number of next writes that are made but whose answers are lost
forget      drops the history, so that watchers have to read all items again
restore     returns from a copy of this age in seconds, in the next era; the
            operator writes its items again, servers with their heartbeats
==========  =================================================================
"""

from __future__ import annotations

import asyncio
import base64
import json
import time
from typing import Any, NamedTuple

import click

from emulator.faults import Faults
from emulator.stream_server import (
    ConnectionDied,
    HttpRequest,
    Responder,
    StreamServer,
)

_PAGE_ITEMS = 500
_MS_PER_S = 1000

#: The entry of a server that sends no heartbeat for this time is removed.
_HEARTBEAT_TIMEOUT_S = 1.5
_SWEEP_S = 0.1


class Item(NamedTuple):
    """An item of the store.

    :param revision: store revision of its last change.
    :param text: its value in base64, None if it was removed.
    """

    key: str
    text: str | None
    revision: int

    def as_document(self) -> dict[str, Any]:
        """Return the item in the format of the platform."""
        document: dict[str, Any] = {
            'key': self.key,
            'revision': self.revision,
        }
        if self.text is None:
            return {**document, 'deleted': True}
        return {**document, 'value': self.text, 'created': 1, 'lease': 0}


class StoreStandIn:
    """The items, the history of changes and the faults of the store."""

    def __init__(self) -> None:
        self._items: dict[str, Item] = {}
        self._history: list[Item] = []
        self._revision = 1
        self._oldest_watchable = 0
        self._changed = asyncio.Event()
        self._faults: dict[str, Any] = {}
        self._heartbeats: dict[str, float] = {}
        self._era = 1
        #: All changes with the time of each, for copies of the content.
        self._log: list[tuple[float, Item]] = []

    async def answer(self, req: HttpRequest, responder: Responder) -> None:
        """Answer one call.

        :param req: the call.
        :param responder: sends the answer.
        :raises ConnectionDied: a fault dropped the answer.
        """
        if req.path == '/fault':
            self._on_fault(req.document(), responder)
        elif req.path.startswith('/debug/'):
            self._on_debug(req, responder)
        else:
            await self._on_call(req, responder)

    async def sweep(self) -> None:
        """Remove entries of servers without heartbeat while the store is up."""
        while True:
            await asyncio.sleep(_SWEEP_S)
            now_s = time.monotonic()
            if self._faults.get('down'):
                self._heartbeats = dict.fromkeys(self._heartbeats, now_s)
            for key, heartbeat_s in tuple(self._heartbeats.items()):
                if now_s - heartbeat_s > _HEARTBEAT_TIMEOUT_S:
                    self._heartbeats.pop(key)
                    self._change(key, None)

    def _on_fault(self, document: dict[str, Any], responder: Responder) -> None:
        if document['kind'] == 'forget':
            self._oldest_watchable = self._revision
            self._history.clear()
        elif document['kind'] == 'restore':
            self._restore(time.monotonic() - document['value'])
        else:
            self._faults[document['kind']] = document['value']
        responder.send_json(200, {})

    def _restore(self, at_s: float) -> None:
        """Return from the copy of a time, monotonic seconds."""
        written = [
            each for each in self._items.values() if each.key.startswith('op/')
        ]
        self._log = [entry for entry in self._log if entry[0] <= at_s]
        self._era += 1
        self._revision = self._log[-1][1].revision if self._log else 1
        self._oldest_watchable = min(self._oldest_watchable, self._revision)
        self._items = {}
        kept = [item for _, item in self._log]
        for kept_item in kept:
            self._set(kept_item)
        self._history = [
            item for item in kept if item.revision > self._oldest_watchable
        ]
        for lost_item in written:
            self._change(lost_item.key, lost_item.text)

    def _on_debug(self, req: HttpRequest, responder: Responder) -> None:
        document = req.document()
        key = document['key']
        if req.path == '/debug/version':
            responder.send_json(200, {'version': self._version(key)})
            return
        current = self._items.get(key)
        if req.path == '/debug/heartbeat':
            self._heartbeats[key] = time.monotonic()
        if current is None or current.text != document['text']:
            self._change(key, document['text'])
        responder.send_json(
            200, {'revision': self._revision, 'at_s': time.monotonic()}
        )

    def _version(self, key: str) -> int:
        """Return the version in the item of an adapter, 1 without an item."""
        item = self._items.get(key)
        if item is None or item.text is None:
            return 1
        return int(json.loads(base64.b64decode(item.text))['version'])

    async def _on_call(self, req: HttpRequest, responder: Responder) -> None:
        if self._faults.get('down'):
            self._send(responder, 503, {})
            return
        await asyncio.sleep(self._faults.get('slow_s', 0))
        if req.path == '/-/kv-range':
            self._send(responder, 200, self._page(req.query))
        elif req.path == '/-/kv-watch':
            await self._watch(req.query, responder)
        elif req.path == '/-/kv-txn':
            self._write(req.document(), responder)
        else:
            self._send(responder, 404, {})

    def _page(self, query: dict[str, str]) -> dict[str, Any]:
        prefix = query.get('pathPrefix', '')
        keys = sorted(
            key
            for key in self._items
            if key.startswith(prefix) and key > query.get('after', '')
        )
        page = [self._items[key].as_document() for key in keys[:_PAGE_ITEMS]]
        return {
            'items': page,
            'hasMore': len(keys) > _PAGE_ITEMS,
            'at': self._revision,
        }

    async def _watch(self, query: dict[str, str], responder: Responder) -> None:
        after = int(query['after'])
        until_s = time.monotonic() + int(query['waitMs']) / _MS_PER_S
        while after >= self._oldest_watchable and self._revision <= after:
            remaining_s = until_s - time.monotonic()
            if (
                remaining_s <= 0
                or self._faults.get('down')
                or responder.is_gone
            ):
                break
            self._changed.clear()
            try:
                await asyncio.wait_for(self._changed.wait(), remaining_s)
            except TimeoutError:
                break
        if not self._oldest_watchable <= after <= self._revision:
            self._send(responder, 410, {})
            return
        changes = [
            item.as_document()
            for item in self._history
            if item.revision > after
        ]
        self._send(responder, 200, {'events': changes, 'at': self._revision})

    def _write(self, document: dict[str, Any], responder: Responder) -> None:
        expected = document['expected']
        current = [self._items.get(row['key']) for row in expected]
        revisions = [item.revision if item else 0 for item in current]
        if revisions != [row['revision'] for row in expected]:
            found = [item.as_document() for item in current if item]
            self._send(responder, 412, {'items': found})
            return
        for put in document['puts']:
            self._change(put['key'], put['value'])
        for key in document['remove']:
            self._change(key, None)
        if self._faults.get('lose', 0) > 0:
            self._faults['lose'] -= 1
            responder.reset()
            raise ConnectionDied
        self._send(responder, 200, {'revision': self._revision})

    def _change(self, key: str, text: str | None) -> None:
        self._revision += 1
        item = Item(key, text, self._revision)
        self._set(item)
        self._history.append(item)
        self._log.append((time.monotonic(), item))
        self._changed.set()

    def _set(self, item: Item) -> None:
        if item.text is None:
            self._items.pop(item.key, None)
        else:
            self._items[item.key] = item

    def _send(
        self, responder: Responder, status: int, document: dict[str, Any]
    ) -> None:
        era = (('Store-Era', str(self._era)),)
        responder.send_json(status, document, era)


def encode_value(document: bytes) -> str:
    """Return a value in the encoding of the store, base64.

    :param document: bytes of the value.
    """
    return base64.b64encode(document).decode()


async def _serve(port: int) -> None:
    store = StoreStandIn()
    sweeping = asyncio.ensure_future(store.sweep())
    await StreamServer(store.answer, Faults()).serve('127.0.0.1', port)
    sweeping.cancel()


@click.command()
@click.option('--port', type=int, required=True)
def main(port: int) -> None:
    """Serve until SIGTERM."""
    asyncio.run(_serve(port))


if __name__ == '__main__':
    main()
