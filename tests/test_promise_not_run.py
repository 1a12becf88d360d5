"""A call reported as 'not-run' has not run; no unsafe call runs twice."""

import http.client
import socket
from collections import Counter

import pytest
from caller_parts import ADAPTERS, model_document
from promise_parts import start_trial

from emulator.deployment import HOST, TENANT_TOKEN
from emulator.waiting import wait_until

POINTS = (
    'on_connect',
    'half_request',
    'after_request',
    'after_run',
    'after_headers',
    'mid_body',
)
#: Points at which a service has run the call.
RUN_POINTS = ('after_run', 'after_headers', 'mid_body')


@pytest.fixture(scope='module')
def trial(runner, tmp_path_factory):
    return start_trial(
        runner,
        tmp_path_factory,
        data_centres=('north',),
        services=2,
    )


@pytest.fixture
def entry(trial):
    yield trial.dep.entries[0]
    for place in (*trial.dep.engines, *trial.dep.services):
        for point in POINTS:
            trial.fault(place, kind='die', point=point, count=0)


def runs(trial, request_id):
    """Count the runs of a call at all services."""
    return sum(
        trial.log(service)['executions_by_request'].get(request_id, 0)
        for service in trial.dep.services
    )


def order(trial, entry, number, method='POST'):
    return trial.call(entry, {'order': number}, path='/orders', method=method)


def is_used(trial, entry, service):
    """Send a call; tell whether this service ran it."""
    answer = order(trial, entry, 'probe')
    ran = trial.log(service)['executions_by_request']
    return answer.request_id in ran


def check_outcome(trial, answer):
    """Check that an answer's outcome agrees with the runs at the services."""
    count = runs(trial, answer.request_id)
    if answer.completed and answer.outcome == 'completed':
        assert count == 1, answer
    elif answer.outcome == 'not-run':
        assert count == 0, answer
    else:
        assert answer.outcome == 'unknown' or not answer.is_complete, answer
        assert count <= 1, answer


@pytest.mark.parametrize('point', POINTS)
def test_kill_points(trial, entry, point):
    """The connection to each service breaks once at one point of a call."""
    for service in trial.dep.services:
        trial.fault(service, kind='die', point=point, count=1)
    answers = [order(trial, entry, f'{point}-{turn}') for turn in range(6)]
    for answer in answers:
        check_outcome(trial, answer)
    broken = [answer for answer in answers if answer.status != 200]
    cut = [answer for answer in answers if not answer.is_complete]
    assert [*broken, *cut]
    assert not [answer for answer in broken if answer.outcome == 'not-run']
    assert answers[-1].completed


def test_services_refuse(trial, entry):
    """A service that refuses has not run the call; another one may."""
    first, second = trial.dep.services
    trial.fault(first, kind='refuse')
    answers = [order(trial, entry, turn) for turn in range(6)]
    trial.fault(second, kind='refuse')
    refused = [order(trial, entry, turn) for turn in range(6)]
    for service in trial.dep.services:
        trial.fault(service, kind='recover')
    assert all(answer.completed for answer in answers)
    assert {answer.outcome for answer in refused} == {'not-run'}
    for answer in (*answers, *refused):
        check_outcome(trial, answer)


@pytest.mark.parametrize('idempotent', [True, False])
def test_repeats_only_what_may_run_twice(trial, entry, idempotent):
    for service, other in zip(
        trial.dep.services, trial.dep.services[::-1], strict=True
    ):
        trial.fault(other, kind='refuse')
        wait_until(lambda: is_used(trial, entry, service), 10, 'usable')
        trial.fault(other, kind='recover')
    for service in trial.dep.services:
        trial.fault(service, kind='die', point='after_run', count=1)
    method = 'GET' if idempotent else 'POST'
    answers = [order(trial, entry, turn, method) for turn in range(4)]
    counts = Counter(runs(trial, answer.request_id) for answer in answers)
    assert max(counts) == (2 if idempotent else 1)
    lost = [answer for answer in answers if not answer.completed]
    assert lost
    assert {answer.outcome for answer in lost} == {'unknown'}


def test_entry_killed_midway(trial, entry):
    """The entry is killed while a service runs calls: none runs twice."""
    service = trial.dep.services[0]
    for each in trial.dep.services:
        trial.fault(each, kind='slow', delay_ms=300)
    conn = http.client.HTTPConnection(HOST, entry.port, timeout=10)
    headers = {
        'Authorization': f'Bearer {TENANT_TOKEN}',
        'X-Request-Id': 'killed',
    }
    conn.request('POST', '/orders', b'{}', headers)
    wait_until(lambda: runs(trial, 'killed'), 5, 'dispatched')
    trial.runner.kill(entry.name)
    with pytest.raises((OSError, http.client.HTTPException)):
        conn.getresponse()
    trial.runner.restart(entry.name)
    wait_until(lambda: trial.is_ready(entry), 10, 'ready again')
    trial.fault(service, kind='slow', delay_ms=0)
    assert order(trial, entry, 'after').completed
    assert runs(trial, 'killed') == 1


def test_half_a_request_runs_nothing(trial, entry):
    """A request whose caller disconnects halfway does not run."""
    head = (
        f'POST /orders HTTP/1.1\r\nHost: {HOST}\r\nContent-Length: 100\r\n'
        f'Authorization: Bearer {TENANT_TOKEN}\r\nX-Request-Id: half\r\n\r\n'
    )
    with socket.create_connection((HOST, entry.port)) as sock:
        sock.sendall(head.encode() + b'{"order": ')
    assert order(trial, entry, 'after').completed
    assert not runs(trial, 'half')


@pytest.mark.parametrize('point', POINTS)
def test_model_calls(trial, entry, point):
    """A model call may run again: it completes elsewhere or visibly fails."""
    trial.fault(trial.dep.engines[0], kind='die', point=point, count=1)
    answer = trial.call(entry, model_document(ADAPTERS[0]))
    assert answer.status in {200, 502, 503}
    assert answer.outcome != 'not-run' or point == 'on_connect'


def test_services_down(trial, entry):
    """Without a service, calls get 'not-run' and a time for a retry."""
    names = [service.name for service in trial.dep.services]
    for name in names:
        trial.runner.kill(name)
    answers = [order(trial, entry, turn) for turn in range(4)]
    for name in names:
        trial.runner.restart(name)
    for answer in answers:
        assert (answer.status, answer.outcome) == (503, 'not-run')
        assert int(answer.headers['Retry-After']) >= 1
        assert not runs(trial, answer.request_id)
    wait_until(lambda: order(trial, entry, 9).completed, 10, 'usable again')
