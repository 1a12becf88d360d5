"""Servers that take a request over from one that is silent."""

import asyncio
import contextlib
from typing import NamedTuple

import pytest
from gateway_parts import (
    A1,
    CONFIGURATION,
    LIMITS,
    OK,
    PATIENT,
    route,
    running_gateway,
)
from raw_caller import ask, body_of, request, status_of
from scripted_server import (
    FAILED,
    HOST,
    NOT_RUN,
    STREAM_END,
    STREAM_HEAD,
    ScriptedServer,
    answer,
    chunk,
    events,
)

from wasabicross.gateway import (
    request_handler,
    request_record,
    silence_watch,
)
from wasabicross.gateway.configuration import Configuration
from wasabicross.gateway.progress import Ending
from wasabicross.gateway.silence_watch import Replacements, SilenceWatch
from wasabicross.runtime.events import Event

#: Requests with which no more are sent to a server.
FULL = 8

SENT = request('/stream-resumable/x', b'x', Model=f'm0/{A1.adapter}')
SAFE = request('/safe/x', b'x')
BEGUN = [STREAM_HEAD, chunk(events(1, 2))]
END = [chunk(events(3, 5)), STREAM_END]
REST = [STREAM_HEAD, *END]

#: Silences of the first server: it goes on 0.6 s after the other is asked, or
#: is silent for good.
GOES_ON = [*BEGUN, 1.6, *END]
HANGS = [*BEGUN, 9.0]

MISSING = answer(b'', b'421 Misdirected Request', b'Not-Run: 1\r\n')
OUT_OF_ORDER = [STREAM_HEAD, chunk(events(1, 2)), 9.0]

CFG3 = Configuration.from_parts(
    version=2,
    routes=(
        route(
            'stream-resumable',
            route_kind='streaming',
            timeout_s=5,
            max_servers=3,
            is_resumable=True,
        ),
    ),
    services=CONFIGURATION.services,
    limits=LIMITS,
)

#: Time limit for tests in which no answer is late, so that a process that stands
#: still for some seconds cuts none.
AMPLE_S = 30.0
AMPLE = Configuration.from_parts(
    version=2,
    routes=tuple(
        each._replace(timeout_s=AMPLE_S) for each in CONFIGURATION.routes
    ),
    services=CONFIGURATION.services,
    limits=LIMITS,
)

#: Longest wait for an answer.
LONGEST_ANSWER_S = 20

#: Longest time of an attempt; the scripts take up to 0.8 s.
LONGEST_S = 1.5


class Outcome(NamedTuple):
    """What a caller and the gateway saw of a request."""

    received: bytes
    servers: list
    attempts: list
    spent: int


@pytest.fixture
def attempts(monkeypatch):
    """Collect the logged attempts."""
    logged = []

    def collect(event, **fields):
        if event is Event.REQUEST_SENT:
            logged.append(fields)

    monkeypatch.setattr(request_record, 'log_event', collect)
    return logged


async def until(condition):
    """Wait for a condition."""
    async with asyncio.timeout(5):
        while not condition():
            await asyncio.sleep(0.01)


async def ask_until_left(left, servers, *asked):
    """Send a request, and wait until some servers have been left."""
    received = await ask(*asked, wait_s=LONGEST_ANSWER_S)
    async with asyncio.timeout(0.4):
        for each in left:
            await servers[each].gone.wait()
    return received


def first_server_is_silent(
    scripts, attempts, sent=SENT, left=(), service='llm', cfg=CONFIGURATION
):
    """Send a request to the first of some servers.

    Each other one has room when the one before has the request.
    """

    async def scenario():
        servers = [ScriptedServer(*each) for each in scripts]
        async with running_gateway(servers, cfg=cfg, service=service) as bench:
            view = bench.gateway.view
            budget = bench.gateway._budgets.for_service(service)
            available = budget.available
            others = [f'i-{each}' for each in range(1, len(servers))]
            for other in others:
                view.own.requests[other] = FULL
            acting = asyncio.ensure_future(
                ask_until_left(left, servers, bench.port, sent)
            )
            for silent, other in zip(servers, others, strict=False):
                await until(lambda: silent.seen or acting.done())
                view.own.requests[other] = 0
            received = await acting
            await until(lambda: not any(view.own.requests.values()))
            spent = available - budget.available
            return Outcome(received, servers, list(attempts), spent)

    return asyncio.run(scenario())


def endings_of(attempts):
    """Return the endings of attempts with their reasons, sorted."""
    return sorted((each['ending'], each['reason']) for each in attempts)


def assert_is_whole(outcome):
    """Check that the caller has each event once, in order, and the end."""
    assert body_of(outcome.received) == events(1, 5)
    assert outcome.received.endswith(STREAM_END)


def test_a_server_that_goes_on_while_another_is_asked_answers(attempts):
    scripts = [[GOES_ON], [[1.5, *REST]]]
    outcome = first_server_is_silent(scripts, attempts, left=(1,))
    assert_is_whole(outcome)
    assert [len(each.seen) for each in outcome.servers] == [1, 1]
    assert outcome.spent == 1
    assert endings_of(attempts) == [
        ('done', ''),
        ('unknown', 'the silent server went on'),
    ]


@pytest.mark.parametrize(
    'other',
    [
        [NOT_RUN],
        [MISSING],
        [FAILED],
        ['reset'],
        ['close'],
        [b'no answer\r\n\r\n'],
        [STREAM_HEAD, 'close'],
        [answer(b'no stream')],
        OUT_OF_ORDER,
    ],
    ids=repr,
)
def test_a_server_that_does_not_take_over_ends_no_stream(attempts, other):
    outcome = first_server_is_silent([[GOES_ON], [other]], attempts)
    assert_is_whole(outcome)
    assert len(outcome.servers[0].seen) == 1
    assert 'done' in {each['ending'] for each in attempts}


def test_a_server_is_left_once_another_has_taken_over(attempts):
    scripts = [[GOES_ON], [[STREAM_HEAD, chunk(events(3, 3)), 1.2, *REST[1:]]]]
    scripts[1][0][3] = chunk(events(4, 5))
    outcome = first_server_is_silent(scripts, attempts, left=(0,))
    assert_is_whole(outcome)
    assert b'id: 3' in outcome.received
    assert outcome.servers[1].seen[0].fields['last-event-id'] == '2'
    assert outcome.spent == 1
    assert endings_of(attempts) == [('done', ''), ('replaced', 'silence')]


def test_two_servers_do_not_work_on_a_request_for_long(attempts):
    """The other server has begun to answer and sends its first event later."""
    other = [STREAM_HEAD, 0.9, *END]
    outcome = first_server_is_silent([[GOES_ON], [other]], attempts)
    assert_is_whole(outcome)
    assert endings_of(attempts) == [('done', ''), ('replaced', 'silence')]
    assert min(each['took_s'] for each in attempts) < 1.0 + 0.4


def test_a_server_that_breaks_while_another_is_asked_ends_no_stream(attempts):
    scripts = [[[*BEGUN, 1.2, 'reset']], [[0.5, *REST]]]
    outcome = first_server_is_silent(scripts, attempts)
    assert_is_whole(outcome)
    assert [len(each.seen) for each in outcome.servers] == [1, 1]
    assert outcome.spent == 1
    (_, broken) = endings_of(attempts)
    assert broken[0] == 'replaced'


def test_the_end_of_an_unframed_stream_waits_for_the_server_asked(attempts):
    """Its server breaks off inside an event, which looks like its end."""
    head = STREAM_HEAD.replace(b'Transfer-Encoding: chunked\r\n', b'')
    first = [head, events(1, 2), 1.2, b'id: 3\ndata', 'close']
    outcome = first_server_is_silent([[first], [[0.5, *REST]]], attempts)
    assert_is_whole(outcome)


async def ask_and_leave(other, port, sent):
    """Send a request and leave once the other server is being asked."""
    _, writer = await asyncio.open_connection(HOST, port)
    writer.write(sent)
    await until(lambda: other.seen)
    writer.close()
    return b''


def test_both_servers_are_left_if_the_caller_leaves(attempts):
    async def scenario():
        servers = [ScriptedServer(HANGS), ScriptedServer([9.0])]
        async with running_gateway(servers, service='llm') as bench:
            view = bench.gateway.view
            view.own.requests['i-1'] = FULL
            leaving = asyncio.ensure_future(
                ask_and_leave(servers[1], bench.port, SENT)
            )
            await until(lambda: servers[0].seen)
            view.own.requests['i-1'] = 0
            await leaving
            async with asyncio.timeout(0.4):
                await asyncio.gather(*(each.gone.wait() for each in servers))
            await until(lambda: not any(view.own.requests.values()))

    asyncio.run(scenario())
    assert len(attempts) == 2


def test_a_third_server_takes_over_from_two_silent_ones(attempts):
    scripts = [[[*BEGUN, 4.5]], [[4.5]], [REST]]
    outcome = first_server_is_silent(scripts, attempts, left=(0, 1), cfg=CFG3)
    assert_is_whole(outcome)
    assert outcome.spent == 2
    assert endings_of(attempts) == [
        ('done', ''),
        ('replaced', 'silence'),
        ('replaced', 'silence'),
    ]


def test_no_more_servers_run_a_request_than_its_route_allows(attempts):
    scripts = [[GOES_ON], [[9.0]], [REST]]
    outcome = first_server_is_silent(scripts, attempts)
    assert_is_whole(outcome)
    assert [len(each.seen) for each in outcome.servers] == [1, 1, 0]


@pytest.mark.parametrize(
    ('first', 'other', 'body'),
    [
        ([0.75, answer(b'first')], [NOT_RUN], b'first'),
        ([0.75, answer(b'first')], [9.0], b'first'),
        ([0.65, FAILED], [0.12, OK], b'the answer'),
        ([0.65, NOT_RUN], [0.12, OK], b'the answer'),
        ([9.0], [OK], b'the answer'),
    ],
    ids=['refused', 'slower', 'failed', 'not run', 'hangs'],
)
def test_a_server_that_is_silent_before_its_answer(
    attempts, first, other, body
):
    outcome = first_server_is_silent(
        [[first], [other]], attempts, SAFE, service='desk', cfg=PATIENT
    )
    assert status_of(outcome.received) == 200
    assert body_of(outcome.received) == body
    assert [len(each.seen) for each in outcome.servers] == [1, 1]
    assert max(each['took_s'] for each in attempts) < LONGEST_S


@pytest.mark.parametrize('first', [[0.9, *REST], [9.0]])
def test_a_stream_that_has_not_begun_is_taken_over_once(attempts, first):
    outcome = first_server_is_silent([[first], [REST]], attempts)
    assert body_of(outcome.received) == events(3, 5)
    assert outcome.received.count(b'HTTP/1.1') == 1


def test_searches_for_another_server_grow_rare(monkeypatch):
    """Each search may have an adapter loaded for nothing."""
    monkeypatch.setattr(silence_watch, '_FIRST_PAUSE_S', 0.02)
    monkeypatch.setattr(silence_watch, '_PAUSE_GROWTH', 2)
    searches = []

    async def find():
        searches.append(1)

    async def send(_placement, _on_accepted):
        return Ending.not_run

    async def scenario():
        watch = SilenceWatch(Replacements(find, send), lambda: None)
        for _ in range(6):
            with contextlib.suppress(TimeoutError), watch.limit(0.0):
                async with asyncio.timeout(0.1):
                    await asyncio.Event().wait()
            watch.keep()

    asyncio.run(scenario())
    assert 3 <= len(searches) <= 6


def test_an_error_of_a_search_ends_no_stream(attempts, monkeypatch):
    async def fail(_self, _server_id):
        raise KeyError('i-1')

    monkeypatch.setattr(
        request_handler.RequestPlacement, 'find_replacement', fail
    )
    sent = request(
        '/stream-resumable/x',
        b'x',
        Model=f'm0/{A1.adapter}',
        Time_Left_Ms=str(round(AMPLE_S * 1000)),
    )
    outcome = first_server_is_silent(
        [[GOES_ON], [REST]], attempts, sent, cfg=AMPLE
    )
    assert_is_whole(outcome)
    assert not outcome.servers[1].seen
