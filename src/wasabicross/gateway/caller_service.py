"""Serves the requests of callers and counts those under way."""

from __future__ import annotations

from collections.abc import Callable

from wasabicross.gateway.attempt_context import ServerAccess
from wasabicross.gateway.connections.answer_writer import AnswerWriter
from wasabicross.gateway.connections.http_heads import CallerRequest
from wasabicross.gateway.handler_dependencies import HandlerDependencies
from wasabicross.gateway.peer_forwarding.peer_forwarder import (
    PeerForwarder,
    without_configuration,
)
from wasabicross.gateway.peer_forwarding.reach import Reach
from wasabicross.gateway.request_handler import RequestHandler
from wasabicross.gateway.retry_delays import RetryDelaysByService
from wasabicross.gateway.retrying_placer import RetryingPlacer
from wasabicross.gateway.settings import GatewaySettings
from wasabicross.gateway.usage_tracker import UsageTracker
from wasabicross.servers.retries import RetryBudget


class CallerService:
    """Serves the requests of callers.

    :param dependencies: what all request handlers share.
    """

    def __init__(self, dependencies: HandlerDependencies) -> None:
        self._deps = dependencies
        self._handlers: set[RequestHandler] = set()
        #: Tells whether this gateway is cut off from the servers.
        self.reach = Reach(dependencies.servers.view, dependencies.forwarder)
        #: Whether the process is about to end and serves nothing new.
        self.refuses_all = False

    @classmethod
    def from_parts(
        cls,
        cfg: GatewaySettings,
        servers: ServerAccess,
        placer: RetryingPlacer,
        usage: UsageTracker,
        budget_for: Callable[[str], RetryBudget],
    ) -> CallerService:
        """Return a service of its own retry delays.

        :param cfg: settings of this gateway.
        :param servers: what all attempts at servers share.
        :param placer: chooses the servers of requests.
        :param usage: counts the requests at servers.
        :param budget_for: returns the retry budget of a service.
        """
        delays = RetryDelaysByService()
        forwarder = PeerForwarder.from_config(
            cfg, servers.view, servers.pool, servers.dialect
        )
        return cls(
            HandlerDependencies(
                servers,
                placer,
                usage,
                budget_for,
                delays.for_service,
                forwarder,
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
        await self._serve(RequestHandler(self._deps, req, answer))

    async def serve_forwarded(
        self, req: CallerRequest, answer: AnswerWriter
    ) -> None:
        """Answer one request that another gateway has forwarded.

        :param req: the request.
        :param answer: writes its answer.
        """
        sent, version = without_configuration(req)
        await self._serve(
            RequestHandler(
                self._deps, sent, answer, least_configuration=version
            )
        )

    async def _serve(self, handler: RequestHandler) -> None:
        if self.refuses_all:
            await handler.refuse_at_stop()
            return
        self._handlers.add(handler)
        try:
            await handler.serve()
        finally:
            self._handlers.discard(handler)
