"""Forwards requests to other gateways until one has taken it."""

from __future__ import annotations

import functools
import random
from collections.abc import Iterable, Sequence
from typing import NamedTuple, Self

from wasabicross.gateway import metrics
from wasabicross.gateway.answer_decisions import (
    misleads_through_gateway,
    without_gateway_fields,
)
from wasabicross.gateway.changes import InstanceEntry
from wasabicross.gateway.clock import now_s
from wasabicross.gateway.connections.answer_writer import AnswerWriter
from wasabicross.gateway.connections.connection_pool import ConnectionPool
from wasabicross.gateway.connections.http_heads import CallerRequest, field
from wasabicross.gateway.dialect import Dialect
from wasabicross.gateway.peer_forwarding.peer_attempt import (
    PeerAttempt,
    PeerEnding,
)
from wasabicross.gateway.peer_forwarding.peer_choice import PeerChoice
from wasabicross.gateway.placement import NO_SERVER, NO_SERVER_IN_REACH
from wasabicross.gateway.settings import GatewaySettings
from wasabicross.gateway.view import FleetView
from wasabicross.runtime.events import Event
from wasabicross.runtime.logs import log_event

#: Field of a forwarded request with the version of the configuration by which its
#: route was found.
CONFIGURATION = b'x-wasabicross-configuration'

#: Why a forwarded request isn't served by an earlier configuration, which may
#: lack its route.
OLDER_CONFIGURATION = 'older configuration'

#: Why a gateway takes no forwarded request, though another one may.
DECLINING_REASONS = frozenset(
    (
        NO_SERVER_IN_REACH,
        NO_SERVER,
        OLDER_CONFIGURATION,
        'no configuration',
        'stopping',
    )
)


class ForwardableRequest(NamedTuple):
    """A request of a caller that no server has got from this gateway.

    :param request_id: id of this attempt of the caller.
    :param service: the service that it is for.
    :param deadline_s: when the final answer is due, monotonic seconds.
    :param configuration: version of the configuration that is in force here.
    :param is_idempotent: whether it may be repeated.
    """

    req: CallerRequest
    request_id: str
    service: str
    deadline_s: float
    configuration: int
    is_idempotent: bool


class PeerForwarder:
    """Forwards requests to other gateways.

    :param view: the registered gateways.
    :param pool: connections to them.
    :param dialect: conventions for requests.
    :param choice: chooses among them.
    :param port: their port for forwarded requests, 0 for none.
    """

    def __init__(
        self,
        view: FleetView,
        pool: ConnectionPool,
        dialect: Dialect,
        choice: PeerChoice,
        port: int,
    ) -> None:
        self._view = view
        self._pool = pool
        self._dialect = dialect
        self._choice = choice
        self._port = port

    @classmethod
    def from_config(
        cls,
        cfg: GatewaySettings,
        view: FleetView,
        pool: ConnectionPool,
        dialect: Dialect,
    ) -> Self:
        """Return a forwarder of a gateway.

        :param cfg: its settings.
        :param view: the registered gateways.
        :param pool: connections to them.
        :param dialect: conventions for requests.
        """
        choice = PeerChoice(cfg.instance, cfg.data_centre, _shuffled)
        return cls(view, pool, dialect, choice, cfg.forwarding_port)

    async def forward(
        self, forwardable: ForwardableRequest, answer: AnswerWriter
    ) -> PeerEnding:
        """Forward a request to another gateway, and its answer to the caller.

        :param forwardable: the request.
        :param answer: writes the caller's answer.
        :raises AnswerCut: the answer has begun and can't be completed.
        """
        if not self._port:
            return PeerEnding.not_taken
        peers = self._choice.choose(
            forwardable.service, self._view.instances.values(), now_s()
        )
        for peer in peers:
            ending = await self._attempt(forwardable, peer, answer)
            if ending is not PeerEnding.not_taken:
                return ending
        return PeerEnding.not_taken

    def has_served_since(self, since_s: float) -> bool:
        """Return whether another gateway has taken a request since a time.

        :param since_s: the time, monotonic seconds.
        """
        return self._choice.has_served_since(since_s)

    async def _attempt(
        self,
        forwardable: ForwardableRequest,
        peer: InstanceEntry,
        answer: AnswerWriter,
    ) -> PeerEnding:
        is_misleading = functools.partial(
            misleads_through_gateway,
            self._dialect,
            is_idempotent=forwardable.is_idempotent,
        )
        attempt = PeerAttempt(
            self._pool, peer, self._port, answer, is_misleading
        )
        started_s = now_s()
        req = self._dialect.forwarded_request(
            forwardable.req, forwardable.deadline_s - started_s
        )
        version = str(forwardable.configuration).encode()
        fields = [*without_gateway_fields(req.fields), (CONFIGURATION, version)]
        ending = PeerEnding.unknown
        try:
            ending = await attempt.run(req._replace(fields=fields))
        finally:
            self._record(forwardable, peer, attempt, ending, started_s)
        return ending

    def _record(
        self,
        forwardable: ForwardableRequest,
        peer: InstanceEntry,
        attempt: PeerAttempt,
        ending: PeerEnding,
        started_s: float,
    ) -> None:
        at_s = now_s()
        if ending is PeerEnding.not_taken:
            self._choice.on_declined(peer.host, forwardable.service, at_s)
        elif attempt.status:
            self._choice.on_served(peer.host, at_s)
        metrics.FORWARDED.labels(forwardable.service, ending.value).inc()
        log_event(
            Event.REQUEST_FORWARDED,
            request=forwardable.request_id,
            gateway=peer.instance,
            ending=ending.value,
            status=attempt.status,
            reason=attempt.reason,
            first_s=round(attempt.first_s, 3),
            took_s=round(at_s - started_s, 3),
        )


def _shuffled(entries: Sequence[InstanceEntry]) -> Iterable[InstanceEntry]:
    return random.sample(entries, len(entries))


def without_configuration(req: CallerRequest) -> tuple[CallerRequest, int]:
    """Return a forwarded request as its caller sent it, and the configuration.

    :param req: the request as another gateway has forwarded it.
    :return: the request, and the version of the configuration there, 0 if that
        isn't stated.
    """
    stated = field(req.fields, CONFIGURATION)
    fields = [pair for pair in req.fields if pair[0] != CONFIGURATION]
    version = int(stated) if stated.isdecimal() else 0
    return req._replace(fields=fields), version
