"""Loads go to engines that held the adapter recently.

Guards against adapters that are fetched from the weight store again, on another
engine than the one that still has a copy in its memory.
"""

import placement_simulation
import pytest
from placement_simulation import PlacementSimulation, choose_as_gateways
from test_gateway_placement import candidate

from wasabicross.gateway.backend import AdapterKey
from wasabicross.gateway.messages import (
    HeldAdapter,
    HeldAdaptersUpdate,
    ServerState,
)
from wasabicross.gateway.placement import choose_server
from wasabicross.gateway.view import FleetView
from wasabicross.gateway.warm_copies import WarmCopies

A = AdapterKey('m0', 'a1')
HELD_A = HeldAdapter('m0', 'a1', 2)
REQUESTS_PER_S = 140.0


def state(start_ms=5, held=(HELD_A,)):
    return ServerState('s1', start_ms, 0, 0, True, held)


def held_change(gained=(), lost=()):
    return HeldAdaptersUpdate('s1', 5, True, gained, lost)


@pytest.mark.parametrize(
    ('messages', 'version'),
    [
        ((state(),), 0),
        ((state(), held_change(lost=(HELD_A,))), 2),
        # A complete state shows a change that was missed.
        ((state(), state(held=())), 2),
        # An engine that restarted has no copies.
        ((state(), held_change(lost=(HELD_A,)), state(start_ms=6)), 0),
        ((state(), state(start_ms=6, held=())), 0),
    ],
)
def test_copies_are_known_from_the_reports_of_owners(messages, version):
    view = FleetView()
    for message in messages:
        if isinstance(message, ServerState):
            view.on_state(message, 0)
        else:
            view.on_held_change(message, 0)
    assert view.warm_copies.version('s1', A) == version


def test_the_oldest_copies_are_forgotten():
    copies = WarmCopies()
    for number in range(100):
        copies.on_unloaded('s1', AdapterKey('m0', f'a{number}'), 1)
    known = [
        number
        for number in range(100)
        if copies.version('s1', AdapterKey('m0', f'a{number}'))
    ]
    assert known == list(range(52, 100))


@pytest.mark.parametrize(
    ('fields', 'is_chosen'),
    [
        ({}, True),
        ({'requests': 6}, True),
        # It would wait there for a slot, or for long prompts.
        ({'spare_slots': 0}, False),
        ({'prefill_share': 1}, False),
    ],
)
def test_a_load_goes_where_a_copy_lies(fields, is_chosen):
    servers = [candidate(f's{number}') for number in range(8)]
    first = choose_server('a1', 1, servers).server_id
    warm = next(each for each in servers if each.server_id != first)
    others = [each for each in servers if each is not warm]
    choice = choose_server(
        'a1', 1, [*others, warm._replace(is_warm=True, **fields)]
    )
    assert (choice.server_id == warm.server_id) is is_chosen


class WarmCopySimulation(PlacementSimulation):
    """Simulate engines that keep copies of the adapters that they held.

    :param knows_copies: whether gateways know of the copies.
    """

    def __init__(self, knows_copies):
        super().__init__(choose_as_gateways, REQUESTS_PER_S)
        self.knows_copies = knows_copies
        self.copies = WarmCopies()
        self.fetches = 0

    def _candidates(self, adapter):
        return [
            each._replace(
                is_warm=self.knows_copies
                and self._has_copy(each.server_id, adapter)
            )
            for each in super()._candidates(adapter)
        ]

    def _has_copy(self, server_id, adapter):
        return self.copies.version(server_id, AdapterKey('m0', adapter)) > 0

    def _load(self, engine, adapter):
        before = set(self.held[engine])
        super()._load(engine, adapter)
        self.fetches += not self._has_copy(str(engine), adapter)
        for lost in before - set(self.held[engine]):
            self.copies.on_unloaded(str(engine), AdapterKey('m0', lost), 1)


def test_fewer_adapters_are_fetched_where_copies_are_known(monkeypatch):
    monkeypatch.setattr(placement_simulation, 'DURATION_S', 45.0)
    known = WarmCopySimulation(knows_copies=True).run()
    unknown = WarmCopySimulation(knows_copies=False).run()
    assert known.fetches < 0.95 * unknown.fetches
