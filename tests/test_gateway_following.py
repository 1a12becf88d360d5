"""The store is followed through outages, cuts and forgotten history."""

import asyncio
import contextlib

import pytest

from wasabicross.gateway.backend import AdapterKey
from wasabicross.gateway.changes import VersionNamed
from wasabicross.gateway.errors import HistoryGone, StoreUnavailable
from wasabicross.gateway.following import (
    StoreFollower,
    pause_between_watches_s,
)
from wasabicross.gateway.store import Snapshot, UnreadableEntry
from wasabicross.gateway.view import FleetView

A = AdapterKey('m0', 'a1')


class ScriptedStore:
    """A store whose calls end as listed, and then find nothing new."""

    def __init__(self, *results):
        self._results = list(results)
        self.calls = []

    async def read(self):
        """Read everything."""
        return await self._next(('read',))

    async def watch(self, revision, wait_s):
        """Wait for changes."""
        return await self._next(('watch', revision))

    async def _next(self, call):
        self.calls.append(call)
        if not self._results:
            await asyncio.sleep(9)
        result = self._results.pop(0)
        if isinstance(result, Exception):
            raise result
        return result


def version(number, revision):
    return Snapshot((VersionNamed(A, number),), (), revision)


@pytest.mark.parametrize(
    ('results', 'calls'),
    [
        ([version(2, 5), version(3, 9)], [('read',), ('watch', 5)]),
        # After lost history everything is read again.
        (
            [version(2, 5), HistoryGone(''), version(3, 20)],
            [('read',), ('watch', 5), ('read',)],
        ),
        # After silence the watch goes on where it was.
        (
            [version(2, 5), StoreUnavailable(''), version(3, 9)],
            [('read',), ('watch', 5), ('watch', 5)],
        ),
        # An entry that can't be read stops nothing.
        (
            [
                Snapshot((), (UnreadableEntry('op/version/x', 4, ''),), 5),
                version(3, 9),
            ],
            [('read',), ('watch', 5)],
        ),
    ],
)
def test_changes_arrive(results, calls):
    store = ScriptedStore(*results)

    async def scenario():
        view = FleetView()
        task = asyncio.ensure_future(StoreFollower(store, view).run())
        async with asyncio.timeout(5):
            while view.version_of(A) != 3:
                await asyncio.sleep(0.01)
        task.cancel()
        with contextlib.suppress(asyncio.CancelledError):
            await task

    asyncio.run(scenario())
    assert store.calls[: len(calls)] == calls


@pytest.mark.parametrize(
    ('instances', 'pause_s'), [(1, 0.61), (7, 0.67), (91, 1.4), (360, 1.4)]
)
def test_many_gateways_ask_less_often(instances, pause_s):
    assert pause_between_watches_s(instances) == pytest.approx(pause_s)
