"""Streams of sound servers that fall silent for a second and go on."""

import asyncio

from gateway_parts import SharedScriptsServer, running_gateway
from raw_caller import ask, body_of, request
from scripted_server import (
    NOT_RUN,
    STREAM_END,
    STREAM_HEAD,
    chunk,
    events,
)

SILENT = [
    STREAM_HEAD,
    chunk(events(1, 2)),
    1.3,
    chunk(events(3, 5)),
    STREAM_END,
]


def test_a_silent_stream_is_not_cut_where_no_other_server_goes_on():
    async def scenario():
        turns = [SILENT, [NOT_RUN]]
        servers = [SharedScriptsServer(turns), SharedScriptsServer(turns)]
        async with running_gateway(servers, service='llm') as bench:
            sent = request('/stream-resumable/x', b'x', Model='m0/a1')
            return await ask(bench.port, sent)

    received = asyncio.run(scenario())
    assert body_of(received) == events(1, 5)
    assert received.endswith(STREAM_END)
