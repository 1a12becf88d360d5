"""HTTP requests to a backend server, each sent at most once."""

import contextlib
from collections import deque
from http.client import InvalidURL
from typing import NamedTuple

from expression import Error, Ok, Result
from urllib3 import HTTPHeaderDict
from urllib3.exceptions import HTTPError
from urllib3.response import BaseHTTPResponse

from wasabicross.dispatching.answers import (
    CONNECTION_ERRORS,
    IDLE_TIMEOUT_S,
    Answer,
    TimeLimits,
    end_to_end_fields,
)
from wasabicross.dispatching.errors import (
    DispatchError,
    NotConnected,
    OutcomeUnknown,
    RequestUnsendable,
)
from wasabicross.dispatching.responses import StreamConnection

#: Time limit for opening a connection.
CONNECT_TIMEOUT_S = 1.0

#: Number of idle connections kept per backend server.
MAX_IDLE_CONNECTIONS = 4


class Call(NamedTuple):
    """A request to a backend server.

    :param method: HTTP method.
    :param path: path and query, starting with a slash.
    :param headers: header fields; hop-by-hop fields are not sent.
    :param body: complete body, may be empty.
    :param deadline_s: seconds left until the complete answer must be received.
    :param repeatable: whether the request may safely run twice.
    """

    method: str
    path: str
    headers: tuple[tuple[str, str], ...]
    body: bytes
    deadline_s: float
    repeatable: bool = False


class Dispatcher:
    """Sends calls to one backend server, each at most once.

    The dispatcher never retries a call and follows no redirect. Only a
    failure before the first byte is sent counts as not run. The server may
    close a kept-alive connection just as a request is written to it, which
    looks the same as a server that crashed while it ran the request. So each
    call that may not be repeated gets a new connection, at the cost of one
    round trip.

    :param host: IP address of the server.
    :param port: TCP port of the server.
    :param idle_timeout_s: longest gap within an answer, in seconds.
    """

    def __init__(
        self,
        host: str,
        port: int,
        idle_timeout_s: float = IDLE_TIMEOUT_S,
    ) -> None:
        self._host = host
        self._port = port
        self._idle_timeout_s = idle_timeout_s
        self._idle: deque[StreamConnection] = deque()

    def start(self, call: Call) -> Result[Answer, DispatchError]:
        """Send the call and wait for the status and headers of the answer.

        :returns: the answer, with any status, or `NotRun` or
            `OutcomeUnknown`.
        """
        if call.deadline_s <= 0:
            return Error(NotConnected('the deadline passed before sending'))
        limits = TimeLimits(call.deadline_s, self._idle_timeout_s)
        conn = self._pop_idle_connection() if call.repeatable else None
        if conn is None:
            try:
                conn = self._connect(call.deadline_s)
            except (OSError, HTTPError) as exc:
                return Error(NotConnected(str(exc)))
        return self._exchange(call, conn, limits)

    def close(self) -> None:
        """Close the idle connections."""
        while self._idle:
            self._idle.pop().close()

    def _pop_idle_connection(self) -> StreamConnection | None:
        with contextlib.suppress(IndexError):
            while True:
                conn = self._idle.pop()
                if conn.is_connected:
                    return conn
                conn.close()
        return None

    def _connect(self, deadline_s: float) -> StreamConnection:
        conn = StreamConnection(
            self._host,
            self._port,
            timeout=min(CONNECT_TIMEOUT_S, deadline_s),
        )
        conn.connect()
        return conn

    def _exchange(
        self,
        call: Call,
        conn: StreamConnection,
        limits: TimeLimits,
    ) -> Result[Answer, DispatchError]:
        sock = conn.sock
        try:
            _send(call, conn, limits)
        except (ValueError, InvalidURL) as exc:
            conn.close()
            return Error(RequestUnsendable(str(exc)))
        except CONNECTION_ERRORS as exc:
            return _close_with_unknown_outcome(conn, exc)
        try:
            response = _receive_head(conn, limits)
        except CONNECTION_ERRORS as exc:
            return _close_with_unknown_outcome(conn, exc)
        return Ok(Answer(response, conn, sock, limits, self._release))

    def _release(self, conn: StreamConnection) -> None:
        if len(self._idle) < MAX_IDLE_CONNECTIONS:
            self._idle.append(conn)
        else:
            conn.close()


def _send(call: Call, conn: StreamConnection, limits: TimeLimits) -> None:
    headers = HTTPHeaderDict()
    for name, text in end_to_end_fields(call.headers):
        headers.add(name, text)
    conn.timeout = limits.remaining_s()
    # A server may answer with a refusal and close the connection before it has
    # read the complete body; the answer can still be read.
    with contextlib.suppress(BrokenPipeError, ConnectionResetError):
        conn.request(
            call.method,
            call.path,
            body=call.body or None,
            headers=headers,
            preload_content=False,
            decode_content=False,
        )


def _receive_head(
    conn: StreamConnection,
    limits: TimeLimits,
) -> BaseHTTPResponse:
    conn.timeout = limits.remaining_s()
    return conn.getresponse()


def _close_with_unknown_outcome(
    conn: StreamConnection,
    exc: Exception,
) -> Result[Answer, DispatchError]:
    conn.close()
    return Error(OutcomeUnknown(f'no answer to a sent request: {exc!r}'))


def read_retry_after(answer: Answer) -> float | None:
    """Return the seconds given by the `Retry-After` field, if there are any.

    The form of the field that gives a date is not supported.
    """
    text = answer.header('Retry-After') or ''
    return float(text) if text.isdecimal() else None
