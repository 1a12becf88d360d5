"""Load requests go to servers with room in their batches.

Full servers come last; among the others the weights decide whether adapters are
distributed evenly or fill the servers one by one.
"""

import pytest

from wasabicross.messaging.messages import WantLoad
from wasabicross.ownership.pending_load_requests import PendingLoadRequests
from wasabicross.runtime.rendezvous import rank_servers
from wasabicross.servers.policy import Weights
from wasabicross.stores.instances import LIVE, BackendServer

NAMES = [f's{number}' for number in range(6)]
IN_TURN = rank_servers('', '', NAMES)


def load_request_for(adapter, **fields):
    empty = WantLoad(adapter, '1', 'base', 'drafting', 'c', 1, [])
    return empty._replace(**fields)


def candidates(load_request):
    fields = dict.fromkeys(BackendServer._fields, '')
    servers = tuple(
        BackendServer(
            **{
                **fields,
                'server_id': name,
                'group': 'drafting',
                'base_model': 'base',
                'state': LIVE,
            }
        )
        for name in NAMES
    )
    return tuple(PendingLoadRequests().candidates(load_request, servers, 0))


@pytest.mark.parametrize('adapter', ['a', 'b', 'c'])
def test_adapters_are_spread_or_fill_servers_in_turn(adapter):
    assert candidates(load_request_for(adapter)) == rank_servers(
        adapter, '1', NAMES
    )
    assert candidates(load_request_for(adapter, fills_in_turn=True)) == IN_TURN


@pytest.mark.parametrize('in_turn', [False, True])
@pytest.mark.parametrize('full', [NAMES[:2], NAMES[3:], NAMES])
def test_full_servers_come_last(full, in_turn):
    found = candidates(load_request_for('a', full=full, fills_in_turn=in_turn))
    room = len(NAMES) - len(full)
    assert set(found[room:]) == set(full)
    assert found[room:] == rank_servers('a', '1', full)
    if in_turn:
        not_full = tuple(name for name in IN_TURN if name not in full)
        assert found[:room] == not_full


def test_tried_servers_are_not_asked():
    found = candidates(
        load_request_for('a', excluded=NAMES[:2], full=NAMES[:3])
    )
    assert set(found) == set(NAMES[2:])
    assert found[-1] == NAMES[2]


@pytest.mark.parametrize(
    ('weights', 'in_turn'),
    [
        (Weights(), False),
        (Weights(stall_weight=4, batch_weight=0.25), False),
        (Weights(stall_weight=1, batch_weight=4), True),
    ],
)
def test_weights_decide(weights, in_turn):
    assert weights.fills_in_turn is in_turn
