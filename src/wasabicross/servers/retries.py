"""The one layer that sends a request to a second server."""

from __future__ import annotations

import enum
import threading
from collections.abc import Sequence
from typing import NamedTuple

#: Requests that pay for one retry.
REQUESTS_PER_RETRY = 10

#: Most servers that one request is sent to.
MAX_ATTEMPTS = 3


class Outcome(enum.Enum):
    """What is known of a request that a server didn't answer completely."""

    not_run = 'not run'
    unknown = 'outcome unknown'
    cut = 'answer cut'


class Attempt(NamedTuple):
    """A failed attempt of a request.

    :param outcome: what is known of the request on the last server.
    :param idempotent: whether the request may run more than once.
    :param bytes_sent: bytes of the answer that the caller was sent.
    :param tried_servers: ids of all servers that were sent the request.
    :param deadline_s: seconds left until the caller's deadline.
    """

    outcome: Outcome
    idempotent: bool
    bytes_sent: int
    tried_servers: Sequence[str]
    deadline_s: float


class RetryBudget:
    """Token bucket that keeps retries to a share of the requests.

    Thread-safe.

    :param requests_per_retry: requests that pay for one retry.
    :param reserve: most retries saved up, enough to send the requests of a
        lost server elsewhere; also there at the start.
    """

    def __init__(
        self,
        requests_per_retry: int = REQUESTS_PER_RETRY,
        reserve: int = 32,
    ) -> None:
        self._price = requests_per_retry
        self._max_credit = reserve * requests_per_retry
        self._credit = self._max_credit
        self._lock = threading.Lock()

    def resize(self, requests_per_retry: int, reserve: int) -> None:
        """Use other bounds; what was saved up is kept as far as they allow.

        :param requests_per_retry: requests that pay for one retry.
        :param reserve: most retries saved up.
        """
        with self._lock:
            saved = self._credit * requests_per_retry // self._price
            self._price = requests_per_retry
            self._max_credit = reserve * requests_per_retry
            self._credit = min(self._max_credit, saved)

    @property
    def available(self) -> int:
        """Tell how many retries could be spent now."""
        return self._credit // self._price

    def add_request(self) -> None:
        """Count a request that was accepted, not its retries."""
        with self._lock:
            self._credit = min(self._max_credit, self._credit + 1)

    def spend(self) -> bool:
        """Take one retry from the budget, if there is one."""
        with self._lock:
            if self._credit < self._price:
                return False
            self._credit -= self._price
            return True


def may_retry(attempt: Attempt) -> bool:
    """Tell whether sending the request again can do no harm.

    A request of which the caller has seen a part would be told in two
    versions. One that may have run is repeated only if it is idempotent.

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
    """Tell which servers the request may be sent to next, none if it may not.

    A retry is taken from the budget where the answer is not empty. No server
    that has been sent the request gets it again.

    :param attempt: the last attempt.
    :param candidates: ids of the servers that could run the request.
    :param budget: pays for the retry.
    """
    if not may_retry(attempt):
        return ()
    untried = tuple(
        server for server in candidates if server not in attempt.tried_servers
    )
    if not untried or not budget.spend():
        return ()
    return untried
