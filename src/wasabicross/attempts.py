"""One request sent to one backend server after the other, where allowed."""

import threading
import time
from collections import Counter
from collections.abc import Callable, Iterator
from itertools import chain

from wasabicross.answers import Answer
from wasabicross.caller_request import CallerRequest
from wasabicross.events import Event
from wasabicross.exceptions import AnswerCut
from wasabicross.logs import log_event
from wasabicross.replies import (
    COMPLETED,
    OUTCOME_HEADER,
    Headers,
    Reply,
)
from wasabicross.retries import Attempt, Outcome
from wasabicross.telemetry import FIRST_TOKEN_SECONDS


class Outstanding:
    """How many requests this process has under way at each server."""

    def __init__(self) -> None:
        self._lock = threading.Lock()
        self._counts: Counter[str] = Counter()

    def add(self, server_id: str) -> None:
        """Count a request that is sent to a server."""
        with self._lock:
            self._counts[server_id] += 1

    def remove(self, server_id: str) -> None:
        """Take the count back when the request has ended."""
        with self._lock:
            self._counts[server_id] -= 1

    def at(self, server_id: str) -> int:
        """Return how many requests are under way at a server."""
        return self._counts[server_id]


class StartedAnswer:
    """An answer whose first piece has come, so that it goes to the caller.

    :param answer: the backend server's answer.
    :param first: its first piece, empty if it has no body.
    :param pieces: the pieces after the first.
    """

    def __init__(
        self, answer: Answer, first: bytes, pieces: Iterator[bytes]
    ) -> None:
        self.status = answer.status
        self.headers = answer.headers
        self.pieces = chain((first,), pieces) if first else pieces


def start_answer(answer: Answer) -> StartedAnswer:
    """Wait for the first piece of an answer.

    :param answer: the answer, its head read.
    :raises AnswerCut: when it ended before its first piece.
    """
    pieces = answer.chunks()
    first = next(pieces, b'')
    return StartedAnswer(answer, first, pieces)


def pass_on(
    req: CallerRequest,
    started: StartedAnswer,
    named: Headers,
    on_end: Callable[[], None],
) -> Reply:
    """Return the reply that passes an answer on piece by piece.

    An answer that is cut raises `AnswerCut` in the reply's content, upon
    which the connection to the caller is closed without the mark of its end.

    :param req: the request.
    :param started: the answer, its first piece read.
    :param named: header fields that name what produced the answer.
    :param on_end: called once when the answer has ended, however it did.
    """
    now_s = time.monotonic()
    FIRST_TOKEN_SECONDS.labels(req.tenant, req.route.request_class).observe(
        now_s - req.accepted_s
    )
    headers = (*started.headers, *named, (OUTCOME_HEADER, COMPLETED))
    content = _Content(req.request_id, started.pieces, on_end)
    return Reply(started.status, headers, content)


class _Content:
    """The pieces of an answer; tells once when they end."""

    def __init__(
        self,
        request_id: str,
        pieces: Iterator[bytes],
        on_end: Callable[[], None],
    ) -> None:
        self._request_id = request_id
        self._pieces = pieces
        self._on_end = on_end
        self._ended = False

    def __iter__(self) -> Iterator[bytes]:
        return self

    def __next__(self) -> bytes:
        try:
            return next(self._pieces)
        except StopIteration:
            self.close()
            raise
        except AnswerCut:
            log_event(Event.ANSWER_CUT, request=self._request_id)
            self.close()
            raise

    def close(self) -> None:
        """End the answer; cancels it at the backend server if it runs."""
        if self._ended:
            return
        self._ended = True
        close = getattr(self._pieces, 'close', None)
        if close is not None:
            close()
        self._on_end()


def failed_attempt(
    req: CallerRequest,
    outcome: Outcome,
    tried: list[str],
    now_s: float,
) -> Attempt:
    """Describe a failed attempt to the rules of retries.

    :param req: the request.
    :param outcome: what is known of it at the last server.
    :param tried: all servers that it was sent to.
    :param now_s: monotonic seconds.
    """
    return Attempt(
        outcome, req.is_idempotent, 0, tried, req.deadline_s - now_s
    )
