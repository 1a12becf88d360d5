"""The instance list as one instance sees it."""

import pytest

from wasabicross.fleet_view import FleetView
from wasabicross.instances import Fleet, Instance

NEVER = float('inf')


def fleet(*data_centres):
    return Fleet(
        tuple(
            Instance('me', data_centre, '127.0.0.1', 1, 'live')
            for data_centre in data_centres
        ),
        (),
    )


HERE = fleet('north')


@pytest.mark.parametrize(
    ('lists', 'since_s'),
    [
        ([], NEVER),
        ([fleet()], NEVER),
        ([fleet('south')], NEVER),
        ([fleet(), HERE, HERE], 1),
        ([HERE, HERE], 0),
        ([HERE, fleet()], NEVER),
        ([HERE, fleet(), HERE], 2),
    ],
)
def test_resident_since_the_first_list_of_an_unbroken_row(lists, since_s):
    view = FleetView('me', 'north')
    for now_s, each in enumerate(lists):
        view.take(each, now_s)
    assert view.resident_since_s == since_s
