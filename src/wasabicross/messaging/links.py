"""Links between the system's own processes: websockets that carry CBOR."""

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
    """What a process does with the messages of its links."""

    def on_message(self, link: 'Link', message: Any, call_id: int) -> None:
        """Handle one message; answer it by `link.reply` if it asks.

        :param link: where the message came from.
        :param message: a message of `wasabicross.messaging.messages`.
        :param call_id: the number to reply to, 0 if none is expected.
        """


class Link:
    """One open connection to another process of the system.

    :param conn: the websocket, open.
    :param peer: the hello of the process that dialled.
    """

    def __init__(self, conn: Connection, peer: Hello) -> None:
        self.peer = peer
        self._conn = conn
        self._numbers = itertools.count(1)
        self._lock = threading.Lock()
        self._pending: dict[int, Future[Result[Any, LinkError]]] = {}
        self.closed = threading.Event()

    def send(self, message: Any) -> bool:
        """Send a message one way; return whether the link took it.

        :param message: a message of `wasabicross.messaging.messages`.
        """
        return self._send(Envelope(ONE_WAY, 0, message))

    def reply(self, call_id: int, message: Any) -> bool:
        """Answer a request of the other side.

        :param call_id: the number that came with the request.
        :param message: the answer.
        """
        return self._send(Envelope(REPLY, call_id, message))

    def call(self, message: Any, timeout_s: float) -> Result[Any, LinkError]:
        """Send a request and wait for its answer.

        :param message: the request.
        :param timeout_s: seconds to wait; a `LinkTimeout` is returned then.
        """
        fut = self.request(message)
        try:
            return fut.result(timeout_s)
        except FutureTimeout:
            return Error(LinkTimeout(type(message).__name__))

    def request(self, message: Any) -> Future[Result[Any, LinkError]]:
        """Send a request; the future has its answer, at the latest when the
        link ends.

        :param message: the request.
        """
        call_id = next(self._numbers)
        fut: Future[Result[Any, LinkError]] = Future()
        with self._lock:
            self._pending[call_id] = fut
        if not self._send(Envelope(REQUEST, call_id, message)):
            self._settle(call_id, Error(LinkClosed('link is closed')))
        return fut

    def run(self, handler: LinkHandler, silence_s: float | None = None) -> None:
        """Receive until the link ends; calls the handler for each message.

        :param handler: takes every message that is not an answer.
        :param silence_s: seconds without a message that end the link, None if
            the other side has none to send at times.
        """
        try:
            while self._receive(self._conn.recv(silence_s), handler):
                pass
        except (WebSocketException, OSError, TimeoutError):
            pass
        finally:
            self.close()

    def close(self) -> None:
        """Close the connection; every waiting call gets `LinkClosed`."""
        self.closed.set()
        try:
            self._conn.close()
        except (WebSocketException, OSError):
            pass
        with self._lock:
            waiting = list(self._pending.values())
            self._pending.clear()
        for fut in waiting:
            fut.set_result(Error(LinkClosed('link closed')))

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
            self._settle(envelope.call_id, _unpack(envelope.message))
        else:
            handler.on_message(self, envelope.message, envelope.call_id)
        return True

    def _settle(self, call_id: int, answer: Result[Any, LinkError]) -> None:
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

    Links between controllers carry no pings: renewals tell as much.

    :param host: IP number of the other process.
    :param port: its link port.
    :param hello: who dials; the other side may refuse it.
    """
    is_renewed = hello.kind == CONTROLLER
    try:
        opening = connect(
            f'ws://{host}:{port}',
            compression=None,
            proxy=None,
            max_size=MAX_FRAME_BYTES,
            open_timeout=OPEN_TIMEOUT_S,
            close_timeout=1.0,
            ping_interval=None if is_renewed else PING_INTERVAL_S,
            ping_timeout=PING_TIMEOUT_S,
        )
        # The link outlives this function; `Link.close` ends the connection.
        conn = ExitStack().enter_context(opening)
    except (WebSocketException, OSError, ValueError) as exc:
        return Error(LinkClosed(f'{host}:{port}: {exc}'))
    return _introduce(conn, hello)


def listen(
    host: str,
    port: int,
    accept: Callable[[Link], Refusal | Welcome],
    serve_link: Callable[[Link], None],
) -> Server:
    """Return a server of links; `serve_forever` runs it.

    :param host: IP number to listen on.
    :param port: port to listen on.
    :param accept: decides whether the process that said hello is let in.
    :param serve_link: runs an accepted link until it ends.
    """

    def handle(conn: ServerConnection) -> None:  # noqa: WPS430
        _greet(conn, accept, serve_link)

    return serve(
        handle,
        host,
        port,
        compression=None,
        max_size=MAX_FRAME_BYTES,
        open_timeout=OPEN_TIMEOUT_S,
        close_timeout=1.0,
        # Who dials is known only later, see `_greet`.
        ping_interval=None,
        ping_timeout=PING_TIMEOUT_S,
    )


def _greet(
    conn: ServerConnection,
    accept: Callable[[Link], Refusal | Welcome],
    serve_link: Callable[[Link], None],
) -> None:
    try:
        opening = decode(conn.recv(HELLO_TIMEOUT_S))
    except (WebSocketException, OSError, TimeoutError):
        return
    if opening.is_error() or not isinstance(opening.ok.message, Hello):
        conn.close(1002, 'hello expected')
        return
    link = Link(conn, opening.ok.message)
    verdict = accept(link)
    link.reply(opening.ok.call_id, verdict)
    if isinstance(verdict, Welcome):
        if link.peer.kind != CONTROLLER:
            conn.ping_interval = PING_INTERVAL_S
            conn.start_keepalive()
        serve_link(link)
    link.close()


def _introduce(conn: Connection, hello: Hello) -> Result[Link, LinkError]:
    try:
        conn.send(encode(Envelope(REQUEST, 1, hello)))
        decoded = decode(conn.recv(HELLO_TIMEOUT_S))
    except (WebSocketException, OSError, TimeoutError) as exc:
        conn.close()
        return Error(LinkClosed(f'no welcome: {exc}'))
    if decoded.is_error():
        conn.close()
        return Error(decoded.error)
    answer = decoded.ok.message
    if isinstance(answer, Welcome):
        return Ok(Link(conn, hello))
    conn.close()
    return Error(LinkRefused(str(getattr(answer, 'code', 'unexpected answer'))))
