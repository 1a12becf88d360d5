"""Streams of two versions by what one gateway has not learnt of yet."""

import pytest
from test_gateway_version_knowledge import ROUTE, id_of, info_of, view_of
from version_parts import OLD

from wasabicross.gateway.stream_divisions import StreamDivision, next_division
from wasabicross.gateway.streams.stream_versions import StreamVersions

MOVED_S = 100.0
ASKED_S = 100.4

#: Longest time limit of callers, seconds.
LIMIT_S = 5.0


@pytest.mark.parametrize('age_s', [1.0, 4.0])
@pytest.mark.parametrize(
    'before', [StreamDivision(1, OLD), None], ids=['division', 'none']
)
def test_gateway_that_knows_one_version_joins_no_stream_of_a_later_one(
    before, age_s
):
    """One engine is renewed as v2, the others of v1 leave, but still serve."""
    known = before or StreamDivision(1, OLD)
    resumes = id_of(OLD, 'v1')
    moved = next_division(known, {'v2': 8}, MOVED_S)
    in_touch = StreamVersions(view_of(('v2',), moved, ASKED_S))
    assert in_touch.may_begin('llm', resumes, ASKED_S)
    assert in_touch.for_new('llm', resumes, ASKED_S) == 'v2'
    late = StreamVersions(view_of(('v1', 'v1'), before, ASKED_S - age_s))
    assert late.serves('llm', 'v1')
    found = late.for_take_up(ROUTE, info_of(resumes), ASKED_S)
    assert found.version != 'v1'


@pytest.mark.parametrize('age_s', [8.0, 20.0])
def test_gateway_out_of_touch_begins_nothing_that_goes_on_at_another_version(
    age_s,
):
    """Entries of v1 lapse beside the store, whose servers it still reaches."""
    before = StreamDivision(1, OLD, time_limit_s=LIMIT_S)
    resumes = id_of(OLD, 'v1')
    moved = next_division(before, {'v2': 8}, MOVED_S)
    begun_s = MOVED_S + age_s
    apart = StreamVersions(view_of(('v1', 'v1'), before, MOVED_S - 1))
    begins = apart.may_begin('llm', resumes, begun_s)
    version = apart.for_new('llm', resumes, begun_s)
    asked_s = begun_s + 0.5
    view = view_of(('v2',), moved, asked_s)
    view.divisions.route_limits.note_time_limit(ROUTE.name, LIMIT_S, begun_s)
    info = info_of(resumes, LIMIT_S - 0.5)
    found = StreamVersions(view).for_take_up(ROUTE, info, asked_s)
    assert not begins or found.version in {None, version}
