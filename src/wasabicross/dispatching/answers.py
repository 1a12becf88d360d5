"""Answers of backend servers, readable while they are being received."""

import contextlib
import socket
import threading
import time
from collections.abc import Callable, Generator, Iterable
from http.client import HTTPException

from urllib3.exceptions import HTTPError
from urllib3.response import BaseHTTPResponse

from wasabicross.dispatching.errors import AnswerCut
from wasabicross.dispatching.responses import StreamConnection

#: Longest gap within an answer; after that it counts as cut.
IDLE_TIMEOUT_S = 30.0

#: Header fields about one connection or the body's framing, never forwarded.
HOP_BY_HOP_FIELDS = frozenset(
    (
        'connection',
        'content-length',
        'expect',
        'host',
        'keep-alive',
        'proxy-authenticate',
        'proxy-authorization',
        'proxy-connection',
        'te',
        'trailer',
        'transfer-encoding',
        'upgrade',
    )
)

#: Exceptions of the libraries for a failed connection or a malformed answer.
CONNECTION_ERRORS = (OSError, ValueError, HTTPError, HTTPException)


class TimeLimits:
    """The time limits of one request.

    :param total_s: seconds from now until the complete answer must be received.
    :param idle_s: longest gap within the answer, in seconds.
    """

    def __init__(self, total_s: float, idle_s: float) -> None:
        self._deadline = time.monotonic() + total_s
        self._idle_s = idle_s

    def remaining_s(self) -> float:
        """Return the seconds left until the deadline.

        :raises TimeoutError: when the deadline has passed.
        """
        remaining_s = self._deadline - time.monotonic()
        if remaining_s <= 0:
            raise TimeoutError('the deadline has passed')
        return remaining_s

    def read_timeout_s(self) -> float:
        """Return the maximum wait of the next read of the body, in seconds.

        :raises TimeoutError: when the deadline has passed.
        """
        return min(self._idle_s, self.remaining_s())


class Answer:
    """A backend server's answer, whose body may not be received yet.

    :param response: the response, with status and headers read.
    :param conn: the connection of the response.
    :param sock: the socket of the connection.
    :param limits: the time limits of the request.
    :param release: called with the connection once the answer is complete and
        the connection can be reused.
    """

    def __init__(
        self,
        response: BaseHTTPResponse,
        conn: StreamConnection,
        sock: socket.socket,
        limits: TimeLimits,
        release: Callable[[StreamConnection], None],
    ) -> None:
        self.status = response.status
        self.headers = end_to_end_fields(response.headers.items())
        self._response = response
        self._conn = conn
        self._sock = sock
        self._limits = limits
        self._release = release
        self._body = conn.last_response
        self._end_mark = b''
        self._tail = b''
        self._read_started = False
        self._finished = False
        self._lock = threading.Lock()
        self._timeout_s = float('nan')

    def header(self, name: str) -> str | None:
        """Return a header field, if present; its name is case-insensitive."""
        return self._response.headers.get(name)

    def require_end_mark(self, mark: bytes) -> None:
        """Treat the body as cut unless it ends with the given bytes."""
        self._end_mark = mark

    def chunks(self) -> Generator[bytes]:
        """Yield the body in pieces, each with all bytes received by then.

        The body can be read once. The connection is closed if the iterator
        is closed before the end of the body.

        :raises AnswerCut: when the body ends before it is complete, pauses
            for longer than the idle timeout, or is not complete by the
            deadline, and when it has already been read or cancelled.
        """
        if self._read_started or self._finished:
            raise AnswerCut('the answer has already been read or cancelled')
        self._read_started = True
        complete = False
        try:
            while piece := self._read_piece():
                if self._end_mark:
                    self._update_tail(piece)
                yield piece
            complete = self._is_complete()
        finally:
            self._finish(complete=complete)
        if not complete:
            raise AnswerCut('the answer ended before it was complete')

    def read(self) -> bytes:
        """Return the complete body.

        :raises AnswerCut: in the same cases as `chunks`.
        """
        return b''.join(self.chunks())

    def cancel(self) -> None:
        """Shut down the connection; a concurrent read raises `AnswerCut`.

        May be called from any thread. Does nothing once the answer has
        ended, since its connection may already be used by another call.
        """
        with self._lock, contextlib.suppress(OSError):
            if not self._finished:
                self._sock.shutdown(socket.SHUT_RDWR)
        # If another thread is reading the body, that thread calls `_finish`.
        if not self._read_started:
            self._finish(complete=False)

    def _read_piece(self) -> bytes:
        try:
            timeout_s = self._limits.read_timeout_s()
            if timeout_s != self._timeout_s:
                self._timeout_s = timeout_s
                self._sock.settimeout(timeout_s)
            return self._body.read_available()
        except CONNECTION_ERRORS as exc:
            raise AnswerCut(f'the answer was cut: {exc!r}') from exc

    def _update_tail(self, piece: bytes) -> None:
        self._tail = (self._tail + piece)[-len(self._end_mark) :]

    def _is_complete(self) -> bool:
        if self._end_mark:
            return self._tail == self._end_mark
        # A body with neither chunks nor a length ends in the same way as one
        # whose server crashed, so it never counts as complete.
        return self._body.chunked or self._body.length == 0

    def _finish(self, *, complete: bool) -> None:
        with self._lock:
            if self._finished:
                return
            self._finished = True
        self._body.close()
        if complete and self._conn.is_reusable():
            self._release(self._conn)
        else:
            self._conn.close()


def end_to_end_fields(
    fields: Iterable[tuple[str, str]],
) -> tuple[tuple[str, str], ...]:
    """Return the header fields that are not hop-by-hop fields."""
    return tuple(
        (name, text)
        for name, text in fields
        if name.lower() not in HOP_BY_HOP_FIELDS
    )
