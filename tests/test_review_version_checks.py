"""Faults of the proof of software versions that a review found."""

import asyncio
import contextlib

import pytest
from gateway_parts import ServerEntryUpdate, running_gateway
from raw_caller import ask, request, status_of
from scripted_server import answer
from test_gateway_version_checks import (
    FIRST_MS,
    LATER_MS,
    ReportingServer,
    is_whole,
    list_start,
    run_reporting,
)
from version_parts import stream

from wasabicross.gateway import request_handler
from wasabicross.gateway.clock import now_s
from wasabicross.gateway.connections.connection_pool import ConnectionPool
from wasabicross.gateway.messages import ServerState
from wasabicross.gateway.server_notices import ServerNotices
from wasabicross.platform.engines import PlatformEngineClient
from wasabicross.platform.headers import REQUEST_ID

PLAIN = request('/streaming/x', b'x', Model='m0/a1', Request_Id='plain')


class HookedServer(ReportingServer):
    """Call a function before each answer; it may close the connection.

    :param hook: gets the request and how many were on its connection before.
    :param fields: header fields of its reports.
    """

    def __init__(self, hook, fields=b''):
        super().__init__(fields)
        self._hook = hook
        self._counts = {}

    async def _play(self, script, request, reader, writer):
        count = self._counts.get(writer, 0)
        self._counts[writer] = count + 1
        if await self._hook(request, count):
            return False
        return await super()._play(script, request, reader, writer)


def is_report(request):
    return b'/-/report' in request.head


def test_a_connection_that_ended_idle_costs_no_stream_at_its_only_server():
    """Its server was excluded and its health lowered for the connection's end."""

    async def hook(request, count):
        return is_report(request) and count > 0

    server = HookedServer(hook)

    async def scenario(bench):
        assert is_whole(await ask(bench.port, PLAIN))
        received = await ask(bench.port, stream('a'))
        health = bench.gateway.view.health['i-0']
        return received, list(health._outcomes)

    received, outcomes = run_reporting(scenario, server)
    assert status_of(received) == 200
    assert is_whole(received)
    assert False not in outcomes


def test_an_entry_that_comes_while_its_server_is_asked_costs_no_stream():
    """The entry's own server was shut out of streams by the entry before."""
    benches = []

    async def hook(request, count):
        if is_report(request):
            list_start(benches[0], LATER_MS)
        return False

    server = HookedServer(hook)

    async def scenario(bench):
        benches.append(bench)
        server.start_ms = LATER_MS
        received = await ask(bench.port, stream('a'))
        health = bench.gateway.view.health['i-0']
        return received, health.runs_unlisted_start(now_s())

    received, is_unlisted = run_reporting(scenario, server)
    assert not is_unlisted
    assert is_whole(received)


def test_a_slow_report_has_no_stream_run_at_two_servers(monkeypatch):
    """The search for another server went on after the proof."""
    find = request_handler.RequestHandler._find_replacement
    asked = []
    sent = []

    async def find_slowly(self, *args):
        while not sent:
            await asyncio.sleep(0.01)
        return await find(self, *args)

    monkeypatch.setattr(
        request_handler.RequestHandler, '_find_replacement', find_slowly
    )

    async def hook(request, count):
        if is_report(request):
            asked.append(request)
            await asyncio.sleep(0.3 if len(asked) == 1 else 0)
            return False
        sent.append(request)
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(0.4):
                while len(sent) == 1:
                    await asyncio.sleep(0.01)
        return False

    servers = [HookedServer(hook), HookedServer(hook)]
    assert is_whole(run_two(servers))
    assert len(sent) == 1


def run_two(servers, *further):
    """Send a stream to a gateway before two servers; return what is received."""

    async def run():
        engines = PlatformEngineClient(
            ConnectionPool(REQUEST_ID), ServerNotices()
        )
        async with running_gateway(
            servers, service='llm', versions=('v1', 'v1'), engines=engines
        ) as bench:
            view = bench.gateway.view
            for each in tuple(view.servers.values()):
                listed = each._replace(start_ms=FIRST_MS)
                view.apply(ServerEntryUpdate(listed), 0)
            return await ask(bench.port, stream('a'), *further)

    return asyncio.run(run())


def test_a_stream_that_another_server_has_ended_is_not_sent_once_more():
    """Its first server's second report came after the whole answer."""
    reports = []
    sent = []

    async def hook(request, count):
        if not is_report(request):
            sent.append(request.fields['request-id'])
            return False
        reports.append(request.fields['expect-instance'])
        if reports[-1] == reports[0] and reports.count(reports[0]) == 2:
            while not sent:
                await asyncio.sleep(0.01)
            await asyncio.sleep(0.3)
        return False

    servers = [HookedServer(hook, b'Connection: close\r\n') for _ in range(2)]
    # The caller keeps its connection.
    run_two(servers, PLAIN)
    assert sent.count('a') == 1


@pytest.mark.parametrize('known_by', ['owner', 'entry'])
def test_a_late_answer_of_a_former_process_does_not_have_the_next_one_leave(
    known_by,
):
    """It would get nothing for its whole life."""
    leaving = answer(b'ok', extra=b'Server-Leaving: 1\r\n')
    benches = []

    class LeavingServer(ReportingServer):
        async def _play(self, script, request, reader, writer):
            if is_report(request):
                return await super()._play(script, request, reader, writer)
            # The owner's word is read before the answer that was sent earlier.
            if known_by == 'entry':
                list_start(benches[0], LATER_MS)
            state = ServerState('i-0', LATER_MS, 0, 0, True, (), ('m0',))
            benches[0].gateway.view.on_state(state, now_s())
            writer.write(leaving.replace(b'{id}', b'plain'))
            return False

    async def scenario(bench):
        benches.append(bench)
        with contextlib.suppress(Exception):
            await ask(bench.port, PLAIN)
        view = bench.gateway.view
        assert (
            view.notices.starts.incarnation(view.servers['i-0']).start_ms
            == LATER_MS
        )
        list_start(bench, LATER_MS)
        return view.notices.is_leaving(view.servers['i-0'])

    assert not run_reporting(scenario, LeavingServer())
