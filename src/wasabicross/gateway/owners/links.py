"""The links to all gateways that own engines."""

from __future__ import annotations

import asyncio
import contextlib
import math
import random

from wasabicross.gateway.backend import BackendServer
from wasabicross.gateway.clock import now_s
from wasabicross.gateway.crashes.crash_evidence import CrashEvidence
from wasabicross.gateway.crashes.crash_sharing import CrashMessage, CrashSharing
from wasabicross.gateway.error_containment import ErrorContainment
from wasabicross.gateway.loading.loader_service import LoaderService
from wasabicross.gateway.messages import AdapterUsage
from wasabicross.gateway.orders import LoadRequest
from wasabicross.gateway.owners.owner_link import OwnerLink, StoreUpdateHandler
from wasabicross.gateway.server_limits.sharing import LimitSharing
from wasabicross.gateway.settings import GatewaySettings
from wasabicross.gateway.stream_messages import StreamAnswer, StreamsBegun
from wasabicross.gateway.streams.owner_words import QUERY_TIMEOUT_S
from wasabicross.gateway.streams.stream_memory import StreamMemory
from wasabicross.gateway.usage_tracker import UsageTracker
from wasabicross.gateway.view import FleetView
from wasabicross.runtime.rendezvous import rank

#: Interval at which owners and the states of this gateway's engines are
#: checked.
_CHECK_INTERVAL_S = 0.06

#: Interval at which continuing usage of adapters is reported again.
_USAGE_INTERVAL_S = 0.4

#: Delay in which new usage is collected into one report. It is short because an
#: owner may unload an adapter until it learns that it is in use, and the engine
#: takes no orders while such an unload waits.
_BATCH_DELAY_S = 0.01

#: Most owners that are sent a crash, so that one of them surely gets it.
_MAX_REPORTED_TO = 4

#: Owners of other data centres that remember streams where none of this one
#: does.
_MAX_REMOTE_MEMORIES = 2


class OwnerLinks:
    """The links to all other owners, and the loads on this gateway's engines.

    :param cfg: address of this gateway and the port for other gateways, which
        is the same on all machines.
    :param view: the owner records; updated with the states of servers.
    :param loader_service: loads on the engines that this gateway owns itself.
    :param usage: usage of adapters by this gateway's requests.
    :param store_updates: handles the store changes that owners of this data
        centre relay.
    :param crashes: shares what gateways know of crashed servers.
    """

    def __init__(
        self,
        cfg: GatewaySettings,
        view: FleetView,
        loader_service: LoaderService,
        usage: UsageTracker,
        store_updates: StoreUpdateHandler,
        crashes: CrashSharing | None = None,
    ) -> None:
        #: Shares the limits of servers.
        self.limits = LimitSharing(
            view.notices.limiter,
            lambda server, at_s: loader_service.owns(server, at_s),
            view.servers.get,
        )
        view.notices.limiter.links = self
        #: Remembers which software versions began streams.
        self.streams = StreamMemory(view)
        self.streams.to_owners = self._report_streams
        self.streams.ask_owners = self._find_stream
        self.streams.words.ask_owners = self._ask_owners
        self._crashes = crashes or CrashSharing(CrashEvidence(cfg.instance))
        self._crashes.to_owners = self._send_to_owners
        self._store_updates = store_updates
        self._cfg = cfg
        self._view = view
        self._loader_service = loader_service
        self._usage = usage
        self._links: dict[str, OwnerLink] = {}
        self._tasks: dict[str, asyncio.Task[None]] = {}
        self._errors = ErrorContainment('links')

    async def run(self) -> None:
        """Keep a link to each owner until cancelled."""
        while True:
            with self._errors.contain('update'):
                self._update_links()
                for state in self._loader_service.states():
                    self._view.on_state(state, now_s())
            await asyncio.sleep(_CHECK_INTERVAL_S)

    async def report_usage(self) -> None:
        """Report to the owners which adapters are in use, until cancelled."""
        all_reported_s = -math.inf
        while True:
            is_due = now_s() - all_reported_s >= _USAGE_INTERVAL_S
            if is_due:
                all_reported_s = now_s()
            with self._errors.contain('usage'):
                self._report_all(include_ongoing=is_due)
            await self._wait_for_usage(all_reported_s + _USAGE_INTERVAL_S)

    def _report_all(self, *, include_ongoing: bool) -> None:
        usage = self._usage.changed_usage(include_ongoing=include_ongoing)
        for host, host_usage in usage.items():
            self._report_to(host, host_usage)

    async def _wait_for_usage(self, until_s: float) -> None:
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(max(0, until_s - now_s())):
                await self._usage.has_urgent_change.wait()
        self._usage.has_urgent_change.clear()
        await asyncio.sleep(_BATCH_DELAY_S)

    def _report_to(self, host: str, usage: tuple[AdapterUsage, ...]) -> None:
        if host == self._cfg.host:
            for each in usage:
                self._loader_service.on_use(self._cfg.instance, each)
            return
        link = self._links.get(host)
        if link is not None:
            link.report_usage(usage)

    async def load(self, host: str, request: LoadRequest) -> int:
        """Load an adapter and return its version, 0 if the load failed.

        :param host: IP address of the engine's owner.
        :param request: the adapter and the engine.
        """
        if host == self._cfg.host:
            return await self._loader_service.load(request)
        link = self._links.get(host)
        return await link.load(request) if link else 0

    async def request_grant(self, server: BackendServer) -> float | None:
        """Ask the owner of a server whether a request may be sent there.

        :param server: the server.
        :return: 0 if it may, else the time until another one may, seconds; None
            if no owner answers.
        """
        host = self._usage.owner_host(server.server_id)
        if host == self._cfg.host:
            return self.limits.wait_s(server, now_s())
        link = self._links.get(host)
        message = self._view.notices.limiter.known.message(server, now_s())
        if link is None or message is None:
            return None
        return await link.request_grant(message)

    def report_limits(self, server: BackendServer) -> None:
        """Send what a server has stated to its owner, which tells all others.

        :param server: the server.
        """
        host = self._usage.owner_host(server.server_id)
        message = self._view.notices.limiter.known.message(server, now_s())
        if message is None:
            return
        if host == self._cfg.host:
            self.limits.to_linked(message)
            return
        link = self._links.get(host)
        if link is not None:
            link.report_limits(message)

    def _send_to_owners(self, message: CrashMessage) -> None:
        """Send a message to some owners, which send it to all gateways."""
        links = [link for link in self._links.values() if link.is_open]
        if len(links) > _MAX_REPORTED_TO:
            links = random.sample(links, _MAX_REPORTED_TO)
        for link in links:
            link.report_crash(message)

    def _stream_links(self) -> list[OwnerLink]:
        """Return the links to the owners that remember streams.

        All gateways of a data centre without owners choose the same others.
        """
        opened = {
            host: link for host, link in self._links.items() if link.is_open
        }
        near = [link for link in opened.values() if link.is_relay]
        if near:
            return near
        ranked = rank(self._cfg.data_centre, opened)
        return [opened[host] for host in ranked[:_MAX_REMOTE_MEMORIES]]

    def _report_streams(self, messages: tuple[StreamsBegun, ...]) -> None:
        for link in self._stream_links():
            link.report_streams(messages)

    async def _find_stream(self, digest: bytes) -> str | None:
        """Return the first version that an owner names, None for none."""
        tasks = [
            asyncio.ensure_future(link.find_stream(digest))
            for link in self._stream_links()
        ]
        try:
            for answer in asyncio.as_completed(tasks):
                version = await answer
                if version is not None:
                    return version
        finally:
            for task in tasks:
                task.cancel()
        return None

    async def _ask_owners(self, digest: bytes) -> list[StreamAnswer | None]:
        """Return the answer of each other owner, None where none came.

        Without an owner any other gateway may write, and none can be asked.
        """
        if not self._owner_hosts() and self._view.instances.keys() - {
            self._cfg.instance
        }:
            return [None]
        return await asyncio.gather(
            *(_answer_of(link, digest) for link in self._links.values())
        )

    def _owner_hosts(self) -> set[str]:
        """Return the addresses of all owners.

        A record that names no owner has no host.
        """
        return {record.host for record in self._view.owners.values()} - {''}

    def _update_links(self) -> None:
        hosts = self._owner_hosts() - {self._cfg.host}
        for host in self._links.keys() - hosts:
            self._tasks.pop(host).cancel()
            self._links.pop(host)
        for host in hosts - self._links.keys():
            link = OwnerLink(
                self._cfg.instance,
                host,
                self._cfg.peer_port,
                self._view,
                self._store_updates,
                self._crashes,
                self.limits,
            )
            self._links[host] = link
            self._tasks[host] = asyncio.ensure_future(link.run())
        self._choose_relays()
        self._report_to_new_links()

    def _report_to_new_links(self) -> None:
        """Report all usage over new links, as the owner may have restarted."""
        for host, link in self._links.items():
            if link.needs_usage:
                link.needs_usage = False
                link.report_usage(self._usage.usage_at(host), is_complete=True)

    def _choose_relays(self) -> None:
        """Subscribe to store changes from the owners of this data centre."""
        relays = {
            record.host
            for record in self._view.owners.values()
            if record.data_centre == self._cfg.data_centre
        }
        for host, link in self._links.items():
            link.is_relay = host in relays


async def _answer_of(link: OwnerLink, digest: bytes) -> StreamAnswer | None:
    """Return the answer over a link, None if none comes in time."""
    try:
        async with asyncio.timeout(QUERY_TIMEOUT_S):
            return await link.query(digest)
    except TimeoutError:
        return None
