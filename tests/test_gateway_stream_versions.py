"""Streams go on within an answer only at the version that began them."""

import asyncio
import time

import pytest
from gateway_parts import CONFIGURATION, server_entry
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

from wasabicross.gateway.crashes.crash_evidence import CrashEvidence
from wasabicross.gateway.crashes.crash_sharing import CrashSharing
from wasabicross.gateway.crashes.crash_watch import CrashWatch
from wasabicross.gateway.dialect import RequestInfo
from wasabicross.gateway.errors import AnswerBroken
from wasabicross.gateway.progress import RequestProgress
from wasabicross.gateway.request_placement import (
    RequestPlacement,
    RoutedRequest,
)
from wasabicross.gateway.retrying_placer import RetryingPlacer
from wasabicross.gateway.usage_tracker import UsageTracker
from wasabicross.gateway.version_proof import VersionProof
from wasabicross.gateway.view import FleetView
from wasabicross.servers.retries import RetryBudget


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


@pytest.mark.parametrize(('begun', 'is_found'), [('v1', False), (None, True)])
def test_replacement_of_another_version_than_has_begun_meanwhile_is_not_used(
    begun, is_found
):
    view = FleetView()
    for server_id, version in (('i-0', 'v1'), ('i-1', 'v2')):
        held = server_entry(server_id, 'llm', 1, None, version)
        view.apply(held, 0)
    evidence = CrashEvidence('front-1')
    crashes = CrashWatch(view, evidence, CrashSharing(evidence))
    route = CONFIGURATION.route_for('a.example', '/stream-resumable/x')
    progress = RequestProgress('')
    placements = RequestPlacement(
        RoutedRequest(
            time.monotonic(),
            RequestInfo('r1', None, None, ''),
            route,
            'llm',
            RetryBudget(0.2, 10),
        ),
        progress,
        RetryingPlacer(view, UsageTracker(view), None, 'dc'),
        crashes.guard(()),
    )
    progress.software_version = begun
    placement = asyncio.run(placements.find_replacement('i-0'))
    assert (placement is not None) is is_found


def test_events_of_another_version_are_not_appended():
    progress = RequestProgress('')
    first, other = (
        VersionProof(
            server_entry('i-0', 'llm', 1, None, each).server,
            None,
            names_start=False,
        )
        for each in ('v1', 'v2')
    )
    progress.check_version(first)
    progress.software_version = first.software_version
    progress.check_version(first)
    with pytest.raises(AnswerBroken):
        progress.check_version(other)
