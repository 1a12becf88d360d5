"""Gateways keep the division of streams in the store, through its faults."""

import asyncio
import base64
import contextlib
import json
import math

import pytest
import virtual_time
from gateway_parts import running_gateway
from restorable_store import RestorableStore
from scripted_server import ScriptedServer

from wasabicross.gateway.errors import StoreUnavailable
from wasabicross.gateway.store_following import store_follower
from wasabicross.gateway.store_following.store_follower import StoreFollower
from wasabicross.gateway.store_following.store_relay import StoreRelay
from wasabicross.gateway.stream_divisions import (
    ANNOUNCED_S,
    BUCKETS,
    REWRITE_S,
    bucket_of,
    former_lapse_s,
)
from wasabicross.gateway.streams import division_keeper
from wasabicross.gateway.streams.division_keeper import DivisionKeeper
from wasabicross.gateway.view import FleetView

KEY = 'wasabicross/streams/llm'
OLD = ('v1',) * BUCKETS
NEW = ('v2',) * BUCKETS


def loop_s():
    return asyncio.get_running_loop().time()


@pytest.fixture(autouse=True)
def _clock_of_the_loop(monkeypatch):
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


INSTANCE = {'host': '10.0.0.1', 'data_centre': 'dc', 'fitness': 1}


def put(store, key, document):
    if document is None:
        store.put(key, None)
        return
    encoded = base64.b64encode(json.dumps(document).encode())
    store.put(key, encoded.decode())


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
    return record.get('number') if isinstance(record, dict) else None


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


def test_gateways_killed_at_once_know_former_buckets_again(store):
    async def scenario():
        async with running(store, 'a', 'b') as (a, _):
            await until(lambda: a.division)
            put_server(store, 'i-2', 'v2')
            put_server(store, 'i-1', 'v1', state='draining')
            await until(lambda: a.division.buckets == NEW)
            ended_s = a.division.former[0].ended_s
            await asyncio.sleep(9)
        async with running(store, 'a') as (a,):
            await until(lambda: a.division)
            (former,) = a.division.former
            assert former.buckets == OLD
            assert ended_s <= former.ended_s <= ended_s + 4
            started_s = loop_s()
            assert a.division.possible_versions('r', started_s - 9, 0) == {
                'v1',
                'v2',
            }

    virtual_time.run(scenario())


def test_ages_are_written_until_former_buckets_lapse(store):
    async def scenario():
        async with running(store, 'a', 'b') as (a, b):
            await until(lambda: a.division and b.division)
            put_server(store, 'i-2', 'v2')
            put_server(store, 'i-1', 'v1', state='draining')
            await until(lambda: a.division.buckets == NEW)
            await asyncio.sleep(60)
            written = len(writes_of(store))
            assert record_of(store)['former'][0]['age'] >= 25
            await asyncio.sleep(200)
            assert len(writes_of(store)) == written <= 9

    virtual_time.run(scenario())


def test_restart_while_a_change_is_announced(store):
    """When it was announced isn't known, so it may be in force at once."""

    async def scenario():
        async with running(store, 'a') as (a,):
            await until(lambda: a.division)
            put_server(store, 'i-2', 'v2', slots=640)
            await until(lambda: a.division.announced)
            announced = a.division.announced
            await asyncio.sleep(3)
        async with running(store, 'a') as (a,):
            await until(lambda: a.division)
            started_s = loop_s()
            moved = next(
                f'r{number}'
                for number in range(99)
                if announced[bucket_of(f'r{number}')] == 'v2'
            )
            division = a.division
            assert division.announced == announced
            assert division.possible_versions(moved, started_s, started_s) == {
                'v1',
                'v2',
            }
            await until(lambda: a.division.buckets == announced)
            assert loop_s() - started_s >= ANNOUNCED_S

    virtual_time.run(scenario())


@pytest.mark.parametrize('lost', ['all', 'newest'])
@pytest.mark.parametrize('names', [('a',), ('a', 'b')])
def test_division_that_the_store_has_lost_is_written_again(store, lost, names):
    async def scenario():
        async with running(store, *names) as machines:
            first = machines[0]
            copies = {'all': store.copied()}
            await until(lambda: first.division)
            copies['newest'] = store.copied()
            put_server(store, 'i-2', 'v2')
            put_server(store, 'i-1', 'v1', state='draining')
            await until(lambda: first.division.buckets == NEW)
            number = first.division.number
            await asyncio.sleep(3)
            store.restore(copies[lost])
            put_server(store, 'i-2', 'v2')
            put_server(store, 'i-1', 'v1', state='draining')
            await until(lambda: (number_of(store) or 0) > number)
            assert set(record_of(store)['versions']) == {'v1', 'v2'}
            await asyncio.sleep(3)
            for machine in machines:
                assert machine.division.buckets == NEW
                assert machine.division.number == number_of(store)
                assert machine.division.former

    virtual_time.run(scenario())


def test_streams_begun_by_a_division_of_an_older_copy_are_known(store):
    """A gateway that starts before the rewrite begins streams by that copy."""

    async def scenario():
        async with running(store, 'a') as (a,):
            await until(lambda: a.division)
            copied = store.copied()
            put_server(store, 'i-2', 'v2')
            put_server(store, 'i-1', 'v1', state='draining')
            await until(lambda: a.division.buckets == NEW)
            await asyncio.sleep(30)
            store.restore(copied)
            number = a.division.number
            restored_s = loop_s()
            await until(lambda: a.division.number > number)
            assert a.division.buckets == NEW
            assert a.division.possible_versions('r', restored_s, 0) == {
                'v1',
                'v2',
            }

    virtual_time.run(scenario())


def test_gateways_that_propose_at_once_agree(store, monkeypatch):
    monkeypatch.setattr(division_keeper, 'write_delay_s', lambda *_, **__: 0)

    async def scenario():
        async with running(store, 'a', 'b', 'c') as machines:
            await until(lambda: all(each.division for each in machines))
            assert len(writes_of(store)) == 1
            put_server(store, 'i-2', 'v2')
            await until(lambda: machines[0].division.announced)
            await asyncio.sleep(3)
            assert {each.division.number for each in machines} == {2}
            assert len(writes_of(store)) == 2

    virtual_time.run(scenario())


def test_division_is_written_once_the_store_answers(store):
    async def scenario():
        async with running(store, 'a') as (a,):
            await until(lambda: a.division)
            put_server(store, 'i-2', 'v2', slots=640)
            await until(lambda: a.division.announced)
            store.is_down = True
            await asyncio.sleep(30)
            assert number_of(store) == 2
            assert a.view.confirmed_s <= loop_s() - 29
            store.is_down = False
            await until(lambda: a.division.buckets[-1] == 'v2', 8)

    virtual_time.run(scenario())


@pytest.mark.parametrize('document', [None, {}, {'service': 'llm'}, [7]])
def test_removed_or_odd_record_changes_nothing_and_is_replaced(store, document):
    async def scenario():
        async with running(store, 'a') as (a,):
            await until(lambda: a.division)
            put(store, KEY, document)
            await until(lambda: number_of(store) == 2, 5)
            await asyncio.sleep(2)
            assert a.division.buckets == OLD
            assert a.division.number == 2

    virtual_time.run(scenario())


def test_record_that_another_program_writes_too_costs_few_writes(store):
    async def scenario():
        async with running(store, 'a') as (a,):
            await until(lambda: a.division)
            overwritten = 0
            for _ in range(200):
                if isinstance(number_of(store), int):
                    put(store, KEY, {'service': 'llm', 'number': 'x'})
                    overwritten += 1
                await asyncio.sleep(0.1)
            assert 3 <= overwritten <= 5

    virtual_time.run(scenario())


def test_odd_record_before_the_first_division_is_replaced(store):
    put(store, KEY, {'service': 'llm', 'number': 'x'})

    async def scenario():
        async with running(store, 'a') as (a,):
            await until(lambda: a.division)
            assert number_of(store) == 1

    virtual_time.run(scenario())


def test_longer_time_limit_of_callers_is_stored(store):
    async def scenario():
        async with running(store, 'a', 'b') as (a, b):
            await until(lambda: a.division and b.division)
            b.view.divisions.time_limits.note_time_limit('llm', 39.2)
            await until(lambda: a.division.time_limit_s == 40)
            assert a.division.number == 1
            assert record_of(store)['time_limit'] == 40

    virtual_time.run(scenario())


def test_unanswered_write_that_was_done_is_taken(store):
    class UnansweredClient:
        def __init__(self, client):
            self._client = client

        def __getattr__(self, name):
            return getattr(self._client, name)

        async def write_division(self, *args):
            """Write, and lose the answer."""
            await self._client.write_division(*args)
            raise StoreUnavailable('no answer')

    async def scenario():
        async with running(store, 'a') as (a,):
            a.keeper._store = UnansweredClient(a.client)
            await until(lambda: a.division)
            await asyncio.sleep(5)
            assert a.division.number == 1
            assert len(writes_of(store)) == 1

    virtual_time.run(scenario())


def test_many_gateways_do_not_write_at_once(store):
    """Without owners each gateway may write; few do before they hear of it."""
    calls = []
    answer_call = store.call

    def counting_call(target, body):
        calls.extend([target] if body else [])
        return answer_call(target, body)

    store.call = counting_call

    async def scenario():
        names = [f'front-{number}' for number in range(60)]
        for name in names:
            put(store, f'wasabicross/instance/{name}', INSTANCE)
        async with running(store, *names) as machines:
            await until(lambda: all(each.division for each in machines))
            put_server(store, 'i-2', 'v2')
            put_server(store, 'i-1', 'v1', state='draining')
            await until(
                lambda: all(each.division.buckets == NEW for each in machines)
            )

    virtual_time.run(scenario())
    assert len(calls) <= 10


def test_running_gateway_keeps_the_division():
    async def scenario():
        async with running_gateway(
            [ScriptedServer([])], service='llm'
        ) as bench:
            divisions = bench.gateway.view.divisions
            async with asyncio.timeout(10):
                while 'llm' not in divisions:
                    await asyncio.sleep(0.05)
            assert divisions['llm'].buckets == ('',) * BUCKETS
            assert divisions['llm'].time_limit_s == 3
            assert set(divisions) == {'llm'}

    asyncio.run(scenario())


def era_of_record(store):
    return record_of(store).get('era', 0)


def test_gateway_that_lived_through_a_return_vouches_for_its_division(store):
    """Otherwise each later start takes it for one that others have lost."""

    async def scenario():
        async with running(store, 'a') as (a,):
            await until(lambda: a.division)
            store.restore(store.copied())
            put_server(store, 'i-1', 'v1')
            await until(lambda: era_of_record(store) == 2, 10)
            assert loop_s() - a.view.restored_s >= REWRITE_S
            async with running(store, 'b') as (b,):
                await until(lambda: b.division)
                assert b.view.divisions.restored_s == -math.inf
            await asyncio.sleep(60)
        assert len(writes_of(store)) == 2

    virtual_time.run(scenario())


def test_gateway_that_knows_only_the_copy_does_not_vouch_for_it_soon(store):
    async def scenario():
        async with running(store, 'a') as (a,):
            await until(lambda: a.division)
        store.restore(store.copied())
        put_server(store, 'i-1', 'v1')
        async with running(store, 'b') as (b,):
            await until(lambda: b.division)
            await asyncio.sleep(former_lapse_s(b.division) - 1)
            assert era_of_record(store) == 1
            await until(lambda: era_of_record(store) == 2, 10)
        assert len(writes_of(store)) == 2

    virtual_time.run(scenario())


def test_lost_division_whose_number_is_given_to_other_buckets_is_kept(store):
    """The gateway that knows it is cut off while another writes the number."""

    async def scenario():
        async with running(store, 'a', 'b') as (a, b):
            await until(lambda: a.division and b.division)
            copied = store.copied()
            b.client._client.is_cut = True
            put_server(store, 'i-2', 'v2')
            put_server(store, 'i-1', 'v1', state='draining')
            await until(lambda: a.division.buckets == NEW)
            lost = a.division.number
            a.client._client.is_cut = True
            store.restore(copied)
            b.client._client.is_cut = False
            put_server(store, 'i-3', 'v3')
            put_server(store, 'i-1', 'v1', state='draining')
            await until(lambda: b.division.buckets == ('v3',) * BUCKETS)
            assert b.division.number == lost
            a.client._client.is_cut = False
            await until(lambda: a.division.buckets == b.division.buckets, 6)
            for each in (a, b):
                await until(
                    lambda each=each: (
                        NEW
                        in [former.buckets for former in each.division.former]
                    ),
                    6,
                )

    virtual_time.run(scenario())
