"""Limits of callers that change while connections are open."""

import asyncio

import pytest
from gateway_parts import CONFIGURATION, LIMITS, OK, running_gateway
from raw_caller import request, status_of
from scripted_server import HOST, ScriptedServer

from wasabicross.gateway.changes import ConfigurationUpdate
from wasabicross.gateway.clock import now_s
from wasabicross.gateway.configuration import Configuration

SMALL = LIMITS._replace(header_bytes=2000, body_bytes=2000)
LARGE = LIMITS._replace(
    header_bytes=30000, body_bytes=30000, header_timeout_s=2
)
LONG_BODY = request('/safe/x', b'x' * 20000)
LONG_HEAD = request('/safe/x', b'x', X_Long='y' * 20000)
SHORT = request('/safe/x', b'x')


def with_limits(limits, version):
    """Return the configuration with other limits of callers."""
    return Configuration.from_parts(
        version, CONFIGURATION.routes, CONFIGURATION.services, limits
    )


def ask_around_change(before, after, *parts):
    """Send parts on one connection; change the limits after the first.

    A connection is idle after a complete request, and reads on after a part.
    """

    async def scenario():
        server = ScriptedServer([OK])
        cfg = with_limits(before, 1)
        async with running_gateway([server], cfg=cfg) as bench:
            reader, writer = await asyncio.open_connection(HOST, bench.port)
            received = b''
            async with asyncio.timeout(3):
                writer.write(parts[0])
                if parts[0] == SHORT:
                    received = await reader.read(65536)
                    assert status_of(received) == 200
                await asyncio.sleep(0.1)
                change = ConfigurationUpdate(with_limits(after, 2))
                bench.gateway.view.apply(change, now_s())
                writer.write(b''.join(parts[1:]))
                received = await reader.read(65536)
            writer.close()
            return received

    return asyncio.run(scenario())


@pytest.mark.parametrize('sent', [LONG_BODY, LONG_HEAD], ids=['body', 'head'])
@pytest.mark.parametrize('before', [b'', SHORT], ids=['new', 'used'])
def test_raised_limits_hold_for_connections_that_are_open(before, sent):
    received = ask_around_change(SMALL, LARGE, before, sent)
    assert status_of(received) == 200


@pytest.mark.parametrize(
    ('sent', 'status'), [(LONG_BODY, 413), (LONG_HEAD, 431)]
)
def test_lowered_limits_hold_for_connections_that_are_open(sent, status):
    received = ask_around_change(LARGE, SMALL, SHORT, sent)
    assert status_of(received) == status


@pytest.mark.parametrize('sent', [LONG_BODY, LONG_HEAD], ids=['body', 'head'])
def test_a_request_that_is_coming_keeps_the_limits_of_its_start(sent):
    received = ask_around_change(LARGE, SMALL, sent[:9000], sent[9000:])
    assert status_of(received) == 200
