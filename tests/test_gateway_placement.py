"""Choice of the server for a request and for the load of its adapter."""

from collections import Counter

import pytest

from wasabicross.gateway.backend import AdapterKey, BackendServer
from wasabicross.gateway.candidate import Candidate
from wasabicross.gateway.configuration import EngineSpec, ModelSpec
from wasabicross.gateway.placement import (
    LoadOn,
    NoServer,
    RandomDraws,
    SendTo,
    choose_server,
    scarcest_model,
)

MODELS = (ModelSpec('m0', 40, 1), ModelSpec('m1', 40, 1))


def candidate(server_id, **fields):
    default = Candidate(
        server_id=server_id,
        held_version=0,
        takes_loads=True,
        spare_slots=1,
        requests=0,
        slots=10,
        is_local=True,
        is_healthy=True,
        is_reachable=True,
    )
    return default._replace(**fields)


def held(server_id, version=1, **fields):
    return candidate(server_id, held_version=version, **fields)


@pytest.mark.parametrize(
    ('candidates', 'choice'),
    [
        ([], NoServer('no server')),
        # A holder with free slots is preferred to a load.
        ([held('s1', requests=5), candidate('s2')], SendTo('s1')),
        ([held('s1', requests=5), held('s2', requests=2)], SendTo('s2')),
        # A server with an older version does not count as a holder.
        ([held('s1', version=0), held('s2', version=2)], SendTo('s2')),
        # Another copy is loaded only when all holders are full.
        ([held('s1', requests=9), candidate('s2')], LoadOn('s2')),
        ([held('s1', requests=9), candidate('s2', requests=9)], SendTo('s1')),
        (
            [held('s1', requests=9), candidate('s2', takes_loads=False)],
            SendTo('s1'),
        ),
        # No server holds the adapter, and none can load it.
        (
            [candidate('s1', takes_loads=False)],
            NoServer('nothing loads the adapter', lacks_loader=True),
        ),
        # An unhealthy server gets nothing while half are healthy.
        ([held('s1', is_healthy=False), held('s2', requests=5)], SendTo('s2')),
        # Servers in other data centres have a small penalty.
        ([held('s1', is_local=False), held('s2')], SendTo('s2')),
        ([held('s1', is_local=False), held('s2', requests=3)], SendTo('s1')),
    ],
)
def test_choice(candidates, choice):
    assert choose_server('a1', 1, candidates) == choice


@pytest.mark.parametrize(
    ('requests', 'replica_on'),
    [((0, 0), ''), ((5, 5), ''), ((6, 6), 's3'), ((7, 5), 's3')],
)
def test_a_replica_is_loaded_ahead_of_need(requests, replica_on):
    holders = [
        held('s1', requests=requests[0]),
        held('s2', requests=requests[1]),
    ]
    choice = choose_server('a1', 1, [*holders, candidate('s3')])
    assert choice.replica_on == replica_on
    without_replica = choose_server(
        'a1', 1, [*holders, candidate('s3')], RandomDraws(0, 0.9)
    )
    assert not without_replica.replica_on


def test_each_holder_gets_a_share_by_its_room():
    holders = [held('s1', requests=0), held('s2', requests=3)]
    chosen = Counter(
        choose_server('a1', 1, holders, RandomDraws(number / 100, 1)).server_id
        for number in range(100)
    )
    assert chosen['s1'] > chosen['s2'] > 25


def test_roomy_homes_go_first():
    servers = [candidate(f's{number}') for number in range(8)]
    first = choose_server('a1', 1, servers).server_id
    busy = [
        each._replace(requests=6) if each.server_id == first else each
        for each in servers
    ]
    assert choose_server('a1', 1, busy).server_id != first


def test_a_load_goes_where_a_slot_can_be_had():
    servers = [candidate(f's{number}') for number in range(8)]
    first = choose_server('a1', 1, servers).server_id
    in_use = [
        each._replace(spare_slots=0) if each.server_id == first else each
        for each in servers
    ]
    assert choose_server('a1', 1, in_use).server_id != first
    # If no engine has a slot, the load waits at its first choice for a run to end.
    all_in_use = [each._replace(spare_slots=0) for each in servers]
    assert choose_server('a1', 1, all_in_use) == LoadOn(first, False)


def test_no_server_is_shut_out_when_most_look_unsound():
    unhealthy = [held(f's{number}', is_healthy=False) for number in range(3)]
    candidates = [*unhealthy, held('s9', requests=8)]
    choice = choose_server('a1', 1, candidates)
    assert choice.server_id in {'s0', 's1', 's2'}


def test_what_cannot_be_reached_is_not_tried():
    unreachable = [
        held(f's{number}', is_reachable=False) for number in range(3)
    ]
    local = held('s9', requests=8)
    assert choose_server('a1', 1, [*unreachable, local]) == SendTo('s9')
    assert choose_server('', 0, [*unreachable, local]) == SendTo('s9')
    # If no server is in reach, the request is refused at once; probes continue.
    nobody = NoServer('no server in reach')
    assert choose_server('a1', 1, unreachable) == nobody


def test_new_version_goes_beside_the_old_one():
    old = held('s1', version=1)
    choice = choose_server('a1', 2, [old, candidate('s2')])
    assert choice == LoadOn('s2')
    assert choose_server('a1', 2, [old]) == LoadOn('s1')


def test_homes_last_when_a_server_goes():
    servers = [candidate(f's{number}') for number in range(6)]
    names = [f'a{number}' for number in range(300)]
    before = {name: choose_server(name, 1, servers) for name in names}
    after = {name: choose_server(name, 1, servers[1:]) for name in names}
    moved = [name for name in names if before[name] != after[name]]
    assert all(before[name] == LoadOn('s0') for name in moved)
    loads_by_server = Counter(choice.server_id for choice in before.values())
    assert min(loads_by_server.values()) > 25


def server(models):
    return BackendServer(
        's1', 'llm', '127.0.0.1', 1, 'dc', 4, False, {}, frozenset(models), 0
    )


@pytest.mark.parametrize(
    ('memory_mb', 'holdings', 'model'),
    [
        (50, [], 'm0'),
        (50, [('m0',), ('m0',), ('m1',)], 'm1'),
        (50, [('m1',)], 'm0'),
        # A model is not loaded if no memory is left for an adapter.
        (40, [], ''),
    ],
)
def test_empty_server_loads_the_scarcest_model(memory_mb, holdings, model):
    engine = EngineSpec(5, memory_mb, MODELS)
    servers = [server(models) for models in holdings]
    assert scarcest_model(engine, servers) == model


@pytest.mark.parametrize(
    ('memory_mb', 'models', 'slots'),
    [(50, {'m0'}, 5), (43, {'m0'}, 3), (100, {'m0', 'm1'}, 5), (39, {'m0'}, 0)],
)
def test_slots_end_where_memory_does(memory_mb, models, slots):
    engine = EngineSpec(5, memory_mb, MODELS)
    assert engine.adapter_capacity(frozenset(models)) == slots


def test_key_of_a_base_model_names_no_adapter():
    assert AdapterKey('m0', '').adapter == ''
