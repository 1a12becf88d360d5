"""An unforeseen error in one item ends neither its task nor the process."""

import asyncio

import pytest
from gateway_parts import (
    OK,
    FakeEngines,
    FakeStore,
    running_gateway,
    server_entry,
)
from raw_caller import ask, request, status_of
from scripted_server import ScriptedServer

from wasabicross.gateway import error_containment
from wasabicross.gateway.error_containment import ErrorContainment
from wasabicross.gateway.loading.loader_service import LoaderService
from wasabicross.gateway.loading.server_loader import ServerLoader
from wasabicross.gateway.owned_groups import OwnedGroups
from wasabicross.gateway.owners.links import OwnerLinks
from wasabicross.gateway.probing import Prober
from wasabicross.gateway.registration import Registration
from wasabicross.gateway.state_updates import StateUpdates
from wasabicross.gateway.store import StoreResult
from wasabicross.gateway.store_following.store_follower import StoreFollower
from wasabicross.gateway.usage_tracker import UsageTracker
from wasabicross.gateway.view import FleetView
from wasabicross.runtime.events import Event

#: Calls that fail before the method works again.
FAILURES = 2

#: Longest time until each method has been called again, seconds.
WAIT_S = 10


@pytest.mark.parametrize(
    ('part', 'method'),
    [
        (StoreFollower, '_call_store'),
        (OwnerLinks, '_update_links'),
        (UsageTracker, 'changed_usage'),
        (LoaderService, '_update_loaders'),
        (ServerLoader, '_run_once'),
        (OwnedGroups, '_claim_or_renew'),
        (StateUpdates, 'changes'),
        (Prober, '_is_due'),
        (Registration, '_is_due'),
    ],
)
def test_an_error_in_one_item_does_not_end_the_gateway(
    monkeypatch, part, method
):
    calls = []
    works = getattr(part, method)

    def fails_at_first(self, *args, **fields):
        calls.append(args)
        if len(calls) <= FAILURES:
            raise OverflowError('unforeseen')
        return works(self, *args, **fields)

    async def scenario():
        monkeypatch.setattr(part, method, fails_at_first)
        server = ScriptedServer([OK])
        async with running_gateway(
            [server], service='llm', engines=FakeEngines()
        ) as bench:
            async with asyncio.timeout(WAIT_S):
                while len(calls) <= FAILURES:
                    assert not bench.task.done()
                    await asyncio.sleep(0.01)
            assert not bench.gateway.is_stopping
            return await ask(bench.port, request('/streaming/x'))

    assert status_of(asyncio.run(scenario())) != 404


def test_a_change_that_cannot_be_applied_leaves_the_others(monkeypatch):
    odd = server_entry('odd', 'desk', 1)
    applied = FleetView.apply

    def fails_for_one(self, change, now_s):
        if change is odd:
            raise OverflowError('unforeseen')
        applied(self, change, now_s)

    async def scenario():
        monkeypatch.setattr(FleetView, 'apply', fails_for_one)
        monkeypatch.setattr(FakeStore, 'read', read_odd_first)
        async with running_gateway([ScriptedServer([OK])]) as bench:
            return await ask(bench.port, request('/safe/x'))

    async def read_odd_first(self):
        return StoreResult((odd, *self.changes), (), 1)

    assert status_of(asyncio.run(scenario())) == 200


def test_errors_are_logged_once_a_second(monkeypatch):
    lines = []
    times_s = [10.0, 10.5, 11.1]
    monkeypatch.setattr(error_containment, 'now_s', lambda: times_s.pop(0))
    monkeypatch.setattr(
        error_containment,
        'log_event',
        lambda event, **fields: lines.append((event, fields['item'])),
    )
    errors = ErrorContainment('store')
    for number in range(3):
        with errors.contain(f'item {number}'):
            raise RecursionError
    assert lines == [
        (Event.ITEM_FAILED, 'item 0'),
        (Event.ITEM_FAILED, 'item 2'),
    ]


def test_a_cancelled_task_ends():
    errors = ErrorContainment('store')
    with pytest.raises(asyncio.CancelledError):
        with errors.contain(''):
            raise asyncio.CancelledError
