"""The platform's store in memory, which can return from an older copy."""

import asyncio
import copy
import json
from typing import NamedTuple
from urllib.parse import parse_qs, urlsplit

from wasabicross.gateway.errors import StoreUnavailable
from wasabicross.platform.fleet_store import PlatformStore
from wasabicross.platform.store import StoreClient, _Answer

_POLL_S = 0.05


class _Content(NamedTuple):
    items: dict
    events: list
    revision: int


class RestorableStore:
    """Items, their changes, and the era, which rises with each restore."""

    def __init__(self, era=1):
        self.era = era
        self.is_down = False
        self._content = _Content({}, [], 7)

    def copied(self):
        """Return a copy of the content."""
        return copy.deepcopy(self._content)

    def restore(self, content):
        """Return from an earlier copy."""
        self._content = copy.deepcopy(content)
        self.era += 1

    def put(self, key, document):
        """Write an item, or remove it without a document."""
        items, events, revision = self._content
        change = {'key': key, 'revision': revision + 1, 'value': document}
        items.pop(key, None)
        if document is not None:
            items[key] = change
        events.append(change)
        self._content = _Content(items, events, revision + 1)

    def call(self, target, body):
        """Return status and document of the answer to a call."""
        url = urlsplit(target)
        query = {name: each[0] for name, each in parse_qs(url.query).items()}
        items, events, revision = self._content
        if url.path.endswith('range'):
            found = list(items.values())
            return 200, {'items': found, 'hasMore': False, 'at': revision}
        if url.path.endswith('watch'):
            after = int(query['after'])
            found = [each for each in events if each['revision'] > after]
            status = 410 if after > revision else 200
            return status, {'events': found, 'at': revision}
        for row in body['expected']:
            current = items.get(row['key'], {'revision': 0})
            if current['revision'] != row['revision']:
                return 412, {'items': []}
        for each in body['puts']:
            self.put(each['key'], each['value'])
        return 200, {'revision': self._content.revision}

    def client(self):
        """Return a gateway's client of this store."""
        return PlatformStore(_Client(self))


class _Client(StoreClient):
    """The client of one gateway, which may be cut off."""

    def __init__(self, store):
        super().__init__(None, None)
        self.store = store
        self.is_cut = False

    async def _exchange(self, req, timeout_s, max_bytes):
        await asyncio.sleep(_POLL_S)
        if self.store.is_down or self.is_cut:
            raise StoreUnavailable('down')
        body = json.loads(req.body) if req.body else None
        status, wire = self.store.call(req.target.decode(), body)
        era = self._era_after([(b'store-era', b'%d' % self.store.era)])
        return _Answer(status, era, wire)
