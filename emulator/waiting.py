"""Waiting for conditions, and finding unused ports."""

import functools
import itertools
import socket
import time
from collections.abc import Callable, Iterator
from typing import TypeVar

POLL_S = 0.005
# These ports are below the kernel's range for outgoing connections.
FIRST_PORT = 16000
LAST_PORT = 32000
BLOCK_PORTS = 800
# No program listens on this address, so the reservation blocks no port.
RESERVATION_HOST = '127.255.255.254'

_Found = TypeVar('_Found')

_reservations: list[socket.socket] = []


def wait_until(
    condition: Callable[[], _Found],
    timeout_s: float,
    message: str = 'condition',
) -> _Found:
    """Call a condition repeatedly until it holds.

    :param condition: returns a true value when it holds.
    :param timeout_s: maximum time to wait, in seconds.
    :param message: description of the condition for the time-out error.
    :return: the true value that the condition returned.
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
    """Find ports on which no process listens, outside the ephemeral range.

    They come from a block that is reserved for this process, so other processes
    that call this function get other ports.

    :param count: number of ports.
    :param host: IP address on which they must be free.
    :raises ValueError: the number is larger than a block.
    """
    if count >= BLOCK_PORTS:
        raise ValueError(f'{count} ports requested of a block of {BLOCK_PORTS}')
    block = _reserve_block()
    found: list[int] = []
    while len(found) < count:
        port = next(block)
        if _is_free(port, host):
            found.append(port)
    return found


@functools.cache
def _reserve_block() -> Iterator[int]:
    """Reserve a block of ports for the lifetime of this process.

    Binding its first port marks the block as reserved.
    """
    for first in range(FIRST_PORT, LAST_PORT, BLOCK_PORTS):
        reservation = socket.socket()
        try:
            reservation.bind((RESERVATION_HOST, first))
        except OSError:
            reservation.close()
            continue
        _reservations.append(reservation)
        return itertools.cycle(range(first + 1, first + BLOCK_PORTS))
    raise OSError('all blocks of ports are reserved')


def _is_free(port: int, host: str) -> bool:
    with socket.socket() as sock:
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        try:
            sock.bind((host, port))
        except OSError:
            return False
    return True
