"""Standard output for log lines, bounded and never blocking."""

from __future__ import annotations

import collections
import os

from wasabicross.gateway.clock import now_s

#: Bytes a second that lines may take on average, and in a burst.
_BYTES_PER_S = 65536
_BURST_BYTES = 262144

#: Bytes that wait for a reader of the output.
_MAX_WAITING_BYTES = 262144


class LogOutput:
    """Writes lines to a file descriptor; drops them rather than wait.

    :param descriptor: the open descriptor; it is made non-blocking.
    """

    def __init__(self, descriptor: int) -> None:
        self._descriptor = descriptor
        self._waiting: collections.deque[bytes] = collections.deque()
        self._waiting_bytes = 0
        self._credit = float(_BURST_BYTES)
        self._credit_s = now_s()
        self.dropped = 0
        os.set_blocking(descriptor, False)

    def write(self, text: str) -> None:
        """Take a line, or drop it where there were too many.

        :param text: the line with its end.
        """
        line = text.encode()
        self._earn(now_s())
        full = self._waiting_bytes + len(line) > _MAX_WAITING_BYTES
        if full or self._credit < len(line):
            self.dropped += 1
            return
        self._credit -= len(line)
        self._waiting.append(line)
        self._waiting_bytes += len(line)

    def flush(self) -> None:
        """Write what the reader takes now."""
        while self._waiting:
            line = self._waiting.popleft()
            try:
                written = os.write(self._descriptor, line)
            except BlockingIOError:
                self._waiting.appendleft(line)
                return
            except OSError:
                self._waiting_bytes -= len(line)
                self.dropped += 1
                continue
            self._waiting_bytes -= written
            if written < len(line):
                self._waiting.appendleft(line[written:])

    def take_dropped(self) -> int:
        """Return how many lines were dropped since the last call."""
        dropped = self.dropped
        self.dropped = 0
        return dropped

    def _earn(self, at_s: float) -> None:
        earned = (at_s - self._credit_s) * _BYTES_PER_S
        self._credit = min(_BURST_BYTES, self._credit + earned)
        self._credit_s = at_s
