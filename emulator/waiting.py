"""Waiting for conditions, and ports that nobody uses."""

import secrets
import socket
import time
from collections.abc import Callable
from typing import TypeVar

POLL_S = 0.005
# Below the range from which the kernel takes outgoing connections' ports.
FIRST_PORT = 16000
LAST_PORT = 32000

_Found = TypeVar('_Found')


def wait_until(
    condition: Callable[[], _Found],
    timeout_s: float,
    message: str = 'condition',
) -> _Found:
    """Call a condition until it holds.

    :param condition: called again and again until what it returns is true.
    :param timeout_s: seconds to wait at most.
    :param message: what was waited for, told when it did not come.
    :return: what the condition returned.
    :raises TimeoutError: the condition did not hold in time.
    """
    deadline_s = time.monotonic() + timeout_s
    while True:
        found = condition()
        if found:
            return found
        if time.monotonic() >= deadline_s:
            raise TimeoutError(f'{message}: not within {timeout_s} s')
        time.sleep(POLL_S)


def free_ports(count: int, host: str = '127.0.0.1') -> list[int]:
    """Find ports on which nobody listens, outside the ephemeral range.

    :param count: how many.
    :param host: IP number on which they are to be free.
    """
    held: list[socket.socket] = []
    try:
        while len(held) < count:
            _hold_one(held, host)
        return [sock.getsockname()[1] for sock in held]
    finally:
        for sock in held:
            sock.close()


def _hold_one(held: list[socket.socket], host: str) -> None:
    sock = socket.socket()
    port = FIRST_PORT + secrets.randbelow(LAST_PORT - FIRST_PORT)
    try:
        sock.bind((host, port))
    except OSError:
        sock.close()
        return
    held.append(sock)
