"""Detects which entries of the instance have ended."""

import socket
import threading
from collections.abc import Callable, Iterable
from typing import Protocol

PROBE_INTERVAL_S = 0.5
PROBE_TIMEOUT_S = 0.5


class _EntryPorts(Protocol):
    @property
    def name(self) -> str:
        """Name of the entry."""

    @property
    def metrics_port(self) -> int:
        """The port that an entry listens on while its process runs."""


class EntryProbe:
    """Probes the entries whose link is lost.

    An entry holds its metrics port from before its first request until
    after its last, so one that refuses connections there runs nothing.

    :param host: IP address of the instance.
    :param entries: the entries that the settings name.
    :param unlinked: returns the names of entries without a link.
    :param on_ended: called with the name of each entry that has ended.
    """

    def __init__(
        self,
        host: str,
        entries: Iterable[_EntryPorts],
        unlinked: Callable[[], list[str]],
        on_ended: Callable[[str], None],
    ) -> None:
        self._host = host
        self._ports = {entry.name: entry.metrics_port for entry in entries}
        self._unlinked = unlinked
        self._on_ended = on_ended

    def run(self, stop: threading.Event) -> None:
        """Probe until the process stops."""
        while not stop.wait(PROBE_INTERVAL_S):
            for name in self._unlinked():
                port = self._ports.get(name)
                if port is None or not self._listens(port):
                    self._on_ended(name)

    def _listens(self, port: int) -> bool:
        """Return whether a process of this instance may listen on a port."""
        try:
            socket.create_connection(
                (self._host, port), PROBE_TIMEOUT_S
            ).close()
        except ConnectionRefusedError:
            return False
        except OSError:
            return True
        return True
