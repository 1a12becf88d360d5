"""Questions to servers, each shared by all that wait for its answer."""

from __future__ import annotations

import asyncio
import math
from collections.abc import Awaitable, Callable

from wasabicross.gateway.answer_ends.end_decisions import LifeSign
from wasabicross.gateway.backend import BackendServer, Incarnation
from wasabicross.gateway.clock import now_s
from wasabicross.gateway.server_notices import ServerNotices

#: Least time between two questions to a server that wants a pause. Its answers
#: that have ended meanwhile share one.
_PAUSED_INTERVAL_S = 1.0

#: Most servers whose last question is remembered.
_MAX_QUESTIONS = 4096


class _Question:
    """A question to a server."""

    #: Asks it; done once there is an answer or none will come.
    task: asyncio.Task[LifeSign]

    def __init__(self) -> None:
        #: A time at which it wasn't sent yet, monotonic seconds.
        self.asked_s = -math.inf


class ServerQuestions:
    """Asks each server one question at a time.

    :param ask: asks a server once.
    :param notices: tells which servers want a pause.
    """

    def __init__(
        self,
        ask: Callable[[BackendServer], Awaitable[LifeSign]],
        notices: ServerNotices,
    ) -> None:
        self._ask = ask
        self._notices = notices
        self._questions: dict[Incarnation, _Question] = {}

    async def answer_after(
        self, server: BackendServer, after_s: float
    ) -> LifeSign:
        """Return the answer to a question that was sent after a moment.

        :param server: the server.
        :param after_s: the moment, monotonic seconds.
        """
        while True:
            question = self._under_way(server)
            sign = await asyncio.shield(question.task)
            if question.asked_s >= after_s:
                return sign

    def close(self) -> None:
        """Ask nothing more."""
        for each in self._questions.values():
            each.task.cancel()

    def _under_way(self, server: BackendServer) -> _Question:
        """Return the question to a server that is under way, or a new one."""
        key = Incarnation.from_server(server)
        question = self._questions.get(key)
        if question is None or question.task.done():
            before_s = -math.inf if question is None else question.asked_s
            question = _Question()
            question.task = asyncio.ensure_future(
                self._run(server, question, before_s)
            )
            self._keep(key, question)
        return question

    def _keep(self, key: Incarnation, question: _Question) -> None:
        self._questions.pop(key, None)
        self._questions[key] = question
        if len(self._questions) > _MAX_QUESTIONS:
            oldest = next(iter(self._questions))
            if self._questions[oldest].task.done():
                self._questions.pop(oldest)

    async def _run(
        self, server: BackendServer, question: _Question, before_s: float
    ) -> LifeSign:
        """Ask a server, not too often if it wants a pause.

        :param question: is told when it is sent.
        :param before_s: when the server was asked before, monotonic seconds.
        """
        if now_s() < self._notices.paused_until_s(server):
            due_s = before_s + _PAUSED_INTERVAL_S
            await asyncio.sleep(max(0, due_s - now_s()))
        question.asked_s = now_s()
        return await self._ask(server)
