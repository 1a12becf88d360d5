"""Measures how late the event loop runs what is due."""

from __future__ import annotations

import asyncio

from wasabicross.gateway import metrics
from wasabicross.gateway.clock import now_s
from wasabicross.runtime.events import Event
from wasabicross.runtime.logs import log_event

_INTERVAL_S = 0.25

#: Delay that is logged. Callers' time limits are about a second and more.
_LOGGED_DELAY_S = 0.25


async def watch_loop() -> None:
    """Record the delays of the event loop until cancelled."""
    while True:
        due_s = now_s() + _INTERVAL_S
        await asyncio.sleep(_INTERVAL_S)
        delay_s = max(0, now_s() - due_s)
        metrics.LOOP_DELAY_SECONDS.observe(delay_s)
        if delay_s >= _LOGGED_DELAY_S:
            log_event(Event.LOOP_DELAYED, for_s=round(delay_s, 3))
