"""Replicas of an adapter are requested one at a time."""

import asyncio

from wasabicross.gateway.backend import AdapterKey
from wasabicross.gateway.replica_prefetch import ReplicaPrefetch

A = AdapterKey('m0', 'a1')
B = AdapterKey('m0', 'a2')


def test_one_replica_at_a_time():
    loads = []

    async def scenario():
        may_end = asyncio.Event()

        async def load(server_id, key, version):
            loads.append((server_id, key, version))
            await may_end.wait()

        prefetch = ReplicaPrefetch(load)
        accepted = [
            prefetch.request_replica('s1', A, 1, 10.0),
            # Refused while the first request is pending, however long.
            prefetch.request_replica('s2', A, 1, 10.1),
            prefetch.request_replica('s2', A, 1, 20.0),
            # Requests for another adapter are independent.
            prefetch.request_replica('s1', B, 2, 20.0),
        ]
        await asyncio.sleep(0)
        may_end.set()
        await asyncio.sleep(0.01)
        accepted.append(prefetch.request_replica('s3', B, 2, 20.2))
        accepted.append(prefetch.request_replica('s3', B, 2, 20.6))
        await asyncio.sleep(0.01)
        return accepted

    accepted = asyncio.run(scenario())
    assert accepted == [True, False, False, True, False, True]
    assert loads == [('s1', A, 1), ('s1', B, 2), ('s3', B, 2)]


def test_a_failed_load_ends_it():
    async def scenario():
        async def load(server_id, key, version):
            return None

        prefetch = ReplicaPrefetch(load)
        assert prefetch.request_replica('s1', A, 1, 10.0)
        await asyncio.sleep(0.01)
        assert prefetch.request_replica('s1', A, 1, 11.0)

    asyncio.run(scenario())
