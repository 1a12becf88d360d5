"""Gateways keep the division of streams in the store, through its faults."""

import asyncio
import base64
import contextlib
import json

import pytest
import virtual_time
from restorable_store import RestorableStore

from wasabicross.gateway import division_keeper, store_follower
from wasabicross.gateway.division_keeper import DivisionKeeper
from wasabicross.gateway.store_follower import StoreFollower
from wasabicross.gateway.store_relay import StoreRelay
from wasabicross.gateway.stream_divisions import ANNOUNCED_S, BUCKETS
from wasabicross.gateway.view import FleetView

KEY = 'wasabicross/streams/llm'
OLD = ('v1',) * BUCKETS
NEW = ('v2',) * BUCKETS


def loop_s():
    return asyncio.get_running_loop().time()


@pytest.fixture(autouse=True)
def _virtual_clock(monkeypatch):
    for module in (division_keeper, store_follower):
        monkeypatch.setattr(module, 'now_s', loop_s)


@pytest.fixture
def store():
    """Return a store that has a configuration and a server of one version."""
    fresh = RestorableStore()
    put(fresh, 'op/config', CONFIGURATION_DOCUMENT)
    put_server(fresh, 'i-1', 'v1')
    return fresh


CONFIGURATION_DOCUMENT = {
    'version': 1,
    'routes': [
        {
            'name': 'chat',
            'host': 'a.example',
            'pathPrefix': '/chat/',
            'kind': 'streaming',
            'timeoutMs': 20000,
            'targetLatencyMs': 400,
            'priority': 1,
            'service': 'llm',
            'maxAttempts': 2,
            'resumable': True,
        }
    ],
    'services': [{'name': 'llm', 'healthPath': '/health', 'maxConns': 99}],
    'limits': {
        'maxHeaderBytes': 4096,
        'maxBodyBytes': 65536,
        'headerTimeoutMs': 500,
        'idleTimeoutMs': 5000,
    },
}


def put(store, key, document):
    encoded = document and base64.b64encode(json.dumps(document).encode())
    store.put(key, encoded and encoded.decode())


def put_server(store, server_id, version, state='ready', slots=64):
    entry = {
        'service': 'llm',
        'address': '10.0.0.9:8080',
        'zone': 'dc',
        'slots': slots,
        'state': state,
        'born': 5,
        'version': version,
    }
    put(store, f'servers/{server_id}', entry)


def record_of(store):
    found = store.copied().items.get(KEY)
    return json.loads(base64.b64decode(found['value'])) if found else None


def number_of(store):
    record = record_of(store)
    return record['number'] if record else 0


def writes_of(store):
    return [each for each in store.copied().events if each['key'] == KEY]


class Machine:
    """A gateway's follower and keeper at a store."""

    def __init__(self, store, name='a'):
        self.view = FleetView()
        self.client = store.client()
        self.keeper = DivisionKeeper(name, self.client, self.view)
        self.follower = StoreFollower(
            self.client, self.view, StoreRelay(), lambda: True, self._no_copy
        )
        self._tasks = []

    @property
    def division(self):
        """Return the division that the gateway knows."""
        return self.view.divisions.get('llm')

    async def start(self):
        """Start as a process does."""
        self._tasks = [
            asyncio.ensure_future(self.follower.run()),
            asyncio.ensure_future(self.keeper.run()),
        ]
        await self.follower.is_initialised.wait()

    async def stop(self):
        """End at once, like a killed process."""
        for task in self._tasks:
            task.cancel()
            with contextlib.suppress(asyncio.CancelledError):
                await task

    async def _no_copy(self):
        return None


async def until(condition, timeout_s=60):
    async with asyncio.timeout(timeout_s):
        while not condition():
            await asyncio.sleep(0.02)


@contextlib.asynccontextmanager
async def running(store, *names):
    """Run gateways with these names."""
    machines = [Machine(store, name) for name in names]
    for machine in machines:
        await machine.start()
    try:
        yield machines
    finally:
        for machine in machines:
            await machine.stop()


def test_one_version_costs_one_write(store):
    async def scenario():
        async with running(store, 'a') as (a,):
            await until(lambda: a.division)
            await asyncio.sleep(100)
            assert a.division.buckets == OLD
            assert a.division.time_limit_s == 20
        assert len(writes_of(store)) == 1

    virtual_time.run(scenario())


def test_second_version_is_announced_before_it_takes_streams(store):
    async def scenario():
        async with running(store, 'a', 'b') as (a, b):
            await until(lambda: a.division and b.division)
            put_server(store, 'i-2', 'v2')
            await until(lambda: b.division.announced)
            announced_s = loop_s()
            await until(lambda: 'v2' in b.division.buckets)
            assert loop_s() - announced_s > ANNOUNCED_S - 2
            assert b.division.former[0].buckets == OLD
            await until(lambda: a.division.number == b.division.number)

    virtual_time.run(scenario())


def test_buckets_move_at_once_when_their_version_leaves(store):
    async def scenario():
        async with running(store, 'a') as (a,):
            await until(lambda: a.division)
            put_server(store, 'i-2', 'v2', slots=1)
            put_server(store, 'i-1', 'v1', state='draining')
            left_s = loop_s()
            await until(lambda: a.division.buckets == NEW)
            assert loop_s() - left_s < 2
            ended_s = a.division.former[0].ended_s
            assert left_s <= ended_s <= loop_s()

    virtual_time.run(scenario())
