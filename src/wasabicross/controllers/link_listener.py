"""The port on which a controller accepts links of other processes."""

from collections.abc import Callable
from functools import partial

from websockets.sync.server import Server

from wasabicross.messaging.links import Link, listen
from wasabicross.messaging.messages import Refusal, Welcome
from wasabicross.runtime.listening import bind
from wasabicross.runtime.running import StartResult


class LinkListener:
    """Accepts links of other processes on a port.

    :param host: IP address to listen on.
    :param port: port to listen on.
    :param accept: decides by its hello whether a link is accepted.
    :param serve_link: runs an accepted link until it ends.
    """

    def __init__(
        self,
        host: str,
        port: int,
        accept: Callable[[Link], Refusal | Welcome],
        serve_link: Callable[[Link], None],
    ) -> None:
        self._address = (host, port)
        self._listen = partial(listen, host, port, accept, serve_link)
        self._servers: list[Server] = []

    def bind(self) -> StartResult:
        """Bind the port, or return `PortUnavailable`."""
        return bind(*self._address, self._listen).map(self._servers.append)

    def serve(self) -> None:
        """Accept links until `stop`; the port must be bound."""
        for server in self._servers:
            server.serve_forever()

    def stop(self) -> None:
        """Stop accepting links."""
        for server in self._servers:
            server.shutdown()
