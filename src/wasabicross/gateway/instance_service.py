"""Answers the platform and operators: readiness and metrics."""

from __future__ import annotations

from collections.abc import Callable

from wasabicross.gateway import metrics
from wasabicross.gateway.answer_writer import AnswerWriter
from wasabicross.gateway.caller_service import CallerService
from wasabicross.gateway.http_heads import CallerRequest


class InstanceService:
    """Answers what is asked about this gateway itself.

    :param ready_path: path at which the platform checks readiness.
    :param is_ready: returns whether the platform should send callers here.
    :param callers: the requests under way.
    """

    def __init__(
        self,
        ready_path: str,
        is_ready: Callable[[], bool],
        callers: CallerService,
    ) -> None:
        self._ready_path = ready_path
        self._is_ready = is_ready
        self._callers = callers

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
        else:
            await answer.send_complete(404, [])
