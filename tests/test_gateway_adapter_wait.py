"""How long requests wait for adapters where engines lack slots.

Guards against slots that are taken by requests that are late already, while
others that could be on time wait behind them.
"""

import collections
import heapq
import random

import pytest

from wasabicross.gateway.adapter_wait import AdapterWait

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
    ('load_s', 'waited_s', 'has_run', 'wait_s'),
    [
        (0.25, 0, False, 0.48),
        (0.25, 0.3, False, 0.18),
        (0.25, 0.5, False, 0),
        (0.25, 3, False, 0),
        # Where loads take long, none would be made in time otherwise.
        (0.6, 0, False, 0.75),
        (2, 0, False, 1.6),
        # A server has failed it, so its caller has waited or has a part.
        (0.25, 0.3, True, 1.5),
        (0.25, 3, True, 1.5),
    ],
)
def test_wait_is_a_part_of_the_target(load_s, waited_s, has_run, wait_s):
    longest_s = wait_after_loads(load_s).longest_s(
        TARGET_S, waited_s, has_run=has_run
    )
    assert longest_s == pytest.approx(wait_s, abs=0.01)


def wait_after_loads(load_s):
    """Return the limits after many loads of this duration."""
    wait = AdapterWait()
    for _ in range(100):
        wait.on_load(load_s)
    return wait


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
    short_wait_s = wait_after_loads(LOAD_S).longest_s(
        TARGET_S, 0, has_run=False
    )
    assert share_on_time(short_wait_s, seed) > long_waits + 0.2
