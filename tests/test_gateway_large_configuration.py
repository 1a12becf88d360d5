"""Large configurations: bursts of them, frame sizes, and route lookup."""

import asyncio
import json
import random
import time
import zlib

import cbor2
import pytest

from wasabicross.gateway.configuration import (
    CallerLimits,
    Configuration,
    Route,
    RouteKind,
    ServiceShare,
)
from wasabicross.gateway.messages import (
    MAX_FRAME_BYTES,
    StoreUpdate,
    decode,
    encode,
)
from wasabicross.gateway.store import StoredItem, latest_by_key
from wasabicross.messaging.errors import MessageMalformed
from wasabicross.platform.fleet_store import PlatformStore
from wasabicross.platform.store import ItemSnapshot

ROUTES = 1700


def item(key, revision, document=b'x'):
    return StoredItem(key, revision, document)


def document(version, routes=ROUTES):
    """Return a configuration in the JSON format of the platform."""
    rng = random.Random(20261204)
    routes_document = [
        {
            'name': f'r-{rng.randbytes(4).hex()}',
            'host': f'h{number % 9}.example',
            'pathPrefix': f'/{rng.randbytes(4).hex()}/',
            'kind': 'streaming',
            'timeoutMs': 5000,
            'targetLatencyMs': 800,
            'priority': 1,
            'service': 'llm',
            'maxAttempts': 2,
            'sticky': True,
            'resumable': True,
            'targetGapMs': 250,
        }
        for number in range(routes)
    ]
    limits = {
        'maxHeaderBytes': 16384,
        'maxBodyBytes': 65536,
        'headerTimeoutMs': 2000,
        'idleTimeoutMs': 10000,
    }
    services = [{'name': 'llm', 'healthPath': '/health', 'maxConns': 500}]
    encoded_fields = {
        'version': version,
        'routes': routes_document,
        'services': services,
        'limits': limits,
    }
    return json.dumps(encoded_fields).encode()


@pytest.mark.parametrize(
    ('changes', 'newest'),
    [
        ([], []),
        ([('a', 1), ('b', 2)], [('a', 1), ('b', 2)]),
        ([('a', 1), ('b', 2), ('a', 3)], [('b', 2), ('a', 3)]),
    ],
)
def test_a_change_replaces_those_before(changes, newest):
    items = [item(*change) for change in changes]
    assert latest_by_key(items) == tuple(item(*change) for change in newest)


def test_the_last_word_on_a_key_may_be_that_it_has_gone():
    items = [item('a', 1), item('a', 2, None), item('b', 3, None), item('b', 4)]
    assert latest_by_key(items) == (item('a', 2, None), item('b', 4))


class BurstStore:
    """Answer a watch with several configurations at once."""

    def __init__(self, versions):
        self._items = tuple(
            item('op/config', version, document(version))
            for version in versions
        )

    async def watch(self, prefix, revision, wait_s):
        return ItemSnapshot(self._items, 99)


def test_a_burst_of_configurations_is_read_and_passed_on_as_one():
    store = PlatformStore(BurstStore(range(1, 26)))
    seen = asyncio.run(store.watch(0, 1))
    (change,) = seen.changes
    assert change.configuration.version == 25
    assert [each.revision for each in seen.items] == [25]


def test_many_routes_take_little_of_a_link():
    content = document(1)
    store_update = StoreUpdate(4, 5, (item('op/config', 5, content),))
    frame = encode(store_update)
    assert len(content) > 400_000
    assert len(frame) < 100_000
    assert decode(frame) == (store_update,)


def test_short_frames_are_sent_as_they_are():
    store_update = StoreUpdate(4, 5, (item('op/config', 5, b'short'),))
    assert cbor2.loads(encode(store_update))
    assert decode(encode(store_update)) == (store_update,)


@pytest.mark.parametrize(
    'frame',
    [
        zlib.compress(bytes(MAX_FRAME_BYTES + 1)),
        zlib.compress(encode(StoreUpdate(1, 2, ())))[:-3],
        b'\x78 no zlib',
        zlib.compress(b'no messages'),
    ],
)
def test_frames_that_are_no_frames(frame):
    with pytest.raises(MessageMalformed):
        decode(frame)


def route(host, prefix):
    return Route(
        f'{host}{prefix}',
        host,
        prefix,
        RouteKind.safe,
        1,
        1,
        1,
        1,
        (ServiceShare('desk', 1),),
        1,
        False,
    )


@pytest.mark.parametrize(
    ('host', 'path', 'name'),
    [
        ('a', '/x/', 'a/x/'),
        ('a', '/x/y', 'a/x/'),
        ('a', '/x/y/', 'a/x/y/'),
        ('a', '/x/y/z/w', 'a/x/y/'),
        ('a', '/x', 'a/'),
        ('a', '/', 'a/'),
        ('b', '/x/y', ''),
        ('b', '/z/y', 'b/z/'),
        ('c', '/x/', ''),
        ('a', '', ''),
        ('a', 'x', ''),
        ('a', '*', ''),
    ],
)
def test_the_longest_prefix_is_found(host, path, name):
    routes = [('a', '/'), ('a', '/x/'), ('a', '/x/y/'), ('b', '/z/')]
    cfg = Configuration.from_parts(
        1,
        tuple(route(*each) for each in routes),
        {},
        CallerLimits(1, 1, 1, 1),
    )
    found = cfg.route_for(host, path)
    assert (found.name if found else '') == name


def test_a_route_is_found_as_soon_among_many():
    routes = tuple(route('a', f'/{number}/') for number in range(20_000))
    limits = CallerLimits(1, 1, 1, 1)
    cfg = Configuration.from_parts(1, routes, {}, limits)
    began_s = time.monotonic()
    for number in range(2000):
        assert cfg.route_for('a', f'/{number}/x') is routes[number]
    assert time.monotonic() - began_s < 1
