"""One connection through the fault-injecting proxy."""

import os
import select
import socket
import struct
import time
from collections import deque
from collections.abc import Callable
from typing import NamedTuple

UP = 'up'
DOWN = 'down'
DIRECTIONS = (UP, DOWN)
CHUNK_BYTES = 64 * 1024
PENDING_LIMIT_BYTES = 1024 * 1024
MS_PER_S = 1000
CONNECT_TIMEOUT_S = 5
RESET_ON_CLOSE = struct.pack('ii', 1, 0)


class Faults(NamedTuple):
    """What a link does to its connections.

    ``up`` is the direction from the caller to the target.

    :param cut: refuse new connections; present ones were reset.
    :param delay_ms: milliseconds that bytes take longer, each way.
    :param swallow: directions whose bytes are lost while the connection
        stays open; a connection that lost any is reset when this ends.
    :param hold: directions whose bytes wait and are delivered when this
        ends.
    :param reset_after: bytes after which a connection is reset, by
        direction, counted from when this was set.
    :param reset_times: how many connections are reset so, -1 for all.
    """

    cut: bool = False
    delay_ms: float = 0
    swallow: tuple[str, ...] = ()
    hold: tuple[str, ...] = ()
    reset_after: tuple[tuple[str, int], ...] = ()
    reset_times: int = -1


class LinkState(NamedTuple):
    """What a connection sees of its link.

    :param faults: the faults in force.
    :param number: rises with each change of the faults.
    :param resets: rises when the present connections are to be reset.
    """

    faults: Faults = Faults()
    number: int = 0
    resets: int = 0


class _Reset(Exception):  # noqa: N818
    """The connection is to be reset on both sides."""


class _Item(NamedTuple):
    """Something on its way: bytes, or an end.

    :param due_s: when it may be delivered.
    :param data: the bytes; empty for the end of the stream, ``None`` for a
        reset.
    """

    due_s: float
    data: bytes | None


class _Pump:
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
        self._blocked = False
        self._sink_gone = False

    def receive(self) -> bytes | None:
        """Read what has come; empty for the end, ``None`` for a reset."""
        try:
            return self.source.recv(CHUNK_BYTES)
        except OSError:
            return None

    def take(self, data: bytes | None, faults: Faults, now_s: float) -> None:
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

        :raises _Reset: a reset is due, or enough bytes have gone by.
        """
        self._blocked = False
        if self.direction in faults.hold:
            return
        while self._pending and self._pending[0].due_s <= now_s:
            item = self._pending[0]
            if item.data is None:
                raise _Reset
            if not item.data:
                self._finish()
            elif not self._send(item, self._allowance(faults)):
                return
            self._pending.popleft()

    def counts(self) -> dict[str, int]:
        """Tell the bytes by their fate, and 1 if its source has ended."""
        return {
            'carried': self.carried_bytes,
            'waiting': self._pending_bytes,
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
        if self._blocked or self.direction in faults.hold:
            return None
        return self._pending[0].due_s if self._pending else None

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
            raise _Reset
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


class ProxyConnection:
    """A caller's connection and the one to the target, joined.

    :param caller: the accepted connection.
    :param target: host and port to connect to.
    :param state: tells the link's present state.
    :param use_reset: asks the link for one of its `reset_times`.
    """

    def __init__(
        self,
        caller: socket.socket,
        target: tuple[str, int],
        state: Callable[[], LinkState],
        use_reset: Callable[[], bool],
    ) -> None:
        self._caller = caller
        self._target = target
        self._state = state
        self._use_reset = use_reset
        self._first = state()
        self._pumps: tuple[_Pump, ...] = ()
        self._wake_fd = os.eventfd(0, os.EFD_NONBLOCK)
        self._poll = select.poll()
        self._poll.register(self._wake_fd, select.POLLIN)

    def counts(self) -> dict[str, dict[str, int]]:
        """Tell each direction's counts."""
        return {pump.direction: pump.counts() for pump in self._pumps}

    def wake(self) -> None:
        """Let the connection look at its link's state."""
        os.eventfd_write(self._wake_fd, 1)

    def run(self) -> None:
        """Carry bytes until both ways have ended, or a reset."""
        sockets = [self._caller]
        try:
            sockets.append(
                socket.create_connection(self._target, CONNECT_TIMEOUT_S),
            )
            self._carry(sockets[1])
        except (_Reset, OSError):
            for sock in sockets:
                reset_on_close(sock)
        finally:
            for sock in sockets:
                sock.close()

    def close(self) -> None:
        """Free what the connection holds, once nobody wakes it."""
        os.close(self._wake_fd)

    def _carry(self, target: socket.socket) -> None:
        pumps = (
            _Pump(UP, self._caller, target, self._use_reset),
            _Pump(DOWN, target, self._caller, self._use_reset),
        )
        self._pumps = pumps
        for sock in (self._caller, target):
            sock.setblocking(False)  # noqa: WPS425
            sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        seen = self._first
        while not all(pump.finished for pump in pumps):
            readable = self._wait(pumps, seen.faults)
            received = [
                (pump, pump.receive())
                for pump in pumps
                if pump.source.fileno() in readable and pump.reads()
            ]
            state = self._state()
            self._notice(pumps, seen, state)
            seen = state
            self._move(pumps, received, state.faults)

    def _move(
        self,
        pumps: tuple[_Pump, _Pump],
        received: list[tuple[_Pump, bytes | None]],
        faults: Faults,
    ) -> None:
        now_s = time.monotonic()
        for pump, data in received:
            pump.take(data, faults, now_s)
        for pump, opposite in _with_opposites(pumps):
            pump.deliver(faults, now_s)
            if pump.sink_gone():
                opposite.take(None, faults, now_s)

    def _notice(
        self,
        pumps: tuple[_Pump, _Pump],
        seen: LinkState,
        state: LinkState,
    ) -> None:
        if state.faults.cut or state.resets != self._first.resets:
            raise _Reset
        if state.number == seen.number:
            return
        for pump in pumps:
            pump.restart_count()
            if pump.lost and pump.direction not in state.faults.swallow:
                raise _Reset

    def _wait(self, pumps: tuple[_Pump, _Pump], faults: Faults) -> set[int]:
        for pump, opposite in _with_opposites(pumps):
            mask = select.POLLIN if pump.reads() else 0
            mask |= select.POLLOUT if opposite.writes() else 0
            self._register(pump.source, mask)
        events = self._poll.poll(_wait_ms(pumps, faults))
        readable = {fd for fd, event in events if event != select.POLLOUT}
        if self._wake_fd in readable:
            os.eventfd_read(self._wake_fd)
        return readable

    def _register(self, sock: socket.socket, mask: int) -> None:
        if mask:
            self._poll.register(sock, mask)
            return
        try:
            self._poll.unregister(sock)
        except KeyError:
            return


def _with_opposites(
    pumps: tuple[_Pump, _Pump],
) -> tuple[tuple[_Pump, _Pump], tuple[_Pump, _Pump]]:
    up_pump, down_pump = pumps
    return (up_pump, down_pump), (down_pump, up_pump)


def _wait_ms(pumps: tuple[_Pump, _Pump], faults: Faults) -> float | None:
    due = [pump.next_due_s(faults) for pump in pumps]
    times_s = [due_s for due_s in due if due_s is not None]
    if not times_s:
        return None
    return max(min(times_s) - time.monotonic(), 0) * MS_PER_S


def reset_on_close(sock: socket.socket) -> None:
    """Let closing a socket reset its connection."""
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, RESET_ON_CLOSE)
