"""Requests that were read and whose connection ends without an answer."""

from __future__ import annotations

import enum
from collections.abc import Callable
from typing import NamedTuple

from wasabicross.gateway import metrics
from wasabicross.runtime.events import Event
from wasabicross.runtime.logs import log_event

#: Most ends that are logged one by one in an interval; the rest is counted.
_MAX_LOGGED = 20
_INTERVAL_S = 1.0


class Cause(enum.Enum):
    """Why the gateway ends a connection whose request isn't answered.

    `failed`: handling it raised an error. `cut`: its answer had begun and
    can't be completed. `process_ends`: the gateway ends before its answer has.
    `unread`: the connection counted as idle while bytes arrived.
    """

    failed = 'failed'
    cut = 'cut'
    process_ends = 'process ends'
    unread = 'unread bytes'


class RequestTrace(NamedTuple):
    """What the log tells about a request.

    :param request_id: its id, empty if unknown.
    :param configuration: version of the configuration that it started under.
    :param sends: how often it was sent to a server.
    """

    request_id: str = ''
    configuration: int = 0
    sends: int = 0


class UnansweredEnd(NamedTuple):
    """The end of a connection whose request has no complete answer.

    :param detail: the error or the reason of the cut.
    :param trace: the request, as far as it is known.
    :param sent_bytes: bytes of the body of its answer that were sent.
    """

    cause: Cause
    detail: str = ''
    trace: RequestTrace = RequestTrace()
    sent_bytes: int = 0


class UnansweredRequests:
    """Logs and counts requests that end without a complete answer.

    :param configuration_version: returns the version in force.
    """

    def __init__(self, configuration_version: Callable[[], int]) -> None:
        self._configuration_version = configuration_version
        self._interval_start_s: float = 0
        self._in_interval = 0

    def record(self, end: UnansweredEnd, now_s: float) -> None:
        """Log and count one of them.

        :param end: how it ended.
        :param now_s: the present time, monotonic seconds.
        """
        metrics.UNANSWERED.labels(end.cause.value).inc()
        if now_s - self._interval_start_s >= _INTERVAL_S:
            self._begin_interval(now_s)
        self._in_interval += 1
        if self._in_interval <= _MAX_LOGGED:
            self._log(end)

    def _begin_interval(self, now_s: float) -> None:
        omitted = self._in_interval - _MAX_LOGGED
        if omitted > 0:
            log_event(Event.UNANSWERED_OMITTED, requests=omitted)
        self._interval_start_s = now_s
        self._in_interval = 0

    def _log(self, end: UnansweredEnd) -> None:
        log_event(
            Event.REQUEST_UNANSWERED,
            request=end.trace.request_id,
            cause=end.cause.value,
            detail=end.detail,
            sends=end.trace.sends,
            sent_bytes=end.sent_bytes,
            configuration=end.trace.configuration,
            configuration_now=self._configuration_version(),
        )
