"""Retries on other servers; no other layer sends a request a second time."""

from __future__ import annotations

import enum
import threading
from collections.abc import Sequence
from typing import NamedTuple

#: Accepted requests that add one retry to the budget.
REQUESTS_PER_RETRY = 10

#: Maximum number of servers that one request is sent to.
MAX_ATTEMPTS = 3


class Outcome(enum.Enum):
    """Outcome of a request that a server did not answer completely."""

    not_run = 'not run'
    unknown = 'outcome unknown'
    cut = 'answer cut'


class Attempt(NamedTuple):
    """A failed attempt to run a request.

    :param outcome: outcome of the request on the last server.
    :param idempotent: whether the request may run more than once.
    :param bytes_sent: bytes of the answer already sent to the caller.
    :param tried_servers: ids of all servers that the request was sent to.
    :param deadline_s: seconds left until the caller's deadline.
    """

    outcome: Outcome
    idempotent: bool
    bytes_sent: int
    tried_servers: Sequence[str]
    deadline_s: float


class RetryBudget:
    """Token bucket that limits retries to a share of the requests.

    Thread-safe.

    :param requests_per_retry: accepted requests that add one retry.
    :param reserve: capacity of the bucket in retries, enough to send the
        requests of a lost server elsewhere; the bucket starts full.
    """

    def __init__(
        self,
        requests_per_retry: int = REQUESTS_PER_RETRY,
        reserve: int = 32,
    ) -> None:
        self._requests_per_retry = requests_per_retry
        self._max_credit = reserve * requests_per_retry
        self._credit = self._max_credit
        self._lock = threading.Lock()

    def resize(self, requests_per_retry: int, reserve: int) -> None:
        """Change the limits and keep the saved retries that they allow.

        :param requests_per_retry: accepted requests that add one retry.
        :param reserve: capacity of the bucket in retries.
        """
        with self._lock:
            saved = (
                self._credit * requests_per_retry // self._requests_per_retry
            )
            self._requests_per_retry = requests_per_retry
            self._max_credit = reserve * requests_per_retry
            self._credit = min(self._max_credit, saved)

    @property
    def available(self) -> int:
        """Number of retries that can be spent now."""
        return self._credit // self._requests_per_retry

    def add_request(self) -> None:
        """Count an accepted request; its retries are not counted."""
        with self._lock:
            self._credit = min(self._max_credit, self._credit + 1)

    def spend(self) -> bool:
        """Take one retry from the budget; return whether there was one."""
        with self._lock:
            if self._credit < self._requests_per_retry:
                return False
            self._credit -= self._requests_per_retry
            return True


def may_retry(attempt: Attempt) -> bool:
    """Return whether the request can safely be sent again.

    A request is not repeated once the caller has received a part of the
    answer, as the new answer may differ from that part. A request that may
    have run is repeated only if it is idempotent.

    :param attempt: the last attempt.
    """
    if attempt.bytes_sent or attempt.deadline_s <= 0:
        return False
    if len(set(attempt.tried_servers)) >= MAX_ATTEMPTS:
        return False
    return attempt.idempotent or attempt.outcome is Outcome.not_run


def servers_for_retry(
    attempt: Attempt,
    candidates: Sequence[str],
    budget: RetryBudget,
) -> tuple[str, ...]:
    """Return the servers that the request may be sent to next, if any.

    If there are any, one retry is taken from the budget. A server that the
    request was sent to before does not get it again.

    :param attempt: the last attempt.
    :param candidates: ids of the servers that could run the request.
    :param budget: the budget that the retry is taken from.
    """
    if not may_retry(attempt):
        return ()
    untried = tuple(
        server for server in candidates if server not in attempt.tried_servers
    )
    if not untried or not budget.spend():
        return ()
    return untried
