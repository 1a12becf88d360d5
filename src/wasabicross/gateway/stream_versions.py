"""At which software version streams begin, and at which one they go on."""

from __future__ import annotations

from wasabicross.gateway.backend import BackendServer
from wasabicross.gateway.placement import NoServer
from wasabicross.gateway.view import FleetView

#: Why a stream can't go on whose version has left; nothing that its caller does
#: soon will change that.
NO_SERVER_OF_VERSION = NoServer('no server of its version', retry_after_s=60.0)


class StreamVersions:
    """Tells at which software version resumable streams begin and go on.

    :param view: state of the deployment.
    """

    def __init__(self, view: FleetView) -> None:
        self._view = view

    def for_new(
        self, service: str, request_id: str, now_s: float
    ) -> str | None:
        """Return the software version that begins a stream, None for any.

        :param service: the service that runs it.
        :param request_id: id of the caller's attempt.
        :param now_s: the present time, monotonic seconds.
        """
        division = self._view.divisions.get(service)
        if division is not None:
            return division.version_for(request_id)
        versions = self._listed_versions(service)
        return next(iter(versions)) if len(versions) == 1 else None

    def serves(self, service: str, version: str) -> bool:
        """Return whether servers of a version are listed as taking requests.

        Those that are full or ask for a pause are.

        :param service: their service.
        :param version: the software version.
        """
        return any(
            server.service == service
            and server.software_version == version
            and not server.is_leaving
            and not self._view.notices.is_leaving(server)
            for server in self._view.servers.values()
        )

    def _listed_versions(self, service: str) -> frozenset[str]:
        """Return the versions of all servers, also of those that leave."""
        return frozenset(
            server.software_version
            for server in self._view.servers.values()
            if server.service == service
        )


def is_same_software(view: FleetView, chosen: BackendServer) -> bool:
    """Return whether the entry of a server still is of the same incarnation.

    :param view: state of the deployment.
    :param chosen: the server as it was listed when it was chosen.
    """
    listed = view.servers.get(chosen.server_id)
    return listed is not None and (
        (listed.software_version, listed.start_ms)
        == (chosen.software_version, chosen.start_ms)
    )
