"""Calls and orders to an engine that dies, refuses, restarts or is slow."""

import itertools
import json
from concurrent.futures import ThreadPoolExecutor

import pytest

from emulator.backend_control import BackendControl
from emulator.completions import CRASH_EXIT_CODE
from emulator.fleet import Program
from emulator.tokens import AnswerText
from emulator.waiting import free_ports, wait_until
from wasabicross.dispatching.dispatch import Call, Dispatcher
from wasabicross.dispatching.engines import (
    COMPLETIONS_PATH,
    Engine,
    EvictOrder,
    LoadOrder,
)
from wasabicross.dispatching.errors import (
    AdapterInUse,
    AdapterNotLoaded,
    AnswerCut,
    EngineUnreachable,
    LoadFailed,
    NotConnected,
    OrderOutcomeUnknown,
    OrderRefused,
    OutcomeUnknown,
    ServerRefused,
    SlotsFull,
)

FAST = ('--token-ms', '2', '--first-token-ms', '5', '--report-lag-ms', '100')
CACHE = ('--cache-lag-ms', '50', '--cache-loss', '0.5')
numbers = itertools.count(1)


class RunningEngine:
    """An engine process and its client."""

    def __init__(self, runner, *options):
        (self.port,) = free_ports(1)
        self.name = f'engine{self.port}'
        args = ('--port', str(self.port), *FAST, *CACHE, *options)
        ready = f'tcp://127.0.0.1:{self.port}'
        runner.run(Program(self.name, 'emulator.engine', args, ready))
        self.control = BackendControl(self.port)
        self.client = Engine(Dispatcher('127.0.0.1', self.port))

    def load(self, adapter='fuel', term=1):
        name = f'{adapter}@1#{term}.{next(numbers)}'
        order = LoadOrder(name, adapter, '1', term)
        return name, self.client.load(order)

    def loaded(self, adapter='fuel'):
        name, loading = self.load(adapter)
        assert loading.is_ok()
        return name

    def start(self, load_name, deadline_s=10, priority=0, **fields):
        request_id = f'r{next(numbers)}'
        headers = (('X-Request-Id', request_id),)
        document = {'model': load_name, 'messages': [], **fields}
        body = json.dumps(document).encode()
        call = Call('POST', COMPLETIONS_PATH, headers, body, deadline_s)
        return request_id, self.client.complete(call, priority)

    def outcome(self, load_name, **fields):
        """Return the logged outcomes, and the text or the class of the error."""
        request_id, started = self.start(load_name, **fields)
        found = text_of(started)
        logged = self.control.events('request', request_id=request_id)
        return [entry['outcome'] for entry in logged], found

    def wait_running(self, count):
        wait_until(
            lambda: (
                sum(self.control.describe()['in_progress'].values()) == count
            ),
            5,
        )


def text_of(started):
    if started.is_error():
        return type(started.error)
    try:
        body = started.ok.read()
    except AnswerCut:
        return AnswerCut
    if not body.startswith(b'data: '):
        return json.loads(body)['choices'][0]['message']['content']
    events = body.removesuffix(b'data: [DONE]\n\n').split(b'\n\n')[:-1]
    choices = [json.loads(event[6:])['choices'][0] for event in events]
    return ''.join(choice['delta']['content'] for choice in choices)


def expected_text(produced_by, count, **fields):
    text = AnswerText(produced_by, {'messages': [], **fields})
    return text.full_text(count)


@pytest.fixture(scope='module')
def running_engine(runner):
    return RunningEngine(runner)


@pytest.fixture(scope='module')
def unfenced_engine(runner):
    return RunningEngine(
        runner, '--no-fencing', '--refuse-busy-evict', '--slots', '2'
    )


@pytest.fixture(scope='module')
def small_engine(runner):
    return RunningEngine(runner, '--batch', '1', '--queue', '2')


@pytest.fixture(autouse=True)
def _no_loads(request):
    yield
    for name in {'running_engine', 'unfenced_engine', 'small_engine'} & set(
        request.fixturenames
    ):
        request.getfixturevalue(name).control.set_fault('restart_empty')


@pytest.mark.parametrize('stream', [False, True])
@pytest.mark.parametrize(
    ('point', 'outcome', 'logged'),
    [
        ('on_connect', OutcomeUnknown, []),
        ('half_request', OutcomeUnknown, []),
        ('after_request', OutcomeUnknown, []),
        ('after_run', OutcomeUnknown, ['completed']),
        ('after_headers', AnswerCut, None),
        ('mid_body', AnswerCut, None),
    ],
)
def test_death_of_the_engine(running_engine, point, stream, outcome, logged):
    load_name = running_engine.loaded()
    running_engine.control.die_at(point)
    if logged is None:
        logged = ['died' if stream else 'completed']
    assert running_engine.outcome(load_name, stream=stream) == (logged, outcome)


def test_absent_engine_is_not_run():
    engine = Engine(Dispatcher('127.0.0.1', *free_ports(1)))
    call = Call('POST', COMPLETIONS_PATH, (), b'{}', 5)
    assert text_of(engine.complete(call)) is NotConnected
    assert isinstance(engine.inventory().error, EngineUnreachable)


@pytest.mark.parametrize('stream', [False, True])
def test_each_caller_gets_what_was_produced_for_it(running_engine, stream):
    names = {
        adapter: running_engine.loaded(adapter) for adapter in ('fuel', 'fee')
    }

    def ask(number):
        adapter = ('fuel', 'fee')[number % 2]
        fields = {'max_tokens': 10 + number, 'user': f'u{number}'}
        text = expected_text(f'{adapter}@1', 10 + number, **fields)
        found = running_engine.outcome(names[adapter], stream=stream, **fields)
        return found == (['completed'], text)

    with ThreadPoolExecutor(24) as callers:
        assert all(callers.map(ask, range(48)))


def test_adapter_that_is_not_loaded_is_not_run(running_engine):
    assert running_engine.outcome('fuel@1#1.0') == ([], AdapterNotLoaded)


def test_full_queue_is_not_run(small_engine):
    load_name = small_engine.loaded()
    _, first = small_engine.start(load_name, stream=True, max_tokens=5000)
    with ThreadPoolExecutor(2) as callers:
        for _ in range(2):
            callers.submit(small_engine.start, load_name, deadline_s=1)
        small_engine.wait_running(3)
        assert small_engine.outcome(load_name) == ([], ServerRefused)
    first.ok.cancel()


@pytest.mark.parametrize(
    ('stream', 'ahead', 'outcome'),
    [
        (True, 0, AnswerCut),
        (False, 0, OutcomeUnknown),
        (True, 1, ServerRefused),
        (False, 1, ServerRefused),
    ],
)
def test_deadline_ends_the_request(small_engine, stream, ahead, outcome):
    load_name = small_engine.loaded()
    for _ in range(ahead):
        _, first = small_engine.start(load_name, stream=True, max_tokens=5000)
    found = small_engine.outcome(
        load_name, deadline_s=0.5, stream=stream, max_tokens=5000
    )
    assert found == (['deadline'], outcome)


def test_closed_connection_cancels(running_engine):
    load_name = running_engine.loaded()
    request_id, started = running_engine.start(
        load_name, stream=True, max_tokens=5000
    )
    started.ok.cancel()
    (logged,) = wait_until(
        lambda: running_engine.control.events('request', request_id=request_id),
        5,
    )
    assert logged['outcome'] == 'cancelled'


def test_priority_goes_before_age(small_engine):
    load_name = small_engine.loaded()
    _, first = small_engine.start(load_name, stream=True, max_tokens=5000)
    with ThreadPoolExecutor(2) as callers:
        late = callers.submit(small_engine.start, load_name, priority=5)
        small_engine.wait_running(2)
        early = callers.submit(small_engine.start, load_name, priority=1)
        small_engine.wait_running(3)
        first.ok.cancel()
        ids = [early.result()[0], late.result()[0]]
    entries = small_engine.control.events('request', outcome='completed')
    assert [entry['request_id'] for entry in entries[-2:]] == ids


def test_order_with_an_old_term_is_refused(running_engine):
    running_engine.load(term=7)
    assert running_engine.load(term=6)[1].error.highest_term == 7
    evicted = running_engine.client.evict(EvictOrder('any', 6))
    assert isinstance(evicted.error, OrderRefused)


def test_engine_without_fencing_obeys_old_terms(unfenced_engine):
    assert unfenced_engine.load(term=7)[1].is_ok()
    assert unfenced_engine.load(term=6)[1].is_ok()
    assert isinstance(unfenced_engine.load(term=8)[1].error, SlotsFull)


def test_load_in_use(running_engine, unfenced_engine):
    for tested, error, cut in (
        (running_engine, None, AnswerCut),
        (
            unfenced_engine,
            AdapterInUse,
            expected_text('fuel@1', 200, max_tokens=200),
        ),
    ):
        load_name = tested.loaded()
        _, started = tested.start(load_name, stream=True, max_tokens=200)
        evicted = tested.client.evict(EvictOrder(load_name, 1))
        assert type(evicted.error) is error if error else evicted.is_ok()
        assert text_of(started) == cut
        in_progress = tested.control.describe()['evicted_in_progress']
        assert in_progress == (0 if error else 1)


@pytest.mark.parametrize(
    ('point', 'error', 'holds'),
    [
        ('on_connect', OrderOutcomeUnknown, False),
        ('after_request', OrderOutcomeUnknown, False),
        ('after_headers', OrderOutcomeUnknown, True),
        ('mid_body', OrderOutcomeUnknown, True),
    ],
)
def test_lost_answer_to_an_order(running_engine, point, error, holds):
    running_engine.control.die_at(point)
    load_name, loading = running_engine.load()
    assert isinstance(loading.error, error)
    assert (load_name in running_engine.client.inventory().ok.loads) == holds


def test_orders_may_be_repeated(running_engine):
    order = LoadOrder('fuel@1#1.0', 'fuel', '1', 1)
    assert running_engine.client.load(order).is_ok()
    assert running_engine.client.load(order).is_ok()
    assert running_engine.client.inventory().ok == (('fuel@1#1.0',), 8, 16)
    evict = EvictOrder('fuel@1#1.0', 1)
    assert running_engine.client.evict(evict).is_ok()
    assert running_engine.client.evict(evict).is_ok()


def test_failed_load_leaves_the_slot_free(unfenced_engine):
    unfenced_engine.control.set_fault('fail_loads', count=3)
    for _ in range(3):
        assert isinstance(unfenced_engine.load()[1].error, LoadFailed)
    assert not unfenced_engine.client.inventory().ok.loads
    assert unfenced_engine.load()[1].is_ok()


def test_restart_drops_loads_and_requests(running_engine):
    load_name = running_engine.loaded()
    _, started = running_engine.start(load_name, stream=True, max_tokens=5000)
    running_engine.control.set_fault('restart_empty')
    assert text_of(started) is AnswerCut
    assert running_engine.outcome(load_name) == ([], AdapterNotLoaded)


def test_request_that_crashes_the_engine(runner):
    running_engine = RunningEngine(runner, '--crash-marker', 'poison')
    load_name = running_engine.loaded()
    _, innocent = running_engine.start(load_name, stream=True, max_tokens=5000)
    _, started = running_engine.start(load_name, stream=True, user='poison')
    assert text_of(started) is OutcomeUnknown
    assert text_of(innocent) is AnswerCut
    assert runner.wait(running_engine.name) == CRASH_EXIT_CODE


def test_load_report_lags(running_engine):
    load_name = running_engine.loaded()
    report = running_engine.client.load_report().ok
    assert (report.running, report.by_load) == (0, {})
    _, started = running_engine.start(load_name, stream=True, max_tokens=5000)
    report = wait_until(
        lambda: (
            (found := running_engine.client.load_report().ok).running and found
        ),
        5,
    )
    assert report.by_load == {load_name: 1}
    assert 0 <= report.age_s <= 0.1
    started.ok.cancel()


def test_cache_events_come_late_and_with_gaps(running_engine):
    load_name = running_engine.loaded()
    for number in range(20):
        running_engine.outcome(load_name, messages=[f'p{number}'], max_tokens=1)
    events = wait_until(lambda: running_engine.client.cache_events(0).ok, 5)
    seen = [event.number for event in events]
    assert 0 < len(set(seen)) < max(seen)
    assert {event.load_name for event in events[-3:]} == {load_name}
    assert running_engine.client.cache_events(max(seen) + 99).ok == ()
