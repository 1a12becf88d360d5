"""A gateway's view of the deployment, from the store and from owners."""

import pytest

from wasabicross.gateway.backend import AdapterKey, BackendServer
from wasabicross.gateway.changes import (
    AdapterVersionUpdate,
    ConfigurationUpdate,
    OwnerRecordUpdate,
    ServerEntryUpdate,
    ServerRemoval,
)
from wasabicross.gateway.configuration import CallerLimits, Configuration
from wasabicross.gateway.messages import (
    HeldAdapter,
    ServerOccupancy,
    ServerState,
)
from wasabicross.gateway.view import OWNER_STATE_LIFETIME_S, FleetView

A = AdapterKey('m0', 'a1')
LIMITS = CallerLimits(1, 1, 1, 1)


def server(held=None, start_ms=1, is_leaving=False):
    return BackendServer(
        server_id='s1',
        service='llm',
        host='10.0.0.1',
        port=1,
        data_centre='dc',
        slots=4,
        is_leaving=is_leaving,
        held=held or {},
        models=frozenset(('m0',)),
        start_ms=start_ms,
    )


def state(version, start_ms=1):
    held = (HeldAdapter('m0', 'a1', version),) if version else ()
    return ServerState('s1', start_ms, 1, 2, True, held)


@pytest.fixture
def view():
    initial = FleetView()
    initial.apply(ServerEntryUpdate(server()), 0)
    return initial


@pytest.mark.parametrize('versions', [(1, 2), (2, 1), (1, 2, 1)])
def test_configuration_and_versions_never_go_back(view, versions):
    for version in versions:
        cfg = Configuration(version, (), {}, LIMITS)
        view.apply(ConfigurationUpdate(cfg), 0)
        view.apply(AdapterVersionUpdate(A, version), 0)
    assert view.configuration.version == 2
    assert view.version_of(A) == 2


def test_older_owner_record_changes_nothing(view):
    view.apply(OwnerRecordUpdate('dc.0', 'front-2', 'h2', 9), 5)
    view.apply(OwnerRecordUpdate('dc.0', 'front-1', 'h1', 8), 6)
    assert view.owners['dc.0'].instance == 'front-2'
    assert view.owners['dc.0'].unchanged_since_s == 5


def test_owner_word_goes_before_the_list_while_it_is_fresh(view):
    view.apply(ServerEntryUpdate(server({A: 1})), 0)
    view.on_state(state(2), 10)
    assert view.held_version(view.servers['s1'], A, 10.1) == 2
    assert (
        view.held_version(
            view.servers['s1'], A, 10 + OWNER_STATE_LIFETIME_S + 1
        )
        == 1
    )


def test_owner_word_about_an_earlier_start_counts_for_nothing(view):
    view.on_state(state(1, start_ms=1), 10)
    view.apply(ServerEntryUpdate(server(start_ms=2)), 10.1)
    assert view.held_version(view.servers['s1'], A, 10.2) == 0


def test_sign_of_life_keeps_the_owner_word_fresh(view):
    view.on_occupancy(ServerOccupancy('s1', 1, 0, 9), 9)
    assert not view.reported
    view.on_state(state(2), 10)
    view.on_occupancy(ServerOccupancy('s1', 1, 4, 5), 12)
    listed = view.servers['s1']
    assert view.held_version(listed, A, 12.1) == 2
    assert view.requests_at(listed, 12.1) == 9
    view.on_occupancy(ServerOccupancy('s1', 7, 0, 0), 20)
    assert view.requests_at(listed, 20) == 0


def test_denial_outweighs_reports_until_they_are_newer(view):
    view.on_state(state(1), 10)
    view.on_adapter_missing('s1', A, 10.1)
    assert view.held_version(view.servers['s1'], A, 10.2) == 0
    assert view.held_version(view.servers['s1'], A, 11) == 1


def test_removed_server_is_gone_at_once_in_calm(view):
    view.apply(ServerRemoval('s1'), 100)
    assert not view.servers


@pytest.mark.parametrize(
    ('comes_back', 'left'), [(True, {'s1'}), (False, set())]
)
def test_entries_that_lapsed_in_an_outage_have_time_to_return(
    view, comes_back, left
):
    view.set_store_status(10, is_lost=True)
    view.set_store_status(20, is_lost=False)
    view.apply(ServerRemoval('s1'), 20.1)
    assert set(view.servers) == {'s1'}
    if comes_back:
        view.apply(ServerEntryUpdate(server()), 21)
    view.remove_expired(23)
    assert set(view.servers) == left


def test_reading_of_the_whole_list_drops_what_it_lacks(view):
    view.remove_unlisted(frozenset(), 100)
    assert not view.servers


def test_requests_at_a_server_are_the_more_of_both_counts(view):
    listed = view.servers['s1']
    view.on_state(state(1), 10)
    assert view.requests_at(listed, 10.1) == 3
    view.own.requests['s1'] = 5
    assert view.requests_at(listed, 10.1) == 5


@pytest.mark.parametrize(
    ('listed', 'told', 'start_ms', 'age_s', 'holds'),
    [
        ((), (), 2, 0, False),
        (('m0',), (), 2, 0, True),
        # The state from the owner shows a load before the store entry does.
        ((), ('m0',), 2, 0, True),
        ((), ('m0',), 2, OWNER_STATE_LIFETIME_S + 1, False),
        # A state from a former start of the server is ignored, but owners see a
        # restart before it is listed.
        ((), ('m0',), 1, 0, False),
        ((), ('m0',), 3, 0, True),
    ],
)
def test_who_holds_a_base_model(listed, told, start_ms, age_s, holds):
    view = FleetView()
    listed_server = server(start_ms=2)._replace(models=frozenset(listed))
    view.on_state(state(0, start_ms)._replace(models=told), 10)
    assert view.holds_model(listed_server, 'm0', 10 + age_s) is holds
