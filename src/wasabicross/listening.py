"""Ports that a program listens on, and what it does if one can't be had."""

import sys
from collections.abc import Callable
from typing import TypeAlias, TypeVar

from cheroot import wsgi
from expression import Error, Ok, Result

from wasabicross.events import Event
from wasabicross.exceptions import PortUnavailable
from wasabicross.logs import log_event
from wasabicross.options import EXIT_PORT

_Server = TypeVar('_Server')

#: What the start of something that listens returns.
Started: TypeAlias = Result[None, PortUnavailable]


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


def bind_http(server: wsgi.Server) -> Started:
    """Bind the port of an HTTP server, or return `PortUnavailable`.

    :param server: not bound yet.
    """
    host, port = server.bind_addr
    return bind(host, port, server.prepare)


def start_or_exit(start: Callable[[], Started]) -> None:
    """Start a program; log and exit with 3 if it can't have one of its ports.

    :param start: starts it, or leaves nothing running.
    """
    started = start()
    if started.is_error():
        exc = started.error
        log_event(
            Event.PORT_UNAVAILABLE,
            host=exc.host,
            port=exc.port,
            reason=exc.reason,
        )
        sys.exit(EXIT_PORT)
