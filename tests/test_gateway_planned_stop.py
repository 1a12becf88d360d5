"""Requests around each phase of a planned stop of a gateway."""

import asyncio
import contextlib
import time

import pytest
from gateway_parts import (
    A1,
    CONFIGURATION,
    OK,
    SharedScriptsServer,
    running_gateway,
)
from raw_caller import ask, body_of, request, status_of
from scripted_server import (
    HOST,
    NOT_RUN,
    STREAM_END,
    STREAM_HEAD,
    ScriptedServer,
    answer,
    chunk,
    events,
)

from wasabicross.gateway.configuration import CallerLimits, Configuration
from wasabicross.gateway.stop_phases import StopPhases

MODEL = f'm0/{A1.adapter}'
PATHS = ('/safe/x', '/unsafe/x', '/streaming/x', '/stream-resumable/x')

#: Answers take longer than any time to stop, and few requests time out.
SLOW = 9.0
LONG = Configuration.from_parts(
    CONFIGURATION.version,
    tuple(
        each._replace(timeout_s=30, target_s=20, gap_s=20)
        for each in CONFIGURATION.routes
    ),
    CONFIGURATION.services,
    CallerLimits(4096, 65536, 5.0, 5.0),
)


class Stop:
    """A stop that has begun; the process is gone when the gateway ends."""

    def __init__(self, bench, grace_s):
        self._bench = bench
        self._started_s = time.monotonic()
        self._grace_s = grace_s
        bench.gateway.begin_stop()
        self._end = asyncio.ensure_future(self._run_to_end())

    async def _run_to_end(self):
        await asyncio.wait((self._bench.task,))
        took_s = time.monotonic() - self._started_s
        for task in asyncio.all_tasks():
            if task.get_coro().__name__ == 'on_connection':
                task.cancel()
        return took_s / self._grace_s

    async def reach(self, share):
        """Wait until a share of the time to stop is over."""
        left_s = self._started_s + share * self._grace_s - time.monotonic()
        await asyncio.sleep(left_s)

    async def end(self):
        """Wait for the end; return the share of the time that it took."""
        async with asyncio.timeout(self._grace_s + 3):
            return await self._end


def sent_to(path, **fields):
    """Return a request on a route, on streaming ones for an adapter."""
    if 'stream' in path:
        fields = {'Model': MODEL, **fields}
    return request(path, b'x', Time_Left_Ms='20000', **fields)


def serving(server, path, grace_s, **parts):
    """Run a gateway with one server for a route."""
    service = 'llm' if 'stream' in path else 'desk'
    return running_gateway(
        [server], service=service, cfg=LONG, grace_s=grace_s, **parts
    )


async def until_seen(server, count=1):
    """Wait until a server has received requests."""
    async with asyncio.timeout(3):
        while len(server.seen) < count:
            await asyncio.sleep(0.005)


def is_framed_as_whole(received):
    """Tell whether an answer ends as a complete one does."""
    head, _, body = received.partition(b'\r\n\r\n')
    if b'chunked' in head.lower():
        return body.endswith(STREAM_END)
    length = head.lower().partition(b'content-length: ')[2]
    return bool(length) and len(body) == int(length.split(b'\r\n')[0])


@pytest.mark.parametrize('grace_s', [0.1, 0.5, 1.0, 2.0, 3.0, 8.0, 60.0])
def test_the_phases_of_a_stop_fit_into_its_time(grace_s):
    phases = StopPhases.from_grace(grace_s)
    assert 0 < phases.check_interval_s < phases.refuse_s
    assert phases.refuse_s < phases.last_send_s < phases.end_s
    assert phases.end_s > grace_s * 5 / 6
    ending_s = phases.answers_s + phases.release_s
    assert phases.end_s + ending_s < grace_s


@pytest.mark.parametrize('grace_s', [0.5, 1.0, 2.0, 3.0])
@pytest.mark.parametrize(
    'sent', [b'', b'POST /unsafe/x HTT', sent_to(PATHS[1])]
)
def test_a_stop_ends_before_the_process_is_killed(grace_s, sent):
    async def scenario():
        server = ScriptedServer([SLOW])
        async with serving(server, '/unsafe/x', grace_s) as bench:
            _, writer = await asyncio.open_connection(HOST, bench.port)
            writer.write(sent)
            await asyncio.sleep(0.05)
            took = await Stop(bench, grace_s).end()
            writer.close()
        return took

    assert asyncio.run(scenario()) < 1


@pytest.mark.parametrize('path', PATHS)
@pytest.mark.parametrize('grace_s', [1.0, 2.0])
def test_a_request_without_an_answer_at_the_end_of_a_stop_is_told(
    path, grace_s
):
    """A server is at work on it, so it isn't promised not to run."""

    async def scenario():
        server = ScriptedServer([SLOW])
        async with serving(server, path, grace_s) as bench:
            asked = asyncio.ensure_future(ask(bench.port, sent_to(path)))
            await until_seen(server)
            stop = Stop(bench, grace_s)
            await stop.reach(0.8)
            assert not asked.done()
            received = await asked
            assert await stop.end() < 1
            await server.gone.wait()
        return received, server

    received, server = asyncio.run(scenario())
    assert status_of(received) == 502
    assert is_framed_as_whole(received)
    assert len(server.seen) == 1


@pytest.mark.parametrize('path', ['/safe/x', '/stream-resumable/x'])
@pytest.mark.parametrize('again', [[SLOW], [0.3, NOT_RUN]])
def test_a_retry_without_an_answer_at_the_end_of_a_stop_is_told(path, again):
    """The first server may have run it, whatever the second one says."""
    grace_s = 2.0

    async def scenario():
        scripts = [[0.7 * grace_s, 'reset'], again]
        servers = [SharedScriptsServer(scripts) for _ in range(2)]
        service = 'llm' if 'stream' in path else 'desk'
        async with running_gateway(
            servers, service=service, cfg=LONG, grace_s=grace_s
        ) as bench:
            asked = asyncio.ensure_future(ask(bench.port, sent_to(path)))
            while not any(each.seen for each in servers):
                await asyncio.sleep(0.005)
            stop = Stop(bench, grace_s)
            received = await asked
            assert await stop.end() < 1
        return received, sum(len(each.seen) for each in servers)

    received, arrivals = asyncio.run(scenario())
    assert status_of(received) == 502
    assert is_framed_as_whole(received)
    assert arrivals == 2


@pytest.mark.parametrize('grace_s', [1.0, 3.0])
@pytest.mark.parametrize('path', PATHS)
def test_a_late_request_on_a_kept_connection_is_refused(path, grace_s):
    """It would be cut soon, so no server gets it."""

    async def scenario():
        server = ScriptedServer([SLOW])
        async with serving(server, path, grace_s) as bench:
            reader, writer = await asyncio.open_connection(HOST, bench.port)
            sent = sent_to(path)
            writer.write(sent[:20])
            stop = Stop(bench, grace_s)
            await stop.reach(0.4)
            writer.write(sent[20:])
            received = await reader.read(65536)
            assert await stop.end() < 1
            writer.close()
        return received, server

    received, server = asyncio.run(scenario())
    assert status_of(received) == 503
    assert b'retry-after: ' in received.lower()
    assert is_framed_as_whole(received)
    assert not server.seen


@pytest.mark.parametrize('split', [-1, 30])
@pytest.mark.parametrize('share', [0.28, 0.32, 0.7])
def test_a_request_whose_end_comes_around_the_refusals_is_answered(
    split, share
):
    """Its head or its body is still on the way at that moment."""
    grace_s = 1.0

    async def scenario():
        server = ScriptedServer([0.05, OK])
        async with serving(server, '/unsafe/x', grace_s) as bench:
            reader, writer = await asyncio.open_connection(HOST, bench.port)
            sent = sent_to('/unsafe/x')
            writer.write(sent[:split])
            stop = Stop(bench, grace_s)
            await stop.reach(share)
            writer.write(sent[split:])
            received = await reader.read(65536)
            assert await stop.end() < 1
            writer.close()
        return received, server

    received, server = asyncio.run(scenario())
    assert is_framed_as_whole(received)
    assert status_of(received) == (200 if server.seen else 503)


@pytest.mark.parametrize(
    'fields', [{}, {'Last_Event_Id': '3', 'Resumes': 'r0'}]
)
def test_a_request_that_waits_for_its_adapter_at_the_end_is_refused(
    monkeypatch, fields
):
    grace_s = 2.0
    path = '/stream-resumable/x'

    async def scenario():
        server = ScriptedServer([SLOW])
        waits = asyncio.Event()

        async def load(_host, _load_request):
            waits.set()
            await asyncio.sleep(SLOW)

        async with serving(server, path, grace_s, held={}) as bench:
            monkeypatch.setattr(bench.gateway._links, 'load', load)
            asked = asyncio.ensure_future(
                ask(bench.port, sent_to(path, **fields))
            )
            async with asyncio.timeout(3):
                await waits.wait()
            stop = Stop(bench, grace_s)
            await stop.reach(0.75)
            assert not asked.done()
            received = await asked
            assert await stop.end() < 1
        return received, server

    received, server = asyncio.run(scenario())
    assert status_of(received) == 503
    assert b'retry-after: ' in received.lower()
    assert not server.seen


def test_a_request_whose_adapter_is_loaded_at_the_end_is_not_sent(monkeypatch):
    """It would be cut soon, and another gateway can still serve it."""
    grace_s = 6.0

    async def scenario():
        server = ScriptedServer([SLOW])
        waits = asyncio.Event()

        async def load(_host, _load_request):
            waits.set()
            await asyncio.sleep(0.875 * grace_s)
            return 1

        path = '/streaming/x'
        async with serving(server, path, grace_s, held={}) as bench:
            monkeypatch.setattr(bench.gateway._links, 'load', load)
            asked = asyncio.ensure_future(
                ask(bench.port, sent_to(path), wait_s=12)
            )
            async with asyncio.timeout(3):
                await waits.wait()
            stop = Stop(bench, grace_s)
            received = await asked
            assert await stop.end() < 1
        return received, server

    received, server = asyncio.run(scenario())
    assert status_of(received) == 503
    assert not server.seen


@pytest.mark.parametrize(('grace_s', 'share'), [(2.0, 0.2), (6.0, 0.86)])
def test_a_request_that_its_server_refuses_late_is_not_sent_again(
    grace_s, share
):
    is_late = share > 0.8

    async def scenario():
        server = ScriptedServer([share * grace_s, NOT_RUN], [OK])
        others = [ScriptedServer([OK]), ScriptedServer([OK])]
        servers = [server, *others]
        async with running_gateway(servers, cfg=LONG, grace_s=grace_s) as bench:
            view = bench.gateway.view
            aside = {name: view.servers.pop(name) for name in ('i-1', 'i-2')}
            asked = asyncio.ensure_future(ask(bench.port, sent_to('/unsafe/x')))
            await until_seen(server)
            view.servers.update(aside)
            stop = Stop(bench, grace_s)
            received = await asked
            assert await stop.end() < 1
        return received, sum(len(each.seen) for each in others)

    received, others_seen = asyncio.run(scenario())
    assert status_of(received) == (503 if is_late else 200)
    assert others_seen == (not is_late)


@pytest.mark.parametrize('path', ['/streaming/x', '/stream-resumable/x'])
def test_a_stream_that_outlasts_the_stop_is_cut_visibly_and_late(path):
    grace_s = 2.0
    script = [STREAM_HEAD, chunk(events(1, 2)), SLOW, STREAM_END]

    async def scenario():
        server = ScriptedServer(script)
        async with serving(server, path, grace_s) as bench:
            stop = Stop(bench, grace_s)
            await stop.reach(0.25)
            asked = asyncio.ensure_future(ask(bench.port, sent_to(path)))
            await until_seen(server)
            await stop.reach(5 / 6)
            assert not asked.done()
            received = await asked
            assert await stop.end() < 1
        return received

    received = asyncio.run(scenario())
    assert body_of(received) == events(1, 2)
    assert not is_framed_as_whole(received)


@pytest.mark.parametrize('has_cfg', [False, True])
@pytest.mark.parametrize('signals', [1, 3])
def test_a_stop_without_a_configuration_or_asked_for_again(has_cfg, signals):
    grace_s = 1.0

    async def scenario():
        server = ScriptedServer([0.3, OK])
        async with running_gateway(
            [server], cfg=LONG if has_cfg else None, grace_s=grace_s
        ) as bench:
            asked = asyncio.ensure_future(ask(bench.port, sent_to('/unsafe/x')))
            if has_cfg:
                await until_seen(server)
            stop = Stop(bench, grace_s)
            for _ in range(signals - 1):
                bench.gateway.begin_stop()
                await asyncio.sleep(0.05)
            return await asked, await stop.end()

    received, took = asyncio.run(scenario())
    assert status_of(received) == (200 if has_cfg else 503)
    assert took < 1


def test_a_stop_waits_until_a_slow_caller_has_its_answer(monkeypatch):
    """The end of the answer still waits for room in the socket's buffer."""
    body = b'x' * 12_000_000

    async def drain(writer):
        await asyncio.sleep(0)

    async def scenario():
        server = ScriptedServer([answer(body)])
        async with serving(server, '/unsafe/x', 4.0) as bench:
            reader, writer = await asyncio.open_connection(
                HOST, bench.port, limit=1024
            )
            monkeypatch.setattr(asyncio.StreamWriter, 'drain', drain)
            stop = Stop(bench, 4.0)
            writer.write(sent_to('/unsafe/x'))
            async with asyncio.timeout(3):
                while not server.seen or bench.gateway._caller_service.active:
                    await asyncio.sleep(0.01)
            await stop.reach(0.6)
            assert not bench.task.done()
            received = b''
            with contextlib.suppress(ConnectionError):
                while got := await reader.read(1_000_000):
                    received += got
            assert await stop.end() < 1
            writer.close()
        return received

    received = asyncio.run(scenario())
    assert status_of(received) == 200
    assert len(body_of(received)) == len(body)
