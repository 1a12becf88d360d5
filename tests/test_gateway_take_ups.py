"""Callers take interrupted streams up again, at the version that began them."""

import time

import pytest
from raw_caller import status_of
from scripted_server import STREAM_END
from version_parts import (
    AT_ONCE_S,
    HALF,
    ID_OF_V1,
    IDS,
    LAST,
    OLD,
    THIRDS,
    TWO_OF_EACH,
    RefusingServer,
    run_versions,
    send,
    servers_of,
    stream,
    take_up,
)

from wasabicross.gateway import metrics
from wasabicross.gateway.clock import now_s
from wasabicross.gateway.stream_divisions import (
    MAX_KNOWLEDGE_AGE_S,
    bucket_of,
)
from wasabicross.gateway.streams import stream_request
from wasabicross.runtime.events import Event


def seen_by(servers):
    return {each.version for each in servers if each.seen}


@pytest.mark.parametrize(
    ('versions', 'buckets'),
    [
        (('v1', 'v2'), HALF),
        (('v2', 'v1'), HALF),
        (TWO_OF_EACH, HALF),
        (('v3', 'v1', 'v2'), THIRDS),
    ],
)
def test_take_up_goes_to_the_version_that_began_the_stream(versions, buckets):
    servers = servers_of(versions)

    async def scenario(bench):
        return [
            await send(bench, take_up(resumes, f'r{resumes}'))
            for resumes in IDS
        ]

    answers = run_versions(scenario, servers, buckets)
    expected = [{buckets[bucket_of(each)]} for each in IDS]
    assert [found for _, found in answers] == expected
    assert len({version for each in expected for version in each}) > 1


def test_chain_of_take_ups_keeps_to_one_version():
    breaks = []
    servers = servers_of(TWO_OF_EACH, breaks)

    async def scenario(bench):
        answers = []
        for resumes in IDS:
            breaks[:] = [1] * 6
            answers.append(await send(bench, stream(resumes)))
            for last in (2, 4):
                sent = take_up(resumes, f'{resumes}-{last}', last)
                answers.append(await send(bench, sent))
        return answers

    answers = run_versions(scenario, servers, HALF)
    for first in range(0, len(answers), 3):
        of_stream = [found for _, found in answers[first : first + 3]]
        assert of_stream == [{HALF[bucket_of(IDS[first // 3])]}] * 3


@pytest.mark.parametrize('cause', ['removed', 'leaving', 'told to be leaving'])
def test_take_up_whose_version_has_left_is_refused_at_once(cause):
    servers = servers_of(('v1', 'v2', 'v2'))

    async def scenario(bench):
        view = bench.gateway.view
        server = view.servers['i-0']
        if cause == 'removed':
            view.servers.pop('i-0')
        elif cause == 'leaving':
            view.servers['i-0'] = server._replace(is_leaving=True)
        else:
            view.notices._leaving['i-0', 0] = None
        return await refused(bench, take_up(ID_OF_V1))

    received, took_s = run_versions(scenario, servers, HALF)
    assert status_of(received) == 503
    assert b'retry-after: 60.00' in received.lower()
    assert took_s < AT_ONCE_S
    assert not seen_by(servers)


async def refused(bench, sent):
    began_s = time.monotonic()
    received, _ = await send(bench, sent)
    return received, time.monotonic() - began_s


@pytest.mark.parametrize('buckets', [None, HALF])
def test_take_up_of_a_stream_of_unknown_version_is_refused_at_once(buckets):
    servers = servers_of(('v1', 'v2'))

    async def scenario(bench):
        return await refused(bench, stream('r2', Last_Event_Id='3'))

    received, took_s = run_versions(scenario, servers, buckets)
    assert status_of(received) == 503
    assert b'retry-after: 60.00' in received.lower()
    assert took_s < AT_ONCE_S
    assert not seen_by(servers)


@pytest.mark.parametrize('buckets', [None, OLD])
def test_take_up_without_news_from_the_store_is_refused(buckets):
    servers = servers_of(('v1', 'v1'))

    async def scenario(bench):
        view = bench.gateway.view
        bench.gateway._follower._on_confirmed = lambda _at_s: None
        view.confirmed_s = now_s() - MAX_KNOWLEDGE_AGE_S - 0.1
        return await refused(bench, take_up(ID_OF_V1))

    received, took_s = run_versions(scenario, servers, buckets)
    assert status_of(received) == 503
    assert b'retry-after: 1.00' in received.lower()
    assert took_s < AT_ONCE_S
    assert not seen_by(servers)


def test_full_servers_of_the_version_are_not_passed_over():
    servers = servers_of(('v1', 'v2'))

    async def scenario(bench):
        bench.gateway.view.own.requests['i-0'] = 8
        return await send(bench, take_up(ID_OF_V1))

    _, found = run_versions(scenario, servers, HALF)
    assert found == {'v1'}


@pytest.mark.parametrize('misdirecting', ['v1', 'v2'])
def test_misdirected_take_up_goes_to_another_server_of_its_version(
    misdirecting,
):
    servers = [RefusingServer(misdirecting), *servers_of(TWO_OF_EACH)]

    async def scenario(bench):
        return [await send(bench, take_up(each, f'r{each}')) for each in IDS]

    for resumes, (received, found) in zip(
        IDS, run_versions(scenario, servers, HALF), strict=True
    ):
        assert found == {HALF[bucket_of(resumes)]}
        assert received.endswith(STREAM_END)


@pytest.mark.parametrize('buckets', [None, OLD])
@pytest.mark.parametrize(
    'fields',
    [
        {'Resumes': ID_OF_V1},
        {'Resumes': ''},
        {},
        {'Resumes': 'x' * 3000},
        {'Resumes': 'id of another route'},
    ],
)
def test_take_up_goes_on_where_there_has_been_one_version(fields, buckets):
    breaks = [2]
    servers = servers_of(('v1', 'v1', 'v1'), breaks)

    async def scenario(bench):
        return await send(bench, stream('r2', Last_Event_Id='3', **fields))

    received, found = run_versions(scenario, servers, buckets)
    assert found == {'v1'}
    assert received.endswith(STREAM_END)


def test_stream_that_no_event_has_come_of_may_begin_anywhere():
    servers = servers_of(('v2',))

    async def scenario(bench):
        return await send(bench, stream('r2', Resumes=ID_OF_V1))

    received, found = run_versions(scenario, servers, ('v2',) * 32)
    assert found == {'v2'}
    assert received.count(b'data: v2') == LAST


def test_take_up_that_names_two_attempts_is_of_no_known_version():
    servers = servers_of(('v1', 'v2'))
    sent = take_up(ID_OF_V1).replace(
        b'Resumes: ', b'Resumes: another\r\nResumes: '
    )

    async def scenario(bench):
        return await refused(bench, sent)

    received, _ = run_versions(scenario, servers, HALF)
    assert status_of(received) == 503
    assert not seen_by(servers)


@pytest.mark.parametrize(
    ('buckets', 'sent', 'outcome'),
    [
        (HALF, take_up(ID_OF_V1), 'went on'),
        (HALF, take_up(ID_OF_V1, last=LAST), 'went on'),
        (('v3',) * 32, take_up(ID_OF_V1), 'no server of its version'),
        (HALF, take_up(''), 'version unknown'),
        (HALF, take_up(ID_OF_V1, Model='m1/a1'), 'failed'),
    ],
)
def test_outcome_of_a_take_up_is_counted(buckets, sent, outcome):
    count = metrics.TAKE_UPS.labels('llm', outcome)._value
    before = count.get()

    async def scenario(bench):
        return await send(bench, sent)

    run_versions(scenario, servers_of(('v1', 'v2')), buckets)
    assert count.get() == before + 1


def test_line_of_a_take_up(monkeypatch):
    lines = []
    monkeypatch.setattr(
        stream_request,
        'log_event',
        lambda event, **fields: lines.append((event, fields)),
    )

    async def scenario(bench):
        await send(bench, take_up(ID_OF_V1))
        await send(bench, take_up('', 'r3', 4))

    run_versions(scenario, servers_of(('v1', 'v2')), HALF)
    assert [event for event, _ in lines] == [Event.STREAM_TAKEN_UP] * 2
    known, unknown = (fields for _, fields in lines)
    assert known == {
        'request': 'r2',
        'resumes': ID_OF_V1,
        'last_event': '3',
        'service': 'llm',
        'software_version': 'v1',
        'known_by': 'division',
        'possible': ['v1'],
        'time_left_s': 5.0,
        'within_s': 55.0,
    }
    assert unknown['software_version'] == ''
    assert unknown['known_by'] == 'version unknown'
    assert unknown['possible'] == ['v1', 'v2']


def test_longest_time_limit_of_resumable_streams_is_known():
    async def scenario(bench):
        for time_left_ms in (4000, 9000, 7000):
            await send(bench, stream(Time_Left_Ms=str(time_left_ms)))
        return bench.gateway.view.divisions.time_limits

    time_limits = run_versions(scenario, servers_of(('v1',)), OLD)
    assert time_limits.longest_s('llm') == 9


def test_take_up_while_a_change_is_announced_waits_for_the_store_and_goes_on():
    """The announced versions may be in force elsewhere until it has answered."""
    servers = servers_of(('v1', 'v2'))
    moved = next(each for each in IDS if HALF[bucket_of(each)] == 'v2')

    async def scenario(bench):
        divisions = bench.gateway.view.divisions
        divisions['llm'] = divisions['llm']._replace(announced=HALF)
        return await send(bench, take_up(moved))

    received, found = run_versions(scenario, servers, OLD)
    assert status_of(received) == 200
    assert found == {'v1'}
