"""Answers the platform and operators: readiness, metrics, convictions."""

from __future__ import annotations

from collections.abc import Callable

from wasabicross.gateway import metrics
from wasabicross.gateway.caller_service import CallerService
from wasabicross.gateway.clock import now_s
from wasabicross.gateway.connections.answer_writer import AnswerWriter
from wasabicross.gateway.connections.http_heads import CallerRequest
from wasabicross.gateway.crashes import conviction_listing
from wasabicross.gateway.crashes.crash_sharing import CrashSharing


class InstanceService:
    """Answers what is asked about this gateway itself.

    :param ready_path: path at which the platform checks readiness.
    :param is_ready: returns whether the platform should send callers here.
    :param callers: the requests under way.
    :param crashes: what this gateway knows of crashed servers.
    """

    def __init__(
        self,
        ready_path: str,
        is_ready: Callable[[], bool],
        callers: CallerService,
        crashes: CrashSharing,
    ) -> None:
        self._ready_path = ready_path
        self._is_ready = is_ready
        self._callers = callers
        self._crashes = crashes

    async def serve(self, req: CallerRequest, answer: AnswerWriter) -> None:
        """Answer one request.

        :param req: the request.
        :param answer: writes its answer.
        """
        if req.path == self._ready_path:
            await answer.send_complete(200 if self._is_ready() else 503, [])
        elif req.path == metrics.PATH:
            metrics.UNDER_WAY.set(self._callers.active)
            fields = [(b'content-type', metrics.CONTENT_TYPE)]
            await answer.send_complete(200, fields, metrics.render_metrics())
        elif req.path.startswith(conviction_listing.PATH):
            listed = conviction_listing.answer_operator(
                req.method, req.path, self._crashes, now_s()
            )
            fields = [(b'content-type', b'application/json')]
            await answer.send_complete(listed.status, fields, listed.body)
        else:
            await answer.send_complete(404, [])
