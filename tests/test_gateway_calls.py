"""Answers to callers and requests to servers when a server fails."""

import asyncio

import pytest
from gateway_parts import (
    A1,
    OK,
    FakeEngines,
    SharedScriptsServer,
    run_request,
    running_gateway,
)
from raw_caller import ask, body_of, request, status_of
from scripted_server import (
    FAILED,
    NOT_RUN,
    STREAM_END,
    STREAM_HEAD,
    ScriptedServer,
    chunk,
    events,
)

HEAD = b'HTTP/1.1 200 OK\r\nRequest-Id: {id}\r\nServer-Stamp: s1\r\n'
FOREIGN_ANSWER = (
    HEAD.replace(b'{id}', b'another') + b'Content-Length: 5\r\n\r\nother'
)
TRUNCATED = HEAD + b'Content-Length: 50\r\n\r\nno'
WITHOUT_LENGTH = HEAD + b'\r\nthe answer'


def test_answer_comes_whole_and_the_request_goes_on_unchanged():
    sent = request('/unsafe/order?x=1', b'the body', X_Mine='kept')
    received, (server,), _ = run_request([[[OK]]], sent)
    assert status_of(received) == 200
    assert body_of(received) == b'the answer'
    assert b'Server-Stamp: s1' in received or b'server-stamp: s1' in received
    (seen,) = server.seen
    assert seen.head.startswith(b'POST /unsafe/order?x=1 HTTP/1.1')
    assert seen.body == b'the body'
    assert seen.fields['x-mine'] == 'kept'
    assert seen.fields['expect-instance'] == 'i-0'
    assert 0 < int(seen.fields['time-left-ms']) <= 800


@pytest.mark.parametrize(
    ('path', 'first', 'status', 'arrivals'),
    [
        # The outcome is unknown: 502, and no second attempt.
        ('/unsafe/x', ['reset'], 502, 1),
        ('/unsafe/x', ['close'], 502, 1),
        ('/unsafe/x', [TRUNCATED, 'reset'], 502, 1),
        ('/unsafe/x', [WITHOUT_LENGTH, 'reset'], 502, 1),
        ('/unsafe/x', [b'no http at all\r\n\r\n', 'close'], 502, 1),
        # A failure status of the server is forwarded.
        ('/unsafe/x', [FAILED], 500, 1),
        # A request marked as not run goes to another server.
        ('/unsafe/x', [NOT_RUN], 200, 2),
        # A body without a length ends when the connection closes.
        ('/unsafe/x', [WITHOUT_LENGTH, 'close'], 200, 1),
        # An answer to a different request is discarded.
        ('/unsafe/x', [FOREIGN_ANSWER, OK], 200, 1),
        ('/unsafe/x', [FOREIGN_ANSWER, 'reset'], 502, 1),
        # An idempotent request is retried.
        ('/safe/x', ['reset'], 200, 2),
        ('/safe/x', [TRUNCATED, 'reset'], 200, 2),
        ('/safe/x', [FAILED], 200, 2),
        ('/safe/x', [5.0], 200, 2),
    ],
)
def test_first_server_fails(path, first, status, arrivals):
    received, servers, _ = run_with_failover(first, request(path, b'x'))
    assert status_of(received) == status
    assert sum(len(server.seen) for server in servers) == arrivals
    if status == 200:
        assert body_of(received) == b'the answer'


def run_with_failover(first, sent):
    """Run a request whose first server fails and whose second answers."""

    async def scenario():
        turns = [first, [OK]]
        servers = [SharedScriptsServer(turns), SharedScriptsServer(turns)]
        async with running_gateway(servers) as bench:
            received = await ask(bench.port, sent)
        return received, servers, 0

    return asyncio.run(scenario())


def test_request_that_may_have_run_is_not_said_to_be_unrun():
    async def scenario():
        turns = [['reset'], [NOT_RUN]]
        servers = [SharedScriptsServer(turns), SharedScriptsServer(turns)]
        async with running_gateway(servers) as bench:
            return await ask(bench.port, request('/safe/x'))

    assert status_of(asyncio.run(scenario())) == 502


def test_nobody_listens():
    async def scenario():
        scripted = ScriptedServer([OK])
        async with running_gateway([scripted]) as bench:
            server = bench.gateway.view.servers['i-0']
            bench.gateway.view.servers['i-0'] = server._replace(port=1)
            return await ask(bench.port, request('/unsafe/x', b'x'))

    received = asyncio.run(scenario())
    assert status_of(received) == 503
    assert b'retry-after: ' in received.lower()


def test_silent_server_is_given_up_at_the_timeout():
    received, (server,), took_s = run_request(
        [[[9.0]]], request('/unsafe/x', b'x')
    )
    assert status_of(received) == 504
    assert 0.75 < took_s < 1.2
    assert server.gone.is_set()


@pytest.mark.parametrize(
    ('sent', 'status'),
    [
        (request('/nowhere/x'), 404),
        (request('/safe/x', Host='b.example'), 404),
        (request('/unsafe/x', b'x' * 70000), 413),
        (request('/unsafe/x', b'x', X_Large='y' * 9000), 431),
        (b'GET /safe/x HTTP/1.1\r\nHost: a.exa', 408),
        (b'\x00\x01\x02\r\n\r\n', 400),
    ],
)
def test_improper_request(sent, status):
    received, (server,), _ = run_request([[[OK]]], sent)
    assert status_of(received) == status
    assert not server.seen


def test_without_configuration_nothing_is_denied():
    received, _, _ = run_request([[[OK]]], request('/safe/x'), cfg=None)
    assert status_of(received) == 503


def test_caller_that_leaves_ends_the_work():
    async def scenario():
        server = ScriptedServer([9.0])
        async with running_gateway([server]) as bench:
            reader, writer = await asyncio.open_connection(
                '127.0.0.1', bench.port
            )
            writer.write(request('/unsafe/x', b'x'))
            while not server.seen:
                await asyncio.sleep(0.01)
            writer.close()
            async with asyncio.timeout(0.4):
                await server.gone.wait()

    asyncio.run(scenario())


def test_adapter_is_loaded_before_the_request_is_sent():
    engines = FakeEngines()
    script = [STREAM_HEAD, chunk(events(1, 2)), STREAM_END]

    async def scenario():
        server = ScriptedServer(script)
        async with running_gateway(
            [server], service='llm', engines=engines, held={}
        ) as bench:
            async with asyncio.timeout(8):
                while not _any_takes_loads(bench.gateway.view):
                    await asyncio.sleep(0.02)
            sent = request('/streaming/x', b'x', Model='m0/a1')
            return await ask(bench.port, sent)

    received = asyncio.run(scenario())
    assert body_of(received) == events(1, 2)
    assert engines.orders[0].key == A1
    assert engines.orders[0].expected_orders == 0


def _any_takes_loads(view):
    return any(report.state.takes_loads for report in view.reported.values())
