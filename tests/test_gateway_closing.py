"""Connections that the gateway closes while their callers still send."""

import asyncio
import socket

import pytest
from gateway_parts import running_gateway
from raw_caller import body_of, request, status_of
from scripted_server import HOST, ScriptedServer, answer

from wasabicross.gateway.connections import connection_end

#: More than the gateway reads ahead, and than the buffers of sockets hold.
LONG = b'z' * 8000000

TOO_LONG = request('/safe/x', LONG)
LONG_HEAD = request('/safe/x', X_Long='y' * 8000000)
CLOSING = request('/safe/x', Connection='close')
PIPELINED = CLOSING + request('/safe/y', LONG)
GARBAGE = b'no request at all\r\n\r\n' + LONG

#: Longer than what a socket sends at once.
ANSWER = answer(b'a' * 200000)


async def send_then_read(port, sent):
    """Send everything, then read to the end with a stream of asyncio."""
    reader, writer = await asyncio.open_connection(HOST, port)
    writer.write(sent)
    try:
        return await reader.read(-1)
    finally:
        writer.close()


def _send_then_read(port, sent):
    received = b''
    with socket.create_connection((HOST, port), timeout=5) as sock:
        sock.sendall(sent)
        while True:
            got = sock.recv(65536)
            if not got:
                return received
            received += got


async def send_then_read_blocking(port, sent):
    """Send everything, then read to the end with a plain socket."""
    return await asyncio.to_thread(_send_then_read, port, sent)


@pytest.mark.parametrize('send', [send_then_read, send_then_read_blocking])
@pytest.mark.parametrize(
    ('sent', 'status', 'length'),
    [
        (TOO_LONG, 413, 0),
        (LONG_HEAD, 431, 0),
        (GARBAGE, 400, 0),
        (PIPELINED, 200, 200000),
    ],
    ids=['body', 'head', 'garbage', 'read-ahead'],
)
def test_a_caller_that_still_sends_gets_its_answer(send, sent, status, length):
    async def scenario():
        async with running_gateway([ScriptedServer([ANSWER])]) as bench:
            return await send(bench.port, sent)

    received = asyncio.run(scenario())
    assert status_of(received) == status
    assert len(body_of(received)) == length


def test_a_caller_that_never_closes_is_dropped(monkeypatch):
    monkeypatch.setattr(connection_end, '_MAX_LINGER_S', 0.2)

    async def scenario():
        async with running_gateway([ScriptedServer([ANSWER])]) as bench:
            reader, writer = await asyncio.open_connection(HOST, bench.port)
            writer.write(TOO_LONG[:100000])
            async with asyncio.timeout(3):
                await reader.read(-1)
                while bench.gateway._connections:
                    await asyncio.sleep(0.01)
            writer.close()

    asyncio.run(scenario())
