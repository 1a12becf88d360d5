"""Connections whose next request has not come as far as is waited for."""

import re
import select
import socket
import threading
import time
from collections.abc import Callable
from contextlib import suppress
from typing import NamedTuple

from cheroot.server import HTTPConnection

#: Longest head of a request; a longer one is refused.
MAX_HEAD_BYTES = 65_536

#: Longest request whose body is waited for as well: with more, the sender
#: may wait for a reader.
MAX_WHOLE_BYTES = 32_768

_LENGTH = re.compile(rb'\r\ncontent-length:[ \t]*(\d{1,5})[ \t]*\r\n', re.I)
#: The sender waits for an answer before it sends the body.
_EXPECTS = re.compile(rb'\r\nexpect:', re.I)

_HEAD_END = b'\r\n\r\n'
_LINE_END = b'\n'
_POLL_S = 0.5
#: Told once for each arrival of bytes, and when the peer sends no more.
_ARRIVALS = select.EPOLLIN | select.EPOLLRDHUP | select.EPOLLET
_ENDED = select.EPOLLRDHUP | select.EPOLLHUP | select.EPOLLERR
_TIMED_OUT = (
    b'HTTP/1.1 408 Request Timeout\r\n'
    b'Content-Length: 0\r\nConnection: close\r\n\r\n'
)


class _Waiting(NamedTuple):
    conn: HTTPConnection
    until_s: float


class RequestHeadPoller:
    """Waits for heads and short bodies, so that no worker thread has to.

    Connections that send nothing, or a request byte by byte, cost no thread
    that another request could use.

    :param take: takes a connection whose next request can be read.
    :param timeout_s: seconds within which a head has to be whole, and a short
        body with it.
    """

    def __init__(
        self,
        take: Callable[[HTTPConnection], None],
        timeout_s: float,
    ) -> None:
        self._take = take
        self._timeout_s = timeout_s
        self._epoll = select.epoll()
        self._lock = threading.Lock()
        self._waiting: dict[int, _Waiting] = {}
        self._stopping = threading.Event()
        self._thread = threading.Thread(
            target=self._run, name='heads', daemon=True
        )

    def start(self) -> None:
        """Start the thread that waits."""
        self._thread.start()

    def stop(self) -> None:
        """End the connections that wait, and the thread."""
        with self._lock:
            self._stopping.set()
        if self._thread.is_alive():
            self._thread.join()
        for fileno in list(self._waiting):
            self._end(fileno, b'')
        self._epoll.close()

    def add(self, conn: HTTPConnection, now_s: float) -> None:
        """Pass a connection on as soon as its next request can be read.

        :param conn: a connection that no thread reads.
        :param now_s: monotonic seconds.
        """
        if _is_readable(conn):
            self._take(conn)
            return
        fileno = conn.socket.fileno()
        with self._lock:
            if self._stopping.is_set():
                conn.close()
                return
            self._waiting[fileno] = _Waiting(conn, now_s + self._timeout_s)
            self._epoll.register(fileno, _ARRIVALS)

    def _run(self) -> None:
        while not self._stopping.is_set():
            for fileno, event in self._epoll.poll(_POLL_S):
                self._look(fileno, event)
            self._end_late(time.monotonic())

    def _look(self, fileno: int, event: int) -> None:
        waiting = self._waiting.get(fileno)
        if waiting is None:
            return
        if event & _ENDED or _is_readable(waiting.conn):
            self._forget(fileno)
            self._take(waiting.conn)

    def _end_late(self, now_s: float) -> None:
        with self._lock:
            late = [
                fileno
                for fileno, waiting in self._waiting.items()
                if now_s >= waiting.until_s
            ]
        for fileno in late:
            self._end(fileno, _TIMED_OUT)

    def _end(self, fileno: int, last_bytes: bytes) -> None:
        conn = self._forget(fileno).conn
        # What has come must be read, or the peer loses the last bytes.
        if _arrived(conn):
            with suppress(OSError):
                # A peer that reads nothing must not hold up the others.
                conn.socket.settimeout(0)
                conn.socket.recv(MAX_HEAD_BYTES)
                conn.socket.send(last_bytes)
        conn.close()

    def _forget(self, fileno: int) -> _Waiting:
        self._epoll.unregister(fileno)
        with self._lock:
            return self._waiting.pop(fileno)


def _is_readable(conn: HTTPConnection) -> bool:
    """Tell whether the next request is here, or can't be waited for."""
    buffered = b''
    if conn.rfile.has_data():
        buffered = conn.rfile.peek(0)
    head = buffered + _arrived(conn)
    line, line_end, _ = head.partition(_LINE_END)
    if line_end and b' HTTP/1.' not in line and line.strip():
        return True
    if _HEAD_END in head:
        return len(head) >= _awaited_bytes(head)
    return len(head) >= MAX_HEAD_BYTES


def _awaited_bytes(begun: bytes) -> int:
    """Return how long a request is whose body is waited for, otherwise 0.

    :param begun: the whole head, and what has come of the body.
    """
    head, end, _body = begun.partition(_HEAD_END)
    length = _LENGTH.search(head + end)
    if length is None or _EXPECTS.search(head):
        return 0
    whole_bytes = len(head) + len(end) + int(length.group(1))
    return whole_bytes if whole_bytes <= MAX_WHOLE_BYTES else 0


def _arrived(conn: HTTPConnection) -> bytes:
    """Return the bytes that have come, and leave them to be read."""
    sock = conn.socket
    timeout_s = sock.gettimeout()
    sock.settimeout(0)
    try:
        return bytes(sock.recv(MAX_HEAD_BYTES, socket.MSG_PEEK))
    except OSError:
        return b''
    finally:
        sock.settimeout(timeout_s)
