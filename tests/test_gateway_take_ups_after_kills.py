"""Take-ups go on soon after all gateways were killed beside two versions."""

import asyncio
import random

import pytest
import virtual_time
from restorable_store import RestorableStore
from test_gateway_division_keeper import (
    CONFIGURATION_DOCUMENT,
    loop_s,
    put,
    put_server,
    running,
    until,
)
from test_gateway_version_knowledge import ROUTE, info_of

from wasabicross.gateway.store_following import prompted_calls, store_follower
from wasabicross.gateway.streams import (
    division_keeper,
    stream_memory,
    stream_versions,
)
from wasabicross.gateway.streams.stream_versions import StreamVersions

#: Time limit of the callers, that of the route.
LIMIT_S = 20.0


@pytest.fixture(autouse=True)
def _clock_of_the_loop(monkeypatch):
    for module in (division_keeper, store_follower, stream_memory):
        monkeypatch.setattr(module, 'now_s', loop_s)
    for module in (stream_versions, prompted_calls):
        monkeypatch.setattr(module, 'clock_s', loop_s)


@pytest.fixture
def store():
    """Return a store that has a configuration and a server of one version."""
    fresh = RestorableStore()
    put(fresh, 'op/config', CONFIGURATION_DOCUMENT)
    put_server(fresh, 'i-1', 'v1')
    return fresh


async def take_up(machine, began_s, resumes):
    """Return whether a stream goes on, and how long its caller waits."""
    asked_s = loop_s()
    streams = StreamVersions(machine.view)
    info = info_of(resumes, LIMIT_S - (asked_s - began_s))
    found = streams.for_take_up(ROUTE, info, asked_s)
    found = await streams.recall(found, 'llm', info)
    if found.refusal is not None:
        found = await streams.confirmed_take_up(found, ROUTE, info, asked_s)
    return found.refusal is None, loop_s() - asked_s


async def take_ups(machines, since_s, count):
    """Take streams up every 0.02 s at gateways that have just started."""
    rng = random.Random(5)
    tasks = []
    for number in range(count):
        began_s = rng.uniform(since_s, loop_s() - 0.2)
        machine = rng.choice(machines)
        tasks.append(
            asyncio.ensure_future(take_up(machine, began_s, f'9c{number:x}'))
        )
        await asyncio.sleep(0.02)
    return await asyncio.gather(*tasks)


@pytest.mark.parametrize('settled_s', [30, 90])
def test_most_take_ups_go_on_once_all_gateways_are_back(store, settled_s):
    """Half of the buckets have moved some time before the kill."""

    async def scenario():
        async with running(store, 'a', 'b', 'c') as (a, *_):
            await until(lambda: a.division)
            put_server(store, 'i-2', 'v2')
            await until(lambda: 'v2' in a.division.buckets)
            await asyncio.sleep(settled_s)
        killed_s = loop_s()
        await asyncio.sleep(1)
        async with running(store, 'a', 'b', 'c') as machines:
            return await take_ups(machines, killed_s - 4, 150)

    answers = virtual_time.run(scenario())
    went_on = [wait_s for has_gone, wait_s in answers if has_gone]
    assert len(went_on) > 0.9 * len(answers)
    assert sum(went_on) / len(went_on) < 0.25
    assert max(went_on) < 0.6
