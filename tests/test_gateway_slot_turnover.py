"""A load that would wait too long for a slot is refused at once."""

import asyncio

import pytest
from test_gateway_loader import A, FakeEngine, loading, wanted

from wasabicross.gateway.backend import AdapterKey
from wasabicross.gateway.clock import now_s
from wasabicross.gateway.engine_usage import EngineUsage
from wasabicross.gateway.slot_turnover import SlotTurnover

B = AdapterKey('m0', 'a2')


@pytest.mark.parametrize(
    ('freed_s', 'lacking', 'wait_s'),
    [
        # Nothing is known: an adapter in use is so for 4 s at most.
        ((), 0, 0),
        ((), 1, 0.4),
        ((), 4, 1.6),
        # Six came free in the last two seconds.
        ((8.1, 8.5, 9, 9.2, 9.5, 9.9), 3, 1),
        # What came free before them says nothing.
        ((1, 2, 3, 4, 5, 6, 7), 1, 0.4),
    ],
)
def test_wait_for_slots(freed_s, lacking, wait_s):
    turnover = SlotTurnover()
    for at_s in freed_s:
        turnover.on_freed(at_s)
    assert turnover.expected_wait_s(lacking, 10, 10) == pytest.approx(wait_s)


async def load_beside(waiting, patience_s):
    """Ask for a load at an engine of two adapters, both in use."""
    engine = FakeEngine(held=[A, B])
    async with loading(engine) as loader:
        for key in (A, B):
            loader.slots.usage.on_use(key, 'front-2', 1, now_s())
        others = [
            asyncio.ensure_future(
                loader.load(wanted(AdapterKey('m0', f'c{number}'), 1, 0, 60))
            )
            for number in range(waiting)
        ]
        await asyncio.sleep(0)
        began_s = now_s()
        last = AdapterKey('m0', 'last')
        version = await loader.load(wanted(last, patience_s=patience_s))
        took_s = now_s() - began_s
        for each in others:
            each.cancel()
    return version, took_s


@pytest.mark.parametrize(('waiting', 'patience_s'), [(0, 1.9), (1, 3.9)])
def test_a_load_that_would_get_no_slot_in_time_is_refused_at_once(
    waiting, patience_s
):
    version, took_s = asyncio.run(load_beside(waiting, patience_s))
    assert version == 0
    assert took_s < 1


def test_a_load_that_may_get_a_slot_in_time_waits():
    with pytest.raises(TimeoutError):
        asyncio.run(asyncio.wait_for(load_beside(0, 2.5), 1))


def test_uses_that_end_tell_how_soon_a_slot_comes_free():
    uses = EngineUsage()
    for number in range(8):
        key = AdapterKey('m0', f'c{number}')
        uses.on_use(key, 'front-1', 2, 8)
        uses.on_use(key, 'front-2', 1, 8)
        uses.on_use(key, 'front-1', 0, 9)
    # Another gateway still uses each of them.
    assert uses.turnover.expected_wait_s(1, 2, 10) == pytest.approx(2)
    for number in range(8):
        uses.on_use(AdapterKey('m0', f'c{number}'), 'front-2', 0, 9)
        uses.on_use(AdapterKey('m0', f'c{number}'), 'front-2', 0, 9)
    assert uses.turnover.expected_wait_s(1, 2, 10) == pytest.approx(0.25)
