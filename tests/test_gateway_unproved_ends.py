"""Answers that end with their connection as their server's process ends."""

import asyncio

import pytest
from gateway_parts import A1, running_gateway
from mortal_server import MortalServer
from raw_caller import ask, body_of, request, status_of
from scripted_server import (
    STREAM_END,
    STREAM_HEAD,
    answer,
    chunk,
    events,
)

MODEL = f'm0/{A1.adapter}'
LEAVING = b'Server-Leaving: 1\r\n'
FIRST_HALF = b'half of the body, '
WHOLE = FIRST_HALF + b'and the rest'

STREAMS = ('/streaming/x', '/stream-resumable/x')
PLAIN = ('/safe/x', '/unsafe/x')

#: How the process of a server ends in the middle of its answer.
ENDS = ('killed', 'leaving', 'entry gone', 'restarted at once', 'all killed')


def head(path, extra=b''):
    """Return a head that states neither a length nor chunks."""
    if path in PLAIN:
        lines = b'HTTP/1.1 200 OK\r\nRequest-Id: {id}\r\nServer-Stamp: s1\r\n'
        return lines + extra + b'\r\n'
    unframed = STREAM_HEAD.replace(b'Transfer-Encoding: chunked\r\n', b'')
    return unframed.replace(b'Server-S', extra + b'Server-S')


def sound_rest(received):
    """Return the answer of a server that goes on or answers anew."""
    if 'model' not in received.fields:
        return [answer(WHOLE)]
    first = int(received.fields.get('last-event-id', 0)) + 1
    return [STREAM_HEAD, chunk(events(first, 6)), STREAM_END]


class ResumingMortalServer(MortalServer):
    """Answer soundly where the process doesn't end."""

    async def _play(self, script, received, reader, writer):
        script = sound_rest(received)
        return await super()._play(script, received, reader, writer)


class FirstEnds:
    """Of several servers, the first one that is asked ends in mid-answer.

    :param path: path of the request.
    :param how: how its process ends.
    """

    def __init__(self, path, how):
        self._path = path
        self._how = how
        self._ended = None
        self.bench = None
        self.servers = [
            ResumingMortalServer(
                [],
                self._is_first,
                self._begun,
                ends=how != 'restarted at once',
                closes=True,
            )
            for _ in range(2)
        ]

    def _is_first(self, received):
        return self._ended in {None, received}

    def _begun(self, received):
        self._ended = received
        if self._how == 'entry gone':
            self.bench.gateway.view.servers.clear()
        if self._how == 'all killed':
            for each in self.servers:
                each.refuse_connections()
        extra = LEAVING if self._how == 'leaving' else b''
        part = FIRST_HALF if self._path in PLAIN else events(1, 3)
        return [head(self._path, extra), 0.02, part, 0.05]


def play(path, how):
    """Send a request whose first server ends in the middle of its answer."""

    async def scenario():
        ending = FirstEnds(path, how)
        service = 'desk' if path in PLAIN else 'llm'
        fields = {} if path in PLAIN else {'Model': MODEL}
        async with running_gateway(ending.servers, service=service) as bench:
            ending.bench = bench
            received = await ask(bench.port, request(path, b'x', **fields))
        return received

    return asyncio.run(scenario())


@pytest.mark.parametrize('how', ENDS)
@pytest.mark.parametrize('path', STREAMS)
def test_a_stream_that_ends_with_its_server_does_not_look_complete(path, how):
    received = play(path, how)
    if received.endswith(STREAM_END):
        assert body_of(received) == events(1, 6)
    else:
        assert body_of(received) == events(1, 3)


@pytest.mark.parametrize('how', ENDS)
@pytest.mark.parametrize('path', PLAIN)
def test_a_body_that_ends_with_its_server_does_not_look_complete(path, how):
    received = play(path, how)
    assert FIRST_HALF not in received or body_of(received) == WHOLE
    assert status_of(received) in ({200, 502} if path == '/safe/x' else {502})
