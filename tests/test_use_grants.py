"""Grants of several peers are sent to the entries as one message."""

import pytest

from wasabicross.controllers.use_grants import UseGrants
from wasabicross.messaging.messages import Grant, ServerLoad, UseGranted


def load(server_id, age_s):
    return ServerLoad(server_id, 3, 1, 64, age_s, 0.2)


@pytest.mark.parametrize(
    ('received', 'expected'),
    [
        ([], None),
        (
            [('s1', 15.0, 1.0, 10.0), ('s2', 16.0, 0.0, 10.5)],
            UseGranted(
                [Grant('s1', 15.0), Grant('s2', 16.0)],
                [load('s1', 2.0), load('s2', 0.5)],
            ),
        ),
        (
            [('s1', 15.0, 1.0, 10.0), ('s1', 16.0, 0.25, 11.0)],
            UseGranted([Grant('s1', 16.0)], [load('s1', 0.25)]),
        ),
    ],
    ids=['nothing', 'two servers', 'the last word counts'],
)
def test_grants_are_joined_and_loads_age_meanwhile(received, expected):
    grants = UseGrants(lambda message: None)
    for server_id, until_s, age_s, now_s in received:
        grants.add([Grant(server_id, until_s)], [load(server_id, age_s)], now_s)
    assert grants.take_batch(11.0) == expected
    assert grants.take_batch(12.0) is None
