"""Servers that start again at another version under the id that they had."""

import asyncio

import pytest
from gateway_parts import FakeEngines
from raw_caller import status_of
from scripted_server import STREAM_END
from version_parts import (
    OLD,
    VersionServer,
    send,
    stream,
    take_up,
    versions_serving,
)

#: Most streams of events of two versions that the users' pages allow.
MOST_JOINED = 2

#: Starts of the servers by their entries, and the later one of the second.
LISTED_MS = 1_000
LATER_MS = 2_000

#: Time limit of the route, and how late an answer may come at most.
TIMEOUT_S = 3.0
LATE_S = 0.5

#: Ids of callers' attempts.
ATTEMPTS = tuple(f'a{number}' for number in range(4))


class RestartedServer(VersionServer):
    """A server whose entry still tells the version of its former start.

    :param listed: the version that its entry tells.
    :param version: the version that it runs.
    """

    def __init__(self, listed, version, breaks=()):
        super().__init__(listed, breaks)
        self._runs = version

    def events(self, first, last):
        """Return events of the version that it runs."""
        return VersionServer(self._runs).events(first, last)


class ReportingEngines(FakeEngines):
    """Report the starts of both servers; the second one has restarted."""

    async def report(self, server):
        """Return the report of the start that runs now."""
        report = await super().report(server)
        is_listed = server.server_id == 'i-0'
        return report._replace(start_ms=LISTED_MS if is_listed else LATER_MS)


def joined(answers):
    """Return the number of streams with events of two versions."""
    return sum(len(found) > 1 for found in answers)


class SilentEngines(FakeEngines):
    """Give no report."""

    async def report(self, server):
        """Wait for longer than a caller does."""
        await asyncio.sleep(30)


class SteadyEngines(FakeEngines):
    """Report the listed starts."""

    async def report(self, server):
        """Return the report of the start that is listed."""
        report = await super().report(server)
        return report._replace(start_ms=LISTED_MS)


def run_restarted(scenario, engines=None):
    """Run a scenario before a server of v1 and one that has restarted as v2.

    The gateway has been told of no new entry.
    """
    engines = engines or ReportingEngines()

    async def run():
        breaks = []
        servers = [
            VersionServer('v1', breaks, pause_s=0.1),
            RestartedServer('v1', 'v2'),
        ]
        async with versions_serving(servers, OLD, engines=engines) as bench:
            listed = bench.gateway.view.servers
            for server_id, server in tuple(listed.items()):
                listed[server_id] = server._replace(start_ms=LISTED_MS)
            return await scenario(bench, breaks)

    return asyncio.run(run())


def test_a_break_in_mid_stream_joins_no_versions_before_a_restart_is_listed():
    async def scenario(bench, breaks):
        listed = bench.gateway.view.servers
        aside = listed.pop('i-1')
        breaks[:] = [2] * len(ATTEMPTS)
        asking = [
            asyncio.ensure_future(send(bench, stream(each)))
            for each in ATTEMPTS
        ]
        while breaks:
            await asyncio.sleep(0.001)
        listed['i-1'] = aside
        return [found for _, found in await asyncio.gather(*asking)]

    assert joined(run_restarted(scenario)) <= MOST_JOINED


def test_a_take_up_joins_no_versions_before_a_restart_is_listed():
    async def scenario(bench, breaks):
        listed = bench.gateway.view.servers
        listed.pop('i-0')
        return [
            {'v1'} | (await send(bench, take_up(each, f'r{each}')))[1]
            for each in ATTEMPTS
        ]

    assert joined(run_restarted(scenario)) <= MOST_JOINED


def test_a_take_up_is_not_lost_without_a_restart():
    async def scenario(bench, breaks):
        return [await send(bench, take_up(each, f'r{each}')) for each in 'ab']

    for received, found in run_restarted(scenario, SteadyEngines()):
        assert status_of(received) == 200
        assert found
        assert received.endswith(STREAM_END)


@pytest.mark.parametrize('sent', [stream('a'), take_up('a', 'r1')])
def test_a_stream_is_refused_in_time_where_no_server_tells_its_start(sent):
    async def scenario(bench, breaks):
        return await send(bench, sent, wait_s=TIMEOUT_S + LATE_S)

    received, found = run_restarted(scenario, SilentEngines())
    assert status_of(received) in {503, 504}
    assert not found
