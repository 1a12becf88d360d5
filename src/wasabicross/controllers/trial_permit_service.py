"""Requests for trial permits, answered here or forwarded to the keeper."""

from collections.abc import Callable
from concurrent.futures import Future
from typing import Any

from wasabicross.messaging.links import Link
from wasabicross.messaging.messages import (
    EndTrial,
    Refusal,
    SuspectRunning,
    TakeTrial,
    TrialAnswer,
    TrialLost,
)
from wasabicross.ownership.trial_permits import TrialPermits

NO_KEEPER = Refusal('no_keeper', 'who keeps the permit is out of reach')

_Query = TakeTrial | TrialLost
_Notice = EndTrial | SuspectRunning


class TrialPermitService:
    """Answers for the permits kept here, and forwards other messages.

    A trial is a run of a suspect request under a permit, which the instance
    called its keeper issues.

    :param permits: the permits kept here.
    :param is_kept_here: returns whether a message that another controller has
        forwarded is to be answered here.
    :param link_to_keeper: returns the link to the keeper of a permit, which
        may be this instance; None if the keeper can't be reached.
    """

    def __init__(
        self,
        permits: TrialPermits,
        is_kept_here: Callable[[str], bool],
        link_to_keeper: Callable[[str, bytes], Link | None],
    ) -> None:
        self._permits = permits
        self._is_kept_here = is_kept_here
        self._link_to_keeper = link_to_keeper

    def handle_request(
        self, query: _Query, link: Link, call_id: int, now_s: float
    ) -> None:
        """Answer a request of an entry or another controller on its link.

        :param query: asks for a permit, or whether its trial ran alone.
        :param link: the link to answer on.
        :param call_id: the number of the call to answer.
        :param now_s: present time, monotonic seconds.
        """
        if link.peer.kind == 'entry':
            self._forward(query, link, call_id)
        elif self._is_kept_here(query.server_id):
            link.reply(call_id, TrialAnswer(self._decide(query, now_s)))
        else:
            link.reply(call_id, NO_KEEPER)

    def handle_notice(self, notice: _Notice, link: Link, now_s: float) -> None:
        """Handle a message that needs no answer.

        :param notice: a permit returned, or a suspect that runs without one.
        :param link: the link that it was received on.
        :param now_s: present time, monotonic seconds.
        """
        if link.peer.kind == 'entry':
            keeper_link = self._link_to_keeper(notice.server_id, notice.request)
            if keeper_link is not None:
                keeper_link.send(notice)
        elif isinstance(notice, EndTrial):
            subject = _subject(notice)
            self._permits.release(subject, notice.request, notice.holder)
        else:
            self._permits.record_unpermitted_run(
                _subject(notice), notice.request, notice.holder, now_s
            )

    def _forward(self, query: _Query, link: Link, call_id: int) -> None:
        keeper_link = self._link_to_keeper(query.server_id, query.request)
        if keeper_link is None:
            link.reply(call_id, NO_KEEPER)
            return
        fut = keeper_link.request(query)
        fut.add_done_callback(
            lambda done: _forward_answer(done, link, call_id),
        )

    def _decide(self, query: _Query, now_s: float) -> bool:
        subject = _subject(query)
        if isinstance(query, TrialLost):
            return self._permits.is_sole(subject, query.request, query.holder)
        return self._permits.acquire(
            subject, query.request, query.holder, now_s
        )


def _subject(message: _Query | _Notice) -> str:
    return message.server_id or message.request.hex()


def _forward_answer(done: Future[Any], link: Link, call_id: int) -> None:
    answered = done.result()
    link.reply(call_id, answered.ok if answered.is_ok() else NO_KEEPER)
