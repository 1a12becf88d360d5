"""What is known of a server and may be of its former start, one row each.

Guards against callers that get what another process under the same id has made,
or are refused for what that one has said.
"""

import asyncio
import contextlib
import time

import pytest
from gateway_parts import CONFIGURATION

from wasabicross.gateway.backend import AdapterKey, BackendServer, EngineReport
from wasabicross.gateway.changes import ServerEntryUpdate, ServerRemoval
from wasabicross.gateway.clock import now_s
from wasabicross.gateway.configuration import (
    EngineSpec,
    ModelSpec,
    Service,
)
from wasabicross.gateway.loading.loader_service import LoaderService
from wasabicross.gateway.loading.server_loader import ServerLoader
from wasabicross.gateway.messages import HeldAdapter, ServerState
from wasabicross.gateway.orders import LoadRequest, OrderAnswer
from wasabicross.gateway.ownership import OwnershipTerm
from wasabicross.gateway.prompt_sources import SharedPrompt, prompt_source
from wasabicross.gateway.server_limits.stated import StatedLimits
from wasabicross.gateway.server_notices import ServerNotice
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


class Restart:
    """A server that starts again, and what it says before and after that.

    :param ago_s: how long ago it has started, seconds.
    """

    def __init__(self, ago_s):
        self.now_s = now_s()
        self.start_ms = int((time.time() - ago_s) * 1000)
        self.listed = server(start_ms=self.start_ms - 60_000, held={})
        self.view = view_of(self.listed)
        self.notices = self.view.notices

    def says(self, notice, ago_s):
        """Let it answer with a notice; the gateway knows the former entry."""
        self.notices.on_notice(self.listed, notice, self.now_s - ago_s)

    def limits(self, ago_s):
        """Let it answer with a limit; the gateway knows the former entry."""
        at_s = self.now_s - ago_s
        limits = StatedLimits(5.0, None)
        self.notices.limiter.on_answer(self.listed, limits, at_s, at_s)

    def becomes_known(self, how):
        """Let the gateway learn of the restart."""
        if 'owner' in how:
            self.view.on_state(state(start_ms=self.start_ms), self.now_s)
        if 'entry' in how:
            listed = self.listed._replace(start_ms=self.start_ms)
            self.view.apply(ServerEntryUpdate(listed), self.now_s)

    @property
    def is_refused(self):
        """Return whether the server is sent nothing new."""
        listed = self.view.servers['s1']
        return self.view.refuses_requests(listed, self.now_s)


LEARNT = [('owner',), ('entry',), ('owner', 'entry'), ('entry', 'owner')]
LEAVING = ServerNotice(is_leaving=True, pause_s=0)
PAUSE = ServerNotice(is_leaving=False, pause_s=60)


@pytest.mark.parametrize('how', LEARNT)
@pytest.mark.parametrize(
    ('notice', 'said_ago_s', 'is_kept'),
    [
        (PAUSE, 30, False),
        (PAUSE, 10, True),
        # Clocks of machines may differ a little.
        (PAUSE, 21, True),
        (LEAVING, 30, False),
        (LEAVING, 21, False),
        (LEAVING, 10, True),
    ],
)
def test_notices_are_those_of_the_process_that_gave_them(
    how, notice, said_ago_s, is_kept
):
    """It started 20 s ago; until now only the former start was known."""
    restart = Restart(ago_s=20)
    restart.says(notice, said_ago_s)
    assert restart.is_refused
    restart.becomes_known(how)
    assert restart.is_refused is is_kept


@pytest.mark.parametrize('how', LEARNT)
@pytest.mark.parametrize(('said_ago_s', 'is_kept'), [(30, False), (10, True)])
def test_limits_are_those_of_the_process_that_stated_them(
    how, said_ago_s, is_kept
):
    restart = Restart(ago_s=20)
    restart.limits(said_ago_s)
    restart.becomes_known(how)
    listed = restart.view.servers['s1']
    assert restart.notices.limiter.is_limited(listed) is is_kept


def test_what_a_restarted_server_says_holds_when_it_is_listed():
    restart = Restart(ago_s=20)
    restart.becomes_known(['owner'])
    restart.says(LEAVING, 0)
    restart.limits(0)
    restart.becomes_known(['entry'])
    assert restart.is_refused
    assert restart.notices.limiter.is_limited(restart.view.servers['s1'])


def test_a_server_that_is_gone_leaves_no_start_behind():
    restart = Restart(ago_s=20)
    restart.becomes_known(['owner'])
    restart.view.apply(ServerRemoval('s1'), restart.now_s)
    restart.view.apply(ServerEntryUpdate(restart.listed), restart.now_s)
    starts = restart.notices.starts
    listed = restart.view.servers['s1']
    assert starts.incarnation(listed).start_ms == listed.start_ms


class OwnedGroups:
    """Own all groups."""

    def current_term(self, _group, _at_s):
        """Return a right that lasts."""
        return OwnershipTerm('front-1', 7, now_s() + 60)


class LoadingEngine(RestartedEngine):
    """An engine that accepts loads and finishes none before it is told to."""

    def __init__(self, start_ms):
        super().__init__(start_ms)
        self.pending = set()
        self.held = {}
        self.asked = []

    async def report(self, server):
        """Return its report; remember by which entry it was asked."""
        self.asked.append(server)
        report = await super().report(server)
        return report._replace(held=dict(self.held), pending=self.pending)

    async def order(self, server, order):
        """Accept a load."""
        if order.key in self.held:
            return OrderAnswer.already
        self.pending.add(order.key)
        return OrderAnswer.accepted

    def finish(self):
        """Finish the loads."""
        self.held.update(dict.fromkeys(self.pending, 1))
        self.pending.clear()


async def until(condition):
    """Wait for a condition, 5 s at most."""
    async with asyncio.timeout(5):
        while not condition():
            await asyncio.sleep(0.005)


@pytest.mark.parametrize(
    ('entry', 'version'),
    [
        ({'start_ms': LATER_MS, 'software_version': 'v2'}, 1),
        # Another process, perhaps elsewhere, which has accepted no load.
        ({'start_ms': LATER_MS + 1}, 0),
        ({'start_ms': LATER_MS, 'port': 2}, 0),
        ({'start_ms': LATER_MS, 'service': 'code'}, 0),
    ],
)
def test_loads_at_a_restarted_engine_outlast_the_arrival_of_its_entry(
    entry, version
):
    """The store may return after minutes, with the entries of all engines."""

    async def scenario():
        view = view_of(server(held={}))
        spec = EngineSpec(2, 50, (ModelSpec('m0', 40, 1),))
        services = {
            name: Service(name, '/health', 100, spec)
            for name in ('llm', 'code')
        }
        view.configuration = CONFIGURATION._replace(services=services)
        engine = LoadingEngine(LATER_MS)
        loads = LoaderService(view, OwnedGroups(), engine)
        task = asyncio.ensure_future(loads.run())
        await until(lambda: any(each.takes_loads for each in loads.loaders))
        wanted = LoadRequest('s1', A, 1, 1, 4.0)
        load = asyncio.ensure_future(loads.load(wanted))
        await until(lambda: engine.pending)
        listed = server(held={}, **entry)
        view.apply(ServerEntryUpdate(listed), now_s())
        await until(lambda: load.done() or listed in engine.asked)
        engine.finish()
        found = await load
        await loads.stop()
        task.cancel()
        return found

    assert asyncio.run(scenario()) == version


def test_a_load_that_is_wanted_as_the_entry_comes_is_not_refused():
    """The loaders are looked over a few times a second."""

    async def scenario():
        view = view_of(server(held={}))
        view.configuration = CONFIGURATION
        loads = LoaderService(view, OwnedGroups(), RestartedEngine(LATER_MS))
        task = asyncio.ensure_future(loads.run())
        await until(lambda: any(each.takes_loads for each in loads.loaders))
        listed = server(start_ms=LATER_MS, held={})
        view.apply(ServerEntryUpdate(listed), now_s())
        found = await loads.load(LoadRequest('s1', A, 1, 1, 4.0))
        await loads.stop()
        task.cancel()
        return found

    assert asyncio.run(scenario()) == 1


@pytest.mark.parametrize(
    ('told_ms', 'entries', 'is_refused'),
    [
        (LISTED_MS, [], True),
        (LATER_MS, [], False),
        # Gateways hear of an older entry again, as its other fields change.
        (LATER_MS, [LISTED_MS], False),
        (LATER_MS, [LATER_MS], True),
    ],
)
def test_a_server_that_restarted_does_not_drain_as_its_former_start_did(
    told_ms, entries, is_refused
):
    leaving = server(is_leaving=True)
    view = view_of(leaving)
    view.on_state(state(start_ms=told_ms), LISTED_S)
    for start_ms in entries:
        later = leaving._replace(start_ms=start_ms, slots=5)
        view.apply(ServerEntryUpdate(later), LISTED_S)
    assert view.refuses_requests(view.servers['s1'], USED_S) is is_refused
