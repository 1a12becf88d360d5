"""The links to all gateways that own engines."""

from __future__ import annotations

import asyncio
import contextlib
import math

from wasabicross.gateway.clock import now_s
from wasabicross.gateway.messages import AdapterUse
from wasabicross.gateway.orders import LoadRequest
from wasabicross.gateway.owner_desk import OwnerDesk
from wasabicross.gateway.owner_link import NewsSink, OwnerLink
from wasabicross.gateway.settings import GatewaySettings
from wasabicross.gateway.usage_tracker import UsageTracker
from wasabicross.gateway.view import FleetView

#: Pause between looks at who owns engines, and at those of this gateway.
_FOLLOW_S = 0.06

#: How often uses of adapters that go on are told again.
_USES_S = 0.4

#: Pause in which uses that begin are gathered. Until its owner hears of a use,
#: it may unload the adapter, and an engine takes no orders while that waits.
_GATHER_S = 0.01


class OwnerLinks:
    """The links to all owners, and this gateway's own desk.

    :param cfg: where this gateway is and the port for others, which is the
        same on all machines.
    :param view: the deployment.
    :param desk: the engines that this gateway owns itself.
    :param uses: the adapters that this gateway's requests use.
    :param news: takes in what owners of this data centre watch.
    """

    def __init__(
        self,
        cfg: GatewaySettings,
        view: FleetView,
        desk: OwnerDesk,
        uses: UsageTracker,
        news: NewsSink,
    ) -> None:
        self._news = news
        self._cfg = cfg
        self._view = view
        self._desk = desk
        self._uses = uses
        self._links: dict[str, OwnerLink] = {}
        self._tasks: dict[str, asyncio.Task[None]] = {}

    async def run(self) -> None:
        """Keep a link to each owner until cancelled."""
        while True:
            self._follow()
            for state in self._desk.states():
                self._view.on_state(state, now_s())
            await asyncio.sleep(_FOLLOW_S)

    async def tell_uses(self) -> None:
        """Tell the owners which adapters are in use, until cancelled."""
        told_all_s = -math.inf
        while True:
            is_due = now_s() - told_all_s >= _USES_S
            if is_due:
                told_all_s = now_s()
            uses = self._uses.changed_usage(include_ongoing=is_due)
            for host, of_host in uses.items():
                self._tell_uses(host, of_host)
            await self._until_a_use_begins(told_all_s + _USES_S)

    async def _until_a_use_begins(self, until_s: float) -> None:
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(max(0, until_s - now_s())):
                await self._uses.has_urgent_change.wait()
        self._uses.has_urgent_change.clear()
        await asyncio.sleep(_GATHER_S)

    def _tell_uses(self, host: str, uses: tuple[AdapterUse, ...]) -> None:
        if host == self._cfg.host:
            for use in uses:
                self._desk.on_use(self._cfg.instance, use)
            return
        link = self._links.get(host)
        if link is not None:
            link.tell(uses)

    async def load(self, host: str, wanted: LoadRequest) -> int:
        """Have an adapter loaded; return its version, 0 if it failed.

        :param host: IP number of the engine's owner.
        :param wanted: which one, on which engine.
        """
        if host == self._cfg.host:
            return await self._desk.load(wanted)
        link = self._links.get(host)
        return await link.load(wanted) if link else 0

    def _follow(self) -> None:
        hosts = {record.host for record in self._view.owners.values()}
        hosts.discard(self._cfg.host)
        for host in self._links.keys() - hosts:
            self._tasks.pop(host).cancel()
            self._links.pop(host)
        for host in hosts - self._links.keys():
            link = OwnerLink(
                self._cfg.instance,
                host,
                self._cfg.peer_port,
                self._view,
                self._news,
            )
            self._links[host] = link
            self._tasks[host] = asyncio.ensure_future(link.run())
        self._choose_relays()
        self._tell_new_links()

    def _tell_new_links(self) -> None:
        """Tell owners all uses, since they may have restarted."""
        for host, link in self._links.items():
            if link.lacks_uses:
                link.lacks_uses = False
                link.tell(self._uses.usage_at(host), are_all=True)

    def _choose_relays(self) -> None:
        """Ask the owners of this data centre's groups for their news."""
        relays = {
            record.host
            for record in self._view.owners.values()
            if record.data_centre == self._cfg.data_centre
        }
        for host, link in self._links.items():
            link.wants_news = host in relays
