"""Ports that a program listens on."""

from collections.abc import Callable
from typing import TypeVar

from cheroot import wsgi
from expression import Error, Ok, Result

from wasabicross.runtime.errors import PortUnavailable
from wasabicross.runtime.running import StartResult

_Server = TypeVar('_Server')


def bind(
    host: str,
    port: int,
    listen: Callable[[], _Server],
) -> Result[_Server, PortUnavailable]:
    """Return what listens, or `PortUnavailable`.

    :param host: IP number to listen on.
    :param port: port to listen on.
    :param listen: binds the port.
    """
    try:
        return Ok(listen())
    except OSError as exc:
        return Error(PortUnavailable(host, port, str(exc)))


def bind_http(server: wsgi.Server) -> StartResult:
    """Bind the port of an HTTP server, or return `PortUnavailable`.

    :param server: not bound yet.
    """
    host, port = server.bind_addr
    return bind(host, port, server.prepare)
