"""A change is in force at instances that do not watch the pointer."""

import pytest

from emulator.slope_parts import measure_instances

LONGEST_S = 4  # an instance looks for itself every 10 s


@pytest.mark.parametrize('instances', [4, 6])
def test_peers_fetch_a_change_from_each_other(instances):
    assert measure_instances(instances, 1)['change_everywhere_s'] < LONGEST_S
