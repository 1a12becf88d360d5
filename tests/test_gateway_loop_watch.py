"""Delays of the event loop are measured, and long ones are logged."""

import asyncio

import pytest

from wasabicross.gateway import loop_watch
from wasabicross.runtime.events import Event


@pytest.mark.parametrize(
    ('delay_s', 'is_logged'), [(0.0, False), (0.2, False), (0.5, True)]
)
def test_delay_of_the_loop(monkeypatch, delay_s, is_logged):
    logged = []
    times_s = iter([10.0, 10.25 + delay_s])
    monkeypatch.setattr(loop_watch, '_INTERVAL_S', 0.25)
    monkeypatch.setattr(loop_watch, 'now_s', lambda: next(times_s))
    monkeypatch.setattr(
        loop_watch, 'log_event', lambda *args, **fields: logged.append(args)
    )

    async def scenario():
        await loop_watch.watch_loop()

    with pytest.raises(RuntimeError):
        asyncio.run(scenario())
    assert logged == [(Event.LOOP_DELAYED,)] * is_logged
