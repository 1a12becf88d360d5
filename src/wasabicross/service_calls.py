"""Calls to plain services, those with an idempotency key at most once."""

import hashlib
import time

from wasabicross.attempts import (
    Outstanding,
    failed_attempt,
    pass_on,
    start_answer,
)
from wasabicross.caller_request import CallerRequest
from wasabicross.dispatch import Call, Dispatcher
from wasabicross.entry_link import EntryLink
from wasabicross.exceptions import AnswerCut, DispatchError, NotRun
from wasabicross.key_claims import KeyClaims
from wasabicross.messages import ServerInfo
from wasabicross.replies import NO_SERVER, Reply, refuse, unknown_outcome
from wasabicross.retries import Outcome, RetryBudget, may_retry
from wasabicross.services import PlainService

RETRY_AFTER_S = 2.0


class ServiceCalls:
    """Runs calls to plain services.

    :param link: tells the servers.
    :param outstanding: requests under way at each server.
    :param retry_budget: bounds the retries of this process.
    :param claims: claims idempotency keys.
    :param data_centre: where this entry runs; its servers are preferred.
    """

    def __init__(
        self,
        link: EntryLink,
        outstanding: Outstanding,
        retry_budget: RetryBudget,
        claims: KeyClaims,
        data_centre: str,
    ) -> None:
        self._link = link
        self._outstanding = outstanding
        self._retry_budget = retry_budget
        self._claims = claims
        self._data_centre = data_centre
        self._services: dict[tuple[str, int], PlainService] = {}

    def run(self, req: CallerRequest) -> Reply:
        """Run a call and return its answer, or why there is none.

        :param req: the request.
        """
        self._retry_budget.add_request()
        if req.is_idempotent or not req.key:
            return self._dispatch(req)
        digest = hashlib.sha256(
            b'\0'.join((req.method.encode(), req.path.encode(), req.body)),
        ).hexdigest()
        refused = self._claims.claim(req, digest)
        if refused is not None:
            return refused
        return self._claims.settle(req, self._dispatch(req))

    def _dispatch(self, req: CallerRequest) -> Reply:
        tried: list[str] = []
        while True:
            server = self._choose(req, tried)
            if server is None:
                return refuse(NO_SERVER, RETRY_AFTER_S)
            tried.append(server.server_id)
            reply = self._exchange(req, server)
            if isinstance(reply, Reply):
                return reply
            failed = self._after_failure(req, reply, tried)
            if failed is not None:
                return failed

    def _choose(
        self, req: CallerRequest, tried: list[str]
    ) -> ServerInfo | None:
        fitting = [
            server
            for server in self._link.servers
            if server.kind == 'service'
            and server.group == req.route.group
            and server.state == 'live'
            and server.server_id not in tried
        ]
        return min(fitting, key=self._cost, default=None)

    def _cost(self, server: ServerInfo) -> tuple[bool, int, str]:
        is_remote = server.data_centre != self._data_centre
        under_way = self._outstanding.at(server.server_id)
        return (is_remote, under_way, server.server_id)

    def _exchange(
        self, req: CallerRequest, server: ServerInfo
    ) -> Reply | DispatchError:
        server_id = server.server_id
        self._outstanding.add(server_id)
        answer = self._service(server).call(_call(req, time.monotonic()))
        failed: DispatchError | None = None
        if answer.is_ok():
            try:
                started = start_answer(answer.ok)
            except AnswerCut as exc:
                failed = exc
        else:
            failed = answer.error
        if failed is not None:
            self._outstanding.remove(server_id)
            return failed
        named = (('X-Wasabicross-Bundle', str(req.bundle.number)),)
        return pass_on(
            req, started, named, lambda: self._outstanding.remove(server_id)
        )

    def _after_failure(
        self, req: CallerRequest, exc: DispatchError, tried: list[str]
    ) -> Reply | None:
        not_run = isinstance(exc, NotRun)
        outcome = Outcome.not_run if not_run else Outcome.unknown
        attempt = failed_attempt(req, outcome, tried, time.monotonic())
        if may_retry(attempt) and self._retry_budget.spend():
            return None
        if not_run:
            return refuse(NO_SERVER, RETRY_AFTER_S)
        return unknown_outcome()

    def _service(self, server: ServerInfo) -> PlainService:
        address = (server.host, server.port)
        service = self._services.get(address)
        if service is None:
            service = PlainService(Dispatcher(*address))
            self._services[address] = service
        return service


def _call(req: CallerRequest, now_s: float) -> Call:
    headers = (*req.headers, ('X-Request-Id', req.request_id))
    return Call(
        req.method,
        req.path,
        headers,
        req.body,
        req.deadline_s - now_s,
        req.is_idempotent,
    )
