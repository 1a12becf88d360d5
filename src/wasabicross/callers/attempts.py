"""One request sent to one backend server after the other, where allowed."""

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

#: Seconds for which a suspect waits until it may be tried on a server.
TRIAL_WAIT_S = 2.0
TRIAL_RETRY_S = 0.05

_WAITING = frozenset((Clearance.busy, Clearance.elsewhere))


class AttemptHistory:
    """Where a request was sent, and whether a server may have run it."""

    def __init__(self) -> None:
        self.servers: list[str] = []
        self.may_have_run = False
        #: Whether it was sent on to where a copy of it runs.
        self.was_sent_to_copy = False

    def refuse(self, fault: Fault, retry_after_s: float | None = None) -> Reply:
        """Return the reply to a request that is given up.

        :param fault: why it is.
        :param retry_after_s: seconds after which the caller may come back if
            it was surely not run.
        """
        if not self.may_have_run:
            return refuse(fault, retry_after_s)
        if fault is CRASHES_SERVERS:
            return fault_reply(fault, OUTCOME_UNKNOWN, None)
        return unknown_outcome()


class Attempts:
    """Sends requests to servers and judges what may be sent again.

    :param watch: servers and the requests under way on them.
    :param budget: bounds the retries of this process.
    """

    def __init__(self, watch: ServerWatch, budget: RetryBudget) -> None:
        self.watch = watch
        self._budget = budget

    def count_request(self) -> None:
        """Count a request that was accepted, which pays for retries."""
        self._budget.add_request()

    def clear(
        self,
        req: CallerRequest,
        server_id: str,
        history: AttemptHistory,
        now_s: float,
    ) -> Reply | bool:
        """Count a request as under way on a server, if it may go there.

        A suspect waits a while for its turn, and a request of which a copy
        runs elsewhere until it is known to be harmless, unless it can join it.

        :param req: the request.
        :param server_id: where it is to go.
        :param tried: where it was sent before.
        :param now_s: monotonic seconds.
        :returns: whether it may go there, or a refusal for good.
        """
        until_s = min(now_s + TRIAL_WAIT_S, req.deadline_s)
        clearance = self.watch.begin(req.fingerprint, server_id, now_s)
        while clearance in _WAITING and now_s < until_s:
            if clearance is Clearance.elsewhere and self._may_seek(
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
        return clearance not in _WAITING

    def exchange(
        self,
        req: CallerRequest,
        server_id: str,
        start: Callable[[], Result[Answer, DispatchError]],
        named: Headers,
        adapt: Callable[[Generator[bytes]], Iterator[bytes]] = iter,
        load_name: str = '',
    ) -> Reply | DispatchError:
        """Send a request that `clear` let go, up to its answer's first piece.

        :param req: the request.
        :param server_id: where it goes.
        :param start: sends it.
        :param named: header fields that name what produced the answer.
        :param adapt: changes the pieces of the answer as they come.
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
        headers = (*answer.ok.headers, *named, (OUTCOME_HEADER, COMPLETED))
        content = _Content(
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
        :param tried: where it was sent, the last attempt included.
        :param now_s: monotonic seconds.
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

    def _may_seek(self, req: CallerRequest, history: AttemptHistory) -> bool:
        """Tell whether a request goes on at once to where its copy runs.

        Only once, since that server may not be able to run this one.
        """
        beside = self.watch.running_on(req.fingerprint)
        found = beside is not None and beside not in history.servers
        return found and not history.was_sent_to_copy

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


class _Content:
    """The pieces of an answer as they come; tells once how they ended.

    An answer that is cut raises `AnswerCut`, upon which the connection to
    the caller is closed without the mark of its end.
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
        """End the answer; cancels it at the backend server if it runs."""
        if not self._ended:
            close = getattr(self._source, 'close', None)
            if close is not None:
                close()
            self._end(Ending.cancelled)

    def _end(self, ending: Ending) -> None:
        if not self._ended:
            self._ended = True
            self._on_end(ending)
