"""Refusals of servers that don't say that the request hasn't run.

Guards against a caller that places an order twice: a server had run it and then
failed it with a status by which callers take a request for not run.
"""

import asyncio

import pytest
from gateway_parts import PATIENT, gateway_at, running_gateway, settings_at
from raw_caller import ask, request, status_of
from scripted_server import HOST, ScriptedServer, answer
from test_gateway_calls import SharedScriptsServer
from test_gateway_peer_forwarding import (
    CLOSED_PORT,
    PEERS,
    UnhealthyEngines,
    contents,
    run_site,
)

from emulator.waiting import free_ports
from wasabicross.gateway.connections.connection_pool import ConnectionPool
from wasabicross.gateway.connections.server_messages import AnswerHead
from wasabicross.gateway.dialect import AnswerKind
from wasabicross.platform.headers import REQUEST_ID, PlatformDialect

REASONS = {
    400: b'400 Bad Request',
    408: b'408 Request Timeout',
    409: b'409 Conflict',
    421: b'421 Misdirected Request',
    429: b'429 Too Many Requests',
    500: b'500 Internal Server Error',
    503: b'503 Service Unavailable',
    504: b'504 Gateway Timeout',
}
NOT_RUN_FIELD = b'Not-Run: 1\r\n'


@pytest.mark.parametrize(
    ('status', 'says_not_run', 'kind'),
    [
        (200, False, AnswerKind.answered),
        (200, True, AnswerKind.not_run),
        (400, False, AnswerKind.answered),
        (400, True, AnswerKind.not_run),
        (408, False, AnswerKind.unconfirmed),
        (408, True, AnswerKind.not_run),
        (409, False, AnswerKind.answered),
        (421, False, AnswerKind.not_held),
        (421, True, AnswerKind.not_held),
        (429, False, AnswerKind.unconfirmed),
        (429, True, AnswerKind.not_run),
        (500, False, AnswerKind.failed),
        (502, False, AnswerKind.failed),
        (503, False, AnswerKind.unconfirmed),
        (503, True, AnswerKind.not_run),
        (504, False, AnswerKind.failed),
    ],
)
def test_what_a_status_means(status, says_not_run, kind):
    fields = [(b'server-stamp', b's1')]
    if says_not_run:
        fields.append((b'not-run', b'1'))
    head = AnswerHead(status, fields, 0)
    assert PlatformDialect().classify(head) is kind


def with_body(path):
    """Return a request on a route."""
    return request(path, b'x', model='m0/a1')


def refusal(status, fields=b'', body=b'why'):
    """Return a server's answer with a status."""
    return answer(body, REASONS[status], fields)


def call(path, first):
    """Send a request; its first server gives an answer, the next a sound one."""

    async def scenario():
        turns = [[first], [answer(b'the answer')]]
        servers = [SharedScriptsServer(turns), SharedScriptsServer(turns)]
        service = 'llm' if 'stream' in path else 'desk'
        async with running_gateway(servers, service=service) as bench:
            received = await ask(bench.port, with_body(path))
        return received, sum(len(server.seen) for server in servers)

    return asyncio.run(scenario())


@pytest.mark.parametrize('path', ['/unsafe/x', '/streaming/x'])
@pytest.mark.parametrize('body', [b'', b'why', b'y' * 300_000])
@pytest.mark.parametrize('fields', [b'', b'Retry-After: 1\r\n'])
@pytest.mark.parametrize('status', [408, 429, 503])
def test_a_request_that_may_have_run_is_not_answered_as_not_run(
    path, body, fields, status
):
    received, sends = call(path, refusal(status, fields, body))
    assert status_of(received) == 502
    assert b'server-stamp' not in received.lower()
    assert b'retry-after' not in received.lower()
    assert sends == 1


@pytest.mark.parametrize(
    ('path', 'status', 'fields', 'answered', 'arrivals'),
    [
        # A statement of the server is believed, and another one is tried.
        ('/unsafe/x', 429, NOT_RUN_FIELD, 200, 2),
        ('/unsafe/x', 503, NOT_RUN_FIELD, 200, 2),
        # Other failures promise nothing, so they are the server's own.
        ('/unsafe/x', 400, b'', 400, 1),
        ('/unsafe/x', 409, b'', 409, 1),
        ('/unsafe/x', 504, b'', 504, 1),
        # Requests that may be repeated are, or their callers do it.
        ('/safe/x', 503, b'', 200, 2),
        ('/safe/x', 408, b'', 408, 1),
        ('/safe/x', 429, b'Retry-After: 1\r\n', 429, 1),
        ('/stream-resumable/x', 429, b'', 429, 1),
    ],
)
def test_other_refusals(path, status, fields, answered, arrivals):
    received, sends = call(path, refusal(status, fields))
    assert status_of(received) == answered
    assert sends == arrivals


def test_a_safe_request_gets_the_last_servers_refusal():
    script = [refusal(503, b'Retry-After: 2\r\n')]
    answers, _, _ = run_site([script, script], request('/safe/x', b'x'))
    assert status_of(answers[0]) == 503
    assert b'retry-after: 2' in answers[0].lower()


@pytest.mark.parametrize('status', [408, 429, 503])
def test_through_another_gateway(status):
    # A process that stands still for long refuses the request without sending it.
    answers, (server,), _ = run_site(
        [[refusal(status)]],
        request('/unsafe/x', b'x'),
        cfg=PATIENT,
        connect_timeout_s=2,
    )
    assert (status_of(answers[0]), len(server.seen)) == (502, 1)


@pytest.mark.parametrize(
    ('path', 'status', 'answered'),
    [('/unsafe/x', 503, 502), ('/unsafe/x', 429, 502), ('/safe/x', 503, 503)],
)
def test_through_a_gateway_of_an_earlier_version(path, status, answered):
    """It passes refusals of servers on, with the mark of the server."""

    async def scenario():
        peer = ScriptedServer([refusal(status)])
        callers, ready, peer_port, forwarding = free_ports(4)
        listener = await asyncio.start_server(peer._serve, PEERS[0], forwarding)
        settings = settings_at(callers, ready, peer_port)._replace(
            instance='front-0', forwarding_port=forwarding
        )
        pool = ConnectionPool(REQUEST_ID)
        store = contents([CLOSED_PORT], (HOST, PEERS[0]))
        async with gateway_at(settings, store, pool, UnhealthyEngines()):
            received = await ask(callers, request(path, b'x'))
        pool.drop_idle(HOST, CLOSED_PORT)
        listener.close()
        return received

    assert status_of(asyncio.run(scenario())) == answered
