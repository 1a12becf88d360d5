"""Lists, connections and reports of peers decide which servers are used.

A server is excluded after failures and probed again, but failures never exclude
more than half of the servers that are not leaving.
"""

import pytest

from wasabicross.servers.membership import Loss, Membership
from wasabicross.servers.server_health import Failure, ServerState

REFUSED, TIMED_OUT, RESET = Failure.refused, Failure.timed_out, Failure.reset
SERVERS = tuple('abcdef')


def listed(leaving=''):
    membership = Membership()
    membership.on_list(set(SERVERS).difference(leaving), leaving, 0)
    return membership


@pytest.mark.parametrize(
    ('failures', 'now_s', 'state'),
    [
        ([], 0, ServerState.usable),
        ([RESET, RESET], 0, ServerState.usable),
        ([TIMED_OUT, RESET, TIMED_OUT], 0, ServerState.suspect),
        ([REFUSED], 0, ServerState.suspect),
        ([RESET, None, RESET, RESET], 0, ServerState.usable),
        ([REFUSED], 1.1, ServerState.probation),
        ([REFUSED, None], 1.1, ServerState.probation),
        ([REFUSED, None, None], 1.1, ServerState.usable),
    ],
)
def test_state_by_own_connections(failures, now_s, state):
    membership = listed()
    for failure in failures:
        if failure:
            membership.on_failure('a', failure, 0)
        else:
            membership.on_success('a', 0)
    assert membership.state('a', now_s) is state


@pytest.mark.parametrize(
    ('lists', 'state'),
    [
        (['abc|'], ServerState.usable),
        (['bc|a'], ServerState.leaving),
        (['bc|'], ServerState.usable),
        (['bc|', 'abc|', 'bc|'], ServerState.usable),
        (['bc|', 'bc|'], ServerState.gone),
        (['bc|a', 'abc|'], ServerState.probation),
    ],
)
def test_state_by_the_list(lists, state):
    membership = listed()
    for number, each in enumerate(lists):
        membership.on_list(*each.split('|'), number)
    assert membership.state('a', len(lists)) is state


@pytest.mark.parametrize(
    ('failure', 'state'),
    [(None, ServerState.leaving), (REFUSED, ServerState.probation)],
)
def test_own_observation_outweighs_a_lagging_list(failure, state):
    membership = listed()
    membership.on_leaving('a', 0)
    assert 'a' not in membership.usable(SERVERS, 0)
    if failure:
        membership.on_failure('a', failure, 1)
    for now_s in range(30):
        membership.on_list(SERVERS, (), now_s)
    assert membership.state('a', 30) is state


@pytest.mark.parametrize(
    ('failing', 'leaving', 'count'),
    [
        ('a', '', 5),
        ('abc', '', 3),
        ('abcde', '', 3),
        ('abcdef', '', 3),
        ('abcd', 'ef', 2),
        ('', 'abcde', 1),
        ('', 'abcdef', 0),
    ],
)
def test_a_bad_link_leaves_half_of_the_live(failing, leaving, count):
    membership = listed(leaving)
    for server in failing:
        membership.on_failure(server, REFUSED, 0)
    chosen = membership.usable(SERVERS, 0.5)
    assert len(chosen) == count
    assert not set(chosen).intersection(leaving)
    assert set(SERVERS).difference(failing, leaving) <= set(chosen)


def test_probation_admits_one_request_per_interval():
    membership = listed()
    membership.on_failure('a', REFUSED, 0)
    assert 'a' in membership.usable(SERVERS, 2)
    membership.on_start('a', 2)
    assert 'a' not in membership.usable(SERVERS, 2.1)
    assert 'a' in membership.usable(SERVERS, 2.6)


@pytest.mark.parametrize(
    ('pause_s', 'shut_out_s'),
    [(0.5, [1, 2, 4, 8, 16, 30, 30]), (65, [1, 1, 1]), (55, [1, 2, 4])],
)
def test_flapping_is_damped(pause_s, shut_out_s):
    """A server that is up for `pause_s` between refusals is probed less often."""
    membership = listed()
    now_s, found_s = 0.0, []
    for _ in shut_out_s:
        refused_s = now_s
        membership.on_failure('a', REFUSED, refused_s)
        while membership.state('a', now_s) is ServerState.suspect:
            now_s += 0.25
        found_s.append(now_s - refused_s)
        membership.on_success('a', now_s)
        membership.on_success('a', now_s)
        now_s += pause_s
    assert found_s == shut_out_s


@pytest.mark.parametrize(
    ('failures', 'words', 'loss'),
    [
        ([], [], Loss.none),
        ([RESET], [], Loss.unknown),
        ([RESET, REFUSED], [], Loss.server),
        ([RESET, REFUSED], [(True, 2)], Loss.link),
        ([TIMED_OUT], [(True, 2), (False, 2)], Loss.link),
        ([TIMED_OUT], [(False, 2)], Loss.server),
        # A report from before the failure does not apply to it.
        ([RESET], [(True, 0.5)], Loss.unknown),
    ],
)
def test_loss_is_told_from_a_cut_link(failures, words, loss):
    membership = listed()
    for failure in failures:
        membership.on_failure('a', failure, 1)
    for number, (reachable, reported_s) in enumerate(words):
        membership.on_peer_report('a', f'entry{number}', reachable, reported_s)
    assert membership.loss('a', 2.5) is loss


def test_server_that_left_the_list_is_lost():
    assert Membership().loss('a', 0) is Loss.server
