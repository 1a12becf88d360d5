"""Groups of engines that a gateway acquires, also after a restart."""

import asyncio
import contextlib

import pytest
from gateway_parts import HOST, FakeStore, settings_at

from wasabicross.gateway import owned_groups as owned_groups_module
from wasabicross.gateway.changes import OwnerRecordUpdate
from wasabicross.gateway.clock import now_s
from wasabicross.gateway.owned_groups import OwnedGroups
from wasabicross.gateway.view import FleetView

GROUP = 'dc.0'


async def acquired_term(view, store):
    """Run a gateway until it owns its group and return the ownership term."""
    owned_groups = OwnedGroups(settings_at(1, 2, 3), store, view)
    running = asyncio.ensure_future(owned_groups.run())
    try:
        async with asyncio.timeout(5):
            while owned_groups.current_term(GROUP, now_s()) is None:
                await asyncio.sleep(0.01)
        return owned_groups.current_term(GROUP, now_s())
    finally:
        running.cancel()
        with contextlib.suppress(asyncio.CancelledError):
            await running


@pytest.mark.parametrize(
    ('last_owner', 'is_released', 'is_resumed'),
    [
        (None, False, False),
        ('front-1', False, True),
        ('front-1', True, True),
        ('front-2', True, False),
        # A record that names no owner can be claimed at its revision.
        ('', False, False),
    ],
)
def test_a_restarted_owner_knows_that_it_was_the_last(
    monkeypatch, last_owner, is_released, is_resumed
):
    monkeypatch.setattr(owned_groups_module, '_STARTUP_DELAY_S', 0)
    view = FleetView()
    store = FakeStore([])
    if last_owner is not None:
        store.owners[GROUP] = 5
        record = OwnerRecordUpdate(GROUP, last_owner, HOST, 5, is_released)
        view.apply(record, now_s() - 60)
    assert asyncio.run(acquired_term(view, store)).is_resumed == is_resumed
