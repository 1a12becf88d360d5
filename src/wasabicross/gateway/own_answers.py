"""Answers of the gateway's own, where no server's answer reaches the caller."""

from __future__ import annotations

from collections.abc import Callable
from typing import NamedTuple, NoReturn

from wasabicross.gateway.answer_decisions import NOT_RUN
from wasabicross.gateway.clock import now_s
from wasabicross.gateway.connections.answer_writer import AnswerWriter
from wasabicross.gateway.dialect import Dialect
from wasabicross.gateway.errors import AnswerCut, AnswerCutAtStop
from wasabicross.gateway.not_run_proof import NotRunProof, prove_not_run
from wasabicross.gateway.peer_forwarding.peer_attempt import NOT_TAKEN
from wasabicross.gateway.peer_forwarding.peer_forwarder import (
    DECLINING_REASONS,
)
from wasabicross.gateway.placement import NoServer
from wasabicross.gateway.progress import RequestProgress
from wasabicross.gateway.request_placement import CRASHES, FIXED_TIME_REASONS
from wasabicross.gateway.request_record import RequestRecord
from wasabicross.gateway.retry_delays import RetryDelays

_CUT_STATUS = 0
_NOT_FOUND = 404
#: Tells the caller not to repeat the request as it is.
_UNPROCESSABLE = 422
_BAD_GATEWAY = 502
_UNAVAILABLE = 503
_GATEWAY_TIMEOUT = 504

#: Why a request is ended where this gateway stops. Other gateways may serve its
#: caller at once.
STOPS = NoServer('stopping', retry_after_s=0.1)


class _Refusal(NamedTuple):
    """What a refusal says beside its status.

    :param retry_after_s: seconds after which the caller may retry.
    """

    proof: NotRunProof
    retry_after_s: float


class OwnAnswers:
    """Ends one request with an answer of the gateway's own.

    :param dialect: conventions for answers.
    :param retry_delays_for: returns the retry delays of a service.
    :param answer: writes the caller's answer.
    :param progress: outcomes of the request at all servers so far.
    :param record: records what becomes of the request.
    :param request_id: id of this attempt of the caller.
    :param is_forwarded: whether another gateway has forwarded the request.
    """

    def __init__(
        self,
        dialect: Dialect,
        retry_delays_for: Callable[[str], RetryDelays],
        answer: AnswerWriter,
        progress: RequestProgress,
        record: RequestRecord,
        request_id: str,
        *,
        is_forwarded: bool,
    ) -> None:
        self._dialect = dialect
        self._retry_delays_for = retry_delays_for
        self._answer = answer
        self._progress = progress
        self._record = record
        self._request_id = request_id
        self._is_forwarded = is_forwarded
        #: Until when the caller waits, monotonic seconds.
        self.awaited_until_s: float = 0

    async def tell_no_route(self) -> None:
        """Tell that no route matches the request."""
        await self._send(_NOT_FOUND, 'no route')

    async def refuse(
        self, proof: NotRunProof, reason: str, retry_after_s: float
    ) -> None:
        """Refuse the request, which promises that it hasn't run and never will.

        :param proof: shows that.
        :param reason: why it is refused.
        :param retry_after_s: seconds after which the caller may retry.
        """
        refusal = _Refusal(proof, retry_after_s)
        await self._send(_UNAVAILABLE, reason, refusal)

    async def end(self, reason: str, pause_s: float = 0) -> None:
        """End the request as far as its caller may know what became of it.

        :param reason: why it isn't served, or not to its end.
        :param pause_s: how long the service will take no request, seconds.
        :raises AnswerCut: the answer has begun.
        """
        if self._answer.has_started:
            self._abort(reason)
        proof = prove_not_run(self._progress)
        if proof is None:
            await self._send(_BAD_GATEWAY, reason)
        elif reason == CRASHES.reason:
            await self._send(_UNPROCESSABLE, reason)
        elif reason in FIXED_TIME_REASONS or reason == STOPS.reason:
            await self.refuse(proof, reason, pause_s)
        else:
            await self._refuse_with_retry_time(proof, reason, pause_s)

    async def end_on_time_limit(self, *, is_stop: bool) -> None:
        """End the request, as its time is over.

        :param is_stop: whether that is since this gateway stops.
        :raises AnswerCut: the answer has begun.
        """
        if is_stop:
            await self.end(STOPS.reason, STOPS.retry_after_s)
            return
        if self._answer.has_started:
            self._abort('timeout')
        proof = prove_not_run(self._progress)
        if proof is None:
            await self._send(_GATEWAY_TIMEOUT, 'timeout')
        else:
            await self._refuse_with_retry_time(proof, 'timeout before a server')

    async def _refuse_with_retry_time(
        self, proof: NotRunProof, reason: str, pause_s: float = 0
    ) -> None:
        """Refuse a request that its service can't take at present."""
        at_s = now_s()
        retry_delays = self._retry_delays_for(self._record.labels[0])
        retry_after_s = retry_delays.on_refused(
            self.awaited_until_s - at_s, at_s, pause_s
        )
        await self.refuse(proof, reason, retry_after_s)

    def _abort(self, reason: str) -> NoReturn:
        """End the caller's connection, which marks its answer as incomplete."""
        self._record.on_own_answer(_CUT_STATUS, f'cut: {reason}', now_s())
        error = AnswerCutAtStop if reason == STOPS.reason else AnswerCut
        raise error(f'{reason}: {self._progress.reason}')

    async def _send(
        self, status: int, reason: str, refusal: _Refusal | None = None
    ) -> None:
        fields = self._dialect.refusal_fields(
            self._request_id, refusal and refusal.retry_after_s
        )
        ground = refusal.proof.ground.value if refusal else ''
        self._record.on_own_answer(status, reason, now_s(), ground)
        if self._is_forwarded and refusal:
            fields.append((NOT_RUN, reason.encode()))
            if reason in DECLINING_REASONS:
                fields.append((NOT_TAKEN, reason.encode()))
        await self._answer.send_complete(status, fields)
