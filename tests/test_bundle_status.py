"""The bundle status of a data centre, from the reports of its instances."""

import pytest
from bundle_parts import DATA_CENTRES, instance

from wasabicross.bundles.bundles import BundlePointer
from wasabicross.operators.bundle_status import (
    data_centre_statuses,
    max_status_age_s,
)


@pytest.mark.parametrize(
    ('instances', 'expected'),
    [
        ([], ('unreachable', 0, '', 0, (), None)),
        ([instance()], ('in_force', 1, '2026', 1, (), 0.1)),
        (
            [instance(number=0, since=''), instance(at=2, since='2027')],
            ('lagging', 0, '', 2, ('hbt-a-1',), 0.1),
        ),
        ([instance(heard_s=60)], ('unreachable', 1, '2026', 0, (), 60)),
    ],
)
def test_status_of_a_data_centre(instances, expected):
    pointer = BundlePointer(1, 'd', '', '')
    first, other = data_centre_statuses(pointer, instances, DATA_CENTRES)
    assert tuple(first) == ('hbt-a', *expected)
    assert other.state == 'unreachable'


@pytest.mark.parametrize(
    ('use_lease_s', 'heard_s', 'state'),
    [
        (6, 4.9, 'in_force'),
        (6, 5.1, 'unreachable'),
        (1, 4.9, 'in_force'),
        (30, 12.9, 'in_force'),
        (30, 13.1, 'unreachable'),
    ],
)
def test_instances_that_renew_seldom_are_reachable_for_longer(
    use_lease_s, heard_s, state
):
    max_age_s = max_status_age_s(use_lease_s)
    statuses = [instance(heard_s=heard_s)]
    first, _ = data_centre_statuses(None, statuses, DATA_CENTRES, max_age_s)
    assert first.state == state
