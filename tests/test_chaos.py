"""Fixed seeds of mixed faults break no promise; the checks find violations."""

import pytest

from emulator.chaos import run_seed
from emulator.chaos_callers import CallResult
from emulator.chaos_checks import Evidence, violations
from emulator.chaos_crashers import Crash

STREAM = (
    b'data: {"choices": [{"delta": {"content": "[a@1]"}}]}\n\n'
    b'data: {"choices": [{"delta": {"content": " x"}}]}\n\n'
    b'data: [DONE]\n\n'
)
COMPLETED_HEADERS = {
    'X-Wasabicross-Bundle': '1',
    'X-Wasabicross-Outcome': 'completed',
}
COMPLETED = CallResult('r', '', 'a', 2, 200, COMPLETED_HEADERS, STREAM, True)
REFUSED = COMPLETED._replace(
    status=503, headers={'X-Wasabicross-Outcome': 'not-run'}, body=b''
)
ORDER = CallResult('o', 'k', '', 0, 200, {}, b'receipt', True)
RAN = {'event': 'request', 'request_id': 'r', 'tokens': 2}
ENGINE = {'evicted_in_progress': 0, 'log': []}
EVICTED = {'evicted_in_progress': 1}
SERVICE = {'executions_by_key': {'k': 1}, 'executions_by_request': {'o': 1}}
TWICE = {**SERVICE, 'executions_by_key': {'k': 2}}


@pytest.mark.parametrize('seed', [10, 14, 16])
def test_seed_breaks_nothing(seed):
    assert run_seed(seed).broken == []


@pytest.mark.parametrize(
    ('got', 'engine', 'service', 'broken'),
    [
        ([COMPLETED, ORDER], {}, {}, 0),
        ([], {'evicted_in_progress': 1}, {}, 1),
        ([], {}, TWICE, 1),
        ([REFUSED], {'log': [RAN]}, {}, 1),
        ([REFUSED._replace(request_id='o')], {}, {}, 1),
        ([COMPLETED._replace(body=STREAM.replace(b'a@1', b'a@2'))], {}, {}, 1),
        ([COMPLETED._replace(tokens=3)], {}, {}, 1),
        ([COMPLETED._replace(body=STREAM[:-14])], {}, {}, 1),
        ([ORDER, ORDER._replace(body=b'other')], {}, {}, 1),
        ([ORDER], {}, {'executions_by_key': {}}, 1),
        ([ORDER._replace(is_complete=False, body=b'rec'), ORDER], {}, {}, 0),
    ],
)
def test_checks_see_each_broken_promise(got, engine, service, broken):
    evidence = Evidence(
        got,
        {'e': {**ENGINE, **engine}},
        {'s': {**SERVICE, **service}},
        {1: {'a': '1'}},
        {'p': [0, 1, 3, 0, 2]},
    )
    assert len(violations(evidence)) == broken


@pytest.mark.parametrize(
    ('bundles', 'broken'), [([0, 1, 3, 2], 1), ([0, 2, 2], 1), ([0, 1, 2], 0)]
)
def test_checks_see_an_earlier_bundle(bundles, broken):
    evidence = Evidence([], {}, {}, {}, {'p': bundles})
    assert len(violations(evidence)) == broken


CRASH = Crash('e', 'c', ['r', 'c'], ENGINE)
LOST = COMPLETED._replace(
    status=0, headers={}, body=b'', is_complete=False, entry='n'
)
CONVICTED = REFUSED._replace(status=422, body=b'{"code": "crashes_servers"}')
ANSWERED = COMPLETED._replace(request_id='c')
REPORTED_NOT_RUN = REFUSED._replace(request_id='c')


@pytest.mark.parametrize(
    ('got', 'crasher_got', 'crashes', 'restarted', 'broken'),
    [
        ([COMPLETED], [CONVICTED], [CRASH], '', 0),
        ([], [], [CRASH, CRASH], '', 1),
        ([CONVICTED], [], [], '', 1),
        ([], [ANSWERED], [], '', 1),
        ([], [REPORTED_NOT_RUN], [CRASH], '', 1),
        (
            [REFUSED],
            [],
            [CRASH._replace(logged={**ENGINE, 'log': [RAN]})],
            '',
            1,
        ),
        ([], [], [CRASH._replace(logged={**ENGINE, **EVICTED})], '', 1),
        ([LOST], [], [CRASH], '', 1),
        ([LOST], [], [CRASH], 'n', 0),
        ([LOST], [], [], '', 0),
    ],
)
def test_checks_see_what_a_crasher_breaks(
    got, crasher_got, crashes, restarted, broken
):
    evidence = Evidence(
        got,
        {'e': ENGINE},
        {},
        {1: {'a': '1'}},
        {},
        crasher_got,
        crashes,
        1,
        frozenset(restarted),
    )
    assert len(violations(evidence)) == broken
