"""A caller is told that its request hasn't run only where that is proved.

Guards against a request that is refused with a promise and has run, or runs later.
"""

import pytest
from raw_caller import status_of
from scripted_server import NOT_RUN
from test_gateway_takeover import SAFE, attempts, first_server_is_silent

#: Statuses that callers take for such a promise.
PROMISES = frozenset((408, 421, 429, 503))

attempts = attempts


@pytest.mark.parametrize(
    ('first', 'other', 'is_proved'),
    [
        # The first server refuses after the other one has it, or meanwhile.
        ([0.75, NOT_RUN], ['reset'], False),
        ([0.75, NOT_RUN], [0.05, 'close'], False),
        ([0.65, NOT_RUN], [0.1, 'reset'], False),
        ([0.65, NOT_RUN], [0.1, b'no answer\r\n\r\n'], False),
        ([0.65, NOT_RUN], [9.0], False),
        # Both give their word, in either order.
        ([0.75, NOT_RUN], [NOT_RUN], True),
        ([0.65, NOT_RUN], [0.1, NOT_RUN], True),
        # The first one has it, whatever the other one says.
        ([0.75, 'reset'], [NOT_RUN], False),
        ([0.65, 'reset'], [0.1, NOT_RUN], False),
    ],
    ids=[
        'reset, then refused',
        'closed, then refused',
        'refused, then reset',
        'refused, then no answer',
        'refused, then silent',
        'both, other first',
        'both, first first',
        'refused, then reset at the first',
        'reset at the first, then refused',
    ],
)
def test_the_word_of_one_server_speaks_for_no_other(
    attempts, first, other, is_proved
):
    """Two servers have a request, as the first one was silent on it."""
    outcome = first_server_is_silent(
        [[first], [other]], attempts, SAFE, service='desk'
    )
    assert [len(each.seen) for each in outcome.servers] == [1, 1]
    assert (status_of(outcome.received) in PROMISES) == is_proved
