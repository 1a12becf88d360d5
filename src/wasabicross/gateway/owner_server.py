"""Serves gateways that need loads on engines that this one owns."""

from __future__ import annotations

import asyncio

from websockets.asyncio.server import ServerConnection, broadcast, serve
from websockets.exceptions import WebSocketException

from wasabicross.gateway.backend import AdapterKey
from wasabicross.gateway.clock import now_s
from wasabicross.gateway.loader_service import LoaderService
from wasabicross.gateway.messages import (
    MAX_FRAME_BYTES,
    Hello,
    LoadEnded,
    LoadWanted,
    Message,
    StoreCopyRequest,
    StoreUpdatesRequest,
    UsageUpdate,
    decode,
    encode,
)
from wasabicross.gateway.orders import LoadRequest
from wasabicross.gateway.state_updates import StateUpdates
from wasabicross.gateway.store_copy import StoreCopy
from wasabicross.gateway.store_relay import StoreRelay
from wasabicross.messaging.errors import MessageMalformed
from wasabicross.runtime.events import Event
from wasabicross.runtime.logs import log_event

#: Pause between looks at what changed on the owner's engines; longer where
#: more gateways are told, since each of them spends time on each frame.
_TELL_S = 0.06
_TELL_FOR_EACH_S = 0.002
_MAX_TELL_S = 0.3

_MS_IN_S = 1000

#: How long the other end of a link may take to end it as well.
_CLOSE_TIMEOUT_S = 0.1

#: A gateway for which more waits reads nothing any more.
_MAX_WAITING_BYTES = 262144

#: How a link ends; `ValueError` is a first frame without a message.
_LINK_FAULTS = (WebSocketException, OSError, ValueError, MessageMalformed)


def frame_interval_s(links: int) -> float:
    """Return how long an owner rests between frames of news.

    :param links: gateways that are told.
    """
    return min(_MAX_TELL_S, _TELL_S + _TELL_FOR_EACH_S * links)


class OwnerServer:
    """Serves other gateways with the engines that this one owns.

    What changes goes to all links in one frame, encoded once.

    :param instance: name of this machine.
    :param desk: loads on those engines.
    :param relay: passes news of the store on.
    :param copy: what this gateway knows of the store's content.
    """

    def __init__(
        self,
        instance: str,
        desk: LoaderService,
        relay: StoreRelay,
        copy: StoreCopy,
    ) -> None:
        self._instance = instance
        self._desk = desk
        self._relay = relay
        self._copy = copy
        self._news = StateUpdates(instance)
        self._links: set[ServerConnection] = set()

    async def run(self, host: str, port: int) -> None:
        """Serve until cancelled.

        :param host: IP number of this machine.
        :param port: port to listen on.
        """
        async with serve(
            self._on_link,
            host,
            port,
            compression=None,
            max_size=MAX_FRAME_BYTES,
            ping_interval=None,
            close_timeout=_CLOSE_TIMEOUT_S,
        ):
            await self._tell()

    async def _on_link(self, conn: ServerConnection) -> None:
        try:
            hello, *rest = decode(await conn.recv())
            if rest and isinstance(rest[0], StoreCopyRequest):
                await conn.send(encode(self._copy.as_update()))
            elif isinstance(hello, Hello):
                await self._follow(conn, hello.instance)
        except _LINK_FAULTS as exc:
            log_event(Event.LINK_ENDED, reason=str(exc))

    async def _follow(self, conn: ServerConnection, instance: str) -> None:
        # Without a wait between the two, no change is missed.
        self._links.add(conn)
        states = self._desk.states()
        broadcast((conn,), encode(Hello(self._instance), *states))
        loads: set[asyncio.Task[None]] = set()
        try:
            async for frame in conn:
                for message in decode(frame):
                    self._on_message(conn, instance, message, loads)
        finally:
            self._forget(conn, loads)

    def _forget(
        self, conn: ServerConnection, loads: set[asyncio.Task[None]]
    ) -> None:
        self._links.discard(conn)
        self._relay.discard(conn)
        for task in loads:
            task.cancel()

    def _on_message(
        self,
        conn: ServerConnection,
        instance: str,
        message: Message,
        loads: set[asyncio.Task[None]],
    ) -> None:
        if isinstance(message, LoadWanted):
            task = asyncio.ensure_future(self._load(conn, message))
            loads.add(task)
            task.add_done_callback(loads.discard)
        elif isinstance(message, StoreUpdatesRequest):
            self._relay.add(conn)
        elif isinstance(message, UsageUpdate):
            if message.is_complete:
                self._desk.forget_usage(instance)
            for use in message.usage:
                self._desk.on_use(instance, use)

    async def _load(self, conn: ServerConnection, want: LoadWanted) -> None:
        version = await self._desk.load(
            LoadRequest(
                want.server_id,
                AdapterKey(want.model, want.adapter),
                want.version,
                want.priority,
                want.max_wait_ms / _MS_IN_S,
                want.target_wait_ms / _MS_IN_S,
            )
        )
        reason = '' if version else 'not loaded'
        try:
            await conn.send(encode(LoadEnded(want.call_id, version, reason)))
        except WebSocketException as exc:
            log_event(Event.LINK_ENDED, reason=str(exc))

    async def _tell(self) -> None:
        """Tell all links what changed, and how busy engines are."""
        while True:
            states = self._desk.states()
            news = self._news.changes(states)
            alive = self._news.heartbeats(states, now_s())
            if alive:
                news += (*alive, self._relay.status)
            if news:
                broadcast(self._links, encode(*news))
            self._drop_stuck()
            await asyncio.sleep(frame_interval_s(len(self._links)))

    def _drop_stuck(self) -> None:
        """End the links of gateways that have vanished or stand still."""
        for conn in self._links:
            waiting = conn.transport.get_write_buffer_size()
            if waiting > _MAX_WAITING_BYTES:
                log_event(Event.LINK_ENDED, reason=f'{waiting} bytes wait')
                conn.transport.abort()
