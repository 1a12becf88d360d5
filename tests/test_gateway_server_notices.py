"""Servers that announce that they leave, or ask for a pause."""

import asyncio
import contextlib

import pytest
from gateway_parts import (
    A1,
    CONFIGURATION,
    FakeEngines,
    running_gateway,
    server_entry,
)
from raw_caller import ask, body_of, request, status_of
from scripted_server import ScriptedServer, answer

from wasabicross.gateway.backend import AdapterKey
from wasabicross.gateway.clock import now_s
from wasabicross.gateway.configuration import EngineSpec, ModelSpec
from wasabicross.gateway.connections.server_messages import AnswerHead
from wasabicross.gateway.loading.server_loader import ServerLoader
from wasabicross.gateway.orders import LoadRequest
from wasabicross.gateway.ownership import OwnershipTerm
from wasabicross.gateway.probing import Prober
from wasabicross.gateway.server_notices import (
    NO_NOTICE,
    ServerNotice,
    ServerNotices,
)
from wasabicross.gateway.view import FleetView
from wasabicross.platform.headers import server_notice

OK = answer(b'the answer')
LEAVING = answer(b'the answer', extra=b'Server-Leaving: 1\r\n')
PAUSE_S = 1.2
PAUSE = answer(
    b'', b'503 Service Unavailable', b'Not-Run: 1\r\nRetry-After: 1.2\r\n'
)
SERVER = server_entry('s1', 'llm', 1).server


@pytest.mark.parametrize(
    ('status', 'fields', 'notice'),
    [
        (200, [], NO_NOTICE),
        (200, [(b'server-leaving', b'1')], ServerNotice(True, 0)),
        (503, [(b'server-leaving', b'1')], ServerNotice(True, 0)),
        (200, [(b'server-leaving', b'0')], NO_NOTICE),
        (503, [(b'retry-after', b'2')], ServerNotice(False, 2)),
        (503, [(b'retry-after', b'0.5')], ServerNotice(False, 0.5)),
        (429, [(b'retry-after', b'3')], ServerNotice(False, 3)),
        # No request was refused.
        (200, [(b'retry-after', b'2')], NO_NOTICE),
        (500, [(b'retry-after', b'2')], NO_NOTICE),
        # A value that is not a number of seconds is ignored.
        (503, [(b'retry-after', b'soon')], NO_NOTICE),
        (503, [(b'retry-after', b'nan')], NO_NOTICE),
        (503, [(b'retry-after', b'inf')], NO_NOTICE),
        (503, [(b'retry-after', b'Fri, 04 Dec 2026 10:00:00 GMT')], NO_NOTICE),
    ],
)
def test_what_an_answer_says(status, fields, notice):
    assert server_notice(AnswerHead(status, fields, 0)) == notice


@pytest.mark.parametrize(
    ('pause_s', 'free_at_s'),
    [(2, 12), (0, 10), (-5, 10), (31_536_000, 3610)],
)
def test_a_pause_is_kept_in_bounds(pause_s, free_at_s):
    notices = ServerNotices()
    notices.on_notice(SERVER, ServerNotice(False, pause_s), 10)
    assert not notices.refuses_requests(SERVER, free_at_s)
    if free_at_s > 10:
        assert notices.refuses_requests(SERVER, free_at_s - 0.1)


def test_a_shorter_pause_does_not_end_a_longer_one():
    notices = ServerNotices()
    notices.on_notice(SERVER, ServerNotice(False, 5), 10)
    notices.on_notice(SERVER, ServerNotice(False, 1), 11)
    assert notices.refuses_requests(SERVER, 14.9)
    assert not notices.refuses_requests(SERVER, 15)


def test_the_next_start_of_a_server_is_asked_again():
    notices = ServerNotices()
    notices.on_notice(SERVER, ServerNotice(True, 60), 10)
    assert notices.refuses_requests(SERVER, 11)
    assert not notices.refuses_requests(SERVER._replace(start_ms=7), 11)


def test_not_all_starts_are_remembered_for_ever():
    notices = ServerNotices()
    for number in range(5000):
        restarted = SERVER._replace(server_id=f's{number}')
        notices.on_notice(restarted, ServerNotice(True, 5), 10)
    assert not notices.is_leaving(SERVER._replace(server_id='s0'))
    assert notices.is_leaving(SERVER._replace(server_id='s4999'))


def run_requests(scripts, paths):
    """Request the paths in turn and return the answers and the servers."""

    async def scenario():
        servers = [ScriptedServer(each) for each in scripts]
        async with running_gateway(servers) as bench:
            answers = [
                await ask(
                    bench.port, request(path, b'x', Request_Id=f'r{number}')
                )
                for number, path in enumerate(paths)
            ]
        return answers, servers

    return asyncio.run(scenario())


@pytest.mark.parametrize('path', ['/safe/x', '/unsafe/x'])
def test_a_leaving_server_gets_nothing_new(path):
    answers, servers = run_requests([[LEAVING], [LEAVING]], [path] * 4)
    assert [status_of(each) for each in answers] == [200, 200, 503, 503]
    assert [len(server.seen) for server in servers] == [1, 1]


def test_the_answer_of_a_leaving_server_is_passed_on():
    (received,), _ = run_requests([[LEAVING]], ['/unsafe/x'])
    assert body_of(received) == b'the answer'


@pytest.mark.parametrize('path', ['/safe/x', '/unsafe/x'])
def test_a_server_that_wants_a_pause_gets_nothing_until_it_is_over(path):
    async def scenario():
        server = ScriptedServer([PAUSE], [OK])
        async with running_gateway([server]) as bench:
            began_s = now_s()
            *early, late = [
                request(path, b'x', Request_Id=f'r{number}')
                for number in range(6)
            ]
            refused = [await ask(bench.port, each) for each in early]
            seen_in_pause = len(server.seen)
            await asyncio.sleep(began_s + PAUSE_S + 0.1 - now_s())
            served = await ask(bench.port, late)
        return refused, seen_in_pause, served

    refused, seen_in_pause, served = asyncio.run(scenario())
    assert {status_of(each) for each in refused} == {503}
    assert seen_in_pause == 1
    assert status_of(served) == 200
    # No caller is told to retry before the server accepts requests again.
    for each in refused:
        assert retry_after_s(each) > PAUSE_S - 0.3


def retry_after_s(received):
    head = received.lower().partition(b'\r\n\r\n')[0]
    after = head.split(b'retry-after: ')[1]
    return float(after.split(b'\r\n')[0])


def test_requests_go_to_the_server_that_wants_no_pause():
    answers, servers = run_requests([[PAUSE], [OK]], ['/unsafe/x'] * 8)
    assert {status_of(each) for each in answers} == {200}
    assert len(servers[0].seen) <= 1


def test_one_that_leaves_does_not_shorten_the_pause_of_the_others():
    answers, _ = run_requests([[LEAVING], [PAUSE]], ['/unsafe/x'] * 5)
    assert status_of(answers[-1]) == 503
    assert retry_after_s(answers[-1]) > PAUSE_S - 0.5


class CountingEngines(FakeEngines):
    """Count reports and probes; every probe fails."""

    def __init__(self):
        super().__init__()
        self.reports = 0
        self.probes = 0

    async def report(self, server):
        self.reports += 1
        return await super().report(server)

    async def is_healthy(self, server, path):
        self.probes += 1
        return False


@contextlib.asynccontextmanager
async def running_task(coroutine):
    task = asyncio.ensure_future(coroutine)
    try:
        yield
    finally:
        task.cancel()
        await asyncio.wait((task,))


def test_no_loads_reports_or_probes_in_a_pause():
    async def scenario():
        engines = CountingEngines()
        view = FleetView()
        view.servers['s1'] = SERVER
        spec = EngineSpec(5, 50, (ModelSpec('m0', 40, 1),))
        term = OwnershipTerm('front-1', 1, now_s() + 1e6)
        loader = ServerLoader(SERVER, spec, engines, view, lambda: term)
        async with (
            running_task(loader.run()),
            running_task(Prober(view, engines).run()),
        ):
            await asyncio.sleep(0.1)
            assert loader.takes_loads
            view.health['s1'].on_unreachable(0)
            notice = ServerNotice(False, 1.0)
            view.notices.on_notice(SERVER, notice, now_s())
            reports_before = engines.reports
            key = AdapterKey('m0', 'a2')
            load_request = LoadRequest('s1', key, 1, 0, 5.0)
            began_s = now_s()
            assert await loader.load(load_request) == 0
            assert now_s() - began_s < 0.2
            assert not loader.takes_loads
            await asyncio.sleep(0.7)
            in_pause = engines.reports - reports_before, engines.probes
            await asyncio.sleep(0.8)
            assert loader.takes_loads
        return in_pause, engines

    in_pause, engines = asyncio.run(scenario())
    assert in_pause == (0, 0)
    assert not engines.orders
    assert engines.probes > 0


def test_a_load_that_ends_in_a_pause_sends_no_request():
    """The server asks for a pause while a request waits for its adapter."""

    class PausingEngines(FakeEngines):
        async def order(self, server, order):
            done = await super().order(server, order)
            notices.on_notice(server, ServerNotice(False, 9), now_s())
            return done

    async def scenario():
        server = ScriptedServer([OK])
        engines = PausingEngines()
        async with running_gateway(
            [server], CONFIGURATION, 'llm', engines, held={}
        ) as bench:
            nonlocal notices
            notices = bench.gateway.view.notices
            await until_loads_are_accepted(bench)
            sent = request('/streaming/x', b'x', Model=f'm0/{A1.adapter}')
            return await ask(bench.port, sent), server

    notices = None
    received, server = asyncio.run(scenario())
    assert status_of(received) == 503
    assert not server.seen


async def until_loads_are_accepted(bench):
    view = bench.gateway.view
    async with asyncio.timeout(10):
        while not view.takes_loads(view.servers['i-0'], now_s()):
            await asyncio.sleep(0.02)
