"""The software version at which the stream of one request begins or goes on."""

from __future__ import annotations

from wasabicross.gateway.backend import BackendServer
from wasabicross.gateway.configuration import Route
from wasabicross.gateway.dialect import RequestInfo
from wasabicross.gateway.progress import RequestProgress
from wasabicross.gateway.stream_versions import StreamVersions


class StreamRequest:
    """Keeps the stream of one request to one software version.

    :param streams: tells at which versions streams begin and go on.
    :param route: the route of the request.
    :param info: what it states.
    :param progress: outcomes at all servers so far.
    """

    def __init__(
        self,
        streams: StreamVersions,
        route: Route,
        info: RequestInfo,
        progress: RequestProgress,
    ) -> None:
        self._streams = streams
        self._route = route
        self._info = info
        self._progress = progress
        self._service = route.service_for(info.request_id)

    def version(self, now_s: float) -> str | None:
        """Return the software version that has to run it, None for any.

        :param now_s: the present time, monotonic seconds.
        """
        if not self._route.is_resumable:
            return None
        if self._progress.software_version is not None:
            return self._progress.software_version
        return self._streams.for_new(
            self._service, self._info.request_id, now_s
        )

    def suits(self, server: BackendServer) -> bool:
        """Return whether the stream may go on at a server.

        :param server: the server.
        """
        pinned = self._progress.software_version
        return pinned in {None, server.software_version}

    def may_go_on(self) -> bool:
        """Return whether the stream hasn't begun or its version serves."""
        pinned = self._progress.software_version
        return pinned is None or self._streams.serves(self._service, pinned)
