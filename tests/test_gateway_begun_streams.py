"""What is remembered of the streams that the division doesn't tell."""

import asyncio
from types import SimpleNamespace

import cbor2
import pytest
from version_parts import HALF, OLD

from wasabicross.gateway.messages import decode, encode
from wasabicross.gateway.owners.links import OwnerLinks
from wasabicross.gateway.stream_divisions import (
    DEFAULT_TIME_LIMIT_S,
    SPREAD_S,
    FormerBuckets,
    StreamDivision,
    bucket_of,
)
from wasabicross.gateway.stream_messages import (
    MAX_DIGESTS,
    StreamAnswer,
    StreamQuery,
    StreamsBegun,
)
from wasabicross.gateway.streams.begun_streams import (
    MAX_SETTLED_AGE_S,
    MAX_STREAMS,
    BegunStreams,
    is_settled,
    keep_time_s,
    stream_digest,
)
from wasabicross.gateway.streams.stream_memory import StreamMemory
from wasabicross.gateway.streams.take_ups import Knowledge, TakeUp, with_memory
from wasabicross.gateway.view import FleetView
from wasabicross.messaging.errors import MessageMalformed

NOW_S = 1000.0
KEEP_S = 60.0
ONE, TWO = b'12345678', b'abcdefgh'


def id_of(version):
    ids = (f'{number:x}' for number in range(1000))
    return next(each for each in ids if HALF[bucket_of(each)] == version)


def changed(age_s, former=OLD, buckets=HALF):
    ended = (FormerBuckets(former, NOW_S - age_s),)
    return StreamDivision(3, buckets, former=ended, time_limit_s=20)


SETTLED = {
    'no division': (None, 'v1', 0, False),
    'settled': (StreamDivision(1, OLD), 'v1', 0, True),
    'two versions': (StreamDivision(1, HALF), 'v2', 0, True),
    'announced': (StreamDivision(2, OLD, announced=HALF), 'v1', 0, False),
    'just changed, moved': (changed(1), 'v2', 0, False),
    'just changed, not moved': (changed(1), 'v1', 0, True),
    'changed, not lapsed': (changed(44.9), 'v2', 0, False),
    'changed, lapsed': (changed(45), 'v2', 0, True),
    'knowledge just recent': (
        StreamDivision(1, OLD),
        'v1',
        MAX_SETTLED_AGE_S,
        True,
    ),
    'old knowledge': (
        StreamDivision(1, OLD),
        'v1',
        MAX_SETTLED_AGE_S + 0.1,
        False,
    ),
    'begun by another division': (StreamDivision(1, OLD), 'v2', 0, False),
}


@pytest.mark.parametrize(
    ('division', 'version', 'age_s', 'expected'), SETTLED.values(), ids=SETTLED
)
def test_streams_are_noted_unless_the_division_tells_them(
    division, version, age_s, expected
):
    request_id = id_of(version)
    found = is_settled(division, request_id, version, age_s, NOW_S)
    assert found is expected


def test_streams_are_kept_as_long_as_callers_may_return():
    division = StreamDivision(1, OLD, time_limit_s=20)
    assert keep_time_s(division) == 2 * 20 + 2 * SPREAD_S
    assert keep_time_s(None) == 2 * DEFAULT_TIME_LIMIT_S + 2 * SPREAD_S


@pytest.mark.parametrize(
    ('notes', 'expected'),
    [
        ([], None),
        ([('v1', 0)], 'v1'),
        ([('', 0)], ''),
        ([('v1', 0), ('v1', 1)], 'v1'),
        ([('v1', 0), ('v2', 1)], None),
        ([('v1', 0), ('v2', 1), ('v2', 2)], None),
        ([('v1', -KEEP_S)], None),
        ([('v1', -KEEP_S + 0.1)], 'v1'),
        # What has lapsed contradicts nothing.
        ([('v1', -KEEP_S - 1), ('v2', 0)], 'v2'),
    ],
)
def test_version_of_a_stream(notes, expected):
    begun = BegunStreams()
    for version, at_s in notes:
        begun.note(ONE, version, KEEP_S, NOW_S + at_s)
    assert begun.version(ONE, NOW_S) == expected
    assert begun.version(TWO, NOW_S) is None


def test_oldest_streams_are_forgotten_first():
    begun = BegunStreams(limit=3)
    for number in range(5):
        begun.note(b'%08d' % number, 'v1', KEEP_S, NOW_S)
    assert len(begun) == 3
    found = [begun.version(b'%08d' % each, NOW_S) for each in range(5)]
    assert found == [None, None, 'v1', 'v1', 'v1']


def test_lapsed_streams_take_no_room():
    begun = BegunStreams()
    for number in range(100):
        begun.note(b'%08d' % number, 'v1', KEEP_S, NOW_S)
    begun.note(ONE, 'v1', KEEP_S, NOW_S + KEEP_S)
    assert len(begun) == 1


@pytest.mark.parametrize('request_id', ['', 'r1', 'x' * 9000, '\xff\x01'])
def test_digest_has_one_length(request_id):
    digest = stream_digest('llm', request_id)
    assert len(digest) == 8
    assert digest != stream_digest('desk', request_id)
    assert digest != stream_digest('llm', f'{request_id}1')


UNKNOWN = TakeUp(None, Knowledge.version_unknown, frozenset(('v1', 'v2')))


@pytest.mark.parametrize(
    ('take_up', 'remembered', 'expected'),
    [
        (UNKNOWN, None, (None, Knowledge.version_unknown)),
        (UNKNOWN, 'v1', ('v1', Knowledge.memory)),
        (UNKNOWN, 'v3', (None, Knowledge.version_unknown)),
        (TakeUp(None, Knowledge.too_old), None, (None, Knowledge.too_old)),
        (TakeUp(None, Knowledge.too_old), 'v3', ('v3', Knowledge.memory)),
    ],
)
def test_memory_decides_what_the_division_leaves_open(
    take_up, remembered, expected
):
    found = with_memory(take_up, remembered)
    assert (found.version, found.known_by) == expected
    assert (found.refusal is None) is (found.version is not None)


@pytest.mark.parametrize(
    'message',
    [
        StreamsBegun('llm', 'v1', ONE + TWO),
        StreamsBegun('llm', '', b''),
        StreamsBegun('llm', 'v1', b'x' * 8 * MAX_DIGESTS),
        StreamQuery(3, ONE),
        StreamAnswer(3, True, 'v1'),
        StreamAnswer(3, False, ''),
    ],
)
def test_messages_arrive_as_sent(message):
    assert decode(encode(message)) == (message,)


@pytest.mark.parametrize(
    'wire',
    [
        [14, 'llm', 'v1', b'1234567'],
        [14, 'llm', 'v1', b'x' * 8 * (MAX_DIGESTS + 1)],
        [14, 'llm', 'v1', '12345678'],
        [14, 'llm', 'v1', [ONE]],
        [14, 'llm', 1, ONE],
        [14, None, 'v1', ONE],
        [14, 'llm', 'v1'],
        [15, 3, b'1234567'],
        [15, 3, ONE + TWO],
        [15, 'x', ONE],
        [15, 3, None],
        [16, 3, 1, 'v1'],
        [16, 3, True, None],
        [16, 1 << 70, True, 'v1'],
    ],
)
def test_odd_messages_are_malformed(wire):
    with pytest.raises(MessageMalformed):
        decode(cbor2.dumps([wire]))


def test_queue_of_streams_to_tell_is_bounded():
    sent = []

    async def scenario():
        memory = StreamMemory(FleetView())
        memory.to_owners = sent.extend
        for number in range(MAX_DIGESTS + 50):
            memory.note_begun('llm', f'r{number}', 'v1')
        while not sent:
            await asyncio.sleep(0.01)
        return len(memory._begun)

    assert asyncio.run(scenario()) == MAX_DIGESTS + 50 <= MAX_STREAMS
    assert [len(each.digests) for each in sent] == [8 * MAX_DIGESTS]
    assert decode(encode(*sent)) == tuple(sent)


class FakeLink:
    """A link that records what it is told."""

    def __init__(self, is_relay, is_open):
        self.is_relay = is_relay
        self.is_open = is_open
        self.told = []

    def report_streams(self, messages):
        """Record what the owner is told."""
        self.told.extend(messages)


def links_of(data_centre, **links):
    cfg = SimpleNamespace(instance='front-1', data_centre=data_centre)
    owner_links = OwnerLinks(cfg, FleetView(), None, None, None)
    owner_links._links.update(links)
    return owner_links


def told_by(data_centre, links):
    """Return the names of the links over which streams are told."""
    owner_links = links_of(data_centre, **links)
    owner_links.streams.to_owners((StreamsBegun('llm', 'v1', ONE),))
    return {name for name, link in links.items() if link.told}


@pytest.mark.parametrize(
    ('links', 'count', 'expected'),
    [
        ({}, 0, set()),
        ({'a': (True, False), 'b': (False, False)}, 0, set()),
        ({'a': (True, True), 'b': (True, True), 'c': (False, True)}, 2, 'ab'),
        ({'a': (True, False), 'b': (True, True), 'c': (False, True)}, 1, 'b'),
        ({'a': (True, False), 'c': (False, True)}, 1, 'c'),
        ({each: (False, True) for each in 'abcdef'}, 2, None),
    ],
)
def test_owners_that_are_told(links, count, expected):
    made = {name: FakeLink(*each) for name, each in links.items()}
    told = told_by('dc', made)
    assert len(told) == count
    if expected is not None:
        assert told == set(expected)


def test_gateways_without_near_owners_choose_the_same_others():
    names = 'abcdefgh'
    told = [
        told_by('dc', {each: FakeLink(False, True) for each in order})
        for order in (names, reversed(names))
    ]
    assert told[0] == told[1]
