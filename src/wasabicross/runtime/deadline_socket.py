"""A socket whose reads have to end in time, however many they are."""

import math
import socket
import time
from collections.abc import Iterator
from contextlib import contextmanager
from typing import Any


class DeadlineSocket(socket.socket):
    """A connection; while it is bounded, nothing is read beyond a time.

    The timeout of a socket bounds each read alone, so that a sender of one
    byte now and then would never be late.

    :param sock: an open socket, which this one takes the place of.
    """

    def __init__(self, sock: socket.socket) -> None:
        timeout_s = sock.gettimeout()
        super().__init__(fileno=sock.detach())
        self.settimeout(timeout_s)
        self._until_s = math.inf

    @contextmanager
    def bounded(self, longest_s: float) -> Iterator[None]:
        """Let reads end in time.

        :param longest_s: seconds from now for all reads together.
        """
        self._until_s = time.monotonic() + longest_s
        try:
            yield
        finally:
            self._until_s = math.inf

    def recv_into(self, *args: Any, **named: Any) -> int:
        """Read into a buffer, as the library's socket does.

        :raises TimeoutError: the time is over.
        """
        if self._until_s == math.inf:
            return super().recv_into(*args, **named)
        left_s = self._until_s - time.monotonic()
        if left_s <= 0:
            raise TimeoutError('timed out')
        timeout_s = self.gettimeout()
        pause_s = left_s if timeout_s is None else min(left_s, timeout_s)
        self.settimeout(pause_s)
        try:
            return super().recv_into(*args, **named)
        finally:
            self.settimeout(timeout_s)
