"""A request is retried only if that is safe and within the retry budget.

Other retries could run a request twice or multiply the traffic in an outage.
"""

import pytest

from wasabicross.servers.retries import (
    Attempt,
    Outcome,
    RetryBudget,
    may_retry,
    servers_for_retry,
)


@pytest.mark.parametrize(
    ('outcome', 'idempotent', 'bytes_sent', 'tried', 'deadline_s', 'allowed'),
    [
        (Outcome.not_run, False, 0, 'a', 1, True),
        (Outcome.not_run, True, 0, 'a', 1, True),
        (Outcome.unknown, False, 0, 'a', 1, False),
        (Outcome.unknown, True, 0, 'a', 1, True),
        (Outcome.cut, False, 0, 'a', 1, False),
        (Outcome.cut, True, 0, 'a', 1, True),
        (Outcome.cut, True, 1, 'a', 1, False),
        (Outcome.unknown, True, 0, 'ab', 1, True),
        (Outcome.unknown, True, 0, 'abc', 1, False),
        (Outcome.not_run, True, 0, 'a', 0, False),
    ],
)
def test_may_retry(outcome, idempotent, bytes_sent, tried, deadline_s, allowed):
    attempt = Attempt(outcome, idempotent, bytes_sent, tried, deadline_s)
    assert may_retry(attempt) is allowed


@pytest.mark.parametrize(
    ('tried', 'candidates', 'untried'),
    [('a', 'abc', 'bc'), ('ab', 'abc', 'c'), ('a', 'a', ''), ('a', '', '')],
)
def test_never_the_same_server_again(tried, candidates, untried):
    attempt = Attempt(Outcome.not_run, False, 0, tuple(tried), 1)
    budget = RetryBudget(reserve=1)
    assert servers_for_retry(attempt, candidates, budget) == tuple(untried)
    assert budget.available == (0 if untried else 1)


@pytest.mark.parametrize('reserve', [1, 32])
def test_retries_stay_within_a_tenth(reserve):
    budget = RetryBudget(reserve=reserve)
    spent = 0
    for _ in range(1000):
        budget.add_request()
        spent += budget.spend() + budget.spend()
    assert 100 <= spent <= 100 + reserve
