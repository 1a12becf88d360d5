"""Calls to plain services, run at most once with an idempotency key."""

import hashlib
import time

from wasabicross.callers.attempts import RETRY_AFTER_S, AttemptHistory, Attempts
from wasabicross.callers.caller_request import CallerRequest
from wasabicross.callers.key_claims import KeyClaims
from wasabicross.callers.replies import NO_SERVER, Reply
from wasabicross.dispatching.dispatch import Call, Dispatcher
from wasabicross.dispatching.services import PlainService
from wasabicross.messaging.messages import ServerInfo


class ServiceCalls:
    """Runs calls to plain services.

    :param attempts: sends requests to the services.
    :param claims: claims idempotency keys.
    :param data_centre: the data centre of this entry, whose servers are
        preferred.
    """

    def __init__(
        self,
        attempts: Attempts,
        claims: KeyClaims,
        data_centre: str,
    ) -> None:
        self._attempts = attempts
        self._watch = attempts.watch
        self._claims = claims
        self._data_centre = data_centre
        self._services: dict[tuple[str, int], PlainService] = {}

    def run(self, req: CallerRequest) -> Reply:
        """Run a call and return its answer, or the error.

        :param req: the request.
        """
        self._attempts.count_request()
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
        history = AttemptHistory()
        while True:
            now_s = time.monotonic()
            server = self._choose(req, history, now_s)
            if server is None:
                return history.refuse(NO_SERVER, RETRY_AFTER_S)
            history.servers.append(server.server_id)
            reply = self._attempt(req, server, history, now_s)
            if reply is not None:
                return reply

    def _choose(
        self, req: CallerRequest, history: AttemptHistory, now_s: float
    ) -> ServerInfo | None:
        group = self._watch.group('service', req.route.group)
        usable = self._watch.usable(
            [server.server_id for server in group], now_s
        )
        untried = [
            server
            for server in group
            if server.server_id in usable
            and server.server_id not in history.servers
        ]
        # If copies of a request crash servers, they crash only one.
        copy_server = self._watch.running_on(req.fingerprint)
        with_copy = [each for each in untried if each.server_id == copy_server]
        return min(with_copy or untried, key=self._cost, default=None)

    def _cost(self, server: ServerInfo) -> tuple[bool, int, str]:
        is_remote = server.data_centre != self._data_centre
        outstanding = self._watch.outstanding(server.server_id)
        return (is_remote, outstanding, server.server_id)

    def _attempt(
        self,
        req: CallerRequest,
        server: ServerInfo,
        history: AttemptHistory,
        now_s: float,
    ) -> Reply | None:
        """Send the request once; None if another server may be tried."""
        cleared = self._attempts.clear(req, server.server_id, history, now_s)
        if cleared is not True:
            return cleared or None
        reply = self._attempts.exchange(
            req,
            server.server_id,
            lambda: self._service(server).call(_call(req, time.monotonic())),
            (('X-Wasabicross-Bundle', str(req.bundle.number)),),
        )
        if isinstance(reply, Reply):
            return reply
        return self._attempts.after_failure(
            req, reply, history, time.monotonic()
        )

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
