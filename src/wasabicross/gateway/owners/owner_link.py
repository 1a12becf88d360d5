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
from wasabicross.gateway.connections.round_trips import NO_STREAM, RoundTrips
from wasabicross.gateway.crash_messages import PartsCleared, ServerCrash
from wasabicross.gateway.crashes.crash_evidence import CrashEvidence
from wasabicross.gateway.crashes.crash_sharing import CrashMessage, CrashSharing
from wasabicross.gateway.error_containment import ErrorContainment
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
    StoreConfirmation,
    StoreStatus,
    StoreUpdate,
    StoreUpdatesRequest,
    UsageUpdate,
    decode,
    encode,
)
from wasabicross.gateway.orders import LoadRequest
from wasabicross.gateway.server_limits.messages import (
    GrantAnswer,
    GrantWanted,
    LimitsStated,
)
from wasabicross.gateway.server_limits.sharing import LimitSharing
from wasabicross.gateway.stream_messages import (
    StreamAnswer,
    StreamQuery,
    StreamsBegun,
)
from wasabicross.gateway.view import FleetView
from wasabicross.messaging.errors import MessageMalformed
from wasabicross.runtime.events import Event
from wasabicross.runtime.logs import log_event

#: Timeouts of the TCP connection and then of the handshake. The former is less
#: than the second after which the kernel first repeats a lost packet, such as
#: one to a machine that is powered off.
_CONNECT_TIMEOUT_S = 0.3
_OPEN_TIMEOUT_S = 1.0
_CLOSE_TIMEOUT_S = 0.1
_RECONNECT_DELAY_S = 0.25

#: A link on which nothing was received for this time is closed and reopened.
_RECEIVE_TIMEOUT_S = 1.6

#: Longest wait for the grant of a request.
_GRANT_TIMEOUT_S = 0.15

_MS_PER_S = 1000

#: Errors that end a link.
_LINK_ERRORS = (WebSocketException, OSError, TimeoutError, MessageMalformed)


class StoreUpdateHandler(Protocol):
    """Handles what relays send about the store."""

    def on_status(self, relay: str, status: StoreStatus) -> None:
        """Handle the status of a relay."""

    def on_confirmation(
        self, relay: str, confirmation: StoreConfirmation
    ) -> None:
        """Handle as of when a relay knows the store's content."""

    def on_round_trip(self, relay: str, asked_s: float) -> None:
        """Handle that a relay sends what comes next after a question."""

    def on_update(self, store_update: StoreUpdate) -> None:
        """Handle changes that a relay has forwarded."""


class OwnerLink:
    """A link to a gateway that owns engines.

    :param instance: name of this machine.
    :param host: IP address of the owner.
    :param port: its port for other gateways.
    :param view: updated with the states that the owner reports.
    :param store_updates: handles the store changes that the owner relays.
    :param crashes: shares what gateways know of crashed servers.
    :param limits: shares the limits of servers, None to share none.
    """

    def __init__(
        self,
        instance: str,
        host: str,
        port: int,
        view: FleetView,
        store_updates: StoreUpdateHandler,
        crashes: CrashSharing | None = None,
        limits: LimitSharing | None = None,
    ) -> None:
        self._limits = limits
        self._crashes = crashes or CrashSharing(CrashEvidence())
        self._instance = instance
        self._store_updates = store_updates
        #: Whether the owner relays store changes to this gateway.
        self.is_relay = False
        #: Whether the link has opened since all usage was last reported over
        #: it.
        self.needs_usage = False
        self._host = host
        self._port = port
        self._view = view
        self._conn: ClientConnection | None = None
        self._is_end_logged = False
        self._errors = ErrorContainment('link')
        self._calls: dict[int, asyncio.Future[int]] = {}
        self._queries: dict[int, asyncio.Future[StreamAnswer | None]] = {}
        self._grants: dict[int, asyncio.Future[float | None]] = {}
        self._call_ids = itertools.count(1)
        self._round_trips = RoundTrips()

    @property
    def is_open(self) -> bool:
        """Return whether the link is open."""
        return self._conn is not None

    async def run(self) -> None:
        """Keep the link open until cancelled."""
        while True:
            with self._errors.contain(self._host):
                await self._open_or_log()
            await asyncio.sleep(_RECONNECT_DELAY_S)

    async def _open_or_log(self) -> None:
        try:
            await self._open()
        except _LINK_ERRORS as exc:
            self._log_end(repr(exc))

    async def load(self, request: LoadRequest) -> int:
        """Load an adapter and return its version, 0 if the load failed.

        :param request: the adapter and the engine.
        """
        if self._conn is None:
            return 0
        call_id = next(self._call_ids)
        fut: asyncio.Future[int] = asyncio.get_running_loop().create_future()
        self._calls[call_id] = fut
        message = LoadWanted(
            call_id,
            request.server_id,
            request.key.model,
            request.key.adapter,
            request.version,
            request.priority,
            int(request.max_wait_s * _MS_PER_S),
            int(request.target_wait_s * _MS_PER_S),
            request.prompt_tokens,
            request.is_returning,
        )
        _send(self._conn, message)
        try:
            return await fut
        finally:
            self._calls.pop(call_id)

    def report_usage(
        self, usage: tuple[AdapterUsage, ...], *, is_complete: bool = False
    ) -> None:
        """Report which adapters are in use, unless the link is closed.

        :param usage: the usage that changed.
        :param is_complete: whether this replaces all usage reported before.
        """
        if self._conn is not None:
            _send(self._conn, UsageUpdate(usage, is_complete))

    def report_crash(self, message: CrashMessage) -> None:
        """Send what this gateway knows of a crash, unless the link is closed.

        :param message: the crash, or the parts that are cleared.
        """
        if self._conn is not None:
            _send(self._conn, message)

    def report_streams(self, messages: tuple[StreamsBegun, ...]) -> None:
        """Send what began streams, unless the link is closed.

        :param messages: the streams by service and software version.
        """
        if self._conn is not None:
            _send(self._conn, *messages)

    async def find_stream(self, digest: bytes) -> str | None:
        """Return the version that began a stream, None if the owner has none.

        :param digest: stands for the stream.
        """
        answer = await self.query(digest)
        if answer is None or not answer.is_known:
            return None
        return answer.software_version

    async def query(self, digest: bytes) -> StreamAnswer | None:
        """Return the owner's answer, None if the link is closed.

        :param digest: stands for what is asked.
        """
        if self._conn is None:
            return None
        call_id = next(self._call_ids)
        fut: asyncio.Future[StreamAnswer | None]
        fut = asyncio.get_running_loop().create_future()
        self._queries[call_id] = fut
        _send(self._conn, StreamQuery(call_id, digest))
        try:
            return await fut
        finally:
            self._queries.pop(call_id)

    def report_limits(self, message: LimitsStated) -> None:
        """Send which load a server bears, unless the link is closed.

        :param message: what the server stated.
        """
        if self._conn is not None:
            _send(self._conn, message)

    async def request_grant(self, message: LimitsStated) -> float | None:
        """Ask whether a request may be sent to a server.

        :param message: what the server stated, in case that the owner hasn't
            heard of it.
        :return: 0 if it may, else the time until another one may, seconds; None
            if the owner doesn't answer.
        """
        if self._conn is None:
            return None
        call_id = next(self._call_ids)
        fut: asyncio.Future[float | None]
        fut = asyncio.get_running_loop().create_future()
        self._grants[call_id] = fut
        wanted = GrantWanted(call_id, message.server_id, message.start_ms)
        _send(self._conn, message, wanted)
        try:
            async with asyncio.timeout(_GRANT_TIMEOUT_S):
                return await fut
        except TimeoutError:
            return None
        finally:
            self._grants.pop(call_id)

    async def _connected_socket(self) -> socket.socket:
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

    async def _open(self) -> None:
        async with connect(
            f'ws://{self._host}:{self._port}',
            sock=await self._connected_socket(),
            compression=None,
            max_size=MAX_FRAME_BYTES,
            ping_interval=None,
            open_timeout=_OPEN_TIMEOUT_S,
            close_timeout=_CLOSE_TIMEOUT_S,
            proxy=None,
        ) as conn:
            try:
                await self._serve(conn)
            finally:
                self._on_end()

    async def _serve(self, conn: ClientConnection) -> None:
        _send(conn, Hello(self._instance))
        crashes = self._crashes.table()
        if crashes:
            _send(conn, *crashes)
        if self._limits is not None:
            self._send_limits(conn, self._limits)
        self._conn = conn
        self._round_trips = RoundTrips()
        self.needs_usage = True
        self._is_end_logged = False
        log_event(Event.LINK_OPEN, host=self._host)
        is_subscribed = False
        while True:
            if self.is_relay and not is_subscribed:
                _send(conn, StoreUpdatesRequest(self._instance))
                is_subscribed = True
            async with asyncio.timeout(_RECEIVE_TIMEOUT_S):
                frame = await conn.recv()
            if self.is_relay and self._round_trips.is_due(now_s()):
                call_id = next(self._call_ids)
                self._round_trips.begin(call_id, now_s())
                _send(conn, StreamQuery(call_id, NO_STREAM))
            for message in decode(frame):
                with self._errors.contain(type(message).__name__):
                    self._on_message(message)

    def _send_limits(
        self, conn: ClientConnection, limits: LimitSharing
    ) -> None:
        """Send the limits of all servers, as the owner may have started."""
        stated = limits.limiter.known.table(now_s())
        if stated:
            _send(conn, *stated)

    @singledispatchmethod
    def _on_message(self, message: Message) -> None:
        """Ignore messages that an owner isn't expected to send."""

    @_on_message.register
    def _(self, message: ServerState) -> None:
        self._view.on_state(message, now_s())

    @_on_message.register
    def _(self, message: HeldAdaptersUpdate) -> None:
        self._view.on_held_change(message, now_s())

    @_on_message.register
    def _(self, message: ServerOccupancy) -> None:
        self._view.on_occupancy(message, now_s())

    @_on_message.register(ServerCrash)
    @_on_message.register(PartsCleared)
    def _(self, message: CrashMessage) -> None:
        self._crashes.on_message(message)

    @_on_message.register
    def _(self, message: StoreUpdate) -> None:
        self._store_updates.on_update(message)

    @_on_message.register
    def _(self, message: StoreStatus) -> None:
        # Without the owner's store changes, its status could make this gateway
        # stop watching the store and miss changes.
        if self.is_relay:
            self._store_updates.on_status(self._host, message)

    @_on_message.register
    def _(self, message: StoreConfirmation) -> None:
        if self.is_relay:
            self._store_updates.on_confirmation(self._host, message)

    @_on_message.register
    def _(self, message: LoadEnded) -> None:
        fut = self._calls.get(message.call_id)
        if fut is not None and not fut.done():
            fut.set_result(message.version)

    @_on_message.register
    def _(self, message: StreamAnswer) -> None:
        asked_s = self._round_trips.end(message.call_id)
        if asked_s is not None:
            self._store_updates.on_round_trip(self._host, asked_s)
        fut = self._queries.get(message.call_id)
        if fut is not None and not fut.done():
            fut.set_result(message)

    @_on_message.register
    def _(self, message: LimitsStated) -> None:
        if self._limits is not None:
            self._limits.on_message(message, now_s())

    @_on_message.register
    def _(self, message: GrantAnswer) -> None:
        fut = self._grants.get(message.call_id)
        if fut is not None and not fut.done():
            wait_ms = message.wait_ms
            fut.set_result(None if wait_ms < 0 else wait_ms / _MS_PER_S)

    def _on_end(self) -> None:
        """Fail the waiting calls, since closing the link may take a while."""
        self._conn = None
        for fut in self._calls.values():
            if not fut.done():
                fut.set_result(0)
        for query in self._queries.values():
            if not query.done():
                query.set_result(None)
        for grant in self._grants.values():
            if not grant.done():
                grant.set_result(None)

    def _log_end(self, reason: str) -> None:
        """Log why the link ended, once until it is open again."""
        if not self._is_end_logged:
            log_event(Event.LINK_ENDED, host=self._host, reason=reason)
        self._is_end_logged = True


def _send(conn: ClientConnection, *messages: Message) -> None:
    """Send a frame without waiting; it is lost if the link is closing."""
    broadcast((conn,), encode(*messages))
