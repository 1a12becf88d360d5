"""Connections that tell whether a server's process has ended."""

from __future__ import annotations

import asyncio

_CONNECT_TIMEOUT_S = 0.15


async def is_accepted(host: str, port: int) -> bool:
    """Return whether a process accepts connections at an address.

    :param host: IP address.
    :param port: its port.
    """
    try:
        async with asyncio.timeout(_CONNECT_TIMEOUT_S):
            _, writer = await asyncio.open_connection(host, port)
    except (OSError, TimeoutError):
        return False
    writer.transport.abort()
    return True


async def is_refused(host: str, port: int) -> bool:
    """Return whether no process accepts connections at an address.

    :param host: IP address.
    :param port: its port.
    """
    try:
        async with asyncio.timeout(_CONNECT_TIMEOUT_S):
            _, writer = await asyncio.open_connection(host, port)
    except ConnectionRefusedError:
        return True
    except (OSError, TimeoutError):
        return False
    writer.transport.abort()
    return False
