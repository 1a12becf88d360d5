"""An entry is reported as gone only after its process has ended."""

import socket
import threading
from types import SimpleNamespace

import pytest

from emulator.waiting import wait_until
from wasabicross.controllers.entry_probe import EntryProbe

HOST = '127.0.0.1'
BACKLOG = 2


@pytest.fixture
def frozen():
    """A port whose process accepts no connections."""
    with socket.create_server((HOST, 0), backlog=BACKLOG) as held:
        yield held


def test_a_frozen_entry_is_not_gone_until_its_port_is_free(frozen):
    port = frozen.getsockname()[1]
    probes, gone, stop = [], [], threading.Event()

    def unlinked():
        probes.append(True)
        return [] if gone else ['entry']

    probe = EntryProbe(
        HOST,
        [SimpleNamespace(name='entry', metrics_port=port)],
        unlinked,
        gone.append,
    )
    thread = threading.Thread(target=probe.run, args=(stop,), daemon=True)
    thread.start()
    # More probes than the backlog of the port holds.
    wait_until(lambda: len(probes) > 2 * BACKLOG + 2, 20, 'probes')
    assert gone == []
    frozen.close()
    wait_until(lambda: gone == ['entry'], 10, 'gone')
    stop.set()
    thread.join(5)
