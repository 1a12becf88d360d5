"""Callers that return are told from others by the time limits they state."""

import random

import pytest

from wasabicross.gateway.usual_time_limits import UsualTimeLimits


def limits_after(*stated, route='r'):
    limits = UsualTimeLimits()
    for time_left_s in stated:
        limits.waited_before_s(route, time_left_s)
    return limits


@pytest.mark.parametrize(
    ('stated', 'time_left_s', 'waited_s'),
    [
        # Nothing is known of the first callers.
        ([], 5, 0),
        ([5, 5], 3.8, 0),
        ([5, 5, 5], 5, 0),
        ([5, 5, 5], 3.8, 1.2),
        # A longer limit than the usual one shows no wait.
        ([5, 5, 5], 9, 0),
        # Some callers always wait less long than others.
        ([5, 5, 5, 2, 2], 2, 0),
        ([5, 5, 5, 2, 2, 2], 1.5, 0.5),
        # The time on the way is no wait.
        ([5, 5, 5], 4.9, 0),
    ],
)
def test_time_waited_before(stated, time_left_s, waited_s):
    limits = limits_after(*stated)
    assert limits.waited_before_s('r', time_left_s) == pytest.approx(waited_s)


def test_routes_have_limits_of_their_own():
    assert limits_after(5, 5, 5).waited_before_s('other', 3.8) == 0


def test_few_limits_of_few_routes_are_kept():
    """Callers that state any number of limits take little memory."""
    limits = UsualTimeLimits()
    rng = random.Random(1)
    for number in range(9000):
        limits.waited_before_s(f'r{number}', rng.uniform(0, 60))
        limits.waited_before_s('r', rng.uniform(0, 60))
    assert len(limits._counts) <= 1024
    assert len(limits._counts['r']) <= 16
