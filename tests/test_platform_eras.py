"""Answers of a store that has returned from an older copy."""

import json

import pytest
from scripted_server import answer
from test_platform_calls import VERSION, call_store, item, json_answer

from wasabicross.gateway.errors import HistoryGone, StoreUnavailable
from wasabicross.gateway.store_position import era_of, position, revision_of

OWNER = {'instance': 'front-1', 'host': '10.0.0.1'}


def era_answer(document, era, status=b'200 OK'):
    (plain,) = json_answer(document, status)
    head, _, body = plain.partition(b'\r\n\r\n')
    return [head + b'\r\nStore-Era: ' + era + b'\r\n\r\n' + body]


def page(revision, has_more=False, document=VERSION, key='op/version/m0.a1'):
    items = [item(key, document, revision - 1)]
    return {'items': items, 'hasMore': has_more, 'at': revision}


def claim(expected):
    return lambda store: store.write_owner(
        'dc.0', 'front-1', '10.0.0.1', expected
    )


@pytest.mark.parametrize(
    ('earlier', 'later'),
    [((0, 99), (1, 1)), ((1, 7), (1, 8)), ((3, 1 << 43), (4, 0))],
)
def test_later_eras_have_higher_positions(earlier, later):
    assert position(*earlier) < position(*later)
    assert (era_of(position(*later)), revision_of(position(*later))) == later


@pytest.mark.parametrize(('era', 'revision'), [(-1, 1), (1, -1), (0, 1 << 44)])
def test_positions_out_of_range(era, revision):
    with pytest.raises(ValueError, match='no position'):
        position(era, revision)


@pytest.mark.parametrize(
    ('script', 'era'),
    [
        (json_answer(page(90)), 0),
        (era_answer(page(90), b'0'), 0),
        (era_answer(page(90), b'1'), 1),
        (era_answer(page(90), b'41'), 41),
    ],
)
def test_revisions_of_answers_are_those_of_their_era(script, era):
    found, _ = call_store(lambda store: store.read(), script)
    assert found.revision == position(era, 90)
    assert found.items[0].revision == position(era, 89)


@pytest.mark.parametrize('era', [b'x', b'-1', b'1.5'])
def test_an_era_that_is_no_number(era):
    with pytest.raises(StoreUnavailable):
        call_store(lambda store: store.read(), era_answer(page(90), era))


def test_pages_of_two_eras_are_not_joined():
    scripts = [era_answer(page(90, has_more=True), b'1')]
    scripts.append(era_answer(page(80), b'2'))
    with pytest.raises(StoreUnavailable):
        call_store(lambda store: store.read(), *scripts)


@pytest.mark.parametrize(
    ('eras', 'is_taken'),
    [((b'1', b'1'), True), ((b'1', b'2'), False), ((b'2', b'1'), False)],
)
def test_a_watch_goes_on_in_its_own_era_only(eras, is_taken):
    """The store has given the revisions out again for other changes."""

    async def read_and_watch(store):
        found = await store.read()
        return await store.watch(found.revision, 0.1)

    events = {'events': [item('op/version/m0.a1', VERSION, 95)], 'at': 95}
    scripts = [era_answer(page(90), eras[0]), era_answer(events, eras[1])]
    if is_taken:
        found, seen = call_store(read_and_watch, *scripts)
        assert found.revision == position(1, 95)
        assert b'after=90&' in seen[1].head
        return
    with pytest.raises((HistoryGone, StoreUnavailable)):
        call_store(read_and_watch, *scripts)


@pytest.mark.parametrize(
    ('expected', 'script', 'written'),
    [
        (position(1, 7), era_answer({'revision': 9}, b'1'), position(1, 9)),
        (position(1, 0), era_answer({'revision': 9}, b'1'), position(1, 9)),
        (position(1, 7), era_answer({'items': []}, b'1', b'412 Failed'), None),
    ],
)
def test_a_write_in_the_era_of_its_condition(expected, script, written):
    found, (seen,) = call_store(claim(expected), script)
    assert found == written
    body = json.loads(seen.body)
    assert body['expected'][0]['revision'] == revision_of(expected)


@pytest.mark.parametrize(
    'script',
    [
        era_answer({'revision': 9}, b'2'),
        era_answer({'items': []}, b'2', b'412 Failed'),
    ],
)
def test_a_condition_that_held_for_a_write_of_another_era(script):
    """The group would have two owners."""
    with pytest.raises(StoreUnavailable):
        call_store(claim(position(1, 7)), script)


@pytest.mark.parametrize(
    ('record', 'era', 'is_restored'),
    [
        (OWNER, b'0', False),
        (OWNER, b'1', True),
        ({**OWNER, 'era': '1'}, b'1', False),
        ({**OWNER, 'era': '1'}, b'2', True),
        ({**OWNER, 'era': 2}, b'2', False),
    ],
)
def test_records_tell_in_which_era_they_were_written(record, era, is_restored):
    found, _ = call_store(
        lambda store: store.read(),
        era_answer(page(90, False, record, 'wasabicross/owner/dc.0'), era),
    )
    assert found.changes[0].is_restored is is_restored


def test_a_record_with_an_unreadable_era():
    record = {**OWNER, 'era': 'x'}
    found, _ = call_store(
        lambda store: store.read(),
        json_answer(page(90, False, record, 'wasabicross/owner/dc.0')),
    )
    (change,) = found.changes
    assert (change.group, change.instance, change.host) == ('dc.0', '', '')
    assert len(found.unreadable) == 1


@pytest.mark.parametrize(('era', 'record'), [(0, OWNER), (3, {'era': '3'})])
def test_writers_state_the_era_that_they_know(era, record):
    _, (seen,) = call_store(
        claim(position(era, 7)), era_answer({'revision': 9}, b'%d' % era)
    )
    (put,) = json.loads(seen.body)['puts']
    written = item('', {**OWNER, **record})['value']
    assert put['value'] == written


def test_a_registration_returns_the_era_in_which_it_was_written():
    era, _ = call_store(
        lambda store: store.register_instance('front-1', '10.0.0.1', 'dc', 1),
        era_answer({'revision': 9}, b'3'),
    )
    assert era == 3


def test_an_answer_without_an_era_is_of_the_last_one():
    async def read_twice(store):
        return (await store.read()).revision, (await store.read()).revision

    scripts = [
        era_answer(page(90), b'2'),
        [answer(json.dumps(page(95)).encode())],
    ]
    found, _ = call_store(read_twice, *scripts)
    assert found == (position(2, 90), position(2, 95))
