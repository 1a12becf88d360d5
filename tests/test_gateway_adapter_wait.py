"""How long requests wait for adapters where engines lack slots.

Guards against slots that are taken by requests that are late already, while
others that could be on time wait behind them.
"""

import collections
import heapq
import random

import pytest

from wasabicross.gateway.adapter_wait import longest_wait_s

SEEDS = (1, 2, 3)
SLOTS = 54
TARGET_S = 0.8
LOAD_S = 0.26
PREFILL_S = 0.2
#: Mean time for which a request uses its slot, and the arrival rate, a tenth
#: above what the slots can serve.
MEAN_USE_S = 3.0
REQUESTS_PER_S = 20.0
DURATION_S = 120.0


@pytest.mark.parametrize(
    ('waited_s', 'wait_s'), [(0, 0.48), (0.3, 0.18), (0.5, 0), (3, 0)]
)
def test_wait_is_a_part_of_the_target(waited_s, wait_s):
    assert longest_wait_s(TARGET_S, waited_s) == pytest.approx(wait_s)


def share_on_time(max_wait_s, seed):
    """Play too many requests for the slots; return the share on time.

    :param max_wait_s: time after which a request leaves the queue.
    """
    rng = random.Random(seed)
    free, ends, queue = SLOTS, [], collections.deque()
    at_s, on_time, requests = 0.0, 0, 0
    while at_s < DURATION_S:
        at_s += rng.expovariate(REQUESTS_PER_S)
        requests += 1
        queue.append(at_s)
        while ends and ends[0] <= at_s:
            freed_s = heapq.heappop(ends)
            free += 1
            while queue and queue[0] + max_wait_s < freed_s + LOAD_S:
                queue.popleft()
        while free and queue:
            free -= 1
            begins_s = at_s + LOAD_S
            on_time += begins_s + PREFILL_S - queue.popleft() <= TARGET_S
            ends_s = begins_s + rng.expovariate(1 / MEAN_USE_S)
            heapq.heappush(ends, ends_s)
    return on_time / requests


@pytest.mark.parametrize('seed', SEEDS)
def test_more_are_on_time_where_slots_are_short(seed):
    long_waits = share_on_time(2 * TARGET_S, seed)
    assert share_on_time(longest_wait_s(TARGET_S, 0), seed) > long_waits + 0.2
