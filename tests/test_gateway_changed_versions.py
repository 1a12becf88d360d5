"""Servers whose entries change their software version under the same id."""

import asyncio

import pytest
from gateway_parts import FakeEngines
from raw_caller import status_of
from scripted_server import STREAM_END
from version_parts import (
    HALF,
    ID_OF_V1,
    OLD,
    run_versions,
    send,
    servers_of,
    stream,
    take_up,
)

from wasabicross.gateway.connections.connection_pool import ConnectionPool

REQUESTS = [stream(ID_OF_V1), take_up(ID_OF_V1)]


class SlowEngines(FakeEngines):
    """Engines that accept no order before they are told to."""

    def __init__(self):
        super().__init__()
        self.may_go_on = asyncio.Event()
        self.is_asked = asyncio.Event()

    async def order(self, server, order):
        """Execute an order once it may go on."""
        self.is_asked.set()
        await self.may_go_on.wait()
        return await super().order(server, order)


async def asked_for_load(bench, engines, sent):
    """Send a request until one of them has an adapter loaded; return that."""
    while True:
        asking = asyncio.ensure_future(send(bench, sent))
        asked = asyncio.ensure_future(engines.is_asked.wait())
        await asyncio.wait((asking, asked), return_when=asyncio.FIRST_COMPLETED)
        if asked.done():
            return asking
        asked.cancel()


@pytest.mark.parametrize('sent', REQUESTS)
def test_server_that_changes_its_version_during_a_load_is_not_used(sent):
    servers = servers_of(('v1',))

    async def scenario(bench):
        engines = bench.gateway._platform.engines
        view = bench.gateway.view
        while not view.reported:
            await asyncio.sleep(0.02)
        async with asyncio.timeout(5):
            asking = await asked_for_load(bench, engines, sent)
        server = view.servers['i-0']
        view.servers['i-0'] = server._replace(software_version='v2')
        engines.may_go_on.set()
        return await asking

    received, found = run_versions(
        scenario, servers, HALF, engines=SlowEngines(), held={}
    )
    assert not found
    assert status_of(received) == 503
    is_lasting = b'retry-after: 60.00' in received.lower()
    assert is_lasting == (sent is REQUESTS[1])
    assert not servers[0].seen


@pytest.mark.parametrize(
    'changed', [{'software_version': 'v2'}, {'start_ms': 7}]
)
@pytest.mark.parametrize('sent', REQUESTS)
def test_server_that_changes_while_it_is_connected_to_is_not_sent_the_stream(
    monkeypatch, changed, sent
):
    servers = servers_of(('v1', 'v1'))
    versions_sent = []
    views = []
    acquire = ConnectionPool.acquire

    async def acquire_during_change(pool, *args, **fields):
        conn = await acquire(pool, *args, **fields)
        if views and not versions_sent:
            versions_sent.append(fields)
            (view,) = views
            for server_id in ('i-0', 'i-1'):
                server = view.servers[server_id]._replace(**changed)
                view.servers[server_id] = server
        return conn

    monkeypatch.setattr(ConnectionPool, 'acquire', acquire_during_change)

    async def scenario(bench):
        views.append(bench.gateway.view)
        return await send(bench, sent)

    received, found = run_versions(scenario, servers, OLD)
    seen = sum(len(each.seen) for each in servers)
    if 'start_ms' in changed:
        assert received.endswith(STREAM_END)
        assert seen == 1
    else:
        assert not found
        assert not seen
