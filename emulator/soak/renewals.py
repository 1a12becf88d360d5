"""Engines that become another software version, of which gateways hear late."""

from __future__ import annotations

import asyncio
from collections.abc import Callable, Mapping
from typing import Any

from emulator.soak.answer_parts import SOFTWARE
from emulator.soak.deployment import Server, SoakDeployment
from emulator.soak.schedule import RELEASE_KINDS, Fault

RENEWALS = frozenset(('server_renew', 'server_renew_unheard', 'server_release'))

#: Share of the engines that say that they leave; others just leave the list.
_TOLD_SHARE = 0.5

#: Time in which gateways lose the store before an engine starts again.
_BEFORE_S = 0.1


class Renewals:
    """Restarts engines as another version, and breaks their streams off later.

    :param deployment: the started deployment.
    :param locks: one for each process and link, by name.
    :param tell: puts a fault in force at a server, unless it has crashed.
    """

    def __init__(
        self,
        deployment: SoakDeployment,
        locks: Mapping[str, asyncio.Lock],
        tell: Callable[..., None],
    ) -> None:
        self._deployment = deployment
        self._locks = locks
        self._tell = tell

    async def renew(self, server: Server, fault: Fault) -> None:
        """Make an engine another version; return when its streams broke off.

        :param server: the engine.
        :param fault: one of `RENEWALS`; its target tells how links fail.
        """
        if fault.kind in RELEASE_KINDS:
            await self.release([server], fault)
            return
        if fault.kind == 'server_renew':
            await self._renew([server], fault.for_s, quiet_s=fault.for_s)
            return
        cuts = asyncio.ensure_future(self._lose_store(fault))
        await asyncio.sleep(_BEFORE_S)
        await self._renew([server], fault.for_s, quiet_s=0)
        await cuts

    async def renew_all(self, fault: Fault) -> str:
        """Restart all engines while no gateway hears the store.

        :param fault: its kind is `engines_renew_unheard`.
        """
        servers = self._deployment.servers
        engines = [each for each in servers if each.service == 'llm']
        cuts = asyncio.ensure_future(self._lose_store(fault))
        await asyncio.sleep(_BEFORE_S)
        await self._renew(engines, fault.for_s, quiet_s=0)
        await cuts
        return ''

    async def release(self, engines: list[Server], fault: Fault) -> None:
        """Replace engines of one version by the other; return when they left.

        :param engines: the engines; those that run the other version stay.
        :param fault: one of `RELEASE_KINDS`; its duration is the time for which they
            serve after they have left the store's list, or said that they leave.
        """
        is_told = fault.strength < _TOLD_SHARE
        for engine in engines:
            await asyncio.to_thread(  # noqa: WPS476
                self._tell,
                engine,
                kind='release',
                software=SOFTWARE[fault.target % len(SOFTWARE)],
                is_told=is_told,
                drain_s=fault.for_s,
            )
        await asyncio.sleep(fault.for_s)

    async def release_all(self, fault: Fault) -> str:
        """Replace all engines of one version by the other.

        :param fault: its kind is `engines_release`.
        """
        servers = self._deployment.servers
        engines = [each for each in servers if each.service == 'llm']
        await self.release(engines, fault)
        return SOFTWARE[fault.target % len(SOFTWARE)]

    async def _renew(
        self, engines: list[Server], for_s: float, *, quiet_s: float
    ) -> None:
        """Restart engines, and break their streams off twice in some time."""
        for engine in engines:
            await asyncio.to_thread(  # noqa: WPS476
                self._tell, engine, kind='renew', quiet_s=quiet_s
            )
        for _ in range(2):
            await asyncio.sleep(for_s / 2)  # noqa: WPS476
            for engine in engines:
                await asyncio.to_thread(  # noqa: WPS476
                    self._tell, engine, kind='break_off'
                )

    async def _lose_store(self, fault: Fault) -> None:
        """Let no gateway hear the store until streams have broken off."""
        faults: dict[str, Any] = {'swallow': ['down']}
        if fault.target % 2:
            faults = {'cut': True}
        await asyncio.gather(
            *(
                self._fault_link(each.store_link_port, fault.for_s, faults)
                for each in self._deployment.gateways
            )
        )

    async def _fault_link(
        self, link: int, for_s: float, faults: dict[str, Any]
    ) -> None:
        proxy = self._deployment.proxy
        async with self._locks[str(link)]:
            await asyncio.to_thread(lambda: proxy.fault(link, **faults))
            await asyncio.sleep(2 * _BEFORE_S + for_s)
            await asyncio.to_thread(proxy.heal, link)
