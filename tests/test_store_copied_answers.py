"""Copies of the store's earlier answers that come where a later one is due."""

import asyncio
import json

import pytest
from scripted_server import HOST, ScriptedServer, answer

from wasabicross.gateway.connections.connection_pool import ConnectionPool
from wasabicross.gateway.errors import StoreUnavailable
from wasabicross.gateway.settings import Address
from wasabicross.gateway.store_position import position
from wasabicross.platform.headers import REQUEST_ID
from wasabicross.platform.store import StoreClient, Write


def reply(document, status=b'200 OK'):
    return answer(
        json.dumps(document).encode(), status, b'Store-Era: 1\r\n'
    ).replace(b'Request-Id: {id}\r\n', b'')


def item(key, revision):
    return {'key': key, 'value': 'e30=', 'revision': revision}


CONFLICT = b'412 Precondition Failed'
WRITTEN = reply({'revision': 5})
OTHER_KEY = reply({'items': [item('owners/a', 5)]}, CONFLICT)
NO_KEY = reply({'items': []}, CONFLICT)
PAGE = reply({'items': [], 'at': 5, 'hasMore': False})
EVENTS = reply({'events': [], 'at': 5})


async def read(client):
    return (await client.read('x/')).revision


async def watch(client):
    return (await client.watch('x/', position(1, 5), 0.1)).revision


def write(key, expected):
    async def call(client):
        result = await client.write(Write(key, position(1, expected), b'{}'))
        return result.revision

    return call


async def put(client):
    return await client.put('instances/x', b'{}')


def second_outcome(first, second, late, own):
    """Make two calls; a copy comes before the second answer."""

    async def scenario():
        server = ScriptedServer([late], [late, 0.02, own])
        address = Address(HOST, await server.start())
        pool = ConnectionPool(REQUEST_ID)
        client = StoreClient(address, pool)
        await client.read('x/') if first is None else await first(client)
        try:
            return await second(client)
        except StoreUnavailable:
            return 'unknown'
        finally:
            pool.drop_idle(HOST, address.port)
            server.refuse_connections()

    return asyncio.run(scenario())


@pytest.mark.parametrize(
    ('first', 'second', 'late', 'own'),
    [
        # A record that another gateway has written isn't taken for one's own.
        (write('owners/a', 4), write('owners/b', 0), WRITTEN, NO_KEY),
        (put, write('owners/b', 0), WRITTEN, NO_KEY),
        # A record that was written isn't taken for another's.
        (write('owners/a', 4), write('owners/b', 5), OTHER_KEY, WRITTEN),
        # Answers to other calls are none.
        (write('owners/a', 4), read, WRITTEN, PAGE),
        (write('owners/a', 4), watch, WRITTEN, EVENTS),
        (read, write('owners/a', 4), PAGE, NO_KEY),
        (read, watch, PAGE, EVENTS),
        (watch, read, EVENTS, PAGE),
        (watch, write('owners/a', 4), EVENTS, NO_KEY),
    ],
)
def test_copy_of_the_stores_answer_is_not_believed(first, second, late, own):
    assert second_outcome(first, second, late, own) == 'unknown'


def test_writes_of_their_own_are_believed():
    async def scenario():
        server = ScriptedServer(
            [WRITTEN], [reply({'revision': 6})], [reply({'revision': 4})]
        )
        address = Address(HOST, await server.start())
        pool = ConnectionPool(REQUEST_ID)
        client = StoreClient(address, pool)
        found = [await write(key, 0)(client) for key in 'abc']
        pool.drop_idle(HOST, address.port)
        server.refuse_connections()
        return found

    expected = [position(1, revision) for revision in (5, 6, 4)]
    assert asyncio.run(scenario()) == expected


def test_copy_of_earlier_changes_undoes_no_later_ones():
    earlier = reply({'events': [item('x/a', 4)], 'at': 4})
    later = reply({'events': [item('x/a', 6)], 'at': 6})

    async def scenario():
        server = ScriptedServer([earlier], [later], [earlier, 0.02, later])
        address = Address(HOST, await server.start())
        pool = ConnectionPool(REQUEST_ID)
        client = StoreClient(address, pool)
        found = []
        for after in (3, 4, 6):
            changes = await client.watch('x/', position(1, after), 0.1)
            found.append(len(changes.items))
        pool.drop_idle(HOST, address.port)
        server.refuse_connections()
        return found

    assert asyncio.run(scenario()) == [1, 1, 0]
