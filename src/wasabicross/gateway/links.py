"""Links to the gateways that own engines."""

from __future__ import annotations

import asyncio
import contextlib
import itertools
import math
from functools import singledispatchmethod
from typing import Protocol

from websockets.asyncio.client import ClientConnection, connect
from websockets.asyncio.connection import broadcast
from websockets.exceptions import WebSocketException

from wasabicross.events import Event
from wasabicross.exceptions import MessageMalformed
from wasabicross.gateway.clock import now_s
from wasabicross.gateway.messages import (
    MAX_FRAME_BYTES,
    AdapterUse,
    HeldChanged,
    Hello,
    LoadEnded,
    LoadWanted,
    Message,
    NewsWanted,
    ServerLoad,
    ServerState,
    StoreNews,
    StoreStatus,
    UsesTold,
    decode,
    encode,
)
from wasabicross.gateway.orders import LoadRequest
from wasabicross.gateway.owner_desk import OwnerDesk
from wasabicross.gateway.settings import GatewaySettings
from wasabicross.gateway.uses import AdapterUses
from wasabicross.gateway.view import FleetView
from wasabicross.logs import log_event

_OPEN_TIMEOUT_S = 1.0
_CLOSE_TIMEOUT_S = 0.1
_REDIAL_S = 0.25

#: Pause between looks at who owns engines, and at those of this gateway.
_FOLLOW_S = 0.06

#: How often uses of adapters that go on are told again.
_USES_S = 0.4

#: Pause in which uses that begin are gathered. Until its owner hears of a use,
#: it may unload the adapter, and an engine takes no orders while that waits.
_GATHER_S = 0.01

#: Without a word for so long, a link is given up and dialled again.
_SILENCE_S = 1.6

_MS_IN_S = 1000

#: How a link ends.
_LINK_FAULTS = (WebSocketException, OSError, TimeoutError, MessageMalformed)


class NewsSink(Protocol):
    """Takes in what relays tell of the store."""

    def on_status(self, relay: str, status: StoreStatus) -> None:
        """Take in how a relay stands with the store."""

    def on_news(self, news: StoreNews) -> None:
        """Take in changes that a relay has watched."""


class OwnerLink:
    """A link to a gateway that owns engines.

    :param instance: name of this machine.
    :param host: IP number of the owner.
    :param port: its port for other gateways.
    :param view: takes in what the owner tells.
    :param news: takes in what the owner watches in the store.
    """

    def __init__(
        self,
        instance: str,
        host: str,
        port: int,
        view: FleetView,
        news: NewsSink,
    ) -> None:
        self._instance = instance
        self._news = news
        #: Whether the owner is asked for what it watches in the store.
        self.wants_news = False
        self._host = host
        self._port = port
        self._view = view
        self._conn: ClientConnection | None = None
        self._is_end_noted = False
        self._calls: dict[int, asyncio.Future[int]] = {}
        self._call_ids = itertools.count(1)

    @property
    def is_open(self) -> bool:
        """Tell whether the link stands."""
        return self._conn is not None

    async def run(self) -> None:
        """Keep the link open until cancelled."""
        while True:
            try:
                await self._dial()
            except _LINK_FAULTS as exc:
                self._note_end(repr(exc))
            await asyncio.sleep(_REDIAL_S)

    async def load(self, wanted: LoadRequest) -> int:
        """Have an adapter loaded; return its version, 0 if it failed.

        :param wanted: which one, on which engine.
        """
        if self._conn is None:
            return 0
        call_id = next(self._call_ids)
        fut: asyncio.Future[int] = asyncio.get_running_loop().create_future()
        self._calls[call_id] = fut
        want = LoadWanted(
            call_id,
            wanted.server_id,
            wanted.key.model,
            wanted.key.adapter,
            wanted.version,
            wanted.priority,
            int(wanted.patience_s * _MS_IN_S),
        )
        _send(self._conn, want)
        try:
            return await fut
        finally:
            self._calls.pop(call_id)

    def tell(self, uses: tuple[AdapterUse, ...]) -> None:
        """Tell the owner which adapters are in use, unless the link is down.

        :param uses: those that changed.
        """
        if self._conn is not None:
            _send(self._conn, UsesTold(uses))

    async def _dial(self) -> None:
        async with connect(
            f'ws://{self._host}:{self._port}',
            compression=None,
            max_size=MAX_FRAME_BYTES,
            ping_interval=None,
            open_timeout=_OPEN_TIMEOUT_S,
            close_timeout=_CLOSE_TIMEOUT_S,
            proxy=None,
        ) as conn:
            try:
                await self._follow(conn)
            finally:
                self._leave()

    async def _follow(self, conn: ClientConnection) -> None:
        _send(conn, Hello(self._instance))
        self._conn = conn
        self._is_end_noted = False
        log_event(Event.LINK_OPEN, host=self._host)
        has_asked = False
        while True:
            if self.wants_news and not has_asked:
                _send(conn, NewsWanted(self._instance))
                has_asked = True
            async with asyncio.timeout(_SILENCE_S):
                frame = await conn.recv()
            for message in decode(frame):
                self._on_message(message)

    @singledispatchmethod
    def _on_message(self, message: Message) -> None:
        """Ignore what an owner has no business to send."""

    @_on_message.register
    def _(self, message: ServerState) -> None:
        self._view.on_state(message, now_s())

    @_on_message.register
    def _(self, message: HeldChanged) -> None:
        self._view.on_held_change(message, now_s())

    @_on_message.register
    def _(self, message: ServerLoad) -> None:
        self._view.on_load(message, now_s())

    @_on_message.register
    def _(self, message: StoreNews) -> None:
        self._news.on_news(message)

    @_on_message.register
    def _(self, message: StoreStatus) -> None:
        # Without its news a relay's status would hide what is missing.
        if self.wants_news:
            self._news.on_status(self._host, message)

    @_on_message.register
    def _(self, message: LoadEnded) -> None:
        fut = self._calls.get(message.call_id)
        if fut is not None and not fut.done():
            fut.set_result(message.version)

    def _leave(self) -> None:
        """Let nobody wait for the link, which may take a while to close."""
        self._conn = None
        for fut in self._calls.values():
            if not fut.done():
                fut.set_result(0)

    def _note_end(self, reason: str) -> None:
        """Log why there is no link, once until it is open again."""
        if not self._is_end_noted:
            log_event(Event.LINK_ENDED, host=self._host, reason=reason)
        self._is_end_noted = True


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
        uses: AdapterUses,
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
            uses = self._uses.changed(with_running=is_due)
            for host, of_host in uses.items():
                self._tell_uses(host, of_host)
            await self._until_a_use_begins(told_all_s + _USES_S)

    async def _until_a_use_begins(self, until_s: float) -> None:
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(max(0, until_s - now_s())):
                await self._uses.has_begun.wait()
        self._uses.has_begun.clear()
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

    def _choose_relays(self) -> None:
        """Ask the owners of this data centre's groups for their news."""
        relays = {
            record.host
            for record in self._view.owners.values()
            if record.data_centre == self._cfg.data_centre
        }
        for host, link in self._links.items():
            link.wants_news = host in relays


def _send(conn: ClientConnection, message: Message) -> None:
    """Send a message without waiting; a link that is closing drops it."""
    broadcast((conn,), encode(message))
