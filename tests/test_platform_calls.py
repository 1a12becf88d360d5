"""Calls to the platform's store and to engines, with all kinds of answers."""

import asyncio
import base64
import json
import time

import pytest
from scripted_server import (
    HOST,
    ScriptedServer,
    answer,
)

from wasabicross.gateway.backend import AdapterKey, BackendServer
from wasabicross.gateway.changes import AdapterVersionUpdate, ServerRemoval
from wasabicross.gateway.connections.connection_pool import ConnectionPool
from wasabicross.gateway.errors import (
    DocumentUnreadable,
    HistoryGone,
    ServerError,
    StoreUnavailable,
)
from wasabicross.gateway.orders import Order, OrderAnswer, OrderKind
from wasabicross.gateway.server_notices import ServerNotices
from wasabicross.gateway.settings import Address
from wasabicross.platform import engines
from wasabicross.platform.engines import PlatformEngineClient
from wasabicross.platform.fleet_store import PlatformStore
from wasabicross.platform.headers import REQUEST_ID
from wasabicross.platform.store import StoreClient
from wasabicross.runtime.events import Event

ORDER = Order(OrderKind.load, AdapterKey('m0', 'a1'), 4, 'front-1', 41)


def json_answer(document, status=b'200 OK'):
    return [answer(json.dumps(document).encode(), status)]


def item(key, document, revision=5):
    value = base64.b64encode(json.dumps(document).encode()).decode()
    return {'key': key, 'value': value, 'revision': revision}


VERSION = {'model': 'm0', 'adapter': 'a1', 'version': 4}


def call_store(run, *scripts):
    async def scenario():
        server = ScriptedServer(*scripts)
        port = await server.start()
        pool = ConnectionPool(REQUEST_ID)
        client = StoreClient(Address(HOST, port), pool)
        try:
            return await run(PlatformStore(client)), server.seen
        finally:
            pool.drop_idle(HOST, port)

    return asyncio.run(scenario())


def call_engine(run, *scripts):
    async def scenario():
        server = ScriptedServer(*scripts)
        port = await server.start()
        server_entry = BackendServer(
            'i-1', 'llm', HOST, port, 'dc', 4, False, {}, frozenset(), 0
        )
        pool = ConnectionPool(REQUEST_ID)
        client = PlatformEngineClient(pool, ServerNotices())
        try:
            return await run(client, server_entry), server.seen
        finally:
            pool.drop_idle(HOST, port)

    return asyncio.run(scenario())


def test_all_pages_are_read_and_the_first_tells_where_to_watch_from():
    first = {
        'items': [item('op/version/m0.a1', VERSION), item('other', 1)],
        'hasMore': True,
        'at': 90,
    }
    last = {'items': [item('servers/i-1', {})], 'hasMore': False, 'at': 95}
    snapshot, seen = call_store(
        lambda store: store.read(), json_answer(first), json_answer(last)
    )
    assert snapshot.revision == 90
    assert snapshot.changes == (
        AdapterVersionUpdate(AdapterKey('m0', 'a1'), 4),
        ServerRemoval('i-1'),
    )
    assert [entry.key for entry in snapshot.unreadable] == ['servers/i-1']
    assert b'after=other' in seen[1].head


def test_watch_tells_changes_and_removals():
    events = [
        item('op/version/m0.a1', VERSION, 91),
        {'key': 'servers/i-2', 'revision': 92, 'deleted': True},
    ]
    snapshot, (seen,) = call_store(
        lambda store: store.watch(90, 2.0),
        json_answer({'events': events, 'at': 92}),
    )
    assert snapshot.revision == 92
    assert [type(each).__name__ for each in snapshot.changes] == [
        'AdapterVersionUpdate',
        'ServerRemoval',
    ]
    assert b'after=90' in seen.head
    assert b'waitMs=2000' in seen.head


def test_forgotten_history_is_told_apart():
    with pytest.raises(HistoryGone):
        call_store(
            lambda store: store.watch(1, 1.0), json_answer({}, b'410 Gone')
        )


def test_more_changes_than_a_reading_holds_are_not_fetched():
    """On a slow link they would never arrive within the time of a watch."""
    configuration = {'routes': 'x' * 500_000}
    document = {
        'events': [item('op/config', configuration, n) for n in range(6, 26)],
        'at': 25,
    }
    began_s = time.monotonic()
    with pytest.raises(HistoryGone):
        call_store(lambda store: store.watch(5, 0.1), json_answer(document))
    assert time.monotonic() - began_s < 2


def test_a_page_may_take_longer_than_a_call_while_bytes_come():
    document = {'items': [item('op/version/x', VERSION)], 'hasMore': False}
    (whole,) = json_answer({**document, 'at': 9})
    head, _, body = whole.partition(b'\r\n\r\n')
    parts = [body[n : n + 12] for n in range(0, len(body), 12)]
    assert len(parts) * 0.15 > 1.5
    slow = [step for part in parts for step in (0.15, part)]
    slow.insert(0, head + b'\r\n\r\n')
    seen, _ = call_store(lambda store: store.read(), slow)
    assert seen.revision == 9


@pytest.mark.parametrize('pause_s', [2.0])
def test_a_page_that_comes_to_a_halt_is_given_up(pause_s):
    document = {'items': [item('op/version/x', VERSION)], 'hasMore': False}
    (whole,) = json_answer({**document, 'at': 9})
    began_s = time.monotonic()
    with pytest.raises(StoreUnavailable):
        call_store(
            lambda store: store.read(), [whole[:150], pause_s, whole[150:]]
        )
    assert time.monotonic() - began_s < pause_s


@pytest.mark.parametrize(
    ('script', 'revision'),
    [
        (json_answer({'revision': 12}), 12),
        (json_answer({'items': []}, b'412 Precondition Failed'), None),
    ],
)
def test_conditional_write(script, revision):
    written, (seen,) = call_store(
        lambda store: store.write_owner('dc.0', 'front-1', '10.0.0.1', 7),
        script,
    )
    assert written == revision
    body = json.loads(seen.body)
    assert body['expected'] == [
        {'key': 'wasabicross/owner/dc.0', 'revision': 7}
    ]
    assert 'lease' not in body['puts'][0]


@pytest.mark.parametrize(
    'script',
    [
        ['reset'],
        ['close'],
        [3.0],
        [b'HTTP/1.1 200 OK\r\nContent-Length: 40\r\n\r\n{', 'close'],
        json_answer({}, b'503 Service Unavailable'),
        json_answer({}, b'429 Too Many Requests'),
        [answer(b'no json')],
        json_answer({'items': 7, 'hasMore': False, 'at': 1}),
        json_answer([]),
    ],
)
def test_store_without_a_usable_answer(script):
    with pytest.raises(StoreUnavailable):
        call_store(lambda store: store.read(), script)


@pytest.mark.parametrize(
    ('status', 'expected'),
    [
        (b'202 Accepted', OrderAnswer.accepted),
        (b'200 OK', OrderAnswer.already),
        (b'409 Conflict', OrderAnswer.conflict),
        (b'412 Precondition Failed', OrderAnswer.refused),
        (b'400 Bad Request', OrderAnswer.refused),
    ],
)
def test_order(monkeypatch, status, expected):
    monkeypatch.setattr(engines, '_ORDER_TIMEOUT_S', 5)
    got, (seen,) = call_engine(
        lambda client, server: client.order(server, ORDER),
        json_answer({}, status),
    )
    assert got is expected
    assert seen.fields['expect-instance'] == 'i-1'
    assert json.loads(seen.body) == {
        'op': 'load',
        'model': 'm0',
        'adapter': 'a1',
        'expected': 4,
        'holder': 'front-1',
        'fence': 41,
    }


@pytest.mark.parametrize(
    'late', [b'200 OK', b'202 Accepted', b'421 Misdirected Request']
)
def test_a_late_answer_to_a_request_is_not_that_of_an_order(monkeypatch, late):
    """Requests and orders share connections; only requests have ids."""
    monkeypatch.setattr(engines, '_ORDER_TIMEOUT_S', 5)
    refused = answer(b'{}', late).replace(b'{id}', b'r1')
    conflict = answer(b'{}', b'409 Conflict')

    async def order_twice(client, server):
        await client.order(server, ORDER)
        return await client.order(server, ORDER)

    got, seen = call_engine(order_twice, [answer(b'{}')], [refused, conflict])
    assert got is OrderAnswer.conflict
    assert len(seen) == 2


def test_order_of_a_base_model_names_no_adapter(monkeypatch):
    monkeypatch.setattr(engines, '_ORDER_TIMEOUT_S', 5)
    order = ORDER._replace(key=AdapterKey('m0', ''))
    _, (seen,) = call_engine(
        lambda client, server: client.order(server, order), json_answer({})
    )
    assert 'adapter' not in json.loads(seen.body)


@pytest.mark.parametrize(
    'script',
    [['reset'], [2.0], json_answer({}, b'421 Misdirected Request')],
)
def test_order_without_an_answer(script):
    with pytest.raises(ServerError):
        call_engine(lambda client, server: client.order(server, ORDER), script)


def test_report_that_cannot_be_read():
    with pytest.raises(DocumentUnreadable):
        call_engine(
            lambda client, server: client.report(server),
            json_answer({'seq': 'x'}),
        )


@pytest.mark.parametrize(
    ('script', 'healthy', 'reasons'),
    [
        (json_answer({}), True, []),
        (json_answer({}, b'503 Service Unavailable'), False, ['status 503']),
        (json_answer({}, b'421 Misdirected Request'), False, ['i-1 has gone']),
        (['close'], False, ['connection ended']),
    ],
)
def test_health(monkeypatch, script, healthy, reasons):
    logged = []

    def log_event(event, **fields):
        assert event is Event.PROBE_FAILED
        logged.append(fields['reason'])

    monkeypatch.setattr(engines, 'log_event', log_event)
    got, _ = call_engine(
        lambda client, server: client.is_healthy(server, '/health'), script
    )
    assert got is healthy
    assert logged == reasons


def test_health_of_a_server_that_resets_connections():
    got, _ = call_engine(
        lambda client, server: client.is_healthy(server, '/health'), ['reset']
    )
    assert got is False


def test_server_that_only_kept_connections_reach_is_not_back():
    async def scenario():
        server = ScriptedServer(json_answer({}))
        port = await server.start()
        entry = BackendServer(
            'i-1', 'llm', HOST, port, 'dc', 4, False, {}, frozenset(), 0
        )
        pool = ConnectionPool(REQUEST_ID)
        client = PlatformEngineClient(pool, ServerNotices())
        try:
            before = await client.is_healthy(entry, '/health')
            server.refuse_connections()
            return before, await client.is_healthy(entry, '/health')
        finally:
            pool.drop_idle(HOST, port)

    assert asyncio.run(scenario()) == (True, False)


def long_answer(length):
    return answer(b' ' * length, extra=b'Instance-Id: i-1\r\n')


@pytest.mark.parametrize(
    ('length', 'is_taken'), [(60_000, True), (100_000, False)]
)
def test_probes_and_orders_keep_no_long_answers(length, is_taken):
    """Guards against memory that faulty servers fill with answers."""
    is_healthy, _ = call_engine(
        lambda client, entry: client.is_healthy(entry, '/health'),
        [long_answer(length)],
    )
    assert is_healthy is is_taken


@pytest.mark.parametrize(
    ('length', 'error'),
    [(900_000, DocumentUnreadable), (1_200_000, ServerError)],
)
def test_long_reports(length, error):
    """A report of many adapters is read whole, one without end isn't."""
    with pytest.raises(error):
        call_engine(
            lambda client, entry: client.report(entry),
            [long_answer(length)],
        )
