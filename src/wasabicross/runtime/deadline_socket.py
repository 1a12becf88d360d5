"""A socket that can limit the total time of several reads."""

import math
import socket
import time
from collections.abc import Iterator
from contextlib import contextmanager
from typing import Any


class DeadlineSocket(socket.socket):
    """A connection whose reads can be given a common deadline.

    The timeout of a socket applies to each read separately, so a peer that
    sends single bytes, each within the timeout, would never exceed it.

    :param sock: an open socket; its file descriptor moves to this object.
    """

    def __init__(self, sock: socket.socket) -> None:
        timeout_s = sock.gettimeout()
        super().__init__(fileno=sock.detach())
        self.settimeout(timeout_s)
        self._deadline_s = math.inf

    @contextmanager
    def read_deadline(self, max_total_s: float) -> Iterator[None]:
        """Limit the total time of the reads in this context.

        :param max_total_s: seconds from now for all reads together.
        """
        self._deadline_s = time.monotonic() + max_total_s
        try:
            yield
        finally:
            self._deadline_s = math.inf

    def recv_into(self, *args: Any, **kwargs: Any) -> int:
        """Read into a buffer, as `socket.socket` does.

        :raises TimeoutError: the deadline has passed.
        """
        if self._deadline_s == math.inf:
            return super().recv_into(*args, **kwargs)
        remaining_s = self._deadline_s - time.monotonic()
        if remaining_s <= 0:
            raise TimeoutError('timed out')
        timeout_s = self.gettimeout()
        read_timeout_s = (
            remaining_s if timeout_s is None else min(remaining_s, timeout_s)
        )
        self.settimeout(read_timeout_s)
        try:
            return super().recv_into(*args, **kwargs)
        finally:
            self.settimeout(timeout_s)
