"""Requests with a part of a prompt that crashes the servers that run it."""

import asyncio

import pytest
from gateway_parts import running_gateway
from mortal_server import MortalServer
from raw_caller import ask, body_of, request, status_of
from scripted_server import (
    HOST,
    STREAM_END,
    STREAM_HEAD,
    ScriptedServer,
    chunk,
    events,
)

from wasabicross.gateway.connections.connection_pool import ConnectionPool
from wasabicross.gateway.crash_messages import ServerCrash
from wasabicross.gateway.crashes import crash_evidence


@pytest.fixture(autouse=True)
def _no_pause(monkeypatch):
    """Count crashes separately that the tests cause one right after another."""
    monkeypatch.setattr(crash_evidence, 'SEPARATE_S', 0)


FIRST, DEADLY = 'f0', 'd4'
CHUNKED = b'Transfer-Encoding: chunked\r\n'
#: The whole answer to a request without the deadly part.
SOUND = [STREAM_HEAD, chunk(events(1, 3)), STREAM_END]


#: What comes of an answer before its server ends, where that isn't an event.
BEGUN = {
    'late': [STREAM_HEAD, 0.4],
    'unframed': [STREAM_HEAD.replace(CHUNKED, b''), events(1, 1), 0.02],
    'leave': [
        STREAM_HEAD.replace(b'Server-S', b'Server-Leaving: 1\r\nServer-S'),
        chunk(events(1, 1)),
        0.02,
    ],
}


def is_deadly(received):
    """Tell whether a received request has the deadly part."""
    return DEADLY in received.fields.get('prompt-prefix', '')


def begun_stream(received):
    """Return the head and the next event of a stream."""
    number = int(received.fields.get('last-event-id', 0)) + 1
    return [STREAM_HEAD, chunk(events(number, number)), 0.02]


def mortal_server(how):
    """Return a server whose process ends under the deadly part.

    :param how: what happens on such a request: `crash`, `late` (the same, long
        after the head), `unframed` (the same after an event of an answer that
        has no length, whose connection is closed in order), `break` (it breaks
        all answers off and goes on), or `leave` (it says that it leaves before).
    """
    return MortalServer(
        SOUND,
        is_deadly,
        lambda received: BEGUN.get(how) or begun_stream(received),
        ends=how != 'break',
        closes=how == 'unframed',
    )


def prompt(number, *parts, kind='streaming'):
    """Return a request with a prompt of these parts and one of its own."""
    listed = ','.join(f'{part}:100' for part in (*parts, f'own{number}'))
    return request(
        f'/{kind}/x', b'x', Request_Id=f'r{number}', Prompt_Prefix=listed
    )


def play(*sent, how='crash', servers=4):
    """Send requests one after the other; return the answers and servers."""

    async def scenario():
        mortals = [mortal_server(how) for _ in range(servers)]
        answers = []
        async with running_gateway(mortals, service='llm') as bench:
            for each in sent:
                answers.append(await ask(bench.port, each))
        return answers, sum(server.deadly for server in mortals)

    return asyncio.run(scenario())


def callers_of_deadly(count, **fields):
    """Return requests of different callers with the deadly part."""
    return [
        prompt(number, FIRST, f'caller{number}', DEADLY, **fields)
        for number in range(count)
    ]


@pytest.mark.parametrize('how', ['crash', 'late', 'unframed'])
@pytest.mark.parametrize('kind', ['streaming', 'stream-resumable'])
def test_a_part_that_crashes_each_server_reaches_no_more_than_two(kind, how):
    """Each request with the part crashed one more server."""
    answers, deadly = play(*callers_of_deadly(5, kind=kind), how=how)
    assert deadly == 2
    for answer in answers[2:]:
        assert status_of(answer) == 422
        assert b'\r\nretry-after: ' not in answer.lower()


def test_sound_requests_with_the_other_parts_are_served():
    """A conviction of all parts of a prompt would refuse their callers."""
    sound = [
        prompt(9, FIRST, 'caller0'),
        prompt(10, FIRST, 'caller1'),
        prompt(11, FIRST, 'caller9'),
    ]
    answers, deadly = play(*callers_of_deadly(3), *sound)
    assert deadly == 2
    assert [body_of(each) for each in answers[3:]] == [events(1, 3)] * 3


@pytest.mark.parametrize('how', ['break', 'leave'])
def test_servers_that_break_off_or_leave_convict_nothing(how):
    answers, deadly = play(*callers_of_deadly(4), how=how, servers=5)
    assert deadly == 4
    assert all(status_of(each) == 200 for each in answers)


def test_callers_that_close_their_connections_convict_nothing():
    """A caller could have the requests of others refused."""

    async def scenario():
        server = ScriptedServer([STREAM_HEAD, chunk(events(1, 1)), 5])
        async with running_gateway([server], service='llm') as bench:
            for number in range(4):
                server.gone.clear()
                sent = prompt(number, FIRST, DEADLY)
                reader, writer = await asyncio.open_connection(HOST, bench.port)
                writer.write(sent)
                await reader.readuntil(b'token 1')
                writer.transport.abort()
                async with asyncio.timeout(5):
                    await server.gone.wait()
            return bench.gateway.crashes.table()

    assert not asyncio.run(scenario())


def test_requests_that_wait_at_a_server_are_called_off():
    """A request that was sent before the conviction crashed one more server."""
    silent = [5]

    async def scenario():
        waiting = ScriptedServer(silent)
        async with running_gateway([waiting], service='llm') as bench:
            asking = asyncio.ensure_future(
                ask(bench.port, prompt(1, FIRST, DEADLY))
            )
            async with asyncio.timeout(5):
                while not waiting.seen:
                    await asyncio.sleep(0.01)
            sharing = bench.gateway.crashes
            for number in range(2):
                crash = ServerCrash(f's{number}', 0, number * 400, (DEADLY,))
                sharing.on_message(crash)
            async with asyncio.timeout(5):
                await waiting.gone.wait()
            return await asking

    assert status_of(asyncio.run(scenario())) == 502


@pytest.mark.parametrize('kind', ['streaming', 'stream-resumable'])
def test_a_stream_without_a_length_that_ends_with_its_server_is_broken(kind):
    """Its connection ends like that of a complete one."""
    sent = prompt(1, FIRST, DEADLY, kind=kind)
    (received,), _ = play(sent, how='unframed')
    assert STREAM_END not in received


def test_a_request_whose_part_is_convicted_as_it_connects_is_not_sent(
    monkeypatch,
):
    """It was called off only once it had been sent."""
    sharings = []
    acquire = ConnectionPool.acquire

    async def acquire_slowly(pool, *args, **fields):
        conn = await acquire(pool, *args, **fields)
        for number in range(2):
            crash = ServerCrash(f's{number}', 0, number * 400, (DEADLY,))
            sharings[0].on_message(crash)
        return conn

    async def scenario():
        server = ScriptedServer(SOUND)
        async with running_gateway([server], service='llm') as bench:
            sharings.append(bench.gateway.crashes)
            monkeypatch.setattr(ConnectionPool, 'acquire', acquire_slowly)
            received = await ask(bench.port, prompt(1, FIRST, DEADLY))
            return received, server.seen

    received, seen = asyncio.run(scenario())
    assert not seen
    assert status_of(received) == 503
    assert b'\r\nretry-after: ' in received.lower()
