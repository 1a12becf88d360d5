"""Interrupted streams don't go on at a version that didn't begin them."""

import types

from wasabicross.gateway.changes import StreamDivisionUpdate
from wasabicross.gateway.dialect import RequestInfo
from wasabicross.gateway.messages import StoreConfirmation
from wasabicross.gateway.store_following.relay_clocks import RelayClocks
from wasabicross.gateway.store_position import position
from wasabicross.gateway.stream_division_records import stored_division
from wasabicross.gateway.stream_divisions import (
    ANNOUNCED_S,
    BUCKETS,
    StreamDivision,
    next_division,
)
from wasabicross.gateway.streams.stream_versions import StreamVersions
from wasabicross.gateway.view import FleetView

OLD = ('v1',) * BUCKETS
NEW = ('v2',) * BUCKETS
ROUTE = types.SimpleNamespace(
    name='r',
    timeout_s=5.0,
    is_resumable=True,
    shares=('llm',),
    service_for=lambda _: 'llm',
)


def info(last_event_id='', resumes='', left_s=None):
    return RequestInfo(
        'r2',
        None,
        left_s,
        last_event_id,
        resumes=resumes,
    )


def view_with(division, now_s, era=0, confirmed_s=None):
    view = FleetView()
    view.on_era(era, now_s)
    view.confirmed_s = now_s if confirmed_s is None else confirmed_s
    stored = stored_division(division, now_s)
    view.apply(StreamDivisionUpdate('llm', stored, position(era, 5)), now_s)
    return view


def test_gateway_cut_off_from_the_store_begins_no_stream_that_is_joined():
    began = StreamDivision(1, OLD)
    moved = next_division(began, {'v2': 64}, 100)
    assert moved.buckets == NEW
    # Cut off since 99, begins at v1 (leaving, still serving) at 104.
    cut_off = view_with(began, 99, confirmed_s=99)
    may_begin = StreamVersions(cut_off).may_begin('llm', 'r1', 104)
    # The caller came at 104 and takes the stream up at 106.
    possible = moved.possible_versions('r1', 104, 106)
    assert not may_begin or 'v1' in possible


def test_gateway_started_beside_an_older_store_doesnt_trust_its_division():
    # Others had put NEW in force; the store returned from before that.
    announced = StreamDivision(2, OLD, NEW, announced_s=100)
    view = FleetView()
    view.on_era(2, 101 + ANNOUNCED_S)
    stored = stored_division(announced, 112)
    view.apply(
        StreamDivisionUpdate('llm', stored, position(2, 5)),
        101 + ANNOUNCED_S,
    )
    view.confirmed_s = 114.5
    take_up = StreamVersions(view).for_take_up(
        ROUTE, info('e3', 'r1', 3.0), 114.6, 114.4
    )
    assert take_up.version != 'v1'


def test_slow_relay_doesnt_confirm_later_than_it_knew():
    clocks = RelayClocks()
    delay_s = 1.5
    for number in range(10):
        sent_s = 10 + number * 0.3
        known_s = sent_s - 0.2
        confirmed_s = clocks.confirmed_s(
            '127.0.0.1',
            StoreConfirmation(5, round(known_s * 1000), round(sent_s * 1000)),
            sent_s + delay_s,
        )
    assert confirmed_s <= known_s + 0.05


def test_rests_of_time_limits_arent_taken_for_the_longest_limit():
    moved = next_division(StreamDivision(1, OLD), {'v2': 64}, 100)
    view = view_with(moved._replace(time_limit_s=20), 100)
    streams = StreamVersions(view)
    # After a restart of all, eight callers return with the rest of 20 s.
    for _ in range(8):
        streams.note_time_limit(ROUTE, 'llm', info(left_s=8.0), 101)
    view.confirmed_s = 108
    # Came at 95, began at v1, takes it up at 108 with 7 s left.
    take_up = streams.for_take_up(ROUTE, info('e3', 'r1', 7.0), 108)
    assert take_up.version != 'v2'


def test_gateway_cut_off_resumes_nothing_that_began_after_an_immediate_move():
    began = StreamDivision(1, OLD)
    moved = next_division(began, {'v2': 64}, 100)
    # At 103 another gateway begins the stream at v2, at 104 it breaks off.
    assert moved.version_for('r1') == 'v2'
    cut_off = view_with(began, 99, confirmed_s=99)
    take_up = StreamVersions(cut_off).for_take_up(
        ROUTE, info('e3', 'r1', 3.0), 105
    )
    assert take_up.version != 'v1'


def test_gateway_that_missed_a_change_that_the_store_lost_doesnt_join_streams():
    announced = StreamDivision(2, OLD, NEW, announced_s=100)
    view = view_with(announced, 100, era=1)
    view.confirmed_s = 112
    # Number 3 was written at 112.1 and known to others; lost at 112.3.
    view.on_era(2, 113)
    stored = stored_division(announced, 101)
    view.apply(StreamDivisionUpdate('llm', stored, position(2, 5)), 113)
    view.confirmed_s = 113
    take_up = StreamVersions(view).for_take_up(
        ROUTE, info('e3', 'r1', 3.0), 113.1, 112.9
    )
    assert take_up.version != 'v1'
