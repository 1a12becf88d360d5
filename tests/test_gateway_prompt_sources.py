"""Shared starts of prompts are fetched from engines that keep them.

Guards against long prompts that each engine prefills anew when adapters move
between engines, though another engine keeps their shared parts.
"""

import random

import pytest
from test_gateway_placement import MODELS

from wasabicross.gateway.backend import AdapterKey, BackendServer
from wasabicross.gateway.changes import ServerEntryUpdate
from wasabicross.gateway.connections.http_heads import CallerRequest, field
from wasabicross.gateway.dialect import ForwardingOptions
from wasabicross.gateway.messages import HeldAdapter, ServerState
from wasabicross.gateway.prompt_sources import SharedPrompt, prompt_source
from wasabicross.gateway.view import FleetView
from wasabicross.platform.headers import PlatformDialect

A = AdapterKey('m0', 'a1')
PROMPT = SharedPrompt(A, 1, 6300)
ENGINES = 6
ADAPTER_SLOTS = 9
ADAPTERS = 60
REQUESTS = 3000
SEED = 20261204


def server(number, software_version='', service='llm'):
    return BackendServer(
        f's{number}',
        service,
        f'10.0.0.{number}',
        80,
        'dc',
        64,
        False,
        {},
        frozenset((MODELS[0].name,)),
        0,
        software_version,
    )


def view_of(*held_by_server):
    """Return a view of engines and what each has reported, one by one."""
    view = FleetView()
    for number, reports in enumerate(held_by_server):
        view.apply(ServerEntryUpdate(server(number)), 0)
        for held in reports:
            report(view, number, held)
    return view


def report(view, number, held, at_s=0.0):
    adapters = tuple(HeldAdapter('m0', name, 1) for name in held)
    view.on_state(ServerState(f's{number}', 0, 0, 0, True, adapters), at_s)


@pytest.mark.parametrize(
    ('held_by_server', 'prompt', 'source'),
    [
        (([()], [()]), PROMPT, ''),
        # Another holder, or the engine that held the adapter last.
        (([('a1',)], [('a1',)]), PROMPT, 's1'),
        (([('a1',)], [('a1',), ()]), PROMPT, 's1'),
        (([('a1',)], [('a1',), ()], [('a1',), ()]), PROMPT, 's2'),
        (([('a1',), ()], [()]), PROMPT, ''),
        # Another version was trained on other data.
        (([()], [('a1',)]), PROMPT._replace(version=2), ''),
        # Short starts are prefilled as fast as they are fetched.
        (([()], [('a1',)]), PROMPT._replace(tokens=300), ''),
        (([()], [('a1',)]), PROMPT._replace(key=None), ''),
    ],
)
def test_source(held_by_server, prompt, source):
    view = view_of(*held_by_server)
    found = prompt_source(view, server(0), prompt, 0.1)
    assert (found.server_id if found else '') == source


@pytest.mark.parametrize('reports', [[('a1',)], [('a1',), ()]])
@pytest.mark.parametrize(
    ('versions', 'source'),
    [
        (('v1', 'v2'), ''),
        (('v1', ''), ''),
        (('', 'v1'), ''),
        (('v1', 'v1'), 's1'),
        (('v1', 'v2', 'v1'), 's2'),
        (('v1', 'v1', 'v2'), 's1'),
    ],
)
def test_start_of_a_prompt_read_by_another_software_version(
    versions, source, reports
):
    view = FleetView()
    for number, each in enumerate(versions):
        view.apply(ServerEntryUpdate(server(number, each)), 0)
    for number in range(1, len(versions)):
        for held in reports:
            report(view, number, held)
    found = prompt_source(view, server(0, versions[0]), PROMPT, 0.1)
    assert (found.server_id if found else '') == source


def test_start_of_a_prompt_read_by_another_service():
    view = FleetView()
    view.apply(ServerEntryUpdate(server(0, 'v1')), 0)
    view.apply(ServerEntryUpdate(server(1, 'v1', 'other')), 0)
    for held in [('a1',), ()]:
        report(view, 1, held)
    assert prompt_source(view, server(0, 'v1'), PROMPT, 0.1) is None


def test_nothing_is_fetched_from_a_server_out_of_reach():
    view = view_of([()], [('a1',)])
    view.health['s1'].on_unreachable(0)
    assert prompt_source(view, server(0), PROMPT, 0.1) is None
    view = view_of([()], [('a1',)])
    assert prompt_source(view, server(0), PROMPT, 5) is None


@pytest.mark.parametrize(
    ('prefix', 'tokens'),
    [
        (b'5c:800,91:410,e4:250', 1210),
        (b'5c:800', 0),
        (b'5c:x, 91:410, e4:250', 410),
        (b'', 0),
    ],
)
def test_length_of_the_shared_start(prefix, tokens):
    fields = [(b'host', b'a'), (b'prompt-prefix', prefix)]
    req = CallerRequest(b'POST', b'/x', fields, b'', 0)
    assert PlatformDialect().parse_request(req).shared_tokens == tokens


@pytest.mark.parametrize(
    ('source', 'sent'), [(None, ''), (server(3), '10.0.0.3:80')]
)
def test_the_server_is_told_where_to_fetch(source, sent):
    """What the caller says of that never reaches the server."""
    fields = [(b'host', b'a'), (b'kv-fetch', b'10.9.9.9:1')]
    req = CallerRequest(b'POST', b'/x', fields, b'', 0)
    options = ForwardingOptions('s0', 1, 1.0, 1, '', source)
    request = PlatformDialect().request(req, options)
    assert field(request.fields, b'kv-fetch') == sent


def prefilled_starts(*, fetches):
    """Play requests on engines that lack slots; count starts prefilled.

    :param fetches: whether engines fetch from the source that is found.
    """
    rng = random.Random(SEED)
    view = view_of(*([()] for _ in range(ENGINES)))
    held = [[] for _ in range(ENGINES)]
    kept = [set() for _ in range(ENGINES)]
    count = 0
    for number in range(REQUESTS):
        name = f'a{min(ADAPTERS, int(rng.paretovariate(0.4)))}'
        holders = [each for each in range(ENGINES) if name in held[each]]
        engine = rng.choice(holders or range(ENGINES))
        if not holders:
            held[engine] = [*held[engine][1 - ADAPTER_SLOTS :], name]
            report(view, engine, held[engine], number / 100)
        for each in range(ENGINES):
            report(view, each, held[each], number / 100)
        prompt = SharedPrompt(AdapterKey('m0', name), 1, 6300)
        source = prompt_source(view, server(engine), prompt, number / 100)
        if fetches and source is not None:
            kept[engine] |= {name} & kept[int(source.server_id[1:])]
        count += name not in kept[engine]
        kept[engine].add(name)
    return count


def test_each_start_is_prefilled_once_where_adapters_move():
    assert prefilled_starts(fetches=True) == ADAPTERS
    assert prefilled_starts(fetches=False) > ADAPTERS
