"""Owners hear of uses of adapters as soon as they begin."""

import asyncio
import contextlib
from types import SimpleNamespace

import pytest

from emulator.waiting import free_ports
from wasabicross.gateway import links
from wasabicross.gateway.backend import AdapterKey, BackendServer
from wasabicross.gateway.changes import OwnerRecordUpdate, ServerEntryUpdate
from wasabicross.gateway.clock import now_s
from wasabicross.gateway.links import OwnerLinks
from wasabicross.gateway.messages import AdapterUsage
from wasabicross.gateway.owner_server import OwnerServer
from wasabicross.gateway.ownership import group_of
from wasabicross.gateway.store_copy import StoreCopy
from wasabicross.gateway.store_relay import StoreRelay
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
def uses():
    view = FleetView()
    view.apply(ServerEntryUpdate(server_at(HOST)), 0)
    group = group_of('s1', 'dc').name
    view.apply(OwnerRecordUpdate(group, 'front-1', HOST, 5), 0)
    return UsageTracker(view)


def use(key, running):
    return AdapterUsage('s1', *key, running)


def test_what_goes_on_is_told_again_only_where_asked(uses):
    uses.begin('s1', A)
    assert uses.changed_usage(include_ongoing=False) == {HOST: (use(A, 1),)}
    assert not uses.changed_usage(include_ongoing=False)
    uses.begin('s1', B)
    assert uses.changed_usage(include_ongoing=False) == {HOST: (use(B, 1),)}
    assert set(uses.changed_usage(include_ongoing=True)[HOST]) == {
        use(A, 1),
        use(B, 1),
    }
    uses.end('s1', A)
    assert uses.changed_usage(include_ongoing=False) == {HOST: (use(A, 0),)}


def test_an_owner_is_told_all_that_goes_on_at_its_engines(uses):
    uses.begin('s1', A)
    uses.begin('s9', B)
    uses.changed_usage(include_ongoing=False)
    assert uses.usage_at(HOST) == (use(A, 1),)
    assert not uses.usage_at('10.0.0.9')


def test_a_use_is_told_at_once(uses, monkeypatch):
    monkeypatch.setattr(links, '_USAGE_INTERVAL_S', 10)
    told = []

    class Desk:
        def on_use(self, user, each):
            """Note when a use is told."""
            told.append((now_s(), each))

    cfg = SimpleNamespace(instance='front-1', host=HOST)
    owner_links = OwnerLinks(cfg, FleetView(), Desk(), uses, None)

    async def scenario():
        task = asyncio.ensure_future(owner_links.report_usage())
        await asyncio.sleep(0.1)
        began_s = now_s()
        uses.begin('s1', A)
        async with asyncio.timeout(4):
            while not told:
                await asyncio.sleep(0.001)
        task.cancel()
        with contextlib.suppress(asyncio.CancelledError):
            await task
        return began_s

    began_s = asyncio.run(scenario())
    assert told[0][1] == use(A, 1)
    assert told[0][0] - began_s < 2


class _FullDesk:
    """An owner's desk without engines that notes what it is told."""

    def __init__(self):
        self.told = []

    def states(self):
        """Return no engine."""
        return ()

    def forget_usage(self, user):
        """Take no notice."""

    def on_use(self, user, each):
        """Note a use."""
        self.told.append((user, each))


def test_an_owner_that_restarted_is_told_all_uses_at_once():
    (port,) = free_ports(1)
    view = FleetView()
    view.apply(ServerEntryUpdate(server_at(LOCAL)), 0)
    group = group_of('s1', 'dc').name
    view.apply(OwnerRecordUpdate(group, 'front-1', LOCAL, 5), 0)
    uses = UsageTracker(view)
    uses.begin('s1', A)
    uses.changed_usage(include_ongoing=False)
    desk = _FullDesk()
    cfg = SimpleNamespace(
        instance='front-2', host='127.0.0.9', peer_port=port, data_centre='dc'
    )
    owner_links = OwnerLinks(cfg, view, desk, uses, None)

    async def scenario():
        server = OwnerServer('front-1', desk, StoreRelay(), StoreCopy())
        tasks = [
            asyncio.ensure_future(owner_links.run()),
            asyncio.ensure_future(server.run(LOCAL, port)),
        ]
        # Nothing else tells uses that go on here.
        async with asyncio.timeout(5):
            while not desk.told:
                await asyncio.sleep(0.01)
        for task in tasks:
            task.cancel()
        await asyncio.wait(tasks)

    asyncio.run(scenario())
    assert desk.told == [('front-2', use(A, 1))]
