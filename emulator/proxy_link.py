"""One link of the fault-injecting proxy: a listening port and its target."""

import socket
import threading
from collections.abc import Callable
from typing import Any

from emulator.http_server import STACK_BYTES
from emulator.proxy_connection import LinkState, ProxyConnection, reset_on_close
from emulator.proxy_pump import Faults

BACKLOG = 1024
CLOSE_TIMEOUT_S = 10


class Link:
    """A listening port and the target to which it forwards.

    :param listen: port on loopback, 0 for any.
    :param target: host and port of the target.
    """

    def __init__(self, listen: int, target: tuple[str, int]) -> None:
        self.target = target
        self._changed = threading.Condition()
        self._state = LinkState()
        self._connections: set[ProxyConnection] = set()
        self._accepted = 0
        self._listener: socket.socket | None = None
        self.listen = listen
        self._open()

    def state(self) -> LinkState:
        """Return the faults in force."""
        return self._state

    def set_faults(self, faults: Faults) -> None:
        """Put faults in force before returning.

        :raises TimeoutError: a connection was not closed after a cut.
        """
        if faults.cut:
            self._close()
        with self._changed:
            self._state = self._state._replace(
                faults=faults,
                number=self._state.number + 1,
            )
            connections = self._wake_all()
        if faults.cut:
            self._wait_until_closed(connections)
        elif self._listener is None:
            self._open()

    def reset_connections(self) -> None:
        """Reset the open connections; new ones are still accepted."""
        with self._changed:
            self._state = self._state._replace(
                resets=self._state.resets + 1,
            )
            connections = self._wake_all()
        self._wait_until_closed(connections)

    def close(self) -> None:
        """Refuse new connections and reset the open ones."""
        self.set_faults(Faults(cut=True))

    def summary(self) -> dict[str, Any]:
        """Return the link's faults and connections."""
        with self._changed:
            return {
                'listen': self.listen,
                'target': list(self.target),
                'faults': self._state.faults._asdict(),
                'connections': [
                    connection.counts() for connection in self._connections
                ],
                'accepted': self._accepted,
            }

    def _open(self) -> None:
        self._listener = socket.create_server(
            ('127.0.0.1', self.listen),
            backlog=BACKLOG,
        )
        self.listen = self._listener.getsockname()[1]
        _start_thread(self._accept_all, self._listener)

    def _close(self) -> None:
        if self._listener is not None:
            # Closing alone would not wake the thread that waits in `accept`.
            self._listener.shutdown(socket.SHUT_RDWR)
            self._listener.close()
            self._listener = None

    def _accept_all(self, listener: socket.socket) -> None:
        while True:
            try:
                caller, _address = listener.accept()
            except OSError:
                return
            self._accept(caller)

    def _accept(self, caller: socket.socket) -> None:
        with self._changed:
            if self._state.faults.cut:
                reset_on_close(caller)
                caller.close()
                return
            connection = ProxyConnection(
                caller,
                self.target,
                self.state,
                self._use_reset,
            )
            self._accepted += 1
            self._connections.add(connection)
        _start_thread(self._run, connection)

    def _run(self, connection: ProxyConnection) -> None:
        try:
            connection.run()
        finally:
            with self._changed:
                self._connections.remove(connection)
                connection.close()
                self._changed.notify_all()

    def _use_reset(self) -> bool:
        with self._changed:
            faults = self._state.faults
            if faults.reset_times > 0:
                fewer = faults._replace(reset_times=faults.reset_times - 1)
                self._state = self._state._replace(faults=fewer)
            return faults.reset_times != 0

    def _wake_all(self) -> set[ProxyConnection]:
        for connection in self._connections:
            connection.wake()
        return set(self._connections)

    def _wait_until_closed(self, connections: set[ProxyConnection]) -> None:
        with self._changed:
            are_closed = self._changed.wait_for(
                lambda: not self._connections.intersection(connections),
                CLOSE_TIMEOUT_S,
            )
        if not are_closed:
            raise TimeoutError(
                f'connections still open after {CLOSE_TIMEOUT_S} s',
            )


def _start_thread(target: Callable[..., None], *args: Any) -> None:
    threading.stack_size(STACK_BYTES)
    threading.Thread(target=target, args=args, daemon=True).start()
