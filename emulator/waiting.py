"""Waiting for conditions, and ports that nobody uses."""

import functools
import itertools
import socket
import time
from collections.abc import Callable, Iterator
from typing import TypeVar

POLL_S = 0.005
# Below the range from which the kernel takes outgoing connections' ports.
FIRST_PORT = 16000
LAST_PORT = 32000
BLOCK_PORTS = 800
# Not an address of any program, which could need the port itself.
SIGN_HOST = '127.255.255.254'

_Found = TypeVar('_Found')

_signs: list[socket.socket] = []


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

    They are this process's own: others that ask at the same time get ports of
    other blocks.

    :param count: how many.
    :param host: IP number on which they are to be free.
    :raises ValueError: so many don't fit into a block.
    """
    if count >= BLOCK_PORTS:
        raise ValueError(f'{count} ports are more than a block')
    block = _own_block()
    found: list[int] = []
    while len(found) < count:
        port = next(block)
        if _is_free(port, host):
            found.append(port)
    return found


@functools.cache
def _own_block() -> Iterator[int]:
    """Take a block of ports for the life of this process.

    Its first port is held as the sign that the block is taken.
    """
    for first in range(FIRST_PORT, LAST_PORT, BLOCK_PORTS):
        sign = socket.socket()
        try:
            sign.bind((SIGN_HOST, first))
        except OSError:
            sign.close()
            continue
        _signs.append(sign)
        return itertools.cycle(range(first + 1, first + BLOCK_PORTS))
    raise OSError('every block of ports is taken')


def _is_free(port: int, host: str) -> bool:
    with socket.socket() as sock:
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        try:
            sock.bind((host, port))
        except OSError:
            return False
    return True
