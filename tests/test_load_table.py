"""The loads that an entry may use.

An entry may start no request on a closed load, on a remote load without a grant,
or after a pause in which the owner may have counted it as gone.
"""

import pytest

from wasabicross.loads.load_table import LoadTable
from wasabicross.messaging.messages import Grant, LoadUse, Running

NEAR = 'quote@1#near:1:1'
FAR = 'quote@1#far:1:1'


@pytest.fixture
def table():
    loads = LoadTable(max_pause_s=6, now_s=0)
    loads.set_remote_servers(['far'])
    loads.open_loads([NEAR, FAR])
    return loads


@pytest.mark.parametrize(
    ('grant_s', 'now_s', 'usable'),
    [
        (None, 1, [NEAR]),
        (5, 1, [NEAR, FAR]),
        (5, 4.9, [NEAR, FAR]),
        (5, 5, [NEAR]),
    ],
)
def test_remote_loads_need_a_grant(table, grant_s, now_s, usable):
    if grant_s is not None:
        table.grant_use([Grant('far', grant_s)])
    assert table.holders('quote', '1', now_s) == usable
    assert table.begin_request(FAR, now_s) is (FAR in usable)


@pytest.mark.parametrize(('running', 'drained'), [(0, True), (2, False)])
def test_closed_load_drains_with_its_last_request(table, running, drained):
    for _ in range(running):
        assert table.begin_request(NEAR, 1)
    assert table.consent_to_close(NEAR) is drained
    assert not table.begin_request(NEAR, 1)
    ends = [table.finish_request(NEAR) for _ in range(running)]
    assert ends == [False, True][:running]


def test_end_of_a_request_on_an_open_load_is_no_consent(table):
    table.begin_request(NEAR, 1)
    assert not table.finish_request(NEAR)


def test_closed_load_stays_closed(table):
    table.consent_to_close(NEAR)
    table.open_loads([NEAR])
    assert table.holders('quote', '1', 1) == []
    assert table.closed() == [NEAR]
    table.drop_loads([NEAR])
    assert table.closed() == []


@pytest.mark.parametrize(
    ('now_s', 'has_paused'), [(5, False), (6, False), (6.1, True)]
)
def test_nothing_starts_after_a_pause(table, now_s, has_paused):
    assert table.begin_request(NEAR, now_s) is not has_paused
    assert table.tick(now_s) is has_paused
    assert (table.opened() == []) is has_paused
    table.open_loads([NEAR])
    assert table.begin_request(NEAR, now_s)


def test_forgotten_load_is_used_again_once_reported(table):
    table.begin_request(NEAR, 1)
    table.forget_loads([NEAR])
    assert not table.begin_request(NEAR, 1)
    assert not table.finish_request(NEAR)
    table.open_loads([NEAR])
    assert table.begin_request(NEAR, 1)


def test_usage_is_reported_once(table):
    table.begin_request(NEAR, 1)
    assert table.running() == [Running(NEAR, 1)]
    assert table.take_usage() == [LoadUse(NEAR, 1, 1)]
    assert table.take_usage() == [LoadUse(NEAR, 0, 1)]
    table.finish_request(NEAR)
    assert table.take_usage() == []


def test_wait_ends_with_a_change(table):
    version = table.version
    table.open_loads(['quote@1#near:1:2'])
    table.wait_for_change(version, 60)
    assert table.version > version


@pytest.mark.parametrize(('now_s', 'servers'), [(4, []), (5, ['far'])])
def test_servers_without_a_grant_are_reported(table, now_s, servers):
    table.grant_use([Grant('far', 5)])
    assert table.ungranted(now_s) == servers
