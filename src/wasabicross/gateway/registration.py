"""Registers this gateway in the store, and again where that was lost."""

from __future__ import annotations

import asyncio

from wasabicross.gateway.error_containment import ErrorContainment
from wasabicross.gateway.errors import StoreUnavailable
from wasabicross.gateway.ownership import ownership_weight
from wasabicross.gateway.settings import GatewaySettings
from wasabicross.gateway.store import FleetStore
from wasabicross.gateway.view import FleetView

#: Interval between checks, and delay before a failed write is repeated.
_CHECK_INTERVAL_S = 0.5


class Registration:
    """The entry of this gateway in the store.

    :param cfg: settings of this gateway.
    :param store: the store.
    :param view: the entries and the era of the store as last read.
    """

    def __init__(
        self, cfg: GatewaySettings, store: FleetStore, view: FleetView
    ) -> None:
        self._cfg = cfg
        self._store = store
        self._view = view
        self._era: int | None = None
        self._errors = ErrorContainment('registration')

    async def run(self) -> None:
        """Keep this gateway registered until cancelled."""
        while True:
            with self._errors.contain('entry'):
                if self._is_due():
                    await self._register()
            await asyncio.sleep(_CHECK_INTERVAL_S)

    def _is_due(self) -> bool:
        """Return whether the entry was never written, or lost since."""
        if self._era is None:
            return True
        era = self._view.era or 0
        return self._era < era and (
            self._cfg.instance not in self._view.instances
        )

    async def _register(self) -> None:
        cfg = self._cfg
        try:
            self._era = await self._store.register_instance(
                cfg.instance,
                cfg.host,
                cfg.data_centre,
                ownership_weight(cfg.cores, cfg.link_mbps),
            )
        except StoreUnavailable:
            return
