"""Buckets that move at once while servers of their former version still run."""

import asyncio

import pytest
from gateway_parts import server_entry
from test_gateway_version_knowledge import (
    LIMIT_S,
    NOW_S,
    ROUTE,
    History,
    id_of,
    info_of,
    view_of,
)
from version_parts import OLD

from wasabicross.gateway.stream_divisions import (
    ANNOUNCED_S,
    MAX_KNOWLEDGE_AGE_S,
    FormerBuckets,
    StreamDivision,
    bucket_of,
    next_division,
)
from wasabicross.gateway.streams.division_keeper import DivisionKeeper
from wasabicross.gateway.streams.stream_versions import StreamVersions
from wasabicross.gateway.streams.take_ups import Knowledge

MOVED_S = NOW_S - 10

#: Longest time for which a late gateway still sends to a version that has left.
LATEST_S = MAX_KNOWLEDGE_AGE_S

#: Longest wait of a take-up until the store has confirmed the division.
CONFIRMATION_S = 1.8

#: Time for which servers that leave still take what is sent to them.
DRAIN_S = 4.0


def leaving(view, *server_ids):
    """Mark servers as leaving."""
    for each in server_ids:
        view.servers[each] = view.servers[each]._replace(is_leaving=True)


def view_after_move(versions, last_listed_s):
    """Return a view that knows the move from v1 to v2."""
    before = StreamDivision(1, OLD)
    moved = next_division(before, {'v2': 64}, MOVED_S)
    view = view_of(versions, moved)
    if last_listed_s is not None:
        view.divisions.note_listed('llm', 'v1', last_listed_s)
    return view


def test_gateway_out_of_touch_begins_no_stream_that_another_one_joins():
    """Its servers of v1 leave, which it hasn't heard."""
    out_of_touch = view_of(('v1', 'v2'), StreamDivision(1, OLD), MOVED_S - 1)
    began_s = MOVED_S + 4
    assert StreamVersions(out_of_touch).may_begin('llm', 'r1', began_s)
    in_touch = view_after_move(('v2', 'v1'), None)
    leaving(in_touch, 'i-1')
    asyncio.run(DivisionKeeper('a', None, in_touch).check())
    left_s = 60 - (NOW_S - began_s)
    streams = StreamVersions(in_touch)
    found = streams.for_take_up(ROUTE, info_of('r1', left_s), NOW_S)
    assert found.version != 'v2'
    assert found.possible == {'v1', 'v2'}


@pytest.mark.parametrize(
    ('began_s', 'last_listed_s', 'known_by'),
    [
        (MOVED_S + 5.1, None, Knowledge.division),
        (MOVED_S + 8, MOVED_S + 8 - LATEST_S, Knowledge.version_unknown),
        (MOVED_S + 8, MOVED_S + 7.9 - LATEST_S, Knowledge.division),
        (MOVED_S + 4, None, Knowledge.version_unknown),
        (MOVED_S + 1, None, Knowledge.version_unknown),
    ],
)
def test_version_may_have_begun_streams_until_no_gateway_lists_its_servers(
    began_s, last_listed_s, known_by
):
    view = view_after_move(('v2',), last_listed_s)
    info = info_of('r1', 60 - (NOW_S - began_s))
    found = StreamVersions(view).for_take_up(ROUTE, info, NOW_S)
    assert found.known_by is known_by


def test_version_that_returns_may_have_begun_streams_before_it_had_left():
    """It has buckets again, also by the division that is known now."""
    view = view_after_move(('v1', 'v2'), MOVED_S + 4)
    half = (*OLD[:16], *('v2',) * 16)
    returned = view.divisions['llm']._replace(number=5, buckets=half)
    view.divisions['llm'] = returned
    resumes = id_of(half, 'v2')
    info = info_of(resumes, LIMIT_S - (NOW_S - MOVED_S - 4))
    found = StreamVersions(view).for_take_up(ROUTE, info, NOW_S)
    assert found.known_by is Knowledge.version_unknown


def test_version_that_still_has_buckets_began_no_streams_of_others():
    """Its servers are listed all the time; the change was announced."""
    before = StreamDivision(1, OLD)
    half = (*OLD[:16], *('v2',) * 16)
    moved = before._replace(number=3, buckets=half, former=())
    view = view_of(('v1', 'v2'), moved)
    view.divisions.note_listed('llm', 'v1', NOW_S)
    found = StreamVersions(view).for_take_up(ROUTE, info_of('r1'), NOW_S)
    assert found.known_by is Knowledge.division


class DrainingHistory(History):
    """Versions whose servers leave, and run for some seconds more.

    Take-ups wait for the store as those of a gateway do, and gateways that know
    the store as of 5 s ago still begin streams.
    """

    def __init__(self, seed):
        self.until_s = {}
        self.waiting = []
        self.refused = 0
        super().__init__(seed)

    def change_servers(self):
        """Change the servers; those of a version that goes run on."""
        before = set(self.slots)
        super().change_servers()
        for version in before - self.slots.keys():
            self.until_s[version] = self.now_s + DRAIN_S

    def runs(self, version):
        """Return whether a server of a version takes what is sent to it."""
        until_s = self.until_s.get(version, 0)
        return version in self.slots or self.now_s < until_s

    def learn(self, view):
        """Tell a gateway what the store holds, with servers that leave."""
        super().learn(view)
        for version in self.until_s.keys() - self.slots.keys():
            if self.runs(version):
                view.apply(server_entry(version, 'llm', 1, None, version), 0)
                leaving(view, version)
        for version in view.servers:
            view.divisions.note_listed('llm', version, self.now_s)
        waiting, self.waiting = self.waiting, []
        for each in waiting:
            if each[0] is view:
                self.decide(*each)
            else:
                self.waiting.append(each)

    def begin_streams(self):
        """Begin streams at gateways that aren't out of touch for long."""
        for _ in range(2):
            view = self.rng.choice(self.views)
            if self.now_s - view.confirmed_s > MAX_KNOWLEDGE_AGE_S:
                continue
            request_id = f'{self.rng.getrandbits(40):x}'
            streams = StreamVersions(view)
            if not streams.may_begin('llm', request_id, self.now_s):
                continue
            version = streams.for_new('llm', request_id, self.now_s)
            if streams.serves('llm', version) and self.runs(version):
                limit_s = self.rng.choice(
                    [LIMIT_S, self.rng.uniform(5, LIMIT_S)]
                )
                end_s = self.now_s + limit_s
                self.streams.append((request_id, version, end_s))

    def take_up_streams(self):
        """Take streams up at gateways that first hear from the store."""
        self.streams = [each for each in self.streams if self.now_s < each[2]]
        count = min(6, len(self.streams))
        for stream in self.rng.sample(self.streams, count):
            view = self.rng.choice(self.views)
            self.decide(view, stream, self.now_s)

    def decide(self, view, stream, asked_s):
        """Let a stream go on, wait or be refused."""
        request_id, began, end_s = stream
        streams = StreamVersions(view)
        info = info_of(request_id, end_s - asked_s)
        found = streams.for_take_up(ROUTE, info, self.now_s, asked_s)
        if found.is_unconfirmed and self.now_s == asked_s:
            self.waiting.append((view, stream, asked_s))
            return
        is_late = self.now_s > asked_s + CONFIRMATION_S
        if is_late or found.version is None:
            self.refused += 1
        elif self.runs(found.version) and streams.serves('llm', found.version):
            self.went_on += 1
            if found.version != began:
                self.joined.append((self.now_s, request_id))


@pytest.mark.parametrize('seed', [*range(20), 83, 199, 286, 371])
def test_no_history_with_servers_that_drain_joins_two_versions(seed):
    history = DrainingHistory(seed)
    history.play(150)
    assert not history.joined
    assert history.went_on > 100


def test_service_that_got_its_second_version_just_now_joins_no_stream():
    """A gateway 4 s behind has heard of neither version's change."""
    late = view_of(('v1',), StreamDivision(1, OLD), MOVED_S - 1)
    moved = next_division(StreamDivision(1, OLD), {'v2': 64}, MOVED_S)
    assert moved.version_for('r1') == 'v2'
    streams = StreamVersions(late)
    found = streams.for_take_up(ROUTE, info_of('r1'), MOVED_S + 3)
    assert found.version != 'v1'


def test_gateway_out_of_touch_for_long_begins_no_stream_that_is_joined():
    """Others have announced a change and put it in force meanwhile."""
    moved_s = NOW_S - 10
    out_of_touch = view_of(
        ('v1', 'v2'), StreamDivision(1, OLD), moved_s - ANNOUNCED_S - 1
    )
    began_s = moved_s + 4
    may_begin = StreamVersions(out_of_touch).may_begin('llm', 'r1', began_s)
    half = tuple(
        'v2' if each == bucket_of('r1') else 'v1' for each in range(32)
    )
    moved = StreamDivision(
        3, half, former=(FormerBuckets(OLD, moved_s),), time_limit_s=LIMIT_S
    )
    in_touch = StreamVersions(view_of(('v1', 'v2'), moved))
    info = info_of('r1', LIMIT_S - (NOW_S - began_s))
    found = in_touch.for_take_up(ROUTE, info, NOW_S)
    assert not may_begin or found.version != 'v2'
