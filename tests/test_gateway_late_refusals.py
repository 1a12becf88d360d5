"""Refusals that arrive where the answer to a later request is due."""

import asyncio

import pytest
from gateway_parts import A1, OK, FakeEngines, run_request, running_gateway
from raw_caller import ask, body_of, request, status_of
from scripted_server import NOT_RUN, ScriptedServer, answer

MISDIRECTED = answer(b'', b'421 Misdirected Request')
BUSY = answer(b'', b'429 Too Many Requests', b'Not-Run: 1\r\n')


def without_id(refusal):
    return refusal.replace(b'Request-Id: {id}\r\n', b'')


def with_id(refusal, request_id):
    return refusal.replace(b'{id}', request_id)


def ask_twice(*scripts, path='/unsafe/x'):
    """Send two requests after one another; return both answers."""

    async def scenario():
        server = ScriptedServer(*scripts)
        async with running_gateway([server]) as bench:
            received = []
            for number in (1, 2):
                sent = request(path, b'x', Request_Id=f'r{number}')
                received.append(await ask(bench.port, sent))
        return received, server

    return asyncio.run(scenario())


REFUSALS = [NOT_RUN, MISDIRECTED, BUSY]


@pytest.mark.parametrize('refusal', REFUSALS)
@pytest.mark.parametrize('first', [OK, NOT_RUN])
def test_an_earlier_refusal_does_not_refuse_the_next_request(refusal, first):
    late = with_id(refusal, b'r1')
    (_, received), server = ask_twice([first], [late, 0.05, OK])
    assert status_of(received) == 200
    assert body_of(received) == b'the answer'
    assert len(server.seen) == 2


@pytest.mark.parametrize('refusal', REFUSALS)
def test_a_refusal_without_an_id_proves_nothing_on_a_kept_connection(refusal):
    """The server runs the request, so the caller must not be told otherwise."""
    (_, received), server = ask_twice([OK], [without_id(refusal), 0.05, OK])
    assert status_of(received) == 502
    assert len(server.seen) == 2


def test_an_answer_without_an_id_is_of_no_request_on_a_kept_connection():
    (_, received), _ = ask_twice([OK], [without_id(answer(b'late')), 0.05, OK])
    assert status_of(received) == 502


def test_a_safe_request_that_meets_a_refusal_without_an_id_is_repeated():
    late = [without_id(NOT_RUN), 0.05, OK]
    (_, received), server = ask_twice([OK], late, [OK], path='/safe/x')
    assert status_of(received) == 200
    assert len(server.seen) == 3


@pytest.mark.parametrize('refusal', REFUSALS)
@pytest.mark.parametrize(
    ('path', 'status'),
    [('/unsafe/x', 502), ('/streaming/x', 502), ('/safe/x', 503)],
)
def test_a_refusal_without_an_id_promises_nothing_of_what_runs_once(
    path, status, refusal
):
    """A server may have sent it before the request came, and run that then."""
    service = 'llm' if 'stream' in path else 'desk'
    received, servers, _ = run_request(
        [[[without_id(refusal)]]], request(path, b'x'), service=service
    )
    assert status_of(received) == status
    assert len(servers[0].seen) == 1


def test_a_connection_on_which_no_id_was_sent_is_not_kept():
    """Otherwise each second request to such a server would fail."""
    answers, server = ask_twice([without_id(OK)])
    assert [status_of(each) for each in answers] == [200, 200]


def test_an_answer_to_another_request_is_not_that_of_one_without_an_id():
    late = with_id(answer(b'late'), b'r1')

    async def scenario():
        server = ScriptedServer([OK], [late, 0.05, without_id(OK)])
        async with running_gateway([server]) as bench:
            first = request('/safe/x', b'x', Request_Id='r1')
            await ask(bench.port, first)
            second = request('/safe/x', b'x').replace(
                b'Request-Id: r1\r\n', b''
            )
            return await ask(bench.port, second)

    assert body_of(asyncio.run(scenario())) == b'the answer'


def test_a_second_refusal_of_a_request_that_is_sent_again_is_not_believed():
    """The server lacks the adapter, gets it, and is asked once more."""
    twice = [MISDIRECTED, 0.3, MISDIRECTED]
    run = [0.3, OK]

    async def scenario():
        server = ScriptedServer(twice, run)
        async with running_gateway(
            [server], service='llm', engines=FakeEngines()
        ) as bench:
            while not bench.gateway.view.reported:
                await asyncio.sleep(0.02)
            sent = request('/streaming/x', b'x', Model=f'm0/{A1.adapter}')
            return await ask(bench.port, sent), server

    received, server = asyncio.run(scenario())
    assert len(server.seen) == 2
    assert status_of(received) == 200


@pytest.mark.parametrize(
    'informational',
    [
        b'HTTP/1.1 100 Continue\r\n\r\n',
        b'HTTP/1.1 103 Early Hints\r\nNot-Run: 1\r\n\r\n',
        b'HTTP/1.1 102 Processing\r\nRequest-Id: r9\r\n\r\n' * 16,
    ],
)
def test_informational_heads_are_no_answers(informational):
    (_, received), server = ask_twice([OK], [informational[:-1], b'\n', OK])
    assert status_of(received) in {200, 502}
    assert len(server.seen) == 2


@pytest.mark.parametrize('status', [b'101 Switching Protocols', b'199 Odd'])
def test_a_head_that_is_no_final_answer_refuses_nothing(status):
    odd = answer(b'', status, b'Not-Run: 1\r\n')
    (_, received), _ = ask_twice([OK], [odd, 'close'])
    assert status_of(received) == 502


def test_a_refusal_while_the_body_is_still_sent_is_believed_if_it_is_its_own():
    """Another request's refusal at that moment is skipped."""
    long_body = b'x' * 60_000

    async def scenario():
        late = with_id(NOT_RUN, b'r1')
        server = ScriptedServer([OK], [late, NOT_RUN])
        async with running_gateway([server]) as bench:
            await ask(bench.port, request('/unsafe/x', b'x', Request_Id='r1'))
            sent = request('/unsafe/x', long_body, Request_Id='r2')
            return await ask(bench.port, sent)

    assert status_of(asyncio.run(scenario())) == 503
