"""The HTTP server under the programs' ports."""

import socket
import time
from contextlib import suppress
from typing import Any

from cheroot import wsgi
from cheroot.server import HTTPConnection, HTTPRequest

from wasabicross.runtime.deadline_socket import DeadlineSocket
from wasabicross.runtime.request_heads import MAX_HEAD_BYTES, RequestHeadPoller

#: Seconds for which a connection is kept open between requests.
KEEP_ALIVE_S = 75

#: Connections that may wait to be accepted.
LISTEN_BACKLOG = 256

_TIMEOUT_S = 10

#: Seconds within which a body has to be whole once it is read.
BODY_TIMEOUT_S = 30.0

#: Bytes of a body that a refused request may still bring without losing its
#: connection: less than a new connection costs.
_SKIPPED_BYTES = 65_536

#: Seconds for which a longer one is read and dropped, so that its sender gets
#: to read the answer.
_DROPPING_S = 1.0
_PIECE_BYTES = 65_536


class _Request(HTTPRequest):
    """A request whose body is never taken for the next request."""

    def read_request_headers(self) -> bool:
        """Read the headers; refuse a length that isn't one."""
        is_read: bool = super().read_request_headers()  # type: ignore[no-untyped-call]
        if not is_read:
            return False
        length = self.inheaders.get(b'Content-Length', b'0').strip()
        if length.isdigit():
            return True
        self.simple_response(
            '400 Bad Request', 'Malformed Content-Length Header.'
        )
        return False

    def send_headers(self) -> None:
        """Send the headers; the last answer of a connection says so."""
        if self._ends_connection():
            self.close_connection = True
        super().send_headers()

    def respond(self) -> None:
        """Answer, then drop what was sent and isn't wanted."""
        with self.conn.socket.bounded(self.server.body_timeout_s):
            super().respond()
        if self.close_connection and self._has_unread_body():
            self._drop_body()

    def _ends_connection(self) -> bool:
        if (b'Connection', b'close') in self.outheaders:
            return True
        # A chunked body's end, with its trailers, is not read by the server.
        if b'Transfer-Encoding' in self.inheaders:
            return True
        return bool(getattr(self.rfile, 'remaining', 0) > _SKIPPED_BYTES)

    def _has_unread_body(self) -> bool:
        if b'Transfer-Encoding' in self.inheaders:
            return True
        return bool(getattr(self.rfile, 'remaining', 0))

    def _drop_body(self) -> None:
        """Read on for a while: unread bytes would reset the connection."""
        self.conn.wfile.flush()
        with suppress(OSError):
            self.conn.socket.shutdown(socket.SHUT_WR)
            self.conn.socket.settimeout(_DROPPING_S)
            ends_s = time.monotonic() + _DROPPING_S
            while time.monotonic() < ends_s:
                if not self.conn.socket.recv(_PIECE_BYTES):
                    return


class _Connection(HTTPConnection):
    """A caller's connection, and its requests one after the other."""

    RequestHandlerClass = _Request

    def __init__(self, server: 'HttpServer', sock: Any, makefile: Any) -> None:
        bounded = DeadlineSocket(sock)
        super().__init__(server, bounded, makefile)
        bounded.settimeout(server.read_timeout_s)


class HttpServer(wsgi.Server):
    """Serves a WSGI application in threads, each answer to its own request.

    After an answer that leaves some of a body unread the connection ends, so
    that the rest isn't read as another request. No thread waits for the head
    of a request or for a short body. A connection that is kept alive stays open for longer than
    those of common balancers, so that it isn't closed just as they use it.

    :param address: IP number and port.
    :param application: answers the requests.
    :param timeout: seconds within which a head has to be whole, and longest
        pause within a long body.
    :param body_timeout_s: seconds within which a long body has to be whole.
    :param more: parameters of the library's server.
    """

    ConnectionClass = _Connection
    max_request_header_size = MAX_HEAD_BYTES

    def __init__(
        self,
        address: tuple[str, int],
        application: Any,
        timeout: float = _TIMEOUT_S,
        body_timeout_s: float = BODY_TIMEOUT_S,
        **more: Any,
    ) -> None:
        more.setdefault('request_queue_size', LISTEN_BACKLOG)
        super().__init__(address, application, timeout=KEEP_ALIVE_S, **more)
        self.read_timeout_s = timeout
        self.body_timeout_s = body_timeout_s
        self._heads = RequestHeadPoller(self.requests.put, timeout)

    def prepare(self) -> None:
        """Bind the port and start the threads."""
        super().prepare()
        self._heads.start()

    def process_conn(self, conn: HTTPConnection) -> None:
        """Have a connection's next request answered once its head is here."""
        self._heads.add(conn, time.monotonic())

    def stop(self) -> None:
        """Answer what has come, then end the connections and threads."""
        if self.ready:
            self._heads.stop()
        super().stop()
