"""What the log and the metrics tell of one request."""

from __future__ import annotations

from wasabicross.gateway import metrics
from wasabicross.gateway.dialect import RequestInfo
from wasabicross.gateway.progress import (
    AttemptRecord,
    Ending,
    RequestProgress,
)
from wasabicross.gateway.retrying_placer import Placement
from wasabicross.gateway.unanswered import RequestTrace
from wasabicross.runtime.events import Event
from wasabicross.runtime.logs import log_event

_UNAVAILABLE = 503

#: Longest age that is logged, seconds; it is unlimited where nothing is known yet.
_MAX_LOGGED_S = 86400.0


class RequestRecord:
    """Records what becomes of one request.

    :param info: what the request states.
    :param progress: its outcomes at servers so far.
    :param arrived_s: when it arrived, monotonic seconds.
    """

    def __init__(
        self, info: RequestInfo, progress: RequestProgress, arrived_s: float
    ) -> None:
        self._info = info
        self._progress = progress
        self._arrived_s = arrived_s
        #: The server that was asked last, empty for none.
        self.server_id = ''
        #: Service and class of the request, empty before its route is known.
        self.labels = ('', '')
        #: How long its caller had waited before it sent this one, seconds.
        self.waited_before_s: float = 0
        self.configuration_version = 0
        #: How it ended for the caller.
        self.outcome = 'cancelled'

    def trace(self) -> RequestTrace:
        """Return what is told of the request if it gets no answer."""
        return RequestTrace(
            self._info.request_id,
            self.configuration_version,
            self._progress.sends,
        )

    def on_end(self, started_s: float | None) -> None:
        """Count the request.

        :param started_s: when its answer began, None if it didn't.
        """
        metrics.REQUESTS.labels(*self.labels, self.outcome).inc()
        if started_s is not None and self.labels[0]:
            metrics.FIRST_BYTE_SECONDS.labels(*self.labels).observe(
                started_s - self._arrived_s
            )

    def on_own_answer(
        self, status: int, reason: str, now_s: float, ground: str = ''
    ) -> None:
        """Record that the gateway itself ends the request.

        :param status: status of its answer, 0 if the answer is cut off.
        :param reason: why it ends the request.
        :param now_s: the present time, monotonic seconds.
        :param ground: how it is known that the request hasn't run, empty where
            its answer doesn't promise that.
        """
        self.outcome = 'refused' if status == _UNAVAILABLE else 'ended'
        metrics.REFUSALS.labels(reason).inc()
        log_event(
            Event.REQUEST_REFUSED,
            request=self._info.request_id,
            status=status,
            reason=reason,
            sends=self._progress.sends,
            runs=self._progress.runs,
            proof=ground,
            server=self.server_id,
            digest=self._info.digest,
            held_s=round(now_s - self._arrived_s, 3),
            before_s=round(self.waited_before_s, 3),
        )

    def on_attempt(
        self,
        placement: Placement,
        record: AttemptRecord,
        ending: Ending,
        started_s: float,
        now_s: float,
    ) -> None:
        """Record the end of an attempt at a server.

        :param placement: the server.
        :param record: what is logged of the attempt.
        :param ending: how it ended.
        :param started_s: when it began, monotonic seconds.
        :param now_s: the present time, monotonic seconds.
        """
        self._progress.reason = record.reason
        metrics.ATTEMPTS.labels(self.labels[0], ending.value).inc()
        metrics.ANSWER_ENDS.labels(self.labels[0], record.end_proof.value).inc()
        metrics.LOAD_WAIT_SECONDS.labels(*self.labels).observe(
            placement.waited_s
        )
        log_event(
            Event.REQUEST_SENT,
            request=self._info.request_id,
            server=placement.server.server_id,
            adapter=self._info.adapter.adapter if self._info.adapter else '',
            version=placement.version,
            software_version=placement.server.software_version,
            start_ms=placement.server.start_ms,
            found_start_ms=record.found_start_ms,
            version_proof=record.version_ground.value,
            knowledge_s=round(min(record.knowledge_s, _MAX_LOGGED_S), 3),
            resumes=self._info.resumes,
            last_event=self._info.last_event_id,
            waited_s=round(placement.waited_s, 3),
            before_s=round(self.waited_before_s, 3),
            candidates=placement.candidates,
            requests=placement.requests,
            prompt_tokens=self._info.prompt_tokens,
            prompt_source=placement.prompt_source.server_id
            if placement.prompt_source
            else '',
            unread_tokens=record.unread_tokens,
            configuration=self.configuration_version,
            connection=record.connection,
            connection_sends=record.connection_sends,
            first_s=round(record.first_s, 3),
            took_s=round(now_s - started_s, 3),
            pause_s=round(record.longest_pause_s, 3),
            ending=ending.value,
            status=record.status,
            reason=record.reason,
            end_proof=record.end_proof.value,
            limits=record.limits,
            digest='' if ending is Ending.done else self._info.digest,
        )
