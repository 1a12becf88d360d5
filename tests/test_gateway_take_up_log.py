"""The log line of a take-up tells on what its decision rests."""

import pytest
from test_gateway_version_knowledge import (
    LIMIT_S,
    MOVED,
    NOW_S,
    ROUTE,
    info_of,
    view_of,
)
from version_parts import HALF, run_versions, send, servers_of, take_up

from wasabicross.gateway.streams import stream_request
from wasabicross.gateway.streams.stream_versions import StreamVersions
from wasabicross.gateway.streams.take_ups import with_memory
from wasabicross.runtime.events import Event


@pytest.mark.parametrize(
    ('left_s', 'within_s'),
    [(LIMIT_S - 4, 4), (LIMIT_S - 20, 20), (None, float('inf'))],
)
def test_a_take_up_tells_how_long_ago_it_began_at_most(left_s, within_s):
    streams = StreamVersions(view_of(('v2',), MOVED))
    found = streams.for_take_up(ROUTE, info_of('9c', left_s), NOW_S)
    assert found.within_s == within_s
    assert with_memory(found, 'v2').within_s == within_s


def test_the_log_tells_what_the_caller_states(monkeypatch):
    """It states 5 s; callers of the service wait for 60 s by default."""
    lines = []
    monkeypatch.setattr(
        stream_request,
        'log_event',
        lambda event, **fields: lines.append((event, fields)),
    )

    async def scenario(bench):
        await send(bench, take_up('r1', Time_Left_Ms='5000'))

    run_versions(scenario, servers_of(('v1', 'v2')), HALF)
    ((event, fields),) = lines
    assert event is Event.STREAM_TAKEN_UP
    assert (fields['time_left_s'], fields['within_s']) == (5.0, 55.0)
