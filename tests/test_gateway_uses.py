"""Adapter usage is reported to owners as soon as it begins."""

import asyncio
import contextlib
from types import SimpleNamespace

import pytest

from emulator.waiting import free_ports
from wasabicross.gateway.backend import AdapterKey, BackendServer
from wasabicross.gateway.changes import OwnerRecordUpdate, ServerEntryUpdate
from wasabicross.gateway.clock import now_s
from wasabicross.gateway.messages import AdapterUsage
from wasabicross.gateway.owners import links
from wasabicross.gateway.owners.links import OwnerLinks
from wasabicross.gateway.owners.owner_server import OwnerServer
from wasabicross.gateway.ownership import group_of
from wasabicross.gateway.store_following.store_copy import StoreCopy
from wasabicross.gateway.store_following.store_relay import StoreRelay
from wasabicross.gateway.usage_tracker import UsageTracker
from wasabicross.gateway.view import FleetView

A = AdapterKey('m0', 'a1')
B = AdapterKey('m0', 'a2')
HOST = '10.0.0.1'
LOCAL = '127.0.0.1'


def server_at(host):
    return BackendServer(
        's1', 'llm', host, 1, 'dc', 4, False, {}, frozenset(('m0',)), 0
    )


@pytest.fixture
def usage():
    view = FleetView()
    view.apply(ServerEntryUpdate(server_at(HOST)), 0)
    group = group_of('s1', 'dc').name
    view.apply(OwnerRecordUpdate(group, 'front-1', HOST, 5), 0)
    return UsageTracker(view)


def use(key, running):
    return AdapterUsage('s1', *key, running)


def test_what_goes_on_is_told_again_only_where_asked(usage):
    usage.begin('s1', A)
    assert usage.changed_usage(include_ongoing=False) == {HOST: (use(A, 1),)}
    assert not usage.changed_usage(include_ongoing=False)
    usage.begin('s1', B)
    assert usage.changed_usage(include_ongoing=False) == {HOST: (use(B, 1),)}
    assert set(usage.changed_usage(include_ongoing=True)[HOST]) == {
        use(A, 1),
        use(B, 1),
    }
    usage.end('s1', A)
    assert usage.changed_usage(include_ongoing=False) == {HOST: (use(A, 0),)}


def test_an_owner_is_told_all_that_goes_on_at_its_engines(usage):
    usage.begin('s1', A)
    usage.begin('s9', B)
    usage.changed_usage(include_ongoing=False)
    assert usage.usage_at(HOST) == (use(A, 1),)
    assert not usage.usage_at('10.0.0.9')


def test_a_use_is_told_at_once(usage, monkeypatch):
    monkeypatch.setattr(links, '_USAGE_INTERVAL_S', 10)
    received = []

    class RecordingLoaderService:
        def on_use(self, user, adapter_usage):
            """Record a usage report and its time."""
            received.append((now_s(), adapter_usage))

    cfg = SimpleNamespace(instance='front-1', host=HOST)
    owner_links = OwnerLinks(
        cfg, FleetView(), RecordingLoaderService(), usage, None
    )

    async def scenario():
        task = asyncio.ensure_future(owner_links.report_usage())
        await asyncio.sleep(0.1)
        began_s = now_s()
        usage.begin('s1', A)
        async with asyncio.timeout(4):
            while not received:
                await asyncio.sleep(0.001)
        task.cancel()
        with contextlib.suppress(asyncio.CancelledError):
            await task
        return began_s

    began_s = asyncio.run(scenario())
    assert received[0][1] == use(A, 1)
    assert received[0][0] - began_s < 2


class _RecordingLoaderService:
    """Record usage reports at an owner without engines."""

    def __init__(self):
        self.received = []

    def states(self):
        """Return no states, since there is no engine."""
        return ()

    def forget_usage(self, user):
        """Ignore the restart of a gateway."""

    def on_use(self, user, adapter_usage):
        """Record a usage report."""
        self.received.append((user, adapter_usage))


@pytest.mark.parametrize(
    ('requests', 'is_urgent'), [((A,), True), ((A, A), False)]
)
def test_the_end_of_the_last_use_is_told_at_once(usage, requests, is_urgent):
    uses = [usage.begin('s1', key) for key in requests]
    usage.has_urgent_change.clear()
    uses[0].end()
    assert usage.has_urgent_change.is_set() is is_urgent


def test_an_owner_that_restarted_is_told_all_uses_at_once():
    (port,) = free_ports(1)
    view = FleetView()
    view.apply(ServerEntryUpdate(server_at(LOCAL)), 0)
    group = group_of('s1', 'dc').name
    view.apply(OwnerRecordUpdate(group, 'front-1', LOCAL, 5), 0)
    usage = UsageTracker(view)
    usage.begin('s1', A)
    usage.changed_usage(include_ongoing=False)
    loader_service = _RecordingLoaderService()
    cfg = SimpleNamespace(
        instance='front-2', host='127.0.0.9', peer_port=port, data_centre='dc'
    )
    owner_links = OwnerLinks(cfg, view, loader_service, usage, None)

    async def scenario():
        server = OwnerServer(
            'front-1', loader_service, StoreRelay(), StoreCopy()
        )
        tasks = [
            asyncio.ensure_future(owner_links.run()),
            asyncio.ensure_future(server.run(LOCAL, port)),
        ]
        # Ongoing usage is reported only because the owner restarted.
        async with asyncio.timeout(5):
            while not loader_service.received:
                await asyncio.sleep(0.01)
        for task in tasks:
            task.cancel()
        await asyncio.wait(tasks)

    asyncio.run(scenario())
    assert loader_service.received == [('front-2', use(A, 1))]
