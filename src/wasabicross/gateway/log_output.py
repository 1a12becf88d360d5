"""Rate-limited, non-blocking output of log lines."""

from __future__ import annotations

import collections
import os

from wasabicross.gateway.clock import now_s

#: Average rate of log lines, and the largest burst.
_BYTES_PER_S = 65536
_BURST_BYTES = 262144

#: Most bytes that are buffered until the reader of the output takes them.
_MAX_BUFFERED_BYTES = 262144


class LogOutput:
    """Writes lines to a file descriptor and drops lines instead of blocking.

    :param descriptor: an open descriptor, which is set to non-blocking.
    """

    def __init__(self, descriptor: int) -> None:
        self._descriptor = descriptor
        self._buffer: collections.deque[bytes] = collections.deque()
        self._buffered_bytes = 0
        self._budget_bytes = float(_BURST_BYTES)
        self._refilled_s = now_s()
        self.dropped = 0
        os.set_blocking(descriptor, False)

    def write(self, text: str) -> None:
        """Buffer a line, or drop it where the rate or the buffer is exceeded.

        :param text: the line with its line end.
        """
        line = text.encode()
        self._refill_budget(now_s())
        is_full = self._buffered_bytes + len(line) > _MAX_BUFFERED_BYTES
        if is_full or self._budget_bytes < len(line):
            self.dropped += 1
            return
        self._budget_bytes -= len(line)
        self._buffer.append(line)
        self._buffered_bytes += len(line)

    def flush(self) -> None:
        """Write as many buffered lines as possible without blocking."""
        while self._buffer:
            line = self._buffer.popleft()
            try:
                written = os.write(self._descriptor, line)
            except BlockingIOError:
                self._buffer.appendleft(line)
                return
            except OSError:
                self._buffered_bytes -= len(line)
                self.dropped += 1
                continue
            self._buffered_bytes -= written
            if written < len(line):
                self._buffer.appendleft(line[written:])

    def take_dropped(self) -> int:
        """Return and reset the number of dropped lines."""
        dropped = self.dropped
        self.dropped = 0
        return dropped

    def _refill_budget(self, at_s: float) -> None:
        refill = (at_s - self._refilled_s) * _BYTES_PER_S
        self._budget_bytes = min(_BURST_BYTES, self._budget_bytes + refill)
        self._refilled_s = at_s
