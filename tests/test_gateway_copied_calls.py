"""Copies of answers to a gateway's own calls that come where a later one is due.

Servers needn't repeat the ids of such calls, so a copy has none either.
"""

import asyncio
import json

import pytest
from gateway_parts import server_entry
from scripted_server import HOST, ScriptedServer, answer

from wasabicross.gateway.backend import AdapterKey
from wasabicross.gateway.clock import now_s
from wasabicross.gateway.connections.connection_pool import ConnectionPool
from wasabicross.gateway.connections.server_messages import ServerRequest
from wasabicross.gateway.errors import ServerError, ServerGone
from wasabicross.gateway.orders import Order, OrderKind
from wasabicross.gateway.server_notices import ServerNotices
from wasabicross.platform.engines import PlatformEngineClient
from wasabicross.platform.headers import REQUEST_ID

SERVER = server_entry('i-1', 'llm', 1).server


def report(seq):
    """Return a report, whose number tells it from others."""
    document = {
        'models': [],
        'busy': False,
        'seq': seq,
        'queued': 0,
        'running': 0,
    }
    return answer(json.dumps(document).encode())


HELD = answer(b'')
ACCEPTED = answer(b'', b'202 Accepted')
CONFLICT = answer(b'', b'409 Conflict')
FULL = answer(b'', b'503 Service Unavailable', b'Retry-After: 9\r\n')
UNKNOWN = answer(b'', b'400 Bad Request')
OTHER = answer(b'', b'421 Misdirected Request')
OK = answer(b'the answer')


class CopyingServer(ScriptedServer):
    """Send each answer again before the next one on its connection.

    :param answers: what it answers.
    :param echoes_ids: whether it repeats the ids of calls.
    """

    def __init__(self, answers, *, echoes_ids):
        super().__init__(*([each] for each in answers))
        self._echoes_ids = echoes_ids
        self.last = {}

    async def _play(self, script, received, reader, writer):
        (own,) = script
        request_id = received.fields.get('request-id', '')
        if self._echoes_ids or b'/x' in received.head:
            own = own.replace(b'{id}', request_id.encode())
        else:
            own = own.replace(b'Request-Id: {id}\r\n', b'')
        late = self.last.get(writer, b'')
        self.last[writer] = own
        steps = [late, 0.02, own] if late else [own]
        return await super()._play(steps, received, reader, writer)


class Calls:
    """Make the calls of a gateway to one engine, and tell their outcomes."""

    def __init__(self, port):
        self.pool = ConnectionPool(REQUEST_ID)
        self.notices = ServerNotices()
        self.server = SERVER._replace(host=HOST, port=port)
        self._engines = PlatformEngineClient(self.pool, self.notices)

    async def outcome(self, name):
        """Make a call; return what it tells."""
        try:
            return await getattr(self, f'_{name}')()
        except ServerGone:
            return 'gone'
        except ServerError as exc:
            return type(exc).__name__

    async def _report(self):
        return (await self._engines.report(self.server)).order_count

    async def _load(self):
        return await self._order(OrderKind.load)

    async def _unload(self):
        return await self._order(OrderKind.unload)

    async def _order(self, kind):
        order = Order(kind, AdapterKey('m0', 'a1'), 0, 'g', 1)
        return (await self._engines.order(self.server, order)).value

    async def _health(self):
        return await self._engines.is_healthy(self.server, '/health')

    async def _request(self):
        fields = [(b'host', b'a'), (REQUEST_ID, b'r1')]
        req = ServerRequest(b'POST', b'/x', fields, b'')
        host, port = self.server.host, self.server.port
        conn = await self.pool.acquire(host, port, fields, once=True)
        conn.send(req)
        head = await conn.read_head(req)
        await conn.read_body(100)
        self.pool.release(host, port, conn)
        return head.status


def outcomes(names, answers, *, echoes_ids):
    """Make calls one after another; return outcomes and connections."""

    async def scenario():
        server = CopyingServer(answers, echoes_ids=echoes_ids)
        calls = Calls(await server.start())
        found = [await calls.outcome(name) for name in names]
        calls.pool.drop_idle(HOST, calls.server.port)
        server.refuse_connections()
        return found, len(server.last)

    return asyncio.run(scenario())


@pytest.mark.parametrize('echoes_ids', [False, True])
@pytest.mark.parametrize(
    ('names', 'answers', 'expected'),
    [
        # A live server isn't taken for gone.
        (['report', 'report'], [OTHER, report(3)], ['gone', 3]),
        (['load', 'load'], [OTHER, ACCEPTED], ['gone', 'accepted']),
        (['load', 'report'], [OTHER, report(3)], ['gone', 3]),
        # An order that wasn't accepted doesn't count as accepted.
        (['report', 'load'], [report(3), CONFLICT], [3, 'conflict']),
        (['report', 'unload'], [report(3), ACCEPTED], [3, 'accepted']),
        (['load', 'unload'], [HELD, ACCEPTED], ['already', 'accepted']),
        (['unload', 'load'], [HELD, ACCEPTED], ['already', 'accepted']),
        (['health', 'load'], [HELD, CONFLICT], [True, 'conflict']),
        # An order that was accepted doesn't count as refused.
        (['load', 'load'], [CONFLICT, ACCEPTED], ['conflict', 'accepted']),
        (['load', 'load'], [FULL, ACCEPTED], ['refused', 'accepted']),
        (['load', 'unload'], [UNKNOWN, HELD], ['refused', 'already']),
        (['health', 'load'], [FULL, ACCEPTED], [False, 'accepted']),
        # A report is one.
        (['load', 'report'], [ACCEPTED, report(3)], ['accepted', 3]),
        (['health', 'report'], [HELD, report(3)], [True, 3]),
        # A health check isn't failed.
        (['health', 'health'], [FULL, HELD], [False, True]),
        # A caller's request isn't cut.
        (['report', 'request'], [report(3), OK], [3, 200]),
        (['load', 'request'], [ACCEPTED, OK], ['accepted', 200]),
        (['health', 'request'], [HELD, OK], [True, 200]),
        (['request', 'report'], [OK, report(3)], [200, 3]),
    ],
)
def test_copy_is_not_the_answer_to_a_later_call(
    names, answers, expected, echoes_ids
):
    found, _ = outcomes(names, answers, echoes_ids=echoes_ids)
    assert found == expected


@pytest.mark.parametrize('names', [['report'] * 3, ['load'] * 3])
def test_copy_with_an_id_is_skipped_on_a_kept_connection(names):
    answers = [report(number) for number in range(3)]
    if names[0] == 'load':
        answers = [HELD, CONFLICT, ACCEPTED]
        expected = ['already', 'conflict', 'accepted']
    else:
        expected = [0, 1, 2]
    found, connections = outcomes(names, answers, echoes_ids=True)
    assert (found, connections) == (expected, 1)


@pytest.mark.parametrize('refusal', [OTHER, FULL, HELD])
def test_copy_to_a_former_check_is_no_sign_of_life(refusal):
    """The process answers one check, and sends only the copy after that."""
    without_id = refusal.replace(b'Request-Id: {id}\r\n', b'')

    async def scenario():
        server = ScriptedServer([without_id], [without_id, 3])
        port = await server.start()
        pool = ConnectionPool(REQUEST_ID)
        engines = PlatformEngineClient(pool, ServerNotices())
        listed = SERVER._replace(host=HOST, port=port)
        conn = await pool.connect(HOST, port)
        await engines.check_process(listed, conn, '/health', 1)
        may_ask_again = conn.prepare_reuse(0)
        conn.close()
        server.refuse_connections()
        return may_ask_again

    assert asyncio.run(scenario()) is False


@pytest.mark.parametrize('name', ['report', 'load', 'health'])
def test_another_process_that_leaves_is_not_the_listed_server(name):
    other = answer(b'', b'421 Misdirected Request', b'Server-Leaving: 1\r\n')

    async def scenario():
        server = ScriptedServer([other])
        calls = Calls(await server.start())
        await calls.outcome(name)
        server.refuse_connections()
        return calls.notices.refuses_requests(calls.server, now_s())

    assert asyncio.run(scenario()) is False
