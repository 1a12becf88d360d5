"""The HTTP server that the programs run on their ports."""

import socket
import struct
import time
from contextlib import suppress
from typing import Any

from cheroot import wsgi
from cheroot.server import HTTPConnection, HTTPRequest

from wasabicross.runtime.deadline_socket import DeadlineSocket
from wasabicross.runtime.request_heads import MAX_HEAD_BYTES, RequestHeadPoller

#: Seconds for which an idle connection is kept open between requests.
KEEP_ALIVE_S = 75

#: Length of the queue of connections that are not accepted yet.
LISTEN_BACKLOG = 256

_TIMEOUT_S = 10

#: Seconds within which a body must be complete, from the start of reading it.
BODY_TIMEOUT_S = 30.0

#: Longest unread rest of a body with which a connection is kept open: reading
#: and discarding that much costs less than a new connection.
_MAX_SKIPPED_BYTES = 65_536

#: Seconds for which a longer rest is read and discarded before the connection
#: is closed, so that the sender can still read the answer.
_DISCARD_S = 1.0
_DISCARD_CHUNK_BYTES = 65_536

#: Makes a socket reset its connection when it is closed.
_RESET_ON_CLOSE = struct.pack('ii', 1, 0)


class _Request(HTTPRequest):
    """A request whose unread body is never parsed as the next request."""

    def read_request_headers(self) -> bool:
        """Read the headers; refuse a Content-Length that isn't a number."""
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
        """Send the headers; `Connection: close` if no request may follow."""
        if self._must_close():
            self.close_connection = True
        super().send_headers()

    def respond(self) -> None:
        """Answer the request, then discard a body that was not read."""
        try:
            with self.conn.socket.read_deadline(self.server.body_timeout_s):
                super().respond()
        except Exception:
            # An HTTP/1.0 client takes an orderly end for that of the answer.
            is_framed = self.chunked_write or not self.sent_headers
            self.conn.is_answer_cut = not is_framed
            raise
        if self.close_connection and self._has_unread_body():
            self._discard_body()

    def _must_close(self) -> bool:
        if (b'Connection', b'close') in self.outheaders:
            return True
        # cheroot does not read the end of a chunked body and its trailers.
        if b'Transfer-Encoding' in self.inheaders:
            return True
        return bool(getattr(self.rfile, 'remaining', 0) > _MAX_SKIPPED_BYTES)

    def _has_unread_body(self) -> bool:
        if b'Transfer-Encoding' in self.inheaders:
            return True
        return bool(getattr(self.rfile, 'remaining', 0))

    def _discard_body(self) -> None:
        """Read and discard the rest of the body for a limited time.

        Closing a connection with unread bytes would reset it.
        """
        self.conn.wfile.flush()
        with suppress(OSError):
            self.conn.socket.shutdown(socket.SHUT_WR)
            self.conn.socket.settimeout(_DISCARD_S)
            deadline_s = time.monotonic() + _DISCARD_S
            while time.monotonic() < deadline_s:
                if not self.conn.socket.recv(_DISCARD_CHUNK_BYTES):
                    return


class _Connection(HTTPConnection):
    """A client connection with its successive requests."""

    RequestHandlerClass = _Request
    is_answer_cut = False

    def __init__(self, server: 'HttpServer', sock: Any, makefile: Any) -> None:
        deadline_sock = DeadlineSocket(sock)
        super().__init__(server, deadline_sock, makefile)
        deadline_sock.settimeout(server.read_timeout_s)

    def _close_kernel_socket(self) -> None:
        """End the connection, with a reset if that would complete an answer."""
        if not self.is_answer_cut:
            super()._close_kernel_socket()  # type: ignore[misc]
            return
        self.socket.setsockopt(
            socket.SOL_SOCKET, socket.SO_LINGER, _RESET_ON_CLOSE
        )
        # The reset is sent once no file of the socket is open.
        with suppress(OSError):
            self.wfile.close()


class HttpServer(wsgi.Server):
    """Serves a WSGI application with worker threads.

    After an answer that leaves much of a body unread, the connection is
    closed, so that the rest isn't parsed as another request. The workers
    don't wait for the head of a request or for a short body. The keep-alive
    time is longer than that of common load balancers, so that the server
    doesn't close a connection at the moment when a balancer reuses it.

    :param address: IP address and port.
    :param application: the WSGI application.
    :param timeout: seconds within which a head must be complete, and the
        longest silence within a long body.
    :param body_timeout_s: seconds within which a long body must be complete.
    :param more: further parameters of cheroot's server.
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
        """Queue a connection for a worker once its next request can be read."""
        self._heads.add(conn, time.monotonic())

    def stop(self) -> None:
        """Answer the accepted requests, then end connections and threads."""
        if self.ready:
            self._heads.stop()
        super().stop()
