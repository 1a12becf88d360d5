"""Servers that leave the list without a word, and serve on for a while."""

import pytest
from test_gateway_moves_at_once import DrainingHistory
from test_gateway_version_knowledge import (
    LIMIT_S,
    NOW_S,
    ROUTE,
    info_of,
    view_of,
)
from version_parts import OLD

from wasabicross.gateway.stream_divisions import (
    MAX_KNOWLEDGE_AGE_S,
    StreamDivision,
    next_division,
)
from wasabicross.gateway.streams.stream_versions import StreamVersions

MOVED_S = NOW_S - 10


@pytest.mark.parametrize('age_s', [0.0, 2.0, 2.6, 4.0, MAX_KNOWLEDGE_AGE_S])
def test_a_late_gateway_begins_no_stream_that_another_one_joins(age_s):
    """It still sends to servers that others no longer list."""
    late = view_of(('v1', 'v2'), StreamDivision(1, OLD), MOVED_S)
    began_s = MOVED_S + age_s
    may_begin = StreamVersions(late).may_begin('llm', 'r1', began_s)
    moved = next_division(StreamDivision(1, OLD), {'v2': 64}, MOVED_S)
    in_touch = StreamVersions(view_of(('v2',), moved))
    info = info_of('r1', LIMIT_S - (NOW_S - began_s))
    found = in_touch.for_take_up(ROUTE, info, NOW_S)
    assert not may_begin or found.version != 'v2'


class UnlistedHistory(DrainingHistory):
    """The same with servers that leave the list at once, and run for some time."""

    def learn(self, view):
        """Tell a gateway what the store holds, without servers that leave."""
        leaving, self.until_s = self.until_s, {}
        super().learn(view)
        self.until_s = leaving


@pytest.mark.parametrize('seed', range(24))
def test_no_history_with_servers_that_leave_the_list_joins_two_versions(seed):
    history = UnlistedHistory(seed)
    history.play(150)
    assert not history.joined
    assert history.went_on > 100


@pytest.mark.parametrize('late_s', [0.0, 2.0, 4.0])
def test_a_take_up_that_is_read_late_joins_no_stream_of_before_a_move(late_s):
    """A gateway that stood still reads what its caller has stated before."""
    began_s = MOVED_S - 0.1
    sent_s = MOVED_S + 0.9
    moved = next_division(StreamDivision(1, OLD), {'v2': 64}, MOVED_S)
    read_s = sent_s + late_s
    streams = StreamVersions(view_of(('v2',), moved, read_s))
    info = info_of('r1', LIMIT_S - (sent_s - began_s))
    assert streams.for_take_up(ROUTE, info, read_s).version != 'v2'
