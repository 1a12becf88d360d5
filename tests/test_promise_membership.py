"""Calls while the list flaps and when engines restart without adapters."""

from functools import partial

import pytest
from caller_parts import (
    ADAPTERS,
    Traffic,
    any_adapter,
    check_answers,
    model_document,
)
from promise_parts import start_trial

from emulator.waiting import wait_until

SEED = 20261209
#: The list is read every 0.5 s, so that no two successive reads miss the entry.
FLAP = {'times': 8, 'period_s': 1.1, 'gone_s': 0.4}
#: Reads of the list by both instances while it flaps.
READS = 30


@pytest.fixture(scope='module')
def trial(runner, tmp_path_factory):
    return start_trial(
        runner,
        tmp_path_factory,
        data_centres=('north',),
        instances=2,
        engines=2,
        services=2,
    )


def log_of(trial, engine, event):
    return [each for each in trial.log(engine)['log'] if each['event'] == event]


def loads(trial):
    return sum(len(log_of(trial, each, 'load')) for each in trial.dep.engines)


def call_all(trial):
    """Call each adapter and the service through each entry."""
    answers = [
        trial.call(entry, model_document(adapter))
        for entry in trial.dep.entries
        for adapter in ADAPTERS
    ]
    answers.extend(
        trial.call(entry, {'n': 1}, path='/orders')
        for entry in trial.dep.entries
    )
    assert all(answer.completed for answer in answers), answers


def reads(trial):
    return sum(
        trial.ask(each, '/stats')['reads'] for each in trial.dep.lists.values()
    )


@pytest.mark.parametrize('kind', ['engines', 'services', 'controllers'])
def test_flapping_list(trial, kind):
    """A server or an instance that one read of the list misses stays in use."""
    call_all(trial)
    call_all(trial)
    before = loads(trial)
    place = getattr(trial.dep, kind)[0]
    with Traffic(trial, 4, any_adapter, SEED) as traffic:
        for each in trial.dep.lists.values():
            trial.ask(each, '/flap', {'id': place.name, **FLAP})
        goal = reads(trial) + READS
        while reads(trial) < goal:
            traffic.wait_for(5)
            answer = trial.call(trial.dep.entries[0], {'n': 1}, path='/orders')
            assert answer.completed, answer
    assert all(answer.completed for answer in traffic.answers)
    check_answers(trial, traffic.answers)
    assert loads(trial) == before


def call_again(trial):
    call_all(trial)
    return True


def test_half_of_the_engines_restart_empty(trial):
    """Other engines answer for their adapters, or the adapters load again."""
    restarted = trial.dep.engines[0]
    with Traffic(trial, 4, any_adapter, SEED) as traffic:
        traffic.wait_for(20)
        trial.fault(restarted, kind='restart_empty')
        traffic.wait_for(40)
    wait_until(partial(call_again, trial), 10, 'all answered again')
    complete = [answer for answer in traffic.answers if answer.completed]
    assert check_answers(trial, complete) == complete
    lost = [answer for answer in traffic.answers if not answer.completed]
    # Only streams that ran there may be cut: at most one per caller.
    assert len(lost) <= 4, lost
