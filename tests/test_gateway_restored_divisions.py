"""Divisions that others may have lost with a store back from an older copy."""

import pytest
from test_gateway_version_knowledge import LIMIT_S, ROUTE, info_of, server_entry
from version_parts import OLD

from wasabicross.gateway.changes import StreamDivisionUpdate
from wasabicross.gateway.store_position import position
from wasabicross.gateway.stream_division_records import stored_division
from wasabicross.gateway.stream_divisions import (
    BUCKETS,
    REWRITE_S,
    StreamDivision,
    next_division,
)
from wasabicross.gateway.streams.begun_streams import stream_digest
from wasabicross.gateway.streams.stream_memory import StreamMemory
from wasabicross.gateway.streams.stream_versions import StreamVersions
from wasabicross.gateway.streams.take_ups import Knowledge
from wasabicross.gateway.view import FleetView

NEW = ('v2',) * BUCKETS
BEGAN = StreamDivision(1, OLD, time_limit_s=LIMIT_S)

#: Others have put NEW in force just before the store returned without it.
RESTORED_S = 200.0


def restored_view(*, has_started_since, versions=('v1', 'v2'), era=2):
    """Return the view of a gateway that knows only the copy's division."""
    view = FleetView()
    if not has_started_since:
        view.on_era(era - 1, 100)
        read(view, era - 1, 100)
    view.on_era(era, RESTORED_S)
    for number, version in enumerate(versions):
        view.apply(server_entry(f'i-{number}', 'llm', 1, None, version), 0)
    read(view, era, RESTORED_S)
    view.confirmed_s = RESTORED_S + 1000
    return view


def read(view, era, now_s):
    stored = stored_division(BEGAN, now_s, era=1)
    view.apply(StreamDivisionUpdate('llm', stored, position(era, 5)), now_s)


def taken_up(view, asked_s, began_s):
    info = info_of('9c', LIMIT_S - (asked_s - began_s))
    return StreamVersions(view).for_take_up(ROUTE, info, asked_s)


def test_stream_of_a_lost_division_is_not_taken_up_by_the_copy():
    moved = next_division(BEGAN, {'v2': 64}, RESTORED_S - 2)
    assert moved.version_for('9c') == 'v2'
    for has_started_since in (True, False):
        view = restored_view(has_started_since=has_started_since)
        found = taken_up(view, RESTORED_S + 0.5, RESTORED_S - 1)
        assert found.version is None


@pytest.mark.parametrize(
    ('after_s', 'began_s', 'versions', 'known_by'),
    [
        (REWRITE_S - 0.1, -1, ('v1', 'v2'), Knowledge.version_unknown),
        (REWRITE_S - 0.1, -1, ('v2',), Knowledge.version_unknown),
        (REWRITE_S - 0.1, -1, ('v1',), Knowledge.division),
        (REWRITE_S + 5, -1, ('v1', 'v2'), Knowledge.version_unknown),
        (REWRITE_S + 5, REWRITE_S - 1, ('v1', 'v2'), Knowledge.version_unknown),
        (REWRITE_S + 5, REWRITE_S + 1, ('v1', 'v2'), Knowledge.division),
        (LIMIT_S + REWRITE_S, REWRITE_S, ('v1', 'v2'), Knowledge.division),
    ],
)
def test_process_that_starts_by_a_copy_takes_up_what_began_later(
    after_s, began_s, versions, known_by
):
    """Gateways that knew the lost division may all have ended."""
    view = restored_view(has_started_since=True, versions=versions)
    found = taken_up(view, RESTORED_S + after_s, RESTORED_S + began_s)
    assert found.known_by is known_by


@pytest.mark.parametrize(
    ('after_s', 'versions', 'known_by'),
    [
        (0.1, ('v1', 'v2'), Knowledge.too_old),
        (REWRITE_S - 0.1, ('v1', 'v2'), Knowledge.too_old),
        (REWRITE_S + 0.1, ('v1', 'v2'), Knowledge.division),
        (0.1, ('v1',), Knowledge.division),
    ],
)
def test_process_that_lived_waits_for_others_to_write_what_they_know(
    after_s, versions, known_by
):
    view = restored_view(has_started_since=False, versions=versions)
    found = taken_up(view, RESTORED_S + after_s, RESTORED_S - 1)
    assert found.known_by is known_by


@pytest.mark.parametrize('has_started_since', [True, False])
def test_streams_that_begin_by_a_copy_are_remembered(
    has_started_since, monkeypatch
):
    view = restored_view(has_started_since=has_started_since)
    view.confirmed_s = RESTORED_S + 10
    monkeypatch.setattr(
        'wasabicross.gateway.streams.stream_memory.now_s',
        lambda: RESTORED_S + 10,
    )
    memory = StreamMemory(view)
    memory._queue = [('llm', 'v1', b'')]
    memory.note_begun('llm', '9c', 'v1')
    begun = memory._begun.version(stream_digest('llm', '9c'), RESTORED_S + 11)
    assert begun == ('v1' if has_started_since else None)


def test_store_that_never_returned_is_trusted_at_once():
    view = restored_view(has_started_since=True, era=1)
    found = taken_up(view, RESTORED_S + 0.5, RESTORED_S - 1)
    assert found.known_by is Knowledge.division
