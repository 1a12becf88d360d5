"""Answers that are taken for a request which they don't answer."""

import asyncio

import pytest
from gateway_parts import running_gateway
from raw_caller import ask, body_of, request, status_of
from scripted_server import NOT_RUN, ScriptedServer, answer
from test_gateway_peer_forwarding import running_site

OK = answer(b'the answer')
MISDIRECTED = answer(b'', b'421 Misdirected Request')
NOT_TAKEN_FIELD = b'X-Wasabicross-Not-Taken: no server\r\n'


def without_id(refusal):
    return refusal.replace(b'Request-Id: {id}\r\n', b'')


class RefusingAtStart(ScriptedServer):
    """Send an answer as a connection begins, then run what comes on it."""

    def __init__(self, refusal):
        super().__init__([0.1, OK])
        self._refusal = refusal

    async def _answer_all(self, reader, writer):
        writer.write(self._refusal)
        await super()._answer_all(reader, writer)


@pytest.mark.parametrize('refusal', [NOT_RUN, MISDIRECTED], ids=['503', '421'])
@pytest.mark.parametrize('path', ['/unsafe/x', '/streaming/x'])
def test_answer_from_before_a_request_does_not_refuse_its_run(path, refusal):
    async def scenario():
        server = RefusingAtStart(without_id(refusal))
        service = 'llm' if 'stream' in path else 'desk'
        async with running_gateway([server], service=service) as bench:
            return await ask(bench.port, request(path, b'x')), server

    received, server = asyncio.run(scenario())
    assert len(server.seen) == 1
    assert status_of(received) in {200, 502}


@pytest.mark.parametrize('refusal', [NOT_RUN, MISDIRECTED], ids=['503', '421'])
def test_answer_from_before_a_request_lets_nothing_run_twice(refusal):
    async def scenario():
        servers = [RefusingAtStart(without_id(refusal)) for _ in range(2)]
        async with running_gateway(servers) as bench:
            await ask(bench.port, request('/unsafe/x', b'x'))
        return sum(len(each.seen) for each in servers)

    assert asyncio.run(scenario()) == 1


@pytest.mark.parametrize(
    'status', [b'200 OK', b'404 Not Found', b'500 Internal Server Error']
)
def test_server_cannot_say_that_a_gateway_has_not_taken_a_request(status):
    async def scenario():
        scripts = [answer(b'the answer', status, NOT_TAKEN_FIELD)]
        servers = [ScriptedServer(scripts), ScriptedServer(scripts)]
        async with running_site(servers, reaching=(True, True)) as site:
            received = await ask(site.port, request('/unsafe/x', b'x'))
        return received, sum(len(each.seen) for each in servers)

    received, runs = asyncio.run(scenario())
    assert runs == 1
    assert status_of(received) == int(status.split()[0])
    assert body_of(received) == b'the answer'
    assert b'not-taken' not in received.lower()


@pytest.mark.parametrize('version', ['0', '999999', 'x'])
def test_caller_cannot_say_by_which_configuration_it_was_forwarded(version):
    async def scenario():
        server = ScriptedServer([OK])
        async with running_site([server], reaching=(True,)) as site:
            fields = {'X-Wasabicross-Configuration': version}
            received = await ask(
                site.port, request('/unsafe/x', b'x', **fields)
            )
        return received, server.seen

    received, (seen,) = asyncio.run(scenario())
    assert status_of(received) == 200
    assert 'x-wasabicross-configuration' not in seen.fields
