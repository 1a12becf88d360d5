"""What a gateway knows of the software version that began a stream."""

import random

import pytest
from gateway_parts import CONFIGURATION, server_entry
from version_parts import HALF, OLD

from wasabicross.gateway.changes import ConfigurationUpdate
from wasabicross.gateway.configuration import ServiceShare
from wasabicross.gateway.dialect import RequestInfo
from wasabicross.gateway.stream_divisions import (
    BUCKETS,
    MAX_KNOWLEDGE_AGE_S,
    SPREAD_S,
    FormerBuckets,
    StreamDivision,
    bucket_of,
    first_division,
    next_division,
    without_lapsed,
)
from wasabicross.gateway.streams.stream_versions import (
    StreamVersions,
    why_unsuitable,
)
from wasabicross.gateway.streams.take_ups import Knowledge, service_of
from wasabicross.gateway.view import FleetView

ROUTE = CONFIGURATION.route_for('a.example', '/stream-resumable/x')
NEW = ('v2',) * BUCKETS
NOW_S = 100.0
LIMIT_S = 60.0


def view_of(versions, division=None, confirmed_s=NOW_S):
    view = FleetView()
    view.apply(ConfigurationUpdate(CONFIGURATION), 0)
    for number, version in enumerate(versions):
        view.apply(server_entry(f'i-{number}', 'llm', 1, None, version), 0)
    if division is not None:
        view.divisions['llm'] = division
    view.confirmed_s = confirmed_s
    return view


def info_of(resumes, time_left_s=LIMIT_S, request_id='r2'):
    return RequestInfo(request_id, None, time_left_s, '3', resumes=resumes)


def id_of(buckets, version):
    ids = (f'{number:x}' for number in range(1000))
    return next(each for each in ids if buckets[bucket_of(each)] == version)


MOVED = StreamDivision(3, NEW, former=(FormerBuckets(OLD, NOW_S - 10),))
UNKNOWN = Knowledge.version_unknown
KNOWN = {
    'division': (('v1', 'v2'), StreamDivision(1, HALF), '9c', LIMIT_S, 'v2'),
    'one version': (('v2', 'v2'), None, '9c', LIMIT_S, 'v2'),
    'none stated': (('', ''), None, '9c', LIMIT_S, ''),
    'none and one': (('', 'v1'), None, '9c', LIMIT_S, UNKNOWN),
    'several versions': (('v1', 'v2'), None, '9c', LIMIT_S, UNKNOWN),
    'no server': ((), None, '9c', LIMIT_S, UNKNOWN),
    'began after the move': (('v2',), MOVED, '9c', LIMIT_S - 4, 'v2'),
    'whole limit stated': (('v2',), MOVED, '9c', LIMIT_S, UNKNOWN),
    'began before the move': (('v2',), MOVED, '9c', LIMIT_S - 20, UNKNOWN),
    'just before the move was known': (
        ('v2',),
        MOVED,
        '9c',
        LIMIT_S - 10 - SPREAD_S,
        UNKNOWN,
    ),
    'no time limit': (('v2',), MOVED, '9c', None, UNKNOWN),
    'longer limit than known': (('v2',), MOVED, '9c', 300.0, UNKNOWN),
    'no limit, one version': (('v1',), StreamDivision(1, OLD), '', None, 'v1'),
    'no attempt named': (
        ('v1', 'v2'),
        StreamDivision(1, HALF),
        '',
        LIMIT_S,
        UNKNOWN,
    ),
    'long attempt': (
        ('v1', 'v2'),
        StreamDivision(1, HALF),
        'x' * 5000,
        LIMIT_S,
        HALF[bucket_of('x' * 5000)],
    ),
    'odd attempt': (
        ('v1', 'v2'),
        StreamDivision(1, HALF),
        '\xff\x01',
        LIMIT_S,
        HALF[bucket_of('\xff\x01')],
    ),
}


@pytest.mark.parametrize(
    ('versions', 'division', 'resumes', 'time_left_s', 'expected'),
    KNOWN.values(),
    ids=KNOWN,
)
def test_version_of_a_take_up(
    versions, division, resumes, time_left_s, expected
):
    if resumes == '9c' and division and division.buckets == HALF:
        resumes = id_of(HALF, 'v2')
    streams = StreamVersions(view_of(versions, division))
    take_up = streams.for_take_up(ROUTE, info_of(resumes, time_left_s), NOW_S)
    if expected is UNKNOWN:
        assert take_up.version is None
        assert take_up.refusal.retry_after_s == 60
    else:
        assert take_up.version == expected
        assert take_up.refusal is None


@pytest.mark.parametrize(
    ('stated', 'since_s', 'time_left_s', 'expected'),
    [
        ([5.0], NOW_S - LIMIT_S, 3.9, 'v2'),
        ([5.0], NOW_S - LIMIT_S + 1, 3.9, UNKNOWN),
        ([30.0, 5.0], NOW_S - LIMIT_S, 3.9, UNKNOWN),
        ([None], NOW_S - LIMIT_S, 3.9, UNKNOWN),
    ],
)
def test_caller_of_a_route_with_a_short_limit_began_after_the_move(
    stated, since_s, time_left_s, expected
):
    """Callers of another route of the service wait for 60 s."""
    streams = StreamVersions(view_of(('v2',), MOVED))
    for each in stated:
        info = RequestInfo('r1', None, each, '')
        streams.note_time_limit(ROUTE, 'llm', info, since_s)
    take_up = streams.for_take_up(ROUTE, info_of('9c', time_left_s), NOW_S)
    assert (take_up.version or UNKNOWN) == expected


def test_callers_that_take_streams_up_do_not_shorten_the_limit():
    streams = StreamVersions(view_of(('v2',), MOVED))
    since_s = NOW_S - LIMIT_S
    streams.note_time_limit(ROUTE, 'llm', info_of('9c', 4.0), since_s)
    take_up = streams.for_take_up(ROUTE, info_of('9c', 4.0), NOW_S)
    assert take_up.known_by is UNKNOWN


@pytest.mark.parametrize('division', [None, StreamDivision(1, OLD)])
@pytest.mark.parametrize(
    ('age_s', 'is_known'),
    [(MAX_KNOWLEDGE_AGE_S, True), (MAX_KNOWLEDGE_AGE_S + 0.1, False)],
)
def test_old_knowledge_resumes_no_stream(division, age_s, is_known):
    view = view_of(('v1',), division, NOW_S - age_s)
    take_up = StreamVersions(view).for_take_up(ROUTE, info_of('9c'), NOW_S)
    assert (take_up.known_by is Knowledge.too_old) is not is_known


def test_server_that_leaves_may_have_begun_a_stream():
    view = view_of(('v1', 'v2'))
    view.servers['i-1'] = view.servers['i-1']._replace(is_leaving=True)
    streams = StreamVersions(view)
    take_up = streams.for_take_up(ROUTE, info_of('9c'), NOW_S)
    assert take_up.known_by is UNKNOWN
    assert take_up.possible == {'v1', 'v2'}
    assert not streams.serves('llm', 'v2')


@pytest.mark.parametrize(
    ('versions', 'division', 'expected'),
    [
        (('v1', 'v1'), None, 'v1'),
        (('', ''), None, ''),
        (('v1', 'v2'), None, None),
        ((), None, None),
        (('v1',), MOVED, 'v2'),
    ],
)
def test_version_that_begins_a_stream(versions, division, expected):
    streams = StreamVersions(view_of(versions, division))
    assert streams.for_new('llm', '9c', NOW_S) == expected


SPLIT = ROUTE._replace(shares=(ServiceShare('llm', 1), ServiceShare('desk', 1)))


def test_take_up_goes_to_the_service_of_the_attempt_that_it_names():
    ids = [f'{number:x}' for number in range(50)]
    began_at = [SPLIT.service_for(each) for each in ids]
    assert set(began_at) == {'llm', 'desk'}
    asked = [service_of(SPLIT, info_of(each)) for each in ids]
    assert asked == began_at
    first = [
        service_of(
            SPLIT, info_of(ids[0], request_id=each)._replace(last_event_id='')
        )
        for each in ids
    ]
    assert first == began_at


def test_split_that_changed_sends_some_take_ups_to_the_other_service():
    """The gateway asked can't tell that; SPLIT isn't known to it any more."""
    changed = SPLIT._replace(
        shares=(ServiceShare('llm', 1), ServiceShare('desk', 3))
    )
    ids = [f'{number:x}' for number in range(200)]
    moved = [
        each
        for each in ids
        if service_of(changed, info_of(each)) != SPLIT.service_for(each)
    ]
    assert 20 < len(moved) < 80


def test_take_up_on_a_split_route_that_names_no_attempt_is_of_no_version():
    streams = StreamVersions(view_of(('v1',), StreamDivision(1, OLD)))
    take_up = streams.for_take_up(SPLIT, info_of(''), NOW_S)
    assert take_up.known_by is UNKNOWN


def test_longest_time_limit_is_bounded_whatever_callers_state():
    view = view_of(())
    streams = StreamVersions(view)
    for time_left_s in (None, 20.0, 1e12, 30.0):
        info = RequestInfo('r1', None, time_left_s, '')
        streams.note_time_limit(ROUTE, 'llm', info, NOW_S)
    assert view.divisions.time_limits.longest_s('llm') == 600


@pytest.mark.parametrize(
    ('listed', 'pinned', 'reason'),
    [
        ({}, None, ''),
        ({}, 'v1', ''),
        ({}, 'v2', 'other software version'),
        ({'software_version': 'v2'}, None, 'server changed'),
        ({'start_ms': 7}, 'v1', 'server changed'),
        (None, 'v1', 'server changed'),
    ],
)
def test_server_that_no_longer_suits_a_stream(listed, pinned, reason):
    view = view_of(('v1',))
    chosen = view.servers.pop('i-0')
    if listed is not None:
        view.servers['i-0'] = chosen._replace(**listed)
    assert why_unsuitable(view, chosen, pinned) == reason


STEP_S = 0.25

#: Longest time between two answers of the store to a gateway in touch.
IN_TOUCH_S = SPREAD_S - 2 * STEP_S


class History:
    """Versions that come and go, with gateways that learn of it late.

    Each gateway is now and then cut off from the store for up to 20 s.
    """

    def __init__(self, seed):
        self.rng = random.Random(seed)
        self.now_s = 0.0
        self.slots = {'v1': 100}
        self.division = first_division(['v1'], 0)
        self.views = [view_of((), self.division, 0) for _ in range(5)]
        self.news_due_s = [0.0] * len(self.views)
        self.streams = []
        self.went_on = 0
        self.joined = []

    def play(self, duration_s):
        """Change versions and divisions, begin streams and take them up."""
        while self.now_s < duration_s:
            self.now_s += STEP_S
            if self.rng.random() < 0.03:
                self.change_servers()
            if self.now_s % 1 == 0:
                self.division = without_lapsed(
                    next_division(self.division, self.slots, self.now_s),
                    self.now_s,
                )
            for number, view in enumerate(self.views):
                if self.now_s >= self.news_due_s[number]:
                    self.learn(view)
                    self.news_due_s[number] = self.now_s + self.next_news_s()
            self.begin_streams()
            self.take_up_streams()

    def change_servers(self):
        version = self.rng.choice(['v1', 'v2', 'v3'])
        if self.slots.keys() - {version} and self.rng.random() < 0.3:
            self.slots.pop(version, None)
        else:
            self.slots[version] = self.rng.choice([20, 100, 200])

    def next_news_s(self):
        if self.rng.random() < 0.02:
            return self.rng.uniform(3, 20)
        return self.rng.uniform(0, IN_TOUCH_S)

    def learn(self, view):
        """Tell a gateway what the store holds, with times of its own."""
        known = view.divisions['llm']
        if known.number != self.division.number:
            is_known = known.announced == self.division.announced
            view.divisions['llm'] = self.division._replace(
                announced_s=known.announced_s if is_known else view.confirmed_s,
                former=self.former_as_learnt(known),
            )
        view.confirmed_s = self.now_s
        view.servers.clear()
        for version in self.slots:
            view.apply(server_entry(version, 'llm', 1, None, version), 0)

    def former_as_learnt(self, known):
        learnt = {each.buckets: each.ended_s for each in known.former}
        return tuple(
            each._replace(
                ended_s=learnt.get(each.buckets, 0)
                if learnt.get(each.buckets, 0) >= each.ended_s
                else self.now_s
            )
            for each in self.division.former
        )

    def begin_streams(self):
        for _ in range(2):
            view = self.rng.choice(self.views)
            if self.now_s - view.confirmed_s > MAX_KNOWLEDGE_AGE_S:
                continue
            request_id = f'{self.rng.getrandbits(40):x}'
            streams = StreamVersions(view)
            if not streams.may_begin('llm', request_id, self.now_s):
                continue
            version = streams.for_new('llm', request_id, self.now_s)
            if version in self.slots:
                end_s = self.now_s + self.rng.uniform(5, LIMIT_S)
                self.streams.append((request_id, version, end_s))

    def take_up_streams(self):
        self.streams = [each for each in self.streams if self.now_s < each[2]]
        count = min(6, len(self.streams))
        for request_id, began, end_s in self.rng.sample(self.streams, count):
            streams = StreamVersions(self.rng.choice(self.views))
            info = info_of(request_id, end_s - self.now_s)
            version = streams.for_take_up(ROUTE, info, self.now_s).version
            if version in self.slots and streams.serves('llm', version):
                self.went_on += 1
                if version != began:
                    self.joined.append((self.now_s, request_id))


@pytest.mark.parametrize('seed', range(30))
def test_no_history_joins_two_versions(seed):
    history = History(seed)
    history.play(150)
    assert not history.joined
    assert history.went_on > 100
