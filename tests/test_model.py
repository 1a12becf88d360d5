"""The core protocol, explored in full and without each mechanism."""

import functools

import pytest

from model.__main__ import SPECS
from model.spec import walk

BY_NAME = {spec.name: spec for spec in SPECS}

#: The property that is violated when the mechanism is omitted.
NEEDED_FOR = {
    ('evictions', 'consent'): 'no_evict_while_running',
    ('evictions', 'closed_after_takeover'): 'no_evict_while_running',
    ('evictions', 'unopened_is_closed'): 'no_evict_while_running',
    ('evictions', 'unique_load_names'): 'unique_names',
    ('evictions', 'wait_for_residents'): 'no_evict_while_running',
    ('evictions', 'refuse_older_term'): 'one_effective_owner',
    ('evictions', 'check_pause'): 'no_evict_while_running',
    ('evictions', 'list_keeps_live'): 'one_effective_owner',
    ('visitors', 'time_rule'): 'no_evict_while_running',
    ('visitors', 'grant_from_request'): 'no_evict_while_running',
    ('visitors', 'grant_basis'): 'no_evict_while_running',
    ('visitors', 'answer_replaces'): 'no_evict_while_running',
    ('visitors', 'wait_after_takeover'): 'no_evict_while_running',
    ('visitors', 'list_after_wait'): 'no_evict_while_running',
    ('visitors', 'owner_confirms_listing'): 'no_evict_while_running',
    ('outages', 'grant_basis'): 'no_evict_while_running',
    ('outages', 'check_pause'): 'no_evict_while_running',
    ('outages', 'listed_while_leased'): 'no_evict_while_running',
    ('outages', 'list_after_takeover'): 'no_evict_while_running',
    ('outages', 'wait_after_takeover'): 'no_evict_while_running',
    ('outages', 'list_keeps_live'): 'no_evict_while_running',
    ('continuations', 'resume_as_last_owner'): 'no_evict_while_running',
    ('continuations', 'listed_candidates'): 'no_evict_while_running',
    ('continuations', 'check_pause'): 'no_evict_while_running',
    ('continuations', 'listed_while_leased'): 'no_evict_while_running',
    ('continuations', 'grant_after_list'): 'no_evict_while_running',
    ('continuations', 'list_after_takeover'): 'no_evict_while_running',
    ('continuations', 'list_keeps_live'): 'no_evict_while_running',
    ('claims', 'nonce'): 'at_most_once',
    ('claims', 'takeover_segment'): 'one_effective_owner',
    ('claims', 'claim_before_dispatch'): 'at_most_once',
    ('claims', 'release_durable'): 'released_may_repeat',
    ('claims', 'release_bars_claim'): 'released_may_repeat',
    ('claims', 'doubt_is_not_refused'): 'released_may_repeat',
    ('claims', 'no_grant_after_give_up'): 'not_run_reports_are_true',
    ('bundles', 'expected_version'): 'one_winner',
    ('bundles', 'refuse_lower'): 'number_only_rises',
    ('bundles', 'parent_check'): 'one_winner',
    ('bundles', 'settle_by_swap'): 'reported_outcome_is_true',
    ('bundles', 'past_pointers'): 'reported_outcome_is_true',
    ('owner_records', 'right_ends'): 'owners_are_apart',
    ('owner_records', 'wait_unchanged'): 'owners_are_apart',
    ('owner_records', 'wait_after_return'): 'owners_are_apart',
    ('owner_records', 'wait_after_start'): 'owners_are_apart',
    ('owner_records', 'first_read_is_early'): 'owners_are_apart',
}


@functools.cache
def violated(name, *omitted):
    found = walk(BY_NAME[name], frozenset(omitted))
    return {
        result.name: result.trace
        for result in found.results
        if result.holds is False
    }


@pytest.mark.parametrize('name', BY_NAME)
def test_every_property_holds(name):
    found = walk(BY_NAME[name])
    assert {result.name: result.holds for result in found.results} == (
        dict.fromkeys(BY_NAME[name].properties, True)
    )


def test_evictions_hold_on_servers_that_check_no_terms():
    assert walk(BY_NAME['evictions'], frozenset(('fencing',))).is_clean


@pytest.mark.parametrize(('name', 'mechanism'), NEEDED_FOR)
def test_each_mechanism_is_needed(name, mechanism):
    # Checked alone, as a walk ends at the first violation of any property.
    needing = NEEDED_FOR[name, mechanism]
    spec = BY_NAME[name]
    alone = spec._replace(properties={needing: spec.properties[needing]})
    found = walk(alone, frozenset((mechanism,)))
    assert found.results[0].trace


def test_a_completed_request_needs_its_claim_in_the_log():
    assert violated('claims', 'claim_before_dispatch')['completed_holds_key']


@pytest.mark.parametrize('mechanism', BY_NAME['evictions'].mechanisms)
def test_fencing_stands_in_for_no_mechanism(mechanism):
    fenced = violated('evictions', mechanism)
    assert set(violated('evictions', mechanism, 'fencing')) == set(fenced)


def test_an_owner_without_a_lease_still_grants_use():
    forbidden = {'no_lone_grant': lambda state: not state.unbacked_grant}
    found = walk(BY_NAME['outages']._replace(properties=forbidden))
    assert found.results[0].trace[-1] == 'grant_use'


def test_an_owner_that_goes_on_evicts():
    forbidden = {'no_order': lambda state: not state.ordered}
    found = walk(BY_NAME['continuations']._replace(properties=forbidden))
    assert found.results[0].trace[-1] == 'order_evict(A)'


def test_no_mechanism_is_missing_from_the_table():
    assert set(NEEDED_FOR) == {
        (spec.name, mechanism)
        for spec in SPECS
        for mechanism in spec.mechanisms
    }


def test_evict_hits_a_request_without_consent():
    trace = violated('evictions', 'consent')['no_evict_while_running']
    assert trace == (
        'announce_load(x, load 1)',
        'close_load(x, load 1)',
        'order_evict(x, load 1)',
        'begin_request(y, load 1)',
        'deliver_evict(load 1, term 1)',
    )
