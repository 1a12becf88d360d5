"""Serves gateways that request loads on the engines that this one owns."""

from __future__ import annotations

import asyncio

from websockets.asyncio.server import ServerConnection, broadcast, serve
from websockets.exceptions import WebSocketException

from wasabicross.gateway.backend import AdapterKey
from wasabicross.gateway.clock import now_s
from wasabicross.gateway.crash_messages import PartsCleared, ServerCrash
from wasabicross.gateway.crashes.crash_evidence import CrashEvidence
from wasabicross.gateway.crashes.crash_sharing import CrashMessage, CrashSharing
from wasabicross.gateway.error_containment import ErrorContainment
from wasabicross.gateway.loading.loader_service import LoaderService
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
from wasabicross.gateway.server_limits.messages import (
    GrantWanted,
    LimitsStated,
)
from wasabicross.gateway.server_limits.sharing import LimitSharing
from wasabicross.gateway.state_updates import StateUpdates
from wasabicross.gateway.store_following.store_copy import StoreCopy
from wasabicross.gateway.store_following.store_relay import StoreRelay
from wasabicross.gateway.stream_messages import StreamQuery, StreamsBegun
from wasabicross.gateway.streams.stream_memory import StreamMemory
from wasabicross.gateway.view import FleetView
from wasabicross.messaging.errors import MessageMalformed
from wasabicross.runtime.events import Event
from wasabicross.runtime.logs import log_event

#: Interval between frames on the owned engines. It grows with the number of
#: links, since each gateway spends time on each frame.
_FRAME_INTERVAL_S = 0.06
_FRAME_INTERVAL_PER_LINK_S = 0.002
_MAX_FRAME_INTERVAL_S = 0.3

_MS_PER_S = 1000

#: Timeout for the other side of a link to confirm its close.
_CLOSE_TIMEOUT_S = 0.1

#: A link with more unsent bytes is aborted, since the gateway no longer reads.
_MAX_UNSENT_BYTES = 262144

#: Errors that end a link. `ValueError` is raised for a first frame without a
#: message.
_LINK_ERRORS = (WebSocketException, OSError, ValueError, MessageMalformed)


def frame_interval_s(links: int) -> float:
    """Return the interval between frames on the owned engines.

    :param links: number of open links.
    """
    return min(
        _MAX_FRAME_INTERVAL_S,
        _FRAME_INTERVAL_S + _FRAME_INTERVAL_PER_LINK_S * links,
    )


class OwnerServer:
    """Serves links of other gateways to the engines that this one owns.

    Changes are encoded once and sent to all links in the same frame.

    :param instance: name of this machine.
    :param loader_service: loads on the owned engines.
    :param relay: relays store changes over the links.
    :param copy: this gateway's copy of the store's content.
    :param crashes: shares what gateways know of crashed servers.
    :param streams: remembers which versions began streams.
    :param limits: shares the limits of servers, None to share none.
    """

    def __init__(
        self,
        instance: str,
        loader_service: LoaderService,
        relay: StoreRelay,
        copy: StoreCopy,
        crashes: CrashSharing | None = None,
        streams: StreamMemory | None = None,
        limits: LimitSharing | None = None,
    ) -> None:
        self._limits = limits
        if limits is not None:
            limits.to_linked = self._send_to_all
        self._streams = streams or StreamMemory(FleetView())
        self._crashes = crashes or CrashSharing(CrashEvidence())
        self._crashes.to_linked = self._send_to_all
        self._instance = instance
        self._loader_service = loader_service
        self._relay = relay
        self._copy = copy
        self._updates = StateUpdates(instance)
        self._links: set[ServerConnection] = set()
        self._errors = ErrorContainment('owner')

    async def run(self, host: str, port: int) -> None:
        """Serve until cancelled.

        :param host: IP address to listen on.
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
            await self._send_updates()

    async def _on_link(self, conn: ServerConnection) -> None:
        try:
            hello, *rest = decode(await conn.recv())
            if rest and isinstance(rest[0], StoreCopyRequest):
                await conn.send(encode(self._copy.as_update()))
            elif isinstance(hello, Hello):
                await self._serve_link(conn, hello.instance)
        except _LINK_ERRORS as exc:
            log_event(Event.LINK_ENDED, reason=str(exc))

    async def _serve_link(self, conn: ServerConnection, instance: str) -> None:
        # Nothing is awaited between adding the link and reading the states, so
        # that no change is missed.
        self._links.add(conn)
        states = self._loader_service.states()
        crashes = self._crashes.table()
        limits = (
            self._limits.limiter.known.table(now_s()) if self._limits else ()
        )
        broadcast(
            (conn,), encode(Hello(self._instance), *states, *crashes, *limits)
        )
        loads: set[asyncio.Task[None]] = set()
        try:
            async for frame in conn:
                for message in decode(frame):
                    self._on_message(conn, instance, message, loads)
        finally:
            self._remove_link(conn, instance, loads)

    def _remove_link(
        self,
        conn: ServerConnection,
        instance: str,
        loads: set[asyncio.Task[None]],
    ) -> None:
        self._links.discard(conn)
        self._loader_service.on_disconnected(instance)
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
            self._on_usage(instance, message)
        else:
            self._on_news(conn, message)

    def _on_news(self, conn: ServerConnection, message: Message) -> None:
        """Handle what another gateway knows, or asks for."""
        if isinstance(message, ServerCrash | PartsCleared):
            self._crashes.on_message(message)
        elif isinstance(message, StreamsBegun):
            self._streams.on_begun(message)
        elif isinstance(message, StreamQuery):
            broadcast((conn,), encode(self._streams.answer(message)))
        elif self._limits is not None:
            self._on_limits(conn, message, self._limits)

    def _on_limits(
        self, conn: ServerConnection, message: Message, limits: LimitSharing
    ) -> None:
        """Handle the limits of servers, or grant a request there."""
        if isinstance(message, LimitsStated):
            limits.on_message(message, now_s())
        elif isinstance(message, GrantWanted):
            broadcast((conn,), encode(limits.answer(message, now_s())))

    def _on_usage(self, instance: str, update: UsageUpdate) -> None:
        if update.is_complete:
            self._loader_service.forget_usage(instance)
        for each in update.usage:
            self._loader_service.on_use(instance, each)

    def _send_to_all(self, message: CrashMessage | LimitsStated) -> None:
        """Send a message to all linked gateways without waiting."""
        broadcast(self._links, encode(message))

    async def _load(self, conn: ServerConnection, request: LoadWanted) -> None:
        version = await self._loader_service.load(
            LoadRequest(
                request.server_id,
                AdapterKey(request.model, request.adapter),
                request.version,
                request.priority,
                request.max_wait_ms / _MS_PER_S,
                request.target_wait_ms / _MS_PER_S,
                request.prompt_tokens,
                request.is_returning,
            )
        )
        reason = '' if version else 'not loaded'
        try:
            await conn.send(encode(LoadEnded(request.call_id, version, reason)))
        except WebSocketException as exc:
            log_event(Event.LINK_ENDED, reason=str(exc))

    async def _send_updates(self) -> None:
        """Send changes of the engines and heartbeats to all links."""
        while True:
            with self._errors.contain('updates'):
                self._broadcast_updates()
                self._abort_stalled_links()
            await asyncio.sleep(frame_interval_s(len(self._links)))

    def _broadcast_updates(self) -> None:
        states = self._loader_service.states()
        messages = self._updates.changes(states)
        heartbeats = self._updates.heartbeats(states, now_s())
        if heartbeats:
            messages += (
                *heartbeats,
                self._relay.status,
                *self._relay.confirmations(now_s()),
            )
        if messages:
            broadcast(self._links, encode(*messages))

    def _abort_stalled_links(self) -> None:
        """Abort the links of gateways that are gone or no longer read."""
        for conn in self._links:
            unsent = conn.transport.get_write_buffer_size()
            if unsent > _MAX_UNSENT_BYTES:
                log_event(
                    Event.LINK_ENDED,
                    reason=f'{unsent} unsent bytes, over {_MAX_UNSENT_BYTES}',
                )
                conn.transport.abort()
