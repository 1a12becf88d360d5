"""Binding of the ports that a program listens on."""

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
    """Return the bound server, or `PortUnavailable`.

    :param host: IP address, for the error.
    :param port: port number, for the error.
    :param listen: binds the port and returns the server.
    """
    try:
        return Ok(listen())
    except OSError as exc:
        return Error(PortUnavailable(host, port, str(exc)))


def bind_http(server: wsgi.Server) -> StartResult:
    """Bind the port of an HTTP server, or return `PortUnavailable`.

    :param server: a server that isn't bound yet.
    """
    host, port = server.bind_addr
    return bind(host, port, server.prepare)
