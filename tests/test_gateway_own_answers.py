"""What the gateway answers by itself, by place and by what is known there.

Guards against a refusal without a proof that the request hasn't run.
"""

import ast
import asyncio
import re

import pytest
from source_trees import parse_source

from emulator.fleet import ROOT
from wasabicross.gateway.dialect import RequestInfo
from wasabicross.gateway.errors import AnswerCut, MayHaveRun
from wasabicross.gateway.not_run_proof import (
    Ground,
    NotRunProof,
    prove_not_run,
)
from wasabicross.gateway.own_answers import STOPS, OwnAnswers
from wasabicross.gateway.progress import RequestProgress
from wasabicross.gateway.request_placement import CRASHES, HAS_CRASHING_PART
from wasabicross.gateway.request_record import RequestRecord
from wasabicross.gateway.retry_delays import RetryDelaysByService
from wasabicross.platform.headers import PlatformDialect

#: Statuses that callers take for a promise, and their names.
PROMISES = frozenset((408, 421, 429, 503))
PROMISE_NAMES = frozenset(
    (
        'REQUEST_TIMEOUT',
        'MISDIRECTED_REQUEST',
        'TOO_MANY_REQUESTS',
        'SERVICE_UNAVAILABLE',
    )
)

#: What is known of a request: sends, servers that have it or may have run it,
#: whether another gateway has it, whether one had it; and what proves that it
#: hasn't run.
KNOWN = {
    'never sent': (0, 0, False, False, Ground.never_sent),
    'refused by one': (1, 0, False, False, Ground.stated),
    'refused by several': (5, 0, False, False, Ground.stated),
    'declined by a gateway': (0, 0, False, True, Ground.stated),
    'refused, then declined': (2, 0, False, True, Ground.stated),
    'one has it': (1, 1, False, False, None),
    'refused by one, another has it': (2, 1, False, False, None),
    'two have it': (2, 2, False, False, None),
    'a gateway has it': (0, 0, True, True, None),
    'refused by one, a gateway has it': (1, 0, True, True, None),
}

#: Where a request is ended: how, and the statuses with and without a proof.
PLACES = {
    'no server': (lambda own: own.end('no server', 0.5), 503, 502),
    'no load in time': (lambda own: own.end('no adapter in time'), 503, 502),
    'after an attempt': (lambda own: own.end('not run'), 503, 502),
    'a part that crashes': (
        lambda own: own.end(HAS_CRASHING_PART.reason, 60),
        503,
        502,
    ),
    'crashes': (lambda own: own.end(CRASHES.reason), 422, 502),
    'stop': (lambda own: own.end(STOPS.reason, 0.1), 503, 502),
    'error': (lambda own: own.end('error'), 503, 502),
    'no answer of a gateway': (
        lambda own: own.end('no answer of a gateway'),
        503,
        502,
    ),
    'time limit': (
        lambda own: own.end_on_time_limit(is_stop=False),
        503,
        504,
    ),
    'time limit, at a stop': (
        lambda own: own.end_on_time_limit(is_stop=True),
        503,
        502,
    ),
}


class Answer:
    """Keep what is sent to a caller."""

    def __init__(self):
        self.has_started = False
        self.status = 0
        self.fields = []

    async def send_complete(self, status, fields):
        """Keep the answer."""
        self.status = status
        self.fields = dict(fields)


def progress_of(known):
    """Return the progress of a request and what proves that it hasn't run."""
    sends, runs, is_at_peer, was_at_peer, ground = KNOWN[known]
    progress = RequestProgress('')
    progress.sends = sends
    progress.runs = runs
    progress.is_at_peer = is_at_peer
    progress.was_at_peer = was_at_peer
    return progress, ground


def own_answers(progress, answer, *, is_forwarded=False):
    """Return the gateway's own answers to a request."""
    info = RequestInfo('r1', None, 1.0, '')
    return OwnAnswers(
        PlatformDialect(),
        RetryDelaysByService().for_service,
        answer,
        progress,
        RequestRecord(info, progress, 0),
        'r1',
        is_forwarded=is_forwarded,
    )


@pytest.mark.parametrize('is_forwarded', [False, True])
@pytest.mark.parametrize('place', PLACES)
@pytest.mark.parametrize('known', KNOWN)
def test_a_promise_is_given_exactly_where_it_is_proved(
    known, place, is_forwarded
):
    progress, ground = progress_of(known)
    end, proved, unproved = PLACES[place]
    answer = Answer()
    asyncio.run(end(own_answers(progress, answer, is_forwarded=is_forwarded)))
    assert answer.status == (unproved if ground is None else proved)
    is_promise = answer.status in PROMISES
    assert (b'retry-after' in answer.fields) == is_promise
    assert (b'x-wasabicross-not-run' in answer.fields) == (
        is_promise and is_forwarded
    )
    if not is_promise:
        assert b'x-wasabicross-not-taken' not in answer.fields


@pytest.mark.parametrize('place', PLACES)
@pytest.mark.parametrize('known', KNOWN)
def test_an_answer_that_has_begun_is_cut(known, place):
    progress, _ground = progress_of(known)
    answer = Answer()
    answer.has_started = True
    with pytest.raises(AnswerCut):
        asyncio.run(PLACES[place][0](own_answers(progress, answer)))
    assert not answer.status


@pytest.mark.parametrize('known', KNOWN)
def test_a_proof_is_made_only_where_nobody_may_have_run_it(known):
    progress, ground = progress_of(known)
    if ground is None:
        assert prove_not_run(progress) is None
        with pytest.raises(MayHaveRun):
            NotRunProof(progress)
    else:
        assert prove_not_run(progress).ground is ground


#: The modules that name such a status, each a row or a group of rows in
#: docs/REFUSALS.md, or a reader of servers' answers.
NAMING = {
    'callers/caller_api.py',
    'callers/key_claims.py',
    'callers/replies.py',
    'dispatching/engine_answers.py',
    'dispatching/services.py',
    'gateway/connections/answer_writer.py',
    'gateway/connections/caller_connections.py',
    'gateway/instance_service.py',
    'gateway/own_answers.py',
    'gateway/request_record.py',
    'operators/admin_api.py',
    'operators/admin_errors.py',
    'platform/engines.py',
    'platform/headers.py',
    'runtime/request_heads.py',
    'runtime/telemetry.py',
    'stores/kv.py',
}


def names_promise(node):
    """Return whether a part of a module names a status that is a promise."""
    if isinstance(node, ast.Attribute):
        return node.attr in PROMISE_NAMES
    if not isinstance(node, ast.Constant):
        return False
    if isinstance(node.value, str | bytes):
        text = node.value if isinstance(node.value, str) else str(node.value)
        return re.search(r'\b(408|421|429|503) [A-Z]', text) is not None
    return type(node.value) is int and node.value in PROMISES


def test_no_other_module_can_write_a_promise():
    """A new place needs a row in docs/REFUSALS.md and its proof."""
    source = ROOT / 'src/wasabicross'
    naming = {
        path.relative_to(source).as_posix()
        for path in source.rglob('*.py')
        if any(map(names_promise, ast.walk(parse_source(path.read_text()))))
    }
    assert naming == NAMING
