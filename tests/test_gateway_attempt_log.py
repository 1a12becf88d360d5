"""Log lines of attempts give the server's status or the failure reason."""

import asyncio
import contextlib

import pytest
from gateway_parts import running_gateway
from raw_caller import ask, request
from scripted_server import (
    FAILED,
    STREAM_HEAD,
    ScriptedServer,
    answer,
    chunk,
    events,
)

from wasabicross.gateway import request_record
from wasabicross.gateway.connections import server_connections
from wasabicross.runtime.events import Event

OK = answer(b'the answer')
PARTIAL_STREAM = [STREAM_HEAD, chunk(events(1, 1))]


@pytest.fixture
def attempts(monkeypatch):
    """Collect the log fields of all attempts."""
    lines = []

    def log_event(event, **fields):
        if event is Event.REQUEST_SENT:
            lines.append(fields)

    monkeypatch.setattr(request_record, 'log_event', log_event)
    return lines


def send_to_servers(scripts, sent, wait_s):
    async def scenario():
        servers = [ScriptedServer(each) for each in scripts]
        service = 'llm' if b'/streaming/' in sent else 'desk'
        async with running_gateway(servers, service=service) as bench:
            with contextlib.suppress(TimeoutError):
                await ask(bench.port, sent, wait_s=wait_s)
            await asyncio.sleep(0.1)

    asyncio.run(scenario())


STREAM = request('/streaming/x', b'x', Model='m0/a1')
CASES = {
    'answered': ([[OK]], request('/unsafe/x', b'x'), 2, [(200, '')]),
    'failed': ([[FAILED]], request('/unsafe/x', b'x'), 2, [(500, '')]),
    'failed twice': (
        [[FAILED], [FAILED]],
        request('/safe/x'),
        2,
        [(500, ''), (500, '')],
    ),
    'no answer': (
        [['close']],
        request('/unsafe/x', b'x'),
        2,
        [(0, 'connection ended')],
    ),
    'in time': (
        [[2.0, OK]],
        request('/unsafe/x', b'x'),
        3,
        [(0, 'time limit')],
    ),
    'cut': (
        [[*PARTIAL_STREAM, 'close']],
        STREAM,
        2,
        [(200, 'connection ended')],
    ),
    'left': ([[*PARTIAL_STREAM, 5.0]], STREAM, 0.5, [(200, 'the caller left')]),
}


@pytest.mark.parametrize(
    ('scripts', 'sent', 'wait_s', 'expected'), CASES.values(), ids=CASES
)
def test_line_of_an_attempt(attempts, scripts, sent, wait_s, expected):
    send_to_servers(scripts, sent, wait_s)
    logged = [(each['status'], each['reason']) for each in attempts]
    assert logged == expected


def test_line_of_an_attempt_that_a_stop_has_cut(attempts):
    async def scenario():
        server = ScriptedServer([*PARTIAL_STREAM, 5.0])
        async with running_gateway([server], service='llm') as bench:
            caller = asyncio.ensure_future(ask(bench.port, STREAM, wait_s=1))
            while not server.seen:
                await asyncio.sleep(0.01)
            caller_task = next(
                task
                for task in asyncio.all_tasks()
                if 'on_connection' in repr(task)
            )
            caller_task.cancel()
            with contextlib.suppress(TimeoutError):
                await caller

    asyncio.run(scenario())
    assert [each['reason'] for each in attempts] == ['this gateway ends']


def test_requests_on_one_connection_are_told_from_those_on_others(attempts):
    async def scenario():
        server = ScriptedServer([OK], [OK], ['close'], [OK])
        async with running_gateway([server]) as bench:
            for number in range(4):
                sent = request('/unsafe/x', b'x', Request_Id=f'r{number}')
                await ask(bench.port, sent)
                await asyncio.sleep(0.05)

    asyncio.run(scenario())
    serials = [each['connection'] for each in attempts]
    assert serials[0] == serials[1] == serials[2] != serials[3]
    assert [each['connection_sends'] for each in attempts] == [1, 2, 3, 1]


def test_an_answer_to_another_request_is_logged(monkeypatch):
    lines = []
    monkeypatch.setattr(
        server_connections,
        'log_event',
        lambda event, **fields: lines.append((event, fields)),
    )
    late = OK.replace(b'{id}', b'r1')

    async def scenario():
        server = ScriptedServer([OK], [late, OK])
        async with running_gateway([server]) as bench:
            for number in (1, 2):
                sent = request('/unsafe/x', b'x', Request_Id=f'r{number}')
                await ask(bench.port, sent)

    asyncio.run(scenario())
    ((event, fields),) = lines
    assert event is Event.ANSWER_SKIPPED
    assert (fields['request'], fields['answers']) == ('r2', 'r1')
    assert (fields['status'], fields['connection_sends']) == (200, 2)
