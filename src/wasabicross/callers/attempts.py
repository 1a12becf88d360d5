"""Attempts to run a request on one backend server after the other."""

import time
from collections.abc import Callable, Generator, Iterator
from itertools import chain

from expression import Result

from wasabicross.callers.caller_request import CallerRequest
from wasabicross.callers.replies import (
    COMPLETED,
    CRASHES_SERVERS,
    NO_SERVER,
    OUTCOME_HEADER,
    OUTCOME_UNKNOWN,
    Fault,
    Headers,
    Reply,
    fault_reply,
    refuse,
    unknown_outcome,
)
from wasabicross.dispatching.answers import Answer
from wasabicross.dispatching.errors import AnswerCut, DispatchError, NotRun
from wasabicross.runtime.events import Event
from wasabicross.runtime.logs import log_event
from wasabicross.runtime.telemetry import FIRST_TOKEN_SECONDS
from wasabicross.servers.retries import Attempt, Outcome, RetryBudget, may_retry
from wasabicross.servers.server_watch import Ending, ServerWatch
from wasabicross.servers.suspects import Clearance

RETRY_AFTER_S = 2.0

#: Seconds for which a suspect, a request that may have crashed a server,
#: waits until it may run on a server.
TRIAL_WAIT_S = 2.0
TRIAL_RETRY_S = 0.05

_MUST_WAIT = frozenset((Clearance.busy, Clearance.elsewhere))


class AttemptHistory:
    """The servers a request was sent to, and whether one may have run it."""

    def __init__(self) -> None:
        self.servers: list[str] = []
        self.may_have_run = False
        #: Whether it was sent to the server that runs a copy of it.
        self.was_sent_to_copy = False

    def refuse(self, fault: Fault, retry_after_s: float | None = None) -> Reply:
        """Return the reply to a request that is not sent to another server.

        :param fault: the reason.
        :param retry_after_s: seconds after which the caller may retry, if the
            request was certainly not run.
        """
        if not self.may_have_run:
            return refuse(fault, retry_after_s)
        if fault is CRASHES_SERVERS:
            return fault_reply(fault, OUTCOME_UNKNOWN, None)
        return unknown_outcome()


class Attempts:
    """Sends requests to servers and decides which may be sent again.

    :param watch: the servers and the requests that run on them.
    :param budget: limits the retries of this process.
    """

    def __init__(self, watch: ServerWatch, budget: RetryBudget) -> None:
        self.watch = watch
        self._budget = budget

    def count_request(self) -> None:
        """Count an accepted request, which adds to the budget for retries."""
        self._budget.add_request()

    def clear(
        self,
        req: CallerRequest,
        server_id: str,
        history: AttemptHistory,
        now_s: float,
    ) -> Reply | bool:
        """Register a request as running on a server, if it may run there.

        A suspect waits at most `TRIAL_WAIT_S` until no other suspect runs
        there. A request of which a copy runs on another server waits as long
        for the copy to complete, unless it can be sent to that server.

        :param req: the request.
        :param server_id: the server to run it.
        :param history: where it was sent before.
        :param now_s: present time, monotonic seconds.
        :returns: whether it may run there, or the reply that refuses it.
        """
        until_s = min(now_s + TRIAL_WAIT_S, req.deadline_s)
        clearance = self.watch.begin(req.fingerprint, server_id, now_s)
        while clearance in _MUST_WAIT and now_s < until_s:
            if clearance is Clearance.elsewhere and self._may_join_copy(
                req, history
            ):
                history.was_sent_to_copy = True
                return False
            time.sleep(TRIAL_RETRY_S)
            now_s = time.monotonic()
            clearance = self.watch.begin(req.fingerprint, server_id, now_s)
        if clearance is Clearance.convicted:
            log_event(Event.CRASHER_REFUSED, request=req.request_id)
            return history.refuse(CRASHES_SERVERS)
        return clearance not in _MUST_WAIT

    def exchange(
        self,
        req: CallerRequest,
        server_id: str,
        start: Callable[[], Result[Answer, DispatchError]],
        extra_headers: Headers,
        adapt: Callable[[Generator[bytes]], Iterator[bytes]] = iter,
        load_name: str = '',
    ) -> Reply | DispatchError:
        """Send a request that `clear` allowed; read the answer's first piece.

        :param req: the request.
        :param server_id: the server that runs it.
        :param start: sends the request.
        :param extra_headers: header fields that name what produced the answer.
        :param adapt: transforms the pieces of the answer as they arrive.
        :param load_name: the load that it runs on, if any.
        """
        answer = start()
        if answer.is_error():
            self.watch.fail(req.fingerprint, server_id, answer.error, load_name)
            return answer.error
        pieces = adapt(answer.ok.chunks())
        try:
            first = next(pieces, b'')
        except AnswerCut as exc:
            self.watch.fail(req.fingerprint, server_id, exc, load_name)
            return exc
        _observe_first_token(req, time.monotonic())
        headers = (
            *answer.ok.headers,
            *extra_headers,
            (OUTCOME_HEADER, COMPLETED),
        )
        content = _AnswerContent(
            first,
            pieces,
            lambda ending: self._end(req, server_id, ending, load_name),
        )
        return Reply(answer.ok.status, headers, content)

    def after_failure(
        self,
        req: CallerRequest,
        exc: DispatchError,
        history: AttemptHistory,
        now_s: float,
    ) -> Reply | None:
        """Return the final reply, or None if another server may be tried.

        :param req: the request.
        :param exc: how the last attempt failed.
        :param history: where it was sent, including the last attempt.
        :param now_s: present time, monotonic seconds.
        """
        not_run = isinstance(exc, NotRun)
        history.may_have_run |= not not_run
        attempt = Attempt(
            Outcome.not_run if not_run else Outcome.unknown,
            req.is_idempotent,
            0,
            history.servers,
            req.deadline_s - now_s,
        )
        if may_retry(attempt) and self._budget.spend():
            return None
        return history.refuse(NO_SERVER, RETRY_AFTER_S)

    def _may_join_copy(
        self, req: CallerRequest, history: AttemptHistory
    ) -> bool:
        """Return whether to send a request to the server that runs its copy.

        That is done only once, since the server may not be able to run it.
        """
        copy_server = self.watch.running_on(req.fingerprint)
        is_untried = (
            copy_server is not None and copy_server not in history.servers
        )
        return is_untried and not history.was_sent_to_copy

    def _end(
        self,
        req: CallerRequest,
        server_id: str,
        ending: Ending,
        load_name: str,
    ) -> None:
        if ending is Ending.cut:
            log_event(Event.ANSWER_CUT, request=req.request_id)
        self.watch.end(req.fingerprint, server_id, ending, load_name)


def _observe_first_token(req: CallerRequest, now_s: float) -> None:
    FIRST_TOKEN_SECONDS.labels(req.tenant, req.route.request_class).observe(
        now_s - req.accepted_s
    )


class _AnswerContent:
    """The pieces of an answer as they arrive; reports once how it ended.

    An answer that is cut raises `AnswerCut`, upon which the connection to
    the caller is closed without marking the answer as complete.
    """

    def __init__(
        self,
        first: bytes,
        pieces: Iterator[bytes],
        on_end: Callable[[Ending], None],
    ) -> None:
        self._source = pieces
        self._pieces = chain((first,), pieces) if first else pieces
        self._on_end = on_end
        self._ended = False

    def __iter__(self) -> Iterator[bytes]:
        return self

    def __next__(self) -> bytes:
        try:
            return next(self._pieces)
        except StopIteration:
            self._end(Ending.completed)
            raise
        except AnswerCut:
            self._end(Ending.cut)
            raise

    def close(self) -> None:
        """End the answer; cancel it at the backend server if it still runs."""
        if not self._ended:
            close = getattr(self._source, 'close', None)
            if close is not None:
                close()
            self._end(Ending.cancelled)

    def _end(self, ending: Ending) -> None:
        if not self._ended:
            self._ended = True
            self._on_end(ending)
