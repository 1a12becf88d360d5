"""Tells which servers this gateway reaches."""

from __future__ import annotations

from wasabicross.gateway.view import FleetView


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
