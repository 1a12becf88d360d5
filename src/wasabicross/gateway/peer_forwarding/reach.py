"""Tells whether this gateway is cut off from the servers."""

from __future__ import annotations

from wasabicross.gateway.peer_forwarding.peer_forwarder import PeerForwarder
from wasabicross.gateway.view import FleetView

#: For this long a request that another gateway took shows that servers run.
_PEER_SERVED_S = 3.0

#: Least number of servers of which none is reached in a cut; fewer may have
#: ended.
_MIN_SERVERS = 2


def are_mostly_unreached(view: FleetView, service: str) -> bool:
    """Return whether half of the servers of a service or more aren't reached.

    :param view: the servers and their health.
    :param service: name of the service.
    """
    unreached = [
        view.health[server.server_id].needs_probe
        for server in view.servers.values()
        if server.service == service
    ]
    return bool(unreached) and 2 * sum(unreached) >= len(unreached)


class Reach:
    """Tells whether this gateway is cut off from the servers.

    That no server is reached may also mean that all have ended. So others have
    to serve what this gateway forwards.

    :param view: the servers and their health.
    :param forwarder: forwards requests to other gateways.
    """

    def __init__(self, view: FleetView, forwarder: PeerForwarder) -> None:
        self._view = view
        self._forwarder = forwarder

    def is_cut_off(self, now_s: float) -> bool:
        """Return whether others reach servers and this gateway none.

        :param now_s: the present time, monotonic seconds.
        """
        servers = self._view.servers
        if len(servers) < _MIN_SERVERS:
            return False
        if not self._forwarder.has_served_since(now_s - _PEER_SERVED_S):
            return False
        return all(self._view.health[each].needs_probe for each in servers)
