"""Links between gateways: the owners of engines and those that need loads."""

from __future__ import annotations

import asyncio
import itertools
from collections.abc import Callable

from websockets.asyncio.client import ClientConnection, connect
from websockets.asyncio.server import ServerConnection, broadcast, serve
from websockets.exceptions import WebSocketException

from wasabicross.events import Event
from wasabicross.exceptions import MessageMalformed
from wasabicross.gateway.backend import AdapterKey
from wasabicross.gateway.clock import now_s
from wasabicross.gateway.messages import (
    AdapterUse,
    Hello,
    LoadEnded,
    LoadWanted,
    Message,
    ServerLoad,
    ServerState,
    UsesTold,
    decode,
    encode,
)
from wasabicross.gateway.orders import LoadRequest
from wasabicross.gateway.owner_desk import OwnerDesk
from wasabicross.gateway.view import FleetView
from wasabicross.logs import log_event

_OPEN_TIMEOUT_S = 1.0
_REDIAL_S = 0.25
_MAX_FRAME_BYTES = 1048576

#: Pause between looks at what changed on the owner's engines.
_TELL_S = 0.06

#: How often a state is told that has not changed, as a sign of life.
_SIGN_OF_LIFE_S = 0.5

#: How often uses of adapters are told.
_USES_S = 0.25

#: Without a word for so long, a link is given up and dialled again.
_SILENCE_S = 1.6

_MS_IN_S = 1000


class OwnerServer:
    """Serves other gateways with the engines that this one owns.

    What changes goes to all links in one frame, encoded once.

    :param instance: name of this machine.
    :param desk: loads on those engines.
    """

    def __init__(self, instance: str, desk: OwnerDesk) -> None:
        self._instance = instance
        self._desk = desk
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
            max_size=_MAX_FRAME_BYTES,
            ping_interval=None,
        ):
            await self._tell()

    async def _on_link(self, conn: ServerConnection) -> None:
        try:
            hello = decode(await conn.recv())[0]
            if isinstance(hello, Hello):
                await self._follow(conn, hello.instance)
        except (WebSocketException, OSError, LookupError) as exc:
            log_event(Event.LINK_ENDED, reason=str(exc))
        except MessageMalformed as exc:
            log_event(Event.LINK_ENDED, reason=str(exc))

    async def _follow(self, conn: ServerConnection, instance: str) -> None:
        await conn.send(encode(Hello(self._instance), *self._desk.states()))
        self._links.add(conn)
        loads: set[asyncio.Task[None]] = set()
        try:
            async for frame in conn:
                for message in decode(frame):
                    self._on_message(conn, instance, message, loads)
        finally:
            self._links.discard(conn)
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
        elif isinstance(message, UsesTold):
            for use in message.uses:
                self._desk.on_use(instance, use)

    async def _load(self, conn: ServerConnection, want: LoadWanted) -> None:
        version = await self._desk.load(
            LoadRequest(
                want.server_id,
                AdapterKey(want.model, want.adapter),
                want.version,
                want.priority,
                want.patience_ms / _MS_IN_S,
            )
        )
        reason = '' if version else 'not loaded'
        try:
            await conn.send(encode(LoadEnded(want.call_id, version, reason)))
        except WebSocketException as exc:
            log_event(Event.LINK_ENDED, reason=str(exc))

    async def _tell(self) -> None:
        """Tell all links what changed, and how busy engines are."""
        told: dict[str, ServerState] = {}
        alive_s = now_s()
        while True:
            states = self._desk.states()
            news: list[Message] = [
                state
                for state in states
                if not _holds_the_same(state, told.get(state.server_id))
            ]
            told = {state.server_id: state for state in states}
            if now_s() - alive_s > _SIGN_OF_LIFE_S:
                alive_s = now_s()
                news.append(Hello(self._instance))
                news.extend(_load_of(state) for state in states)
            if news:
                broadcast(self._links, encode(*news))
            await asyncio.sleep(_TELL_S)


class OwnerLink:
    """A link to a gateway that owns engines.

    :param instance: name of this machine.
    :param host: IP number of the owner.
    :param port: its port for other gateways.
    :param view: takes in what the owner tells.
    """

    def __init__(
        self, instance: str, host: str, port: int, view: FleetView
    ) -> None:
        self._instance = instance
        self._host = host
        self._port = port
        self._view = view
        self._conn: ClientConnection | None = None
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
                await self._follow()
            except (WebSocketException, OSError, TimeoutError) as exc:
                self._on_end(repr(exc))
            except MessageMalformed as exc:
                self._on_end(str(exc))
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
        try:
            await _send(self._conn, want)
            return await fut
        except WebSocketException:
            return 0
        finally:
            self._calls.pop(call_id, None)

    async def tell(self, uses: tuple[AdapterUse, ...]) -> None:
        """Tell the owner which adapters are in use.

        :param uses: those that changed.
        """
        if self._conn is not None:
            try:
                await _send(self._conn, UsesTold(uses))
            except WebSocketException as exc:
                log_event(Event.LINK_ENDED, reason=str(exc))

    async def _follow(self) -> None:
        async with connect(
            f'ws://{self._host}:{self._port}',
            compression=None,
            max_size=_MAX_FRAME_BYTES,
            ping_interval=None,
            open_timeout=_OPEN_TIMEOUT_S,
            close_timeout=_OPEN_TIMEOUT_S,
            proxy=None,
        ) as conn:
            await _send(conn, Hello(self._instance))
            self._conn = conn
            log_event(Event.LINK_OPEN, host=self._host)
            while True:
                async with asyncio.timeout(_SILENCE_S):
                    frame = await conn.recv()
                for message in decode(frame):
                    self._on_message(message)

    def _on_message(self, message: Message) -> None:
        if isinstance(message, ServerState):
            self._view.on_state(message, now_s())
        elif isinstance(message, ServerLoad):
            self._view.on_load(message, now_s())
        elif isinstance(message, LoadEnded):
            fut = self._calls.get(message.call_id)
            if fut is not None and not fut.done():
                fut.set_result(message.version)

    def _on_end(self, reason: str) -> None:
        if self._conn is not None:
            log_event(Event.LINK_ENDED, host=self._host, reason=reason)
        self._conn = None
        for fut in self._calls.values():
            if not fut.done():
                fut.set_result(0)


class OwnerLinks:
    """The links to all owners, and this gateway's own desk.

    :param instance: name of this machine.
    :param host: its IP number.
    :param port: port for other gateways, the same on all machines.
    :param view: the deployment.
    :param desk: the engines that this gateway owns itself.
    :param uses: returns the uses of adapters that changed.
    """

    def __init__(
        self,
        instance: str,
        host: str,
        port: int,
        view: FleetView,
        desk: OwnerDesk,
        uses: Callable[[], dict[str, tuple[AdapterUse, ...]]],
    ) -> None:
        self._instance = instance
        self._host = host
        self._port = port
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
            await asyncio.sleep(_TELL_S)

    async def tell_uses(self) -> None:
        """Tell the owners which adapters are in use, until cancelled."""
        while True:
            for host, uses in self._uses().items():
                if host == self._host:
                    for use in uses:
                        self._desk.on_use(self._instance, use)
                    continue
                link = self._links.get(host)
                if link is not None:
                    await link.tell(uses)
            await asyncio.sleep(_USES_S)

    async def load(self, host: str, wanted: LoadRequest) -> int:
        """Have an adapter loaded; return its version, 0 if it failed.

        :param host: IP number of the engine's owner.
        :param wanted: which one, on which engine.
        """
        if host == self._host:
            return await self._desk.load(wanted)
        link = self._links.get(host)
        return await link.load(wanted) if link else 0

    def _follow(self) -> None:
        hosts = {record.host for record in self._view.owners.values()}
        hosts.discard(self._host)
        for host in self._links.keys() - hosts:
            self._tasks.pop(host).cancel()
            self._links.pop(host)
        for host in hosts - self._links.keys():
            link = OwnerLink(self._instance, host, self._port, self._view)
            self._links[host] = link
            self._tasks[host] = asyncio.ensure_future(link.run())


def _holds_the_same(state: ServerState, told: ServerState | None) -> bool:
    """Tell whether a state differs in nothing but how busy the server is."""
    if told is None:
        return False
    return told._replace(queued=state.queued, running=state.running) == state


def _load_of(state: ServerState) -> ServerLoad:
    return ServerLoad(
        state.server_id, state.born_ms, state.queued, state.running
    )


async def _send(
    conn: ClientConnection | ServerConnection, message: Message
) -> None:
    await conn.send(encode(message))
