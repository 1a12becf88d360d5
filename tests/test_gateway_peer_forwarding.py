"""A gateway that reaches no server has other gateways serve its callers."""

import asyncio
import contextlib
import time
from typing import NamedTuple

import pytest
from gateway_parts import (
    CONFIGURATION,
    LIMITS,
    FakeEngines,
    gateway_at,
    server_entry,
    settings_at,
)
from raw_caller import ask, body_of, request, status_of
from scripted_server import (
    FAILED,
    HOST,
    NOT_RUN,
    STREAM_END,
    STREAM_HEAD,
    ScriptedServer,
    answer,
    chunk,
    events,
)

from emulator.waiting import free_ports
from wasabicross.gateway.changes import ConfigurationUpdate, InstanceEntry
from wasabicross.gateway.configuration import Configuration
from wasabicross.gateway.connections.connection_pool import (
    CONNECT_TIMEOUT_S,
    ConnectionPool,
)
from wasabicross.gateway.settings import Address
from wasabicross.platform.headers import REQUEST_ID

OK = answer(b'the answer')
STREAM = [STREAM_HEAD, chunk(events(1, 3)), STREAM_END]

#: Address of the gateway that callers ask, and of the others.
ASKED = HOST
PEERS = ('127.0.0.2', '127.0.0.3')

#: Address at which no server listens.
CLOSED_PORT = 1


class UnhealthyEngines(FakeEngines):
    """Fail every health probe."""

    async def is_healthy(self, server, path):
        """Report every server as failing."""
        return False


class Site(NamedTuple):
    """A gateway to ask, its peers and the servers that peers reach."""

    port: int
    asked: object
    peers: list


def entries(hosts):
    """Return the registrations of gateways."""
    return [
        InstanceEntry(f'front-{number}', host, 'dc')
        for number, host in enumerate(hosts)
    ]


def contents(servers, hosts, cfg=CONFIGURATION):
    """Return what the store holds for a gateway that reaches these ports."""
    return [
        ConfigurationUpdate(cfg),
        *(
            server_entry(f'{service}-{number}', service, port)
            for service in ('desk', 'llm')
            for number, port in enumerate(servers)
        ),
        *entries(hosts),
    ]


@contextlib.asynccontextmanager
async def running_site(
    servers,
    reaching=(True, False),
    listening=None,
    peer_cfgs=(),
    cfg=CONFIGURATION,
    connect_timeout_s=CONNECT_TIMEOUT_S,
):
    """Run a gateway that reaches no server, and peers.

    :param reaching: whether each peer reaches the servers.
    :param listening: hosts of the peers that run, all of them for None.
    :param peer_cfgs: configurations of the first peers, if they differ.
    :param cfg: configuration of the others.
    :param connect_timeout_s: time-out of a new connection, seconds.
    """
    ports = [await each.start() for each in servers]
    pools = []
    hosts = (ASKED, *PEERS[: len(reaching)])
    cut = [CLOSED_PORT] * len(ports)
    callers, ready, peer_port, forwarding = free_ports(4)
    async with contextlib.AsyncExitStack() as stack:
        running = []
        for number, host in enumerate(hosts):
            if number and listening is not None and host not in listening:
                continue
            reaches = number > 0 and reaching[number - 1]
            settings = settings_at(callers, ready, peer_port)._replace(
                instance=f'front-{number}',
                host=host,
                callers=Address(host, callers),
                ready=Address(host, ready),
                forwarding_port=forwarding,
            )
            pools.append(ConnectionPool(REQUEST_ID, connect_timeout_s))
            bench = await stack.enter_async_context(
                gateway_at(
                    settings,
                    contents(
                        ports if reaches else cut,
                        hosts,
                        dict(enumerate(peer_cfgs, start=1)).get(number, cfg),
                    ),
                    pools[-1],
                    UnhealthyEngines(),
                )
            )
            running.append(bench)
        try:
            yield Site(callers, running[0], running[1:])
        finally:
            for pool in pools:
                for host in hosts:
                    pool.drop_idle(host, forwarding)
                for port in ports:
                    pool.drop_idle(HOST, port)


def requests_of(path, count):
    """Return requests with ids of their own, as callers send them."""
    return [
        request(path, b'x', Request_Id=f'r{number}', Model='m0/a1')
        for number in range(count)
    ]


def run_site(scripts, *sent, **fields):
    """Send requests to the cut gateway; return answers, servers and time."""

    async def scenario():
        servers = [ScriptedServer(each) for each in scripts]
        async with running_site(servers, **fields) as site:
            answers = []
            started_s = time.monotonic()
            for each in sent:
                answers.append(await ask(site.port, each))
            took_s = time.monotonic() - started_s
        return answers, servers, took_s

    return asyncio.run(scenario())


@pytest.mark.parametrize('path', ['/safe/x', '/unsafe/x'])
def test_gateway_without_servers_has_a_peer_serve(path):
    answers, (server,), _ = run_site([[OK]], *requests_of(path, 5))
    assert [status_of(each) for each in answers] == [200] * 5
    assert {body_of(each) for each in answers} == {b'the answer'}
    assert len(server.seen) == 5


def test_stream_comes_whole_through_a_peer():
    answers, (server,), _ = run_site(
        [STREAM], request('/stream-resumable/x', b'x', Model='m0/a1')
    )
    assert status_of(answers[0]) == 200
    assert answers[0].count(b'data: ') == 3
    assert len(server.seen) == 1


def test_request_is_the_same_at_the_server():
    sent = request(
        '/unsafe/x', b'y' * 50000, **{'Time-Left-Ms': '700', 'Resumes': 'abc'}
    )
    _, (server,), _ = run_site([[OK]], sent)
    received = server.seen[0]
    assert received.body == b'y' * 50000
    assert received.fields['resumes'] == 'abc'
    assert 0 < int(received.fields['time-left-ms']) <= 700
    assert f'Request-Id: {received.fields["request-id"]}'.encode() in sent


def test_refusal_of_a_peer_is_the_answer():
    answers, (server,), _ = run_site([[NOT_RUN]], request('/unsafe/x', b'x'))
    assert status_of(answers[0]) == 503
    assert b'retry-after' in answers[0].lower()
    assert b'not-taken' not in answers[0].lower()


@pytest.mark.parametrize(('path', 'most'), [('/safe/x', 2), ('/unsafe/x', 1)])
def test_attempts_at_both_gateways_count_together(path, most):
    answers, servers, _ = run_site(
        [[FAILED], [FAILED], [FAILED]], request(path, b'x')
    )
    assert status_of(answers[0]) in {500, 502}
    assert sum(len(each.seen) for each in servers) <= most


@pytest.mark.parametrize('script', [['reset'], ['close']])
def test_outcome_at_a_peer_is_told_truly(script):
    answers, (server,), _ = run_site([script], request('/unsafe/x', b'x'))
    assert status_of(answers[0]) == 502
    assert len(server.seen) == 1


@pytest.mark.parametrize('reaching', [(), (False,), (False, False)])
def test_where_nobody_reaches_servers_callers_are_refused_at_once(reaching):
    answers, _, took_s = run_site(
        [[OK]], *requests_of('/unsafe/x', 4), reaching=reaching
    )
    assert {status_of(each) for each in answers} == {503}
    assert took_s < 2
    assert b'retry-after' in answers[-1].lower()


@pytest.mark.parametrize(
    ('reaching', 'listening'),
    [
        ((False, True), None),
        ((True, True), PEERS[1:]),
        # A gateway of an older version listens on no such port.
        ((True, True), PEERS[:1]),
    ],
)
def test_next_peer_is_asked_after_one_that_takes_nothing(reaching, listening):
    answers, (server,), _ = run_site(
        [[OK]],
        *requests_of('/unsafe/x', 4),
        reaching=reaching,
        listening=listening,
    )
    assert [status_of(each) for each in answers] == [200] * 4
    assert len(server.seen) == 4


def test_caller_that_leaves_ends_the_request_at_the_server():
    async def scenario():
        server = ScriptedServer([5.0, OK])
        async with running_site([server]) as site:
            reader, writer = await asyncio.open_connection(ASKED, site.port)
            writer.write(request('/stream-resumable/x', b'x', Model='m0/a1'))
            async with asyncio.timeout(3):
                while not server.seen:
                    await asyncio.sleep(0.01)
            writer.transport.abort()
            async with asyncio.timeout(0.5):
                await server.gone.wait()

    asyncio.run(scenario())


def test_stopping_peer_leaves_requests_to_others():
    async def scenario():
        server = ScriptedServer([OK])
        async with running_site([server], reaching=(True, True)) as site:
            sent = requests_of('/unsafe/x', 7)
            first = await ask(site.port, sent[0])
            site.peers[0].gateway.begin_stop()
            await asyncio.sleep(0.05)
            later = [await ask(site.port, each) for each in sent[1:]]
        return first, later

    first, later = asyncio.run(scenario())
    assert status_of(first) == 200
    assert [status_of(each) for each in later] == [200] * 6


@pytest.mark.parametrize(
    ('reaching', 'is_released'),
    [((True, False), True), ((False, False), False)],
)
def test_gateway_gives_up_groups_only_where_others_reach_their_servers(
    reaching, is_released
):
    async def scenario():
        server = ScriptedServer([OK])
        async with running_site([server], reaching=reaching) as site:
            records = site.asked.store.records
            async with asyncio.timeout(5):
                while not records:
                    await asyncio.sleep(0.01)
            # Both services have a server that isn't reached.
            for number, path in enumerate(('/unsafe/x', '/stream-resumable/x')):
                await ask(site.port, requests_of(path, 2)[number])
            await asyncio.sleep(1)
            return {each.is_released for each in records.values()}

    assert asyncio.run(scenario()) == {is_released}


@pytest.mark.parametrize(
    ('reaching', 'status'), [((True,), 503), ((True, True), 200)]
)
def test_peer_with_an_earlier_configuration_refuses_no_route_that_exists(
    reaching, status
):
    earlier = Configuration.from_parts(
        0, CONFIGURATION.routes[:1], CONFIGURATION.services, LIMITS
    )
    answers, _, _ = run_site(
        [[OK]],
        *requests_of('/unsafe/x', 3),
        reaching=reaching,
        peer_cfgs=(earlier,),
    )
    assert [status_of(each) for each in answers] == [status] * 3


def test_servers_get_no_field_that_gateways_add_for_each_other():
    _, (server,), _ = run_site([[OK]], request('/unsafe/x', b'x'))
    assert b'wasabicross' not in server.seen[0].head.lower()


def test_request_that_may_have_run_at_a_peer_is_not_sent_to_a_server():
    """Half of the servers are reached, so some requests are forwarded."""

    async def scenario():
        server = ScriptedServer([OK])
        port = await server.start()
        callers, ready, peer_port, forwarding = free_ports(4)
        peer = await asyncio.start_server(
            _reset_after_reading, PEERS[0], forwarding
        )
        settings = settings_at(callers, ready, peer_port)._replace(
            instance='front-0', forwarding_port=forwarding
        )
        pool = ConnectionPool(REQUEST_ID)
        async with gateway_at(
            settings,
            contents([CLOSED_PORT, port], (ASKED, PEERS[0])),
            pool,
            UnhealthyEngines(),
        ):
            received = await ask(callers, request('/unsafe/x', b'x'))
        pool.drop_idle(HOST, port)
        peer.close()
        return received, server

    received, server = asyncio.run(scenario())
    assert status_of(received) == 502
    assert not server.seen


async def _reset_after_reading(reader, writer):
    """Read a request and reset its connection."""
    await reader.readuntil(b'\r\n\r\n')
    writer.transport.abort()
