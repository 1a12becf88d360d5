"""Requests that end without a complete answer are told apart in the log."""

import asyncio

import pytest
from gateway_parts import CONFIGURATION, OK, running_gateway
from raw_caller import ask, request
from scripted_server import (
    HOST,
    STREAM_HEAD,
    ScriptedServer,
    chunk,
    events,
)

from wasabicross.gateway import metrics, unanswered
from wasabicross.gateway.request_handler import RequestHandler
from wasabicross.gateway.unanswered import (
    Cause,
    UnansweredEnd,
    UnansweredRequests,
)
from wasabicross.runtime.events import Event

STREAM = request('/streaming/x', b'x', Model='m0/a1')
BEGUN = [STREAM_HEAD, chunk(events(1, 1))]


@pytest.fixture
def lines(monkeypatch):
    """Collect the logged events with their fields."""
    logged = []
    monkeypatch.setattr(
        unanswered,
        'log_event',
        lambda event, **fields: logged.append((event, fields)),
    )
    return logged


def count_of(cause):
    """Return how many ends of a cause were counted."""
    return metrics.UNANSWERED.labels(cause.value)._value.get()


async def _stop_process(bench, server, sent):
    answer = asyncio.ensure_future(ask(bench.port, sent))
    while not server.seen:
        await asyncio.sleep(0.01)
    for task in asyncio.all_tasks():
        if task.get_coro().__name__ == 'on_connection':
            task.cancel()
    await answer


async def _ask(bench, server, sent):
    await ask(bench.port, sent)


@pytest.mark.parametrize(
    ('script', 'send', 'cause', 'detail'),
    [
        ([*BEGUN, 'close'], _ask, Cause.cut, 'unknown: connection ended'),
        ([*BEGUN, 3.0], _stop_process, Cause.process_ends, ''),
    ],
    ids=['cut', 'process ends'],
)
def test_an_end_is_logged_with_its_request(lines, script, send, cause, detail):
    before = count_of(cause)

    async def scenario():
        server = ScriptedServer(script)
        async with running_gateway([server], service='llm') as bench:
            async with asyncio.timeout(5):
                await send(bench, server, STREAM)
                while not lines:
                    await asyncio.sleep(0.01)

    asyncio.run(scenario())
    ((event, fields),) = lines
    assert event is Event.REQUEST_UNANSWERED
    assert fields == {
        'request': 'r1',
        'cause': cause.value,
        'detail': detail,
        'sends': 1,
        'sent_bytes': len(events(1, 1)),
        'configuration': CONFIGURATION.version,
        'configuration_now': CONFIGURATION.version,
    }
    assert count_of(cause) == before + 1


def test_an_error_of_a_handler_is_logged(lines, monkeypatch):
    async def fail(handler):
        await handler._answer.start(200, [])
        raise RecursionError('too deep')

    monkeypatch.setattr(RequestHandler, '_serve', fail)

    async def scenario():
        async with running_gateway([ScriptedServer([OK])]) as bench:
            await ask(bench.port, request('/safe/x'))

    asyncio.run(scenario())
    ((_, fields),) = lines
    assert fields['cause'] == 'failed'
    assert fields['detail'] == "RecursionError('too deep')"


def test_callers_that_leave_are_not_logged(lines):
    async def scenario():
        server = ScriptedServer([3.0, OK])
        async with running_gateway([server]) as bench, asyncio.timeout(5):
            _, writer = await asyncio.open_connection(HOST, bench.port)
            writer.write(request('/safe/x'))
            while not server.seen:
                await asyncio.sleep(0.01)
            writer.close()
            await server.gone.wait()

    asyncio.run(scenario())
    assert lines == []


def test_many_ends_at_once_are_counted_and_not_logged_one_by_one(lines):
    ends = UnansweredRequests(lambda: 7)
    for _ in range(50):
        ends.record(UnansweredEnd(Cause.cut), now_s=100.0)
    assert len(lines) == 20
    ends.record(UnansweredEnd(Cause.cut), now_s=101.5)
    assert lines[20] == (Event.UNANSWERED_OMITTED, {'requests': 30})
    assert lines[21][0] is Event.REQUEST_UNANSWERED
