"""Loads on one engine: orders, repetitions, refusals and abandoned loads."""

import asyncio
import contextlib

import pytest

from wasabicross.gateway.backend import (
    AdapterKey,
    BackendServer,
    EngineReport,
)
from wasabicross.gateway.clock import now_s
from wasabicross.gateway.configuration import EngineSpec, ModelSpec
from wasabicross.gateway.errors import AnswerMissing
from wasabicross.gateway.loading.engine_slots import USAGE_WAIT_S
from wasabicross.gateway.loading.server_loader import ServerLoader
from wasabicross.gateway.messages import AdapterUsage
from wasabicross.gateway.orders import LoadRequest, OrderAnswer, OrderKind
from wasabicross.gateway.ownership import OwnershipTerm
from wasabicross.gateway.view import FleetView

A = AdapterKey('m0', 'a1')
SERVER = BackendServer(
    's1', 'llm', '127.0.0.1', 1, 'dc', 4, False, {}, frozenset(), 0
)


class FakeEngine:
    """Execute orders under the guards of an engine; loads may stay pending."""

    def __init__(self, held=(), models=('m0',)):
        self.held = dict.fromkeys(held, 1)
        self.models = set(models)
        self.pending = set()
        self.order_count = 0
        self.orders = []
        self.lost_answers = 0
        self.ends_at_once = True

    async def report(self, server):
        """Return the held and pending adapters."""
        return EngineReport(
            self.order_count,
            False,
            0,
            0,
            dict(self.held),
            frozenset(self.pending),
            frozenset(self.models),
            0,
        )

    async def order(self, server, order):
        """Execute an order; the answer is lost where the test says so."""
        self.orders.append(order)
        answer = self._execute(order)
        if self.lost_answers:
            self.lost_answers -= 1
            raise AnswerMissing('lost')
        return answer

    def _execute(self, order):
        key = order.key
        if not key.adapter:
            self.models.add(key.model)
            self.order_count += 1
            return OrderAnswer.accepted
        if order.kind is OrderKind.load and key in self.held:
            return OrderAnswer.already
        if order.kind is OrderKind.load and key in self.pending:
            return OrderAnswer.accepted
        if order.expected_orders != self.order_count:
            return OrderAnswer.conflict
        self.order_count += 1
        if order.kind is OrderKind.unload:
            self.held.pop(key)
            return OrderAnswer.already
        assert len(self.held) + len(self.pending) < 2
        if self.ends_at_once:
            self.held[key] = 1
        else:
            self.pending.add(key)
        return OrderAnswer.accepted


@contextlib.asynccontextmanager
async def running_loader(engine, has_term=True):
    term = OwnershipTerm('front-1', 7, now_s() + 60) if has_term else None
    loader = ServerLoader(
        SERVER,
        EngineSpec(2, 50, (ModelSpec('m0', 40, 1),)),
        engine,
        FleetView(),
        lambda: term,
    )
    task = asyncio.ensure_future(loader.run())
    await asyncio.sleep(0.02)
    try:
        yield loader
    finally:
        task.cancel()
        await asyncio.wait((task,))


def load_request(key=A, version=1, priority=1, max_wait_s=2.0):
    return LoadRequest('s1', key, version, priority, max_wait_s)


def test_requests_that_gateways_have_under_way_are_told_at_once():
    async def scenario():
        async with running_loader(FakeEngine(held=[A])) as loader:
            before = loader.state().running
            loader.slots.usage.on_use(A, 'front-1', 3, now_s())
            loader.slots.usage.on_use(A, 'front-2', 1, now_s())
            return before, loader.state().running

    assert asyncio.run(scenario()) == (0, 4)


def run_loads(engine, *requests, **fields):
    async def scenario():
        async with running_loader(engine, **fields) as loader:
            return await asyncio.gather(
                *(loader.load(request) for request in requests)
            )

    return asyncio.run(scenario())


def test_requests_that_wait_for_one_adapter_share_its_load():
    engine = FakeEngine()
    assert run_loads(
        engine, load_request(), load_request(), load_request()
    ) == [1, 1, 1]
    first, *repeats = engine.orders
    assert first.key == A
    assert (first.holder, first.term) == ('front-1', 7)
    assert engine.order_count == 1


def test_adapter_that_is_held_needs_no_order():
    engine = FakeEngine(held=(A,))
    assert run_loads(engine, load_request()) == [1]
    assert not engine.orders


def test_slots_are_never_passed():
    engine = FakeEngine()
    keys = [AdapterKey('m0', f'b{number}') for number in range(5)]
    versions = run_loads(engine, *(load_request(key) for key in keys))
    assert versions.count(1) >= 2
    assert len(engine.held) <= 2


def test_order_whose_answer_was_lost_is_sent_again():
    engine = FakeEngine()
    engine.lost_answers = 1
    assert run_loads(engine, load_request()) == [1]
    assert engine.order_count == 1


def test_load_that_does_not_end_is_given_up_with_its_requests():
    engine = FakeEngine()
    engine.ends_at_once = False
    assert run_loads(engine, load_request(max_wait_s=0.6)) == [0]


@pytest.mark.parametrize(
    ('engine', 'fields', 'max_wait_s'),
    [
        (FakeEngine(), {'has_term': False}, 2.0),
        (FakeEngine(), {}, 0.1),
    ],
)
def test_load_that_cannot_end_in_time_is_refused_at_once(
    engine, fields, max_wait_s
):
    assert run_loads(engine, load_request(max_wait_s=max_wait_s), **fields) == [
        0
    ]
    assert not engine.orders


def test_load_that_ends_soon_after_its_request_is_begun():
    """Where all loads take longer than requests wait, none would be made."""
    engine = FakeEngine()
    run_loads(engine, load_request(max_wait_s=0.2))
    assert engine.held


def test_an_adapter_gives_way_as_soon_as_its_last_request_has_ended():
    """The owner doesn't wait for its next report of the engine."""

    async def scenario():
        engine = FakeEngine(held=[A, AdapterKey('m0', 'b2')])
        async with running_loader(engine) as loader:
            for key in engine.held:
                loader.on_use('front-2', AdapterUsage('s1', *key, 1))
            await asyncio.sleep(USAGE_WAIT_S)
            request = load_request(AdapterKey('m0', 'b1'), max_wait_s=10)
            load = asyncio.ensure_future(loader.load(request))
            await asyncio.sleep(0.02)
            loader.on_use('front-2', AdapterUsage('s1', *A, 0))
            await asyncio.sleep(0.12)
            kinds = [order.kind for order in engine.orders]
            load.cancel()
            return kinds

    assert asyncio.run(scenario()) == [OrderKind.unload, OrderKind.load]


def test_empty_engine_gets_a_base_model():
    engine = FakeEngine(models=())

    async def scenario():
        async with running_loader(engine):
            async with asyncio.timeout(3):
                while not engine.models:
                    await asyncio.sleep(0.01)

    asyncio.run(scenario())
    assert [order.key for order in engine.orders] == [AdapterKey('m0', '')]


def test_the_most_urgent_is_ordered_first():
    engine = FakeEngine()
    keys = [AdapterKey('m0', name) for name in ('b1', 'b2')]
    run_loads(
        engine,
        load_request(keys[0], priority=2),
        load_request(keys[1], priority=0),
    )
    loads = [order.key for order in engine.orders]
    assert loads[0] == keys[1]
