"""The view that an instance has of the instance list.

A server that a single reading misses stays, so that one faulty reading of
the list does not take a server away.
"""

import pytest

from wasabicross.ownership.fleet_view import FleetView
from wasabicross.stores.instances import BackendServer, Fleet, Instance

NEVER = float('inf')


def instances_in(*data_centres):
    return Fleet(
        tuple(
            Instance('me', data_centre, '127.0.0.1', 1, 'live')
            for data_centre in data_centres
        ),
        (),
    )


HERE = instances_in('north')


@pytest.mark.parametrize(
    ('lists', 'since_s'),
    [
        ([], NEVER),
        ([instances_in()], NEVER),
        ([instances_in('south')], NEVER),
        ([instances_in(), HERE, HERE], 1),
        ([HERE, HERE], 0),
        ([HERE, instances_in()], NEVER),
        ([HERE, instances_in(), HERE], 2),
    ],
)
def test_resident_since_the_first_list_of_an_unbroken_row(lists, since_s):
    view = FleetView('me', 'north')
    for now_s, each in enumerate(lists):
        view.apply_list(each, now_s)
    assert view.resident_since_s == since_s


def servers_in(listed):
    """Return a list of servers, in which a capital marks a leaving server."""
    return Fleet(
        (),
        tuple(
            BackendServer(
                name.lower(),
                'engine',
                'g',
                'north',
                '127.0.0.1',
                1,
                'leaving' if name.isupper() else 'live',
                'base',
            )
            for name in listed
        ),
    )


@pytest.mark.parametrize(
    ('lists', 'shown'),
    [
        (['ab'], 'ab'),
        (['ab', 'b'], 'ab'),
        (['ab', 'b', 'ab', 'b'], 'ab'),
        (['ab', 'b', 'b'], 'b'),
        (['ab', '', ''], ''),
        (['ab', 'b', 'b', 'ab', 'b'], 'ab'),
        # A state applies at once, and stays while the server is missing.
        (['ab', 'Ab'], 'Ab'),
        (['ab', 'Ab', 'b'], 'Ab'),
        (['ab', 'Ab', 'b', 'b'], 'b'),
        (['ab', 'Ab', 'ab'], 'ab'),
    ],
)
def test_server_that_one_reading_misses_stays(lists, shown):
    view = FleetView('i', 'north')
    for listed in lists:
        view.apply_list(servers_in(listed), 0)
    found = sorted(
        each.server_id.upper() if each.state == 'leaving' else each.server_id
        for each in view.servers
    )
    assert sorted(found, key=str.lower) == sorted(shown, key=str.lower)


def test_only_changes_are_reported():
    view = FleetView('i', 'north')
    lists = ('ab', 'ba', 'b', 'ab', 'a', 'a')
    changed = [view.apply_list(servers_in(each), 0) for each in lists]
    assert changed == [True, False, False, False, False, True]


def test_a_list_that_stays_the_same_still_drops_what_it_misses():
    view = FleetView('i', 'north')
    both, one = servers_in('ab'), servers_in('b')
    lists = (both, both, one, one, one, both)
    changed = [view.apply_list(each, 0) for each in lists]
    assert changed == [True, False, False, True, False, True]
