"""Probes a server after a broken connection, to tell whether it was lost."""

import socket
import time

from wasabicross.dispatching.dispatch import Dispatcher
from wasabicross.dispatching.engines import Engine
from wasabicross.servers.server_health import Failure

TIMEOUT_S = 0.5
RETRY_INTERVAL_S = 0.05
IDLE_CHECK_S = 0.2


def probe(address: tuple[str, int], load_name: str) -> Failure | None:
    """Return how a server fails to answer, None if it still runs as before.

    A reset connection is probed again until the timeout, since the process may
    be about to end.

    :param address: IP address and port of the server.
    :param load_name: name of the load that a request ran on there; empty for a
        plain service.
    """
    until_s = time.monotonic() + TIMEOUT_S
    failure = _probe_once(address, load_name)
    while failure is Failure.reset and time.monotonic() < until_s:
        time.sleep(RETRY_INTERVAL_S)
        failure = _probe_once(address, load_name)
    return failure


def _probe_once(address: tuple[str, int], load_name: str) -> Failure | None:
    try:
        conn = socket.create_connection(address, TIMEOUT_S)
    except ConnectionRefusedError:
        return Failure.refused
    except OSError:
        return Failure.timed_out
    with conn:
        if not load_name:
            return None if _stays_open(conn) else Failure.reset
    return _check_engine(address, load_name)


def _check_engine(address: tuple[str, int], load_name: str) -> Failure | None:
    """Return a failure unless the engine still holds a load in use.

    An engine without the load has restarted: load names are unique, and a load
    is not evicted while a request counts as running on it.
    """
    engine = Engine(Dispatcher(*address))
    inventory = engine.inventory(TIMEOUT_S)
    engine.close()
    if inventory.is_error():
        return Failure.reset
    return None if load_name in inventory.ok.loads else Failure.restarted


def _stays_open(conn: socket.socket) -> bool:
    """Return whether a server keeps a connection open without a request."""
    conn.settimeout(IDLE_CHECK_S)
    try:
        return bool(conn.recv(1))
    except TimeoutError:
        return True
    except OSError:
        return False
