"""What proves that an answer is complete whose connection has ended."""

import asyncio
import math

import pytest
from scripted_server import HOST, ScriptedServer, answer

from wasabicross.gateway.answer_ends.end_decisions import (
    AnswerEnd,
    AnswerOrigin,
    LifeSign,
    needs_proof,
    proof_by,
    why_broken,
)
from wasabicross.gateway.answer_ends.end_proof import EndProof
from wasabicross.gateway.answer_ends.life_checks import LifeChecks
from wasabicross.gateway.backend import BackendServer, EngineReport
from wasabicross.gateway.clock import now_s
from wasabicross.gateway.configuration import (
    Configuration,
    EngineSpec,
    ModelSpec,
    Service,
)
from wasabicross.gateway.connections.connection_pool import ConnectionPool
from wasabicross.gateway.errors import AnswerMissing, ServerUnreachable
from wasabicross.gateway.server_notices import ServerNotice, ServerNotices
from wasabicross.gateway.view import FleetView
from wasabicross.platform.engines import PlatformEngineClient
from wasabicross.platform.headers import REQUEST_ID

SERVER = BackendServer(
    's1', 'llm', HOST, 1, 'dc', 8, False, {}, frozenset(), start_ms=7
)
ORIGIN = AnswerOrigin(SERVER, sent_s=100)
PROOFS = (EndProof.same_start, EndProof.same_process)

STATED = AnswerEnd(is_stated=True, is_empty=False)
UNSTATED = AnswerEnd(is_stated=False, is_empty=False)
EMPTY = AnswerEnd(is_stated=False, is_empty=True)
STATED_EMPTY = AnswerEnd(is_stated=True, is_empty=True)
INSIDE = AnswerEnd(is_stated=False, is_empty=False, is_inside_event=True)
STATED_INSIDE = INSIDE._replace(is_stated=True)


@pytest.mark.parametrize(
    ('end', 'asks', 'unproved', 'proved'),
    [
        (STATED, False, True, True),
        (STATED_EMPTY, False, True, True),
        (UNSTATED, True, False, True),
        (EMPTY, False, False, False),
        (INSIDE, False, False, False),
        (STATED_INSIDE, False, False, False),
    ],
)
def test_an_end_counts_as_stated_or_with_proof(end, asks, unproved, proved):
    assert needs_proof(end) is asks
    assert (not why_broken(end, EndProof.none)) is unproved
    for proof in PROOFS:
        assert (not why_broken(end, proof)) is proved


@pytest.mark.parametrize(
    ('sign', 'start_ms', 'proof'),
    [
        (LifeSign(start_ms=7), 7, EndProof.same_start),
        (LifeSign(start_ms=8), 7, EndProof.none),
        (LifeSign(start_ms=6), 7, EndProof.none),
        (LifeSign(start_ms=7), 0, EndProof.none),
        # Neither states its start, so nothing is known of it.
        (LifeSign(start_ms=0), 0, EndProof.none),
        (LifeSign(since_s=99), 7, EndProof.same_process),
        (LifeSign(since_s=100), 0, EndProof.same_process),
        (LifeSign(since_s=100.001), 7, EndProof.none),
        # The list lags behind its restart.
        (LifeSign(start_ms=8, since_s=99), 7, EndProof.same_process),
        (LifeSign(start_ms=8, since_s=101), 7, EndProof.none),
        (LifeSign(reason='no answer'), 7, EndProof.none),
    ],
)
def test_only_the_process_that_answered_proves_its_end(sign, start_ms, proof):
    origin = ORIGIN._replace(server=SERVER._replace(start_ms=start_ms))
    assert proof_by(sign, origin) is proof


CONFIGURATION = Configuration.from_parts(
    version=1,
    routes=(),
    services={
        'llm': Service(
            'llm', '/h', 100, EngineSpec(5, 50, (ModelSpec('m0', 40, 1),))
        ),
        'desk': Service('desk', '/h', 100, None),
    },
    limits=None,
)


class Engines:
    """Answer questions with a list of outcomes; the last one is repeated.

    :param outcomes: starts to report, or errors.
    """

    def __init__(self, *outcomes):
        self._outcomes = list(outcomes)
        self.asked_s = []
        self.go_on = asyncio.Event()
        self.go_on.set()

    async def report(self, server):
        """Return a report that names a start."""
        self.asked_s.append(now_s())
        outcome = self._outcomes[0]
        if len(self._outcomes) > 1:
            self._outcomes.pop(0)
        await self.go_on.wait()
        if isinstance(outcome, Exception):
            raise outcome
        return EngineReport(
            0, False, 0, 0, {}, frozenset(), frozenset(), outcome
        )


def checks_with(engines, pool=None):
    view = FleetView()
    view.configuration = CONFIGURATION
    return LifeChecks(view, pool, engines), view


SILENT = AnswerMissing('no answer')
REFUSED = ServerUnreachable('refused', is_refused=True)
CUT_OFF = ServerUnreachable('no connection')


@pytest.mark.parametrize(
    ('outcomes', 'proof', 'asked'),
    [
        ([7], EndProof.same_start, 1),
        ([8], EndProof.none, 1),
        ([0], EndProof.none, 1),
        ([REFUSED], EndProof.none, 1),
        # It may merely be frozen or out of reach for a moment.
        ([SILENT, 7], EndProof.same_start, 2),
        ([CUT_OFF, SILENT, 7], EndProof.same_start, 3),
        ([SILENT, REFUSED], EndProof.none, 2),
        ([SILENT, 8], EndProof.none, 2),
    ],
)
def test_an_engine_is_asked_until_it_has_told_its_start(outcomes, proof, asked):
    async def scenario():
        engines = Engines(*outcomes)
        checks, _ = checks_with(engines)
        return await checks.prove_end(ORIGIN, now_s()), len(engines.asked_s)

    assert asyncio.run(scenario()) == (proof, asked)


def test_a_start_that_is_not_listed_yet_proves_its_later_answers():
    """All answers of a server that has started again would be broken off."""

    async def scenario():
        checks, _ = checks_with(Engines(8))
        proofs = []
        for _ in range(3):
            origin = AnswerOrigin(SERVER, now_s())
            proofs.append(await checks.prove_end(origin, now_s()))
        return proofs

    assert asyncio.run(scenario()) == [
        EndProof.none,
        EndProof.same_process,
        EndProof.same_process,
    ]


def test_a_start_that_reports_again_after_another_one_proves_nothing_before():
    async def scenario():
        checks, _ = checks_with(Engines(8, 9, 8))
        sent_s = now_s()
        for _ in range(2):
            await checks.prove_end(AnswerOrigin(SERVER, sent_s), now_s())
        origin = AnswerOrigin(SERVER, now_s())
        return await checks.prove_end(origin, now_s())

    assert asyncio.run(scenario()) is EndProof.none


def test_a_silent_engine_is_not_asked_for_ever():
    async def scenario():
        checks, _ = checks_with(Engines(SILENT))
        started_s = now_s()
        proof = await checks.prove_end(ORIGIN, started_s)
        return proof, now_s() - started_s

    proof, took_s = asyncio.run(scenario())
    assert proof is EndProof.none
    assert 2 <= took_s < 4


def test_a_question_from_before_the_end_proves_nothing():
    """The server may have ended between its answer to that and the end."""

    async def scenario():
        engines = Engines(7, 8)
        checks, _ = checks_with(engines)
        engines.go_on.clear()
        first = asyncio.ensure_future(checks.prove_end(ORIGIN, now_s()))
        await asyncio.sleep(0.01)
        second = asyncio.ensure_future(checks.prove_end(ORIGIN, now_s()))
        await asyncio.sleep(0.01)
        engines.go_on.set()
        return await first, await second

    assert asyncio.run(scenario()) == (EndProof.same_start, EndProof.none)


def test_one_question_tells_of_all_answers_that_ended_before():
    async def scenario():
        engines = Engines(7)
        checks, _ = checks_with(engines)
        ended_s = now_s()
        ends = [checks.prove_end(ORIGIN, ended_s) for _ in range(50)]
        return set(await asyncio.gather(*ends)), len(engines.asked_s)

    assert asyncio.run(scenario()) == ({EndProof.same_start}, 1)


def test_a_caller_that_leaves_ends_no_question_of_others():
    async def scenario():
        engines = Engines(7)
        checks, _ = checks_with(engines)
        engines.go_on.clear()
        ended_s = now_s()
        leaving, staying = (
            asyncio.ensure_future(checks.prove_end(ORIGIN, ended_s))
            for _ in range(2)
        )
        await asyncio.sleep(0.01)
        leaving.cancel()
        engines.go_on.set()
        return await staying

    assert asyncio.run(scenario()) is EndProof.same_start


def test_a_server_that_wants_a_pause_is_asked_once_a_second():
    """Sound answers would be lost, or the server asked for each of them."""

    async def scenario():
        engines = Engines(7)
        checks, view = checks_with(engines)
        ended_s = now_s()
        view.notices.on_notice(SERVER, ServerNotice(False, 10), ended_s)
        first = await checks.prove_end(ORIGIN, now_s())
        ends = []
        for _ in range(10):
            await asyncio.sleep(0.02)
            ends.append(
                asyncio.ensure_future(checks.prove_end(ORIGIN, now_s()))
            )
        return {first, *await asyncio.gather(*ends)}, engines.asked_s

    proofs, (first_s, second_s) = asyncio.run(scenario())
    assert proofs == {EndProof.same_start}
    assert second_s >= first_s + 1


PLAIN = SERVER._replace(service='desk')

#: What a plain server says to a question: whatever it is, its process lives.
SIGNS = {
    'another id': answer(b'', b'421 Misdirected', b'Not-Run: 1\r\n'),
    'healthy': answer(b''),
    'full': answer(b'', b'503 Full', b'Not-Run: 1\r\n'),
    'half': answer(b'12345')[:-2],
}


def ask_plain(script, before_s=0.0, closes=False):
    """Ask a plain server on a connection, return the proof and what it saw.

    :param before_s: time at which the request was sent after the connection.
    :param closes: whether the server ends before it is asked.
    """

    async def scenario():
        server = ScriptedServer(script)
        port = await server.start()
        notices = ServerNotices()
        pool = ConnectionPool(REQUEST_ID)
        engines = PlatformEngineClient(pool, notices)
        checks, _ = checks_with(engines, pool)
        plain = PLAIN._replace(port=port)
        await checks.prepare(plain)
        origin = AnswerOrigin(plain, now_s() + before_s)
        if closes:
            server.refuse_connections()
            checks._connections.close()
        proof = await checks.prove_end(origin, now_s())
        checks.close()
        return proof, server.seen

    return asyncio.run(scenario())


@pytest.mark.parametrize('sign', SIGNS)
def test_any_answer_on_an_older_connection_proves_an_end(sign):
    proof, (seen,) = ask_plain([SIGNS[sign]])
    assert proof is EndProof.same_process
    # A question that names another server waits for no slot and runs nothing.
    assert seen.head.startswith(b'GET /h ')
    assert seen.fields['expect-instance'] != PLAIN.server_id


@pytest.mark.parametrize(
    ('script', 'before_s', 'closes'),
    [
        (['close'], 0, False),
        (['reset'], 0, False),
        ([b'no http\r\n\r\n', 'close'], 0, False),
        # It was made after the request was sent, maybe to another start.
        ([SIGNS['healthy']], -1, False),
        ([SIGNS['healthy']], 0, True),
    ],
)
def test_without_an_answer_on_an_older_connection_nothing_is_proved(
    script, before_s, closes
):
    proof, _ = ask_plain(script, before_s, closes)
    assert proof is EndProof.none


@pytest.mark.parametrize(
    ('service', 'heads', 'is_prepared'),
    [
        ('desk', [], True),
        ('desk', [True], False),
        ('desk', [False], True),
        ('desk', [True, False], True),
        ('desk', [False, True], True),
        # Its report names its start.
        ('llm', [False], False),
    ],
)
def test_connections_are_made_only_where_ends_may_need_proof(
    service, heads, is_prepared
):
    class Pool(ConnectionPool):
        made = 0

        async def connect(self, host, port):
            self.made += 1
            raise ServerUnreachable('nobody')

    async def scenario():
        pool = Pool(REQUEST_ID)
        checks, _ = checks_with(Engines(7), pool)
        server = SERVER._replace(service=service)
        for is_stated in heads:
            origin = AnswerOrigin(server, math.inf)
            checks.on_head(origin, is_stated=is_stated)
        try:
            await checks.prepare(server)
        except ServerUnreachable:
            return pool.made
        return pool.made

    assert asyncio.run(scenario()) == int(is_prepared)
