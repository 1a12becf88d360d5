"""Owners tell whether they know another version of a service."""

import asyncio
import math
import time
from types import SimpleNamespace

import cbor2
import pytest
from raw_caller import status_of
from test_gateway_stream_memory import Owner, gateway_at, refused
from test_gateway_version_knowledge import (
    LIMIT_S,
    NOW_S,
    ROUTE,
    id_of,
    info_of,
    view_of,
)
from version_parts import HALF, OLD, send, servers_of, stream, take_up

from emulator.waiting import free_ports
from wasabicross.gateway.messages import encode
from wasabicross.gateway.shared_outage import OwnerAnswers
from wasabicross.gateway.stream_divisions import FormerBuckets, StreamDivision
from wasabicross.gateway.stream_messages import StreamAnswer, StreamQuery
from wasabicross.gateway.streams import stream_versions
from wasabicross.gateway.streams.begun_streams import stream_digest
from wasabicross.gateway.streams.owner_words import OwnerWords, Word, word_of
from wasabicross.gateway.streams.service_versions import versions_digest
from wasabicross.gateway.streams.stream_memory import StreamMemory
from wasabicross.gateway.streams.stream_versions import StreamVersions
from wasabicross.gateway.streams.take_ups import Knowledge

#: An answer within one round of questions and without the store.
AT_ONCE_S = 0.4

SAME = StreamAnswer(1, True, 'v1')
OTHER = StreamAnswer(1, True, 'v1\nv2')
#: What an owner of e5c1709 answers to a question for versions.
TELLS_NOTHING = StreamAnswer(1, False, '')


@pytest.mark.parametrize(
    ('answers', 'word'),
    [
        ((), Word.same),
        ((SAME, SAME), Word.same),
        ((SAME, OTHER), Word.other),
        ((None, OTHER), Word.other),
        ((TELLS_NOTHING, StreamAnswer(1, True, 'v2')), Word.other),
        ((SAME, TELLS_NOTHING), Word.partial),
        ((SAME, None), Word.partial),
        ((TELLS_NOTHING,), Word.partial),
        ((None, None), Word.none),
    ],
)
def test_word_of_all_owners(answers, word):
    reached = any(answers) or not answers
    assert word_of(OwnerAnswers(answers, reached), 'v1') is word


RECENTLY = (FormerBuckets(('v0',) * 32, math.inf),)
LONG_AGO = (FormerBuckets(('v0',) * 32, -math.inf),)


@pytest.mark.parametrize(
    ('versions', 'division', 'text'),
    [
        (('v1', 'v1'), StreamDivision(1, OLD), 'v1'),
        (('v1', 'v2'), StreamDivision(1, OLD), 'v1\nv2'),
        (('v2',), StreamDivision(1, OLD), 'v1\nv2'),
        (('v1',), StreamDivision(1, OLD, HALF), 'v1\nv2'),
        (('v1',), StreamDivision(3, OLD, former=RECENTLY), 'v0\nv1'),
        (('v1',), StreamDivision(3, OLD, former=LONG_AGO), 'v1'),
        (('v1',), None, 'v1'),
        (('',), None, ''),
        ((), None, None),
    ],
)
def test_owner_tells_the_versions_that_begin_streams(versions, division, text):
    memory = StreamMemory(view_of(versions, division))
    answer = memory.answer(StreamQuery(7, versions_digest('llm')))
    assert answer == StreamAnswer(7, text is not None, text or '')


def test_question_is_a_message_that_gateways_of_e5c1709_answer():
    """They know kinds 15 and 16, and no stream with this digest."""
    digest = versions_digest('llm')
    assert len(digest) == 8
    frame = encode(StreamQuery(7, digest))
    assert cbor2.loads(frame) == [[15, 7, digest]]
    frame = encode(StreamAnswer(7, True, 'v1\nv2'))
    assert cbor2.loads(frame) == [[16, 7, True, 'v1\nv2']]


def test_take_ups_at_one_time_share_their_questions():
    asked = []

    async def owners(digest):
        asked.append(digest)
        await asyncio.sleep(0.02)
        return OwnerAnswers((SAME,))

    async def play():
        words = OwnerWords(lambda: 3)
        words.ask_owners = owners
        found = []
        for _ in range(20):
            asked_s = time.monotonic()
            found += [
                asyncio.ensure_future(words.word('llm', 'v1', asked_s))
                for _ in range(10)
            ]
            await asyncio.sleep(0.001)
        return await asyncio.gather(*found)

    assert asyncio.run(play()) == [Word.same] * 200
    assert 2 <= len(asked) <= 4


def test_question_counts_only_if_it_was_sent_after_the_take_up():
    async def owners(_digest):
        return OwnerAnswers((OTHER if is_known else SAME,))

    async def play():
        nonlocal is_known
        words = OwnerWords(lambda: 3)
        words.ask_owners = owners
        first = await words.word('llm', 'v1', time.monotonic())
        is_known = True
        return first, await words.word('llm', 'v1', time.monotonic())

    is_known = False
    assert asyncio.run(play()) == (Word.same, Word.other)


def resolved(view, answers, monkeypatch, remembered=None, confirmed=None):
    """Return what a gateway knows of a take-up with the word of owners.

    :param confirmed: division that the store confirms, None for no answer.
    """
    monkeypatch.setattr(stream_versions, 'clock_s', lambda: NOW_S + 0.9)

    async def owners(_digest):
        if confirmed is not None:
            view.divisions['llm'] = confirmed
            view.confirmed_s = NOW_S + 0.1
        return OwnerAnswers(answers, any(answers) or not answers)

    async def play():
        streams = StreamVersions(view)
        streams._memory.words.ask_owners = owners
        if remembered is not None:
            streams._memory._note('llm', remembered, stream_digest('llm', '9c'))
        info = info_of('9c')
        found = streams.for_take_up(ROUTE, info, NOW_S)
        found = await streams.recall(found, 'llm', info)
        return await streams.confirmed_take_up(found, ROUTE, info, NOW_S)

    return asyncio.run(play())


@pytest.mark.parametrize(
    ('answers', 'remembered', 'known_by', 'version'),
    [
        ((), None, Knowledge.owners, 'v1'),
        ((SAME,), None, Knowledge.owners, 'v1'),
        ((SAME, None), None, Knowledge.owners, 'v1'),
        ((TELLS_NOTHING,), None, Knowledge.owners, 'v1'),
        ((TELLS_NOTHING,), 'v1', Knowledge.memory, 'v1'),
        ((TELLS_NOTHING,), 'v2', Knowledge.unconfirmed, None),
        ((SAME, None), 'v2', Knowledge.unconfirmed, None),
        ((OTHER,), None, Knowledge.unconfirmed, None),
        ((SAME, OTHER), 'v2', Knowledge.unconfirmed, None),
        ((OTHER,), 'v1', Knowledge.memory, 'v1'),
        ((None,), None, Knowledge.unconfirmed, None),
        ((None,), 'v1', Knowledge.memory, 'v1'),
    ],
)
@pytest.mark.parametrize('division', [StreamDivision(1, OLD), None])
@pytest.mark.parametrize('age_s', [1, 4])
def test_take_up_without_the_store_goes_on_unless_an_owner_knows_better(
    answers, remembered, known_by, version, division, age_s, monkeypatch
):
    view = view_of(('v1', 'v1'), division, NOW_S - age_s)
    found = resolved(view, answers, monkeypatch, remembered)
    assert (found.known_by, found.version) == (known_by, version)
    if version is None:
        assert found.refusal.retry_after_s == 1


def test_store_that_answers_decides_beside_owners_that_do_not(monkeypatch):
    view = view_of(('v1', 'v1'), StreamDivision(1, OLD), NOW_S - 1)
    found = resolved(
        view, (None,), monkeypatch, confirmed=StreamDivision(1, OLD)
    )
    assert (found.known_by, found.version) == (Knowledge.division, 'v1')


@pytest.mark.parametrize('is_old', [True, False])
@pytest.mark.parametrize('count', [1, 2, 8])
def test_in_an_outage_all_take_ups_go_on(count, is_old, monkeypatch):
    """LOST: no less than half of the share of new streams that begin."""
    answers = (TELLS_NOTHING if is_old else SAME,) * count
    went_on = 0
    for age_s in (0.1, 0.5, 1, 1.5, 2, 2.5, 3, 3.5, 4, 4.5, 4.9, 5):
        view = view_of(('v1', 'v1'), StreamDivision(1, OLD), NOW_S - age_s)
        assert StreamVersions(view).may_begin('llm', 'r1', NOW_S)
        went_on += resolved(view, answers, monkeypatch).version == 'v1'
    assert went_on == 12


@pytest.mark.parametrize('age_s', [6, 13, 20])
@pytest.mark.parametrize(
    ('answers', 'version'),
    [((SAME,), 'v1'), ((TELLS_NOTHING,), 'v1'), ((OTHER,), None)],
)
@pytest.mark.parametrize('is_shared', [True, False])
def test_take_ups_go_on_in_a_long_outage_that_owners_share(
    answers, version, age_s, is_shared, monkeypatch
):
    """They began before it, so no gateway remembers them."""
    division = StreamDivision(1, OLD)
    view = view_of(('v1', 'v1'), division, NOW_S - age_s)
    if is_shared:
        news = OwnerAnswers((StreamAnswer(1, True, '6000'),))
        view.divisions.outage.on_answers(news, view.divisions, NOW_S)
    found = resolved(view, answers, monkeypatch)
    assert found.version == (version if is_shared else None)
    assert found.version or found.refusal.retry_after_s == 1


def is_cut_off(bench):
    """Let a gateway hear nothing more from the store."""
    follower = bench.gateway._follower
    follower._on_confirmed = lambda _at_s: None
    bench.gateway.view.confirmed_s = time.monotonic() - 2


def one_version(monkeypatch, owner_view, *, is_old=False):
    """Return the answer to a take-up at a gateway that knows v1 only."""

    async def scenario():
        (port,) = free_ports(1)
        owner = Owner(port)
        owner.memory._view = owner_view
        if is_old:
            owner.memory.answer = lambda query: StreamAnswer(
                query.call_id, False, ''
            )
        servers = servers_of(('v1', 'v1'))
        division = StreamDivision(1, OLD)
        async with (
            owner.serving(),
            gateway_at(2, port, servers, monkeypatch, division) as bench,
        ):
            is_cut_off(bench)
            sent = take_up(id_of(OLD, 'v1'))
            received, took_s = await refused(bench, sent)
            began, versions = await send(bench, stream('new'))
            assert (status_of(began), versions) == (200, {'v1'})
            return status_of(received), took_s, len(owner.asked)

    return asyncio.run(scenario())


def test_gateway_that_only_owners_reach_joins_no_stream_of_a_new_version(
    monkeypatch,
):
    """A stream begins at v2, breaks off, and is taken up where v1 is known."""
    knows_more = view_of(('v1', 'v2'), StreamDivision(2, ('v2',) * 32))
    status, took_s, _ = one_version(monkeypatch, knows_more)
    assert status == 503
    assert took_s < 1.5


def test_take_up_in_an_outage_that_owners_share_goes_on_at_once(monkeypatch):
    view = view_of(('v1', 'v1'), StreamDivision(1, OLD), 0)
    status, took_s, asked = one_version(monkeypatch, view)
    assert (status, asked) == (200, 1)
    assert took_s < AT_ONCE_S


def test_take_up_beside_owners_that_tell_no_versions_goes_on(monkeypatch):
    status, took_s, _ = one_version(monkeypatch, view_of(()), is_old=True)
    assert status == 200
    assert took_s < 1.5


@pytest.mark.parametrize('others', [(), ('front-1',)])
def test_gateway_without_links_asks_the_store_unless_it_is_alone(
    others, monkeypatch
):
    """It knows no owner; any other gateway may write a division."""

    async def scenario():
        servers = servers_of(('v1', 'v1'))
        division = StreamDivision(1, OLD)
        async with gateway_at(2, 0, servers, monkeypatch, division) as bench:
            view = bench.gateway.view
            sent = take_up(id_of(OLD, 'v1'))
            in_touch, _ = await send(bench, sent)
            is_cut_off(bench)
            view.owners.clear()
            view.instances.clear()
            for each in others:
                view.instances[each] = SimpleNamespace(instance=each)
            cut_off, took_s = await refused(bench, sent)
            return status_of(in_touch), status_of(cut_off), took_s

    in_touch, cut_off, took_s = asyncio.run(scenario())
    assert in_touch == 200
    assert cut_off == (503 if others else 200)
    assert took_s < (1.5 if others else AT_ONCE_S)


def test_owners_are_asked_once_for_a_take_up_and_never_without_one(
    monkeypatch,
):
    async def scenario():
        (port,) = free_ports(1)
        owner = Owner(port)
        owner.memory._view = view_of(('v1',), StreamDivision(1, OLD), 0)
        servers = servers_of(('v1', 'v1'))
        division = StreamDivision(1, OLD)
        async with (
            owner.serving(),
            gateway_at(2, port, servers, monkeypatch, division) as bench,
        ):
            for number in range(20):
                await send(bench, stream(f'new-{number}'))
            assert not owner.asked
            sent = take_up(id_of(OLD, 'v1'), Time_Left_Ms=str(LIMIT_S * 1000))
            received, _ = await send(bench, sent)
            assert status_of(received) == 200
            return len(owner.asked)

    assert asyncio.run(scenario()) == 1
