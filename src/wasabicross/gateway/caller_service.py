"""Serves the requests of callers and counts those under way."""

from __future__ import annotations

from collections.abc import Callable

from wasabicross.gateway.answer_writer import AnswerWriter
from wasabicross.gateway.attempt_context import ServerAccess
from wasabicross.gateway.http_heads import CallerRequest
from wasabicross.gateway.request_handler import (
    HandlerDependencies,
    RequestHandler,
)
from wasabicross.gateway.retry_delays import RetryDelaysByService
from wasabicross.gateway.retrying_placer import RetryingPlacer
from wasabicross.gateway.usage_tracker import UsageTracker
from wasabicross.servers.retries import RetryBudget


class CallerService:
    """Serves the requests of callers.

    :param dependencies: what all request handlers share.
    """

    def __init__(self, dependencies: HandlerDependencies) -> None:
        self._deps = dependencies
        self.active = 0
        #: Whether the process is about to end and serves nothing new.
        self.refuses_all = False

    @classmethod
    def from_parts(
        cls,
        servers: ServerAccess,
        placer: RetryingPlacer,
        usage: UsageTracker,
        budget_for: Callable[[str], RetryBudget],
    ) -> CallerService:
        """Return a service of its own retry delays.

        :param servers: what all attempts at servers share.
        :param placer: chooses the servers of requests.
        :param usage: counts the requests at servers.
        :param budget_for: returns the retry budget of a service.
        """
        delays = RetryDelaysByService()
        return cls(
            HandlerDependencies(
                servers, placer, usage, budget_for, delays.for_service
            )
        )

    async def serve(self, req: CallerRequest, answer: AnswerWriter) -> None:
        """Answer one request.

        :param req: the request.
        :param answer: writes its answer.
        """
        handler = RequestHandler(self._deps, req, answer)
        if self.refuses_all:
            await handler.refuse_at_stop()
            return
        self.active += 1
        try:
            await handler.serve()
        finally:
            self.active -= 1
