"""Requests that wait or are answered while what they need goes."""

import asyncio

import pytest
from gateway_parts import A1, CONFIGURATION, FakeEngines, running_gateway
from raw_caller import ask, body_of, request, status_of
from scripted_server import (
    NOT_RUN,
    STREAM_END,
    STREAM_HEAD,
    ScriptedServer,
    chunk,
    events,
)

from wasabicross.gateway import unanswered
from wasabicross.gateway.changes import (
    AdapterVersionUpdate,
    ConfigurationUpdate,
    ServerEntryUpdate,
    ServerRemoval,
)
from wasabicross.gateway.clock import now_s
from wasabicross.gateway.configuration import CallerLimits, Configuration

#: Time for which a request waits, or its answer pauses, and after which the
#: change comes.
WAIT_S = 0.3
CHANGE_AFTER_S = 0.1

SENT = request('/stream-resumable/x', b'x', Model=f'm0/{A1.adapter}')
ANSWER = [STREAM_HEAD, chunk(events(1, 2)), WAIT_S]
REST = [chunk(events(3, 5)), STREAM_END]
RESUMED = [STREAM_HEAD, *REST]

NARROW = CallerLimits(1, 1, 0.01, 0.01)


class SlowEngines(FakeEngines):
    """Engines on which a load takes some time."""

    async def order(self, server, order):
        """Execute a load or unload order."""
        self.is_asked = True
        await asyncio.sleep(WAIT_S)
        return await super().order(server, order)


def with_routes(change_route, services=None, limits=CONFIGURATION.limits):
    """Return a newer configuration with other routes."""
    routes = [change_route(route) for route in CONFIGURATION.routes]
    return ConfigurationUpdate(
        Configuration.from_parts(
            2,
            tuple(route for route in routes if route),
            CONFIGURATION.services if services is None else services,
            limits,
        )
    )


def without_server(view):
    """Return the removal of the only servers."""
    return [ServerRemoval(each) for each in view.servers]


def changed_servers(**fields):
    """Return a function that returns changed entries of all servers."""
    return lambda view: [
        ServerEntryUpdate(server._replace(**fields))
        for server in view.servers.values()
    ]


CHANGES = {
    'route': lambda _: [with_routes(lambda _route: None)],
    'service': lambda _: [with_routes(lambda route: route, services={})],
    'route and service': lambda _: [with_routes(lambda _route: None, {})],
    'short time': lambda _: [
        with_routes(lambda route: route._replace(timeout_s=0.01, target_s=0.01))
    ],
    'not resumable': lambda _: [
        with_routes(
            lambda route: route._replace(is_resumable=False, max_servers=1)
        )
    ],
    'limits': lambda _: [with_routes(lambda route: route, limits=NARROW)],
    'adapter version': lambda _: [AdapterVersionUpdate(A1, 2)],
    'server': without_server,
    'leaving': changed_servers(is_leaving=True),
    'restarted': changed_servers(start_ms=5, held={}),
    'other service': changed_servers(service='desk', start_ms=5),
    'no model': changed_servers(models=frozenset(), held={}),
}


@pytest.fixture(params=CHANGES)
def changes(request):
    """Return a function that returns changes of what a request needs."""
    return CHANGES[request.param]


@pytest.fixture
def lines(monkeypatch):
    """Collect what is logged of requests without an answer."""
    logged = []
    monkeypatch.setattr(
        unanswered, 'log_event', lambda event, **fields: logged.append(fields)
    )
    return logged


async def until(condition):
    """Wait for a condition."""
    async with asyncio.timeout(5):
        while not condition():
            await asyncio.sleep(0.01)


async def ask_around(bench, has_begun, changes):
    """Send a request; apply changes when it has begun to wait."""
    asking = asyncio.ensure_future(ask(bench.port, SENT))
    await until(has_begun)
    await asyncio.sleep(CHANGE_AFTER_S)
    view = bench.gateway.view
    for change in changes(view):
        view.apply(change, now_s())
    return await asking


def test_a_request_that_waits_for_its_adapter_is_answered(changes, lines):
    async def scenario():
        server = ScriptedServer([STREAM_HEAD, chunk(events(1, 5)), STREAM_END])
        engines = SlowEngines()
        async with running_gateway(
            [server], service='llm', engines=engines, held={}
        ) as bench:
            view = bench.gateway.view
            await until(lambda: view.takes_loads(view.servers['i-0'], now_s()))
            return await ask_around(
                bench, lambda: hasattr(engines, 'is_asked'), changes
            )

    received = asyncio.run(scenario())
    assert status_of(received) in {200, 503}
    if status_of(received) == 200:
        assert body_of(received) == events(1, 5)
        assert received.endswith(STREAM_END)
    assert not lines


def test_an_answer_that_has_begun_is_ended(changes, lines):
    async def scenario():
        server = ScriptedServer([*ANSWER, *REST])
        async with running_gateway([server], service='llm') as bench:
            return await ask_around(bench, lambda: server.seen, changes)

    received = asyncio.run(scenario())
    assert body_of(received) == events(1, 5)
    assert received.endswith(STREAM_END)
    assert not lines


@pytest.mark.parametrize('end', ['close', 'reset'])
@pytest.mark.parametrize(
    'name', ['route', 'service', 'short time', 'not resumable', 'limits']
)
def test_a_stream_that_breaks_after_a_change_goes_on(name, end, lines):
    async def scenario():
        servers = [ScriptedServer([*ANSWER, end]), ScriptedServer(RESUMED)]
        async with running_gateway(servers, service='llm') as bench:
            view = bench.gateway.view
            view.own.requests['i-1'] = 8
            asking = asyncio.ensure_future(
                ask_around(bench, lambda: servers[0].seen, CHANGES[name])
            )
            await until(lambda: servers[0].seen)
            view.own.requests['i-1'] = 0
            return await asking

    received = asyncio.run(scenario())
    assert body_of(received) == events(1, 5)
    assert received.endswith(STREAM_END)
    assert not lines


def test_a_request_that_is_refused_after_a_change_is_answered(changes, lines):
    async def scenario():
        server = ScriptedServer([WAIT_S, NOT_RUN])
        async with running_gateway([server], service='llm') as bench:
            return await ask_around(bench, lambda: server.seen, changes)

    received = asyncio.run(scenario())
    assert status_of(received) == 503
    assert b'retry-after' in received.lower()
    assert not lines
