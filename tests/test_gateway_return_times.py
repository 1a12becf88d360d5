"""Refused callers come back when there is room for them again."""

import heapq
import random

import pytest

from wasabicross.gateway.retry_delays import RetryDelays

SEED = 20261204
#: Requests that a service takes in a second, and how many come.
CAPACITY_PER_S = 40
JUMP_PER_S = 80
CALM_PER_S = 20
JUMP_S = 4.0
LENGTH_S = 12.0
TIME_LIMIT_S = 15.0


def middle():
    return 0.5


@pytest.mark.parametrize(
    ('sent', 'refused', 'after_s'),
    [(99, 1, 0.436), (3, 1, 1.3), (1, 3, 3.1), (0, 1, 4.0)],
)
def test_the_more_are_refused_the_later_they_return(sent, refused, after_s):
    returns = RetryDelays(middle)
    for _ in range(sent):
        returns.on_sent(9)
    for _ in range(refused):
        told_s = returns.on_refused(60, 10)
    assert told_s == pytest.approx(after_s)


def test_what_was_long_ago_does_not_count():
    returns = RetryDelays(middle)
    for _ in range(9):
        returns.on_refused(60, 1)
        returns.on_sent(9)
    assert returns.on_refused(60, 10) == pytest.approx(0.76)


@pytest.mark.parametrize(('left_s', 'after_s'), [(1.2, 0.4), (-1, 0)])
def test_callers_return_while_they_have_time(left_s, after_s):
    told_s = RetryDelays(middle).on_refused(left_s, 10)
    assert told_s == pytest.approx(after_s)


class Jump:
    """Demand that jumps above what a service takes; each caller returns once.

    :param after_s: returns when a refused caller comes back.
    """

    def __init__(self, after_s):
        self.after_s = after_s
        self.rng = random.Random(SEED)
        self.returns = RetryDelays(self.rng.random)
        self._taken_s = []

    def run(self):
        """Play the demand; return the share of the callers that was served."""
        arrivals = self._arrivals()
        asked = len(arrivals)
        served = 0
        while arrivals:
            at_s, is_back = heapq.heappop(arrivals)
            if self._has_room(at_s):
                self.returns.on_sent(at_s)
                served += 1
                continue
            after_s = self.after_s(self, at_s)
            if not is_back:
                heapq.heappush(arrivals, (at_s + after_s, True))
        return served / asked

    def _arrivals(self):
        arrivals = []
        at_s = 0.0
        while at_s < LENGTH_S:
            per_s = JUMP_PER_S if at_s < JUMP_S else CALM_PER_S
            at_s += self.rng.expovariate(per_s)
            arrivals.append((at_s, False))
        return arrivals

    def _has_room(self, at_s):
        self._taken_s = [each for each in self._taken_s if at_s - each < 1]
        if len(self._taken_s) >= CAPACITY_PER_S:
            return False
        self._taken_s.append(at_s)
        return True


def as_told(jump, at_s):
    return jump.returns.on_refused(TIME_LIMIT_S, at_s)


def always_alike(jump, at_s):
    """Baseline: the same time for all, whatever the load."""
    return 0.7


def test_more_callers_are_served_when_demand_jumps():
    told = Jump(as_told).run()
    assert told > Jump(always_alike).run() + 0.05
