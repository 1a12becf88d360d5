"""Streams go on within an answer only at the version that began them."""

import asyncio
import time

import pytest
from scripted_server import STREAM_END
from version_parts import (
    AT_ONCE_S,
    HALF,
    ID_OF_V1,
    IDS,
    OLD,
    TWO_OF_EACH,
    run_versions,
    send,
    servers_of,
    stream,
)


@pytest.mark.parametrize('buckets', [None, OLD, HALF])
@pytest.mark.parametrize(
    'versions', [TWO_OF_EACH, TWO_OF_EACH[::-1], ('', 'v1', 'v1', '')]
)
def test_crash_in_mid_stream_joins_no_two_versions(versions, buckets):
    breaks = []
    servers = servers_of(versions, breaks)

    async def scenario(bench):
        answers = []
        for request_id in IDS:
            breaks[:] = [2]
            answers.append(await send(bench, stream(request_id)))
        return answers

    if '' in versions and buckets:
        buckets = tuple(each if each == 'v1' else '' for each in buckets)
    for received, found in run_versions(scenario, servers, buckets):
        assert received.endswith(STREAM_END)
        assert len(found) == 1


@pytest.mark.parametrize('is_leaving', [True, False])
def test_crash_in_mid_stream_ends_it_if_its_version_has_left(is_leaving):
    servers = servers_of(('v1', 'v2'), [2], pause_s=0.1)

    async def scenario(bench):
        asking = asyncio.ensure_future(send(bench, stream(ID_OF_V1)))
        while not servers[0].seen:
            await asyncio.sleep(0.01)
        view = bench.gateway.view
        server = view.servers['i-0']._replace(is_leaving=is_leaving)
        view.servers['i-0'] = server
        began_s = time.monotonic()
        return *await asking, time.monotonic() - began_s

    received, found, took_s = run_versions(scenario, servers, HALF)
    assert found == {'v1'}
    assert not received.endswith(STREAM_END)
    assert took_s < 0.1 + AT_ONCE_S
    assert not servers[1].seen


@pytest.mark.parametrize('versions', [('v1', 'v2'), ('v1', 'v2', 'v1')])
def test_silence_in_mid_stream_joins_no_two_versions(versions):
    breaks = [2]
    servers = servers_of(versions, breaks, silence_s=1.6)

    async def scenario(bench):
        return await send(bench, stream(ID_OF_V1))

    received, found = run_versions(scenario, servers, HALF)
    assert found == {'v1'}
    assert received.endswith(STREAM_END)
    assert not servers[1].seen
    assert sum(len(each.seen) for each in servers) == len(versions) - 1
