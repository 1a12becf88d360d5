"""Streams that begin at a server whose restart isn't listed yet.

Guards against streams of two software versions: the server runs another one than
its entry tells, so what it began must not go on at the listed one.
"""

import asyncio

import pytest
from gateway_parts import FakeEngines
from raw_caller import status_of
from test_gateway_restarted_versions import (
    LATER_MS,
    LISTED_MS,
    MOST_JOINED,
    RestartedServer,
)
from version_parts import (
    OLD,
    VersionServer,
    send,
    stream,
    take_up,
    versions_serving,
)

#: Ids of callers' attempts.
ATTEMPTS = tuple(f'a{number}' for number in range(12))

RESTARTED = 'i-0'


class RestartedEngines(FakeEngines):
    """Report the starts of the servers, of which one has started again."""

    async def report(self, server):
        """Return the report of the start that runs now."""
        report = await super().report(server)
        is_restarted = server.server_id == RESTARTED
        return report._replace(start_ms=LATER_MS if is_restarted else LISTED_MS)


def run_unlisted(scenario, *, is_alone=False):
    """Run a scenario before a server that runs v2, listed as v1, and one of v1."""

    async def run():
        breaks = []
        servers = [RestartedServer('v1', 'v2', breaks)]
        if not is_alone:
            servers.append(VersionServer('v1', breaks))
        async with versions_serving(
            servers, OLD, engines=RestartedEngines()
        ) as bench:
            listed = bench.gateway.view.servers
            for server_id, server in tuple(listed.items()):
                listed[server_id] = server._replace(start_ms=LISTED_MS)
            return await scenario(bench, breaks)

    return asyncio.run(run())


def joined(answers):
    """Return the number of streams with events of two versions."""
    return sum(len(found) > 1 for found in answers)


def test_a_stream_that_begins_before_a_restart_is_listed_joins_no_versions():
    async def scenario(bench, breaks):
        breaks[:] = [2] * len(ATTEMPTS)
        return [(await send(bench, stream(each)))[1] for each in ATTEMPTS]

    assert joined(run_unlisted(scenario)) <= MOST_JOINED


def test_what_began_before_a_restart_is_listed_joins_no_version_in_a_take_up():
    async def scenario(bench, breaks):
        answers = []
        for each in ATTEMPTS:
            _, begun = await send(bench, stream(each))
            _, rest = await send(bench, take_up(each, f'r{each}'))
            answers.append(begun | rest)
        return answers

    assert joined(run_unlisted(scenario)) <= MOST_JOINED


def test_a_restart_that_is_not_listed_costs_no_stream_another_server_can_run():
    async def scenario(bench, breaks):
        return [await send(bench, stream(each)) for each in ATTEMPTS]

    for received, found in run_unlisted(scenario):
        assert status_of(received) == 200
        assert found == {'v1'}


@pytest.mark.parametrize('sent', [stream('a1'), take_up('a1', 'r1')])
def test_a_stream_that_no_server_can_begin_is_refused_with_a_time(sent):
    async def scenario(bench, breaks):
        return await send(bench, sent)

    received, found = run_unlisted(scenario, is_alone=True)
    assert status_of(received) == 503
    assert b'retry-after' in received.lower()
    assert not found
