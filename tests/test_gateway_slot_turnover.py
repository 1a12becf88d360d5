"""A load whose expected wait for a slot is too long is refused at once."""

import asyncio

import pytest
from test_gateway_loader import A, FakeEngine, load_request, running_loader

from wasabicross.gateway.backend import AdapterKey
from wasabicross.gateway.clock import now_s
from wasabicross.gateway.loading.engine_usage import EngineUsage
from wasabicross.gateway.loading.slot_turnover import SlotTurnover

B = AdapterKey('m0', 'a2')


@pytest.mark.parametrize(
    ('freed_s', 'lacking', 'wait_s'),
    [
        # Without data, an adapter is assumed to be in use for 4 s at most.
        ((), 0, 0),
        ((), 1, 0.4),
        ((), 4, 1.6),
        # Six slots came free in the last 2 s.
        ((8.1, 8.5, 9, 9.2, 9.5, 9.9), 3, 1),
        # Slots that came free earlier are ignored.
        ((1, 2, 3, 4, 5, 6, 7), 1, 0.4),
    ],
)
def test_wait_for_slots(freed_s, lacking, wait_s):
    turnover = SlotTurnover()
    for at_s in freed_s:
        turnover.on_freed(at_s)
    assert turnover.expected_wait_s(lacking, 10, 10) == pytest.approx(wait_s)


async def load_with_waiting(waiting, max_wait_s):
    """Request a load on an engine whose two adapters are both in use.

    :param waiting: number of load requests that wait already.
    """
    engine = FakeEngine(held=[A, B])
    async with running_loader(engine) as loader:
        for key in (A, B):
            loader.slots.usage.on_use(key, 'front-2', 1, now_s())
        others = [
            asyncio.ensure_future(
                loader.load(
                    load_request(AdapterKey('m0', f'c{number}'), 1, 0, 60)
                )
            )
            for number in range(waiting)
        ]
        await asyncio.sleep(0)
        began_s = now_s()
        last = AdapterKey('m0', 'last')
        version = await loader.load(load_request(last, max_wait_s=max_wait_s))
        took_s = now_s() - began_s
        for each in others:
            each.cancel()
    return version, took_s


@pytest.mark.parametrize(('waiting', 'max_wait_s'), [(0, 1.9), (1, 3.9)])
def test_a_load_that_would_get_no_slot_in_time_is_refused_at_once(
    waiting, max_wait_s
):
    version, took_s = asyncio.run(load_with_waiting(waiting, max_wait_s))
    assert version == 0
    assert took_s < 1


def test_a_load_that_may_get_a_slot_in_time_waits():
    with pytest.raises(TimeoutError):
        asyncio.run(asyncio.wait_for(load_with_waiting(0, 2.5), 1))


def test_uses_that_end_tell_how_soon_a_slot_comes_free():
    usage = EngineUsage()
    for number in range(8):
        key = AdapterKey('m0', f'c{number}')
        usage.on_use(key, 'front-1', 2, 8)
        usage.on_use(key, 'front-2', 1, 8)
        usage.on_use(key, 'front-1', 0, 9)
    # Another gateway still uses each of them.
    assert usage.turnover.expected_wait_s(1, 2, 10) == pytest.approx(2)
    for number in range(8):
        usage.on_use(AdapterKey('m0', f'c{number}'), 'front-2', 0, 9)
        usage.on_use(AdapterKey('m0', f'c{number}'), 'front-2', 0, 9)
    assert usage.turnover.expected_wait_s(1, 2, 10) == pytest.approx(0.25)
