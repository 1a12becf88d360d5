"""Callers that state their whole time limit again when they take a stream up."""

import asyncio
from types import SimpleNamespace

import pytest
from test_gateway_version_knowledge import (
    LIMIT_S,
    MOVED,
    NOW_S,
    ROUTE,
    id_of,
    info_of,
    view_of,
)
from version_parts import OLD, run_versions, send, servers_of, take_up

from wasabicross.gateway.caller_service import CallerService
from wasabicross.gateway.dialect import RequestInfo
from wasabicross.gateway.stream_divisions import (
    BUCKETS,
    FormerBuckets,
    StreamDivision,
    former_lapse_s,
)
from wasabicross.gateway.streams.begun_streams import is_settled
from wasabicross.gateway.streams.stream_versions import StreamVersions
from wasabicross.gateway.streams.take_ups import Knowledge

#: When callers that came first stated their limits.
SINCE_S = NOW_S - LIMIT_S

BOTH = frozenset(('v1', 'v2'))

PROOF = SimpleNamespace(software_version='v2')


def possible_versions(stated_s, left_s):
    """Return the versions that may have begun a stream, by its caller's words.

    Its bucket moved from v1 to v2 10 s ago.

    :param stated_s: limits that new callers of the route state.
    :param left_s: what the caller that takes it up states.
    """
    streams = StreamVersions(view_of(('v2',), MOVED))
    for each in stated_s:
        info = RequestInfo('r1', None, each, '')
        streams.note_time_limit(ROUTE, 'llm', info, SINCE_S)
    return streams.for_take_up(ROUTE, info_of('9c', left_s), NOW_S).possible


@pytest.mark.parametrize(
    ('stated_s', 'left_s'),
    [
        ((), ROUTE.timeout_s),
        ((), LIMIT_S),
        ((), LIMIT_S - 0.9),
        ((), LIMIT_S + 1),
        ((15.0,), 15.0),
        ((15.0,), 14.1),
        ((15.0,) * 3 + (9.0,) * 3, 9.0),
        ((15.0,) * 3 + (9.0,) * 3, 8.9),
        ((15.0,) * 9 + (9.0,) * 3 + (15.0,) * 9, 9.0),
    ],
)
def test_a_whole_limit_does_not_tell_that_a_stream_began_just_now(
    stated_s, left_s
):
    assert possible_versions(stated_s, left_s) == BOTH


@pytest.mark.parametrize(
    ('stated_s', 'left_s'),
    [
        ((), LIMIT_S - 4),
        ((15.0,), 11.0),
        ((15.0,) * 3 + (9.0,) * 3, 12.0),
        ((15.0, 14.0, 13.0, 12.5, 11.5), 12.0),
    ],
)
def test_what_is_left_of_a_limit_tells_how_long_ago_a_stream_began(
    stated_s, left_s
):
    assert possible_versions(stated_s, left_s) == {'v2'}


def take_up_after_a_move(**stated):
    """Return the answer to a take-up of a stream of v1, and its versions.

    :param stated: fields of the take-up.
    """
    resumes = id_of(OLD, 'v1')

    async def scenario(bench):
        view = bench.gateway.view
        moved_s = view.confirmed_s - 10
        view.divisions['llm'] = StreamDivision(
            2, ('v2',) * BUCKETS, former=(FormerBuckets(OLD, moved_s),)
        )
        return await send(bench, take_up(resumes, **stated))

    return run_versions(scenario, servers_of(('v2', 'v2')), OLD)


@pytest.mark.parametrize('left_ms', ['60000', '59500', '5000', None])
def test_a_take_up_that_states_a_whole_limit_joins_no_two_versions(left_ms):
    """The buckets of the version that began the stream moved long ago."""
    stated = {'Time_Left_Ms': left_ms} if left_ms else {}
    received, found = take_up_after_a_move(**stated)
    assert received.startswith(b'HTTP/1.1 503')
    assert not found


def test_a_remembered_stream_goes_on_whatever_its_caller_states():
    view = view_of(('v2',), MOVED)
    info = info_of('9c', LIMIT_S)

    async def recalled():
        streams = StreamVersions(view)
        streams.note_begun('llm', '9c', PROOF)
        found = streams.for_take_up(ROUTE, info, NOW_S)
        return await streams.recall(found, 'llm', info)

    found = asyncio.run(recalled())
    assert found.known_by is Knowledge.memory
    assert found.version == 'v2'


@pytest.mark.parametrize('late_s', [0.0, 2.6, 4.9])
def test_a_stream_that_seems_of_before_a_move_is_remembered(late_s):
    """Gateways remember streams for as long as former buckets count."""
    division = MOVED._replace(time_limit_s=15)
    began_s = NOW_S - 10 + former_lapse_s(division) - 0.1 + late_s
    found = StreamVersions(view_of(('v2',), division, began_s)).for_take_up(
        ROUTE, info_of('9c', LIMIT_S), began_s
    )
    is_told = is_settled(division, '9c', 'v2', 0, began_s)
    assert is_told == (found.version == 'v2')


def test_a_forwarded_take_up_tells_no_wait_of_its_caller(monkeypatch):
    """The gateway before states what is left of a whole limit after 1.2 s."""
    monkeypatch.setattr(CallerService, 'serve', CallerService.serve_forwarded)
    received, found = take_up_after_a_move(Time_Left_Ms='58800')
    assert received.startswith(b'HTTP/1.1 503')
    assert not found


@pytest.mark.parametrize('after_move_s', [15.0, 21.0, 34.0])
def test_a_caller_may_come_back_after_attempts_of_whole_limits(after_move_s):
    """Frozen gateways kept two attempts for a whole limit of 15 s each."""
    division = MOVED._replace(time_limit_s=15)
    asked_s = NOW_S - 10 + after_move_s
    streams = StreamVersions(view_of(('v2',), division, asked_s))
    found = streams.for_take_up(ROUTE, info_of('9c', 15.0), asked_s)
    assert found.possible == BOTH
