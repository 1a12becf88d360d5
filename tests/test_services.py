"""Calls to a plain service that dies, refuses or repeats."""

import itertools

import pytest

from emulator.backend_control import BackendControl
from emulator.fleet import Program
from emulator.service import CRASH_EXIT_CODE, reply_to
from emulator.waiting import free_ports
from wasabicross.dispatching.dispatch import Call, Dispatcher
from wasabicross.dispatching.errors import (
    AnswerCut,
    NotConnected,
    OutcomeUnknown,
    ServerRefused,
)
from wasabicross.dispatching.services import PlainService

request_ids = itertools.count(1)


@pytest.fixture(scope='module')
def port(runner):
    (port,) = free_ports(1)
    args = ('--port', str(port))
    ready = f'tcp://127.0.0.1:{port}'
    runner.run(Program('service', 'emulator.service', args, ready))
    return port


@pytest.fixture(scope='module')
def control(port):
    return BackendControl(port)


def place_order(port):
    """Return the answer or the class of the error, and the request id."""
    request_id = f'r{next(request_ids)}'
    headers = (('X-Request-Id', request_id), ('Idempotency-Key', request_id))
    call = Call('POST', '/orders', headers, b'{"quay":1}', 5)
    started = PlainService(Dispatcher('127.0.0.1', port)).call(call)
    if started.is_error():
        return type(started.error), request_id
    try:
        return started.ok.read(), request_id
    except AnswerCut:
        return AnswerCut, request_id


@pytest.mark.parametrize(
    ('point', 'outcome', 'executions'),
    [
        ('on_connect', OutcomeUnknown, 0),
        ('half_request', OutcomeUnknown, 0),
        ('after_request', OutcomeUnknown, 0),
        ('after_run', OutcomeUnknown, 1),
        ('after_headers', AnswerCut, 1),
        ('mid_body', AnswerCut, 1),
    ],
)
def test_death_of_the_service(port, control, point, outcome, executions):
    control.die_at(point)
    found, request_id = place_order(port)
    assert found is outcome
    counts = control.describe()
    assert counts['executions_by_key'].get(request_id, 0) == executions
    assert counts['executions_by_request'].get(request_id, 0) == executions


def test_whole_answer(port, control):
    body, request_id = place_order(port)
    reply = reply_to('POST', '/orders', b'{"quay":1}')
    assert body.decode().replace(' ', '') == str(reply).replace(
        "'", '"'
    ).replace(' ', '')
    assert control.describe()['executions_by_key'][request_id] == 1


def test_refused_is_not_run(port, control):
    control.set_fault('refuse')
    found, request_id = place_order(port)
    control.set_fault('recover')
    assert found is ServerRefused
    assert request_id not in control.describe()['executions_by_key']


def test_request_that_crashes_the_service(runner):
    (port,) = free_ports(1)
    args = ('--port', str(port))
    ready = f'tcp://127.0.0.1:{port}'
    runner.run(Program('crashing', 'emulator.service', args, ready))
    BackendControl(port).set_fault('crash_marker', marker='quay')
    assert place_order(port)[0] is OutcomeUnknown
    assert runner.wait('crashing') == CRASH_EXIT_CODE
    assert place_order(port)[0] is NotConnected


def test_faults_of_one_path(port, control):
    control.die_at('after_request', path='/fees')
    assert place_order(port)[0] is not OutcomeUnknown
    control.die_at('after_request', path='/orders')
    assert place_order(port)[0] is OutcomeUnknown


def test_absent_service_is_not_run():
    assert place_order(*free_ports(1))[0] is NotConnected
