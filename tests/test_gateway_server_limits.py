"""Servers that state how many requests a second they take."""

import asyncio

import pytest
from gateway_parts import running_gateway
from raw_caller import ask, request, status_of
from scripted_server import ScriptedServer, answer

from wasabicross.gateway.connections.server_messages import AnswerHead
from wasabicross.gateway.server_limits.stated import NO_LIMITS, StatedLimits
from wasabicross.platform.headers import stated_limits

LIMITED = answer(b'the answer', extra=b'Server-Limit: 1\r\n')

#: Requests in 4 s that a server with a limit of 1 a second bears.
ALLOWED = 11


@pytest.mark.parametrize(
    ('fields', 'limits'),
    [
        ([], NO_LIMITS),
        ([(b'server-limit', b'1.2')], StatedLimits(1.2)),
        ([(b'server-limit', b'0')], StatedLimits(0)),
        ([(b'server-limit', b'0.05')], StatedLimits(0.05)),
        ([(b'server-limit', b'1e9')], StatedLimits(1e9)),
        ([(b'server-limit', b' 3 ')], StatedLimits(3)),
        ([(b'server-brittle', b'4')], StatedLimits(None, 4)),
        (
            [(b'server-limit', b'2'), (b'server-brittle', b'4')],
            StatedLimits(2, 4),
        ),
        (
            [(b'server-limit', b'2'), (b'server-limit', b'1.5')],
            StatedLimits(1.5),
        ),
        # A value that isn't a rate states nothing, nor that a limit has ended.
        ([(b'server-limit', b'-1')], None),
        ([(b'server-limit', b'nan')], None),
        ([(b'server-limit', b'inf')], None),
        ([(b'server-limit', b'')], None),
        ([(b'server-limit', b'1_0')], None),
        ([(b'server-limit', b'1' * 1000)], None),
        ([(b'server-limit', b'2'), (b'server-limit', b'many')], None),
    ],
)
def test_what_an_answer_states(fields, limits):
    assert stated_limits(AnswerHead(200, fields, 0)) == limits


@pytest.mark.parametrize('path', ['/safe/x', '/unsafe/x'])
def test_server_gets_no_more_requests_than_the_limit_that_it_states(path):
    async def scenario():
        server = ScriptedServer([LIMITED])
        async with running_gateway([server]) as bench:
            answers = [
                await ask(bench.port, request(path, b'x')) for _ in range(40)
            ]
        return answers, server

    answers, server = asyncio.run(scenario())
    assert len(server.seen) <= ALLOWED
    assert {status_of(each) for each in answers} == {200, 503}
