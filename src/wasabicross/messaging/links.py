"""Links between the processes of a deployment: websockets that carry CBOR."""

import itertools
import threading
from collections.abc import Callable
from concurrent.futures import Future
from concurrent.futures import TimeoutError as FutureTimeout
from contextlib import ExitStack
from typing import Any, Protocol

from expression import Error, Ok, Result
from websockets.exceptions import WebSocketException
from websockets.sync.client import connect
from websockets.sync.connection import Connection
from websockets.sync.server import Server, ServerConnection, serve

from wasabicross.messaging.errors import (
    LinkClosed,
    LinkError,
    LinkRefused,
    LinkTimeout,
)
from wasabicross.messaging.messages import (
    ONE_WAY,
    REPLY,
    REQUEST,
    Envelope,
    Hello,
    Refusal,
    Welcome,
    decode,
    encode,
)

MAX_FRAME_BYTES = 4 * 1024 * 1024
PING_INTERVAL_S = 2.0
PING_TIMEOUT_S = 4.0
OPEN_TIMEOUT_S = 3.0
HELLO_TIMEOUT_S = 3.0
CONTROLLER = 'controller'


class LinkHandler(Protocol):
    """Handles the messages that a process receives over its links."""

    def on_message(self, link: 'Link', message: Any, call_id: int) -> None:
        """Handle one message, and answer a request by `link.reply`.

        :param link: the link over which the message came.
        :param message: a message of `wasabicross.messaging.messages`.
        :param call_id: call number for the reply, 0 if none is expected.
        """


class Link:
    """An open connection to another process.

    :param conn: the open websocket.
    :param peer: the hello of the process that opened the connection.
    """

    def __init__(self, conn: Connection, peer: Hello) -> None:
        self.peer = peer
        self._conn = conn
        self._call_ids = itertools.count(1)
        self._lock = threading.Lock()
        self._pending: dict[int, Future[Result[Any, LinkError]]] = {}
        self.closed = threading.Event()

    def send(self, message: Any) -> bool:
        """Send a message without an answer; return whether it was sent.

        :param message: a message of `wasabicross.messaging.messages`.
        """
        return self._send(Envelope(ONE_WAY, 0, message))

    def reply(self, call_id: int, message: Any) -> bool:
        """Answer a request of the other process; return whether it was sent.

        :param call_id: the call number of the request.
        :param message: the answer.
        """
        return self._send(Envelope(REPLY, call_id, message))

    def call(self, message: Any, timeout_s: float) -> Result[Any, LinkError]:
        """Send a request and wait for its answer.

        :param message: the request.
        :param timeout_s: maximum wait in seconds, after which a `LinkTimeout`
            is returned.
        """
        fut = self.request(message)
        try:
            return fut.result(timeout_s)
        except FutureTimeout:
            return Error(LinkTimeout(type(message).__name__))

    def request(self, message: Any) -> Future[Result[Any, LinkError]]:
        """Send a request and return a future of its answer.

        The future is resolved with `LinkClosed` if the link ends first.

        :param message: the request.
        """
        call_id = next(self._call_ids)
        fut: Future[Result[Any, LinkError]] = Future()
        with self._lock:
            self._pending[call_id] = fut
        if not self._send(Envelope(REQUEST, call_id, message)):
            self._resolve(
                call_id,
                Error(
                    LinkClosed('cannot send the request: the link is closed')
                ),
            )
        return fut

    def run(
        self, handler: LinkHandler, max_silence_s: float | None = None
    ) -> None:
        """Receive messages and pass them to the handler until the link ends.

        :param handler: handles every message that is not an answer.
        :param max_silence_s: seconds without a message after which the link
            ends, None if the other process does not send regularly.
        """
        try:
            while self._receive(self._conn.recv(max_silence_s), handler):
                pass
        except (WebSocketException, OSError, TimeoutError):
            pass
        finally:
            self.close()

    def close(self) -> None:
        """Close the connection and fail waiting calls with `LinkClosed`."""
        self.closed.set()
        try:
            self._conn.close()
        except (WebSocketException, OSError):
            pass
        with self._lock:
            waiting = list(self._pending.values())
            self._pending.clear()
        for fut in waiting:
            fut.set_result(
                Error(LinkClosed('the link was closed before the answer came'))
            )

    def _send(self, envelope: Envelope) -> bool:
        if self.closed.is_set():
            return False
        try:
            self._conn.send(encode(envelope))
        except (WebSocketException, OSError):
            self.closed.set()
            return False
        return True

    def _receive(self, frame: bytes | str, handler: LinkHandler) -> bool:
        decoded = decode(frame)
        if decoded.is_error():
            return False
        envelope = decoded.ok
        if envelope.kind == REPLY:
            self._resolve(envelope.call_id, _unpack(envelope.message))
        else:
            handler.on_message(self, envelope.message, envelope.call_id)
        return True

    def _resolve(self, call_id: int, answer: Result[Any, LinkError]) -> None:
        with self._lock:
            fut = self._pending.pop(call_id, None)
        if fut is not None:
            fut.set_result(answer)


def _unpack(answer: Any) -> Result[Any, LinkError]:
    if isinstance(answer, Refusal):
        return Error(LinkRefused(f'{answer.code}: {answer.message}'))
    return Ok(answer)


def dial(host: str, port: int, hello: Hello) -> Result[Link, LinkError]:
    """Open a link to another process.

    Links between controllers have no pings, since their renewals serve as
    heartbeats.

    :param host: IP address of the other process.
    :param port: its link port.
    :param hello: describes this process; the other one may refuse it.
    """
    is_controller = hello.kind == CONTROLLER
    try:
        connection_manager = connect(
            f'ws://{host}:{port}',
            compression=None,
            proxy=None,
            max_size=MAX_FRAME_BYTES,
            open_timeout=OPEN_TIMEOUT_S,
            close_timeout=1.0,
            ping_interval=None if is_controller else PING_INTERVAL_S,
            ping_timeout=PING_TIMEOUT_S,
        )
        # The link outlives this function: `Link.close` ends the connection.
        conn = ExitStack().enter_context(connection_manager)
    except (WebSocketException, OSError, ValueError) as exc:
        return Error(LinkClosed(f'{host}:{port}: {exc}'))
    return _exchange_hello(conn, hello)


def listen(
    host: str,
    port: int,
    accept: Callable[[Link], Refusal | Welcome],
    serve_link: Callable[[Link], None],
) -> Server:
    """Return a server that accepts links; its `serve_forever` runs it.

    :param host: IP address to listen on.
    :param port: port to listen on.
    :param accept: decides by its hello whether another process may connect.
    :param serve_link: serves an accepted link until it ends.
    """

    def handle(conn: ServerConnection) -> None:  # noqa: WPS430
        _serve_connection(conn, accept, serve_link)

    return serve(
        handle,
        host,
        port,
        compression=None,
        max_size=MAX_FRAME_BYTES,
        open_timeout=OPEN_TIMEOUT_S,
        close_timeout=1.0,
        # The kind of the peer, which decides about pings, is known only after
        # its hello, see `_serve_connection`.
        ping_interval=None,
        ping_timeout=PING_TIMEOUT_S,
    )


def _serve_connection(
    conn: ServerConnection,
    accept: Callable[[Link], Refusal | Welcome],
    serve_link: Callable[[Link], None],
) -> None:
    try:
        decoded = decode(conn.recv(HELLO_TIMEOUT_S))
    except (WebSocketException, OSError, TimeoutError):
        return
    if decoded.is_error() or not isinstance(decoded.ok.message, Hello):
        conn.close(1002, 'hello expected')
        return
    link = Link(conn, decoded.ok.message)
    answer = accept(link)
    link.reply(decoded.ok.call_id, answer)
    if isinstance(answer, Welcome):
        if link.peer.kind != CONTROLLER:
            conn.ping_interval = PING_INTERVAL_S
            conn.start_keepalive()
        serve_link(link)
    link.close()


def _exchange_hello(conn: Connection, hello: Hello) -> Result[Link, LinkError]:
    try:
        conn.send(encode(Envelope(REQUEST, 1, hello)))
        decoded = decode(conn.recv(HELLO_TIMEOUT_S))
    except (WebSocketException, OSError, TimeoutError) as exc:
        conn.close()
        return Error(LinkClosed(f'no answer to the hello: {exc}'))
    if decoded.is_error():
        conn.close()
        return Error(decoded.error)
    answer = decoded.ok.message
    if isinstance(answer, Welcome):
        return Ok(Link(conn, hello))
    conn.close()
    return Error(LinkRefused(str(getattr(answer, 'code', 'unexpected answer'))))
