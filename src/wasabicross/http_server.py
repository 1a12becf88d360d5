"""The HTTP server under the programs' ports."""

import socket
import time
from contextlib import suppress

from cheroot import wsgi
from cheroot.server import HTTPConnection, HTTPRequest

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


class HttpServer(wsgi.Server):
    """Serves a WSGI application in threads, each answer to its own request.

    After an answer that leaves some of a body unread the connection ends, so
    that the rest isn't read as another request. Its parameters are those of the
    library's server.
    """

    ConnectionClass = _Connection
