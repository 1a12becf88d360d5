"""Hands one request that this gateway can't serve over to another gateway."""

from __future__ import annotations

from wasabicross.gateway.connections.answer_writer import AnswerWriter
from wasabicross.gateway.peer_forwarding.peer_attempt import PeerEnding
from wasabicross.gateway.peer_forwarding.peer_forwarder import (
    ForwardableRequest,
    PeerForwarder,
)
from wasabicross.gateway.peer_forwarding.reach import are_mostly_unreached
from wasabicross.gateway.placement import NO_SERVER_IN_REACH
from wasabicross.gateway.progress import RequestProgress
from wasabicross.gateway.stream_divisions import SPREAD_S
from wasabicross.gateway.streams.take_ups import (
    TAKE_UP_REFUSALS,
    VERSION_UNPROVED,
    Knowledge,
)
from wasabicross.gateway.view import FleetView

#: Why a gateway that hears nothing of the store doesn't serve a stream that
#: others, who know more, may serve.
_KNOWN_ELSEWHERE = frozenset(
    (
        VERSION_UNPROVED.reason,
        TAKE_UP_REFUSALS[Knowledge.too_old].reason,
        TAKE_UP_REFUSALS[Knowledge.unconfirmed].reason,
    )
)


class Handover:
    """Hands one request over if this gateway reaches no server for it.

    :param forwarder: forwards requests to other gateways.
    :param view: the servers.
    :param progress: outcomes of the request so far.
    """

    def __init__(
        self,
        forwarder: PeerForwarder,
        view: FleetView,
        progress: RequestProgress,
    ) -> None:
        self._forwarder = forwarder
        self._view = view
        self._progress = progress

    def is_due(self, service: str, reason: str, now_s: float) -> bool:
        """Return whether others may serve the request, and none has it.

        They may reach servers, or know entries that this gateway doesn't.

        :param service: the service that the request is for.
        :param reason: why this gateway doesn't serve it.
        :param now_s: the present time, monotonic seconds.
        """
        if self._progress.may_run:
            return False
        if reason in _KNOWN_ELSEWHERE:
            return now_s - self._view.confirmed_s > SPREAD_S
        if reason == NO_SERVER_IN_REACH or self._progress.was_unreached:
            return True
        return are_mostly_unreached(self._view, service)

    async def run(
        self, forwardable: ForwardableRequest, answer: AnswerWriter
    ) -> PeerEnding:
        """Have another gateway answer the request.

        If it gives no answer, the request may have run.

        :param forwardable: the request.
        :param answer: writes the caller's answer.
        :raises AnswerCut: the answer has begun and can't be completed.
        """
        self._progress.is_at_peer = True
        self._progress.was_at_peer = True
        ending = await self._forwarder.forward(forwardable, answer)
        if ending is PeerEnding.not_taken:
            self._progress.is_at_peer = False
        return ending
