"""Copies of a refusal that cross what a gateway does next with the request.

Guards against a run that is told as not run, a run after a refusal, and a second
one of a request that may run once.
"""

import asyncio

import pytest
from gateway_parts import OK, PATIENT
from raw_caller import ask, body_of, request, status_of
from scripted_server import (
    HOST,
    STREAM_END,
    STREAM_HEAD,
    ScriptedServer,
    chunk,
    events,
)
from test_gateway_copied_refusals import (
    NAMES,
    REFUSALS,
    gateway_before,
    service_at,
)
from test_gateway_peer_forwarding import ASKED, PEERS, running_site

from wasabicross.gateway.configuration import Configuration
from wasabicross.gateway.peer_forwarding import peer_choice

STREAM = [STREAM_HEAD, chunk(events(1, 3)), STREAM_END]

#: Where copies of refusals come: directly behind them in one segment, split over
#: two segments, a moment later, or where the next request of anyone has come.
COPIES = ('behind', 'split', 'idle', 'next')

ONCE = ('/unsafe/x', '/streaming/x')
OFTEN = ('/safe/x', '/stream-resumable/x')
PATHS = ONCE + OFTEN

#: Bytes of a split copy in its first segment.
SPLIT = 40
COPY_DELAY_S = 0.02

#: How long a copy comes before the answer to the request that it meets.
BEFORE_ANSWER_S = 0.1

#: How long a server is watched after an answer for runs that were told not to be.
AFTERWARDS_S = 0.2

#: Statuses by which a caller takes it that its request hasn't run.
PROMISES = frozenset((408, 421, 429, 503))

#: Time to stop of a gateway, and a run that lasts longer.
GRACE_S = 1.2
LONG_RUN_S = 2.0


class CrossingServer(ScriptedServer):
    """Refuse some requests, send copies of the refusals, and count runs.

    :param refusal: the refusal.
    :param copies: where its copy comes.
    :param script: the answer of a run.
    :param plan: what becomes of each request, `refuse`, `run` or `hang`; the last
        one is repeated.
    """

    def __init__(self, refusal, copies, script, plan=('refuse', 'run')):
        super().__init__(script)
        self._refusal = refusal
        self._copies = copies
        self._plan = plan
        self._due = []
        #: Ids of the requests that it has run.
        self.runs = []
        #: Called with the number of each request, from 1, as it comes.
        self.on_request = None

    async def _play(self, script, seen, reader, writer):
        number = len(self.seen)
        if self.on_request is not None:
            self.on_request(number)
        step = self._plan[min(number, len(self._plan)) - 1]
        request_id = seen.fields['request-id']
        if step == 'refuse':
            self._refuse(request_id, writer)
            return True
        self.runs.append(request_id)
        was_due = self._send_due()
        if step == 'hang':
            script = [9.0]
        elif was_due:
            await asyncio.sleep(BEFORE_ANSWER_S)
        return await super()._play(script, seen, reader, writer)

    def _refuse(self, request_id, writer):
        refusal = self._refusal.replace(b'{id}', request_id.encode())
        loop = asyncio.get_running_loop()
        if self._copies == 'behind':
            writer.write(refusal * 2)
        elif self._copies == 'split':
            writer.write(refusal + refusal[:SPLIT])
            loop.call_later(COPY_DELAY_S, writer.write, refusal[SPLIT:])
        else:
            writer.write(refusal)
            if self._copies == 'idle':
                loop.call_later(COPY_DELAY_S, writer.write, refusal)
            else:
                self._due.append((writer, refusal))

    def _send_due(self):
        """Send the copies that are due; return whether there were any."""
        due, self._due = self._due, []
        for writer, refusal in due:
            writer.write(refusal)
        return bool(due)


def script_of(path):
    return STREAM if 'stream' in path else [OK]


def is_whole(received, path):
    """Tell whether a caller got the whole answer of a run."""
    expected = events(1, 3) if 'stream' in path else b'the answer'
    return status_of(received) == 200 and body_of(received) == expected


async def until(condition):
    """Wait for a condition."""
    async with asyncio.timeout(5):
        while not condition():
            await asyncio.sleep(0.01)


def at_one_address(port, count):
    """Return entries of processes that came to one address one by one."""
    return {f'i-{number}': port for number in range(count)}


#: Where the copy comes and which refusal it is; one that isn't read as an answer
#: is the same for all.
CASES = [
    pytest.param(copies, refusal, id=f'{copies}-{name}')
    for copies in COPIES
    for refusal, name in zip(REFUSALS, NAMES, strict=True)
    if copies in {'idle', 'next'} or name == '503'
]


def for_all(paths):
    """Run a test for kinds of requests, refusals and copies."""

    def decorate(test):
        with_cases = pytest.mark.parametrize(('copies', 'refusal'), CASES)
        return pytest.mark.parametrize('path', paths)(with_cases(test))

    return decorate


@for_all(PATHS)
def test_copy_crosses_the_end_of_a_refused_request(path, copies, refusal):
    """The next request comes to the connection of the refusal."""

    async def scenario():
        server = CrossingServer(refusal, copies, script_of(path))
        listed = at_one_address(await server.start(), 1)
        async with gateway_before(listed, service_at(path), PATIENT) as bench:
            first, second = [
                await ask(bench.port, request(path, b'x', Request_Id=each))
                for each in ('r1', 'r2')
            ]
            await asyncio.sleep(AFTERWARDS_S)
        return first, second, server.runs

    first, second, runs = asyncio.run(scenario())
    assert status_of(first) == 503
    assert is_whole(second, path)
    assert runs == ['r2']


@for_all(PATHS)
def test_copy_crosses_the_request_sent_again_to_its_address(
    path, copies, refusal
):
    async def scenario():
        server = CrossingServer(refusal, copies, script_of(path))
        listed = at_one_address(await server.start(), 2)
        async with gateway_before(listed, service_at(path), PATIENT) as bench:
            received = await ask(bench.port, request(path, b'x'))
            await asyncio.sleep(AFTERWARDS_S)
        return received, server.runs

    received, runs = asyncio.run(scenario())
    assert runs == ['r1']
    assert is_whole(received, path)


@for_all(ONCE)
def test_copy_crosses_two_refusals(path, copies, refusal):
    """Both attempts are refused, so there are two copies."""

    async def scenario():
        plan = ('refuse', 'refuse', 'run')
        server = CrossingServer(refusal, copies, script_of(path), plan)
        listed = at_one_address(await server.start(), 3)
        async with gateway_before(listed, service_at(path), PATIENT) as bench:
            received = await ask(bench.port, request(path, b'x'))
            await asyncio.sleep(AFTERWARDS_S)
        return received, server.runs

    received, runs = asyncio.run(scenario())
    assert runs == ['r1']
    assert is_whole(received, path)


@for_all(OFTEN)
def test_copy_crosses_a_takeover(path, copies, refusal):
    """The first server hangs, the second one refuses, and a third one runs."""

    async def scenario():
        plan = ('hang', 'refuse', 'run')
        server = CrossingServer(refusal, copies, script_of(path), plan)
        listed = at_one_address(await server.start(), 3)
        cfg = _with_servers(3)
        async with gateway_before(listed, service_at(path), cfg) as bench:
            received = await ask(bench.port, request(path, b'x'))
            await asyncio.sleep(AFTERWARDS_S)
        return received, server.runs

    received, runs = asyncio.run(scenario())
    assert runs == ['r1', 'r1']
    assert is_whole(received, path)


@for_all(OFTEN)
def test_copy_makes_no_silent_server_one_that_did_not_run_it(
    path, copies, refusal
):
    """Two servers hang, which is as many as may have it."""

    async def scenario():
        plan = ('refuse', 'hang', 'hang', 'run')
        server = CrossingServer(refusal, copies, script_of(path), plan)
        listed = at_one_address(await server.start(), 4)
        cfg = _with_time_limit(2)
        async with gateway_before(listed, service_at(path), cfg) as bench:
            received = await ask(bench.port, request(path, b'x'))
            await asyncio.sleep(AFTERWARDS_S)
        return received, server.runs

    received, runs = asyncio.run(scenario())
    assert runs == ['r1', 'r1']
    assert status_of(received) == 504


def _with_time_limit(timeout_s):
    """Return a configuration with another time limit of all routes."""
    routes = tuple(
        each._replace(timeout_s=timeout_s) for each in PATIENT.routes
    )
    return Configuration.from_parts(
        PATIENT.version, routes, PATIENT.services, PATIENT.limits
    )


def _with_servers(count):
    """Return a configuration whose repeatable requests may use more servers."""
    routes = tuple(
        each._replace(max_servers=count) if each.max_servers > 1 else each
        for each in PATIENT.routes
    )
    return Configuration.from_parts(
        PATIENT.version, routes, PATIENT.services, PATIENT.limits
    )


@pytest.mark.parametrize('leaves_at', [1, 2])
@for_all(PATHS)
def test_copy_crosses_the_caller_that_leaves(path, copies, refusal, leaves_at):
    """It leaves as the first server refuses, or as the second one runs.

    A server may get the request once as long as the gateway doesn't know.
    """

    async def scenario():
        plan = ('refuse', *['hang'] * (leaves_at - 1), 'run')
        server = CrossingServer(refusal, copies, script_of(path), plan)
        listed = at_one_address(await server.start(), 4)
        async with gateway_before(listed, service_at(path), PATIENT) as bench:
            _, writer = await asyncio.open_connection(HOST, bench.port)
            server.on_request = lambda number: (
                writer.transport.abort() if number == leaves_at else None
            )
            writer.write(request(path, b'x'))
            await until(lambda: len(server.seen) >= leaves_at)
            sent = request(path, b'x', Request_Id='r2')
            received = await ask(bench.port, sent)
            await asyncio.sleep(AFTERWARDS_S)
        return received, server.runs

    received, runs = asyncio.run(scenario())
    assert is_whole(received, path)
    assert runs.count('r1') <= 1
    assert runs.count('r2') == 1


@pytest.mark.parametrize('stops_at', [1, 2])
@for_all(PATHS)
def test_copy_crosses_a_stop(path, copies, refusal, stops_at):
    """The stop begins as the first server refuses, or as the second one runs."""

    async def scenario():
        server = CrossingServer(refusal, copies, script_of(path))
        listed = at_one_address(await server.start(), 2)
        async with gateway_before(listed, service_at(path), PATIENT) as bench:
            server.on_request = lambda number: (
                bench.gateway.begin_stop() if number == stops_at else None
            )
            received = await ask(bench.port, request(path, b'x'))
            await asyncio.sleep(AFTERWARDS_S)
        return received, server.runs

    received, runs = asyncio.run(scenario())
    assert runs == ['r1']
    assert is_whole(received, path)


@for_all(ONCE)
def test_copy_crosses_the_end_of_the_time_to_stop(path, copies, refusal):
    """The run lasts longer than the process; nobody tells that it hasn't run."""

    async def scenario():
        script = [LONG_RUN_S, *script_of(path)]
        server = CrossingServer(refusal, copies, script)
        listed = at_one_address(await server.start(), 3)
        async with gateway_before(
            listed, service_at(path), PATIENT, GRACE_S
        ) as bench:
            server.on_request = lambda number: (
                bench.gateway.begin_stop() if number == 1 else None
            )
            received = await ask(bench.port, request(path, b'x'))
            await asyncio.sleep(AFTERWARDS_S)
        return received, server.runs

    received, runs = asyncio.run(scenario())
    assert runs == ['r1']
    assert not received or status_of(received) not in PROMISES


@pytest.mark.parametrize('peers', [1, 2])
@for_all(PATHS)
def test_copy_crosses_a_request_that_is_forwarded_again(
    monkeypatch, path, copies, refusal, peers
):
    """A gateway declines it after the refusal, and gets it a second time."""
    if peers == 1:
        monkeypatch.setattr(peer_choice, '_DECLINED_S', 0)

    async def scenario():
        server = CrossingServer(refusal, copies, script_of(path))
        async with running_site(
            [server], reaching=(True,) * peers, peer_cfgs=(PATIENT,) * peers
        ) as site:
            received = await ask(site.port, request(path, b'x'))
            await asyncio.sleep(AFTERWARDS_S)
        return received, server.runs

    received, runs = asyncio.run(scenario())
    assert runs == ['r1']
    assert is_whole(received, path)


@for_all(ONCE)
def test_copy_crosses_two_handlers_of_a_gateway_that_others_forward_to(
    path, copies, refusal
):
    """The gateway has refused the request before it is forwarded there."""

    async def scenario():
        server = CrossingServer(refusal, copies, script_of(path))
        async with running_site([server]) as site:
            sent = request(path, b'x')
            first = await ask(site.port, sent, host=PEERS[0])
            second = await ask(site.port, sent, host=ASKED)
            await asyncio.sleep(AFTERWARDS_S)
        return first, second, server.runs

    first, second, runs = asyncio.run(scenario())
    assert status_of(first) == 503
    assert runs == ['r1']
    assert is_whole(second, path)
