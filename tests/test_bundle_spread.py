"""A change comes into force at instances that do not watch the pointer."""

import pytest

from emulator.slope_parts import measure_instances

#: Without its peers an instance sees a change only at its own reading of the
#: pointer, which it repeats every 10 s.
MAX_PROPAGATION_S = 4


@pytest.mark.parametrize('instances', [4, 6])
def test_peers_fetch_a_change_from_each_other(instances):
    assert (
        measure_instances(instances, 1)['change_everywhere_s']
        < MAX_PROPAGATION_S
    )
