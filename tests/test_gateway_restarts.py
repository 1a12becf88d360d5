"""What is known of a server and may be of its former start, one row each.

Guards against callers that get what another process under the same id has made,
or are refused for what that one has said.
"""

import asyncio
import contextlib

import pytest

from wasabicross.gateway.backend import AdapterKey, BackendServer, EngineReport
from wasabicross.gateway.changes import ServerEntryUpdate
from wasabicross.gateway.clock import now_s
from wasabicross.gateway.configuration import EngineSpec, ModelSpec
from wasabicross.gateway.loading.server_loader import ServerLoader
from wasabicross.gateway.messages import HeldAdapter, ServerState
from wasabicross.gateway.ownership import OwnershipTerm
from wasabicross.gateway.prompt_sources import SharedPrompt, prompt_source
from wasabicross.gateway.view import FleetView

A = AdapterKey('m0', 'a1')
PROMPT = SharedPrompt(A, 1, 6300)

#: The start that the entries of the servers name, and a later one.
LISTED_MS = 1_000
LATER_MS = 2_000

#: Time as of which the servers are listed, and when they are used.
LISTED_S = 10.0
USED_S = 10.2


def server(server_id='s1', start_ms=LISTED_MS, **fields):
    """Return a server as it is listed."""
    listed = BackendServer(
        server_id,
        'llm',
        '127.0.0.1',
        1,
        'dc',
        4,
        False,
        {A: 1},
        frozenset(('m0',)),
        start_ms,
        'v1',
    )
    return listed._replace(**fields)


def state(server_id='s1', start_ms=LISTED_MS, names=('a1',)):
    """Return what an owner tells of a server."""
    held = tuple(HeldAdapter('m0', name, 1) for name in names)
    return ServerState(server_id, start_ms, 0, 0, True, held, ('m0',))


def view_of(*listed):
    """Return a view of some servers."""
    view = FleetView()
    for each in listed:
        view.apply(ServerEntryUpdate(each), LISTED_S)
    return view


class RestartedEngine:
    """An engine that reports the start that runs, with one adapter."""

    def __init__(self, start_ms):
        self.start_ms = start_ms

    async def report(self, server):
        """Return its report."""
        models = frozenset(('m0',))
        return EngineReport(
            0, False, 0, 0, {A: 1}, frozenset(), models, self.start_ms
        )


@contextlib.asynccontextmanager
async def loader_of(engine, listed):
    """Run the loader of an engine that has reported."""
    term = OwnershipTerm('front-1', 7, now_s() + 60)
    spec = EngineSpec(2, 50, (ModelSpec('m0', 40, 1),))
    loader = ServerLoader(listed, spec, engine, FleetView(), lambda: term)
    task = asyncio.ensure_future(loader.run())
    while loader.slots.order_count is None:
        await asyncio.sleep(0.001)
    try:
        yield loader
    finally:
        task.cancel()
        await asyncio.wait((task,))


@pytest.mark.parametrize(
    ('listed_ms', 'found_ms', 'told_ms'),
    [
        (LISTED_MS, LISTED_MS, LISTED_MS),
        (LISTED_MS, LATER_MS, LATER_MS),
        # Where nothing else names starts, gateways know none.
        (LISTED_MS, 0, LISTED_MS),
        (0, LATER_MS, 0),
    ],
)
def test_an_owner_tells_no_state_as_that_of_a_former_start(
    listed_ms, found_ms, told_ms
):
    async def scenario():
        listed = server(start_ms=listed_ms)
        async with loader_of(RestartedEngine(found_ms), listed) as loader:
            return loader.state()

    assert asyncio.run(scenario()).start_ms == told_ms


@pytest.mark.parametrize(
    ('told', 'source_id'),
    [
        ({'s1': LISTED_MS, 's2': LISTED_MS}, 's2'),
        ({'s1': LISTED_MS, 's2': LATER_MS}, ''),
        ({'s1': LATER_MS, 's2': LISTED_MS}, ''),
        # Nobody has told which process serves at the address.
        ({'s2': LISTED_MS}, ''),
    ],
)
@pytest.mark.parametrize('is_unloaded', [False, True])
def test_no_prompt_memory_of_a_start_that_is_not_listed_is_fetched(
    told, source_id, is_unloaded
):
    """The entry's software version is that of the former start."""
    view = view_of(server('s1'), server('s2', held={}))
    for server_id, start_ms in told.items():
        view.on_state(state(server_id, start_ms), LISTED_S)
        if is_unloaded and server_id == 's2':
            view.on_state(state(server_id, start_ms, ()), LISTED_S)
    found = prompt_source(view, view.servers['s1'], PROMPT, USED_S)
    assert (found.server_id if found else '') == source_id


def test_an_engine_that_restarted_empty_is_not_taken_for_the_last_holder():
    view = view_of(server('s1'), server('s2', held={}))
    view.on_state(state('s1'), LISTED_S)
    view.on_state(state('s2'), LISTED_S)
    view.on_state(state('s2', LATER_MS, ()), LISTED_S)
    view.apply(ServerEntryUpdate(server('s2', LATER_MS, held={})), LISTED_S)
    view.on_state(state('s2', LATER_MS, ()), LISTED_S)
    assert prompt_source(view, view.servers['s1'], PROMPT, USED_S) is None


@pytest.mark.parametrize(
    ('told_ms', 'is_known'),
    [(LATER_MS, True), (LISTED_MS, True), (LISTED_MS - 1, False)],
)
def test_a_restart_that_is_not_listed_costs_no_loads(told_ms, is_known):
    """The store may be away for minutes, while owners see the new process."""
    view = view_of(server(held={}))
    view.on_state(state(start_ms=told_ms), LISTED_S)
    listed = view.servers['s1']
    assert view.takes_loads(listed, USED_S) is is_known
    assert view.held_version(listed, A, USED_S) == is_known


def test_a_state_that_came_before_the_entry_of_its_start_is_kept():
    """Its owner doesn't tell it again, and ends of loads would go unseen."""
    view = view_of(server())
    view.on_state(state(start_ms=LATER_MS), LISTED_S)
    view.apply(ServerEntryUpdate(server(start_ms=LATER_MS, held={})), LISTED_S)
    listed = view.servers['s1']
    assert view.takes_loads(listed, USED_S)
    assert view.held_version(listed, A, USED_S) == 1


@pytest.mark.parametrize(
    ('told_ms', 'holds'), [(LISTED_MS, True), (LATER_MS, False)]
)
def test_models_of_the_former_start_attract_no_requests(told_ms, holds):
    """A process that started again empty answers each of them with 421."""
    view = view_of(server())
    view.on_state(state(start_ms=told_ms)._replace(models=()), LISTED_S)
    assert view.holds_model(view.servers['s1'], 'm0', USED_S) is holds
