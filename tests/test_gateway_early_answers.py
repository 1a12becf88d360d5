"""Servers that answer before they have read the whole body of a request."""

import asyncio

import pytest
from gateway_parts import CONFIGURATION, LIMITS, OK, running_gateway
from raw_caller import ask, request, status_of
from scripted_server import NOT_RUN, ScriptedServer, answer

from wasabicross.gateway.configuration import Configuration

#: More than the buffers of sockets hold.
LONG = b'z' * 8000000

CFG = Configuration.from_parts(
    1,
    CONFIGURATION.routes,
    CONFIGURATION.services,
    LIMITS._replace(body_bytes=len(LONG)),
)


class EarlyServer(ScriptedServer):
    """A server that answers when it has read the head of a request.

    :param reads_on: whether it reads the body after its answer, else it closes
        the connection with unread bytes.
    """

    def __init__(self, script, *, reads_on):
        super().__init__(script)
        self._reads_on = reads_on
        self.rest = []

    async def _answer_all(self, reader, writer):
        while not reader.at_eof():
            head = await reader.readuntil(b'\r\n\r\n')
            self.seen.append(head)
            writer.write(self._scripts[0][0].replace(b'{id}', b'r1'))
            if not self._reads_on:
                await writer.drain()
                return
            await asyncio.sleep(0.2)
            self.rest.append(await reader.readexactly(len(LONG)))


@pytest.mark.parametrize('reads_on', [True, False])
@pytest.mark.parametrize('path', ['/safe/x', '/unsafe/x'])
@pytest.mark.parametrize(
    ('early', 'status'),
    [(NOT_RUN, 503), (OK, 200), (answer(b'no', b'400 Bad Request'), 400)],
)
def test_an_answer_that_comes_before_the_body_is_read(
    path, early, status, reads_on
):
    async def scenario():
        server = EarlyServer([early], reads_on=reads_on)
        async with running_gateway([server], cfg=CFG) as bench:
            received = await ask(bench.port, request(path, LONG))
            again = await ask(bench.port, request(path, LONG))
            return received, again, server

    received, again, server = asyncio.run(scenario())
    assert [status_of(received), status_of(again)] == [status, status]
    assert all(rest == LONG for rest in server.rest)
