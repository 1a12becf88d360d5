"""Permits of trials, brought to whoever keeps them."""

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

_Asked = TakeTrial | TrialLost
_Told = EndTrial | SuspectRunning


class TrialDesk:
    """Answers for the permits kept here, and forwards the others.

    :param permits: those kept here.
    :param is_kept_here: tells whether a message that another controller has
        forwarded is to be answered here.
    :param link_to_keeper: returns the link to who keeps a permit, which may
        be the one to this instance itself; None if it is out of reach.
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

    def ask(
        self, asked: _Asked, link: Link, call_id: int, now_s: float
    ) -> None:
        """Answer an entry, or another controller, on the link it came by.

        :param asked: the permit that is wanted, or was of use.
        :param link: where to answer.
        :param call_id: the number to reply to.
        :param now_s: monotonic seconds.
        """
        if link.peer.kind == 'entry':
            self._forward(asked, link, call_id)
        elif self._is_kept_here(asked.server_id):
            link.reply(call_id, TrialAnswer(self._decide(asked, now_s)))
        else:
            link.reply(call_id, NO_KEEPER)

    def note(self, told: _Told, link: Link, now_s: float) -> None:
        """Take what needs no answer.

        :param told: a permit given back, or a suspect that runs without.
        :param link: where it came from.
        :param now_s: monotonic seconds.
        """
        if link.peer.kind == 'entry':
            onward = self._link_to_keeper(told.server_id, told.request)
            if onward is not None:
                onward.send(told)
        elif isinstance(told, EndTrial):
            subject = _subject(told)
            self._permits.release(subject, told.request, told.holder)
        else:
            self._permits.occupy(
                _subject(told), told.request, told.holder, now_s
            )

    def _forward(self, asked: _Asked, link: Link, call_id: int) -> None:
        onward = self._link_to_keeper(asked.server_id, asked.request)
        if onward is None:
            link.reply(call_id, NO_KEEPER)
            return
        fut = onward.request(asked)
        fut.add_done_callback(
            lambda done: _pass_on(done, link, call_id),
        )

    def _decide(self, asked: _Asked, now_s: float) -> bool:
        subject = _subject(asked)
        if isinstance(asked, TrialLost):
            return self._permits.is_sole(subject, asked.request, asked.holder)
        return self._permits.acquire(
            subject, asked.request, asked.holder, now_s
        )


def _subject(message: _Asked | _Told) -> str:
    return message.server_id or message.request.hex()


def _pass_on(done: Future[Any], link: Link, call_id: int) -> None:
    answered = done.result()
    link.reply(call_id, answered.ok if answered.is_ok() else NO_KEEPER)
