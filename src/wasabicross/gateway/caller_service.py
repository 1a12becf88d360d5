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
        self._handlers: set[RequestHandler] = set()
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

    @property
    def active(self) -> int:
        """Return the number of requests under way."""
        return len(self._handlers)

    def refuse_unsent(self) -> None:
        """Refuse the requests under way that no server may have run."""
        for handler in tuple(self._handlers):
            handler.end_unless_sent()

    def end_all(self) -> None:
        """End the requests under way with an answer of this gateway's own."""
        for handler in tuple(self._handlers):
            handler.end_at_stop()

    async def serve(self, req: CallerRequest, answer: AnswerWriter) -> None:
        """Answer one request.

        :param req: the request.
        :param answer: writes its answer.
        """
        handler = RequestHandler(self._deps, req, answer)
        if self.refuses_all:
            await handler.refuse_at_stop()
            return
        self._handlers.add(handler)
        try:
            await handler.serve()
        finally:
            self._handlers.discard(handler)
