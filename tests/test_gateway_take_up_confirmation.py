"""Take-ups at a gateway that hasn't learnt of a division's last move."""

import asyncio

import pytest
from test_gateway_version_knowledge import ROUTE, id_of, info_of, view_of
from version_parts import HALF, ID_OF_V1, OLD, run_versions, send, servers_of
from version_parts import take_up as take_up_request

from wasabicross.gateway.clock import now_s
from wasabicross.gateway.stream_divisions import (
    FormerBuckets,
    StreamDivision,
    next_division,
)
from wasabicross.gateway.streams import stream_versions
from wasabicross.gateway.streams.stream_versions import StreamVersions
from wasabicross.gateway.streams.take_ups import Knowledge

#: All servers of v1 begin to leave, so their buckets move at once.
MOVED_S = 100.0

#: The stream begins at v2, breaks off, and its caller comes back.
ASKED_S = 100.4

NEW = ('v2',) * 32

#: The stream may have begun before its bucket moved.
RECENT = StreamDivision(3, HALF, former=(FormerBuckets(NEW, 99.0),))


def behind(age_s, division, versions=('v1', 'v2')):
    """Return a view that knows the store as of some seconds ago."""
    return view_of(versions, division, ASKED_S - age_s)


@pytest.mark.parametrize('age_s', [0.5, 1.0, 2.0, 3.0, 4.0])
@pytest.mark.parametrize(
    'before', [StreamDivision(1, OLD), StreamDivision(3, HALF)]
)
def test_gateway_behind_a_move_at_once_joins_no_stream(before, age_s):
    """Servers of v1 still run and take what this gateway sends."""
    resumes = id_of(before.buckets, 'v1')
    moved = next_division(before, {'v2': 64}, MOVED_S)
    in_touch = StreamVersions(behind(0, moved, ('v2',)))
    assert in_touch.for_new('llm', resumes, ASKED_S) == 'v2'
    late = StreamVersions(behind(age_s, before))
    assert late.serves('llm', 'v1')
    found = late.for_take_up(ROUTE, info_of(resumes), ASKED_S)
    assert found.version != 'v1'
    assert found.refusal is None or found.refusal.retry_after_s == 1


@pytest.mark.parametrize(
    ('division', 'versions', 'age_s', 'known_by'),
    [
        (StreamDivision(1, HALF), ('v1', 'v2'), 0, Knowledge.division),
        (StreamDivision(1, HALF), ('v1', 'v2'), 0.1, Knowledge.too_old),
        (StreamDivision(1, OLD), ('v1', 'v2'), 0.1, Knowledge.too_old),
        (StreamDivision(1, HALF), ('v1',), 0.1, Knowledge.too_old),
        (StreamDivision(1, OLD, HALF), ('v1',), 0.1, Knowledge.too_old),
        (StreamDivision(1, OLD), ('v1', 'v1'), 0, Knowledge.division),
        (StreamDivision(1, OLD), ('v1', 'v1'), 0.1, Knowledge.unconfirmed),
        (None, ('v1', 'v1'), 0, Knowledge.only_version),
        (None, ('v1', 'v1'), 0.1, Knowledge.unconfirmed),
        (RECENT, ('v1', 'v2'), 0.1, Knowledge.version_unknown),
    ],
)
def test_take_ups_wait_only_where_the_store_may_tell_the_version(
    division, versions, age_s, known_by
):
    streams = StreamVersions(behind(age_s, division, versions))
    info = info_of(ID_OF_V1)
    assert streams.for_take_up(ROUTE, info, ASKED_S).known_by is known_by


@pytest.mark.parametrize('is_confirmed', [True, False])
def test_memory_tells_the_version_once_the_move_is_known(
    is_confirmed, monkeypatch
):
    """The old division leaves v1 only, the next one both versions."""
    before = StreamDivision(1, OLD)
    view = behind(1, before)
    streams = StreamVersions(view)
    monkeypatch.setattr(stream_versions, 'clock_s', lambda: ASKED_S + 2)

    async def owner(_digest):
        return 'v2'

    async def play():
        streams._memory.ask_owners = owner
        info = info_of('9c')
        found = streams.for_take_up(ROUTE, info, ASKED_S)
        found = await streams.recall(found, 'llm', info)
        assert found.refusal is not None
        if is_confirmed:
            view.divisions['llm'] = next_division(before, {'v2': 1}, MOVED_S)
            view.confirmed_s = ASKED_S + 0.1
        return await streams.confirmed_take_up(found, ROUTE, info, ASKED_S)

    found = asyncio.run(play())
    assert found.version == ('v2' if is_confirmed else None)
    assert (found.known_by is Knowledge.memory) is is_confirmed


def test_take_up_is_confirmed_by_a_call_of_its_own():
    servers = servers_of(('v1', 'v2'))

    async def scenario(bench):
        began_s = now_s()
        received, found = await send(bench, take_up_request(ID_OF_V1))
        return found, now_s() - began_s

    found, took_s = run_versions(scenario, servers, HALF)
    assert found == {'v1'}
    assert took_s < 1


def test_gateway_that_learns_of_the_move_refuses_its_former_version():
    servers = servers_of(('v1', 'v2'))

    async def scenario(bench):
        view = bench.gateway.view
        asked = asyncio.ensure_future(send(bench, take_up_request(ID_OF_V1)))
        follower = bench.gateway._follower
        confirm = follower._on_confirmed

        def learn(at_s):
            view.divisions['llm'] = next_division(
                view.divisions['llm'], {'v2': 8}, now_s()
            )
            confirm(at_s)

        follower._on_confirmed = learn
        return await asked

    _, found = run_versions(scenario, servers, HALF)
    assert 'v1' not in found
