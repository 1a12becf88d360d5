"""One connection through the fault-injecting proxy."""

import fcntl
import os
import select
import socket
import struct
import sys
import termios
import time
from collections.abc import Callable
from typing import NamedTuple

from emulator.proxy_pump import (
    DOWN,
    MS_PER_S,
    UP,
    ConnectionReset,
    Faults,
    LimitReached,
    Pump,
)

CONNECT_TIMEOUT_S = 5
DELIVERY_TIMEOUT_S = 2
DELIVERY_POLL_S = 0.001
RESET_ON_CLOSE = struct.pack('ii', 1, 0)


class LinkState(NamedTuple):
    """The state of a link, as its connections read it.

    :param faults: the faults in force.
    :param number: incremented with each change of the faults.
    :param resets: incremented to have the open connections reset.
    """

    faults: Faults = Faults()
    number: int = 0
    resets: int = 0


class ProxyConnection:
    """Forwards bytes between a caller's connection and one to the target.

    :param caller: the accepted connection.
    :param target: host and port to connect to.
    :param state: returns the link's current state.
    :param use_reset: consumes one of the link's `reset_times`; returns whether
        one was left.
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
        self._initial_state = state()
        self._pumps: tuple[Pump, ...] = ()
        self._wake_fd = os.eventfd(0, os.EFD_NONBLOCK)
        self._poll = select.poll()
        self._poll.register(self._wake_fd, select.POLLIN)

    def counts(self) -> dict[str, dict[str, int]]:
        """Return each direction's counts."""
        return {pump.direction: pump.counts() for pump in self._pumps}

    def wake(self) -> None:
        """Make the connection read its link's state again."""
        os.eventfd_write(self._wake_fd, 1)

    def run(self) -> None:
        """Forward bytes until both directions have ended or a reset occurs."""
        sockets = [self._caller]
        try:
            sockets.append(
                socket.create_connection(self._target, CONNECT_TIMEOUT_S),
            )
            self._forward(sockets[1])
        except (ConnectionReset, OSError) as exc:
            if isinstance(exc, LimitReached):
                _await_delivery(sockets)
            for sock in sockets:
                reset_on_close(sock)
        finally:
            for sock in sockets:
                sock.close()

    def close(self) -> None:
        """Free the wake-up descriptor; `wake` must not be called any more."""
        os.close(self._wake_fd)

    def _forward(self, target: socket.socket) -> None:
        pumps = (
            Pump(UP, self._caller, target, self._use_reset),
            Pump(DOWN, target, self._caller, self._use_reset),
        )
        self._pumps = pumps
        for sock in (self._caller, target):
            sock.setblocking(False)  # noqa: WPS425
            sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        previous = self._initial_state
        while not all(pump.finished for pump in pumps):
            readable = self._wait(pumps, previous.faults)
            received = [
                (pump, pump.receive())
                for pump in pumps
                if pump.source.fileno() in readable and pump.wants_read()
            ]
            state = self._state()
            self._apply_state(pumps, previous, state)
            previous = state
            self._transfer(pumps, received, state.faults)

    def _transfer(
        self,
        pumps: tuple[Pump, Pump],
        received: list[tuple[Pump, bytes | None]],
        faults: Faults,
    ) -> None:
        now_s = time.monotonic()
        for pump, data in received:
            pump.enqueue(data, faults, now_s)
        for pump, opposite in _with_opposites(pumps):
            pump.deliver(faults, now_s)
            if pump.is_sink_closed():
                opposite.enqueue(None, faults, now_s)

    def _apply_state(
        self,
        pumps: tuple[Pump, Pump],
        previous: LinkState,
        state: LinkState,
    ) -> None:
        if state.faults.cut or state.resets != self._initial_state.resets:
            raise ConnectionReset
        if state.number == previous.number:
            return
        for pump in pumps:
            pump.restart_count()
            if (
                pump.has_lost_bytes
                and pump.direction not in state.faults.swallow
            ):
                raise ConnectionReset

    def _wait(self, pumps: tuple[Pump, Pump], faults: Faults) -> set[int]:
        for pump, opposite in _with_opposites(pumps):
            mask = select.POLLIN if pump.wants_read() else 0
            mask |= select.POLLOUT if opposite.wants_write() else 0
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
    pumps: tuple[Pump, Pump],
) -> tuple[tuple[Pump, Pump], tuple[Pump, Pump]]:
    up_pump, down_pump = pumps
    return (up_pump, down_pump), (down_pump, up_pump)


def _wait_ms(pumps: tuple[Pump, Pump], faults: Faults) -> float | None:
    due = [pump.next_due_s(faults) for pump in pumps]
    times_s = [due_s for due_s in due if due_s is not None]
    if not times_s:
        return None
    return max(min(times_s) - time.monotonic(), 0) * MS_PER_S


def _await_delivery(sockets: list[socket.socket]) -> None:
    deadline_s = time.monotonic() + DELIVERY_TIMEOUT_S
    while any(map(_unacknowledged_bytes, sockets)):
        if time.monotonic() > deadline_s:
            return
        time.sleep(DELIVERY_POLL_S)


def _unacknowledged_bytes(sock: socket.socket) -> int:
    answer = fcntl.ioctl(sock, termios.TIOCOUTQ, struct.pack('i', 0))
    return int.from_bytes(answer, sys.byteorder)


def reset_on_close(sock: socket.socket) -> None:
    """Make a socket reset its connection when it is closed."""
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, RESET_ON_CLOSE)
