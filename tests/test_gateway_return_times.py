"""Refused callers are told to retry when capacity is free again."""

import heapq
import random

import pytest

from wasabicross.gateway.retry_delays import RetryDelays

SEED = 20261204
#: Requests per second: capacity of a service, and arrivals in and after a jump.
CAPACITY_PER_S = 40
JUMP_PER_S = 80
BASE_PER_S = 20
JUMP_S = 4.0
DURATION_S = 12.0
TIME_LIMIT_S = 15.0


def middle_draw():
    return 0.5


@pytest.mark.parametrize(
    ('sent', 'refused', 'after_s'),
    [(99, 1, 0.436), (3, 1, 1.3), (1, 3, 3.1), (0, 1, 4.0)],
)
def test_the_more_are_refused_the_later_they_return(sent, refused, after_s):
    retry_delays = RetryDelays(middle_draw)
    for _ in range(sent):
        retry_delays.on_sent(9)
    for _ in range(refused):
        delay_s = retry_delays.on_refused(60, 10)
    assert delay_s == pytest.approx(after_s)


def test_what_was_long_ago_does_not_count():
    retry_delays = RetryDelays(middle_draw)
    for _ in range(9):
        retry_delays.on_refused(60, 1)
        retry_delays.on_sent(9)
    assert retry_delays.on_refused(60, 10) == pytest.approx(0.76)


@pytest.mark.parametrize(('remaining_s', 'after_s'), [(1.2, 0.4), (-1, 0)])
def test_callers_return_while_they_have_time(remaining_s, after_s):
    delay_s = RetryDelays(middle_draw).on_refused(remaining_s, 10)
    assert delay_s == pytest.approx(after_s)


class DemandJump:
    """Simulate demand above capacity; each refused caller retries once.

    :param after_s: gives the seconds until a refused caller retries.
    """

    def __init__(self, after_s):
        self.after_s = after_s
        self.rng = random.Random(SEED)
        self.retry_delays = RetryDelays(self.rng.random)
        self._taken_s = []

    def run(self):
        """Return the share of the callers that are served."""
        arrivals = self._arrivals()
        caller_count = len(arrivals)
        served = 0
        while arrivals:
            at_s, is_retry = heapq.heappop(arrivals)
            if self._has_room(at_s):
                self.retry_delays.on_sent(at_s)
                served += 1
                continue
            after_s = self.after_s(self, at_s)
            if not is_retry:
                heapq.heappush(arrivals, (at_s + after_s, True))
        return served / caller_count

    def _arrivals(self):
        arrivals = []
        at_s = 0.0
        while at_s < DURATION_S:
            per_s = JUMP_PER_S if at_s < JUMP_S else BASE_PER_S
            at_s += self.rng.expovariate(per_s)
            arrivals.append((at_s, False))
        return arrivals

    def _has_room(self, at_s):
        self._taken_s = [each for each in self._taken_s if at_s - each < 1]
        if len(self._taken_s) >= CAPACITY_PER_S:
            return False
        self._taken_s.append(at_s)
        return True


def as_stated(demand, at_s):
    return demand.retry_delays.on_refused(TIME_LIMIT_S, at_s)


def constant_delay(demand, at_s):
    """Baseline: the same delay for all callers at any load."""
    return 0.7


def test_more_callers_are_served_when_demand_jumps():
    served_share = DemandJump(as_stated).run()
    assert served_share > DemandJump(constant_delay).run() + 0.05
