"""Waiting for the next request of each connection, without worker threads."""

import re
import select
import socket
import threading
import time
from collections.abc import Callable
from contextlib import suppress
from typing import NamedTuple

from cheroot.server import HTTPConnection

#: Longest head of a request; a longer head is refused.
MAX_HEAD_BYTES = 65_536

#: Longest request whose body is awaited as well. With a longer one, flow
#: control may block the sender until a worker reads.
MAX_AWAITED_BYTES = 32_768

_LENGTH = re.compile(rb'\r\ncontent-length:[ \t]*(\d{1,5})[ \t]*\r\n', re.I)
#: With this field the sender waits for an answer before it sends the body.
_EXPECT = re.compile(rb'\r\nexpect:', re.I)

_HEAD_END = b'\r\n\r\n'
_LINE_END = b'\n'
_POLL_S = 0.5
#: Edge-triggered: one event for each arrival of bytes, and one when the peer
#: sends no more.
_ARRIVAL_EVENTS = select.EPOLLIN | select.EPOLLRDHUP | select.EPOLLET
_END_EVENTS = select.EPOLLRDHUP | select.EPOLLHUP | select.EPOLLERR
_TIMEOUT_ANSWER = (
    b'HTTP/1.1 408 Request Timeout\r\n'
    b'Content-Length: 0\r\nConnection: close\r\n\r\n'
)


class _WaitingConnection(NamedTuple):
    conn: HTTPConnection
    deadline_s: float


class RequestHeadPoller:
    """Waits in one thread for the heads and short bodies of all connections.

    A connection that sends nothing, or a request byte by byte, therefore
    doesn't occupy a worker thread that another request could use.

    :param on_readable: receives a connection whose next request can be read.
    :param timeout_s: seconds within which a head, with its body if that is
        short, must be complete.
    """

    def __init__(
        self,
        on_readable: Callable[[HTTPConnection], None],
        timeout_s: float,
    ) -> None:
        self._on_readable = on_readable
        self._timeout_s = timeout_s
        self._epoll = select.epoll()
        self._lock = threading.Lock()
        self._waiting: dict[int, _WaitingConnection] = {}
        self._stopping = threading.Event()
        self._thread = threading.Thread(
            target=self._run, name='heads', daemon=True
        )

    def start(self) -> None:
        """Start the thread that waits."""
        self._thread.start()

    def stop(self) -> None:
        """Stop the thread and close the connections that still wait."""
        with self._lock:
            self._stopping.set()
        if self._thread.is_alive():
            self._thread.join()
        for fileno in list(self._waiting):
            self._close(fileno, b'')
        self._epoll.close()

    def add(self, conn: HTTPConnection, now_s: float) -> None:
        """Wait until the next request of a connection can be read.

        :param conn: a connection that no other thread reads.
        :param now_s: present time, monotonic seconds.
        """
        if _is_readable(conn):
            self._on_readable(conn)
            return
        fileno = conn.socket.fileno()
        with self._lock:
            if self._stopping.is_set():
                conn.close()
                return
            self._waiting[fileno] = _WaitingConnection(
                conn, now_s + self._timeout_s
            )
            self._epoll.register(fileno, _ARRIVAL_EVENTS)

    def _run(self) -> None:
        while not self._stopping.is_set():
            for fileno, event in self._epoll.poll(_POLL_S):
                self._handle_event(fileno, event)
            self._close_expired(time.monotonic())

    def _handle_event(self, fileno: int, event: int) -> None:
        waiting = self._waiting.get(fileno)
        if waiting is None:
            return
        if event & _END_EVENTS or _is_readable(waiting.conn):
            self._remove(fileno)
            self._on_readable(waiting.conn)

    def _close_expired(self, now_s: float) -> None:
        with self._lock:
            expired = [
                fileno
                for fileno, waiting in self._waiting.items()
                if now_s >= waiting.deadline_s
            ]
        for fileno in expired:
            self._close(fileno, _TIMEOUT_ANSWER)

    def _close(self, fileno: int, last_bytes: bytes) -> None:
        conn = self._remove(fileno).conn
        # Closing with unread bytes would reset the connection, and the peer
        # could lose the last bytes sent to it.
        if _peek(conn):
            with suppress(OSError):
                # Don't block the other connections if the peer doesn't read.
                conn.socket.settimeout(0)
                conn.socket.recv(MAX_HEAD_BYTES)
                conn.socket.send(last_bytes)
        conn.close()

    def _remove(self, fileno: int) -> _WaitingConnection:
        self._epoll.unregister(fileno)
        with self._lock:
            return self._waiting.pop(fileno)


def _is_readable(conn: HTTPConnection) -> bool:
    """Return whether a worker can take the next request.

    Its awaited part has arrived, or waiting for more is pointless because it
    is malformed or its head too long.
    """
    buffered = b''
    if conn.rfile.has_data():
        buffered = conn.rfile.peek(0)
    head = buffered + _peek(conn)
    line, line_end, _ = head.partition(_LINE_END)
    if line_end and b' HTTP/1.' not in line and line.strip():
        return True
    if _HEAD_END in head:
        return len(head) >= _awaited_bytes(head)
    return len(head) >= MAX_HEAD_BYTES


def _awaited_bytes(received: bytes) -> int:
    """Return the total length of a request whose body is awaited, else 0.

    :param received: the complete head, and the part of the body so far.
    """
    head, end, _body = received.partition(_HEAD_END)
    length = _LENGTH.search(head + end)
    if length is None or _EXPECT.search(head):
        return 0
    total_bytes = len(head) + len(end) + int(length.group(1))
    return total_bytes if total_bytes <= MAX_AWAITED_BYTES else 0


def _peek(conn: HTTPConnection) -> bytes:
    """Return the received bytes, leaving them in the socket's buffer."""
    sock = conn.socket
    timeout_s = sock.gettimeout()
    sock.settimeout(0)
    try:
        return bytes(sock.recv(MAX_HEAD_BYTES, socket.MSG_PEEK))
    except OSError:
        return b''
    finally:
        sock.settimeout(timeout_s)
