"""Keeps the records that gateways write beside those of owners."""

from __future__ import annotations

import asyncio

from wasabicross.gateway.crashes.conviction_keeper import ConvictionKeeper
from wasabicross.gateway.crashes.crash_sharing import CrashSharing
from wasabicross.gateway.store import FleetStore
from wasabicross.gateway.streams.division_keeper import DivisionKeeper
from wasabicross.gateway.view import FleetView


async def keep_records(
    instance: str, store: FleetStore, view: FleetView, crashes: CrashSharing
) -> None:
    """Keep the divisions of streams and the convictions until cancelled.

    :param instance: name of this machine.
    :param store: the store that holds the records.
    :param view: the records as last read.
    :param crashes: what this gateway knows of crashed servers.
    """
    async with asyncio.TaskGroup() as tasks:
        tasks.create_task(DivisionKeeper(instance, store, view).run())
        tasks.create_task(
            ConvictionKeeper(instance, store, view, crashes).run()
        )
