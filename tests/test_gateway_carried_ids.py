"""A connection to a server carries each id of a request once."""

import asyncio
import contextlib

import pytest
from scripted_server import HOST, ScriptedServer, answer

from wasabicross.gateway.connections import carried_requests
from wasabicross.gateway.connections.connection_pool import ConnectionPool
from wasabicross.gateway.connections.server_messages import ServerRequest
from wasabicross.gateway.errors import RequestIdCarried
from wasabicross.platform.headers import REQUEST_ID

OK = answer(b'the answer')
ECHOED = {
    True: OK,
    False: OK.replace(b'Request-Id: {id}\r\n', b''),
}


def fields_of(request_id):
    return [(b'host', b'a'), (REQUEST_ID, request_id)] if request_id else []


async def run_on(conn, request_id):
    """Send a request on a connection and read its answer."""
    fields = fields_of(request_id) or [(b'host', b'a')]
    req = ServerRequest(b'GET', b'/x', fields, b'')
    conn.send(req)
    await conn.read_head(req)
    await conn.read_body(100)


@contextlib.asynccontextmanager
async def pool_before(*scripts):
    server = ScriptedServer(*scripts)
    port = await server.start()
    pool = ConnectionPool(REQUEST_ID)
    yield pool, port
    pool.drop_idle(HOST, port)
    server.refuse_connections()


async def connections_of(pool, port, request_ids):
    """Return the number of the connection on which each request was sent."""
    serials = []
    for request_id in request_ids:
        conn = await pool.acquire(HOST, port, fields_of(request_id), once=False)
        serials.append(conn.serial)
        await run_on(conn, request_id)
        pool.release(HOST, port, conn)
    first = serials[0]
    return [serial - first for serial in serials]


@pytest.mark.parametrize(
    ('request_ids', 'connections'),
    [
        ((b'r1', b'r2', b'r3'), [0, 0, 0]),
        ((b'r1', b'r1'), [0, 1]),
        # A connection that may not carry it stays for other requests.
        ((b'r1', b'r2', b'r1', b'r3'), [0, 0, 1, 1]),
        ((b'r1', b'r1', b'r1'), [0, 1, 2]),
        ((b'r1', b'r1', b'r2', b'r1', b'r4'), [0, 1, 1, 2, 2]),
        # Its answer can't be told from another one's without an id.
        ((b'r1', b''), [0, 1]),
        ((b'', b''), [0, 1]),
    ],
)
def test_connections_of_requests_one_after_the_other(request_ids, connections):
    async def scenario():
        async with pool_before([OK]) as (pool, port):
            return await connections_of(pool, port, request_ids)

    assert asyncio.run(scenario()) == connections


@pytest.mark.parametrize('request_id', [b'r1', b''])
@pytest.mark.parametrize('echoes_ids', [True, False])
def test_no_user_of_a_connection_sends_an_id_twice(request_id, echoes_ids):
    async def scenario():
        async with pool_before([ECHOED[echoes_ids]]) as (pool, port):
            conn = await pool.connect(HOST, port)
            await run_on(conn, request_id)
            conn.prepare_reuse(0)
            with pytest.raises(RequestIdCarried):
                await run_on(conn, request_id)
            conn.close()
            return conn.sends

    assert asyncio.run(scenario()) == 1


def test_connection_that_remembers_many_ids_is_replaced(monkeypatch):
    monkeypatch.setattr(carried_requests, '_MAX_IDS', 3)
    request_ids = [b'r%d' % number for number in range(7)]

    async def scenario():
        async with pool_before([OK]) as (pool, port):
            return await connections_of(pool, port, request_ids)

    assert asyncio.run(scenario()) == [0, 0, 0, 1, 1, 1, 2]
