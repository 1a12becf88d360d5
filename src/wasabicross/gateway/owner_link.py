"""A link to one gateway that owns engines."""

from __future__ import annotations

import asyncio
import itertools
import socket
from functools import singledispatchmethod
from typing import Protocol

from websockets.asyncio.client import ClientConnection, connect
from websockets.asyncio.connection import broadcast
from websockets.exceptions import WebSocketException

from wasabicross.gateway.clock import now_s
from wasabicross.gateway.messages import (
    MAX_FRAME_BYTES,
    AdapterUsage,
    HeldAdaptersUpdate,
    Hello,
    LoadEnded,
    LoadWanted,
    Message,
    ServerOccupancy,
    ServerState,
    StoreStatus,
    StoreUpdate,
    StoreUpdatesRequest,
    UsageUpdate,
    decode,
    encode,
)
from wasabicross.gateway.orders import LoadRequest
from wasabicross.gateway.view import FleetView
from wasabicross.messaging.errors import MessageMalformed
from wasabicross.runtime.events import Event
from wasabicross.runtime.logs import log_event

#: For a connection, and then for the handshake. A machine without power drops
#: the first packet, which the kernel repeats after a second only.
_CONNECT_TIMEOUT_S = 0.3
_OPEN_TIMEOUT_S = 1.0
_CLOSE_TIMEOUT_S = 0.1
_REDIAL_S = 0.25

#: Without a word for so long, a link is given up and dialled again.
_SILENCE_S = 1.6

_MS_IN_S = 1000

#: How a link ends.
_LINK_FAULTS = (WebSocketException, OSError, TimeoutError, MessageMalformed)


class StoreUpdateHandler(Protocol):
    """Takes in what relays tell of the store."""

    def on_status(self, relay: str, status: StoreStatus) -> None:
        """Take in how a relay stands with the store."""

    def on_update(self, news: StoreUpdate) -> None:
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
        news: StoreUpdateHandler,
    ) -> None:
        self._instance = instance
        self._news = news
        #: Whether the owner is asked for what it watches in the store.
        self.is_relay = False
        #: Whether it has opened since its owner was told all uses.
        self.needs_usage = False
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
            int(wanted.max_wait_s * _MS_IN_S),
            int(wanted.target_wait_s * _MS_IN_S),
        )
        _send(self._conn, want)
        try:
            return await fut
        finally:
            self._calls.pop(call_id)

    def report_usage(
        self, uses: tuple[AdapterUsage, ...], *, is_complete: bool = False
    ) -> None:
        """Tell the owner which adapters are in use, unless the link is down.

        :param uses: those that changed.
        :param is_complete: whether there are no others.
        """
        if self._conn is not None:
            _send(self._conn, UsageUpdate(uses, is_complete))

    async def _connected(self) -> socket.socket:
        """Return a socket that is connected to the owner."""
        sock = socket.socket()
        sock.setblocking(False)
        loop = asyncio.get_running_loop()
        try:
            async with asyncio.timeout(_CONNECT_TIMEOUT_S):
                await loop.sock_connect(sock, (self._host, self._port))
        except BaseException:
            sock.close()
            raise
        return sock

    async def _dial(self) -> None:
        async with connect(
            f'ws://{self._host}:{self._port}',
            sock=await self._connected(),
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
        self.needs_usage = True
        self._is_end_noted = False
        log_event(Event.LINK_OPEN, host=self._host)
        has_asked = False
        while True:
            if self.is_relay and not has_asked:
                _send(conn, StoreUpdatesRequest(self._instance))
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
    def _(self, message: HeldAdaptersUpdate) -> None:
        self._view.on_held_change(message, now_s())

    @_on_message.register
    def _(self, message: ServerOccupancy) -> None:
        self._view.on_occupancy(message, now_s())

    @_on_message.register
    def _(self, message: StoreUpdate) -> None:
        self._news.on_update(message)

    @_on_message.register
    def _(self, message: StoreStatus) -> None:
        # Without its news a relay's status would hide what is missing.
        if self.is_relay:
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


def _send(conn: ClientConnection, message: Message) -> None:
    """Send a message without waiting; a link that is closing drops it."""
    broadcast((conn,), encode(message))
