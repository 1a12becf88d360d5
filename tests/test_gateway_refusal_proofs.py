"""A caller is told that its request hasn't run only where that is proved.

Guards against a request that is refused with a promise and has run, or runs later.
"""

import asyncio
import contextlib

import pytest
from gateway_parts import (
    CONFIGURATION,
    OK,
    SharedScriptsServer,
    gateway_at,
    run_request,
    running_gateway,
    settings_at,
)
from raw_caller import ask, request, status_of
from scripted_server import (
    FAILED,
    HOST,
    NOT_RUN,
    STREAM_HEAD,
    ReceivedRequest,
    ScriptedServer,
    answer,
)
from test_gateway_peer_forwarding import (
    CLOSED_PORT,
    PEERS,
    UnhealthyEngines,
    contents,
    run_site,
)
from test_gateway_takeover import SAFE, attempts, first_server_is_silent

from emulator.waiting import free_ports
from wasabicross.gateway.configuration import Configuration
from wasabicross.gateway.connections.connection_pool import ConnectionPool
from wasabicross.platform.headers import REQUEST_ID

#: Statuses that callers take for such a promise.
PROMISES = frozenset((408, 421, 429, 503))

UNSAFE = request('/unsafe/x', b'x')
STREAM = request('/streaming/x', b'x', Model='m0/a1')
NO_CONNECTION = b'HTTP/1.1 503 Service Unavailable\r\nContent-Length: 0\r\n\r\n'

attempts = attempts

#: What a server does with a request that it has read, and whether it gives its
#: word that it hasn't run it.
SERVERS = {
    'its word': ([NOT_RUN], True),
    'its word, then the close': ([NOT_RUN, 'close'], True),
    'its word in a cut answer': (
        [NOT_RUN.replace(b'Length: 0', b'Length: 9'), 'close'],
        True,
    ),
    '429 with its word': (
        [answer(b'', b'429 Too Many Requests', b'Not-Run: 1\r\n')],
        True,
    ),
    'success': ([OK], False),
    'failed': ([FAILED], False),
    '408': ([answer(b'', b'408 Request Timeout')], False),
    '429': ([answer(b'', b'429 Too Many Requests')], False),
    '503': ([answer(b'', b'503 Service Unavailable')], False),
    '503 without mark and id': ([NO_CONNECTION], False),
    '503, cut': ([NOT_RUN.replace(b'Not-Run: 1\r\n', b''), 'close'], False),
    'a part of its word': ([NOT_RUN[:60], 'close'], False),
    'word of another request': (
        [NOT_RUN.replace(b'{id}', b'r0'), 'close'],
        False,
    ),
    'informational word': (
        [b'HTTP/1.1 103 Early Hints\r\nNot-Run: 1\r\n\r\n', 'close'],
        False,
    ),
    'no answer': ([b'nothing\r\n\r\n', 'close'], False),
    'reset': (['reset'], False),
    'close': (['close'], False),
    'silence': ([9.0], False),
    'head of a stream': ([STREAM_HEAD, 'reset'], False),
}


def is_promise(received):
    """Return whether an answer tells the caller that its request hasn't run."""
    return bool(received) and status_of(received) in PROMISES


async def until(condition):
    """Wait for a condition."""
    async with asyncio.timeout(5):
        while not condition():
            await asyncio.sleep(0.01)


@pytest.mark.parametrize('sent', [UNSAFE, STREAM], ids=['unsafe', 'stream'])
@pytest.mark.parametrize('server', SERVERS)
def test_a_promise_needs_the_word_of_the_server(server, sent):
    script, gives_word = SERVERS[server]
    service = 'llm' if sent is STREAM else 'desk'
    received, (server,), _ = run_request([[script]], sent, service=service)
    assert len(server.seen) == 1
    assert is_promise(received) == gives_word


@pytest.mark.parametrize('sent', [UNSAFE, STREAM], ids=['unsafe', 'stream'])
@pytest.mark.parametrize('server', SERVERS)
def test_a_promise_through_another_gateway_needs_it_too(server, sent):
    script, gives_word = SERVERS[server]
    (received,), (server,), _ = run_site([script], sent)
    assert len(server.seen) == 1
    assert is_promise(received) == gives_word


@pytest.mark.parametrize('second', SERVERS)
def test_the_word_of_the_first_server_is_not_that_of_the_second(second):
    script, gives_word = SERVERS[second]
    turns = [[NOT_RUN], script]

    async def scenario():
        servers = [SharedScriptsServer(turns), SharedScriptsServer(turns)]
        async with running_gateway(servers) as bench:
            return await ask(bench.port, UNSAFE), servers

    received, servers = asyncio.run(scenario())
    assert sum(len(each.seen) for each in servers) == 2
    assert is_promise(received) == gives_word


@pytest.mark.parametrize('is_kept', [False, True])
@pytest.mark.parametrize('end', ['reset', 'close'])
def test_a_connection_that_ends_while_a_request_is_written(end, is_kept):
    """The server has a part of the body, and the gateway no answer."""
    body = b'x' * 60_000

    async def scenario():
        server = HalfReadingServer(end)
        async with running_gateway([server]) as bench:
            if is_kept:
                await ask(bench.port, request('/unsafe/x', b'x'))
            sent = request('/unsafe/x', body, Request_Id='r2')
            received = await ask(bench.port, sent)
        return received, server

    received, server = asyncio.run(scenario())
    assert server.was_cut
    assert not is_promise(received)


class HalfReadingServer(ScriptedServer):
    """Answer short requests; end the connection in the middle of others."""

    def __init__(self, end):
        super().__init__([OK])
        self._end = end
        self.was_cut = False

    async def _answer_all(self, reader, writer):
        with contextlib.suppress(OSError, asyncio.IncompleteReadError):
            while True:
                head = await reader.readuntil(b'\r\n\r\n')
                received = ReceivedRequest(head, b'')
                length = int(received.fields['content-length'])
                await reader.readexactly(min(length, 1000))
                if length > 1000:
                    self.was_cut = True
                    await self._play([self._end], received, reader, writer)
                    return
                await self._play([OK], received, reader, writer)


@pytest.mark.parametrize('delay_s', [0, 0.79, 0.8, 0.81, 0.9, 1.2])
def test_a_request_refused_for_its_time_limit_is_not_sent_later(
    monkeypatch, delay_s
):
    """Its connection is there about when its time limit has passed."""
    received, server = ask_with_late_connection(monkeypatch, delay_s)
    assert is_promise(received) == (not server.seen)


@pytest.mark.parametrize('delay_s', [0, 0.05, 0.1, 0.11, 0.2, 0.4])
@pytest.mark.parametrize('step', ['end_unless_sent', 'end_at_stop'])
def test_a_request_refused_by_a_stop_is_not_sent_later(
    monkeypatch, step, delay_s
):
    """Its connection is there about when the gateway stops."""

    async def stop(bench):
        await asyncio.sleep(0.1)
        for handler in tuple(bench.gateway._caller_service._handlers):
            getattr(handler, step)()

    received, server = ask_with_late_connection(
        monkeypatch, delay_s, [0.3, OK], stop
    )
    assert is_promise(received) == (not server.seen)


def ask_with_late_connection(monkeypatch, delay_s, script=(0.3, OK), act=None):
    """Ask a gateway whose connections to servers take a time."""
    acquire = ConnectionPool.acquire
    under_way = []

    async def acquire_late(self, *args, **options):
        under_way.append(1)
        try:
            await asyncio.sleep(delay_s)
            return await acquire(self, *args, **options)
        finally:
            under_way.pop()

    monkeypatch.setattr(ConnectionPool, 'acquire', acquire_late)

    async def scenario():
        server = ScriptedServer(list(script))
        async with running_gateway([server]) as bench:
            asking = asyncio.ensure_future(ask(bench.port, UNSAFE))
            if act is not None:
                await until(lambda: bench.gateway._caller_service.active)
                await act(bench)
            received = await asking
            await until(lambda: not bench.gateway._caller_service.active)
            await until(lambda: not under_way)
        return received, server

    return asyncio.run(scenario())


@pytest.mark.parametrize('rest', [b'x' * 50, b'x' * 50 + UNSAFE])
@pytest.mark.parametrize('parted', [60, 200])
def test_a_request_that_was_not_read_in_time_is_not_sent_later(parted, rest):
    limits = CONFIGURATION.limits._replace(
        header_timeout_s=0.2, idle_timeout_s=0.2
    )
    cfg = Configuration.from_parts(
        1, CONFIGURATION.routes, CONFIGURATION.services, limits
    )
    sent = request('/unsafe/x', b'x' * 100)

    async def scenario():
        server = ScriptedServer([OK])
        async with running_gateway([server], cfg=cfg) as bench:
            reader, writer = await asyncio.open_connection(HOST, bench.port)
            writer.write(sent[: len(sent) - 50 if parted > 100 else parted])
            received = await reader.readuntil(b'\r\n\r\n')
            with contextlib.suppress(OSError):
                writer.write(rest)
                await reader.read()
            writer.close()
            await until(lambda: not bench.gateway._connections)
        return received, server

    received, server = asyncio.run(scenario())
    assert status_of(received) == 408
    assert not server.seen


def test_a_gateway_that_gives_up_on_another_promises_nothing():
    """The request runs there for longer than its caller waits."""
    sent = request('/unsafe/x', b'x', Time_Left_Ms='500')
    (received,), (server,), _ = run_site([[9.0]], sent)
    assert len(server.seen) == 1
    assert status_of(received) == 504


@pytest.mark.parametrize('mark', [b'', b'Server-Stamp: s1\r\n'])
@pytest.mark.parametrize('status', sorted(PROMISES))
def test_an_earlier_gateway_has_no_proof_of_what_it_passes_on(status, mark):
    """It may have it from a server that has run the request."""
    passed_on = gateway_answer(status, mark)
    assert status_of(ask_through(passed_on, UNSAFE)) == 502


@pytest.mark.parametrize('status', sorted(PROMISES))
def test_callers_that_may_repeat_get_what_an_earlier_gateway_passes_on(status):
    assert status_of(ask_through(gateway_answer(status), SAFE)) == status


def test_a_gateways_own_refusal_is_passed_on_without_its_proof():
    proved = gateway_answer(
        503, b'Retry-After: 0.25\r\nX-Wasabicross-Not-Run: no server\r\n'
    )
    received = ask_through(proved, UNSAFE)
    assert status_of(received) == 503
    assert b'retry-after: 0.25' in received.lower()
    assert b'not-run' not in received.lower()


def gateway_answer(status, fields=b''):
    """Return an answer of a gateway to a forwarded request."""
    return (
        b'HTTP/1.1 %d No\r\nRequest-Id: {id}\r\n' % status
        + fields
        + b'Content-Length: 0\r\n\r\n'
    )


def ask_through(passed_on, sent):
    """Ask a gateway that reaches no server, beside one that answers so."""

    async def scenario():
        peer = ScriptedServer([passed_on])
        callers, ready, peer_port, forwarding = free_ports(4)
        listener = await asyncio.start_server(peer._serve, PEERS[0], forwarding)
        settings = settings_at(callers, ready, peer_port)._replace(
            instance='front-0', forwarding_port=forwarding
        )
        pool = ConnectionPool(REQUEST_ID)
        store = contents([CLOSED_PORT], (HOST, PEERS[0]))
        async with gateway_at(settings, store, pool, UnhealthyEngines()):
            received = await ask(callers, sent)
        pool.drop_idle(PEERS[0], forwarding)
        listener.close()
        return received, peer

    received, peer = asyncio.run(scenario())
    assert len(peer.seen) == 1
    return received


@pytest.mark.parametrize(
    ('first', 'other', 'is_proved'),
    [
        # The first server refuses after the other one has it, or meanwhile.
        ([0.75, NOT_RUN], ['reset'], False),
        ([0.75, NOT_RUN], [0.05, 'close'], False),
        ([0.65, NOT_RUN], [0.1, 'reset'], False),
        ([0.65, NOT_RUN], [0.1, b'no answer\r\n\r\n'], False),
        ([0.65, NOT_RUN], [9.0], False),
        # Both give their word, in either order.
        ([0.75, NOT_RUN], [NOT_RUN], True),
        ([0.65, NOT_RUN], [0.1, NOT_RUN], True),
        # The first one has it, whatever the other one says.
        ([0.75, 'reset'], [NOT_RUN], False),
        ([0.65, 'reset'], [0.1, NOT_RUN], False),
    ],
    ids=[
        'reset, then refused',
        'closed, then refused',
        'refused, then reset',
        'refused, then no answer',
        'refused, then silent',
        'both, other first',
        'both, first first',
        'refused, then reset at the first',
        'reset at the first, then refused',
    ],
)
def test_the_word_of_one_server_speaks_for_no_other(
    attempts, first, other, is_proved
):
    """Two servers have a request, as the first one was silent on it."""
    outcome = first_server_is_silent(
        [[first], [other]], attempts, SAFE, service='desk'
    )
    assert [len(each.seen) for each in outcome.servers] == [1, 1]
    assert (status_of(outcome.received) in PROMISES) == is_proved


class HoldingLink:
    """A link that holds all bytes to a server until they are released."""

    def __init__(self, server):
        self._server = server
        self._released = asyncio.Event()
        self._held = []
        self._listener = None
        self.gone = asyncio.Event()

    @property
    def seen(self):
        """Return the requests that the server has read."""
        return self._server.seen

    @property
    def has_bytes(self):
        """Return whether bytes are held, or were."""
        return bool(self._held)

    async def start(self):
        """Listen; return the port."""
        self._port = await self._server.start()
        self._listener = await asyncio.start_server(self._carry, HOST, 0)
        return self._listener.sockets[0].getsockname()[1]

    def release(self):
        """Deliver the held bytes, also those of connections closed since."""
        self._released.set()

    async def _carry(self, reader, writer):
        self._held.append(await reader.read(65536))
        await self._released.wait()
        there, to_server = await asyncio.open_connection(HOST, self._port)
        to_server.write(self._held[-1])
        with contextlib.suppress(OSError):
            writer.write(await there.read(65536))
        to_server.close()
        writer.close()


@pytest.mark.parametrize('stop', [False, True])
def test_bytes_that_a_link_delivers_late_were_promised_not_to_run_by_nobody(
    stop,
):
    """The server runs the request after its caller's time is over."""
    sent = request('/unsafe/x', b'x', Time_Left_Ms='400')

    async def scenario():
        link = HoldingLink(ScriptedServer([OK]))
        async with running_gateway([link]) as bench:
            asking = asyncio.ensure_future(ask(bench.port, sent))
            await until(lambda: link.has_bytes)
            if stop:
                bench.gateway._caller_service.refuse_unsent()
                bench.gateway._caller_service.end_all()
            received = await asking
            link.release()
            await until(lambda: link.seen)
        return received

    assert status_of(asyncio.run(scenario())) == (502 if stop else 504)


def test_a_gateway_that_closes_a_held_forwarded_request_promises_nothing():
    """The other gateway reads it after the first one has given up."""

    async def scenario():
        server = ScriptedServer([OK])
        link = HoldingLink(server)
        callers, ready, peer_port, forwarding = free_ports(4)
        await link.start()
        listener = await asyncio.start_server(link._carry, PEERS[0], forwarding)
        settings = settings_at(callers, ready, peer_port)._replace(
            instance='front-0', forwarding_port=forwarding
        )
        pool = ConnectionPool(REQUEST_ID)
        store = contents([CLOSED_PORT], (HOST, PEERS[0]))
        sent = request('/unsafe/x', b'x', Time_Left_Ms='400')
        async with gateway_at(settings, store, pool, UnhealthyEngines()):
            received = await ask(callers, sent)
            link.release()
            await until(lambda: link.seen)
        listener.close()
        return received

    assert status_of(asyncio.run(scenario())) == 504
