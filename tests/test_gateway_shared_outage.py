"""New streams at gateways that hear nothing of the store for long."""

import asyncio
import contextlib
import time
from types import SimpleNamespace

import pytest
from raw_caller import status_of
from test_gateway_stream_memory import OWNER, Owner, gateway_at, until
from test_gateway_version_knowledge import NOW_S, view_of
from version_parts import OLD, send, servers_of, stream
from websockets.asyncio.server import serve

from emulator.waiting import free_ports
from wasabicross.gateway.messages import Hello, encode
from wasabicross.gateway.shared_outage import (
    OwnerAnswers,
    SharedOutage,
    is_news_digest,
    news_digest,
    news_text,
)
from wasabicross.gateway.stream_divisions import StreamDivision
from wasabicross.gateway.stream_messages import StreamAnswer, StreamQuery
from wasabicross.gateway.streams.service_versions import versions_digest
from wasabicross.gateway.streams.stream_memory import StreamMemory
from wasabicross.gateway.streams.stream_versions import StreamVersions

KNOWN = {'llm': StreamDivision(3, OLD), 'desk': StreamDivision(1, OLD)}

#: What a gateway of e5c1709 answers.
TELLS_NOTHING = StreamAnswer(1, False, '')


def answer(text):
    return StreamAnswer(1, True, text)


@pytest.mark.parametrize(
    ('answers', 'are_all_reached', 'covered'),
    [
        ((), True, {'llm', 'desk'}),
        ((answer('6000'),), True, {'llm', 'desk'}),
        ((TELLS_NOTHING,), True, {'llm', 'desk'}),
        ((answer('6000\n3 llm\n1 desk'),), True, {'llm', 'desk'}),
        ((answer('6000\n2 llm'),), True, {'llm', 'desk'}),
        ((answer('6000\n4 llm\n1 desk'),), True, {'desk'}),
        ((answer('9000'), answer('6000\n4 llm')), True, {'desk'}),
        ((answer('2000'),), True, set()),
        ((answer('6000'), answer('100')), True, set()),
        ((answer('odd'),), True, set()),
        ((answer('6000'), None), True, {'llm', 'desk'}),
        ((answer('6000'), None), False, set()),
        ((None,), False, set()),
    ],
)
def test_services_whose_streams_begin_by_the_word_of_owners(
    answers, are_all_reached, covered
):
    outage = SharedOutage()
    outage.on_answers(OwnerAnswers(answers, are_all_reached), KNOWN, NOW_S)
    found = {each for each in KNOWN if outage.covers(each, NOW_S + 2)}
    assert found == covered
    assert not any(outage.covers(each, NOW_S + 3) for each in KNOWN)


def test_owner_that_hears_the_store_again_ends_the_outage():
    outage = SharedOutage()
    outage.on_answers(OwnerAnswers((answer('6000'),)), KNOWN, NOW_S)
    outage.on_answers(OwnerAnswers((answer('10'),)), KNOWN, NOW_S + 1)
    assert not outage.covers('llm', NOW_S + 1)


def test_owner_tells_its_divisions_only_where_others_differ():
    digest = news_digest(KNOWN)
    assert (len(digest), is_news_digest(digest)) == (8, True)
    assert news_text(digest, KNOWN, 6.0004) == '6000'
    later = {**KNOWN, 'llm': StreamDivision(4, OLD)}
    assert news_text(digest, later, 6) == '6000\n1 desk\n4 llm'
    assert news_text(digest, {}, float('inf')) == '86400000'
    assert not is_news_digest(versions_digest('llm'))


def test_owner_answers_a_question_for_news():
    view = view_of(('v1',), StreamDivision(3, OLD), time.monotonic() - 6)
    query = StreamQuery(7, news_digest(view.divisions))
    found = StreamMemory(view).answer(query)
    assert found.is_known
    assert 6000 <= int(found.software_version) < 7000


@pytest.mark.parametrize('age_s', [5.1, 13, 20])
def test_streams_begin_out_of_touch_only_in_an_outage_that_owners_share(age_s):
    view = view_of(('v1', 'v1'), StreamDivision(3, OLD), NOW_S - age_s)
    streams = StreamVersions(view)
    assert not streams.may_begin('llm', 'r1', NOW_S)
    outage = view.divisions.outage
    outage.on_answers(OwnerAnswers((answer('9000'),)), view.divisions, NOW_S)
    assert streams.may_begin('llm', 'r1', NOW_S + 2)
    assert not streams.may_begin('llm', 'r1', NOW_S + 3)


@contextlib.asynccontextmanager
async def owner_of(kind, port):
    """Serve an owner: in touch, not so, of e5c1709, silent or ended."""
    owner = Owner(port)
    known_s = time.monotonic() - (0 if kind == 'in touch' else 6)
    owner.memory._view = view_of(('v1',), StreamDivision(3, OLD), known_s)
    if kind == 'old':
        owner.memory.answer = lambda query: StreamAnswer(
            query.call_id, False, ''
        )

    async def hang(conn):
        await conn.send(encode(Hello('front-9')))
        await conn.wait_closed()

    if kind == 'silent':
        async with serve(hang, OWNER, port, close_timeout=0.1):
            yield
    else:
        async with owner.serving():
            yield


async def begun_out_of_touch(kind, monkeypatch):
    """Return the status of a stream that begins after 6 s without news."""
    (port,) = free_ports(1)
    servers = servers_of(('v1', 'v1'))
    division = StreamDivision(3, OLD)
    async with contextlib.AsyncExitStack() as stack:
        owning = await stack.enter_async_context(contextlib.AsyncExitStack())
        await owning.enter_async_context(owner_of(kind, port))
        bench = await stack.enter_async_context(
            gateway_at(2, port, servers, monkeypatch, division)
        )
        if kind == 'ended':
            await owning.aclose()
            await until(lambda: bench.gateway._links._links[OWNER].is_refused)
        view = bench.gateway.view
        view.instances['front-9'] = SimpleNamespace(instance='front-9')
        bench.gateway._follower._on_confirmed = lambda _at_s: None
        view.confirmed_s = time.monotonic() - 6
        await asyncio.sleep(0.5)
        received, _ = await send(bench, stream('new'))
        return status_of(received)


@pytest.mark.parametrize(
    ('kind', 'status'),
    [
        ('out of touch', 200),
        ('old', 200),
        ('ended', 200),
        ('in touch', 503),
        ('silent', 503),
    ],
)
def test_new_stream_after_six_seconds_without_news(kind, status, monkeypatch):
    assert asyncio.run(begun_out_of_touch(kind, monkeypatch)) == status


def test_nothing_is_asked_while_the_store_answers(monkeypatch):
    async def scenario():
        (port,) = free_ports(1)
        owner = Owner(port)
        servers = servers_of(('v1', 'v1'))
        division = StreamDivision(3, OLD)
        async with (
            owner.serving(),
            gateway_at(2, port, servers, monkeypatch, division),
        ):
            await asyncio.sleep(2)
            return [each for each in owner.asked if is_news_digest(each.digest)]

    assert asyncio.run(scenario()) == []
