"""Renewals are spread out with many peers, within what a use outlasts."""

import pytest

from wasabicross.peers import renew_interval_s


@pytest.mark.parametrize(
    ('peers', 'use_lease_s', 'interval_s'),
    [
        (1, 6.0, 1.0),
        (30, 6.0, 1.0),
        (45, 6.0, 1.5),
        (360, 6.0, 2.0),
        (360, 1.0, 1.0),
        (360, 30.0, 10.0),
    ],
)
def test_the_interval_grows_with_peers(peers, use_lease_s, interval_s):
    assert renew_interval_s(peers, use_lease_s) == interval_s
