"""One direction of a connection through the fault-injecting proxy."""

import socket
from collections import deque
from collections.abc import Callable
from typing import NamedTuple

UP = 'up'
DOWN = 'down'
DIRECTIONS = (UP, DOWN)
CHUNK_BYTES = 64 * 1024
PENDING_LIMIT_BYTES = 1024 * 1024
MS_PER_S = 1000


class Faults(NamedTuple):
    """Faults of a link.

    ``up`` is the direction from the caller to the target.

    :param cut: refuse new connections; open ones are reset.
    :param delay_ms: additional delay in each direction, in milliseconds.
    :param swallow: directions whose bytes are dropped while the connection
        stays open; a connection that lost any is reset when this ends.
    :param hold: directions whose bytes are held back, to be delivered when
        this ends.
    :param hold_text: hold only connections whose pending bytes contain this
        text.
    :param reset_after: number of bytes after which a connection is reset, by
        direction, counted from when this was set.
    :param reset_times: number of connections to reset in this way, -1 for all.
    """

    cut: bool = False
    delay_ms: float = 0
    swallow: tuple[str, ...] = ()
    hold: tuple[str, ...] = ()
    hold_text: str = ''
    reset_after: tuple[tuple[str, int], ...] = ()
    reset_times: int = -1


class ConnectionReset(Exception):  # noqa: N818
    """The connection is to be reset on both sides."""


class LimitReached(ConnectionReset):
    """The reset follows a number of bytes that must be delivered first."""


class _Item(NamedTuple):
    """Bytes, an end of stream or a reset that waits for delivery.

    :param due_s: monotonic time from which it may be delivered, in seconds.
    :param data: the bytes; empty for the end of the stream, ``None`` for a
        reset.
    """

    due_s: float
    data: bytes | None


class Pump:
    """Forwards one direction of a connection.

    :param direction: ``up`` or ``down``.
    :param source: socket to read from.
    :param sink: socket to write to.
    :param use_reset: consumes one of the link's `reset_times`; returns whether
        one was left.
    """

    def __init__(
        self,
        direction: str,
        source: socket.socket,
        sink: socket.socket,
        use_reset: Callable[[], bool],
    ) -> None:
        self.direction = direction
        self.source = source
        self.sink = sink
        self.ended = False
        self.finished = False
        self.has_lost_bytes = False
        self.was_reset = False
        self.lost_bytes = 0
        self.carried_bytes = 0
        self._use_reset = use_reset
        self._counted_from = 0
        self._pending: deque[_Item] = deque()
        self._pending_bytes = 0
        self._waiting_bytes = 0
        self._blocked = False
        self._sink_closed = False

    def receive(self) -> bytes | None:
        """Read available bytes; empty at the end, ``None`` after a reset."""
        try:
            return self.source.recv(CHUNK_BYTES)
        except OSError:
            return None

    def enqueue(self, data: bytes | None, faults: Faults, now_s: float) -> None:
        """Queue received bytes for delivery, or drop them if so set."""
        if self.was_reset:
            return
        if not data:
            self.ended = True
        self.was_reset = data is None
        if self.direction in faults.swallow:
            self.lost_bytes += len(data or b'')
            self.has_lost_bytes = True
            return
        due_s = now_s + faults.delay_ms / MS_PER_S
        self._pending.append(_Item(due_s, data))
        self._pending_bytes += len(data or b'')

    def restart_count(self) -> None:
        """Restart the count of bytes until a reset."""
        self._counted_from = self.carried_bytes

    def deliver(self, faults: Faults, now_s: float) -> None:
        """Send what is due.

        :raises ConnectionReset: a reset is due, or the limit of bytes is
            reached.
        """
        try:
            self._deliver(faults, now_s)
        finally:
            self._waiting_bytes = self._pending_bytes

    def counts(self) -> dict[str, int]:
        """Return the counts of bytes, and 1 as ``ended`` if the source has ended.

        Bytes that pass without a fault are never counted as waiting.
        """
        return {
            'carried': self.carried_bytes,
            'waiting': self._waiting_bytes,
            'lost': self.lost_bytes,
            'ended': int(self.ended),
        }

    def is_sink_closed(self) -> bool:
        """Return whether the sink accepts no more bytes."""
        return self._sink_closed

    def wants_read(self) -> bool:
        """Return whether it can read more from its source."""
        return not self.ended and self._pending_bytes < PENDING_LIMIT_BYTES

    def wants_write(self) -> bool:
        """Return whether it waits for its sink to become writable."""
        return self._blocked

    def next_due_s(self, faults: Faults) -> float | None:
        """Return when the next item is due, if nothing else delays it."""
        if self._blocked or self._is_held(faults):
            return None
        return self._pending[0].due_s if self._pending else None

    def _deliver(self, faults: Faults, now_s: float) -> None:
        self._blocked = False
        if self._is_held(faults):
            return
        while self._pending and self._pending[0].due_s <= now_s:
            item = self._pending[0]
            if item.data is None:
                raise ConnectionReset
            if not item.data:
                self._finish()
            elif not self._send(item, self._bytes_until_reset(faults)):
                return
            self._pending.popleft()

    def _is_held(self, faults: Faults) -> bool:
        if self.direction not in faults.hold:
            return False
        text = faults.hold_text.encode()
        return any(text in (item.data or b'') for item in self._pending)

    def _bytes_until_reset(self, faults: Faults) -> int | None:
        limit = dict(faults.reset_after).get(self.direction)
        if limit is None or faults.reset_times == 0:
            return None
        return max(limit - self.carried_bytes + self._counted_from, 0)

    def _send(self, item: _Item, bytes_until_reset: int | None) -> bool:
        sent = self._send_bytes((item.data or b'')[:bytes_until_reset])
        self.carried_bytes += sent
        self._pending_bytes -= sent
        if sent == bytes_until_reset and self._use_reset():
            raise LimitReached
        rest = (item.data or b'')[sent:]
        if rest:
            self._pending[0] = item._replace(data=rest)
        return not rest

    def _send_bytes(self, data: bytes) -> int:
        if self._sink_closed:
            return len(data)
        try:
            return self.sink.send(data)
        except BlockingIOError:
            self._blocked = True
            return 0
        except OSError:
            self._sink_closed = True
            return len(data)

    def _finish(self) -> None:
        self.finished = True
        try:
            self.sink.shutdown(socket.SHUT_WR)
        except OSError:
            self._sink_closed = True
