"""Streams of servers that are silent for a while and then go on."""

import asyncio

import pytest
from gateway_parts import A1, running_gateway
from raw_caller import ask, body_of, request
from scripted_server import (
    NOT_RUN,
    STREAM_END,
    STREAM_HEAD,
    ScriptedServer,
    chunk,
    events,
)

#: Longer than the silence after which another server is looked for.
SILENCE_S = 1.6

#: Requests with which no more are sent to a server.
FULL = 8

SENT = request('/stream-resumable/x', b'x', Model=f'm0/{A1.adapter}')
REST = [STREAM_HEAD, chunk(events(3, 5)), STREAM_END]
SILENT = [
    STREAM_HEAD,
    chunk(events(1, 2)),
    SILENCE_S,
    chunk(events(3, 5)),
    STREAM_END,
]


class OtherServer(ScriptedServer):
    """A server that is sent nothing before the other one is silent.

    :param is_listed_only: whether it no longer accepts connections.
    """

    def __init__(self, script, is_listed_only=False):
        super().__init__(script)
        self._is_listed_only = is_listed_only

    async def start(self):
        """Listen, or only choose a port; return the port."""
        server = await asyncio.start_server(self._serve, '127.0.0.1', 0)
        port = server.sockets[0].getsockname()[1]
        if self._is_listed_only:
            server.close()
        return port


def run(other, is_leaving=False):
    """Send a request to a server that is silent within its stream."""

    async def scenario():
        silent = ScriptedServer(SILENT, REST)
        async with running_gateway([silent, other], service='llm') as bench:
            view = bench.gateway.view
            view.own.requests['i-1'] = FULL
            asking = asyncio.ensure_future(ask(bench.port, SENT))
            async with asyncio.timeout(5):
                while not silent.seen:
                    await asyncio.sleep(0.01)
            view.own.requests['i-1'] = 0
            if is_leaving:
                server = view.servers['i-1']
                view.servers['i-1'] = server._replace(is_leaving=True)
            return await asking, len(silent.seen)

    return asyncio.run(scenario())


@pytest.mark.parametrize(
    'other',
    [OtherServer([NOT_RUN]), OtherServer([], is_listed_only=True)],
    ids=['refuses', 'accepts no connection'],
)
def test_a_stream_is_not_cut_if_no_other_server_takes_it_over(other):
    """The silent server was left before the other one had taken it."""
    received, _ = run(other)
    assert body_of(received) == events(1, 5)
    assert received.endswith(STREAM_END)


def test_a_silent_server_is_not_left_while_no_other_one_can_take_over():
    received, sent = run(OtherServer(REST), is_leaving=True)
    assert body_of(received) == events(1, 5)
    assert received.endswith(STREAM_END)
    assert sent == 1


def test_a_stream_without_a_length_that_is_left_is_resumed():
    """A connection that the gateway closes ends such an answer."""
    head = STREAM_HEAD.replace(b'Transfer-Encoding: chunked\r\n', b'')
    script = [head, events(1, 2), SILENCE_S, events(3, 5), 'close']

    async def scenario():
        silent = ScriptedServer(script)
        other = OtherServer(REST)
        async with running_gateway([silent, other], service='llm') as bench:
            view = bench.gateway.view
            view.own.requests['i-1'] = FULL
            return await ask(bench.port, SENT)

    received = asyncio.run(scenario())
    assert body_of(received) == events(1, 5)
    assert received.endswith(STREAM_END)
