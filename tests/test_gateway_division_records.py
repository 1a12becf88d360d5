"""Divisions as stored and merged, over odd records and older copies."""

import json
import math

import pytest
from odd_documents import DEEP, HUGE_NUMBERS, encoded, with_number

from wasabicross.gateway.changes import StreamDivisionUpdate
from wasabicross.gateway.errors import DocumentUnreadable
from wasabicross.gateway.store import StoredItem
from wasabicross.gateway.store_position import position
from wasabicross.gateway.stream_division_records import (
    MAX_FORMER,
    lacks_former,
    merged,
    received_division,
    states_lower_age,
    stored_division,
)
from wasabicross.gateway.stream_divisions import (
    ANNOUNCED_S,
    BUCKETS,
    SPREAD_S,
    FormerBuckets,
    StreamDivision,
)
from wasabicross.gateway.view import FleetView
from wasabicross.platform.division_records import (
    decode_division,
    division_key,
    encode_division,
)
from wasabicross.platform.fleet_store import PlatformStore
from wasabicross.platform.records import decode_change

OLD = ('v1',) * BUCKETS
HALF = OLD[:16] + ('v2',) * 16
NEW = ('v2',) * BUCKETS
THIRD = ('v3',) * BUCKETS

FULL = StreamDivision(
    5,
    HALF,
    NEW,
    98,
    (FormerBuckets(OLD, 70), FormerBuckets(THIRD, 40)),
    30.5,
)


def item(document, service='llm', revision=9):
    return StoredItem(division_key(service), revision, document)


def document_of(division, now_s=100, service='llm'):
    return encode_division(service, stored_division(division, now_s))


def read_division(document, now_s=0):
    change = decode_change(item(document))
    return received_division(change.stored, -math.inf, now_s)


def test_times_are_stored_as_ages():
    document = document_of(FULL, now_s=100)
    assert len(document) < 600
    found = read_division(document, now_s=1000)
    assert found == FULL._replace(
        announced_s=998,
        former=(FormerBuckets(OLD, 970), FormerBuckets(THIRD, 940)),
        unannounced_s=-math.inf,
    )


@pytest.mark.parametrize(
    'division',
    [
        StreamDivision(1, ('',) * BUCKETS),
        StreamDivision(1, tuple(f'v{each}' for each in range(BUCKETS))),
        StreamDivision(1, ('\u4f60\n"' * 300,) * BUCKETS),
    ],
)
def test_any_version_is_stored(division):
    assert read_division(document_of(division)).buckets == division.buckets


def test_end_that_is_yet_to_come_is_stored_as_now():
    division = StreamDivision(2, NEW, former=(FormerBuckets(OLD, 200),))
    (former,) = read_division(document_of(division, 100), 7).former
    assert former.ended_s == 7


def test_buckets_in_force_twice_are_stored_with_the_later_end():
    former = (FormerBuckets(OLD, 70), FormerBuckets(OLD, 20))
    division = StreamDivision(4, NEW, former=former)
    found = read_division(document_of(division, 100), 100)
    assert found.former == (FormerBuckets(OLD, 70),)


def test_record_stays_short():
    former = tuple(
        FormerBuckets(
            tuple(f'v{each}.{number}' for number in range(BUCKETS)), each
        )
        for each in range(500)
    )
    found = read_division(
        document_of(StreamDivision(4, NEW, former=former), 500)
    )
    assert 0 < len(found.former) <= MAX_FORMER
    assert found.former[0].buckets == former[-1].buckets


def without(name):
    record = json.loads(document_of(FULL))
    record.pop(name)
    return encoded(record)


def changed(**fields):
    return encoded({**json.loads(document_of(FULL)), **fields})


ODD_RECORDS = [
    b'',
    b'{',
    b'[]',
    b'7',
    DEEP,
    *map(without, json.loads(document_of(FULL))),
    changed(service='other'),
    changed(number='x'),
    changed(number=-1),
    changed(versions=[]),
    changed(versions={}),
    changed(versions=[7, 8, 9]),
    changed(versions=['v1']),
    changed(buckets='00' * 5000),
    changed(buckets='00' * (BUCKETS - 1)),
    changed(buckets='zz' * BUCKETS),
    changed(buckets='00' * (BUCKETS - 1) + '  '),
    changed(buckets=''),
    changed(buckets=[0] * BUCKETS),
    changed(announced=None),
    changed(announced=[]),
    changed(announced='0'),
    changed(age=None),
    changed(age=1e9),
    changed(time_limit='x'),
    changed(time_limit=1e9),
    changed(former={}),
    changed(former=[7]),
    changed(former=[{'buckets': '00' * BUCKETS}]),
    changed(former=[{'buckets': '00' * BUCKETS, 'age': -1}]),
    changed(former=[{'buckets': '00' * BUCKETS, 'age': 1}] * 5000),
    *(
        with_number(json.loads(document_of(FULL)), name, literal)
        for name in ('number', 'age', 'time_limit')
        for literal in HUGE_NUMBERS
    ),
]


@pytest.mark.parametrize('document', ODD_RECORDS)
def test_odd_record_changes_nothing_but_its_position(document):
    with pytest.raises(DocumentUnreadable):
        decode_change(item(document))
    view = FleetView()
    result = PlatformStore(None).decode(
        (item(document_of(FULL), revision=8), item(document, revision=9)), 9
    )
    assert len(result.unreadable) == 1
    for change in result.changes:
        view.apply(change, 0)
    assert view.divisions['llm'].number == FULL.number
    assert view.divisions.record_for('llm', 0) == (None, 9)


@pytest.mark.parametrize('service', ['x' * 1000, '\u4f60' * 100, 'a/~' * 99])
def test_long_service_name_fits_a_key(service):
    key = division_key(service)
    assert len(key.encode()) <= 200
    document = document_of(FULL, service=service)
    assert decode_change(item(document, service)).service == service
    with pytest.raises(DocumentUnreadable):
        decode_change(item(document, service + 'x'))


def update(number, buckets, revision, is_removed=False, **fields):
    division = StreamDivision(number, buckets, **fields)
    stored = None if is_removed else stored_division(division, 0)
    return StreamDivisionUpdate('llm', stored, revision, is_removed)


def test_removed_record_changes_nothing_that_is_known():
    view = FleetView()
    view.apply(update(2, NEW, position(1, 8)), 5)
    view.apply(update(2, NEW, position(1, 9), is_removed=True), 6)
    assert view.divisions['llm'].buckets == NEW
    assert view.divisions.record_for('llm', 1) == (None, position(1, 0))


def test_older_update_of_a_record_changes_nothing():
    view = FleetView()
    view.apply(update(2, NEW, 9), 5)
    view.apply(update(3, OLD, 8), 6)
    assert view.divisions['llm'].number == 2
    assert view.divisions.record_for('llm', 0).revision == 9


def test_record_that_a_later_era_lacks_has_no_position():
    view = FleetView()
    view.on_era(1, 0)
    view.apply(update(2, NEW, position(1, 9)), 5)
    view.on_era(2, 6)
    assert view.divisions.record_for('llm', 2) == (None, position(2, 0))
    view.apply(update(1, OLD, position(2, 3)), 7)
    assert view.divisions['llm'].buckets == NEW
    assert view.divisions.record_for('llm', 2).stored.number == 1


def ends_of(division):
    return {each.buckets: each.ended_s for each in division.former}


KNOWN = StreamDivision(
    5, NEW, former=(FormerBuckets(OLD, 50),), time_limit_s=30
)


@pytest.mark.parametrize(
    ('received', 'expected', 'ends_s'),
    [
        # The same change: the earlier end of each, the larger limit.
        (
            KNOWN._replace(former=(FormerBuckets(OLD, 52),), time_limit_s=40),
            KNOWN._replace(time_limit_s=40),
            {OLD: 50},
        ),
        (
            KNOWN._replace(former=(FormerBuckets(OLD, 48),), time_limit_s=20),
            KNOWN,
            {OLD: 48},
        ),
        (
            KNOWN._replace(former=(FormerBuckets(THIRD, 55),)),
            KNOWN,
            {OLD: 50, THIRD: 55},
        ),
        (KNOWN._replace(former=()), KNOWN, {OLD: 50}),
        # Another change under the same number: that of the store.
        (
            StreamDivision(5, HALF, time_limit_s=30),
            StreamDivision(5, HALF, time_limit_s=30),
            {OLD: 50, NEW: 60},
        ),
        # A later change.
        (
            StreamDivision(6, HALF, former=(FormerBuckets(NEW, 59),)),
            StreamDivision(6, HALF),
            {NEW: 59, OLD: 50},
        ),
        # Buckets that were in force again since.
        (
            KNOWN._replace(number=9, former=(FormerBuckets(OLD, 58),)),
            KNOWN._replace(number=9),
            {OLD: 58},
        ),
        # A division from an older copy of the store.
        (StreamDivision(4, HALF), KNOWN, {OLD: 50, HALF: 60 + SPREAD_S}),
        (StreamDivision(4, OLD), KNOWN, {OLD: 60 + SPREAD_S}),
        (StreamDivision(4, NEW), KNOWN, {OLD: 50}),
    ],
)
def test_known_division_and_that_of_a_record(received, expected, ends_s):
    found = merged(KNOWN, received, 60)
    assert found.number == expected.number
    assert found.buckets == expected.buckets
    assert found.time_limit_s == expected.time_limit_s
    assert ends_of(found) == ends_s


def test_first_record_is_taken_as_it_is():
    assert merged(None, FULL, 60) == FULL


def test_announcement_that_is_known_does_not_begin_anew():
    known = StreamDivision(2, OLD, NEW, 10, unannounced_s=9)
    for number in (2, 3):
        received = known._replace(
            number=number, announced_s=14, unannounced_s=13
        )
        found = merged(known, received, 14)
        assert (found.announced_s, found.unannounced_s) == (10, 9)


@pytest.mark.parametrize(
    ('confirmed_s', 'now_s', 'versions'),
    [
        (19, 19 + ANNOUNCED_S, {'v1', 'v2'}),
        (17, 17 + ANNOUNCED_S, {'v1', 'v2'}),
        (19, 17 + ANNOUNCED_S, {'v1'}),
        (8, 20, {'v1', 'v2'}),
        (-math.inf, 20, {'v1', 'v2'}),
    ],
)
def test_announcement_that_is_heard_of_late_may_be_in_force(
    confirmed_s, now_s, versions
):
    view = FleetView()
    view.confirmed_s = confirmed_s
    view.apply(update(2, OLD, 9, announced=NEW), 20)
    division = view.divisions['llm']
    assert division.possible_versions('r', now_s, now_s) == versions


@pytest.mark.parametrize(
    ('stated_s', 'now_s', 'is_due'),
    [
        (0, 100.9, False),
        (0, 101, True),
        (1, 101.9, False),
        (1.1, 102, True),
        (32, 163.9, False),
        (32, 164, True),
        (64, 164.9, False),
        (64, 165, True),
        # The last is the age at which they lapse.
        (65, 10_000, False),
    ],
)
def test_age_is_stated_again_when_it_has_doubled(stated_s, now_s, is_due):
    division = StreamDivision(
        2, NEW, former=(FormerBuckets(OLD, 100),), time_limit_s=30
    )
    stored = stored_division(division, 100 + stated_s)
    assert states_lower_age(stored, division, now_s) is is_due
    assert not lacks_former(stored, division, now_s)


@pytest.mark.parametrize(
    ('ended_s', 'is_lacking'), [(100, True), (100 - 60 - 2 * SPREAD_S, False)]
)
def test_record_that_lacks_former_buckets(ended_s, is_lacking):
    division = StreamDivision(
        2, NEW, former=(FormerBuckets(OLD, ended_s),), time_limit_s=30
    )
    stored = stored_division(division._replace(former=()), 100)
    assert lacks_former(stored, division, 100) is is_lacking


@pytest.mark.parametrize('era', [0, 1, 7])
def test_record_states_the_era_that_its_writer_knew(era):
    stored = stored_division(StreamDivision(1, ('v1',) * BUCKETS), 10, era)
    document = json.loads(encode_division('llm', stored))
    assert decode_division(division_key('llm'), document) == ('llm', stored)


#: What a gateway of 510d58a writes of FULL at 100 s, in era 3.
WRITTEN_BY_510D58A = (
    b'{"service": "llm", "number": 5, "versions": ["v1", "v2", "v3"], '
    b'"buckets": "%b%b", "announced": "%b", "age": 2.0, '
    b'"former": [{"buckets": "%b", "age": 30.0}, '
    b'{"buckets": "%b", "age": 60.0}], "time_limit": 30.5, "era": 3}'
) % (b'00' * 16, b'01' * 16, b'01' * 32, b'00' * 32, b'02' * 32)


def test_record_stays_that_of_gateways_of_the_landing_before():
    """They run beside this version during an upgrade."""
    stored = stored_division(FULL, 100, era=3)
    assert encode_division('llm', stored) == WRITTEN_BY_510D58A
    read = decode_division(division_key('llm'), json.loads(WRITTEN_BY_510D58A))
    assert read == ('llm', stored)
