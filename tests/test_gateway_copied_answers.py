"""Copies of earlier answers that come where a later answer is due."""

import asyncio

import pytest
from gateway_parts import OK, running_gateway
from raw_caller import ask, body_of, request, status_of
from scripted_server import (
    FAILED,
    NOT_RUN,
    STREAM_END,
    STREAM_HEAD,
    ScriptedServer,
    answer,
    chunk,
    events,
)

from wasabicross.gateway.clock import now_s

HEAD_OK = OK.partition(b'\r\n\r\n')[0] + b'\r\n\r\n'
CHUNKED = (
    b'HTTP/1.1 503 Service Unavailable\r\nRequest-Id: {id}\r\nNot-Run: 1\r\n'
    b'Transfer-Encoding: chunked\r\n\r\n' + chunk(b'full') + STREAM_END
)
WITH_BODY = answer(b'full', b'503 Service Unavailable', b'Not-Run: 1\r\n')
LONG_BODY = answer(b'x' * 70_000, b'503 Service Unavailable', b'Not-Run: 1\r\n')
PAUSE = answer(
    b'', b'503 Service Unavailable', b'Not-Run: 1\r\nRetry-After: 9\r\n'
)
LEAVING = answer(b'ok', extra=b'Server-Leaving: 1\r\n')
CLOSING = answer(
    b'', b'503 Service Unavailable', b'Not-Run: 1\r\nConnection: close\r\n'
)
STREAM = STREAM_HEAD + chunk(events(1, 3)) + STREAM_END
UNFRAMED = b'HTTP/1.1 200 OK\r\nRequest-Id: {id}\r\n\r\nthe end is unknown'


def sent(method, number):
    """Return the bytes of a request that must not run twice."""
    body = b'x' if method == 'POST' else b''
    made = request('/unsafe/x', body, Request_Id=f'r{number}')
    return made.replace(b'GET ', f'{method} '.encode(), 1)


async def exchange(port, method, number):
    """Send a request on a connection of its own; return the answer."""
    reader, writer = await asyncio.open_connection('127.0.0.1', port)
    writer.write(sent(method, number))
    async with asyncio.timeout(4):
        head = await reader.readuntil(b'\r\n\r\n')
    writer.close()
    return head


class CopyingServer(ScriptedServer):
    """Answer the first request, and send that again before the next answer.

    :param first: the first answer.
    :param copies: what comes again on its connection.
    :param own: the other answers.
    """

    def __init__(self, first, copies, own):
        late = [each.replace(b'{id}', b'r1') for each in copies]
        super().__init__([first], [*late, 0.03, own], [own])
        self._own = own
        self.writers = []

    async def _play(self, script, received, reader, writer):
        if self.writers and writer not in self.writers:
            script = [self._own]
        self.writers.append(writer)
        return await super()._play(script, received, reader, writer)


def second_answer(first, copies=1, methods=('POST', 'POST'), late=None):
    """Send two requests; copies of the first answer come before the second.

    `late` are other answers to the first request that come instead of copies.

    Return status and body, whether the server counts as one that refuses
    requests, and how many connections were used.
    """
    own = HEAD_OK if methods[1] == 'HEAD' else OK

    async def scenario():
        server = CopyingServer(first, [late or first] * copies, own)
        async with running_gateway([server]) as bench:
            if 'HEAD' in methods:
                await exchange(bench.port, methods[0], 1)
                received = await exchange(bench.port, methods[1], 2)
            else:
                await ask(bench.port, sent(methods[0], 1))
                received = await ask(bench.port, sent(methods[1], 2))
            notices = bench.gateway.view.notices
            listed = bench.gateway.view.servers['i-0']
            refuses = notices.refuses_requests(listed, now_s())
        count = len(set(server.writers))
        return status_of(received), body_of(received), refuses, count

    return asyncio.run(scenario())


@pytest.mark.parametrize('copies', [1, 2, 15])
@pytest.mark.parametrize(
    'first', [OK, FAILED, NOT_RUN, WITH_BODY, CHUNKED, STREAM]
)
def test_copy_of_an_earlier_answer_is_skipped(first, copies):
    found = second_answer(first, copies)
    assert found == (200, b'the answer', False, 1)


@pytest.mark.parametrize(
    ('methods', 'connections'),
    [
        (('HEAD', 'GET'), 2),
        (('GET', 'HEAD'), 2),
        (('HEAD', 'HEAD'), 1),
    ],
)
def test_copy_of_an_answer_to_head_or_before_it_cuts_no_other(
    methods, connections
):
    first = HEAD_OK if methods[0] == 'HEAD' else OK
    status, _, _, count = second_answer(first, methods=methods)
    assert (status, count) == (200, connections)


@pytest.mark.parametrize('first', [CLOSING, UNFRAMED])
def test_connection_ends_with_an_answer_that_says_so(first):
    status, body, _, count = second_answer(first)
    assert (status, body, count) == (200, b'the answer', 2)


def test_copy_with_a_long_body_is_skipped():
    assert second_answer(LONG_BODY)[:2] == (200, b'the answer')


@pytest.mark.parametrize('late', [PAUSE, LEAVING])
def test_skipped_answer_gives_no_notice(late):
    assert second_answer(OK, late=late) == (200, b'the answer', False, 1)


@pytest.mark.parametrize(('late', 'status'), [(CLOSING, 502), (UNFRAMED, 504)])
def test_late_answer_that_ends_the_connection_is_not_the_next_ones(
    late, status
):
    """The request may have run, so it isn't said to be refused."""
    found = second_answer(OK, late=late)
    assert found[::2] == (status, False)


def test_answer_in_two_parts_is_skipped_whole():
    half = len(OK) // 2

    class Parts(CopyingServer):
        """Pause within the copy."""

        def __init__(self):
            super().__init__(OK, [OK[:half], OK[half:]], OK)
            self._scripts[1].insert(1, 0.05)

    async def scenario():
        server = Parts()
        async with running_gateway([server]) as bench:
            await ask(bench.port, sent('POST', 1))
            return await ask(bench.port, sent('POST', 2))

    assert body_of(asyncio.run(scenario())) == b'the answer'


def test_copy_of_a_failure_does_not_fail_a_safe_request_that_is_sent_again():
    """It comes again to the only server, on another connection."""

    async def scenario():
        server = CopyingServer(FAILED, [FAILED], OK)
        async with running_gateway([server]) as bench:
            first = await ask(bench.port, request('/safe/x'))
            second = await ask(bench.port, request('/safe/x'))
        return status_of(first), status_of(second), len(set(server.writers))

    assert asyncio.run(scenario()) == (502, 200, 2)
