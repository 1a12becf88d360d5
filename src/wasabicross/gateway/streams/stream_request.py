"""The software version at which the stream of one request begins or goes on."""

from __future__ import annotations

import math

from wasabicross.gateway import metrics
from wasabicross.gateway.configuration import Route
from wasabicross.gateway.dialect import RequestInfo
from wasabicross.gateway.placement import NoServer
from wasabicross.gateway.progress import RequestProgress
from wasabicross.gateway.streams.stream_versions import StreamVersions
from wasabicross.gateway.streams.take_ups import (
    NO_SERVER_OF_VERSION,
    TAKE_UP_REFUSALS,
    Knowledge,
    TakeUp,
    is_take_up,
    service_of,
)
from wasabicross.gateway.version_proof import VersionProof
from wasabicross.runtime.events import Event
from wasabicross.runtime.logs import log_event

#: Longest id of a caller's attempt that is logged, in characters.
_MAX_LOGGED = 64

_WENT_ON = 'went on'
_FAILED = 'failed'


class StreamRequest:
    """Keeps the stream of one request to one software version.

    :param streams: tells at which versions streams begin and go on.
    :param route: the route of the request.
    :param info: what it states.
    :param progress: outcomes at all servers so far.
    :param now_s: the present time, monotonic seconds.
    """

    def __init__(
        self,
        streams: StreamVersions,
        route: Route,
        info: RequestInfo,
        progress: RequestProgress,
        now_s: float,
    ) -> None:
        self._streams = streams
        self._route = route
        self._info = info
        self._progress = progress
        self._service = service_of(route, info)
        self._asked_s = now_s
        self._take_up: TakeUp | None = None
        self._is_resolved = False
        self._has_version_left = False
        #: Why the stream can't go on at any server, None if it may.
        self.refusal: NoServer | None = None
        if route.is_resumable:
            streams.note_time_limit(route, self._service, info, now_s)
        if is_take_up(route, info):
            self._set_take_up(streams.for_take_up(route, info, now_s))

    async def resolve(self) -> None:
        """Find out which version began a stream that is taken up, once."""
        if self._take_up is None or self._is_resolved:
            return
        self._is_resolved = True
        found = await self._streams.recall(
            self._take_up, self._service, self._info
        )
        if found.refusal is not None:
            found = await self._streams.confirmed_take_up(
                found, self._route, self._info, self._asked_s
            )
        self._set_take_up(found)
        self._log_take_up(found)

    def on_events(self, proof: VersionProof) -> None:
        """Keep to the version of the first events, and note what began it.

        :param proof: shows the version of the server that has sent events.
        """
        is_first = self._progress.software_version is None
        self._progress.software_version = proof.software_version
        if is_first and self._take_up is None:
            self._streams.note_begun(
                self._service, self._info.request_id, proof
            )

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

    def why_not_begin(self, now_s: float) -> NoServer | None:
        """Return why a new stream may not begin at present, if it may not.

        :param now_s: the present time, monotonic seconds.
        """
        has_begun = self._progress.software_version is not None
        if has_begun or not self._route.is_resumable:
            return None
        request_id = self._info.request_id
        if self._streams.may_begin(self._service, request_id, now_s):
            return None
        return TAKE_UP_REFUSALS[Knowledge.too_old]

    def lacks_proof(self, now_s: float) -> bool:
        """Return whether no server that could run it runs its listed start.

        :param now_s: the present time, monotonic seconds.
        """
        return self._route.is_resumable and self._streams.are_outdated(
            self._service, self.version(now_s), now_s
        )

    def may_go_on(self) -> bool:
        """Return whether the stream hasn't begun or its version serves."""
        pinned = self._progress.software_version
        if pinned is None or self._streams.serves(self._service, pinned):
            return True
        self._has_version_left = True
        return False

    def record_end(self) -> None:
        """Count how the take-up of an interrupted stream ended, if it is one."""
        if self._take_up is not None:
            metrics.TAKE_UPS.labels(self._service, self._outcome()).inc()

    def _set_take_up(self, take_up: TakeUp) -> None:
        self._take_up = take_up
        self._progress.software_version = take_up.version
        self.refusal = take_up.refusal

    def _log_take_up(self, take_up: TakeUp) -> None:
        log_event(
            Event.STREAM_TAKEN_UP,
            request=self._info.request_id,
            resumes=self._info.resumes[:_MAX_LOGGED],
            last_event=self._info.last_event_id[:_MAX_LOGGED],
            service=self._service,
            software_version=take_up.version or '',
            known_by=take_up.known_by.value,
            possible=sorted(take_up.possible),
            time_left_s=self._info.time_left_s,
            within_s=_logged_s(take_up.within_s),
        )

    def _outcome(self) -> str:
        """Return how the take-up ended, a label with few values."""
        last_event_id = self._progress.last_event_id
        has_new_events = last_event_id != self._info.last_event_id
        if has_new_events or self._progress.has_succeeded:
            return _WENT_ON
        if self.refusal is not None:
            return self.refusal.reason
        if self._has_version_left:
            return NO_SERVER_OF_VERSION.reason
        return _FAILED


def _logged_s(time_s: float) -> float | None:
    """Return a time as it is logged, seconds, None for an unlimited one."""
    return round(time_s, 3) if math.isfinite(time_s) else None
