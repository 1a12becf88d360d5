"""What is written of a division, when, and by which gateway."""

import asyncio
import itertools
import math

import pytest

from wasabicross.gateway.backend import BackendServer
from wasabicross.gateway.changes import ServerEntryUpdate
from wasabicross.gateway.configuration import (
    CallerLimits,
    Configuration,
    Route,
    RouteKind,
    ServiceShare,
)
from wasabicross.gateway.server_notices import ServerNotice
from wasabicross.gateway.stream_division_records import (
    DivisionRecord,
    stored_division,
)
from wasabicross.gateway.stream_divisions import (
    ANNOUNCED_S,
    BUCKETS,
    MAX_KNOWLEDGE_AGE_S,
    FormerBuckets,
    StreamDivision,
)
from wasabicross.gateway.stream_time_limits import StreamTimeLimits
from wasabicross.gateway.streams.division_decisions import (
    RANK_DELAY_S,
    SETTLED_S,
    ServiceKnowledge,
    VersionSlots,
    due_write,
    updated_slots,
    write_delay_s,
)
from wasabicross.gateway.streams.division_keeper import (
    DivisionKeeper,
    resumable_limits_s,
    slots_by_version,
)
from wasabicross.gateway.view import FleetView

OLD = ('v1',) * BUCKETS
HALF = OLD[:16] + ('v2',) * 16
NEW = ('v2',) * BUCKETS
NO_RECORD = DivisionRecord(None, 0)
BOTH = {'v1': 64, 'v2': 64}


def decided(division, slots, now_s=100, since_s=0, record=None, limit_s=60):
    if division is not None and record is None:
        record = DivisionRecord(stored_division(division, now_s), 9)
    knowledge = ServiceKnowledge(
        division,
        record or NO_RECORD,
        VersionSlots(slots, since_s, since_s),
        limit_s,
        0,
    )
    return due_write(knowledge, now_s)


@pytest.mark.parametrize(
    ('slots', 'now_s', 'first', 'former'),
    [
        ({'v1': 64}, SETTLED_S, 'v1', []),
        ({'v1': 64, 'v2': 128}, SETTLED_S, 'v2', [NEW, OLD]),
        ({'v2': 64, 'v1': 64}, SETTLED_S, 'v1', [OLD, NEW]),
        ({'v1': 64, 'v2': 0}, SETTLED_S, 'v1', []),
        ({'v1': 64}, SETTLED_S - 0.1, None, []),
        ({'v1': 0}, SETTLED_S, None, []),
        ({}, SETTLED_S, None, []),
    ],
)
def test_first_division(slots, now_s, first, former):
    due = decided(None, slots, now_s, limit_s=20)
    if first is None:
        assert due is None
        return
    assert due.division.number == 1
    assert due.division.buckets == (first,) * BUCKETS
    assert due.division.time_limit_s == 20
    assert [each.buckets for each in due.division.former] == former
    assert not due.is_own_knowledge


@pytest.mark.parametrize(
    ('division', 'slots', 'since_s', 'expected'),
    [
        (StreamDivision(1, OLD), {'v1': 64}, 0, None),
        (StreamDivision(1, OLD), {}, 0, None),
        # A change that is announced waits until the slots are stable.
        (StreamDivision(1, OLD), BOTH, 99.5, None),
        (StreamDivision(1, OLD), BOTH, 99, (OLD, HALF)),
        # One of a version that has left doesn't wait.
        (StreamDivision(1, OLD), {'v2': 64}, 100, (NEW, ())),
        (StreamDivision(1, OLD), {'v1': 0, 'v2': 64}, 100, (NEW, ())),
        # An announced change comes into force, or ends with its version.
        (
            StreamDivision(2, OLD, HALF, 100.1 - ANNOUNCED_S),
            BOTH,
            0,
            None,
        ),
        (
            StreamDivision(2, OLD, HALF, 100 - ANNOUNCED_S),
            BOTH,
            100,
            (HALF, ()),
        ),
        (StreamDivision(2, OLD, HALF, 99), {'v1': 64}, 100, (OLD, ())),
        (StreamDivision(2, OLD, HALF, 99), {'v2': 64}, 100, (NEW, ())),
    ],
)
def test_change(division, slots, since_s, expected):
    due = decided(division, slots, since_s=since_s)
    if expected is None:
        assert due is None
        return
    assert (due.division.buckets, due.division.announced) == expected
    assert due.division.number == division.number + 1
    assert (due.reason, due.is_own_knowledge) == ('change', False)


FORMER = StreamDivision(3, NEW, former=(FormerBuckets(OLD, 99.5),))


@pytest.mark.parametrize(
    ('stored', 'limit_s', 'expected'),
    [
        (FORMER, 60, None),
        (FORMER, 20, None),
        (None, 60, ('lost', 4, 60)),
        (StreamDivision(2, OLD), 60, ('lost', 4, 60)),
        (FORMER._replace(former=()), 60, ('former', 3, 60)),
        (FORMER, 70, ('time limit', 3, 70)),
    ],
)
def test_record_that_lacks_what_a_gateway_knows(stored, limit_s, expected):
    content = stored and stored_division(stored, 100)
    due = decided(
        FORMER, {'v2': 64}, record=DivisionRecord(content, 9), limit_s=limit_s
    )
    if expected is None:
        assert due is None
        return
    division = due.division
    assert due.is_own_knowledge
    assert (due.reason, division.number, division.time_limit_s) == expected
    assert division.former == FORMER.former


def test_age_is_written_by_owners():
    record = DivisionRecord(stored_division(FORMER, 100), 9)
    due = decided(FORMER, {'v2': 64}, now_s=100.6, record=record)
    assert (due.reason, due.is_own_knowledge) == ('age', False)
    assert due.division == FORMER


@pytest.mark.parametrize(
    ('slots', 'reason'), [({'v2': 64}, 'lost'), ({'v1': 64}, 'change')]
)
def test_lapsed_buckets_are_not_written_with_a_new_number(slots, reason):
    division = StreamDivision(3, NEW, former=(FormerBuckets(HALF, -50),))
    due = decided(division, slots, record=DivisionRecord(None, 9))
    assert due.reason == reason
    assert HALF not in [each.buckets for each in due.division.former]


def test_slots_that_go_on_changing_delay_a_change_for_a_while():
    slots = None
    stable = []
    for step in range(60):
        now_s = 10 + step / 10
        slots = updated_slots(slots, {'v1': 64, 'v2': step}, now_s)
        stable.append(slots.is_stable(now_s))
    assert not any(stable[:39])
    assert all(stable[41:])
    slots = updated_slots(slots, {'v1': 64, 'v2': 59}, 40)
    assert slots.is_stable(40)
    assert not updated_slots(slots, {'v2': 1}, 41).is_stable(41)


GATEWAYS = [f'front-{number}' for number in range(360)]


def delays_s(owners, is_own_knowledge, service='llm'):
    return [
        write_delay_s(
            service,
            instance,
            owners,
            GATEWAYS,
            is_own_knowledge=is_own_knowledge,
        )
        for instance in GATEWAYS
    ]


@pytest.mark.parametrize(
    ('owners', 'is_own_knowledge', 'writers'),
    [
        (GATEWAYS[:8], False, 8),
        (GATEWAYS[:1] * 8, False, 1),
        (GATEWAYS[:8], True, 360),
        ([], False, 360),
    ],
)
def test_of_360_gateways_one_writes_at_a_time(
    owners, is_own_knowledge, writers
):
    found = [
        delay_s
        for delay_s in delays_s(owners, is_own_knowledge)
        if delay_s is not None
    ]
    assert len(found) == writers
    found.sort()
    assert found[0] == 0
    assert all(
        after - before == pytest.approx(RANK_DELAY_S)
        for before, after in itertools.pairwise(found)
    )


def test_owners_write_first_and_services_begin_at_different_ones():
    found = delays_s(GATEWAYS[:8], is_own_knowledge=True)
    assert max(found[:8]) < min(found[8:])
    first = {
        delays_s(GATEWAYS[:8], False, f'service-{number}').index(0)
        for number in range(40)
    }
    assert len(first) > 4


def test_gateway_that_is_not_registered_yet_has_a_rank():
    delay_s = write_delay_s('llm', 'new', [], [], is_own_knowledge=False)
    assert delay_s == 0


def route(service, timeout_s, is_resumable=True):
    return Route(
        name=f'{service}-{timeout_s}',
        host='a.example',
        prefix=f'/{service}/{timeout_s}/',
        kind=RouteKind.streaming,
        timeout_s=timeout_s,
        target_s=0.4,
        gap_s=0,
        priority=1,
        shares=(ServiceShare(service, 1), ServiceShare(f'{service}-b', 1)),
        max_servers=2,
        is_resumable=is_resumable,
    )


def configuration(*routes):
    return Configuration.from_parts(
        1, routes, {}, CallerLimits(4096, 65536, 0.5, 5)
    )


def test_time_limits_of_resumable_services():
    cfg = configuration(
        route('llm', 20), route('llm', 8), route('x', 9, is_resumable=False)
    )
    assert resumable_limits_s(cfg) == {'llm': 20, 'llm-b': 20}
    cfg = configuration(route('llm', 1e12))
    assert resumable_limits_s(cfg)['llm'] < 86400


@pytest.mark.parametrize(
    ('stated_s', 'longest_s'),
    [
        ([], 0),
        ([0.1], 1),
        ([10, 10.5, 12], 12),
        ([30, 5], 30),
        ([math.inf], 600),
        ([1e9, 1e10], 600),
    ],
)
def test_longest_time_limit_that_callers_stated(stated_s, longest_s):
    limits = StreamTimeLimits()
    for limit_s in stated_s:
        limits.note_time_limit('llm', limit_s)
    assert limits.longest_s('llm') == longest_s
    assert limits.longest_s('other') == 0


def server(number, version, service='llm', is_leaving=False):
    return BackendServer(
        server_id=f'i-{number}',
        service=service,
        host='10.0.0.1',
        port=1,
        data_centre='dc',
        slots=64,
        is_leaving=is_leaving,
        held={},
        models=frozenset(),
        start_ms=1,
        software_version=version,
    )


def view_of(*servers):
    view = FleetView()
    for each in servers:
        view.apply(ServerEntryUpdate(each), 0)
    return view


def test_slots_of_servers_that_leave_do_not_count():
    noticed = server(4, 'v1')
    view = view_of(
        server(1, 'v1'),
        server(2, 'v2'),
        server(3, 'v3', is_leaving=True),
        noticed,
        server(5, 'v2', 'other'),
    )
    view.notices.on_notice(noticed, ServerNotice(True, 0), 0)
    slots = slots_by_version(view)
    assert slots['llm'] == {'v1': 64, 'v2': 64}
    assert slots['other'] == {'v2': 64}
    assert slots['none'] == {}


@pytest.mark.parametrize(
    ('servers', 'former'),
    [
        ([server(1, 'v2'), server(2, 'v1', is_leaving=True)], [NEW, OLD]),
        ([server(1, 'v2'), server(2, 'v2', is_leaving=True)], []),
        (
            [server(1, 'v2'), server(2, 'v1', 'other', is_leaving=True)],
            [],
        ),
    ],
)
def test_first_division_leaves_out_no_version_whose_servers_all_leave(
    monkeypatch, servers, former
):
    """They may have begun streams, and still run."""
    monkeypatch.setattr(
        'wasabicross.gateway.streams.division_keeper.now_s', lambda: 100
    )
    view = view_of(*servers)
    view.configuration = configuration(route('llm', 20))
    view.content_known_since_s = 0
    view.confirmed_s = 100
    store = CountingStore()
    asyncio.run(DivisionKeeper('a', store, view).check())
    (stored,) = store.stored
    assert stored.buckets == NEW
    assert [each.buckets for each in stored.former] == former


class CountingStore:
    """Record writes, and refuse each."""

    def __init__(self):
        self.writes = []
        self.stored = []

    async def write_division(self, service, division, revision, now_s):
        """Record a write."""
        self.writes.append((service, division, revision))
        self.stored.append(stored_division(division, now_s))


@pytest.mark.parametrize(
    ('age_s', 'writes'),
    [
        (0, 1),
        (MAX_KNOWLEDGE_AGE_S - 0.1, 1),
        (MAX_KNOWLEDGE_AGE_S + 0.1, 0),
        (math.inf, 0),
    ],
)
def test_outdated_view_decides_nothing(monkeypatch, age_s, writes):
    monkeypatch.setattr(
        'wasabicross.gateway.streams.division_keeper.now_s', lambda: 100
    )
    view = view_of(server(1, 'v1'))
    view.configuration = configuration(route('llm', 20))
    view.content_known_since_s = 0
    view.confirmed_s = 100 - age_s
    store = CountingStore()
    asyncio.run(DivisionKeeper('a', store, view).check())
    assert len(store.writes) == writes


def test_keeper_frozen_before_its_write_states_no_early_end(monkeypatch):
    """Buckets stay in force until the write, however late it is sent."""
    clock_s = itertools.count(100, 10)
    monkeypatch.setattr(
        'wasabicross.gateway.streams.division_keeper.now_s',
        lambda: next(clock_s),
    )
    view = view_of(server(1, 'v2'))
    view.configuration = configuration(route('llm', 20))
    view.confirmed_s = math.inf
    view.divisions['llm'] = StreamDivision(1, OLD)
    store = CountingStore()
    asyncio.run(DivisionKeeper('a', store, view).check())
    (stored,) = store.stored
    assert (stored.buckets, stored.former[0]) == (NEW, (OLD, 0))
