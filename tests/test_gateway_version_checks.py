"""Which process a connection leads to, asked on the connection itself."""

import asyncio
import json

import pytest
from gateway_parts import ServerEntryUpdate, running_gateway
from raw_caller import ask, status_of
from scripted_server import STREAM_END, ScriptedServer, answer
from version_parts import VersionServer, stream, versions_in

from wasabicross.gateway.connections.connection_pool import ConnectionPool
from wasabicross.gateway.server_notices import ServerNotices
from wasabicross.platform.engines import PlatformEngineClient
from wasabicross.platform.headers import REQUEST_ID

REPORT = {
    'models': [{'name': 'm0', 'version': 1, 'adapters': ['a1@1']}],
    'pending': [],
    'busy': False,
    'seq': 0,
    'queued': 0,
    'running': 0,
}
FIRST_MS = 1_000
LATER_MS = 2_000


class ReportingServer(VersionServer):
    """Report the start of the process that has accepted a connection.

    :param fields: header fields of its reports.
    """

    def __init__(self, fields=b''):
        super().__init__('v1')
        self.start_ms = FIRST_MS
        self.streams = []
        self._fields = fields
        self._accepted_by = {}

    async def _answer_all(self, reader, writer):
        self._accepted_by[writer] = self.start_ms
        return await super()._answer_all(reader, writer)

    async def _play(self, script, request, reader, writer):
        start_ms = self._accepted_by[writer]
        if b'/-/report' not in request.head:
            self.streams.append(start_ms)
            return await super()._play(script, request, reader, writer)
        body = json.dumps({**REPORT, 'born': start_ms}).encode()
        steps = [answer(body, extra=self._fields)]
        if self._fields:
            steps.append('close')
        return await ScriptedServer._play(self, steps, request, reader, writer)


def run_reporting(scenario, server):
    """Run a scenario with a gateway before one server and a real client of it."""

    async def run():
        engines = PlatformEngineClient(
            ConnectionPool(REQUEST_ID), ServerNotices()
        )
        async with running_gateway(
            [server], service='llm', versions=('v1',), engines=engines
        ) as bench:
            list_start(bench, server.start_ms)
            return await scenario(bench)

    return asyncio.run(run())


def list_start(bench, start_ms):
    """Have the gateway learn the entry of a start."""
    view = bench.gateway.view
    listed = view.servers['i-0']._replace(start_ms=start_ms)
    view.apply(ServerEntryUpdate(listed), 0)


def is_whole(received):
    """Return whether an answer is a complete stream of the server's version."""
    is_served = status_of(received) == 200 and received.endswith(STREAM_END)
    return is_served and versions_in(received) == {'v1'}


@pytest.mark.parametrize('fields', [b'', b'Connection: close\r\n'])
def test_a_report_that_ends_its_connection_costs_no_stream(fields):
    server = ReportingServer(fields)

    async def scenario(bench):
        return [await ask(bench.port, stream(each)) for each in 'abc']

    assert all(map(is_whole, run_reporting(scenario, server)))
    assert server.streams == [FIRST_MS] * 3


def test_a_connection_to_a_former_process_is_not_taken_for_the_listed_one():
    server = ReportingServer()

    async def scenario(bench):
        answers = [await ask(bench.port, stream('a'))]
        server.start_ms = LATER_MS
        list_start(bench, LATER_MS)
        return [*answers, await ask(bench.port, stream('b'))]

    assert all(map(is_whole, run_reporting(scenario, server)))
    assert server.streams == [FIRST_MS, LATER_MS]
