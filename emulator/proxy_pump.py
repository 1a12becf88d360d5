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
    """What a link does to its connections.

    ``up`` is the direction from the caller to the target.

    :param cut: refuse new connections; present ones were reset.
    :param delay_ms: milliseconds that bytes take longer, each way.
    :param swallow: directions whose bytes are lost while the connection
        stays open; a connection that lost any is reset when this ends.
    :param hold: directions whose bytes wait and are delivered when this
        ends.
    :param hold_text: hold only connections of which bytes with this text
        wait.
    :param reset_after: bytes after which a connection is reset, by
        direction, counted from when this was set.
    :param reset_times: how many connections are reset so, -1 for all.
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
    """The reset is due to the bytes delivered, which are still to arrive."""


class _Item(NamedTuple):
    """Something on its way: bytes, or an end.

    :param due_s: when it may be delivered.
    :param data: the bytes; empty for the end of the stream, ``None`` for a
        reset.
    """

    due_s: float
    data: bytes | None


class Pump:
    """Carries one direction of a connection.

    :param direction: ``up`` or ``down``.
    :param source: where the bytes come from.
    :param sink: where they go.
    :param use_reset: asks the link for one of its `reset_times`.
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
        self.lost = False
        self.broken = False
        self.lost_bytes = 0
        self.carried_bytes = 0
        self._use_reset = use_reset
        self._counted_from = 0
        self._pending: deque[_Item] = deque()
        self._pending_bytes = 0
        self._waiting_bytes = 0
        self._blocked = False
        self._sink_gone = False

    def receive(self) -> bytes | None:
        """Read what has come; empty for the end, ``None`` for a reset."""
        try:
            return self.source.recv(CHUNK_BYTES)
        except OSError:
            return None

    def enqueue(self, data: bytes | None, faults: Faults, now_s: float) -> None:
        """Put what was received on its way, or lose it."""
        if self.broken:
            return
        if not data:
            self.ended = True
        self.broken = data is None
        if self.direction in faults.swallow:
            self.lost_bytes += len(data or b'')
            self.lost = True
            return
        due_s = now_s + faults.delay_ms / MS_PER_S
        self._pending.append(_Item(due_s, data))
        self._pending_bytes += len(data or b'')

    def restart_count(self) -> None:
        """Count the bytes until a reset from here."""
        self._counted_from = self.carried_bytes

    def deliver(self, faults: Faults, now_s: float) -> None:
        """Send what is due.

        :raises ConnectionReset: a reset is due, or enough bytes have gone by.
        """
        try:
            self._deliver(faults, now_s)
        finally:
            self._waiting_bytes = self._pending_bytes

    def counts(self) -> dict[str, int]:
        """Tell the bytes by their fate, and 1 if its source has ended.

        Bytes that pass without a fault never count as waiting.
        """
        return {
            'carried': self.carried_bytes,
            'waiting': self._waiting_bytes,
            'lost': self.lost_bytes,
            'ended': int(self.ended),
        }

    def sink_gone(self) -> bool:
        """Tell whether its sink takes nothing more."""
        return self._sink_gone

    def reads(self) -> bool:
        """Tell whether it wants to read."""
        return not self.ended and self._pending_bytes < PENDING_LIMIT_BYTES

    def writes(self) -> bool:
        """Tell whether it waits until its sink takes more."""
        return self._blocked

    def next_due_s(self, faults: Faults) -> float | None:
        """Tell when the next item is due, if it only waits for its time."""
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
            elif not self._send(item, self._allowance(faults)):
                return
            self._pending.popleft()

    def _is_held(self, faults: Faults) -> bool:
        if self.direction not in faults.hold:
            return False
        text = faults.hold_text.encode()
        return any(text in (item.data or b'') for item in self._pending)

    def _allowance(self, faults: Faults) -> int | None:
        limit = dict(faults.reset_after).get(self.direction)
        if limit is None or faults.reset_times == 0:
            return None
        return max(limit - self.carried_bytes + self._counted_from, 0)

    def _send(self, item: _Item, allowance: int | None) -> bool:
        sent = self._send_some((item.data or b'')[:allowance])
        self.carried_bytes += sent
        self._pending_bytes -= sent
        if sent == allowance and self._use_reset():
            raise LimitReached
        rest = (item.data or b'')[sent:]
        if rest:
            self._pending[0] = item._replace(data=rest)
        return not rest

    def _send_some(self, data: bytes) -> int:
        if self._sink_gone:
            return len(data)
        try:
            return self.sink.send(data)
        except BlockingIOError:
            self._blocked = True
            return 0
        except OSError:
            self._sink_gone = True
            return len(data)

    def _finish(self) -> None:
        self.finished = True
        try:
            self.sink.shutdown(socket.SHUT_WR)
        except OSError:
            self._sink_gone = True
