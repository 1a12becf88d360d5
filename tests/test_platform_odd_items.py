"""Odd items in answers of the store: the others hold, the read goes on."""

import asyncio
import base64

import pytest
from odd_documents import DEEP, HUGE_NUMBERS, SOUND, encoded, with_number
from scripted_server import HOST, ScriptedServer, answer

from wasabicross.gateway.changes import ServerEntryUpdate
from wasabicross.gateway.connections.connection_pool import ConnectionPool
from wasabicross.gateway.errors import StoreUnavailable
from wasabicross.gateway.messages import StoreUpdate, encode
from wasabicross.gateway.settings import Address
from wasabicross.platform.fleet_store import PlatformStore
from wasabicross.platform.headers import REQUEST_ID
from wasabicross.platform.store import StoreClient

ODD_ITEMS = [
    None,
    7,
    [],
    {},
    {'value': '', 'revision': 4},
    {'key': 7, 'value': '', 'revision': 4},
    {'key': None, 'value': '', 'revision': 4},
    {'key': '', 'value': '', 'revision': 4},
    {'key': 'servers/\ud800', 'value': '', 'revision': 4},
    {'key': 'servers/' + 'x' * 5000, 'value': '', 'revision': 4},
    {'key': 'servers/x', 'value': '', 'revision': None},
    {'key': 'servers/x', 'value': '', 'revision': 'x'},
    {'key': 'servers/x', 'value': '', 'revision': 1e300},
    {'key': 'servers/x', 'value': '', 'revision': float('inf')},
    {'key': 'servers/x', 'value': '', 'revision': -1},
    {'key': 'servers/x', 'value': 'x', 'revision': 4},
    {'key': 'servers/x', 'value': 'ü', 'revision': 4},
    {'key': 'servers/x', 'value': 7, 'revision': 4},
    {'key': 'servers/x', 'value': {}, 'revision': 4},
    {'key': 'servers/x', 'value': None, 'revision': 4},
    {'key': 'servers/x', 'revision': 4},
    {'key': 'servers/x', 'value': '', 'deleted': True},
]

SOUND_ITEM = {
    'key': SOUND.key,
    'value': base64.b64encode(SOUND.document).decode(),
    'revision': SOUND.revision,
}


def call_store(run, *answers):
    """Call a store that answers in turn with these documents."""

    async def scenario():
        server = ScriptedServer(*([answer(each)] for each in answers))
        port = await server.start()
        pool = ConnectionPool(REQUEST_ID)
        client = StoreClient(Address(HOST, port), pool)
        try:
            return await run(PlatformStore(client)), server.seen
        finally:
            pool.drop_idle(HOST, port)

    return asyncio.run(scenario())


def named_servers(snapshot):
    return [
        change.server.server_id
        for change in snapshot.changes
        if isinstance(change, ServerEntryUpdate)
    ]


@pytest.mark.parametrize('odd', ODD_ITEMS)
def test_a_read_with_one_odd_item_gives_the_others(odd):
    page = {'items': [odd, SOUND_ITEM], 'hasMore': False, 'at': 9}
    snapshot, _ = call_store(lambda store: store.read(), encoded(page))
    assert named_servers(snapshot) == ['i-1']
    assert encode(StoreUpdate(4, 9, snapshot.items))


@pytest.mark.parametrize('odd', ODD_ITEMS)
def test_a_watch_with_one_odd_item_gives_the_others(odd):
    changes = {'events': [odd, SOUND_ITEM], 'at': 9}
    snapshot, _ = call_store(lambda store: store.watch(4, 1), encoded(changes))
    assert named_servers(snapshot) == ['i-1']
    assert snapshot.revision == 9


@pytest.mark.parametrize('odd', ODD_ITEMS)
def test_a_page_that_ends_with_an_odd_item_is_followed_by_the_next(odd):
    first = {'items': [SOUND_ITEM, odd], 'hasMore': True, 'at': 9}
    sound = {**SOUND_ITEM, 'key': 'servers/y'}
    last = {'items': [sound], 'hasMore': False, 'at': 9}
    snapshot, seen = call_store(
        lambda store: store.read(), encoded(first), encoded(last)
    )
    assert named_servers(snapshot) == ['i-1', 'y']
    assert len(seen) == 2


@pytest.mark.parametrize(
    'body',
    [
        DEEP,
        b'{"items": [], "hasMore": false, "at": 1e999}',
        b'{"items": [], "hasMore": false, "at": NaN}',
        b'{"items": [], "hasMore": false, "at": -1}',
        b'{"items": [], "hasMore": false, "at": %s}' % (b'9' * 400),
        b'{"items": [], "hasMore": false, "at": %s}' % (b'9' * 5000),
        b'{"items": {}, "hasMore": false, "at": 1}',
        b'{"items": [{}], "hasMore": true, "at": 1}',
    ],
)
def test_an_odd_answer_of_the_store_is_no_answer(body):
    with pytest.raises(StoreUnavailable):
        call_store(lambda store: store.read(), body)


@pytest.mark.parametrize('literal', [*HUGE_NUMBERS, b'null', b'"7"', b'true'])
def test_an_odd_revision_of_a_write_is_no_answer(literal):
    with pytest.raises(StoreUnavailable):
        call_store(
            lambda store: store.write_owner('dc.0', 'f', '10.0.0.1', 7),
            with_number({}, 'revision', literal),
        )
