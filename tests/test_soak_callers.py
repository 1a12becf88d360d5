"""Callers of the soak state whole time limits, or what is left of them."""

import pytest

from emulator.soak.callers import CallResult, time_limit_s
from emulator.soak.routes import SLOW_ROUTE

FIRST = CallResult('r1', SLOW_ROUTE.name, 'a1', 9, 'g', sent_s=100)


@pytest.mark.parametrize(
    ('first_sent_s', 'sent_s', 'limit_s'),
    [
        (0, 100, SLOW_ROUTE.timeout_s),
        (0, 103, SLOW_ROUTE.timeout_s),
        (100, 100, SLOW_ROUTE.timeout_s),
        (100, 103, SLOW_ROUTE.timeout_s - 3),
    ],
)
def test_a_caller_states_a_whole_limit_or_its_rest(
    first_sent_s, sent_s, limit_s
):
    sent = FIRST._replace(first_sent_s=first_sent_s, sent_s=sent_s)
    assert time_limit_s(sent) == limit_s
